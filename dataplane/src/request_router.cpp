#include <algorithm>

#include <corkward/core/json.h>

#include "events.h"
#include "internal.h"

namespace corkward::dataplane {

namespace {

void append(RouterCommands& out, RouterCommands const& added) {
  out.calls.insert(out.calls.end(), added.calls.begin(), added.calls.end());
  out.logEvents.insert(out.logEvents.end(), added.logEvents.begin(), added.logEvents.end());
  out.failures.insert(out.failures.end(), added.failures.begin(), added.failures.end());
}

}  // namespace

RequestRouter::RequestRouter(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed,
                             RouterTuning tuning)
    : tuning_(tuning),
      seed_(seed),
      processName_(self.link + "#" + std::to_string(seed)),
      partialView_(std::move(self), std::move(seeds), seed ^ 0x91),
      tenants_(partialView_.self().link, partialView_.self().incarnation, seed ^ 0x2d, tuning.overdraftAllowance),
      rng_(seed ^ 0x3b),
      roster_(partialView_.self().link) {}

void RequestRouter::countMetric(Milliseconds now, std::string const& what, std::string const& about) {
  journal_.append(now, what, about);
}

void RequestRouter::logEvent(RouterCommands& out, Milliseconds now, core::EventName event,
                             std::map<std::string, std::string> fields) {
  countMetric(now, std::string(event.metricLabel()), fields.empty() ? "" : fields.begin()->second);
  out.logEvents.push_back(core::LogEvent{event, std::move(fields)});
}

RouterCommands RequestRouter::started(Milliseconds now) {
  RouterCommands out;
  startedAt_ = now;
  servingLease_.start(now);
  requestIds_.start(now);
  lastEvent_ = now;
  logEvent(out, now, events::started, {{"link", partialView_.self().link}});
  return out;
}

RouterCommands RequestRouter::onMessage(Milliseconds now, std::string const& from, transport::Message const& message) {
  RouterCommands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); }) this->on(out, now, from, m);
      },
      message);
  return out;
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       transport::GossipShuffle const& m) {
  std::vector<transport::Send> sends = partialView_.onShuffle(now, from, m);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
}

void RequestRouter::recordLag(Milliseconds now) {
  if (now - lastEvent_ > 300) {
    eventLag_ = now - lastEvent_;
    eventLagAt_ = now;
  }
  lastEvent_ = now;
}

RouterCommands RequestRouter::onTimer(Milliseconds now) {
  RouterCommands out;
  recordLag(now);
  roster_.onTimer(now, tuning_.joinTimeout);
  requestLeases(out, now);
  sendHeartbeats(out, now);
  std::vector<transport::Send> sends = partialView_.clockEvent(now);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  updateTenants(out, now);
  expireRemovalHints(out, now);
  if (now >= nextReleaseAt_) {
    nextReleaseAt_ = now + releaseInterval;
    releaseRemoved(now);
  }
  if (now >= nextWarmupRequestAt_) {
    nextWarmupRequestAt_ = now + tuning_.warmupRequestInterval;
    updateWarmupLeases(out, now);
  }
  expireCalls(out, now);
  evaluateQueues(out, now);
  enforceRegimes(out, now);
  return out;
}

void RequestRouter::requestLeases(RouterCommands& out, Milliseconds now) {
  if (now < nextLeaseRequestAt_) return;
  Milliseconds const interval = snapshotApplied_
                                    ? tuning_.leaseRequestInterval
                                    : std::min(tuning_.leaseRequestInterval, tuning_.snapshotRequestInterval);
  nextLeaseRequestAt_ = now + interval;
  chooseControllers(now);
  for (std::string const& link : controllerLinks_.chosen()) sendLeaseRequest(out, now, link);
}

bool RequestRouter::isExpired(Milliseconds now, Call const& call) const {
  Milliseconds const inPhase = now - call.phaseSince;
  switch (call.phase) {
    case Phase::queryingRequestId:
      return inPhase > tuning_.requestIdQueryTimeout || now >= call.deadline;
    case Phase::queued: {
      auto const target = static_cast<double>(routes_[call.path].path.latencyTarget);
      return now - call.arrived > static_cast<Milliseconds>(2 * tuning_.maxQueueTargets * target) ||
             now >= call.deadline;
    }
    case Phase::connecting:
      return inPhase > tuning_.connectTimeout || now >= call.deadline;
    case Phase::streaming:
      return inPhase > tuning_.streamIdleTimeout || isPastDeadline(now, call);
    case Phase::awaitingQuota:
    case Phase::dispatched:
      break;
  }
  return now >= call.deadline;
}

