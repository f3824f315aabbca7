/// Orders on zones that are read, or reach the key's owner, after their operators have left, and the check that none of
/// them undoes an order that was acknowledged later.
#include <algorithm>
#include <array>
#include <memory>
#include <variant>

#include "internal.h"

namespace corkward::testing {

namespace {

constexpr char const* begin = "PUT";
constexpr char const* finish = "DELETE";
constexpr int ok = 200;
/// Operators leave after this long without an answer.
constexpr Milliseconds operatorPatience = 1000;
constexpr Milliseconds retryPause = 300;
constexpr int maxTries = 15;
/// A FIN follows the bytes of its order by at most a round trip.
constexpr std::uint64_t maxRoundTrip = 200;
/// After the late order has arrived, its effect would be seen within this time.
constexpr Milliseconds settleTime = 3000;

std::string zonePage(std::string const& zone) {
  return "/v1/evacuations/" + zone;
}

}  // namespace

void SimulatedCluster::scheduleLateOrders() {
  after(4000 + static_cast<Milliseconds>(lateRandom_.below(6000)), [this] {
    if (loadStopped_) return;
    std::string const zone = "z" + std::to_string(1 + lateRandom_.below(static_cast<std::uint64_t>(plan_.zones)));
    if (evacuations_.count(zone) > 0) {
      scheduleLateOrders();
      return;
    }
    evacuations_[zone] = {now_, false};
    startLateOrder(zone);
  });
}

void SimulatedCluster::startLateOrder(std::string const& zone) {
  LateOrder order;
  order.zone = zone;
  order.isFinish = lateRandom_.chance(0.5);
  order.isRepeated = lateRandom_.chance(0.5);
  constexpr std::array<LateBy, 3> ways{LateBy::cut, LateBy::freeze, LateBy::hop};
  order.by = ways[lateRandom_.below(ways.size())];
  order.delay = 2500 + static_cast<Milliseconds>(lateRandom_.below(3500));
  char const* const late = order.isFinish ? finish : begin;
  char const* const reversed = order.isFinish ? begin : finish;
  orderUntilAcknowledged(zone, reversed, maxTries, [this, order, late, reversed](bool started) {
    if (!started) return endLateOrder(order.zone);
    if (order.isFinish) evacuations_[order.zone] = {now_, true};
    Milliseconds const sentAt = now_;
    sendLateOrder(order, late);
    after(operatorPatience, [this, order, late, reversed, sentAt] {
      auto const reverse = [this, order, reversed, sentAt](bool) {
        if (order.isFinish) evacuations_[order.zone] = {now_, false};
        orderUntilAcknowledged(order.zone, reversed, maxTries, [this, order, sentAt](bool acknowledged) {
          if (acknowledged) checkAfterLateOrder(order, sentAt);
          if (!acknowledged) endLateOrder(order.zone);
        });
      };
      if (!order.isRepeated) return reverse(true);
      if (order.isFinish) evacuations_[order.zone] = {now_, false};
      orderUntilAcknowledged(order.zone, late, maxTries, reverse);
    });
  });
}

void SimulatedCluster::orderUntilAcknowledged(std::string const& zone, char const* method, int tries,
                                              std::function<void(bool)> then) {
  if (tries == 0 || loadStopped_) return then(false);
  change("zone:" + zone, method, method, zonePage(zone), "", "", "",
         [this, zone, method, tries, then](int status, QJsonObject const&) {
           if (status == ok) return then(true);
           after(retryPause, [=, this] { orderUntilAcknowledged(zone, method, tries - 1, then); });
         });
}

void SimulatedCluster::sendLateOrder(LateOrder const& order, char const* method) {
  std::string const link = chooseController();
  if (link.empty()) return;
  ++result_.counts["late-orders"];
  std::uint64_t const incarnation = node(link)->incarnation;
  transport::OperatorCall call;
  call.token = nextCall_++;
  call.method = method;
  call.path = zonePage(order.zone);
  if (order.by == LateBy::hop) lateHops_[order.zone] = {link, now_ + order.delay};
  if (order.by == LateBy::freeze) freeze(*node(link), order.delay);
  Milliseconds const arrivesAfter = order.by == LateBy::cut ? order.delay : 1;
  bool const isOnTime = order.by == LateBy::hop;
  Milliseconds const leavesAfter =
      isOnTime ? operatorPatience : static_cast<Milliseconds>(lateRandom_.below(maxRoundTrip));
  after(arrivesAfter, [this, link, incarnation, call, leavesAfter] {
    answers_[{link, call.token}] = [](int, QJsonObject const&) {};
    after(leavesAfter, [this, link, token = call.token] { answers_.erase({link, token}); });
    deliverToNode(link, incarnation, [this, link, call] {
      Node& n = *node(link);
      run(n, n.control->onOperatorCall(local(n), call));
    });
  });
}

Milliseconds SimulatedCluster::hopDelay(std::string const& from, transport::Message const& message) {
  transport::OperatorCall const* const call = std::get_if<transport::OperatorCall>(&message);
  if (call == nullptr) return 0;
  for (auto const& [zone, hop] : lateHops_)
    if (hop.first == from && call->path == zonePage(zone) && hop.second > now_) return hop.second - now_;
  return 0;
}

void SimulatedCluster::checkAfterLateOrder(LateOrder const& order, Milliseconds sentAt) {
  if (order.isFinish) evacuations_[order.zone] = {now_, true};
  Milliseconds const arrivedAt = sentAt + order.delay;
  after(std::max<Milliseconds>(arrivedAt - now_, 0) + settleTime, [this, order] { checkZone(order); });
}

void SimulatedCluster::checkZone(LateOrder const& order) {
  bool const isKnown = std::any_of(nodes_.begin(), nodes_.end(), [this](auto& entry) {
    Node& n = entry.second;
    return n.control && n.control->ready(local(n));
  });
  if (!isKnown) return after(500, [this, order] { checkZone(order); });
  consensus::CommittedValue newest;
  for (auto const& [link, n] : nodes_) {
    if (!n.control) continue;
    auto const& committed = n.control->registers().committed();
    auto const zone = committed.find("zone:" + order.zone);
    if (zone != committed.end() && zone->second.revision > newest.revision) newest = zone->second;
  }
  ++result_.counts["late-orders-checked"];
  if (newest.value.value("evacuated").toBool() != order.isFinish)
    violation("a late order undid an acknowledged one: " + order.zone + ", " + (order.isFinish ? finish : begin));
  endLateOrder(order.zone);
}

void SimulatedCluster::endLateOrder(std::string const& zone) {
  lateHops_.erase(zone);
  evacuations_[zone] = {now_, false};
  change("zone:" + zone, "lift", finish, zonePage(zone), "", "", "",
         [this, zone](int, QJsonObject const&) { evacuations_.erase(zone); });
  scheduleLateOrders();
}

}  // namespace corkward::testing
