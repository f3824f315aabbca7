// Faults of the processes and of the links between them.
#include <QDir>
#include <QFile>
#include <QTimer>
#include <algorithm>

#include <corkward/core/json.h>

#include "chaos_run.h"
#include "clock.h"

namespace corkward::testing {

namespace {

/// Kinds of faults. The kinds from isolateController on occur only if the plan allows overlapping faults.
enum class ChaosFault {
  crashRouter,
  crashControllers,
  freezeRouter,
  freezeController,
  restartRouter,
  restartController,
  wipeDisk,
  truncateLog,
  fillDisk,
  replaceReplica,
  crashReplica,
  breakLink,
  evacuateZone,
  isolateController,
  partitionControllers,
  stopTogether,
  freezeModels
};

constexpr std::uint64_t singleFaults = static_cast<std::uint64_t>(ChaosFault::isolateController);
constexpr std::uint64_t overlappingFaults = static_cast<std::uint64_t>(ChaosFault::freezeModels) + 1;
/// Size limit of every file that a controller with a full disk writes, in bytes.
constexpr std::uint64_t fullDiskBytes = 4000;
/// Minimum time for which a controller's disk is full, in ms.
constexpr int fullDiskMs = 4000;

}  // namespace

std::vector<Node*> Chaos::runningNodes(std::vector<Node>& group) const {
  std::vector<Node*> out;
  for (Node& node : group)
    if (node.process && frozen_.count(node.name) == 0) out.push_back(&node);
  return out;
}

std::optional<Chaos::FaultTargets> Chaos::drawTargets() {
  FaultTargets out;
  out.routers = runningNodes(fleet_.routers());
  out.controllers = runningNodes(fleet_.controllers());
  if (out.routers.empty() || out.controllers.empty()) return std::nullopt;
  out.router = out.routers[rng_.below(out.routers.size())];
  out.controller = out.controllers[rng_.below(out.controllers.size())];
  out.model = &fleet_.replicas()[rng_.below(static_cast<std::uint64_t>(fleet_.deployment().models))];
  out.durationMs = 500 + static_cast<int>(rng_.below(3000));
  return out;
}

void Chaos::injectFault() {
  std::optional<FaultTargets> const targets = drawTargets();
  if (!targets) return;
  Node& router = *targets->router;
  Node& controller = *targets->controller;
  int const durationMs = targets->durationMs;
  bool const allRun = targets->controllers.size() == fleet_.controllers().size();
  switch (static_cast<ChaosFault>(rng_.below(plan_.overlap > 1 ? overlappingFaults : singleFaults))) {
    case ChaosFault::crashRouter:
      if (targets->routers.size() * 2 > fleet_.routers().size() + 2) crashAndRestart(router, durationMs);
      break;
    case ChaosFault::crashControllers:
      for (Node* const node : targets->controllers) crashAndRestart(*node, durationMs);
      break;
    case ChaosFault::freezeRouter:
      freezeAndResume(router, 2000 + durationMs);
      break;
    case ChaosFault::freezeController:
      freezeAndResume(controller, 2000 + durationMs);
      break;
    case ChaosFault::restartRouter:
      restartRouter(router);
      break;
    case ChaosFault::restartController:
      if (allRun) restartController(controller);
      break;
    case ChaosFault::wipeDisk:
      if (allRun && allControllersVote()) wipeDisk(controller);
      break;
    case ChaosFault::truncateLog:
      if (allRun && allControllersVote()) truncateLog(controller);
      break;
    case ChaosFault::fillDisk:
      if (allRun && allControllersVote()) fillDisk(controller, durationMs);
      break;
    case ChaosFault::replaceReplica:
      replaceReplica(*targets->model);
      break;
    case ChaosFault::crashReplica:
      crashReplica(*targets->model, durationMs);
      break;
    case ChaosFault::breakLink:
      breakLink(durationMs);
      break;
    case ChaosFault::evacuateZone:
      evacuateZone();
      break;
    case ChaosFault::isolateController:
      isolate(controller, 2 * durationMs);
      break;
    case ChaosFault::partitionControllers:
      partitionControllers(2 * durationMs);
      break;
    case ChaosFault::stopTogether:
      stopTogether(router, controller);
      break;
    case ChaosFault::freezeModels:
      freezeModels(durationMs);
      break;
  }
}

void Chaos::restartRouter(Node& router) {
  logFault("restart " + router.name);
  if (fleet_.stop(router) != 0) violation(router.name + " did not exit cleanly");
  fleet_.start(router);
}

void Chaos::restartController(Node& controller) {
  logFault("restart " + controller.name);
  fleet_.stop(controller);
  fleet_.start(controller);
}

void Chaos::wipeDisk(Node& controller) {
  logFault("wipe " + controller.name);
  fleet_.crash(controller);
  fleet_.wipe(controller);
  fleet_.start(controller);
}

void Chaos::truncateLog(Node& controller) {
  logFault("truncate the log of " + controller.name);
  fleet_.crash(controller);
  truncateNewestFile(controller);
  fleet_.start(controller);
}

void Chaos::fillDisk(Node& controller, int durationMs) {
  logFault("fill the disk of " + controller.name);
  fleet_.crash(controller);
  fleet_.start(controller, fullDiskBytes);
  QTimer::singleShot(fullDiskMs + durationMs, &fleet_, [this, &controller] {
    if (!controller.process || frozen_.count(controller.name) > 0) return;
    fleet_.crash(controller);
    fleet_.start(controller);
  });
}

void Chaos::crashReplica(Node& replica, int durationMs) {
  logFault("crash " + replica.name);
  fleet_.crash(replica);
  QTimer::singleShot(durationMs, &fleet_, [this, &replica] {
    if (!replica.process) fleet_.start(replica);
  });
}

void Chaos::breakLink(int durationMs) {
  bool const cut = rng_.chance(0.5);
  FaultProxy* const proxy = linkProxies_[rng_.below(linkProxies_.size())].get();
  logFault(std::string(cut ? "cut" : "pause") + " the incoming connections of a link");
  cut ? proxy->cut(true) : proxy->pause(true);
  QTimer::singleShot(1000 + durationMs, &fleet_, [proxy, cut] { cut ? proxy->cut(false) : proxy->pause(false); });
}

FaultProxy& Chaos::proxyOf(Node const& node) {
  for (std::unique_ptr<FaultProxy> const& proxy : linkProxies_)
    if (proxy->address() == node.link) return *proxy;
  throw FleetError("no fault proxy of " + node.name);
}

void Chaos::isolate(Node& node, int durationMs) {
  if (partitionActive_) return;
  partitionActive_ = true;
  logFault("isolate " + node.name);
  FaultProxy* const own = &proxyOf(node);
  own->cut(true);
  for (std::unique_ptr<FaultProxy> const& proxy : linkProxies_)
    if (proxy.get() != own) proxy->cutSenders({node.link});
  QTimer::singleShot(durationMs, &fleet_, [this, own] {
    own->cut(false);
    healPartitions();
  });
}

void Chaos::partitionControllers(int durationMs) {
  if (partitionActive_) return;
  partitionActive_ = true;
  std::vector<Node>& all = fleet_.controllers();
  std::size_t const begin = rng_.below(all.size());
  std::set<std::string> halves[2];
  for (std::size_t i = 0; i < all.size(); ++i)
    halves[i < all.size() / 2 ? 0 : 1].insert(all[(begin + i) % all.size()].link);
  logFault("partition the controllers");
  for (Node const& node : all) proxyOf(node).cutSenders(halves[halves[0].count(node.link) > 0 ? 1 : 0]);
  QTimer::singleShot(durationMs, &fleet_, [this] { healPartitions(); });
}

void Chaos::healPartitions() {
  for (std::unique_ptr<FaultProxy> const& proxy : linkProxies_) proxy->cutSenders({});
  partitionActive_ = false;
}

void Chaos::stopTogether(Node& router, Node& controller) {
  if (partitionActive_ || !allControllersVote()) return;
  logFault("stop " + router.name + " and " + controller.name);
  router.process->terminate();
  if (fleet_.stop(controller) != 0) violation(controller.name + " did not exit cleanly");
  if (fleet_.stop(router) != 0) violation(router.name + " did not exit cleanly");
  fleet_.start(controller);
  fleet_.start(router);
}

void Chaos::crashAndRestart(Node& node, int durationMs) {
  logFault("kill " + node.name);
  fleet_.crash(node);
  QTimer::singleShot(durationMs, &fleet_, [this, &node] {
    if (!node.process) fleet_.start(node);
  });
}

void Chaos::freezeAndResume(Node& node, int durationMs) {
  logFault("freeze " + node.name);
  fleet_.freeze(node);
  frozen_.insert(node.name);
  QTimer::singleShot(durationMs, &fleet_, [this, &node] {
    frozen_.erase(node.name);
    if (node.process) fleet_.resume(node);
  });
}

void Chaos::freezeModels(int durationMs) {
  for (Node& replica : fleet_.replicas())
    if (replica.pool == "model" && replica.process && frozen_.count(replica.name) == 0)
      freezeAndResume(replica, durationMs);
}

void Chaos::truncateNewestFile(Node const& controller) {
  QDir const dir(core::toQString(controller.data));
  QStringList const files = dir.entryList({"*log*", "*segment*"}, QDir::Files, QDir::Time);
  if (files.isEmpty()) return;
  QFile file(dir.filePath(files.first()));
  file.resize(std::max<qint64>(0, file.size() - 1 - static_cast<qint64>(rng_.below(60))));
}

void Chaos::replaceReplica(Node& model) {
  if (replacementPending_) return;
  replacementPending_ = true;
  logFault("replace " + model.name);
  setReplicaState(model, "leaving");
  QTimer::singleShot(4000, &fleet_, [this, &model] {
    fleet_.crash(model);
    fleet_.start(model);
    setReplicaState(model, "cold");
    QTimer::singleShot(5000, &fleet_, [this, &model] {
      setReplicaState(model, "serving");
      replacementPending_ = false;
    });
  });
}

void Chaos::evacuateZone() {
  if (evacuationPending_) return;
  evacuationPending_ = true;
  std::string const zone = "z2";
  logFault("evacuate " + zone);
  Node const& to = fleet_.controllers()[rng_.below(fleet_.controllers().size())];
  fleet_.callAsync(to.http, "PUT", "/v1/evacuations/" + zone, "", "", "", 14000, [this, zone](Reply const& r) {
    if (r.status == 200) evacuatedZones_.push_back(RestrictedSpan{zone, programs::now(), -1});
    QTimer::singleShot(7000, &fleet_, [this, zone] { endEvacuation(zone); });
  });
}

void Chaos::endEvacuation(std::string const& zone) {
  for (RestrictedSpan& span : evacuatedZones_)
    if (span.until < 0) span.until = programs::now();
  Node const& to = fleet_.controllers()[rng_.below(fleet_.controllers().size())];
  fleet_.callAsync(to.http, "DELETE", "/v1/evacuations/" + zone, "", "", "", 14000, [this, zone](Reply const& r) {
    if (r.status == 200)
      evacuationPending_ = false;
    else
      QTimer::singleShot(500, &fleet_, [this, zone] { endEvacuation(zone); });
  });
}

}  // namespace corkward::testing
