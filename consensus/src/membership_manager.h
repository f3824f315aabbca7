#pragma once

/// Membership changes: bootstrapping the cluster, replacing, adding and removing one member at a time.
///
/// A change is a value of the membership key. As in Raft's joint consensus (Ongaro's dissertation, chapter 4), a
/// majority of the old membership and a majority of the new one must accept it. The next change is proposed only after
/// a majority of the current membership, and each of its live members, has caught up under that membership (see
/// catch_up.h).

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/core/log_event.h>
#include "fingerprint.h"

namespace corkward::consensus {

class EventContext;

/// Holds the membership that this member has adopted and the machines that may be added to it.
class MembershipManager {
 public:
  /// Adopts the membership if it is newer than the current one and not empty.
  void adopt(EventContext& context, Membership const& membership);
  /// Bootstraps the cluster if this member is a founder and every founder that has a disk reports that it has no state.
  /// Every founder derives the same first membership.
  void bootstrap(EventContext& context);
  /// Proposes the next membership change if this member owns the membership key, a change is due, and the members have
  /// caught up.
  void proposeNextChange(EventContext& context);

  /// Records the heartbeat of a machine that is not a member.
  void recordCandidate(std::string const& memberId, std::string const& link, bool hasNoState, Milliseconds now);
  /// Forgets candidates without contact for longer than the owner timeout.
  void expireCandidates(EventContext const& context);
  /// Records that the founder at this link address has no disk and therefore takes no part in the bootstrap.
  void recordDisklessFounder(std::string const& link) { disklessFounders_.insert(link); }
  void setDiscoveryPeers(std::vector<std::string> links) { discoveryPeers_ = std::move(links); }

  Membership const& current() const { return current_; }
  std::vector<std::string> const& discoveryPeers() const { return discoveryPeers_; }
  /// See ReplicatedRegisters::discovering.
  bool isDiscovering(EventContext const& context) const;
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// A machine that is not a member and has recently sent a heartbeat.
  struct Candidate {
    std::string link;
    Milliseconds lastContactAt = 0;
    /// True if the machine reports that it has no state. Only such a machine may become a member.
    bool hasNoState = false;
  };
  /// A membership change of one member, with its log event.
  struct Change {
    std::vector<Member> members;
    core::LogEvent logEvent;
  };
  /// A machine that may be added, and the member that it replaces. `replaced` is nullptr if it replaces none.
  struct Addition {
    Member added;
    Member const* replaced = nullptr;
  };

  /// Returns std::nullopt if the founder at this link address has not recently reported that it has no state.
  std::optional<Member> readyFounder(EventContext const& context, std::string const& link) const;
  /// Returns the ids of the voting members that have caught up. Returns std::nullopt while a live member has not caught
  /// up.
  std::optional<std::set<std::string>> caughtUpMembers(EventContext const& context) const;
  std::optional<Change> nextChange(EventContext const& context, std::set<std::string> const& caughtUp) const;
  std::optional<Addition> nextAddition(EventContext const& context, Member const* replaceable) const;
  /// Returns the change that removes the member. Returns std::nullopt unless each other member is live and has caught
  /// up.
  std::optional<Change> removalOf(EventContext const& context, Member const& removed,
                                  std::set<std::string> const& caughtUp) const;
  Member const* longestUnreachable(EventContext const& context) const;
  /// Returns another member that is draining and owns no key or is unreachable, or nullptr if there is none.
  Member const* drainedMember(EventContext const& context) const;
  static Milliseconds timeSinceContact(EventContext const& context, Member const& member);

  /// Invariant: its revision never decreases, and it is empty only while the revision is 0.
  Membership current_;
  /// Candidates by member id.
  std::map<std::string, Candidate> candidates_;
  std::set<std::string> disklessFounders_;
  std::vector<std::string> discoveryPeers_;
};

}  // namespace corkward::consensus
