// The main sequence of a run: fault proxies, the platform, the operator, recovery and the final outage.
#include <QJsonArray>
#include <QTimer>
#include <iostream>

#include <corkward/core/json.h>

#include "chaos_run.h"
#include "clock.h"

namespace corkward::testing {

ChaosResult Chaos::run() {
  startProxies();
  fleet_.startAll();
  fleet_.until("ready controllers", [&] {
    for (Node const& n : fleet_.controllers())
      if (fleet_.get(n.http, "/readyz").status != 200) return false;
    return true;
  });
  publishEndpointLists();
  fleet_.until("the endpoint lists", [&] { return listDone_; });
  fleet_.loadConfigurations();
  fleet_.untilReady(fleet_.routers().size());
  traffic_ = std::make_unique<Traffic>(fleet_, plan_.seed, plan_.scale);
  traffic_->startCalling();
  startedAt_ = programs::now();
  for (std::unique_ptr<FaultProxy> const& t : replicaProxies_) t->setFaultFraction(0.02);
  for (std::unique_ptr<FaultProxy> const& t : callerProxies_) t->setFaultFraction(0.02);
  for (int i = 0; i < plan_.events; ++i) {
    int const overlapping = 1 + static_cast<int>(rng_.below(static_cast<std::uint64_t>(plan_.overlap)));
    for (int k = 0; k < overlapping; ++k) injectFault();
    changeTemplate();
    std::size_t const before = served();
    fleet_.until("requests to be served during the faults", [&] { return served() >= before + 60; });
    checkExits();
  }
  heal();
  checkExits();
  if (plan_.killAllAtEnd) killEverything();
  fleet_.untilReady(fleet_.routers().size());
  checkServing();
  traffic_->stopCalling();
  try {
    fleet_.until(
        "the last responses", [&] { return traffic_->open() == 0 && !changePending_; }, 90000);
  } catch (FleetError const& e) {
    throw FleetError(std::string(e.what()) + ": " + std::to_string(traffic_->open()) + " open, " +
                     traffic_->describeOpen() + (changePending_ ? ", a change is pending" : "") + "; " +
                     describePendingFaults());
  }
  checkExits();
  checkResult();
  return std::move(result_);
}

Deployment const& Chaos::deploymentOf(std::string const& name) {
  for (Deployment const& d : deployments)
    if (name == d.name) return d;
  throw FleetError("no deployment " + name);
}

void Chaos::logFault(std::string const& what) {
  if (plan_.printFaults) std::cerr << what << std::endl;
  result_.timeline.push_back(std::to_string(startedAt_ == 0 ? 0 : programs::now() - startedAt_) + " " + what);
}

void Chaos::startProxies() {
  std::uint64_t seed = plan_.seed;
  for (Node& n : fleet_.replicas()) {
    replicaProxies_.push_back(std::make_unique<FaultProxy>(n.http, n.http.substr(0, n.http.rfind(':')), ++seed));
    n.advertisedAddress = replicaProxies_.back()->address();
  }
  for (Node& n : fleet_.routers()) {
    callerProxies_.push_back(std::make_unique<FaultProxy>(n.http, n.http.substr(0, n.http.rfind(':')), ++seed));
    n.advertisedAddress = callerProxies_.back()->address();
  }
  fleet_.proxyLinks([&](std::string const& listen) {
    linkProxies_.push_back(std::make_unique<FaultProxy>(listen, listen.substr(0, listen.rfind(':')), ++seed));
    return linkProxies_.back()->address();
  });
}

void Chaos::publishEndpointLists() {
  ++generation_;
  listDone_ = false;
  std::shared_ptr<int> const left = std::make_shared<int>(2);
  for (std::string const& pool : {std::string("model"), std::string(fleet_.deployment().otherPool)}) {
    QJsonArray list;
    for (Node const& r : fleet_.replicas()) {
      if (r.pool != pool) continue;
      std::string const state = states_.count(r.name) > 0 ? states_.at(r.name) : "serving";
      list.append(QJsonObject{{"address", core::toQString(r.advertisedAddress)},
                              {"zone", core::toQString(r.zone)},
                              {"state", core::toQString(state)}});
    }
    sendEndpointList(pool, generation_,
                     core::jsonText(QJsonObject{
                         {"generation", static_cast<qint64>(generation_)}, {"coldRate", 2}, {"replicas", list}}),
                     left);
  }
}

void Chaos::sendEndpointList(std::string const& pool, std::uint64_t generation, std::string const& body,
                             std::shared_ptr<int> const& left) {
  if (generation != generation_) return;
  std::vector<Node*> to{&fleet_.controllers()[rng_.below(fleet_.controllers().size())],
                        &fleet_.routers()[rng_.below(fleet_.routers().size())],
                        &fleet_.routers()[rng_.below(fleet_.routers().size())]};
  std::shared_ptr<bool> const done = std::make_shared<bool>(false);
  for (std::size_t i = 0; i < to.size(); ++i) {
    if (!to[i]->process) continue;
    fleet_.callAsync(to[i]->http, "PUT", "/v1/platform/pools/" + pool, body, "", "", 6000,
                     [this, i, done, left, generation](Reply const& r) {
                       if (i != 0 || r.status != 200 || *done || generation != generation_) return;
                       *done = true;
                       if (--*left == 0) listDone_ = true;
                     });
  }
  QTimer::singleShot(600, &fleet_, [this, pool, generation, body, left, done] {
    if (!*done) sendEndpointList(pool, generation, body, left);
  });
}

void Chaos::setReplicaState(Node const& replica, std::string const& next) {
  Milliseconds const now = programs::now();
  for (std::vector<RestrictedSpan>* const spans : {&leaving_, &warmingUp_})
    for (RestrictedSpan& span : *spans)
      if (span.name == replica.name && span.until < 0) span.until = now;
  states_[replica.name] = next;
  if (next == "leaving") leaving_.push_back(RestrictedSpan{replica.name, now, -1});
  if (next == "cold") warmingUp_.push_back(RestrictedSpan{replica.name, now, -1});
  publishEndpointLists();
}

void Chaos::changeTemplate() {
  if (changePending_) return;
  std::string const path = std::string("/v1/templates/") + fleet_.deployment().family;
  std::vector<Node*> up;
  for (Node& n : fleet_.controllers())
    if (n.process) up.push_back(&n);
  if (up.empty()) return;
  changePending_ = true;
  std::string const http = up[rng_.below(up.size())]->http;
  fleet_.callAsync(http, "GET", path, "", "", "", 4000, [this, http, path](Reply const& r) {
    if (r.status != 200) {
      changePending_ = false;
      return;
    }
    QJsonObject const spec = r.body.value("spec").toObject();
    std::string const revision = std::to_string(r.body.value("stamp").toInteger());
    int const racing = rng_.chance(0.4) ? 2 : 1;
    std::shared_ptr<int> const left = std::make_shared<int>(racing);
    for (int i = 0; i < racing; ++i) sendTemplateChange(path, withMark(spec), revision, left);
  });
}

std::pair<std::string, QJsonObject> Chaos::withMark(QJsonObject spec) {
  std::string const mark = "mark-" + std::to_string(++marks_);
  QJsonArray paths;
  for (QJsonValue const p : spec.value("paths").toArray())
    if (!p.toObject().value("path").toString().startsWith("mark-")) paths.append(p);
  paths.append(QJsonObject{{"path", core::toQString(mark)}, {"pool", "model"}, {"class", "short"}});
  spec.insert("paths", paths);
  return {mark, spec};
}

void Chaos::sendTemplateChange(std::string const& path, std::pair<std::string, QJsonObject> const& what,
                               std::string const& revision, std::shared_ptr<int> const& left) {
  Node const& to = fleet_.controllers()[rng_.below(fleet_.controllers().size())];
  std::size_t const ix = templateChanges_.size();
  templateChanges_.push_back(TemplateChange{what.first, what.second, revision, 0, 0, -1});
  fleet_.callAsync(to.http, "PUT", path, core::jsonText(what.second), revision, "id-" + what.first, 14000,
                   [this, ix, left](Reply const& r) {
                     TemplateChange& p = templateChanges_[ix];
                     p.status = r.status;
                     p.pending = r.body.value("pending").toBool();
                     p.revision = r.body.value("stamp").toInteger();
                     p.answeredAt = programs::now();
                     ++result_.changes;
                     if (--*left == 0) changePending_ = false;
                     requestRemovedPaths();
                   });
}

void Chaos::requestRemovedPaths() {
  for (TemplateChange const& put : templateChanges_) {
    Node const& router = fleet_.routers()[rng_.below(fleet_.routers().size())];
    if (!router.process) continue;
    fleet_.callAsync(router.http, "POST", "/v1/" + fleet_.instances()[0] + "/" + put.mark, "{}", "", "", 8000,
                     [](Reply const&) {});
  }
}

bool Chaos::allControllersVote() {
  for (Node const& s : fleet_.controllers())
    if (!fleet_.get(s.http, "/v1/fleet").body.value("voting").toBool()) return false;
  return true;
}

void Chaos::heal() {
  logFault("heal");
  for (std::vector<std::unique_ptr<FaultProxy>>* const proxies : {&replicaProxies_, &callerProxies_})
    for (std::unique_ptr<FaultProxy> const& t : *proxies) t->setFaultFraction(0);
  try {
    fleet_.until("the injected faults to end",
                 [&] { return frozen_.empty() && !replacementPending_ && !evacuationPending_ && !partitionActive_; });
  } catch (FleetError const& e) {
    throw FleetError(std::string(e.what()) + ": " + describePendingFaults());
  }
  for (std::vector<Node>* const group : {&fleet_.controllers(), &fleet_.routers(), &fleet_.replicas()})
    for (Node& n : *group)
      if (!n.process) fleet_.start(n);
  for (std::unique_ptr<FaultProxy> const& t : linkProxies_) {
    t->cut(false);
    t->pause(false);
  }
  fleet_.until("every member to vote", [&] { return allControllersVote(); });
}

std::string Chaos::describePendingFaults() {
  std::string out = std::to_string(frozen_.size()) + " frozen";
  if (replacementPending_) out += ", a replica is being replaced";
  if (evacuationPending_) out += ", a zone is being evacuated";
  if (partitionActive_) out += ", a partition is active";
  for (Node const& node : fleet_.controllers()) {
    out += "\n  " + node.name + (node.process ? "" : " is not running");
    if (!node.process) continue;
    Reply const reply = fleet_.get(node.http, "/v1/fleet");
    QJsonObject body = reply.body;
    for (char const* const unneeded : {"nacelles", "stamps"}) body.remove(QLatin1String(unneeded));
    out += " " + std::to_string(reply.status) + " " + core::jsonText(body) + "\n" + fleet_.logTail(node);
  }
  return out;
}

void Chaos::killEverything() {
  logFault("kill everything");
  for (std::vector<Node>* const group : {&fleet_.routers(), &fleet_.controllers(), &fleet_.replicas()})
    for (Node& n : *group) fleet_.crash(n);
  Milliseconds const start = programs::now();
  outageAt_ = start - startedAt_;
  std::size_t const before = served();
  fleet_.startAll();
  fleet_.until("service after the outage", [&] { return served() >= before + 20; });
  result_.recoveryMs = programs::now() - start;
  if (plan_.checkTimeLimits && result_.recoveryMs > 12000)
    violation("service recovered only " + std::to_string(result_.recoveryMs) + " ms after a total outage");
}

ChaosResult chaos(ChaosPlan const& plan) {
  return Chaos(plan).run();
}

}  // namespace corkward::testing
