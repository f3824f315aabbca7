#include <algorithm>
#include <array>

#include <corkward/config/regimes.h>
#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::testing {

SimulatedCluster::Replica* SimulatedCluster::replica(std::string const& address) {
  auto const it = replicas_.find(address);
  return it == replicas_.end() ? nullptr : &it->second;
}

void SimulatedCluster::identifyIncarnation(Node& n, dataplane::Connect const& m) {
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  std::uint64_t const connectionId = upstreams_.at({link, m.call}).connectionId;
  after(1 + static_cast<Milliseconds>(rng_.below(3)), [this, link, incarnation, m, connectionId] {
    auto const it = upstreams_.find({link, m.call});
    if (it == upstreams_.end() || it->second.connectionId != connectionId) return;
    Replica const* const to = replica(m.address);
    if (to == nullptr || to->poweredOff) return;
    it->second.replicaIncarnation = to->incarnation;
    bool const incarnationNamed =
        to->up && (incarnationName(*to) == m.incarnation || plan_.mutation == Mutation::skipIncarnationCheck);
    after(1 + static_cast<Milliseconds>(rng_.below(3)), [this, link, incarnation, m, connectionId, incarnationNamed] {
      deliverToNode(link, incarnation, [this, link, m, connectionId, incarnationNamed] {
        auto const still = upstreams_.find({link, m.call});
        if (still == upstreams_.end() || still->second.connectionId != connectionId) return;
        Node& k = *node(link);
        Replica const& other = *replica(m.address);
        if (incarnationNamed && other.up && other.incarnation == still->second.replicaIncarnation) {
          run(k, k.data->onConnected(local(k), m.call));
        } else {
          ++result_.counts["life-denied"];
          run(k, k.data->onConnectFailure(local(k), m.call));
        }
      });
    });
  });
}

void SimulatedCluster::connect(Node& n, dataplane::Connect m) {
  closeUpstream(n, m.call);
  if (plan_.mutation == Mutation::resumeAnywhere && m.resume && !m.incarnation.empty()) {
    auto it = replicas_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(rng_.below(static_cast<std::uint64_t>(plan_.models))));
    m.address = it->first;
    m.incarnation = incarnationName(it->second);
  }
  Forwarded& r = upstreams_[{n.link, m.call}];
  r.address = m.address;
  r.connect = m;
  r.caller = callerOf_[{n.link, m.call}];
  r.connectionId = nextRun_++;
  std::uint64_t const connectionId = r.connectionId;
  if (m.events && streams_.count({n.link, m.call}) == 0) streams_[{n.link, m.call}].expectEvents("");
  streams_[{n.link, m.call}].onConnecting(m.resume);
  std::vector<Idle>& idle = idle_[{n.link, m.address}];
  while (m.incarnation.empty() && !idle.empty() && !r.reused) {
    Idle const last = idle.back();
    Milliseconds const idleTime = now_ - last.since;
    if (m.avoidStaleConnection && idleTime >= executeOnceIdleLimit) break;
    idle.pop_back();
    r.reused = idleTime < idleLimit;
    r.forgotten = r.reused && last.forgotten;
    r.idleForLong = r.reused && idleTime >= staleAfter;
  }
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  Replica const* const to = replica(m.address);
  Node const& from = n;
  bool const reachable = to != nullptr && !to->poweredOff &&
                         (from.zone == to->zone || (zoneCuts_.count(from.zone) == 0 && zoneCuts_.count(to->zone) == 0));
  if (!reachable) return;
  if (!m.incarnation.empty()) {
    identifyIncarnation(n, m);
    return;
  }
  bool const up = to->up && !(to->grey > 0 && rng_.chance(to->grey / 4));
  after(r.reused ? 0 : 1 + static_cast<Milliseconds>(rng_.below(3)),
        [this, link, incarnation, call = m.call, up, connectionId] {
          deliverToNode(link, incarnation, [this, link, call, up, connectionId] {
            auto const it = upstreams_.find({link, call});
            if (it == upstreams_.end() || it->second.connectionId != connectionId) return;
            Node& k = *node(link);
            if (up)
              run(k, k.data->onConnected(local(k), call));
            else
              run(k, k.data->onConnectFailure(local(k), call));
          });
        });
}

