#pragma once

/// Learner: the values that are known to be chosen, as in "Paxos Made Simple", section 2.3.

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class EventContext;

/// Holds the committed values that this member knows, and notes which of its accepted values it does not yet know as
/// committed.
class Learner {
 public:
  /// Records a chosen value. Ignores one that is older than the known value. Rejects a different value under the same
  /// revision, which violates a guarantee.
  void learn(EventContext& context, transport::CommittedEntry const& entry);
  /// Records that this member's acceptor has accepted the value of this revision.
  void noteAccepted(std::string const& key, std::uint64_t revision, Milliseconds now);
  /// Forgets the accepted values, which no longer count after this member was removed.
  void forgetAccepted() { unconfirmedSince_.clear(); }

  std::map<std::string, CommittedValue> const& committed() const { return committed_; }
  bool isCommitted(std::string const& key) const { return committed_.count(key) > 0; }
  /// Returns nullptr if no committed value of the key is known.
  CommittedValue const* find(std::string const& key) const;
  /// Returns the revision of the known committed value, or 0 if none is known.
  std::uint64_t revisionOf(std::string const& key) const;
  /// Digest of the committed revisions.
  transport::Digest const& digest() const { return digest_; }
  /// Returns true if the digest equals the current digest() or a recent earlier one. A member that reports such a
  /// digest has accepted no value that is unknown to this member.
  bool hasHadDigest(transport::Digest const& digest) const;
  /// Returns the earliest time since when this member has had an accepted value that it does not know as committed.
  /// Returns `now` if there is no such value.
  Milliseconds confirmedUntil(Milliseconds now) const;
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// Invariant: the revision of a key never decreases while the process runs, and each revision has one value.
  std::map<std::string, CommittedValue> committed_;
  /// Invariant: digest of committed_.
  transport::Digest digest_;
  /// The last values of digest_, newest last.
  std::deque<transport::Digest> digestHistory_;
  /// Keys whose accepted revision is newer than the known committed one, with the time since when this is so.
  std::map<std::string, Milliseconds> unconfirmedSince_;
};

/// Logs a message whose value contradicts a known value, and counts a violation of the guarantee that each revision has
/// one value.
void rejectConflictingValue(EventContext& context, std::string const& key, std::string const& reason);

}  // namespace corkward::consensus
