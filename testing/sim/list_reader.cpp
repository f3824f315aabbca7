/// Endpoint lists that a controller reads from the platform instead of being sent them. Now and then the reader is cut
/// off from the other controllers, all of them from each other, or the others are killed, while the lists change with
/// each reading and a pool loses its replicas. At other times a router is told a list that is never committed, or a
/// controller that is sent one ends before it has a majority. The check is that the pool's replicas are used again.
#include <array>
#include <set>
#include <utility>
#include <vector>

#include <QJsonArray>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::testing {

namespace {

constexpr Milliseconds readingInterval = 500;
constexpr char const* lostPool = "other";
/// Replicas that were listed as serving this long ago have to be used.
constexpr Milliseconds timeUntilUsed = 4000;
constexpr Milliseconds observedPeriod = 4000;
/// A list that is never committed has to be without effect this long after it was sent, so that the observed period
/// ends within the 12 s in which service has to be back after a loss.
constexpr Milliseconds timeUntilEnded = 8000;
/// Lists that are never committed have multiples of this as generations, far above those that a reader gives.
constexpr std::uint64_t uncommittedGenerations = 1000000;
/// A period with fewer requests says nothing.
constexpr std::size_t minRequests = 10;

}  // namespace

std::map<std::string, config::EndpointList> SimulatedCluster::platformLists() {
  std::map<std::string, config::EndpointList> lists;
  for (auto& [address, replica] : replicas_) {
    bool const isLeaving = !replica.listed || replica.state == "leaving";
    if (!isLeaving) replica.leavingPublishedAt = -1;
    if (isLeaving && replica.leavingPublishedAt < 0) replica.leavingPublishedAt = now_;
    config::EndpointList& list = lists[replica.pool];
    list.slowStartRate = coldRate;
    if (!replica.listed) continue;
    config::ReplicaState const state = replica.state == "leaving" ? config::ReplicaState::draining
                                       : replica.state == "cold"  ? config::ReplicaState::warmingUp
                                                                  : config::ReplicaState::serving;
    list.replicas.push_back(config::Replica{incarnationName(replica), address, replica.zone, state});
  }
  // An address that never serves lets the list change without any effect on requests.
  lists[lostPool].replicas.push_back(config::Replica{"unused", "unused" + std::to_string(unusedAddress_) + ":80", "z1",
                                                     config::ReplicaState::draining});
  return lists;
}

void SimulatedCluster::readEndpointLists() {
  after(readingInterval, [this] { readEndpointLists(); });
  for (auto& [link, n] : nodes_) {
    bool const isRunning = n.control && n.alive && !n.frozen && !n.draining;
    if (!isRunning || !n.control->isEndpointListReader(local(n))) continue;
    ++result_.counts["list-readings"];
    run(n, n.control->updateEndpointLists(local(n), platformLists()));
  }
}

void SimulatedCluster::scheduleReaderPartitions() {
  after(12000 + static_cast<Milliseconds>(lateRandom_.below(8000)), [this] {
    if (loadStopped_) return;
    scheduleReaderPartitions();
    if (lateRandom_.chance(0.5))
      partitionReader();
    else if (lateRandom_.chance(0.5))
      tellRouterUncommittedList();
    else
      endControllerWithUncommittedList();
  });
}

std::string SimulatedCluster::uncommittedList() {
  std::uint64_t const generation = uncommittedGenerations * ++uncommittedLists_;
  ++result_.counts["uncommitted-lists"];
  return core::jsonText(
      QJsonObject{{"generation", static_cast<qint64>(generation)}, {"coldRate", coldRate}, {"replicas", QJsonArray()}});
}

void SimulatedCluster::tellRouterUncommittedList() {
  std::vector<std::string> routers;
  for (auto const& [link, n] : nodes_)
    if (n.data && n.alive && !n.frozen) routers.push_back(link);
  if (routers.empty()) return;
  Node& router = *node(routers[lateRandom_.below(routers.size())]);
  run(router, router.data->onEndpointList(local(router), 0, lostPool, uncommittedList()));
  observeLostPool(timeUntilEnded);
}