void SimulatedCluster::dispatch(Node& n, std::uint64_t call) {
  auto const it = upstreams_.find({n.link, call});
  if (it == upstreams_.end()) return;
  std::string const link = n.link;
  std::uint64_t const incarnation = n.incarnation;
  std::uint64_t const connectionId = it->second.connectionId;
  std::uint64_t const have = n.data->revisionOf(family);
  for (Change const& c : changes_)
    if (c.key == family && c.rolledOut && c.answeredAt >= 0 && have < c.revision &&
        effectiveFrom(n, c.answeredAt) >= 0 && effectiveFrom(n, c.answeredAt) < now_)
      violation("older configuration served: " + link + " has " + std::to_string(have) + ", in force since " +
                std::to_string(c.answeredAt) + " is " + std::to_string(c.revision));
  if (plan_.regimes && callers_.at(it->second.caller).instance == regulated) {
    std::uint64_t const certificates = n.data->revisionOf(config::regimesKey);
    for (Change const& c : changes_)
      if (c.key == config::regimesKey && c.rolledOut && c.answeredAt >= 0 && c.answeredAt < now_ &&
          certificates < c.revision)
        violation("older certificates in force: " + link + " has " + std::to_string(certificates) +
                  ", in force since " + std::to_string(c.answeredAt) + " is " + std::to_string(c.revision));
  }
  bool const incarnationNamed = !it->second.connect.incarnation.empty();
  after(1 + static_cast<Milliseconds>(rng_.below(3)), [this, link, incarnation, call, connectionId, incarnationNamed] {
    auto const r = upstreams_.find({link, call});
    if (r == upstreams_.end() || r->second.connectionId != connectionId) return;
    Replica* const to = replica(r->second.address);
    if (to == nullptr || !to->up || r->second.forgotten ||
        (incarnationNamed && to->incarnation != r->second.replicaIncarnation)) {
      if (r->second.forgotten) ++result_.counts["forgotten-connections"];
      deliverToNode(link, incarnation, [this, link, call, connectionId] {
        auto const still = upstreams_.find({link, call});
        if (still == upstreams_.end() || still->second.connectionId != connectionId) return;
        processUpstreamEvent(*node(link), call,
                             [](dataplane::ResponseStream& st) { return st.onEnd(core::BodyEnd::incomplete); });
      });
      return;
    }
    Node* const k = node(link);
    if (k != nullptr && !to->poweredOff) receiveRequest(*k, incarnation, call, *to, r->second.connect);
  });
}

