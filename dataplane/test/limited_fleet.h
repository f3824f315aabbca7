#pragma once

/// A simulated fleet of routers and controllers that enforce one tenant's limit. Tests partition the network and pause
/// or restart processes. The fleet sums up the amounts that are dispatched to replicas, to check them against the
/// limit.

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

/// Size and settings of the fleet, and its tenant's demand.
struct FleetPlan {
  std::size_t controllers = 5;
  std::size_t routers = 16;
  quota::Limit limit{10000, 10000};
  quota::OverdraftAllowance allowance{8000, 0.1, 3000};
  /// Amount that the tenant requests per second.
  double demandPerSecond = 7000;
  /// Mean amount of a request.
  double meanRequestAmount = 200;
  /// Number of routers that receive the tenant's requests.
  std::size_t routersInUse = 16;
  /// Longest time from taking an amount until the request is dispatched.
  Milliseconds maxDispatchTime = 20;
  /// If above 0, requests are dispatched in batches at this interval instead.
  Milliseconds batchInterval = 0;
};

/// A safeguard that a test disables, to show that the limit is exceeded without it.
enum class DisabledSafeguard {
  none,
  /// Each controller is a majority by itself, so that several can own a partition at once.
  majority,
  /// A new coordinator does not query the routers for the allocations of its predecessor.
  allocationQueries,
  /// A request may be dispatched any time after its amount was taken, instead of within quota::maxDispatchDelay.
  dispatchDelayLimit,
};

