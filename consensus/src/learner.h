#pragma once

/// Learner: values that are known to be chosen, as in "Paxos Made Simple", section 2.3.

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class EventContext;

/// Committed values that one member knows, and the accepted ones that it doesn't know to be committed.
class Learner {
 public:
  /// A value is chosen. An older one is ignored; another value under the same revision breaks a guarantee and is
  /// rejected.
  void learn(EventContext& context, transport::CommittedEntry const& entry);
  /// This member's acceptor has the value of this revision.
  void noteAccepted(std::string const& key, std::uint64_t revision, Milliseconds now);
  /// This member was removed: what it had accepted does not count any more.
  void forgetAccepted() { unconfirmedSince_.clear(); }

  std::map<std::string, CommittedValue> const& committed() const { return committed_; }
  bool isCommitted(std::string const& key) const { return committed_.count(key) > 0; }
  /// nullptr: none is known.
  CommittedValue const* find(std::string const& key) const;
  /// 0: none is known.
  std::uint64_t revisionOf(std::string const& key) const;
  /// Digest of the committed revisions.
  transport::Digest const& digest() const { return digest_; }
  /// Whether the digest is one that digest() was before or is now: who has that set has nothing that is unknown here.
  bool hasHadDigest(transport::Digest const& digest) const;
  /// Earliest time from which on this member has an accepted value that it doesn't know to be committed; `now` when it
  /// has none.
  Milliseconds confirmedUntil(Milliseconds now) const;
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// Invariant: revisions of a key never fall while the process runs, and a revision has one value.
  std::map<std::string, CommittedValue> committed_;
  /// Invariant: digest of committed_.
  transport::Digest digest_;
  /// Last values of digest_, newest last.
  std::deque<transport::Digest> digestHistory_;
  /// Keys whose accepted revision is newer than the committed one, and since when.
  std::map<std::string, Milliseconds> unconfirmedSince_;
};

/// Logs that a message contradicts what this member knows, and counts the broken guarantee of one value per revision.
void rejectSecondValue(EventContext& context, std::string const& key, std::string const& reason);

}  // namespace corkward::consensus
