#include <algorithm>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "internal.h"

/// Operators of the fleet configuration: changes, retries at other machines, races and reads, and the answers they may
/// get.
namespace corkward::testing {

namespace {

/// An operator takes so long a silence for no answer, and gives an order up after so long in all.
constexpr Milliseconds answerTimeout = 1000;
constexpr Milliseconds orderPatience = 20000;
/// Answers that are no clear ones: the order is sent again.
bool unclear(int status) {
  return status == 0 || status == 307 || status == 408 || status == 421 || status == 429 || status >= 500;
}

bool success(int status) {
  return status == 200 || status == 201;
}

std::string configurationBody(std::uint64_t version) {
  QJsonObject const body = core::parseJson(R"({"pools":[{"name":"wide","standing":"/health"}],"paths":[{"name":"p",
      "host":"h","prefix":"/a/","kind":"once","deadlineMs":3000,"pool":"wide"}]})")
                               .toObject();
  QJsonObject out = body;
  out.insert("version", static_cast<qint64>(version));
  return core::jsonText(out);
}

}  // namespace

std::string SimulatedCluster::otherController(std::string const& link) {
  std::vector<std::string> up;
  for (auto const& [address, machine] : nodes_)
    if (machine.control && machine.alive && !machine.draining && address != link) up.push_back(address);
  if (up.empty()) return node(link) != nullptr && node(link)->alive ? link : std::string();
  return up[rng_.below(up.size())];
}

void SimulatedCluster::sendOperatorCall(std::string const& link, transport::OperatorCall call, Milliseconds limit,
                                        std::function<void(int, QJsonObject const&)> then) {
  Node const* const to = node(link);
  if (to == nullptr || !to->alive) {
    after(2, [then] { then(0, {}); });
    return;
  }
  call.token = nextCall_++;
  std::shared_ptr<bool> const done = std::make_shared<bool>(false);
  bool const late = plan_.mutation == Mutation::lateAnswers && call.method != "GET";
  answers_[{link, call.token}] = [this, done, then, late](int status, QJsonObject const& body) {
    auto const deliver = [done, then, status, body] {
      if (*done) return;
      *done = true;
      then(status, body);
    };
    if (late)
      after(5000, deliver);
    else
      deliver();
  };
  std::uint64_t const incarnation = to->incarnation;
  after(2, [this, link, incarnation, call] {
    toNode(link, incarnation, [this, link, call] {
      Node& n = *node(link);
      run(n, n.control->onOperatorCall(local(n), call));
    });
  });
  after(limit, [done, then] {
    if (*done) return;
    *done = true;
    then(0, {});
  });
  after(20000, [this, link, token = call.token] { answers_.erase({link, token}); });
}

void SimulatedCluster::ordersTurn() {
  if (quiet_) return;
  Milliseconds const mean = burstLeft_ > 0 ? 1 : plan_.operators.every;
  after(1 + static_cast<Milliseconds>(rng_.below(static_cast<std::uint64_t>(2 * mean))), [this] { ordersTurn(); });
  if (rng_.chance(0.1)) lateResend();
  std::size_t const open =
      static_cast<std::size_t>(std::count_if(orders_.begin(), orders_.end(), [](Order const& o) { return !o.closed; }));
  if (open > 0) return;
  orderAnew("");
  if (burstLeft_ == 0 && rng_.chance(plan_.operators.race)) orderAnew("");
  if (burstLeft_ > 0 && --burstLeft_ == 0) afterBurst();
}

void SimulatedCluster::orderAnew(std::string const& link) {
  Order o;
  o.base = std::to_string(knownVersion_);
  nextVersion_ = std::max(nextVersion_, knownVersion_ + 1);
  o.version = nextVersion_;
  nextVersion_ += 1 + rng_.below(3);
  o.id = "order" + std::to_string(o.version);
  o.body = configurationBody(o.version);
  orders_.push_back(o);
  ++result_.counts["orders"];
  sendOrder(orders_.size() - 1, link.empty() ? someController() : link);
}

