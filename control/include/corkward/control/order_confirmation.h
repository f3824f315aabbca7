#pragma once

/// Confirmation of orders that name no base revision, such as those on a zone. Bytes of a caller may be read long after
/// it has sent them and left: a cut holds them up, the process was suspended, or they wait on the link between two
/// controllers. Such an order is carried out only once its caller has been seen waiting after the order was read.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/operator_messages.h>

namespace corkward::control {

using core::Milliseconds;

/// An order whose caller has not been seen waiting yet.
struct UnconfirmedOrder {
  transport::OperatorCall call;
  std::string key;
  /// When the order was read.
  Milliseconds since = 0;
  /// Revision of the key that was committed at this controller at that time.
  std::uint64_t revision = 0;
};

/// The orders that this controller's own callers have sent and that are held until the callers are confirmed, by the
/// token of the call.
class UnconfirmedOrders {
 public:
  /// @param delay how long an order is held before its caller is looked for, in milliseconds
  explicit UnconfirmedOrders(Milliseconds delay) : delay_(delay) {}

  void add(UnconfirmedOrder order);
  /// Returns the tokens of the orders that have been held for long enough.
  std::vector<std::uint64_t> due(Milliseconds now) const;
  /// Removes and returns the order, or returns std::nullopt if there is none.
  std::optional<UnconfirmedOrder> take(std::uint64_t token);
  std::size_t size() const { return orders_.size(); }
  bool isFull() const { return orders_.size() >= maxOrders; }

  static constexpr std::size_t maxOrders = 4096;

 private:
  Milliseconds delay_;
  std::map<std::uint64_t, UnconfirmedOrder> orders_;
};

/// Reservations that the owner of a key gives to other controllers. A controller has its caller confirmed after the
/// reservation was made and then sends the order with it, so that an order which lay on the link is recognised: its
/// reservation has expired, another order on the key was submitted meanwhile, or the key had another owner meanwhile,
/// so that the ballot under which the reservation was made is over.
class OrderReservations {
 public:
  explicit OrderReservations(std::uint64_t seed);

  /// Makes a reservation for an order on the key and returns its number, which no earlier life of this process used.
  /// @param ballot number of the ballot with which this controller owns the key
  std::uint64_t reserve(Milliseconds now, std::string const& key, std::string const& controller, std::uint64_t ballot);
  /// Returns true if the number is a valid reservation of the controller for the key, and ends it.
  /// @param ballot number of the ballot with which this controller owns the key, or 0 if it does not own it
  bool redeem(Milliseconds now, std::string const& key, std::string const& controller, std::uint64_t ballot,
              std::uint64_t number);
  /// Ends all reservations for the key, because an order on it is submitted.
  void invalidate(std::string const& key);

 private:
  struct Reservation {
    std::string key;
    std::string controller;
    std::uint64_t ballot = 0;
    Milliseconds madeAt = 0;
  };

  std::uint64_t nextNumber_;
  std::map<std::uint64_t, Reservation> reservations_;
};

}  // namespace corkward::control