void RequestRouter::expireCalls(RouterCommands& out, Milliseconds now) {
  std::vector<CallId> expired;
  for (auto const& [callId, call] : calls_)
    if (isExpired(now, call)) expired.push_back(callId);
  std::sort(expired.begin(), expired.end());
  for (CallId const id : expired)
    if (calls_.count(id) > 0) expireCall(out, now, id);
}

void RequestRouter::expireCall(RouterCommands& out, Milliseconds now, CallId id) {
  Call& call = calls_.at(id);
  switch (call.phase) {
    case Phase::queryingRequestId:
      if (call.request.attempt == 0)
        decideRequestId(out, now, id, true);
      else
        reject(out, now, id, 409, "another node cannot say whether an earlier attempt ran", false, 0);
      break;
    case Phase::awaitingQuota:
      reject(out, now, id, 503, "deadline passed", true, tuning_.defaultRetryAfter);
      break;
    case Phase::queued:
      rejectForCapacity(out, now, id, "held too long");
      break;
    case Phase::connecting:
      out.calls.push_back(CloseUpstream{id});
      append(out, onConnectFailure(now, id));
      break;
    case Phase::dispatched:
      if (isOverdue(call, now - call.phaseSince)) recordOutcome(out, now, call, true);
      if (call.resumes > 0) {
        abortStream(out, now, id);
      } else {
        out.calls.push_back(CloseUpstream{id});
        reject(out, now, id, 504, "unknown, may have run", false, 0);
      }
      break;
    case Phase::streaming:
      if (isPastDeadline(now, call)) {
        abortStream(out, now, id, "deadline passed");
      } else {
        out.calls.push_back(CloseUpstream{id});
        append(out, onUpstreamFinished(now, id, UpstreamResult::connectionLost));
      }
      break;
  }
}

void RequestRouter::evaluateQueues(RouterCommands& out, Milliseconds now) {
  if (now < nextEvaluationAt_) return;
  nextEvaluationAt_ = now + queueEvaluationInterval;
  refreshCandidates(out, now);
  std::vector<QueueKey> const keys(activeQueues_.begin(), activeQueues_.end());
  for (QueueKey const& key : keys) queues_.at(key).completions.closeWindow(now);
  for (QueueKey const& key : keys) evaluateQueue(out, now, key);
  std::erase_if(activeQueues_, [&](QueueKey const& key) {
    AdmissionQueue const& queue = queues_.at(key);
    return queue.queuedCount() == 0 && queue.scaler.isIdle();
  });
}

bool RequestRouter::isPastDeadline(Milliseconds now, Call const& call) const {
  return call.phase == Phase::streaming && !routes_[call.path].path.host.empty() &&
         now >= call.deadline + tuning_.deadlineGracePeriod;
}

RouterUsage RequestRouter::usage() const {
  return RouterUsage{replicaNames_.count(),
                     instanceNames_.count(),
                     queues_.size(),
                     activeQueues_.size(),
                     servingLease_.size() + controllerLinks_.size() + neighbourLinks_.size() + valueRequestedAt_.size(),
                     requestIds_.size(),
                     prefixes_.size(),
                     calls_.size()};
}

void RequestRouter::releaseRemoved(Milliseconds now) {
  Milliseconds const oldest = now - tuning_.minimumMemoryAge;
  servingLease_.forgetBefore(oldest);
  controllerLinks_.forgetBefore(oldest);
  neighbourLinks_.forgetBefore(oldest);
  std::erase_if(valueRequestedAt_, [&](auto const& requested) { return requested.second < oldest; });
  expireRequestIds(now);
  std::set<NameIndex> replicasUsed;
  std::set<NameIndex> instancesUsed = routes_.instances();
  for (auto const& [callId, call] : calls_) {
    replicasUsed.insert(call.replica);
    instancesUsed.insert(routes_.empty() ? 0 : routes_[call.path].instance);
  }
  std::erase_if(queues_, [&](auto const& entry) {
    auto const& [key, queue] = entry;
    return instancesUsed.count(key.second) == 0 && queue.scaler.inFlight() == 0 && queue.queuedCount() == 0;
  });
  std::erase_if(activeQueues_, [&](QueueKey const& k) { return queues_.count(k) == 0; });
  for (auto const& [key, queue] : queues_) instancesUsed.insert(key.second);
  for (NameIndex ix = 0; ix < instanceNames_.size(); ++ix)
    if (!instanceNames_.name(ix).empty() && instancesUsed.count(ix) == 0) {
      regimePolicy_.forget(ix);
      instanceNames_.release(ix);
    }
  for (NameIndex ix = 0; ix < replicas_.size(); ++ix) {
    if (replicaNames_.name(ix).empty() || replicas_[ix].listed || replicasUsed.count(ix) > 0) continue;
    for (auto& [key, queue] : queues_) queue.scaler.forget(ix);
    prefixes_.forget(ix);
    prefixCache_.forget(ix);
    warmupLeases_.forget(ix);
    replicas_[ix] = Replica{};
    replicaNames_.release(ix);
  }
}

