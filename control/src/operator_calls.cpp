// Handles operator calls, which arrive over HTTP or from another controller, until they are answered.
#include <utility>

#include <corkward/control/controller.h>
#include <corkward/control/validator.h>
#include <corkward/core/json.h>

#include "call_method.h"
#include "events.h"
#include "json_fields.h"
#include "keys.h"
#include "paths.h"
#include "responses.h"
#include "singleton_roles.h"
#include "status_pages.h"

namespace corkward::control {

namespace {

using core::HttpStatus;

/// Returns true if the call reads an HTTP resource that is served from the values committed at this controller.
bool isLinearizableRead(transport::OperatorCall const& call) {
  return methodOf(call.method) == CallMethod::get &&
         (call.path == paths::templates || call.path.rfind(paths::changes, 0) == 0);
}

/// Returns true if an HTTP resource exists for the target and the method. The roster has resources only for single
/// routers, and these only for DELETE.
bool hasPage(Target const& target, CallMethod method) {
  if (target.key != rosterKey) return true;
  return !target.entry.empty() && method == CallMethod::remove;
}

bool isAllowed(Target const& target, CallMethod method) {
  bool const isPool = hasPrefix(target.key, poolKeyPrefix);
  bool const isZone = hasPrefix(target.key, zoneKeyPrefix);
  switch (method) {
    case CallMethod::get:
    case CallMethod::put:
      return true;
    case CallMethod::remove:
      return !isPool && target.key != config::fleetConfigurationKey;
    case CallMethod::patch:
      return !isPool && !isZone;
    default:
      return false;
  }
}

std::size_t bodyLimit(Target const& target) {
  return target.key == config::fleetConfigurationKey ? maxFleetConfigurationBytes : maxCallBodyBytes;
}

}  // namespace

ControllerCommands Controller::onOperatorCall(Milliseconds now, transport::OperatorCall const& call) {
  ControllerCommands out;
  if (methodOf(call.method) == CallMethod::get && call.path == paths::fleet) {
    out.responses.push_back(respond(call.token, HttpStatus::ok, fleet(now)));
    return out;
  }
  if (isLinearizableRead(call)) {
    startRead(out, now, call);
    return out;
  }
  if (std::optional<std::string> const role = singletonRoleOf(call.path)) {
    out.responses.push_back(respondToRole(now, call, *role));
    return out;
  }
  std::optional<Target> const target = targetOf(call.path);
  if (std::optional<OperatorResponse> rejection = rejectCall(now, call, target))
    out.responses.push_back(*std::move(rejection));
  else
    startCall(out, now, call, *target);
  return out;
}

void Controller::startRead(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call) {
  if (reads_.isFull())
    out.responses.push_back(notAccepted(call.token, tooManyCalls));
  else
    reads_.add(now, call);
  completeReads(out, now);
}

OperatorResponse Controller::respondToRole(Milliseconds now, transport::OperatorCall const& call,
                                           std::string const& role) {
  Milliseconds const duration = tuning_.singletonLeaseDuration;
  SingletonRoleContext const context{mayGrantLeases(now, duration), duration, registers_.self().id,
                                     registers_.membership(), revisionOf(values(), consensus::membershipKey)};
  return singletonRoleEndpoint(now, leases_, role, call, context);
}

std::optional<OperatorResponse> Controller::rejectCall(Milliseconds now, transport::OperatorCall const& call,
                                                       std::optional<Target> const& target) const {
  CallMethod const method = methodOf(call.method);
  if (!target || !hasPage(*target, method))
    return respond(call.token, HttpStatus::notFound, {{fields::error, "not found"}, {fields::reason, "no such page"}});
  if (!isAllowed(*target, method)) return methodNotAllowed(call.token);
  if (call.body.size() > bodyLimit(*target))
    return respond(call.token, HttpStatus::contentTooLarge, {{fields::error, "too large"}});
  if (draining_) return notAccepted(call.token, "leaving");
  if (calls_.isFull() || unconfirmedOrders_.isFull()) return notAccepted(call.token, tooManyCalls);
  if (!ready(now)) return rejectWithoutQuorum(call.token);
  return std::nullopt;
}

void Controller::startCall(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call,
                           Target const& target) {
  if (needsCaller(target, call)) {
    unconfirmedOrders_.add(UnconfirmedOrder{call, target.key, now, revisionOf(values(), target.key)});
    return;
  }
  PendingCall pending;
  pending.token = call.token;
  pending.key = target.key;
  pending.call = call;
  if (hasPrefix(target.key, zoneKeyPrefix)) pending.call.ifMatch = std::to_string(revisionOf(values(), target.key));
  pending.since = now;
  pending.revisionAtArrival = revisionOf(values(), target);
  std::uint64_t const id = calls_.add(std::move(pending));
  std::optional<std::string> const pool = nameOf(target.key, poolKeyPrefix);
  if (pool && methodOf(call.method) == CallMethod::put) announceRemovals(out, now, call, *pool);
  route(out, now, id);
}

void Controller::announceRemovals(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call,
                                  std::string const& pool) {
  try {
    if (std::optional<transport::EndpointRemovalHint> const hint = removalHintOf(pool, call, values()))
      on(out, now, "", *hint);
  } catch (core::Error const&) {
    journal_.append(now, events::endpointListUnreadable, keyOf(poolKeyPrefix, pool));
  }
}

void Controller::route(ControllerCommands& out, Milliseconds now, std::uint64_t id) {
  PendingCall* const pending = calls_.find(id);
  if (pending == nullptr) return;
  std::string const owner = registers_.ownerLink(pending->key, now);
  bool const isOwnedByAnotherController = !owner.empty() && owner != registers_.self().link;
  if (isOwnedByAnotherController && !pending->from.empty()) {
    finish(out, now, id, HttpStatus::misdirectedRequest, {{fields::error, "not the owner"}});
    return;
  }
  pending->forwarded = isOwnedByAnotherController;
  if (isOwnedByAnotherController)
    forward(out, now, *pending, owner);
  else
    submit(out, now, *pending);
}

void Controller::forward(ControllerCommands& out, Milliseconds now, PendingCall& pending, std::string const& owner) {
  pending.sentAt = now;
  transport::OperatorCall call = pending.call;
  call.needsReservation = pending.needsCaller;
  call.reservation = std::exchange(pending.reservation, 0);
  out.sends.push_back(transport::Send{owner, std::move(call)});
}

void Controller::submit(ControllerCommands& out, Milliseconds now, PendingCall const& pending) {
  using consensus::CallValidity;
  if (pending.needsCaller) reservations_.invalidate(pending.key);
  CallValidity const validity = pending.needsCaller ? CallValidity::currentBallot : CallValidity::anyBallot;
  apply(out, now, registers_.submit(now, pending.key, pending.call, validity));
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    transport::OperatorCall const& call) {
  std::optional<Target> const target = targetOf(call.path);
  bool const needsReservation = call.needsReservation && call.reservation == 0;
  if (target && !draining_ && needsReservation) {
    replyWithReservation(out, now, from, target->key, call.token);
    return;
  }
  if (!target || draining_ || calls_.isFull() || !isReserved(now, from, target->key, call)) {
    int const status = core::code(HttpStatus::misdirectedRequest);
    out.sends.push_back(transport::Send{from, transport::OperatorCallReply{call.token, status, {}, 0}});
    return;
  }
  PendingCall pending;
  pending.from = from;
  pending.token = call.token;
  pending.key = target->key;
  pending.call = call;
  pending.since = now;
  pending.revisionAtArrival = revisionOf(values(), *target);
  pending.needsCaller = needsCaller(*target, call);
  route(out, now, calls_.add(std::move(pending)));
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const&,
                    transport::OperatorCallReply const& reply) {
  PendingCall* const pending = calls_.find(reply.token);
  if (pending == nullptr || !pending->forwarded) return;
  if (reply.status == core::code(HttpStatus::misdirectedRequest)) {
    pending->forwarded = false;
    return;
  }
  if (reply.reservation > 0) {
    pending->reservation = reply.reservation;
    out.callerChecks.push_back(pending->token);
    return;
  }
  finish(out, now, reply.token, reply.status, reply.body);
}

void Controller::onCallCompleted(ControllerCommands& out, Milliseconds now, consensus::CallCompleted const& completed) {
  PendingCall const* const pending = calls_.find(completed.token);
  if (pending == nullptr) return;
  guarantees_.checkConfirmed(completed, pending->call);
  announceNewerList(out, now, completed);
  constexpr int endOfSuccess = 300;
  bool const replayed = completed.body.value(fields::replayed).toBool() && completed.status < endOfSuccess;
  // A replay on a key without a value requests the initial state, such as ending an evacuation that never started. All
  // routers have that state, so there is no rollout to wait for.
  bool const hasNoRollout = completed.revision == 0 && (!replayed || revisionOf(values(), completed.key) == 0);
  if (!tuning_.awaitRollout || hasNoRollout) {
    QJsonObject body = completed.body;
    if (tuning_.awaitRollout && replayed) body.insert(fields::rolloutComplete, true);
    finish(out, now, completed.token, completed.status, body);
    return;
  }
  std::uint64_t const revision = completed.revision != 0
                                     ? completed.revision
                                     : static_cast<std::uint64_t>(completed.body.value(fields::revision).toInteger());
  rollouts_.awaitRollout(
      PendingRolloutReply{completed.token, completed.key, revision, now, -1, completed.status, completed.body});
  completeRolloutReplies(out, now);
}

core::LogEvent Controller::callLogEvent(Milliseconds now, PendingCall const& call, int status,
                                        QJsonObject const& body) const {
  core::LogEvent event{isChange(call.call.method) ? events::changeCompleted : events::readFailed,
                       {{"path", call.call.path},
                        {"status", std::to_string(status)},
                        {"took-ms", std::to_string(now - call.since)},
                        {"revision", std::to_string(revisionOf(values(), call.key))},
                        {"owner", registers_.ownerLink(call.key, now)}}};
  if (!call.call.ifMatch.empty()) event.fields["base"] = call.call.ifMatch;
  if (!call.call.changeId.empty()) event.fields["change-id"] = call.call.changeId;
  if (!call.from.empty()) event.fields["forwarded-by"] = call.from;
  if (body.contains(fields::reason)) event.fields["reason"] = core::toStdString(body.value(fields::reason).toString());
  return event;
}

void Controller::finish(ControllerCommands& out, Milliseconds now, std::uint64_t id, HttpStatus status,
                        QJsonObject const& body) {
  finish(out, now, id, core::code(status), body);
}

void Controller::finish(ControllerCommands& out, Milliseconds now, std::uint64_t id, int status, QJsonObject body) {
  std::optional<PendingCall> const call = calls_.remove(id);
  if (!call) return;
  if (call->needsCaller) registers_.cancel(call->key, id);
  guarantees_.checkServed(*call, status, body);
  CallMethod const method = methodOf(call->call.method);
  if (method == CallMethod::reconcileRoster) rosterReconciler_.proposalEnded();
  if (isChange(method) && !body.contains(fields::changeId))
    body.insert(fields::changeId, core::toQString(call->call.changeId));
  journal_.append(now, events::callAnswered + std::to_string(status), call->call.path);
  if (isChange(method) || status >= core::firstErrorCode)
    out.logEvents.push_back(callLogEvent(now, *call, status, body));
  if (!call->from.empty())
    out.sends.push_back(transport::Send{call->from, transport::OperatorCallReply{call->token, status, body, 0}});
  else if (call->isFromOperator())
    out.responses.push_back(OperatorResponse{call->token, status, body});
}

void Controller::completeReads(ControllerCommands& out, Milliseconds now) {
  for (auto const& [call, confirmed] : reads_.takeCompleted(now, quorumContact(now), draining_)) {
    if (!confirmed)
      out.responses.push_back(rejectWithoutQuorum(call.token));
    else if (call.path == paths::templates)
      out.responses.push_back(respond(call.token, HttpStatus::ok, templatesPage(values())));
    else
      out.responses.push_back(
          changePage(call, values(), tuning_.awaitRollout ? &rollouts_ : nullptr, rolloutInputs(now)));
  }
}

void Controller::completeRolloutReplies(ControllerCommands& out, Milliseconds now) {
  for (PendingRolloutReply const& reply : rollouts_.takeDueReplies(rolloutInputs(now)))
    finish(out, now, reply.call, reply.status, reply.body);
}

void Controller::resumeCalls(ControllerCommands& out, Milliseconds now) {
  std::vector<std::uint64_t> const expired = calls_.olderThan(now, tuning_.forwardTimeout);
  std::vector<std::uint64_t> const toRoute = callsToRoute(now);
  completeReads(out, now);
  rejectCallsWithoutQuorum(out, now);
  for (std::uint64_t const id : toRoute) {
    PendingCall const* const call = calls_.find(id);
    bool const awaitsCaller = call != nullptr && call->needsCaller && call->isFromOperator();
    if (awaitsCaller)
      out.callerChecks.push_back(call->token);
    else
      route(out, now, id);
  }
  for (std::uint64_t const id : expired)
    finishWithoutOutcome(out, now, id, "the key's owner did not answer in time; ask by the change id");
}

std::vector<std::uint64_t> Controller::callsToRoute(Milliseconds now) const {
  std::vector<std::uint64_t> ids;
  for (auto const& [id, call] : calls_.all()) {
    bool const isExpired = now - call.since > tuning_.forwardTimeout;
    if (isExpired) continue;
    if (call.forwarded) {
      if (now - call.sentAt > tuning_.resendEvery) ids.push_back(id);
      continue;
    }
    bool const isOwn = methodOf(call.call.method) == CallMethod::reconcileRoster;
    bool const mayBeRerouted = call.from.empty() && !isOwn && !rollouts_.awaitsReply(id);
    if (mayBeRerouted && !registers_.owns(call.key) && !registers_.ownerLink(call.key, now).empty()) ids.push_back(id);
  }
  return ids;
}

void Controller::rejectCallsWithoutQuorum(ControllerCommands& out, Milliseconds now) {
  QuorumContact const contact = draining_ ? QuorumContact() : quorumContact(now);
  std::vector<std::uint64_t> unconfirmed;
  for (auto const& [id, call] : calls_.all()) {
    bool const isLate = now - call.since > tuning_.quorumConfirmationTimeout;
    if (call.isFromOperator() && isLate && !confirmedSince(contact, call.since)) unconfirmed.push_back(id);
  }
  for (std::uint64_t const id : unconfirmed) {
    if (isChange(calls_.find(id)->call.method))
      finishWithoutOutcome(out, now, id, "no majority was reached in time; ask by the change id");
    else
      finish(out, now, id, HttpStatus::serviceUnavailable, noQuorumBody());
  }
}

void Controller::finishWithoutOutcome(ControllerCommands& out, Milliseconds now, std::uint64_t id, char const* reason) {
  PendingCall const* const call = calls_.find(id);
  if (call == nullptr) return;
  // The change may still be committed, so the status must not mean a rejection.
  if (isChange(call->call.method))
    finish(out, now, id, HttpStatus::gatewayTimeout, {{fields::error, "unknown"}, {fields::reason, reason}});
  else
    finish(out, now, id, HttpStatus::serviceUnavailable, {{fields::error, "not confirmed"}, {fields::reason, reason}});
}

}  // namespace corkward::control
