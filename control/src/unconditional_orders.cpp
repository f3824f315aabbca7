// Holds orders without a base revision until their callers are seen waiting, and reserves them at the key's owner.
#include <corkward/control/controller.h>

#include "call_method.h"
#include "events.h"
#include "json_fields.h"
#include "keys.h"
#include "responses.h"

namespace corkward::control {

bool Controller::needsCaller(Target const& target, transport::OperatorCall const& call) const {
  CallMethod const method = methodOf(call.method);
  bool const isZone = hasPrefix(target.key, zoneKeyPrefix);
  bool const mayLackBase = target.key == config::regimesKey || target.key == rosterKey;
  bool const isRemoval = mayLackBase && method == CallMethod::remove && call.ifMatch.empty() && !call.dryRun;
  bool const namesNoBase = (isZone && isChange(method)) || isRemoval;
  return namesNoBase && tuning_.callerConfirmationDelay > 0;
}

void Controller::checkCallers(ControllerCommands& out, Milliseconds now) {
  for (std::uint64_t const token : unconfirmedOrders_.due(now)) out.callerChecks.push_back(token);
}

ControllerCommands Controller::onCallerChecked(Milliseconds now, std::uint64_t token, bool waiting) {
  ControllerCommands out;
  if (!waiting) {
    abandonOrder(out, now, token);
    return out;
  }
  if (std::optional<UnconfirmedOrder> order = unconfirmedOrders_.take(token))
    startConfirmedOrder(out, now, *std::move(order));
  else if (std::optional<std::uint64_t> const id = calls_.idOfOperatorCall(token))
    route(out, now, *id);
  return out;
}

ControllerCommands Controller::onCallerDisconnected(Milliseconds now, std::uint64_t token) {
  ControllerCommands out;
  abandonOrder(out, now, token);
  return out;
}

void Controller::startConfirmedOrder(ControllerCommands& out, Milliseconds now, UnconfirmedOrder order) {
  if (draining_ || calls_.isFull()) {
    out.responses.push_back(notAccepted(order.call.token, draining_ ? "leaving" : tooManyCalls));
    return;
  }
  PendingCall pending;
  pending.token = order.call.token;
  pending.key = std::move(order.key);
  pending.call = std::move(order.call);
  if (hasPrefix(pending.key, zoneKeyPrefix)) pending.call.ifMatch = std::to_string(order.revision);
  pending.since = order.since;
  pending.revisionAtArrival = order.revision;
  pending.needsCaller = true;
  route(out, now, calls_.add(std::move(pending)));
}

void Controller::abandonOrder(ControllerCommands& out, Milliseconds now, std::uint64_t token) {
  std::optional<UnconfirmedOrder> const order = unconfirmedOrders_.take(token);
  std::optional<std::uint64_t> const id = calls_.idOfOperatorCall(token);
  PendingCall const* const call = id ? calls_.find(*id) : nullptr;
  bool const isPending = call != nullptr && call->needsCaller && !rollouts_.awaitsReply(*id);
  if (!order && !isPending) return;
  std::string const path = order ? order->call.path : call->call.path;
  journal_.append(now, std::string(events::orderAbandoned.metricLabel()), path);
  out.logEvents.push_back(core::LogEvent{events::orderAbandoned, {{"path", path}}});
  if (!isPending) return;
  registers_.cancel(call->key, *id);
  calls_.remove(*id);
}

void Controller::replyWithReservation(ControllerCommands& out, Milliseconds now, std::string const& from,
                                      std::string const& key, std::uint64_t token) {
  std::uint64_t const ballot = registers_.ownedBallot(key);
  int const misdirected = core::code(core::HttpStatus::misdirectedRequest);
  transport::OperatorCallReply reply{token, misdirected, {}, 0};
  if (ballot > 0) {
    reply.status = 0;
    reply.reservation = reservations_.reserve(now, key, from, ballot);
  }
  out.sends.push_back(transport::Send{from, std::move(reply)});
}

bool Controller::isReserved(Milliseconds now, std::string const& from, std::string const& key,
                            transport::OperatorCall const& call) {
  if (!call.needsReservation) return true;
  return reservations_.redeem(now, key, from, registers_.ownedBallot(key), call.reservation);
}

void Controller::resume(ControllerCommands& out, Milliseconds now, std::uint64_t id) {
  PendingCall const* const pending = calls_.find(id);
  if (pending == nullptr) return;
  if (!pending->needsCaller)
    route(out, now, id);
  else if (pending->isFromOperator())
    out.callerChecks.push_back(pending->token);
  else
    finish(out, now, id, core::HttpStatus::misdirectedRequest, {{fields::error, "not the owner"}});
}

}  // namespace corkward::control
