#include <algorithm>

#include <corkward/config/config.h>
#include <corkward/consensus/events.h>
#include <corkward/core/guarantees.h>
#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::testing {

SimulatedCluster::SimulatedCluster(Plan plan)
    : plan_(std::move(plan)), rng_(plan_.seed), currentDemand_(plan_.demand), lateRandom_(plan_.seed ^ 0x1A7E57) {
  for (int i = 1; i <= plan_.controllers; ++i) {
    Node n;
    n.link = "s" + std::to_string(i);
    n.zone = "z" + std::to_string(i % plan_.zones + 1);
    n.disk = std::make_unique<SimulatedDisk>();
    n.disk->skipsSync = plan_.mutation == Mutation::diskSkipsSync;
    n.disk->namesLostSeparately = plan_.namesLostSeparately;
    n.disk->directorySkipsSync = plan_.mutation == Mutation::directorySkipsSync;
    nodes_.emplace(n.link, std::move(n));
  }
  for (int i = 1; i <= plan_.routers; ++i) {
    Node n;
    n.link = "n" + std::to_string(i);
    n.zone = "z" + std::to_string(i % plan_.zones + 1);
    nodes_.emplace(n.link, std::move(n));
  }
  for (int i = 1; i <= plan_.models + plan_.others; ++i) {
    Replica r;
    r.address = "10.0.0." + std::to_string(i) + ":80";
    r.zone = "z" + std::to_string(i % plan_.zones + 1);
    r.pool = i <= plan_.models ? "model" : "other";
    replicas_[r.address] = r;
  }
}

SimulatedCluster::~SimulatedCluster() = default;

void SimulatedCluster::at(Milliseconds when, std::function<void()> act) {
  events_.push(Event{when, nextSequence_++, std::move(act)});
}

Milliseconds SimulatedCluster::local(Node const& n) const {
  return n.offset + static_cast<Milliseconds>(static_cast<double>(now_) * n.rate);
}

SimulatedCluster::Node* SimulatedCluster::node(std::string const& link) {
  auto const it = nodes_.find(link);
  return it == nodes_.end() ? nullptr : &it->second;
}

SimulatedCluster::Node const* SimulatedCluster::node(std::string const& link) const {
  auto const it = nodes_.find(link);
  return it == nodes_.end() ? nullptr : &it->second;
}

void SimulatedCluster::deliverToNode(std::string const& link, std::uint64_t incarnation, std::function<void()> act) {
  Node* const n = node(link);
  if (n == nullptr || !n->alive || n->incarnation != incarnation) return;
  if (!n->frozen && n->eventDelay == 0) {
    act();
    return;
  }
  n->inbox.push_back(std::move(act));
  if (!n->frozen) processNext(*n);
}

void SimulatedCluster::processNext(Node& n) {
  if (n.processing || n.inbox.empty()) return;
  n.processing = true;
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  after(n.eventDelay, [this, link, incarnation] {
    Node* const k = node(link);
    if (k == nullptr || !k->alive || k->incarnation != incarnation) return;
    k->processing = false;
    if (k->frozen || k->inbox.empty()) return;
    std::function<void()> const act = std::move(k->inbox.front());
    k->inbox.pop_front();
    ++result_.counts["slowed-events"];
    act();
    if (k->alive && k->incarnation == incarnation) processNext(*k);
  });
}

void SimulatedCluster::restoreSpeed(Node& n) {
  n.eventDelay = 0;
  if (n.frozen) return;
  std::deque<std::function<void()>> const inbox = std::move(n.inbox);
  n.inbox.clear();
  std::uint64_t const incarnation = n.incarnation;
  for (std::function<void()> const& act : inbox)
    if (n.alive && n.incarnation == incarnation) act();
}