void SimulatedCluster::receiveRequest(Node& n, std::uint64_t incarnation, std::uint64_t call, Replica& r,
                                      dataplane::Connect const& m) {
  Forwarded& forwarded = upstreams_.at({n.link, call});
  std::string const id = forwarded.caller;
  Caller const& requester = callers_.at(id);
  checkRegime(requester, n, r, forwarded);
  bool const tale = requester.path == "tale";
  int const lastEventId = tale ? QString::fromStdString(streams_[{n.link, call}].resume().lastEvent).toInt() : 0;
  if (tale && m.resume) {
    ++result_.counts["tales-resumed"];
    resumeCounts_[{id, call}] += plan_.mutation == Mutation::resumeTwice ? 2 : 1;
    if (plan_.regimes && plan_.bound && requester.instance == regulated && resumeCounts_[{id, call}] > 1)
      violation("resumed more than once: " + id);
  }
  Milliseconds const leaving = removalEffectiveFrom(n, r.leavingPublishedAt);
  if (leaving >= 0 && now_ > leaving + 3000)
    violation("replica " + r.address + " reached " + std::to_string(now_ - r.leavingPublishedAt) +
              " ms after it was listed as leaving");
  auto const zone = evacuations_.find(r.zone);
  Milliseconds const evacuated = zone == evacuations_.end() ? -1 : effectiveFrom(n, zone->second.first);
  if (zone != evacuations_.end() && zone->second.second && evacuated >= 0 && now_ > evacuated + 5000)
    violation("zone " + r.zone + " reached " + std::to_string(now_ - zone->second.first) +
              " ms after its evacuation was acknowledged");
  if (m.path.rfind("mark-", 0) == 0)
    for (Change const& c : changes_)
      if (c.key == family && c.rolledOut && c.answeredAt >= 0 && effectiveFrom(n, c.answeredAt) >= 0 &&
          now_ > effectiveFrom(n, c.answeredAt) + 2000 && !c.mark.empty() && c.revision > 0)
        for (Change const& o : changes_)
          if (o.mark == m.path && o.revision > 0 && o.revision < c.revision)
            violation("a request on a path that an acknowledged change had removed reached a replica");
  if (r.state == "cold") r.coldHits.push_back(now_);
  int const before = dispatches_[id]++;
  (before == 0 ? firstDispatches_ : repeatedDispatches_).push_back(now_);
  if (before > 0) ++result_.counts["repeats"];
  if (plan_.mutation == Mutation::extraRetries)
    for (int i = 0; i < 3; ++i) repeatedDispatches_.push_back(now_);
  if (m.resume && !tale) {
    dataplane::Resume const resume = streams_[{n.link, call}].resume();
    std::string const wantedRun = resume.run;
    auto const known = r.runs.find(wantedRun);
    ++result_.counts[known != r.runs.end() ? "resumed" : "resume-denied"];
    forwarded.run = wantedRun;
    if (known == r.runs.end()) {
      sendUpstreamEvent(n.link, incarnation, call, forwarded.connectionId, [](dataplane::ResponseStream& st) {
        return st.onHead(dataplane::ResponseHead{410, {}, 0});
      });
      return;
    }
    Run& resumedRun = known->second;
    resumedRun.incarnation = incarnation;
    resumedRun.alive = true;
    resumedRun.connectionId = forwarded.connectionId;
    std::size_t from = std::min<std::size_t>(resume.offset, resumedRun.output.size());
    dataplane::ResponseHead const head{.status = 206, .run = wantedRun, .offset = std::to_string(from)};
    if (plan_.mutation == Mutation::resumeGap)
      from = std::min(from + tokenText(wantedRun, 1).size(), resumedRun.output.size());
    if (plan_.mutation == Mutation::resumeRepeat)
      from = from > tokenText(wantedRun, 1).size() ? from - tokenText(wantedRun, 1).size() : 0;
    std::string bytes = resumedRun.output.substr(from);
    if (plan_.mutation == Mutation::resumeOtherRun) bytes = tokenText(r.address + "#other", 0) + bytes;
    bool const done = resumedRun.done;
    sendUpstreamEvent(n.link, incarnation, call, forwarded.connectionId,
                      [head](dataplane::ResponseStream& st) { return st.onHead(head); });
    if (!bytes.empty())
      sendUpstreamEvent(n.link, incarnation, call, forwarded.connectionId,
                        [bytes](dataplane::ResponseStream& st) { return st.onChunk(bytes); });
    if (done)
      sendUpstreamEvent(n.link, incarnation, call, forwarded.connectionId,
                        [](dataplane::ResponseStream& st) { return st.onEnd(core::BodyEnd::framed); });
    return;
  }
  countGrey(r);
  if (r.queue.size() > 40) {
    sendUpstreamEvent(n.link, incarnation, call, forwarded.connectionId, [](dataplane::ResponseStream& st) {
      return st.onHead(dataplane::ResponseHead{.status = 503, .length = 0, .notExecuted = true});
    });
    return;
  }
  auto const caller = callers_.find(id);
  Run run;
  run.run = r.address + "#" + std::to_string(nextRun_++);
  run.id = id;
  run.call = call;
  run.node = n.link;
  run.incarnation = incarnation;
  run.connectionId = forwarded.connectionId;
  run.events = tale;
  run.from = lastEventId + (plan_.mutation == Mutation::eventGap && lastEventId > 0 ? 1 : 0);
  run.nextEvent = run.from + 1;
  if (caller != callers_.end()) {
    run.attempt = caller->second.attempt;
    run.bulk = caller->second.cls == "long";
    run.shape = caller->second.shape;
    if (caller->second.call != call) run.attempt = 0;
    std::vector<std::string>& all = runsByCaller_[id];
    all.push_back(run.run);
    if (all.size() == 1) caller->second.firstRunAt = now_;
    bool const forgotten =
        !caller->second.sendsAttemptNumbers && !majorityOfRoutersLiveSince(caller->second.firstRunAt);
    if (all.size() > 1 && forgotten) ++result_.counts["forgotten-by-most"];
    if (all.size() > 1 && !caller->second.resumable && !forgotten)
      violation("run twice: " + id + " " + all[0] + " " + all.back() +
                (caller->second.sendsAttemptNumbers ? ", attempt " : ", unnumbered attempt ") +
                std::to_string(caller->second.attempt) + " at " + n.link +
                (caller->second.earlierNotRun ? ", earlier attempt reported as not run"
                                              : ", outcome of the earlier attempt unknown") +
                (caller->second.call == call ? "" : ", by an older attempt"));
    executedAttempts_.insert({id, call});
    if (rejectedAsNotExecuted_.count({id, call}) > 0) violation("rejected as not run, but runs: " + id);
  }
  forwarded.run = run.run;
  std::string const prefix = caller == callers_.end() ? "" : caller->second.prefix;
  if (!prefix.empty()) {
    run.hit = !r.prefixes.insert(prefix).second;
    ++result_.counts[run.hit ? "prefix-hits" : "prefix-misses"];
  }
  ++result_.counts["runs"];
  run.grey = drawGreyFailure(r);
  r.runs[run.run] = run;
  if (run.grey == Grey::dropped || run.grey == Grey::failed) {
    failRun(r, r.runs.at(run.run));
    return;
  }
  r.queue.push_back(run.run);
  serveNext(r);
}