void SimulatedCluster::sendOrder(std::size_t order, std::string const& link) {
  Order& o = orders_[order];
  if (o.closed) return;
  if (o.sentAt < 0) {
    o.sentAt = now_;
    if (strike_.set && strike_.timed) {
      Strike const due = strike_;
      strike_ = {};
      after(5 + static_cast<Milliseconds>(rng_.below(396)), [this, due] { strike(due); });
    }
  }
  if (now_ - o.sentAt > orderPatience) {
    o.closed = true;
    ++result_.counts["orders-given-up"];
    return;
  }
  if (++o.sends > 1) ++result_.counts["order-resends"];
  transport::OperatorCall call;
  call.method = "PUT";
  call.path = config::fleetConfigurationPage;
  call.ifMatch = o.base;
  call.changeId = o.id;
  if (plan_.mutation == Mutation::rebaseOrders && o.sends > 1) call.ifMatch = std::to_string(confirmedVersion_);
  if (plan_.mutation == Mutation::refuseProper && o.sends == 1 && rng_.chance(0.2)) call.ifMatch = "999999";
  call.body = o.sends > 1 ? resentBody(o) : o.body;
  std::uint64_t const base = confirmedVersion_;
  sendOperatorCall(link, call, answerTimeout, [this, order, link, base](int status, QJsonObject const& body) {
    orderAnswered(order, link, base, status, body);
  });
}

void SimulatedCluster::orderAgain(std::size_t order, std::string const& link, Milliseconds wait) {
  after(wait, [this, order, link] {
    std::string const next = plan_.operators.hard && rng_.chance(0.5) ? link : otherController(link);
    if (orders_[order].closed) return;
    if (next.empty())
      orderAgain(order, link, 300);
    else
      sendOrder(order, next);
  });
}

void SimulatedCluster::orderAnswered(std::size_t order, std::string const& link, std::uint64_t baseAtSend, int status,
                                     QJsonObject const& body) {
  Order& o = orders_[order];
  ++result_.counts["order-" + std::to_string(status)];
  if (success(status)) {
    bool const first = o.acknowledgedAt < 0;
    if (first) {
      o.acknowledgedAt = now_;
      o.revision = static_cast<std::uint64_t>(body.value("stamp").toInteger());
      result_.ackTimes.push_back(now_ - o.sentAt);
      ++result_.counts["orders-taken"];
      confirmedVersion_ = std::max(confirmedVersion_, o.version);
      confirmedRevision_ = std::max(confirmedRevision_, o.revision);
    }
    if (first && strike_.set && !strike_.timed) {
      Strike const due = strike_;
      strike_ = {};
      strike(due);
    }
    if (o.closed) return;
    if (o.sends < 6 && rng_.chance(plan_.operators.ackLost)) {
      ++result_.counts["acks-lost"];
      orderAgain(order, link, plan_.operators.hard ? 20 : answerTimeout);
      return;
    }
    o.closed = true;
    knownVersion_ = std::max(knownVersion_, o.version);
    return;
  }
  if (plan_.mutation == Mutation::rebaseOrders && status == 412 && !o.closed) {
    orderAgain(order, link, 200);
    return;
  }
  if (!unclear(status)) {
    orderRefused(o, link, baseAtSend, status);
    o.closed = true;
    knownVersion_ = std::max(knownVersion_, static_cast<std::uint64_t>(body.value("version").toInteger()));
    return;
  }
  if (!o.closed) orderAgain(order, link, plan_.operators.hard ? 20 : 200);
}

void SimulatedCluster::orderRefused(Order& order, std::string const& link, std::uint64_t baseAtSend, int status) {
  auto const ix = static_cast<std::size_t>(&order - orders_.data());
  bool const inFact = std::any_of(orderOf_.begin(), orderOf_.end(),
                                  [&](std::pair<std::uint64_t const, std::size_t> const& c) { return c.second == ix; });
  if (order.acknowledgedAt >= 0 || inFact) {
    violation("a resend of what was taken was refused with " + std::to_string(status) + " by " + link + ": " +
              order.id + " on " + order.base + ", newest confirmed " + std::to_string(confirmedVersion_));
    return;
  }
  std::uint64_t const newest = committedVersions_.empty() ? 0 : committedVersions_.rbegin()->second;
  if (std::to_string(baseAtSend) == order.base && std::to_string(newest) == order.base)
    violation("a proper order was refused with " + std::to_string(status) + " by " + link + ": " + order.id + " on " +
              order.base + ", which is the newest");
}

std::string SimulatedCluster::resentBody(Order const& order) const {
  if (plan_.mutation != Mutation::alteredResends) return order.body;
  return "{\"resent\":true," + order.body.substr(1);
}

void SimulatedCluster::lateResend() {
  std::vector<std::size_t> acknowledged;
  for (std::size_t i = 0; i < orders_.size(); ++i)
    if (orders_[i].closed && orders_[i].acknowledgedAt >= 0) acknowledged.push_back(i);
  std::string const link = someController();
  if (acknowledged.empty() || link.empty()) return;
  std::size_t const ix = acknowledged[rng_.below(acknowledged.size())];
  Order const& o = orders_[ix];
  transport::OperatorCall call;
  call.method = "PUT";
  call.path = config::fleetConfigurationPage;
  call.ifMatch = o.base;
  call.changeId = o.id;
  call.body = resentBody(o);
  ++result_.counts["late-resends"];
  sendOperatorCall(link, call, answerTimeout, [this, ix, link](int status, QJsonObject const&) {
    if (!success(status) && !unclear(status)) orderRefused(orders_[ix], link, 0, status);
  });
}

