#include <corkward/control/order_confirmation.h>

namespace corkward::control {

namespace {

/// A reservation expires after this long. Callers leave after a second of silence.
constexpr Milliseconds reservationLifetime = 1000;

/// Returns the first number of a life of the process, drawn at random from 2^52 values.
std::uint64_t firstNumber(std::uint64_t seed) {
  constexpr std::uint64_t streamOfReservations = 0xa7;
  constexpr int unusedBits = 12;
  return (core::RandomGenerator(seed ^ streamOfReservations).next() >> unusedBits) + 1;
}

}  // namespace

void UnconfirmedOrders::add(UnconfirmedOrder order) {
  std::uint64_t const token = order.call.token;
  orders_[token] = std::move(order);
}

std::vector<std::uint64_t> UnconfirmedOrders::due(Milliseconds now) const {
  std::vector<std::uint64_t> tokens;
  for (auto const& [token, order] : orders_)
    if (now - order.since >= delay_) tokens.push_back(token);
  return tokens;
}

std::optional<UnconfirmedOrder> UnconfirmedOrders::take(std::uint64_t token) {
  auto const it = orders_.find(token);
  if (it == orders_.end()) return std::nullopt;
  UnconfirmedOrder order = std::move(it->second);
  orders_.erase(it);
  return order;
}

OrderReservations::OrderReservations(std::uint64_t seed) : nextNumber_(firstNumber(seed)) {}

std::uint64_t OrderReservations::reserve(Milliseconds now, std::string const& key, std::string const& controller,
                                         std::uint64_t ballot) {
  std::erase_if(reservations_, [&](auto const& entry) { return now - entry.second.madeAt > reservationLifetime; });
  std::uint64_t const number = nextNumber_++;
  reservations_[number] = Reservation{key, controller, ballot, now};
  return number;
}

bool OrderReservations::redeem(Milliseconds now, std::string const& key, std::string const& controller,
                               std::uint64_t ballot, std::uint64_t number) {
  auto const it = reservations_.find(number);
  if (it == reservations_.end()) return false;
  Reservation const reservation = it->second;
  reservations_.erase(it);
  bool const isInTime = now - reservation.madeAt <= reservationLifetime;
  return reservation.key == key && reservation.controller == controller && reservation.ballot == ballot && isInTime;
}

void OrderReservations::invalidate(std::string const& key) {
  std::erase_if(reservations_, [&](auto const& entry) { return entry.second.key == key; });
}

}  // namespace corkward::control