dataplane::RouterTuning SimulatedCluster::routerTuning() const {
  dataplane::RouterTuning t;
  if (plan_.mutation == Mutation::noFencing || plan_.mutation == Mutation::noFencingOnRemoval)
    t.servingLeaseDuration = 1000000000;
  if (plan_.mutation == Mutation::confirmNotExecutedTooSoon) t.ageMargin = -1000000000;
  if (plan_.mutation == Mutation::overlongWarmupLease) t.warmupLeaseDuration = 1000000000;
  t.scalerParameters = plan_.fractionalLimits ? scaling::sharedReplicasParameters : plan_.scalerParameters;
  if (plan_.mutation == Mutation::ignoreFailures) t.scalerParameters.minFailures = 1e9;
  t.auditRecordsAvailable = plan_.regimes;
  if (!plan_.fenced) {
    t.leaseRequired = false;
    t.leaseRequestInterval = 500;
    t.startupGracePeriod = 0;
    t.connectTimeout = 400;
    t.connectFailureBackoff = 1000;
    t.defaultRetryAfter = 0.2;
  }
  if (plan_.fractionalLimits) {
    t.maxQueueTargets = 0.12;
    t.minQueueLength = 64;
    t.nodeLimitPerReplica = 1000;
  }
  if (plan_.mutation == Mutation::noProbes) t.scalerParameters.probeInterval = 1000000000;
  if (plan_.plain) {
    t.scalerParameters.initialSubset = 1000;
    t.scalerParameters.cooldown = 1000000000;
  }
  return t;
}

void SimulatedCluster::boot(Node& n) {
  n.alive = true;
  n.frozen = false;
  n.poweredOff = false;
  n.eventDelay = 0;
  n.processing = false;
  n.timerQueued = false;
  n.draining = false;
  ++n.incarnation;
  n.bootedAt = now_;
  n.inbox.clear();
  n.writes.clear();
  n.writing = false;
  n.offset = static_cast<Milliseconds>(rng_.below(1000000));
  n.rate = 1.0 + plan_.clockSpread * (static_cast<double>(rng_.below(400)) - 200.0) / 200.0;
  transport::Contact self;
  self.link = n.link;
  self.httpAddress = n.link + "-http";
  self.zone = n.zone;
  self.incarnation = static_cast<std::uint64_t>(std::max<Milliseconds>(1, 1000000 + now_ + wallJump_));
  std::vector<std::string> const& seeds = seeds_;
  n.confirmedAtBoot = confirmedRevision_;
  n.hasServed = false;
  n.lastFaultAt = now_;
  if (n.disk) {
    self.role = transport::controllerRole;
    std::vector<std::string> founders;
    for (int i = 1; now_ == 0 && i <= plan_.founders; ++i) founders.push_back("s" + std::to_string(i));
    control::ControllerTuning t;
    t.registers.replaceUnreachableAfter = plan_.replaceUnreachableAfter;
    t.awaitRollout = plan_.fenced;
    if (plan_.mutation == Mutation::fixedMembership) t.registers.maxMembers = 3;
    if (plan_.mutation == Mutation::acknowledgeEarly) t.servingLeaseMargin = -t.servingLeaseDuration;
    if (plan_.mutation == Mutation::overlongWarmupLease) t.warmupLeaseDuration = -1000000;
    n.control =
        std::make_unique<control::Controller>(self, "m" + std::to_string(rng_.next()), seeds, founders, rng_.next(), t);
    n.writeAheadLog = std::make_unique<storage::WriteAheadLog>(*n.disk, 20000);
    n.disk->full = false;
    n.disk->failing = false;
    n.diskStalled = false;
    storage::RecoveredState const got = n.writeAheadLog->recover();
    if (got.damaged) {
      ++result_.counts["ledger-damaged"];
      for (std::string const& name : n.disk->list())
        if (name.rfind("damaged-", 0) != 0) n.disk->rename(name, "damaged-" + std::to_string(now_) + "-" + name);
      n.disk->syncDirectory();
      n.diskContentSince = now_;
      n.writeAheadLog = std::make_unique<storage::WriteAheadLog>(*n.disk, 20000);
      n.writeAheadLog->recover();
    }
    run(n, n.control->restore(got.slots, got.damaged, local(n)));
  } else {
    self.role = transport::routerRole;
    n.data = std::make_unique<dataplane::RequestRouter>(self, seeds, rng_.next(), routerTuning());
    run(n, n.data->started(local(n)));
    if (plan_.mutation == Mutation::startWithOldConfiguration && firstFleetConfiguration_)
      run(n, n.data->onMessage(local(n), "s1", transport::ConfigurationUpdate{1, true, {*firstFleetConfiguration_}}));
  }
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  after(static_cast<Milliseconds>(rng_.below(timerInterval)),
        [this, link, incarnation] { scheduleTimer(link, incarnation); });
}

