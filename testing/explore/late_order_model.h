#pragma once

#include <corkward/control/order_confirmation.h>
#include <cstdint>
#include <string>
#include <vector>

namespace corkward::explore {

using core::Milliseconds;

/// Mechanisms of the model that can be turned off.
struct LateOrderRules {
  /// An order is held before its caller is looked for.
  bool holdsOrders = true;
  /// The key's owner reserves an order of another controller.
  bool reservesOrders = true;
  /// A reservation is valid only under the ballot under which it was made.
  bool bindsBallot = true;
};

/// Model of an evacuated zone and two orders of one operator, with the production classes for held orders and
/// reservations. The operator sends `finish` to a controller that does not own the zone's key, leaves it at any time,
/// and then sends `begin` to the owner, where it waits for the answer. Bytes, messages and time advance in any order;
/// the end of the first connection follows its bytes within one step of the clock. The key may pass to another owner
/// and back. Once `begin` is acknowledged, the zone has to stay evacuated.
class LateOrderModel {
 public:
  enum class Kind : std::uint8_t {
    tick,
    deliverBytes,
    leave,
    deliverClose,
    checkCaller,
    deliverCall,
    deliverReservation,
    deliverReservedCall,
    begin,
    carryOutBegin,
    changeOwner
  };
  struct Action {
    Kind kind = Kind::tick;
  };
  struct State {
    int ticks = 0;
    bool bytesRead = false;
    bool callerLeft = false;
    bool closeSeen = false;
    /// Step of the clock at which both the bytes were read and the caller had left; the close follows within one step.
    int closeDueAt = -1;
    bool callInFlight = false;
    bool reservedCallInFlight = false;
    /// Reservation on its way to the relaying controller, or held by it; 0 if there is none.
    std::uint64_t reservation = 0;
    bool reservationInFlight = false;
    int beginReadAt = -1;
    std::uint64_t beginRevision = 0;
    bool beginAcknowledged = false;
    std::uint64_t revision = 1;
    /// Ballot of the key's owner. The first owner has the odd ones.
    std::uint64_t ballot = 1;
    bool isEvacuated = true;
    control::UnconfirmedOrders held{0};
    control::OrderReservations reservations{1};
    std::string broken;
  };

  explicit LateOrderModel(LateOrderRules const& rules) : rules_(rules) {}

  std::vector<State> initial() const;
  std::vector<Action> actions(State const& state) const;
  State apply(State const& state, Action const& action) const;
  std::uint64_t digest(State const& state) const;
  static std::string name(State const& state, Action const& action);

 private:
  bool isPossible(State const& state, Kind kind) const;
  void relay(State& state) const;
  static void finish(State& state);
  /// Ballot under which the first owner makes and redeems reservations, or 0 while the key has the other owner.
  std::uint64_t reservationBallot(State const& state) const;
  bool isRedeemable(State& state) const;
  void carryOutBegin(State& state) const;

  LateOrderRules rules_;
};

}  // namespace corkward::explore
