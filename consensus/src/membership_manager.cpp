#include "membership_manager.h"

#include <algorithm>
#include <utility>

#include <corkward/consensus/events.h>
#include "context.h"

namespace corkward::consensus {

namespace {

/// A founder bootstraps the cluster only if each other founder's last heartbeat is less than this many heartbeat
/// intervals old.
constexpr Milliseconds bootstrapHeartbeats = 3;
/// An unreachable member is removed only from a membership of more members than this. In a membership of three the
/// other two members remain a majority, so a removal is not needed.
constexpr std::size_t smallestRedundantMembership = 3;

}  // namespace

void MembershipManager::adopt(EventContext& context, Membership const& membership) {
  if (membership.revision <= current_.revision || membership.members.empty()) return;
  current_ = membership;
  context.catchUp.restart();
  context.detector.setMembers(current_, context.now);
  if (!context.selfIsMember()) {
    context.local.markRemoved();
    return;
  }
  context.local.joined();
  context.persistence.writeMembership(context, current_);
  bool const first = current_.revision == 1 && !context.local.mayVote() && !context.catchUp.isPersisting();
  if (!first) return;
  context.registers.at(membershipKey).acceptFirstMembership(context, current_);
  context.catchUp.complete(context);
}

void MembershipManager::bootstrap(EventContext& context) {
  std::set<std::string> links(context.local.founders().begin(), context.local.founders().end());
  for (auto const& link : disklessFounders_) links.erase(link);
  if (!context.local.hasDurableId() || context.persistence.hasFailed() || current_.revision > 0 ||
      links.count(context.local.link()) == 0)
    return;
  std::vector<Member> members;
  for (auto const& link : links) {
    std::optional<Member> const founder = readyFounder(context, link);
    if (!founder) return;
    members.push_back(*founder);
  }
  context.log(events::clusterBootstrapped, {{"members", std::to_string(members.size())}});
  adopt(context, Membership{1, members});
  context.heartbeats.scheduleNow();
}

std::optional<Member> MembershipManager::readyFounder(EventContext const& context, std::string const& link) const {
  std::optional<Member> founder;
  if (link == context.local.link()) founder = context.local.self();
  Milliseconds const window = bootstrapHeartbeats * context.tuning.heartbeatEvery;
  for (auto const& [memberId, candidate] : candidates_)
    if (candidate.link == link && candidate.hasNoState && context.now - candidate.lastContactAt < window)
      founder = Member{memberId, link};
  return founder;
}

void MembershipManager::recordCandidate(std::string const& memberId, std::string const& link, bool hasNoState,
                                        Milliseconds now) {
  candidates_[memberId] = Candidate{link, now, hasNoState};
}

void MembershipManager::expireCandidates(EventContext const& context) {
  std::erase_if(candidates_, [&](auto const& candidate) {
    return context.now - candidate.second.lastContactAt > context.tuning.ownerTimeout;
  });
}

bool MembershipManager::isDiscovering(EventContext const& context) const {
  return !context.selfIsMember() || !context.detector.hasQuorum();
}

Milliseconds MembershipManager::timeSinceContact(EventContext const& context, Member const& member) {
  return context.detector.timeSinceContact(member.id, context.local.id(), context.now);
}

void MembershipManager::proposeNextChange(EventContext& context) {
  Register* const membershipRegister = context.registers.find(membershipKey);
  if (membershipRegister == nullptr || !membershipRegister->proposer().isOwner() ||
      membershipRegister->proposer().proposal() || membershipRegister->hasQueuedCalls())
    return;
  CommittedValue const* const committed = context.learner.find(membershipKey);
  if (committed == nullptr || committed->revision != current_.revision) return;
  std::optional<std::set<std::string>> const caughtUp = caughtUpMembers(context);
  if (!caughtUp || !current_.hasMajority(*caughtUp)) return;
  std::optional<Change> const change = nextChange(context, *caughtUp);
  if (!change) return;
  context.commands.logEvents.push_back(change->logEvent);
  Proposal proposal;
  proposal.revision = current_.revision + 1;
  proposal.value = membersToJson(change->members);
  membershipRegister->propose(context, std::move(proposal));
}

std::optional<std::set<std::string>> MembershipManager::caughtUpMembers(EventContext const& context) const {
  bool const isCheckOff = context.tuning.switches.off(Mechanism::catchUpFirst);
  std::set<std::string> caughtUp;
  for (auto const& member : current_.members) {
    PeerState const& peer = *context.detector.find(member.id);
    bool const isSelf = member.id == context.local.id();
    std::uint64_t const revision = isSelf ? context.catchUp.caughtUpRevision() : peer.caughtUpRevision;
    if ((isSelf || peer.voting) && (revision == current_.revision || isCheckOff))
      caughtUp.insert(member.id);
    else if (timeSinceContact(context, member) < context.tuning.ownerTimeout)
      return std::nullopt;
  }
  return caughtUp;
}

std::optional<MembershipManager::Change> MembershipManager::nextChange(EventContext const& context,
                                                                       std::set<std::string> const& caughtUp) const {
  Member const* const unreachable = longestUnreachable(context);
  Member const* const leaving = unreachable != nullptr ? unreachable : drainedMember(context);
  std::optional<Addition> const addition = nextAddition(context, leaving);
  std::size_t const size = current_.members.size();
  if (addition && addition->replaced != nullptr) {
    Member const& replaced = *addition->replaced;
    Change change{current_.members,
                  core::LogEvent{events::memberReplaced,
                                 {{"old", replaced.id}, {"new", addition->added.id}, {"link", addition->added.link}}}};
    std::replace_if(
        change.members.begin(), change.members.end(), [&](Member const& member) { return member.id == replaced.id; },
        addition->added);
    return change;
  }
  if (addition && size < context.tuning.maxMembers) {
    Change change{current_.members,
                  core::LogEvent{events::memberAdded, {{"new", addition->added.id}, {"link", addition->added.link}}}};
    change.members.push_back(addition->added);
    return change;
  }
  bool const removable = unreachable != nullptr ? size > smallestRedundantMembership : size % 2 == 0;
  if (leaving == nullptr || !removable) return std::nullopt;
  return removalOf(context, *leaving, caughtUp);
}

std::optional<MembershipManager::Addition> MembershipManager::nextAddition(EventContext const& context,
                                                                           Member const* replaceable) const {
  std::optional<Addition> addition;
  for (auto const& [memberId, candidate] : candidates_) {
    if (!candidate.hasNoState || current_.contains(memberId)) continue;
    auto const sameLink =
        std::find_if(current_.members.begin(), current_.members.end(),
                     [&, &link = candidate.link](Member const& member) { return member.link == link; });
    bool const isReturning = sameLink != current_.members.end();
    if (isReturning && timeSinceContact(context, *sameLink) <= context.tuning.ownerTimeout) continue;
    // A machine that returns with an empty disk replaces the member at its own address before any other machine is
    // added.
    if (isReturning) return Addition{Member{memberId, candidate.link}, &*sameLink};
    if (!addition) addition = Addition{Member{memberId, candidate.link}, replaceable};
  }
  return addition;
}

std::optional<MembershipManager::Change> MembershipManager::removalOf(EventContext const& context,
                                                                      Member const& removed,
                                                                      std::set<std::string> const& caughtUp) const {
  Change change{{}, core::LogEvent{events::memberRemoved, {{"old", removed.id}, {"link", removed.link}}}};
  for (auto const& member : current_.members) {
    if (member.id == removed.id) continue;
    if (caughtUp.count(member.id) == 0 || timeSinceContact(context, member) > context.tuning.ownerTimeout)
      return std::nullopt;
    change.members.push_back(member);
  }
  return change;
}

Member const* MembershipManager::longestUnreachable(EventContext const& context) const {
  Member const* longest = nullptr;
  for (auto const& member : current_.members) {
    Milliseconds const unreachableFor = timeSinceContact(context, member);
    if (unreachableFor > context.tuning.replaceUnreachableAfter &&
        (longest == nullptr || timeSinceContact(context, *longest) < unreachableFor))
      longest = &member;
  }
  return longest;
}

Member const* MembershipManager::drainedMember(EventContext const& context) const {
  for (auto const& member : current_.members) {
    if (member.id == context.local.id() || !context.detector.isDraining(member.id)) continue;
    PeerState const& peer = *context.detector.find(member.id);
    bool const ownsNoKey = peer.ownedKeysKnown && peer.ownedKeys.empty();
    if (ownsNoKey || timeSinceContact(context, member) > context.tuning.ownerTimeout) return &member;
  }
  return nullptr;
}

void MembershipManager::addTo(Fingerprint& fingerprint) const {
  fingerprint.add(current_.revision);
  fingerprint.add(disklessFounders_);
  for (auto const& [memberId, candidate] : candidates_) {
    fingerprint.add(memberId);
    fingerprint.addFlag(candidate.hasNoState);
    fingerprint.addTime(candidate.lastContactAt);
  }
}

}  // namespace corkward::consensus