void SimulatedCluster::scheduleTimer(std::string const& link, std::uint64_t incarnation) {
  Node* const n = node(link);
  if (n == nullptr || !n->alive || n->incarnation != incarnation) return;
  if (!n->frozen && n->eventDelay == 0) {
    onTimer(*n);
  } else if (!n->frozen && !n->timerQueued) {
    n->timerQueued = true;
    deliverToNode(link, incarnation, [this, link] {
      Node& k = *node(link);
      k.timerQueued = false;
      onTimer(k);
    });
  }
  after(timerInterval, [this, link, incarnation] { scheduleTimer(link, incarnation); });
}

void SimulatedCluster::onTimer(Node& n) {
  if (n.control) {
    n.control->setWallTime(wallClockMs());
    run(n, n.control->onTimer(local(n)));
  } else {
    n.data->setWallTime(local(n), plan_.mutation == Mutation::ignoreExpiry ? wallClockMs() - 86400000 : wallClockMs());
    run(n, n.data->onTimer(local(n)));
  }
}

void SimulatedCluster::kill(Node& n, bool power) {
  if (!n.alive) return;
  n.alive = false;
  n.frozen = false;
  n.inbox.clear();
  if (n.disk) {
    if (plan_.namesLostSeparately && !n.writes.empty() && n.writeAheadLog && rng_.chance(0.5)) {
      n.disk->stopAfter(static_cast<int>(rng_.below(4)));
      try {
        n.writeAheadLog->write(n.writes.front().first);
      } catch (storage::StorageError const&) {
        ++result_.counts["stopped-writes"];
      }
      n.disk->stopAfter(-1);
    } else if (!n.writes.empty() && rng_.chance(0.5)) {
      std::string bytes;
      for (storage::Record const& r : n.writes.front().first) bytes += storage::frame(r);
      n.disk->tear(bytes, rng_);
    }
    std::size_t const lost = n.disk->lostNameChanges();
    if (power) n.disk->powerLoss(rng_);
    if (n.disk->lostNameChanges() > lost) result_.counts["names-lost"] += n.disk->lostNameChanges() - lost;
    n.writes.clear();
    n.writeAheadLog.reset();
    n.control.reset();
    return;
  }
  n.data.reset();
  std::erase_if(idle_, [&](auto const& entry) { return entry.first.first == n.link; });
  std::vector<std::pair<std::string, std::uint64_t>> closedUpstreams;
  for (auto const& [key, forwarded] : upstreams_)
    if (key.first == n.link) closedUpstreams.push_back(key);
  for (std::pair<std::string, std::uint64_t> const& g : closedUpstreams) {
    closeUpstream(n, g.second);
    streams_.erase(g);
  }
  std::vector<std::string> cut;
  for (auto const& [callerId, openCaller] : callers_)
    if (openCaller.open && openCaller.node == n.link && openCaller.incarnation == n.incarnation)
      cut.push_back(callerId);
  for (std::string const& id : cut)
    after(1 + static_cast<Milliseconds>(rng_.below(20)), [this, id] { onCallerConnectionLost(id); });
}

void SimulatedCluster::freeze(Node& n, Milliseconds duration) {
  if (!n.alive || n.frozen) return;
  n.frozen = true;
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  after(duration, [this, link, incarnation] {
    Node* const m = node(link);
    if (m == nullptr || !m->alive || m->incarnation != incarnation || !m->frozen) return;
    m->frozen = false;
    std::deque<std::function<void()>> inbox = std::move(m->inbox);
    m->inbox.clear();
    for (std::function<void()> const& act : inbox)
      if (m->alive && m->incarnation == incarnation) act();
  });
}

