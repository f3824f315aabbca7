#include "late_order_model.h"

#include <corkward/core/types.h>

namespace corkward::explore {

namespace {

using Kind = LateOrderModel::Kind;
using State = LateOrderModel::State;

constexpr Milliseconds tickLength = 200;
constexpr Milliseconds holdDelay = 2 * tickLength;
constexpr int maxTicks = 9;
constexpr std::uint64_t firstRevision = 1;
/// The key passes to the other owner and back.
constexpr std::uint64_t maxBallot = 3;
constexpr char const* zone = "zone:z1";
constexpr char const* relayLink = "relay";
constexpr std::uint64_t token = 1;

constexpr Kind allKinds[] = {Kind::tick,
                             Kind::deliverBytes,
                             Kind::leave,
                             Kind::deliverClose,
                             Kind::checkCaller,
                             Kind::deliverCall,
                             Kind::deliverReservation,
                             Kind::deliverReservedCall,
                             Kind::begin,
                             Kind::carryOutBegin,
                             Kind::changeOwner};

Milliseconds timeOf(State const& state) {
  return 1000 + state.ticks * tickLength;
}

bool isHeld(State const& state) {
  return state.held.size() > 0;
}

bool isFirstOwner(State const& state) {
  return state.ballot % 2 == 1;
}

}  // namespace

std::vector<State> LateOrderModel::initial() const {
  State state;
  state.held = control::UnconfirmedOrders(rules_.holdsOrders ? holdDelay : 0);
  return {state};
}

bool LateOrderModel::isPossible(State const& state, Kind kind) const {
  bool const closeIsDue = state.closeDueAt >= 0 && !state.closeSeen && state.ticks > state.closeDueAt;
  switch (kind) {
    case Kind::tick:
      return state.ticks < maxTicks && !closeIsDue;
    case Kind::deliverBytes:
      return !state.bytesRead;
    case Kind::leave:
      return !state.callerLeft;
    case Kind::deliverClose:
      return state.callerLeft && state.bytesRead && !state.closeSeen;
    case Kind::checkCaller:
      return isHeld(state) && !state.held.due(timeOf(state)).empty();
    case Kind::deliverCall:
      return state.callInFlight;
    case Kind::deliverReservation:
      return state.reservationInFlight;
    case Kind::deliverReservedCall:
      return state.reservedCallInFlight;
    case Kind::begin:
      return state.callerLeft && state.beginReadAt < 0;
    case Kind::carryOutBegin:
      return state.beginReadAt >= 0 && !state.beginAcknowledged &&
             (!rules_.holdsOrders || state.ticks >= state.beginReadAt + holdDelay / tickLength);
    case Kind::changeOwner:
      return state.ballot < maxBallot && (state.reservationInFlight || state.reservedCallInFlight);
  }
  return false;
}

std::vector<LateOrderModel::Action> LateOrderModel::actions(State const& state) const {
  std::vector<Action> possible;
  for (Kind const kind : allKinds)
    if (isPossible(state, kind)) possible.push_back({kind});
  return possible;
}

void LateOrderModel::relay(State& state) const {
  if (!state.held.take(token) || state.closeSeen) return;
  state.callInFlight = rules_.reservesOrders;
  state.reservedCallInFlight = !rules_.reservesOrders;
}

std::uint64_t LateOrderModel::reservationBallot(State const& state) const {
  if (!isFirstOwner(state)) return 0;
  return rules_.bindsBallot ? state.ballot : 1;
}

bool LateOrderModel::isRedeemable(State& state) const {
  std::uint64_t const ballot = reservationBallot(state);
  return ballot > 0 && state.reservations.redeem(timeOf(state), zone, relayLink, ballot, state.reservation);
}

void LateOrderModel::finish(State& state) {
  state.reservations.invalidate(zone);
  bool const isOnNotedRevision = state.revision == firstRevision;
  if (!isOnNotedRevision || !state.isEvacuated) return;
  state.isEvacuated = false;
  ++state.revision;
  if (state.beginAcknowledged) state.broken = "an order that was late undid one that was acknowledged";
}

void LateOrderModel::carryOutBegin(State& state) const {
  if (isFirstOwner(state)) state.reservations.invalidate(zone);
  bool const isOnNotedRevision = state.revision == state.beginRevision;
  // An order that is refused is sent again by its operator, which waits for it.
  if (!state.isEvacuated && !isOnNotedRevision) {
    state.beginReadAt = -1;
    return;
  }
  if (!state.isEvacuated) ++state.revision;
  state.isEvacuated = true;
  state.beginAcknowledged = true;
}

State LateOrderModel::apply(State const& before, Action const& action) const {
  State state = before;
  switch (action.kind) {
    case Kind::tick:
      ++state.ticks;
      break;
    case Kind::deliverBytes: {
      state.bytesRead = true;
      control::UnconfirmedOrder order;
      order.call.token = token;
      order.since = timeOf(state);
      state.held.add(order);
      break;
    }
    case Kind::leave:
      state.callerLeft = true;
      break;
    case Kind::deliverClose:
      state.closeSeen = true;
      break;
    case Kind::checkCaller:
      relay(state);
      break;
    case Kind::deliverCall:
      state.callInFlight = false;
      state.reservation = state.reservations.reserve(timeOf(state), zone, relayLink, reservationBallot(state));
      state.reservationInFlight = true;
      break;
    case Kind::deliverReservation:
      state.reservationInFlight = false;
      state.reservedCallInFlight = !state.closeSeen;
      break;
    case Kind::deliverReservedCall:
      state.reservedCallInFlight = false;
      if (!rules_.reservesOrders || isRedeemable(state)) finish(state);
      break;
    case Kind::begin:
      state.beginReadAt = state.ticks;
      state.beginRevision = state.revision;
      break;
    case Kind::carryOutBegin:
      carryOutBegin(state);
      break;
    case Kind::changeOwner:
      ++state.ballot;
      break;
  }
  if (state.closeDueAt < 0 && state.bytesRead && state.callerLeft) state.closeDueAt = state.ticks;
  return state;
}

std::uint64_t LateOrderModel::digest(State const& state) const {
  std::string text = std::to_string(state.ticks) + " " + std::to_string(state.closeDueAt) + " " +
                     std::to_string(state.reservation) + " " + std::to_string(state.beginReadAt) + " " +
                     std::to_string(state.beginRevision) + " " + std::to_string(state.revision) + " " +
                     std::to_string(state.ballot);
  for (Kind const kind : allKinds) text += isPossible(state, kind) ? '1' : '0';
  for (bool const bit :
       {state.bytesRead, state.callerLeft, state.closeSeen, state.callInFlight, state.reservationInFlight,
        state.reservedCallInFlight, state.beginAcknowledged, state.isEvacuated, isHeld(state), state.broken.empty()})
    text += bit ? '1' : '0';
  // The time at which the order was read decides when it is due.
  for (Milliseconds ahead = 0; ahead <= holdDelay; ahead += tickLength)
    text += state.held.due(timeOf(state) + ahead).empty() ? '0' : '1';
  // The age and the ballot of a reservation decide whether and until when it can be redeemed.
  for (std::uint64_t ballot = 1; ballot <= maxBallot; ++ballot)
    for (int ahead = 0; ahead <= maxTicks; ++ahead) {
      control::OrderReservations reservations = state.reservations;
      Milliseconds const then = timeOf(state) + ahead * tickLength;
      text += reservations.redeem(then, zone, relayLink, ballot, state.reservation) ? '1' : '0';
    }
  return core::stableHash(text);
}

std::string LateOrderModel::name(State const& state, Action const& action) {
  char const* const what = [&] {
    switch (action.kind) {
      case Kind::tick:
        return "the clock advances";
      case Kind::deliverBytes:
        return "the relaying controller reads `finish`";
      case Kind::leave:
        return "the operator leaves";
      case Kind::deliverClose:
        return "the end of the connection arrives";
      case Kind::checkCaller:
        return "the relaying controller looks for its caller";
      case Kind::deliverCall:
        return "the owner makes a reservation";
      case Kind::deliverReservation:
        return "the relaying controller hears of the reservation and looks for its caller";
      case Kind::deliverReservedCall:
        return "the owner gets `finish`";
      case Kind::begin:
        return "the owner reads `begin`";
      case Kind::carryOutBegin:
        return "the owner carries `begin` out";
      case Kind::changeOwner:
        return "the key passes to the other owner";
    }
    return "";
  }();
  return std::to_string(timeOf(state)) + " ms: " + what;
}

}  // namespace corkward::explore
