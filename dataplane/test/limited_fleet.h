#pragma once

/// Routers and controllers that keep one tenant's limit over a network that is cut, delayed and frozen at random, with
/// an oracle that sums up what is handed to replicas.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <corkward/dataplane/tenants.h>
#include <corkward/quota/quota_coordinator.h>

namespace corkward::dataplane::test {

/// What the fleet is made of and what its tenant asks for.
struct FleetPlan {
  std::size_t controllers = 5;
  std::size_t routers = 16;
  quota::Limit limit{10000, 10000};
  quota::OverdraftAllowance slack{8000, 0.1, 3000};
  /// Units that are asked for in a second, and in one request at a mean.
  double demand = 7000;
  double size = 200;
  /// Routers that the tenant's clients use.
  std::size_t used = 16;
  /// Milliseconds from taking an amount until the hand-over, at the most.
  Milliseconds held = 20;
  /// Above 0: whatever waits is handed over at once, each time so many milliseconds have passed.
  Milliseconds together = 0;
};

/// A safeguard that a test turns off, to see that the oracle finds what it is for.
enum class Without {
  nothing,
  /// Each controller takes itself for a majority.
  majority,
  /// A new lender takes all routers for heard.
  claims,
  /// What was taken may be handed over at any time after.
  handOverLimit,
};

class LimitedFleet {
 public:
  LimitedFleet(FleetPlan plan, std::uint64_t seed, Without without = Without::nothing)
      : plan_(plan), without_(without), rng_(seed * 1000003) {
    tenant_.name = "t";
    tenant_.keys = {"k"};
    tenant_.ratePerSecond = plan.limit.perSecond;
    tenant_.burst = plan.limit.burst;
    tenant_.inTokens = true;
    for (std::size_t i = 0; i < plan.controllers; ++i) members_.push_back("c" + std::to_string(i));
    for (std::size_t i = 0; i < plan.routers; ++i) routerLinks_.push_back("r" + std::to_string(i));
    for (std::string const& link : members_) startController(link);
    for (std::string const& link : routerLinks_) startRouter(link);
  }

  /// Plays so many milliseconds on.
  void play(Milliseconds time) {
    for (Milliseconds const end = now_ + time; now_ < end; ++now_) step();
  }
  void setDemand(double perSecond) { plan_.demand = perSecond; }
  void setLimit(quota::Limit const& limit) {
    plan_.limit = limit;
    tenant_.ratePerSecond = limit.perSecond;
    tenant_.burst = limit.burst;
    for (std::string const& link : members_)
      if (nodes_.at(link).coordinator) configure(nodes_.at(link));
    for (std::string const& link : routerLinks_) nodes_.at(link).tenants->configure({tenant_});
  }
  /// Puts nodes on the other side of a cut; heal takes all cuts away, and what was held up arrives.
  void cut(std::string const& link, int side) { nodes_.at(link).side = side; }
  void heal() {
    for (auto& [link, node] : nodes_) node.side = 0;
  }
  void freeze(std::string const& link, Milliseconds time) { nodes_.at(link).frozenUntil = now_ + time; }
  /// The process is killed and starts again, without what it knew.
  void restart(std::string const& link) {
    if (link[0] == 'c')
      startController(link);
    else
      startRouter(link);
  }
  std::vector<std::string> const& members() const { return members_; }
  std::vector<std::string> const& routers() const { return routerLinks_; }
  /// Who lends the tenant's part; empty: nobody.
  std::vector<std::string> coordinators() const {
    std::vector<std::string> out;
    for (std::string const& link : members_)
      if (nodes_.at(link).coordinator->ownsPartition(now_, quota::partitionOf("t"), membership(link)))
        out.push_back(link);
    return out;
  }
  /// Most that was handed over within a window, and what the operators allow.
  double mostInWindow() const { return most_; }
  double allowed() const { return quota::allowedAmount(plan_.limit, plan_.slack); }
  void beginWindow() {
    run_.clear();
    sum_ = 0;
    most_ = 0;
  }
  Milliseconds now() const { return now_; }
  double requested = 0;
  double served = 0;
  std::size_t requests = 0;
  std::size_t refused = 0;
  /// Longest wait for a decision, in milliseconds.
  Milliseconds longestWait = 0;