void SimulatedCluster::run(Node& n, control::ControllerCommands&& c) {
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  if (!c.persists.empty()) {
    std::pair<std::vector<storage::Record>, std::vector<std::uint64_t>> write;
    for (consensus::PersistCommand const& p : c.persists) {
      write.first.push_back(storage::Record{p.key, p.payload});
      write.second.push_back(p.ticket);
    }
    n.writes.push_back(std::move(write));
    writeNext(n);
  }
  for (core::LogEvent const& logEvent : c.logEvents)
    if (logEvent.event.logName().find("member") != std::string::npos ||
        logEvent.event == consensus::events::removedFromMembership)
      ++result_.counts[std::string(logEvent.event.logName())];
  for (core::LogEvent const& logEvent : c.logEvents)
    if (logEvent.event == consensus::events::messageRejected) violation("two values under one revision at " + link);
  for (core::LogEvent const& logEvent : c.logEvents)
    if (plan_.operators.enabled && logEvent.event == "committed" &&
        logEvent.fields.at("key") == config::fleetConfigurationKey)
      onFleetConfigurationCommitted(n);
  for (transport::Send const& s : c.sends) send(link, s);
  for (control::OperatorResponse const& a : c.responses) {
    auto const it = answers_.find({link, a.token});
    if (it == answers_.end()) continue;
    std::function<void(int, QJsonObject const&)> const then = it->second;
    answers_.erase(it);
    after(1, [then, a] { then(a.status, a.body); });
  }
  for (std::uint64_t const token : c.callerChecks)
    run(n, n.control->onCallerChecked(local(n), token, answers_.count({link, token}) > 0));
  for (std::string const& p : c.probes) {
    Node const* const target = node(p);
    bool const refused = target == nullptr || (!target->alive && !target->poweredOff);
    if (!passes(link, p) || !passes(p, link)) continue;
    after(2, [this, link, incarnation, p, refused] {
      if (refused)
        deliverToNode(link, incarnation, [this, link, p] {
          Node& m = *node(link);
          run(m, m.control->onProbeResult(local(m), p, true));
        });
    });
  }
}

void SimulatedCluster::writeNext(Node& n) {
  if (n.writing || n.writes.empty() || n.diskStalled) return;
  n.writing = true;
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  after(n.diskDelay + static_cast<Milliseconds>(rng_.below(3)), [this, link, incarnation] {
    Node* const m = node(link);
    if (m == nullptr || !m->alive || m->incarnation != incarnation) return;
    m->writing = false;
    if (m->diskStalled || m->writes.empty()) return;
    std::pair<std::vector<storage::Record>, std::vector<std::uint64_t>> const write = std::move(m->writes.front());
    m->writes.pop_front();
    bool ok = true;
    try {
      m->writeAheadLog->write(write.first);
    } catch (storage::StorageError const&) {
      ok = false;
    }
    deliverToNode(link, incarnation, [this, link, write, ok] {
      for (std::uint64_t const t : write.second) {
        Node& k = *node(link);
        run(k, k.control->onPersisted(local(k), t, ok));
      }
    });
    writeNext(*m);
  });
}

void SimulatedCluster::run(Node& n, dataplane::RouterCommands&& c) {
  if (plan_.operators.enabled) checkFirstServing(n);
  for (transport::Send const& s : c.sends) send(n.link, s);
  for (dataplane::CallCommand const& v : c.calls) {
    if (dataplane::Connect const* const m = std::get_if<dataplane::Connect>(&v)) {
      connect(n, *m);
    } else if (dataplane::SendRequest const* const h = std::get_if<dataplane::SendRequest>(&v)) {
      dispatch(n, h->call);
    } else if (dataplane::WriteAuditRecord const* const w = std::get_if<dataplane::WriteAuditRecord>(&v)) {
      ++result_.counts["records"];
      auto const it = upstreams_.find({n.link, w->call});
      bool const before =
          w->outcome == dataplane::AuditOutcome::dispatched || w->outcome == dataplane::AuditOutcome::resumed;
      if (it != upstreams_.end() && before && plan_.mutation != Mutation::omitAuditRecord)
        it->second.auditedIncarnation = w->incarnation;
    } else if (dataplane::CloseUpstream const* const a = std::get_if<dataplane::CloseUpstream>(&v)) {
      closeUpstream(n, a->call);
    } else if (dataplane::Reject const* const d = std::get_if<dataplane::Reject>(&v)) {
      std::string const id = callerOf_[{n.link, d->call}];
      dataplane::Reject reject = *d;
      if (plan_.mutation == Mutation::reportNotExecuted && reject.status == 502) reject.notExecuted = true;
      closeUpstream(n, d->call);
      streams_.erase({n.link, d->call});
      after(1, [this, id, reject, link = n.link] {
        auto const it = callers_.find(id);
        if (it != callers_.end() && it->second.open && it->second.call == reject.call && it->second.node == link)
          onCallerRejected(id, reject);
      });
    } else if (dataplane::ResetDownstream const* const b = std::get_if<dataplane::ResetDownstream>(&v)) {
      std::string const id = callerOf_[{n.link, b->call}];
      closeUpstream(n, b->call);
      streams_.erase({n.link, b->call});
      auto const caller = callers_.find(id);
      if (caller != callers_.end() && caller->second.call == b->call) caller->second.responseReset = true;
      after(1, [this, id, call = b->call] {
        auto const it = callers_.find(id);
        if (it == callers_.end() || !it->second.open || it->second.call != call) return;
        if (it->second.status < 500 && !it->second.got.empty() && !isUninterrupted(it->second))
          violation("a stream has a gap, a repetition or parts of different runs, and broke: " + id);
        if (retryUnprompted(it->second)) return;
        finishRequest(id, "broken");
      });
    }
  }
  bool const applied = std::any_of(c.logEvents.begin(), c.logEvents.end(), [](core::LogEvent const& logEvent) {
    return logEvent.event == "in-force" && logEvent.fields.at("key") == config::fleetConfigurationKey;
  });
  if (plan_.operators.hostSpellings && applied) probeHostSpellings(n);
}