bool SimulatedCluster::plans(Fault f) const {
  return std::find(plan_.faults.begin(), plan_.faults.end(), f) != plan_.faults.end();
}

SimulatedCluster::Grey SimulatedCluster::drawGreyFailure(Replica const& r) {
  if (r.grey <= 0 || !rng_.chance(r.grey)) return Grey::none;
  constexpr std::array<Grey, 4> fates{Grey::dropped, Grey::failed, Grey::cut, Grey::late};
  ++result_.counts["grey-fates"];
  return fates[rng_.below(fates.size())];
}

void SimulatedCluster::failRun(Replica& r, Run& run) {
  run.output = run.run + " failed\n";
  run.done = true;
  Run const b = run;
  if (b.grey == Grey::dropped) {
    r.runs.erase(b.run);
    sendUpstreamEvent(b.node, b.incarnation, b.call, b.connectionId,
                      [](dataplane::ResponseStream& st) { return st.onEnd(core::BodyEnd::incomplete); });
    return;
  }
  sendUpstreamEvent(b.node, b.incarnation, b.call, b.connectionId, [b](dataplane::ResponseStream& st) {
    return st.onHead(dataplane::ResponseHead{.status = 500, .failed = true, .run = b.run});
  });
  sendUpstreamEvent(b.node, b.incarnation, b.call, b.connectionId,
                    [b](dataplane::ResponseStream& st) { return st.onChunk(b.output); });
  sendUpstreamEvent(b.node, b.incarnation, b.call, b.connectionId,
                    [](dataplane::ResponseStream& st) { return st.onEnd(core::BodyEnd::framed); });
}

