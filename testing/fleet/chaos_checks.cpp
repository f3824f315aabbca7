// Checks of the records of callers, replicas, operators and the platform.
#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>

#include <corkward/core/json.h>

#include "chaos_run.h"
#include "clock.h"

namespace corkward::testing {

namespace {

/// Time after which no router uses a replica that is listed as leaving, in ms.
constexpr Milliseconds leavingAppliedMs = 3000;
/// Time within which an acknowledged evacuation of a zone is applied, in ms.
constexpr Milliseconds evacuationAppliedMs = 5000;
/// Time within which an acknowledged configuration change is applied, in ms.
constexpr Milliseconds changeAppliedMs = 2000;
/// Time within which every router serves again after all faults, in ms.
constexpr int recoveryMs = 12000;
/// The same where no time limits are checked, since the machine may be slow.
constexpr int laxRecoveryMs = 40000;

}  // namespace

std::vector<Arrival> Chaos::arrivalsAt(Node const& r) const {
  std::vector<Arrival> out;
  std::ifstream file(r.record);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream in(line);
    Arrival a;
    std::string more;
    in >> a.at >> a.kind >> a.run >> a.id >> more;
    if (a.kind != "run" && a.kind != "resume" && a.kind != "not-run") continue;
    std::size_t const slash = more.find('/');
    if (slash != std::string::npos) a.path = more.substr(slash + 1, more.rfind('/') - slash - 1);
    out.push_back(a);
  }
  return out;
}

void Chaos::checkResult() {
  result_.report = traffic_->report();
  for (std::vector<std::unique_ptr<FaultProxy>>* const proxies : {&replicaProxies_, &callerProxies_})
    for (std::unique_ptr<FaultProxy> const& proxy : *proxies) result_.faultyConnections += proxy->faultyConnections();
  Report const& report = result_.report;
  checkRuns();
  if (report.badBodies > 0)
    violation(std::to_string(report.badBodies) + " bodies were marked complete but truncated, or mixed two runs");
  if (report.rejectedButRan > 0)
    violation(std::to_string(report.rejectedButRan) + " requests were rejected as not run and ran");
  std::vector<std::pair<Milliseconds, std::string>> all;
  for (Node const& node : fleet_.replicas())
    for (Arrival const& arrival : arrivalsAt(node)) {
      if (arrival.id != "-") all.emplace_back(arrival.at, arrival.id);
      if (plan_.checkTimeLimits) checkArrival(node, arrival);
    }
  for (Node const& node : fleet_.replicas()) checkSlowStart(node);
  checkRepeats(all);
  checkChanges();
  checkGuarantees();
  if (report.outcomes.count("served") == 0) violation("nothing was served");
}

void Chaos::checkArrival(Node const& replica, Arrival const& arrival) {
  for (RestrictedSpan const& span : leaving_)
    if (span.name == replica.name && arrival.at > span.from + leavingAppliedMs && span.contains(arrival.at))
      violation(replica.name + " was reached " + std::to_string(arrival.at - span.from) +
                " ms after it was listed as leaving");
  for (RestrictedSpan const& span : evacuatedZones_)
    if (span.name == replica.zone && arrival.at > span.from + evacuationAppliedMs && span.contains(arrival.at))
      violation(replica.name + " was reached " + std::to_string(arrival.at - span.from) +
                " ms after its zone's evacuation was acknowledged");
  for (TemplateChange const& put : templateChanges_)
    if (put.acknowledged() && arrival.at > put.answeredAt + changeAppliedMs && revisionOf(arrival.path) > 0 &&
        revisionOf(arrival.path) < put.revision)
      violation(arrival.path + " reached a replica " + std::to_string(arrival.at - put.answeredAt) + " ms after " +
                put.mark + " was acknowledged");
}

void Chaos::checkExits() {
  for (std::vector<Node>* const group : {&fleet_.controllers(), &fleet_.routers()})
    for (Node const& node : *group) {
      bool const hasEnded = node.process && node.process->state() == QProcess::NotRunning;
      if (!hasEnded || !reportedExits_.insert(node.name).second) continue;
      bool const byItself = node.process->exitStatus() == QProcess::NormalExit;
      violation(node.name + " exited unexpectedly, " + (byItself ? "exit code " : "signal ") +
                std::to_string(node.process->exitCode()) + "; end of its log: " + fleet_.logTail(node));
    }
}

void Chaos::checkServing() {
  int const limitMs = plan_.checkTimeLimits ? recoveryMs : laxRecoveryMs;
  for (Node const& router : fleet_.routers())
    if (!servesWithin(router, limitMs))
      violation(router.name + " serves nothing for " + std::to_string(limitMs) +
                " ms; end of its log: " + fleet_.logTail(router));
}

bool Chaos::servesWithin(Node const& router, int limitMs) {
  constexpr int pauseMs = 50;
  std::string const path = "/v1/" + fleet_.instances()[0] + "/" + fleet_.deployment().shortPath;
  Milliseconds const end = programs::now() + limitMs;
  while (programs::now() < end) {
    if (fleet_.call(router, "POST", path, "{}").status == 200) return true;
    fleet_.runFor(pauseMs);
  }
  return false;
}

