#include <algorithm>
#include <cmath>

#include "internal.h"

namespace corkward::testing {

void SimulatedCluster::startNextRequest() {
  if (loadStopped_) return;
  double const gap = -std::log(1.0 - static_cast<double>(rng_.below(1000000)) / 1000000.0) * 1000.0 / currentDemand_;
  after(std::max<Milliseconds>(1, static_cast<Milliseconds>(gap)), [this] { startNextRequest(); });
  Caller c;
  c.id = "c" + std::to_string(nextCaller_++);
  std::uint64_t const kind = rng_.below(100);
  c.cls = kind < 20 ? "urgent" : kind < 27 ? "long" : "short";
  c.resumable = kind >= 85;
  c.instance = rng_.chance(0.6) ? "desk.nord" : "desk.sued";
  c.path = c.cls == "urgent" ? "ack" : c.resumable ? "digest" : c.cls == "long" ? "narrate" : "pitch";
  if (shape_ != Shape::usual && c.cls == "short" && rng_.chance(0.6)) {
    c.cls = "long";
    c.path = "narrate";
    c.resumable = false;
    c.shape = shape_;
    ++result_.counts[shape_ == Shape::longPrompt ? "long-prompts" : "long-answers"];
  }
  if (plan_.regimes && kind >= 20 && kind < 26) {
    c.path = "tale";
    c.resumable = true;
  }
  if (c.cls != "urgent" && rng_.chance(0.03) && !lastMark_.empty()) c.path = lastMark_;
  if (c.cls != "urgent")
    c.prefix = rng_.chance(0.3) ? "hot" : "p" + std::to_string(rng_.below(static_cast<std::uint64_t>(plan_.prefixes)));
  c.aggressive = rng_.chance(aggressiveFraction_);
  c.sendsAttemptNumbers = rng_.chance(0.7);
  c.startedAt = now_;
  c.deadline = now_ + callerPatience * 2;
  ++result_.counts["requests"];
  std::string const id = c.id;
  callers_[id] = c;
  sendAttempt(id);
}

void SimulatedCluster::sendAttempt(std::string const& id) {
  auto const it = callers_.find(id);
  if (it == callers_.end()) return;
  Caller& c = it->second;
  std::vector<Node*> up;
  for (auto& [address, machine] : nodes_)
    if (machine.data && machine.alive && !machine.draining) up.push_back(&machine);
  ++c.attempt;
  c.got.clear();
  c.status = 0;
  if (up.empty()) {
    if (now_ > c.deadline || c.attempt > 20)
      finishRequest(id, "no-node");
    else
      after(500, [this, id] { sendAttempt(id); });
    return;
  }
  Node& n = *up[rng_.below(up.size())];
  c.node = n.link;
  c.incarnation = n.incarnation;
  c.call = nextCall_++;
  c.open = true;
  c.responseReset = false;
  c.attemptAt = now_;
  callerOf_[{n.link, c.call}] = id;
  dataplane::Request r;
  r.call = c.call;
  r.instance = c.instance;
  r.path = c.path;
  r.id = id;
  r.attempt = c.sendsAttemptNumbers ? c.attempt : 0;
  r.ageMs = now_ - c.startedAt;
  r.prefix = c.prefix;
  r.earlierNotExecuted = c.sendsAttemptNumbers && c.attempt > 1 && c.earlierNotRun;
  r.earlierReachedReplica = c.earlierReached;
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  std::uint64_t const call = c.call;
  after(1 + static_cast<Milliseconds>(rng_.below(3)), [this, link, incarnation, r] {
    deliverToNode(link, incarnation, [this, link, r] {
      Node& k = *node(link);
      run(k, k.data->onRequest(local(k), r));
    });
  });
  after(callerPatience, [this, id, call, link, incarnation] {
    auto const k = callers_.find(id);
    if (k == callers_.end() || !k->second.open || k->second.call != call || k->second.firstTokenReceived) return;
    deliverToNode(link, incarnation, [this, link, call] {
      Node& m = *node(link);
      run(m, m.data->onCallerDisconnected(local(m), call));
    });
    onCallerConnectionLost(id);
  });
}

bool SimulatedCluster::retryUnprompted(Caller& c) {
  if (!plan_.fenced || !c.aggressive || c.attempt >= 12 || now_ > c.deadline) return false;
  c.open = false;
  c.firstTokenReceived = false;
  c.earlierNotRun = false;
  after(20 + static_cast<Milliseconds>(rng_.below(100)), [this, id = c.id] { sendAttempt(id); });
  return true;
}

void SimulatedCluster::onCallerRejected(std::string const& id, dataplane::Reject const& d) {
  Caller& c = callers_.at(id);
  c.open = false;
  ++result_.counts["denied-" + std::to_string(d.status) + (d.status == 409 ? " " + d.reason : "")];
  c.earlierReached = c.earlierReached || d.reachedReplica;
  if (d.notExecuted) {
    rejectedAsNotExecuted_.insert({id, c.call});
    if (executedAttempts_.count({id, c.call}) > 0) violation("rejected as not run, but ran: " + id);
  }
  if (!d.notExecuted && retryUnprompted(c)) return;
  bool const back = plan_.fenced && d.notExecuted && (d.retryAfter > 0 || c.aggressive) &&
                    c.attempt < (c.aggressive ? 12U : 4U) && now_ < c.deadline;
  if (!back) {
    finishRequest(id, d.notExecuted ? "denied" : "unknown");
    return;
  }
  Milliseconds const wait = c.aggressive ? static_cast<Milliseconds>(20 + rng_.below(100))
                                         : d.retryAfter * 1000 + static_cast<Milliseconds>(rng_.below(500));
  after(wait, [this, id] { sendAttempt(id); });
}

void SimulatedCluster::onCallerConnectionLost(std::string const& id) {
  auto const it = callers_.find(id);
  if (it == callers_.end() || !it->second.open) return;
  Caller& c = it->second;
  c.open = false;
  c.earlierNotRun = false;
  if (c.status < 500 && !c.got.empty() && !isUninterrupted(c))
    violation("a stream has a gap, a repetition or parts of different runs, and was cut: " + id);
  if (!plan_.fenced || c.firstTokenReceived || c.attempt >= 4 || now_ > c.deadline) {
    finishRequest(id, c.firstTokenReceived ? "broken" : "cut");
    return;
  }
  after(50 + static_cast<Milliseconds>(rng_.below(rng_.chance(0.3) ? 8000 : 400)), [this, id] { sendAttempt(id); });
}

void SimulatedCluster::finishRequest(std::string const& id, std::string const& outcome) {
  ++result_.counts[outcome];
  countPoolOutcome(callers_.at(id), outcome);
  callers_.at(id).open = false;
  if (outcome == "served") servedSinceOutage_ = true;
}

}  // namespace corkward::testing