 private:
  /// Milliseconds after which a message to a node behind a cut, or to a frozen one, is tried again.
  static constexpr Milliseconds heldUpFor = 20;
  struct Node {
    std::unique_ptr<quota::QuotaCoordinator> coordinator;
    std::unique_ptr<Tenants> tenants;
    Milliseconds startedAt = 0;
    Milliseconds frozenUntil = 0;
    int side = 0;
    std::uint64_t incarnation = 0;
  };
  struct Packet {
    std::string from;
    std::string to;
    transport::Message message;
  };
  struct Request {
    std::string router;
    double amount = 0;
    Milliseconds came = 0;
  };
  struct Run {
    Milliseconds at = 0;
    double amount = 0;
  };

  void startController(std::string const& link) {
    Node& node = nodes_[link];
    node.incarnation = ++incarnations_;
    node.startedAt = now_;
    node.coordinator = std::make_unique<quota::QuotaCoordinator>(link, node.incarnation, plan_.slack);
    configure(node);
  }
  void startRouter(std::string const& link) {
    Node& node = nodes_[link];
    node.incarnation = ++incarnations_;
    node.startedAt = now_;
    node.tenants = std::make_unique<Tenants>(link, node.incarnation, rng_.next(), plan_.slack);
    node.tenants->configure({tenant_});
    node.tenants->setMembers(members_, plan_.routers);
    std::erase_if(waiting_, [&](auto const& request) { return request.second.router == link; });
  }
  void configure(Node& node) { node.coordinator->configure(now_, {{"t", plan_.limit}}); }
  bool reach(std::string const& a, std::string const& b) const { return nodes_.at(a).side == nodes_.at(b).side; }
  bool awake(std::string const& link) const { return now_ >= nodes_.at(link).frozenUntil; }
  quota::MembershipView membership(std::string const& link, bool toAsk = false) const {
    quota::MembershipView out;
    Node const& node = nodes_.at(link);
    out.members = members_;
    for (std::string const& member : members_)
      if (reach(link, member) && awake(member)) out.aliveMembers.push_back(member);
    bool const paused = node.startedAt != 0 && now_ - node.startedAt <= quota::grantDelayAfterStart;
    out.grantPermission = paused ? quota::GrantPermission::none : quota::GrantPermission::all;
    if (!toAsk || without_ != Without::claims) out.routers = {routerLinks_.begin(), routerLinks_.end()};
    if (without_ == Without::majority) out.members = {link};
    out.quorumContactSince = out.aliveMembers.size() > members_.size() / 2 ? now_ : -1;
    return out;
  }
  void send(std::string const& from, std::vector<quota::Send> sends) {
    for (quota::Send& s : sends) std::visit([&](auto& message) { push(from, s.to, std::move(message)); }, s.message);
  }
  void send(std::string const& from, std::vector<transport::Send> sends) {
    for (transport::Send& s : sends) push(from, s.to, std::move(s.message));
  }
  void push(std::string const& from, std::string const& to, transport::Message message) {
    enqueue(now_ + 1 + static_cast<Milliseconds>(rng_.below(4)), {from, to, std::move(message)});
  }
  void deliver() {
    while (!network_.empty() && network_.begin()->first <= now_) {
      Packet packet = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      if (reach(packet.from, packet.to) && awake(packet.to))
        take(packet);
      else
        enqueue(now_ + heldUpFor, std::move(packet));
    }
  }
  void enqueue(Milliseconds at, Packet packet) {
    Milliseconds& last = lastArrival_[{packet.from, packet.to}];
    last = std::max(last, at);
    network_.emplace(last, std::move(packet));
  }
  void take(Packet const& packet) {
    Node& node = nodes_.at(packet.to);
    std::visit(
        [&](auto const& m) {
          std::vector<transport::Send> out;
          if constexpr (requires { node.coordinator->onMessage(now_, packet.from, m, quota::MembershipView{}); }) {
            if (node.coordinator)
              send(packet.to, node.coordinator->onMessage(now_, packet.from, m, membership(packet.to)));
          } else if constexpr (requires { node.tenants->onMessage(now_, packet.from, m, out); }) {
            if (!node.tenants) return;
            decide(packet.to, node.tenants->onMessage(now_, packet.from, m, out));
            send(packet.to, std::move(out));
          } else if constexpr (requires { node.tenants->onMessage(now_, packet.from, m); }) {
            if (node.tenants)
              send(packet.to, std::vector<transport::Send>{node.tenants->onMessage(now_, packet.from, m)});
          }
        },
        packet.message);
  }
  void decide(std::string const& router, std::vector<QuotaDecision> const& decisions) {
    for (QuotaDecision const& decision : decisions) {
      auto const it = waiting_.find(decision.call);
      if (it == waiting_.end()) continue;
      Request const request = it->second;
      waiting_.erase(it);
      longestWait = std::max(longestWait, now_ - request.came);
      conclude(router, request, decision.admission, decision.amountTakenAt);
    }
  }
  void conclude(std::string const& router, Request const& request, Admission admission, Milliseconds takenAt) {
    if (admission != Admission::granted) {
      ++refused;
      return;
    }
    Milliseconds const soon = now_ + static_cast<Milliseconds>(rng_.below(static_cast<std::uint64_t>(plan_.held) + 1));
    Milliseconds const at = plan_.together > 0 ? (now_ / plan_.together + 1) * plan_.together : soon;
    if (at - takenAt > quota::maxDispatchDelay && without_ != Without::handOverLimit) {
      nodes_.at(router).tenants->returnAmount(now_, "t", request.amount);
      ++refused;
      return;
    }
    served += request.amount;
    handOvers_.emplace(at, Run{at, request.amount});
  }
  void handOver() {
    while (!handOvers_.empty() && handOvers_.begin()->first <= now_) {
      run_.push_back({now_, handOvers_.begin()->second.amount});
      sum_ += run_.back().amount;
      handOvers_.erase(handOvers_.begin());
    }
    while (!run_.empty() && now_ - run_.front().at >= plan_.slack.window) {
      sum_ -= run_.front().amount;
      run_.pop_front();
    }
    most_ = std::max(most_, sum_);
  }
  void request() {
    double const expected = plan_.demand / plan_.size / 1000.0;
    for (int i = 0; i < 16; ++i) {
      if (!rng_.chance(expected / 16.0)) continue;
      std::string const& router = routerLinks_[rng_.below(plan_.used)];
      if (!awake(router)) continue;
      double const amount = plan_.size * (0.2 + 1.6 * static_cast<double>(rng_.below(1000)) / 1000.0);
      requested += amount;
      ++requests;
      std::vector<transport::Send> out;
      std::uint64_t const call = ++calls_;
      Admission const admission = nodes_.at(router).tenants->admit(now_, call, tenant_, amount, out);
      send(router, std::move(out));
      if (admission == Admission::pending)
        waiting_[call] = {router, amount, now_};
      else
        conclude(router, {router, amount, now_}, admission, now_);
    }
  }
  void step() {
    deliver();
    request();
    handOver();
    for (auto& [link, node] : nodes_) {
      if (!awake(link) || now_ % 5 != 0) continue;
      if (node.coordinator) send(link, node.coordinator->clockEvent(now_, membership(link, true)));
      if (!node.tenants) continue;
      std::vector<transport::Send> out;
      decide(link, node.tenants->onTimer(now_, out));
      send(link, std::move(out));
    }
  }

  FleetPlan plan_;
  Without without_;
  core::RandomGenerator rng_;
  config::Tenant tenant_;
  std::vector<std::string> members_;
  std::vector<std::string> routerLinks_;
  std::map<std::string, Node> nodes_;
  std::multimap<Milliseconds, Packet> network_;
  std::map<std::pair<std::string, std::string>, Milliseconds> lastArrival_;
  std::map<std::uint64_t, Request> waiting_;
  std::multimap<Milliseconds, Run> handOvers_;
  std::deque<Run> run_;
  double sum_ = 0;
  double most_ = 0;
  std::uint64_t incarnations_ = 0;
  std::uint64_t calls_ = 0;
  Milliseconds now_ = 0;
};

}  // namespace corkward::dataplane::test