void Chaos::checkGuarantees() {
  for (std::vector<Node>* const group : {&fleet_.controllers(), &fleet_.routers()})
    for (Node const& node : *group) {
      std::ifstream log(fleet_.directory() + "/" + node.name + ".log");
      std::string line;
      while (std::getline(log, line))
        for (char const* const bad : {"guarantee-violated", "requests-stalled", "broken invariant", "terminate called",
                                      "panic", "restarted-after-fault", "gave up waiting"})
          if (line.find(bad) != std::string::npos) violation(node.name + ": " + line.substr(0, 300));
    }
}

void Chaos::checkRuns() {
  std::map<std::string, std::vector<std::pair<Milliseconds, std::string>>> executions;
  for (Node const& node : fleet_.replicas())
    for (Arrival const& arrival : arrivalsAt(node))
      if (arrival.kind == "run" && arrival.id != "-")
        executions[arrival.id].emplace_back(arrival.at - startedAt_, arrival.run);
  for (auto const& [id, runs] : executions)
    if (runs.size() > 1) checkRepeatedRun(id, runs);
}

void Chaos::checkRepeatedRun(std::string const& id, std::vector<std::pair<Milliseconds, std::string>> const& runs) {
  std::vector<CallerRecord> const& records = traffic_->records();
  auto const caller =
      std::find_if(records.begin(), records.end(), [&](CallerRecord const& record) { return record.id == id; });
  bool const sendsAttemptNumbers = caller != records.end() && caller->sendsAttemptNumbers;
  Milliseconds const first = std::min_element(runs.begin(), runs.end())->first;
  if (!sendsAttemptNumbers && outageAt_ >= 0 && first < outageAt_) return;
  std::string text = "request " + id + " ran twice:";
  for (auto const& [at, run] : runs) text += " " + run + " at " + std::to_string(at);
  violation(text + (sendsAttemptNumbers ? ", numbered" : ", unnumbered"));
}

qint64 Chaos::revisionOf(std::string const& mark) const {
  for (TemplateChange const& p : templateChanges_)
    if (p.mark == mark && (p.pending || p.status == 200 || p.status == 201)) return p.revision;
  return 0;
}

void Chaos::checkSlowStart(Node const& n) {
  if (!plan_.checkTimeLimits) return;
  for (RestrictedSpan const& b : warmingUp_) {
    if (b.name != n.name) continue;
    std::vector<Milliseconds> hits;
    for (Arrival const& a : arrivalsAt(n))
      if (a.at >= b.from && (b.until < 0 || a.at < b.until)) hits.push_back(a.at);
    for (std::size_t i = 0; i + 7 < hits.size(); ++i)
      if (hits[i + 7] - hits[i] < 3000)
        violation(n.name + " was warming up and got 8 requests in " + std::to_string(hits[i + 7] - hits[i]) + " ms");
  }
}

void Chaos::checkRepeats(std::vector<std::pair<Milliseconds, std::string>> all) {
  std::sort(all.begin(), all.end());
  std::set<std::string> firstSeen;
  std::vector<Milliseconds> firsts;
  std::vector<Milliseconds> repeats;
  for (std::pair<Milliseconds, std::string> const& a : all)
    (firstSeen.insert(a.second).second ? firsts : repeats).push_back(a.first);
  result_.repeats = repeats.size();
  for (Milliseconds const end : repeats) {
    auto const in = [end](std::vector<Milliseconds> const& v) {
      return static_cast<std::size_t>(std::upper_bound(v.begin(), v.end(), end) -
                                      std::lower_bound(v.begin(), v.end(), end - 10000));
    };
    if (static_cast<double>(in(repeats)) > 0.2 * static_cast<double>(in(firsts)) + 20.0)
      violation(std::to_string(in(repeats)) + " repeats over " + std::to_string(in(firsts)) +
                " first dispatches in 10 s");
  }
}

void Chaos::checkChanges() {
  std::map<std::string, int> accepted;
  qint64 newest = 0;
  for (TemplateChange const& p : templateChanges_) {
    bool const mayBeApplied = p.status == 200 || p.status == 201 || p.pending;
    if (mayBeApplied && ++accepted[p.ifMatch] > 1)
      violation("two changes built on revision " + p.ifMatch + " were both accepted");
    if (mayBeApplied) newest = std::max(newest, p.revision);
  }
  Reply const now =
      fleet_.call(fleet_.firstController(), "GET", std::string("/v1/templates/") + fleet_.deployment().family);
  qint64 const revision = now.body.value("stamp").toInteger();
  if (now.status != 200) violation("the configuration could not be read back: " + std::to_string(now.status));
  if (revision < newest)
    violation("an acknowledged change is lost: revision " + std::to_string(revision) + " of " + std::to_string(newest));
  bool explained = newest == 0 || revision == 1;
  for (TemplateChange const& p : templateChanges_) {
    bool const same = now.body.value("spec").toObject() == p.spec;
    bool const rejected = p.status >= 400 && p.status < 500;
    if (same && rejected) violation("a rejected change is in effect at the end: " + p.mark);
    explained = explained || (same && !rejected &&
                              (revision > newest ? !(p.status >= 200 && p.status < 300) : p.revision == revision));
  }
  if (!explained)
    violation("the final configuration is from no change that was acknowledged or has an unknown outcome");
}

}  // namespace corkward::testing