void SimulatedCluster::readsTurn() {
  if (quiet_) return;
  after(100 + static_cast<Milliseconds>(rng_.below(400)), [this] { readsTurn(); });
  std::string const link = someController();
  if (!link.empty()) readOnce(link);
}

void SimulatedCluster::readOnce(std::string const& link) {
  std::uint64_t const confirmed = confirmedVersion_;
  Node const& n = *node(link);
  ++result_.counts["reads"];
  if (plan_.mutation == Mutation::staleRead) {
    std::map<std::string, consensus::CommittedValue> const& have = n.control->registers().committed();
    auto const it = have.find(config::fleetConfigurationKey);
    QJsonObject const spec = it == have.end() ? QJsonObject() : it->second.value.value("spec").toObject();
    checkRead(link, confirmed, it == have.end() ? 404 : 200, QJsonObject{{"version", spec.value("version")}});
    return;
  }
  transport::OperatorCall call;
  call.method = "GET";
  call.path = config::fleetConfigurationPage;
  sendOperatorCall(link, call, 10000, [this, link, confirmed](int status, QJsonObject const& body) {
    checkRead(link, confirmed, status, body);
  });
}

void SimulatedCluster::checkRead(std::string const& link, std::uint64_t confirmed, int status,
                                 QJsonObject const& body) {
  if (unclear(status)) {
    ++result_.counts["reads-unclear"];
    return;
  }
  auto const version = static_cast<std::uint64_t>(body.value("version").toInteger());
  if (!success(status) && confirmed > 0)
    violation("a read was refused with " + std::to_string(status) + " by " + link + " though " +
              std::to_string(confirmed) + " was confirmed");
  if (success(status) && version < confirmed)
    violation("a read at " + link + " showed " + std::to_string(version) + ", confirmed before it began was " +
              std::to_string(confirmed));
}

void SimulatedCluster::onFleetConfigurationCommitted(Node const& n) {
  std::map<std::string, consensus::CommittedValue> const& have = n.control->registers().committed();
  auto const it = have.find(config::fleetConfigurationKey);
  if (it == have.end()) return;
  if (!firstFleetConfiguration_)
    firstFleetConfiguration_ =
        transport::CommittedEntry{config::fleetConfigurationKey, it->second.revision, it->second.value};
  std::uint64_t const revision = it->second.revision;
  std::uint64_t version =
      static_cast<std::uint64_t>(it->second.value.value("spec").toObject().value("version").toInteger());
  if (plan_.mutation == Mutation::foreignBody && n.link == "s1") ++version;
  auto const known = committedVersions_.find(revision);
  if (known != committedVersions_.end()) {
    if (known->second != version)
      violation("two whole configurations under revision " + std::to_string(revision) + ": " +
                std::to_string(known->second) + " and " + std::to_string(version));
    return;
  }
  committedVersions_[revision] = version;
  for (std::size_t i = 0; i < orders_.size(); ++i)
    if (orders_[i].version == version) orderOf_[revision] = i;
}

void SimulatedCluster::finalOrders() {
  std::map<std::string, std::string> accepted;
  for (Order const& o : orders_) {
    if (o.acknowledgedAt < 0) continue;
    std::string& before = accepted[o.base];
    if (!before.empty()) violation("two orders on version " + o.base + " were confirmed: " + before + " and " + o.id);
    before = o.id;
  }
  for (std::pair<std::uint64_t const, std::size_t> const& c : orderOf_) {
    auto const earlier = committedVersions_.find(c.first - 1);
    if (earlier != committedVersions_.end() && std::to_string(earlier->second) != orders_[c.second].base)
      violation("order " + orders_[c.second].id + " on " + orders_[c.second].base + " follows version " +
                std::to_string(earlier->second));
  }
  std::string const link = someController();
  if (link.empty()) return;
  transport::OperatorCall call;
  call.method = "GET";
  call.path = config::fleetConfigurationPage;
  sendOperatorCall(link, call, 10000, [this](int status, QJsonObject const& body) {
    auto const version = static_cast<std::uint64_t>(body.value("version").toInteger());
    if (!success(status) && confirmedVersion_ > 0)
      violation("the whole configuration could not be read back: " + std::to_string(status));
    else if (version < confirmedVersion_)
      violation("acknowledged order lost: version " + std::to_string(version) + ", acknowledged " +
                std::to_string(confirmedVersion_));
  });
}

}  // namespace corkward::testing