class LimitedFleet {
 public:
  LimitedFleet(FleetPlan plan, std::uint64_t seed, DisabledSafeguard disabled = DisabledSafeguard::none)
      : plan_(plan), disabled_(disabled), rng_(seed * 1000003) {
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

  /// Runs the simulation for that many milliseconds.
  void run(Milliseconds duration) {
    for (Milliseconds const end = now_ + duration; now_ < end; ++now_) step();
  }
  void setDemand(double perSecond) { plan_.demandPerSecond = perSecond; }
  void setLimit(quota::Limit const& limit) {
    plan_.limit = limit;
    tenant_.ratePerSecond = limit.perSecond;
    tenant_.burst = limit.burst;
    for (std::string const& link : members_)
      if (nodes_.at(link).coordinator) configure(nodes_.at(link));
    for (std::string const& link : routerLinks_) nodes_.at(link).tenants->configure({tenant_});
  }
  /// Moves a process to a side of a network partition. Only processes on the same side reach each other.
  void partition(std::string const& link, int side) { nodes_.at(link).side = side; }
  /// Ends all partitions. Delayed messages are delivered.
  void heal() {
    for (auto& [link, node] : nodes_) node.side = 0;
  }
  /// Pauses the process for that many milliseconds.
  void pause(std::string const& link, Milliseconds duration) { nodes_.at(link).pausedUntil = now_ + duration; }
  /// Kills the process and starts it again with empty state.
  void restart(std::string const& link) {
    if (link[0] == 'c')
      startController(link);
    else
      startRouter(link);
  }
  std::vector<std::string> const& members() const { return members_; }
  std::vector<std::string> const& routers() const { return routerLinks_; }
  /// Controllers that own the tenant's partition.
  std::vector<std::string> coordinators() const {
    std::vector<std::string> owners;
    for (std::string const& link : members_)
      if (nodes_.at(link).coordinator->ownsPartition(now_, quota::partitionOf("t"), membership(link)))
        owners.push_back(link);
    return owners;
  }
  /// Greatest amount that was dispatched within any window since the last resetWindow().
  double maxInWindow() const { return maxInWindow_; }
  /// Amount that the operators allow in a window.
  double allowed() const { return quota::allowedAmount(plan_.limit, plan_.allowance); }
  void resetWindow() {
    inWindow_.clear();
    amountInWindow_ = 0;
    maxInWindow_ = 0;
  }
  Milliseconds now() const { return now_; }
  /// Amounts of all requests, and of those that were admitted.
  double requested = 0;
  double served = 0;
  std::size_t requests = 0;
  std::size_t rejected = 0;
  /// Longest time that a request waited for a decision.
  Milliseconds longestWait = 0;

 private:
  /// Interval at which delivery is retried for a message to a paused process or across a partition.
  static constexpr Milliseconds redeliveryInterval = 20;
  /// A simulated process: a controller has a coordinator, a router has tenants.
  struct Node {
    std::unique_ptr<quota::QuotaCoordinator> coordinator;
    std::unique_ptr<Tenants> tenants;
    Milliseconds startedAt = 0;
    Milliseconds pausedUntil = 0;
    /// Side of the network partition that the process is on.
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
    Milliseconds arrivedAt = 0;
  };
  struct Dispatch {
    Milliseconds at = 0;
    double amount = 0;
  };

  void startController(std::string const& link) {
    Node& node = nodes_[link];
    node.incarnation = ++incarnations_;
    node.startedAt = now_;
    node.coordinator = std::make_unique<quota::QuotaCoordinator>(link, node.incarnation, plan_.allowance);
    configure(node);
  }
  void startRouter(std::string const& link) {
    Node& node = nodes_[link];
    node.incarnation = ++incarnations_;
    node.startedAt = now_;
    node.tenants = std::make_unique<Tenants>(link, node.incarnation, rng_.next(), plan_.allowance);
    node.tenants->configure({tenant_});
    node.tenants->setMembers(members_, plan_.routers);
    std::erase_if(waiting_, [&](auto const& request) { return request.second.router == link; });
  }
  void configure(Node& node) { node.coordinator->configure(now_, {{"t", plan_.limit}}); }
  bool canReach(std::string const& from, std::string const& to) const {
    return nodes_.at(from).side == nodes_.at(to).side;
  }
  bool isRunning(std::string const& link) const { return now_ >= nodes_.at(link).pausedUntil; }
  /// @param forQueries the coordinator uses the view to query routers for their allocations
  quota::MembershipView membership(std::string const& link, bool forQueries = false) const {
    quota::MembershipView view;
    Node const& node = nodes_.at(link);
    view.members = members_;
    for (std::string const& member : members_)
      if (canReach(link, member) && isRunning(member)) view.aliveMembers.push_back(member);
    bool const recentlyStarted = node.startedAt != 0 && now_ - node.startedAt <= quota::grantDelayAfterStart;
    view.grantPermission = recentlyStarted ? quota::GrantPermission::none : quota::GrantPermission::all;
    if (!forQueries || disabled_ != DisabledSafeguard::allocationQueries)
      view.routers = {routerLinks_.begin(), routerLinks_.end()};
    if (disabled_ == DisabledSafeguard::majority) view.members = {link};
    view.quorumContactSince = view.aliveMembers.size() > members_.size() / 2 ? now_ : -1;
    return view;
  }
  void send(std::string const& from, std::vector<quota::Send> sends) {
    for (quota::Send& item : sends)
      std::visit([&](auto& message) { push(from, item.to, std::move(message)); }, item.message);
  }
  void send(std::string const& from, std::vector<transport::Send> sends) {
    for (transport::Send& item : sends) push(from, item.to, std::move(item.message));
  }
  void push(std::string const& from, std::string const& to, transport::Message message) {
    enqueue(now_ + 1 + static_cast<Milliseconds>(rng_.below(4)), {from, to, std::move(message)});
  }
  void deliver() {
    while (!network_.empty() && network_.begin()->first <= now_) {
      Packet packet = std::move(network_.begin()->second);
      network_.erase(network_.begin());
      if (canReach(packet.from, packet.to) && isRunning(packet.to))
        receive(packet);
      else
        enqueue(now_ + redeliveryInterval, std::move(packet));
    }
  }
  /// Schedules the delivery. Messages on one link arrive in the order in which they were sent.
  void enqueue(Milliseconds arrival, Packet packet) {
    Milliseconds& last = lastArrival_[{packet.from, packet.to}];
    last = std::max(last, arrival);
    network_.emplace(last, std::move(packet));
  }
  void receive(Packet const& packet) {
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
      auto const found = waiting_.find(decision.call);
      if (found == waiting_.end()) continue;
      Request const request = found->second;
      waiting_.erase(found);
      longestWait = std::max(longestWait, now_ - request.arrivedAt);
      scheduleDispatch(router, request, decision.admission, decision.amountTakenAt);
    }
  }
  /// Schedules the dispatch of an admitted request, or counts the request as rejected.
  void scheduleDispatch(std::string const& router, Request const& request, Admission admission, Milliseconds takenAt) {
    if (admission != Admission::granted) {
      ++rejected;
      return;
    }
    Milliseconds const soon =
        now_ + static_cast<Milliseconds>(rng_.below(static_cast<std::uint64_t>(plan_.maxDispatchTime) + 1));
    Milliseconds const dispatchAt =
        plan_.batchInterval > 0 ? (now_ / plan_.batchInterval + 1) * plan_.batchInterval : soon;
    if (dispatchAt - takenAt > quota::maxDispatchDelay && disabled_ != DisabledSafeguard::dispatchDelayLimit) {
      nodes_.at(router).tenants->returnAmount(now_, "t", request.amount);
      ++rejected;
      return;
    }
    served += request.amount;
    scheduled_.emplace(dispatchAt, Dispatch{dispatchAt, request.amount});
  }
  void dispatchDue() {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      inWindow_.push_back({now_, scheduled_.begin()->second.amount});
      amountInWindow_ += inWindow_.back().amount;
      scheduled_.erase(scheduled_.begin());
    }
    while (!inWindow_.empty() && now_ - inWindow_.front().at >= plan_.allowance.window) {
      amountInWindow_ -= inWindow_.front().amount;
      inWindow_.pop_front();
    }
    maxInWindow_ = std::max(maxInWindow_, amountInWindow_);
  }
  /// Sends this millisecond's random requests to random routers.
  void sendRequests() {
    double const expected = plan_.demandPerSecond / plan_.meanRequestAmount / 1000.0;
    for (int i = 0; i < 16; ++i) {
      if (!rng_.chance(expected / 16.0)) continue;
      std::string const& router = routerLinks_[rng_.below(plan_.routersInUse)];
      if (!isRunning(router)) continue;
      double const amount = plan_.meanRequestAmount * (0.2 + 1.6 * static_cast<double>(rng_.below(1000)) / 1000.0);
      requested += amount;
      ++requests;
      std::vector<transport::Send> out;
      std::uint64_t const call = ++calls_;
      Admission const admission = nodes_.at(router).tenants->admit(now_, call, tenant_, amount, out);
      send(router, std::move(out));
      if (admission == Admission::pending)
        waiting_[call] = {router, amount, now_};
      else
        scheduleDispatch(router, {router, amount, now_}, admission, now_);
    }
  }
  void step() {
    deliver();
    sendRequests();
    dispatchDue();
    for (auto& [link, node] : nodes_) {
      if (!isRunning(link) || now_ % 5 != 0) continue;
      if (node.coordinator) send(link, node.coordinator->clockEvent(now_, membership(link, true)));
      if (!node.tenants) continue;
      std::vector<transport::Send> out;
      decide(link, node.tenants->onTimer(now_, out));
      send(link, std::move(out));
    }
  }

  FleetPlan plan_;
  DisabledSafeguard disabled_;
  core::RandomGenerator rng_;
  config::Tenant tenant_;
  std::vector<std::string> members_;
  std::vector<std::string> routerLinks_;
  std::map<std::string, Node> nodes_;
  /// Messages in transit, by time of arrival.
  std::multimap<Milliseconds, Packet> network_;
  std::map<std::pair<std::string, std::string>, Milliseconds> lastArrival_;
  /// Requests that wait for a decision, by call.
  std::map<std::uint64_t, Request> waiting_;
  /// Dispatches to come, by time.
  std::multimap<Milliseconds, Dispatch> scheduled_;
  /// Dispatches within the last window, their sum, and the greatest sum so far.
  std::deque<Dispatch> inWindow_;
  double amountInWindow_ = 0;
  double maxInWindow_ = 0;
  std::uint64_t incarnations_ = 0;
  std::uint64_t calls_ = 0;
  Milliseconds now_ = 0;
};

}  // namespace corkward::dataplane::test