void RequestRouter::updateTuning(RouterTuning const& tuning, std::vector<std::string> seeds) {
  tuning_ = tuning;
  partialView_.setSeeds(std::move(seeds));
}

void RequestRouter::setWallTime(Milliseconds now, std::int64_t wall) {
  if (wallClock_.set(now, wall)) regimePolicy_.invalidate();
}

RouterCommands RequestRouter::drain(Milliseconds now) {
  RouterCommands out;
  if (draining_) return out;
  draining_ = true;
  drainedAt_ = now;
  partialView_.setDraining();
  logEvent(out, now, events::draining, {{"pending", std::to_string(calls_.size())}});
  std::vector<std::string> const& others = otherRouters();
  std::vector<transport::RequestIdHandover> handovers(1, transport::RequestIdHandover{processName_, false, {}});
  for (std::string const& id : requestIds_.executableIds()) {
    if (handovers.back().ids.size() >= maxHandoverIds)
      handovers.push_back(transport::RequestIdHandover{processName_, false, {}});
    handovers.back().ids.push_back(id);
  }
  handovers.back().last = true;
  for (std::string const& link : others)
    for (transport::RequestIdHandover const& handover : handovers) out.sends.push_back(transport::Send{link, handover});
  releaseWarmupLeases(out, now);
  std::vector<CallId> waiting;
  for (auto const& [callId, call] : calls_)
    if (call.phase == Phase::queryingRequestId || call.phase == Phase::awaitingQuota) waiting.push_back(callId);
  for (CallId const id : waiting) reject(out, now, id, 503, "leaving", true, tuning_.defaultRetryAfter);
  return out;
}

std::string RequestRouter::metrics(Milliseconds now) const {
  std::string out = "# TYPE corkward_nacelle_events_total counter\n";
  for (auto const& [event, count] : journal_.counts())
    out += "corkward_nacelle_events_total{event=\"" + event + "\"} " + std::to_string(count) + "\n";
  out += failures_.metrics();
  out += "# TYPE corkward_nacelle_standing gauge\ncorkward_nacelle_standing " +
         std::string(servingLease(now) ? "1" : "0") + "\n";
  out += "# TYPE corkward_nacelle_in_hand gauge\ncorkward_nacelle_in_hand " + std::to_string(calls_.size()) + "\n";
  out +=
      "# TYPE corkward_nacelle_part gauge\n# TYPE corkward_nacelle_cap gauge\n# TYPE corkward_nacelle_in_flight "
      "gauge\n# TYPE corkward_nacelle_held gauge\n";
  for (auto const& [key, queue] : queues_) {
    std::string const labels =
        "{instance=\"" + instanceNames_.name(key.second) + "\",pool=\"" + poolNames_.name(key.first) + "\"} ";
    out += "corkward_nacelle_part" + labels + std::to_string(queue.scaler.subset().size()) + "\n";
    out += "corkward_nacelle_cap" + labels + std::to_string(queue.scaler.cap()) + "\n";
    out += "corkward_nacelle_in_flight" + labels + std::to_string(queue.scaler.inFlight()) + "\n";
    out += "corkward_nacelle_held" + labels + std::to_string(queue.queuedCount()) + "\n";
  }
  return out;
}

QJsonObject RequestRouter::state(Milliseconds now) const {
  QJsonObject revisionsOut;
  for (auto const& [key, revision] : configuration_.revisions())
    revisionsOut.insert(core::toQString(key), static_cast<qint64>(revision));
  return QJsonObject{{"link", core::toQString(partialView_.self().link)},
                     {"zone", core::toQString(partialView_.self().zone)},
                     {"standing", servingLease(now)},
                     {"ready", ready(now)},
                     {"draining", draining_},
                     {"whole", snapshotApplied_},
                     {"rosterSize", static_cast<qint64>(rosterSize())},
                     {"inHand", static_cast<qint64>(calls_.size())},
                     {"stamps", revisionsOut}};
}

}  // namespace corkward::dataplane