void SimulatedCluster::countGrey(Replica const& r) {
  if (r.pool != "model") return;
  double usable = 0;
  double grey = 0;
  for (auto const& [address, replica] : replicas_) {
    Replica const& o = replica;
    if (o.pool != "model" || !o.up || o.poweredOff || !o.listed || o.state != "serving") continue;
    ++usable;
    if (o.grey > 0 && now_ - o.greySince > greyDetectionTime) ++grey;
  }
  if (grey == 0 || 3 * grey > usable) return;
  greyExpected_ += grey / usable;
  if (r.grey > 0 && now_ - r.greySince > greyDetectionTime) ++greyHits_;
}

void SimulatedCluster::serveNext(Replica& r) {
  while (r.running < slotsPerReplica && !r.queue.empty()) {
    std::string const name = r.queue.front();
    r.queue.pop_front();
    auto const it = r.runs.find(name);
    if (it == r.runs.end() || !it->second.alive) continue;
    ++r.running;
    std::string const address = r.address;
    std::uint64_t const incarnation = r.incarnation;
    Run const run = it->second;
    double const slow = r.slow * (r.state == "cold" ? 4.0 : 1.0) * (run.grey == Grey::late ? 12.0 : 1.0);
    Milliseconds const prefillTime = r.pool == "other"                ? 10
                                     : run.shape == Shape::longPrompt ? 1500
                                     : run.hit                        ? 40
                                     : run.shape == Shape::longAnswer ? 100
                                     : run.bulk                       ? 600
                                                                      : 200;
    auto const first =
        static_cast<Milliseconds>(slow * static_cast<double>(prefillTime + static_cast<Milliseconds>(rng_.below(40))));
    auto const generationTime =
        static_cast<Milliseconds>(slow * static_cast<double>(r.pool == "other"                ? 5
                                                             : run.shape == Shape::longPrompt ? 100
                                                             : run.shape == Shape::longAnswer ? 6000
                                                             : run.bulk                       ? 2000 + rng_.below(3000)
                                                                                              : 100 + rng_.below(200)));
    int const tokens = r.pool == "other" ? 1 : run.bulk ? 8 : 3;
    for (int k = 0; k <= tokens; ++k)
      after(first + generationTime * k / tokens,
            [this, address, incarnation, name, k, tokens] { emitToken(address, incarnation, name, k, tokens); });
  }
}

void SimulatedCluster::emitToken(std::string const& address, std::uint64_t incarnation, std::string const& name, int k,
                                 int tokens) {
  Replica& r = replicas_.at(address);
  if (r.incarnation != incarnation || !r.up) return;
  Run& run = r.runs.at(name);
  std::string bytes =
      k < tokens ? tokenText(name, static_cast<std::uint64_t>(k)) : name + " end " + std::to_string(tokens) + "\n";
  if (run.events) bytes = k < run.from ? "" : eventText(run, k + 1, k == tokens);
  run.output += bytes;
  run.done = k == tokens;
  if (!bytes.empty()) run.nextEvent = k + 2;
  if (!r.poweredOff && run.alive) run.headSent = true;
  Run const now = run;
  if (run.done) {
    --r.running;
    serveNext(r);
  }
  if (r.poweredOff || !now.alive) return;
  if (k == 0)
    sendUpstreamEvent(now.node, now.incarnation, now.call, now.connectionId,
                      [name, events = now.events](dataplane::ResponseStream& st) {
                        return st.onHead(dataplane::ResponseHead{.status = 200, .run = name, .events = events});
                      });
  if (!bytes.empty())
    sendUpstreamEvent(now.node, now.incarnation, now.call, now.connectionId,
                      [bytes](dataplane::ResponseStream& st) { return st.onChunk(bytes); });
  if (now.grey == Grey::cut && k == 1 && k < tokens) {
    r.runs.at(name).alive = false;
    breakResponse(now);
    return;
  }
  if (k == tokens) completeResponse(now);
}

void SimulatedCluster::sendUpstreamEvent(std::string const& link, std::uint64_t incarnation, std::uint64_t call,
                                         std::uint64_t connectionId, UpstreamEvent event) {
  auto const it = upstreams_.find({link, call});
  if (it == upstreams_.end() || it->second.connectionId != connectionId) return;
  it->second.inFlight.push_back(std::move(event));
  if (it->second.inFlight.size() == 1)
    after(2, [this, link, incarnation, call, connectionId] {
      deliverUpstreamEvents(link, incarnation, call, connectionId);
    });
}