void SimulatedCluster::endControllerWithUncommittedList() {
  constexpr Milliseconds timeUntilKilled = 300;
  constexpr Milliseconds timeUntilStarted = 1500;
  std::vector<std::string> controllers;
  for (auto const& [link, n] : nodes_)
    if (n.control && n.alive && !n.frozen && n.control->ready(local(n))) controllers.push_back(link);
  if (controllers.empty()) return;
  std::string const link = controllers[lateRandom_.below(controllers.size())];
  std::set<std::pair<std::string, std::string>> cuts;
  for (auto const& [other, n] : nodes_)
    if (n.control && other != link) cuts.insert({{link, other}, {other, link}});
  cuts_.insert(cuts.begin(), cuts.end());
  transport::OperatorCall call;
  call.token = nextCall_++;
  call.method = "PUT";
  call.path = std::string("/v1/platform/pools/") + lostPool;
  call.body = uncommittedList();
  Node& controller = *node(link);
  run(controller, controller.control->onOperatorCall(local(controller), call));
  after(timeUntilKilled, [this, link] { kill(*node(link), false); });
  after(timeUntilStarted, [this, link, cuts] {
    if (!node(link)->alive) boot(*node(link));
    for (auto const& cut : cuts) cuts_.erase(cut);
  });
  observeLostPool(timeUntilEnded);
}

void SimulatedCluster::partitionReader() {
  std::string reader;
  for (auto const& [link, n] : nodes_)
    if (n.control && n.alive && n.control->isEndpointListReader(local(n))) reader = link;
  if (reader.empty()) return;
  ++result_.counts["reader-partitions"];
  enum class Outage { readerCutOff, allCutOff, othersKilled };
  constexpr std::array<Outage, 3> outages{Outage::readerCutOff, Outage::allCutOff, Outage::othersKilled};
  Outage const outage = outages[lateRandom_.below(outages.size())];
  std::set<std::pair<std::string, std::string>> cuts;
  std::vector<std::string> killed;
  for (auto& [from, sender] : nodes_) {
    if (!sender.control || !sender.alive) continue;
    for (auto const& [to, receiver] : nodes_) {
      bool const isCut = from == reader || to == reader || outage == Outage::allCutOff;
      if (from != to && receiver.control && isCut && outage != Outage::othersKilled) cuts.insert({from, to});
    }
    if (from != reader && outage == Outage::othersKilled) killed.push_back(from);
  }
  cuts_.insert(cuts.begin(), cuts.end());
  for (std::string const& link : killed) kill(*node(link), false);
  for (auto& [address, replica] : replicas_) {
    if (replica.pool != lostPool) continue;
    crash(replica);
    replica.listed = false;
  }
  Milliseconds const duration = 1500 + static_cast<Milliseconds>(lateRandom_.below(2500));
  // The list changes to and fro, so that a proposal from the beginning may be the newest list at the end.
  std::uint64_t const first = unusedAddress_ + 1;
  for (Milliseconds passed = 0; passed < duration; passed += readingInterval)
    after(passed, [this, first, passed] { unusedAddress_ = first + passed / readingInterval % 2; });
  after(duration, [this, cuts, killed, first] {
    unusedAddress_ = first;
    for (std::string const& link : killed)
      if (!node(link)->alive) boot(*node(link));
    for (auto const& cut : cuts) cuts_.erase(cut);
    after(2500, [this] { restartLostPool(); });
  });
}

void SimulatedCluster::restartLostPool() {
  for (auto& [address, replica] : replicas_) {
    if (replica.pool != lostPool) continue;
    replica.state = "serving";
    replica.up = true;
    replica.listed = true;
    replica.leavingPublishedAt = -1;
  }
  observeLostPool(timeUntilUsed);
}

void SimulatedCluster::observeLostPool(Milliseconds delay) {
  if (!plan_.faults.empty()) return;
  after(delay, [this] { lostPoolOutcomes_ = {now_, 0, 0}; });
  after(delay + observedPeriod, [this] {
    PoolOutcomes const outcomes = std::exchange(lostPoolOutcomes_, {});
    ++result_.counts["lost-pools-checked"];
    if (outcomes.requests >= minRequests && 4 * outcomes.served < outcomes.requests)
      violation("replicas that are listed and serve are not used: " + std::to_string(outcomes.served) + " of " +
                std::to_string(outcomes.requests) + " requests served");
  });
}

void SimulatedCluster::countPoolOutcome(Caller const& caller, std::string const& outcome) {
  bool const isObserved = lostPoolOutcomes_.since > 0 && caller.startedAt >= lostPoolOutcomes_.since;
  if (!isObserved || caller.path != "ack") return;
  ++lostPoolOutcomes_.requests;
  if (outcome == "served") ++lostPoolOutcomes_.served;
}

}  // namespace corkward::testing