Result SimulatedCluster::run() {
  core::GuaranteeCounts::ofThread().takeNewViolations();
  for (auto& [link, node] : nodes_) boot(node);
  at(3500, [this] { publishEndpointLists(); });
  if (plan_.listReader) {
    at(1000, [this] { readEndpointLists(); });
    watchRouterContact();
  }
  if (plan_.regimes)
    at(4000, [this] {
      watchIncarnations();
      declareRegime();
    });
  at(5000, [this] {
    putTemplate("0", 0, [this](int, QJsonObject const&) {
      if (plan_.regimes) declareRegulated();
      for (char const* name : {"nord", "sued"})
        if (!plan_.regimes || std::string(name) == "sued")
          change("family:desk/" + std::string(name), "", "PUT", std::string(templatePath) + "/instances/" + name,
                 R"({"parameters":{"site":"s"}})", "0", "");
    });
  });
  Milliseconds const begin = trafficFrom - 10000;
  at(begin, [this] {
    startNextRequest();
    changeTemplatePeriodically();
    checkPeriodically();
    if (plan_.lateOrders) scheduleLateOrders();
    if (plan_.listReader) scheduleReaderPartitions();
    if (plan_.operators.enabled) {
      changeFleetConfigurationPeriodically();
      readPeriodically();
      checkContactRules();
    }
  });
  if (!plan_.faults.empty())
    for (Milliseconds t = begin + 2000; t < begin + plan_.length;
         t += 1 + static_cast<Milliseconds>(rng_.below(static_cast<std::uint64_t>(2 * plan_.faultInterval)))) {
      Fault const f = plan_.faults[rng_.below(plan_.faults.size())];
      at(t, [this, f] { injectFault(f); });
    }
  if (plan_.surge != 1.0) {
    at(begin + plan_.length / 3, [this] { currentDemand_ = plan_.demand * plan_.surge; });
    at(begin + 2 * plan_.length / 3, [this] { currentDemand_ = plan_.demand; });
  }
  at(begin + plan_.length, [this] {
    heal();
    loadStopped_ = false;
    currentDemand_ = std::max(5.0, plan_.demand / 4);
    aggressiveFraction_ = 0;
  });
  at(begin + plan_.length + 15000, [this] { heal(); });
  at(begin + plan_.length + recoveryPeriod, [this] { loadStopped_ = true; });
  at(begin + plan_.length + recoveryPeriod + 16000, [this] { checkFinalState(); });
  if (plan_.operators.enabled)
    at(begin + plan_.length + recoveryPeriod + 16500, [this] { checkFinalFleetConfiguration(); });
  Milliseconds const end = begin + plan_.length + recoveryPeriod + 30000;
  while (!events_.empty() && events_.top().at <= end) {
    Event const e = events_.top();
    events_.pop();
    now_ = e.at;
    e.act();
  }
  if (result_.counts["served"] == 0) violation("nothing was served at all");
  return result_;
}

}  // namespace corkward::testing