void SimulatedCluster::deliverUpstreamEvents(std::string const& link, std::uint64_t incarnation, std::uint64_t call,
                                             std::uint64_t connectionId) {
  auto const it = upstreams_.find({link, call});
  if (it == upstreams_.end() || it->second.connectionId != connectionId || it->second.inFlight.empty()) return;
  Replica const* const r = replica(it->second.address);
  Node const* const n = node(link);
  bool const cut = n != nullptr && r != nullptr && n->zone != r->zone &&
                   (zoneCuts_.count(n->zone) > 0 || zoneCuts_.count(r->zone) > 0);
  if (cut) {
    ++result_.counts["late-bytes"];
    after(100, [this, link, incarnation, call, connectionId] {
      deliverUpstreamEvents(link, incarnation, call, connectionId);
    });
    return;
  }
  std::deque<UpstreamEvent> const events = std::move(it->second.inFlight);
  it->second.inFlight.clear();
  for (UpstreamEvent const& event : events)
    deliverToNode(link, incarnation, [this, link, call, connectionId, event] {
      auto const still = upstreams_.find({link, call});
      if (still == upstreams_.end() || still->second.connectionId != connectionId) return;
      processUpstreamEvent(*node(link), call, event);
    });
}

void SimulatedCluster::processUpstreamEvent(Node& n, std::uint64_t call, UpstreamEvent const& event) {
  auto const it = upstreams_.find({n.link, call});
  if (it == upstreams_.end()) return;
  std::string const id = it->second.caller;
  std::pair<std::string, std::uint64_t> const key{n.link, call};
  dataplane::StreamSteps steps = event(streams_[key]);
  if (it->second.forgotten && it->second.idleForLong && steps.ended == dataplane::UpstreamResult::connectionLost)
    steps.ended = dataplane::UpstreamResult::staleConnection;
  if (plans(Fault::forgetConnections) && steps.ended == dataplane::UpstreamResult::complete)
    idle_[{n.link, it->second.address}].push_back(Idle{now_});
  if (plan_.mutation == Mutation::truncationLooksComplete && steps.ended &&
      *steps.ended == dataplane::UpstreamResult::connectionLost && streams_[key].begun()) {
    steps.ended = dataplane::UpstreamResult::complete;
    steps.finish = true;
  }
  if (steps.failed) run(n, n.data->onUpstreamError(local(n), call));
  auto const c = callers_.find(id);
  bool const isWaiting = c != callers_.end() && c->second.open && c->second.call == call;
  if (isWaiting && steps.begin) {
    c->second.got.clear();
    c->second.status = steps.begin->status;
  }
  if (isWaiting) c->second.got += steps.chunk;
  if (steps.firstByte) {
    if (isWaiting && !c->second.firstTokenReceived) {
      c->second.firstTokenReceived = true;
    }
    if (isWaiting && !c->second.measured && c->second.startedAt >= 7500 + plan_.skip) {
      c->second.measured = true;
      result_.firstTokenTimes[c->second.cls].push_back(now_ - c->second.startedAt);
      result_.servedTokenTimes[c->second.cls].push_back(now_ - c->second.attemptAt);
    }
    run(n, n.data->onFirstByte(local(n), call, *steps.firstByte));
  } else if (!steps.chunk.empty()) {
    run(n, n.data->onProgress(local(n), call));
  }
  if (steps.closeUpstream) closeUpstream(n, call);
  if (steps.finish) {
    streams_.erase(key);
    if (isWaiting) {
      if (c->second.status >= 500) {
        std::vector<std::string> const& own = runsByCaller_[id];
        bool const known = std::any_of(own.begin(), own.end(),
                                       [&](std::string const& run) { return c->second.got == run + " failed\n"; });
        if (!known) violation("a replica's failure is altered or belongs to another request: " + id);
        finishRequest(id, "replica-failed");
        if (steps.ended) run(n, n.data->onUpstreamFinished(local(n), call, *steps.ended));
        return;
      }
      if (plan_.mutation == Mutation::foreignBody && rng_.chance(0.05)) c->second.got = bodyOf("somebody", 3);
      if (c->second.path == "tale") {
        std::string const& got = c->second.got;
        std::string const end = "data: " + id + " end\n\n";
        if (!isUninterrupted(c->second))
          violation("an event stream has a gap, a repetition or parts of different runs: " + id);
        if (got.size() < end.size() || got.compare(got.size() - end.size(), end.size(), end) != 0)
          violation("a truncated event stream looks complete: " + id);
        ++result_.counts[resumeCounts_.count({id, call}) > 0 ? "tales-served-after-resume" : "tales-served"];
        finishRequest(id, "served");
        if (steps.ended) run(n, n.data->onUpstreamFinished(local(n), call, *steps.ended));
        return;
      }
      BodyVerdict const v = checkBody(c->second.got);
      if (!v.oneRun) violation("a stream has a gap, a repetition or parts of different runs: " + id + " of " + v.run);
      if (v.oneRun && !v.complete) violation("a truncated body looks complete: " + id + " of " + v.run);
      std::vector<std::string> const& runs = runsByCaller_[id];
      if (std::find(runs.begin(), runs.end(), v.run) == runs.end())
        violation("a body of another request: " + id + " got " + v.run);
      finishRequest(id, "served");
    }
  }
  if (steps.ended) run(n, n.data->onUpstreamFinished(local(n), call, *steps.ended));
}

