#include <corkward/control/rollout_tracker.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include <corkward/core/http_status.h>

#include "json_fields.h"
#include "keys.h"

namespace corkward::control {

namespace {

/// The routers of the previous roster may serve for this many serving leases after the newest roster was committed, and
/// until a majority of them has the newest roster.
constexpr Milliseconds previousRosterLeases = 4;

bool isMajority(std::size_t count, std::size_t all) {
  return count >= all / 2 + 1;
}

bool hasAcknowledged(RolloutTracker::Rollout const& rollout, std::string const& link, std::uint64_t revision) {
  auto const it = rollout.acknowledged.find(link);
  return it != rollout.acknowledged.end() && it->second >= revision;
}

}  // namespace

QJsonObject pendingRolloutBody(QJsonObject body, std::uint64_t revision) {
  body.insert(fields::error, "pending");
  body.insert(fields::pending, true);
  body.insert(fields::rolloutComplete, false);
  body.insert(fields::revision, static_cast<qint64>(revision));
  body.insert(fields::reason, "accepted on disk, not yet in force; ask by the change id");
  return body;
}

RolloutTracker::Rollout const* RolloutTracker::find(std::string const& key) const {
  auto const it = rollouts_.find(key);
  return it == rollouts_.end() ? nullptr : &it->second;
}

void RolloutTracker::start(Milliseconds now, std::string const& key, std::uint64_t revision) {
  Rollout& rollout = rollouts_[key];
  rollout.revision = revision;
  rollout.since = now;
  rollout.majorityAt = -1;
  rollout.complete = false;
  incompleteRollouts_.insert(key);
}

void RolloutTracker::recordAcknowledged(std::string const& link, std::string const& key, std::uint64_t revision) {
  auto const it = rollouts_.find(key);
  if (it == rollouts_.end()) return;
  Rollout& rollout = it->second;
  if (rollout.complete && key != rosterKey) return;
  std::uint64_t& acknowledged = rollout.acknowledged[link];
  acknowledged = std::max(acknowledged, revision);
}

void RolloutTracker::recordUpToDate(std::string const& link) {
  for (std::string const& key : incompleteRollouts_) recordAcknowledged(link, key, rollouts_.at(key).revision);
}

RolloutTracker::Progress RolloutTracker::progressOf(RolloutInputs const& inputs, std::set<std::string> const& links,
                                                    Rollout const& rollout, std::uint64_t revision,
                                                    Milliseconds since) const {
  Rollout const* const rosterRollout = find(rosterKey);
  Progress progress;
  for (std::string const& link : links) {
    RouterRegistry::Router const* const router = inputs.routers.find(link);
    bool const isUnreachable = router != nullptr && router->unreachableAt > since;
    bool const isAbsent = inputs.roster.departed().count(link) > 0 || isUnreachable;
    bool const knowsRoster =
        rosterRollout != nullptr && hasAcknowledged(*rosterRollout, link, inputs.roster.revision());
    ++progress.routers;
    if (isAbsent || hasAcknowledged(rollout, link, revision)) ++progress.acknowledged;
    if (isAbsent || knowsRoster) ++progress.onNewestRoster;
  }
  return progress;
}

bool RolloutTracker::mayStillServe(RolloutInputs const& inputs, Progress const& previousNodes) const {
  if (previousNodes.routers == 0) return false;
  Milliseconds const age = inputs.now - inputs.roster.committedAt();
  return age < previousRosterLeases * tuning_.servingLeaseDuration ||
         !isMajority(previousNodes.onNewestRoster, previousNodes.routers);
}

RolloutState RolloutTracker::stateOf(RolloutInputs const& inputs, std::string const& key, std::uint64_t revision,
                                     Milliseconds since) const {
  Rollout const* const rollout = find(key);
  if (rollout == nullptr) return RolloutState::incomplete;
  if (rollout->complete && rollout->revision >= revision) return RolloutState::complete;
  if (!confirmedSince(inputs.quorumContact, since)) return RolloutState::incomplete;
  Progress const nodes = progressOf(inputs, inputs.roster.nodes(), *rollout, revision, since);
  if (nodes.acknowledged == nodes.routers) return RolloutState::complete;
  if (!isMajority(nodes.acknowledged, nodes.routers)) return RolloutState::incomplete;
  Progress const previous = progressOf(inputs, inputs.roster.previousNodes(), *rollout, revision, since);
  bool const previousLacksIt = mayStillServe(inputs, previous) && !isMajority(previous.acknowledged, previous.routers);
  return previousLacksIt ? RolloutState::incomplete : RolloutState::majority;
}

bool RolloutTracker::isFenced(Milliseconds now, Milliseconds majorityAt) const {
  return majorityAt >= 0 && now - majorityAt > tuning_.servingLeaseDuration + tuning_.servingLeaseMargin;
}

bool RolloutTracker::isComplete(RolloutInputs const& inputs, std::string const& key) const {
  Rollout const* const rollout = find(key);
  if (rollout == nullptr) return false;
  return isFenced(inputs.now, rollout->majorityAt) ||
         stateOf(inputs, key, rollout->revision, rollout->since) == RolloutState::complete;
}

void RolloutTracker::updateRollouts(RolloutInputs const& inputs) {
  for (auto key = incompleteRollouts_.begin(); key != incompleteRollouts_.end();) {
    Rollout& rollout = rollouts_.at(*key);
    if (rollout.majorityAt < 0 && stateOf(inputs, *key, rollout.revision, rollout.since) != RolloutState::incomplete)
      rollout.majorityAt = inputs.now;
    rollout.complete = isComplete(inputs, *key);
    if (rollout.complete && *key != rosterKey) rollout.acknowledged.clear();
    key = rollout.complete ? incompleteRollouts_.erase(key) : std::next(key);
  }
}

bool RolloutTracker::isDue(RolloutInputs const& inputs, PendingRolloutReply& reply) const {
  RolloutState const state = stateOf(inputs, reply.key, reply.revision, reply.since);
  if (state == RolloutState::majority && reply.majorityAt < 0) reply.majorityAt = inputs.now;
  if (state == RolloutState::complete || isFenced(inputs.now, reply.majorityAt)) {
    reply.body.insert(fields::rolloutComplete, true);
    return true;
  }
  if (inputs.now - reply.since <= tuning_.rolloutTimeout) return false;
  reply.body = pendingRolloutBody(reply.body, reply.revision);
  reply.status = core::code(core::HttpStatus::gatewayTimeout);
  return true;
}

std::vector<PendingRolloutReply> RolloutTracker::takeDueReplies(RolloutInputs const& inputs) {
  std::vector<PendingRolloutReply> due;
  std::vector<PendingRolloutReply> waiting;
  for (PendingRolloutReply& reply : pendingReplies_) {
    bool const replyIsDue = isDue(inputs, reply);
    (replyIsDue ? due : waiting).push_back(std::move(reply));
  }
  pendingReplies_ = std::move(waiting);
  return due;
}

bool RolloutTracker::awaitsReply(std::uint64_t call) const {
  return std::any_of(pendingReplies_.begin(), pendingReplies_.end(),
                     [&](PendingRolloutReply const& reply) { return reply.call == call; });
}

bool RolloutTracker::awaitsRouter(std::string const& link) const {
  return std::any_of(pendingReplies_.begin(), pendingReplies_.end(), [&](PendingRolloutReply const& reply) {
    Rollout const* const rollout = find(reply.key);
    return rollout == nullptr || !hasAcknowledged(*rollout, link, reply.revision);
  });
}

std::size_t RolloutTracker::missingRevisionCount(std::string const& link) const {
  return static_cast<std::size_t>(
      std::count_if(incompleteRollouts_.begin(), incompleteRollouts_.end(), [&](std::string const& key) {
        Rollout const& rollout = rollouts_.at(key);
        return !hasAcknowledged(rollout, link, rollout.revision);
      }));
}

}  // namespace corkward::control
