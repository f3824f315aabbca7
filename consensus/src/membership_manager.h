#pragma once

/// Membership changes: bootstrapping the cluster, replacing, adding and removing one member at a time.
///
/// A change is a value of the membership key. As in Raft's joint consensus (Ongaro's dissertation, chapter 4), a
/// majority of the old and one of the new membership must accept it. The next change is proposed only after a majority
/// of the membership, and each of its live members, has caught up under the present one (see catch_up.h).

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

/// The membership that this member goes by, and who may be added to it.
class MembershipManager {
 public:
  /// Goes by the membership from now on if it is newer than the present one and not empty.
  void adopt(EventContext& context, Membership const& membership);
  /// Bootstraps the cluster if this member is a founder and every founder with a disk reports to be without state. Each
  /// founder derives the same first membership.
  void bootstrap(EventContext& context);
  /// Proposes the next change, if this member owns the membership key, a change is due, and the members have caught up.
  void proposeNextChange(EventContext& context);

  /// A machine that is no member has sent a heartbeat.
  void noteCandidate(std::string const& memberId, std::string const& link, bool hasNoState, Milliseconds now);
  /// Forgets candidates that were silent for longer than the owner timeout.
  void expireCandidates(EventContext const& context);
  /// The founder at the link reports that it has no disk: it takes no part in the bootstrap.
  void noteDisklessFounder(std::string const& link) { disklessFounders_.insert(link); }
  void setDiscoveryPeers(std::vector<std::string> links) { discoveryPeers_ = std::move(links); }

  Membership const& current() const { return current_; }
  std::vector<std::string> const& discoveryPeers() const { return discoveryPeers_; }
  /// See ReplicatedRegisters::discovering.
  bool isDiscovering(EventContext const& context) const;
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// A machine that is no member and was heard of late.
  struct Candidate {
    std::string link;
    Milliseconds lastHeardAt = 0;
    /// It has no state, so it may become a member.
    bool hasNoState = false;
  };
  /// A change of one member, with its log event.
  struct Change {
    std::vector<Member> members;
    core::LogEvent logEvent;
  };
  /// A machine that may be added, and the member whose place it takes over, if any.
  struct Addition {
    Member added;
    Member const* replaced = nullptr;
  };

  /// Nothing while the founder at the link has not reported to be without state.
  std::optional<Member> readyFounder(EventContext const& context, std::string const& link) const;
  /// Ids of the voting members that have caught up. Nothing while a live member has not.
  std::optional<std::set<std::string>> caughtUpMembers(EventContext const& context) const;
  std::optional<Change> nextChange(EventContext const& context, std::set<std::string> const& caughtUp) const;
  std::optional<Addition> nextAddition(EventContext const& context, Member const* replaceable) const;
  /// The membership without the member. Nothing unless each other member is live and has caught up.
  std::optional<Change> removalOf(EventContext const& context, Member const& removed,
                                  std::set<std::string> const& caughtUp) const;
  Member const* longestUnreachable(EventContext const& context) const;
  /// Another member that drains and owns no key any more; nullptr: none.
  Member const* drainedMember(EventContext const& context) const;
  static Milliseconds timeSinceHeard(EventContext const& context, Member const& member);

  /// Invariant: its revision never falls, and it is empty only while the revision is 0.
  Membership current_;
  /// By member id.
  std::map<std::string, Candidate> candidates_;
  std::set<std::string> disklessFounders_;
  std::vector<std::string> discoveryPeers_;
};

}  // namespace corkward::consensus