void SimulatedCluster::closeUpstream(Node& n, std::uint64_t call) {
  auto const it = upstreams_.find({n.link, call});
  if (it == upstreams_.end()) return;
  Replica* const r = replica(it->second.address);
  if (r != nullptr && r->runs.count(it->second.run) > 0) r->runs.at(it->second.run).alive = false;
  upstreams_.erase(it);
}

void SimulatedCluster::crash(Replica& r) {
  r.up = false;
  ++r.incarnation;
  r.running = 0;
  r.queue.clear();
  r.prefixes.clear();
  std::erase_if(idle_, [&](auto const& entry) { return entry.first.second == r.address; });
  std::vector<Run> const hit = [&] {
    std::vector<Run> out;
    for (auto const& [name, execution] : r.runs)
      if (execution.alive && !execution.done) out.push_back(execution);
    return out;
  }();
  r.runs.clear();
  for (Run const& run : hit) after(1 + static_cast<Milliseconds>(rng_.below(5)), [this, run] { breakResponse(run); });
}

void SimulatedCluster::breakStreams(Replica& r) {
  for (auto& [name, execution] : r.runs) {
    if (!execution.alive) continue;
    execution.alive = false;
    breakResponse(execution);
  }
}

bool SimulatedCluster::isUninterrupted(Caller const& caller) const {
  if (caller.path != "tale") return checkBody(caller.got).oneRun;
  std::string expected;
  for (int k = 1; expected.size() < caller.got.size(); ++k) {
    std::string const event = "id: " + std::to_string(k) + "\ndata: " + caller.id;
    bool const last = caller.got.compare(expected.size(), event.size() + 4, event + " end") == 0;
    expected += event + (last ? " end" : "") + "\n\n";
    if (last) break;
  }
  return expected == caller.got;
}

void SimulatedCluster::replaceReplica(std::string const& address) {
  Replica& r = replicas_.at(address);
  if (r.leavingPublishedAt < 0) {
    after(1000, [this, address] { replaceReplica(address); });
    return;
  }
  crash(r);
  r.state = "cold";
  r.listed = true;
  r.leavingPublishedAt = -1;
  r.coldHits.clear();
  r.up = true;
  publishEndpointLists();
  after(9000, [this, address] {
    Replica& k = replicas_.at(address);
    if (k.state != "cold") return;
    k.state = "serving";
    k.coldHits.clear();
    publishEndpointLists();
  });
}

}  // namespace corkward::testing
