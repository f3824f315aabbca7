#include "traffic.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <corkward/core/json.h>

#include "clock.h"

namespace corkward::testing {

namespace {

constexpr int maxAttempts = 4;
/// Total time that a caller waits for its response, in ms.
constexpr core::Milliseconds callerLimit = 20000;
/// Delay before the next attempt while no router is ready, in ms.
constexpr int noNodeDelayMs = 200;
/// Delay before the next attempt after a lost connection, in ms.
constexpr int retryDelayMs = 100;

}  // namespace

Traffic::Traffic(Fleet& fleet, std::uint64_t seed, double scale) : fleet_(fleet), rng_(seed), scale_(scale) {
  for (Node const& n : fleet.routers()) ready_.insert(n.http);
  QObject::connect(&arrivals_, &QTimer::timeout, this, [this] { sendDueRequests(); });
  QObject::connect(&pollTimer_, &QTimer::timeout, this, [this] { pollReadiness(); });
}

void Traffic::startCalling() {
  lastArrivalAt_ = programs::now();
  arrivals_.start(5);
  pollTimer_.start(200);
}

void Traffic::stopCalling() {
  arrivals_.stop();
}

void Traffic::pollReadiness() {
  for (Node const& n : fleet_.routers()) {
    std::string const http = n.http;
    if (!n.process) {
      ready_.erase(http);
      continue;
    }
    fleet_.getAsync(http, "/readyz", [this, http](Reply const& r) {
      if (r.status == 200)
        ready_.insert(http);
      else
        ready_.erase(http);
    });
  }
}

void Traffic::sendDueRequests() {
  core::Milliseconds const t = programs::now();
  double const streams = fleet_.deployment().streams * scale_;
  double const quick = fleet_.deployment().quick * scale_;
  dueRequests_ += (streams + quick) * static_cast<double>(t - lastArrivalAt_) / 1000.0;
  lastArrivalAt_ = t;
  while (dueRequests_ >= 1.0) {
    dueRequests_ -= 1.0;
    bool const stream = rng_.chance(streams / (streams + quick));
    send(!stream ? "urgent" : rng_.chance(0.15) ? "long" : "short");
  }
}

void Traffic::send(std::string const& requestClass) {
  Deployment const& d = fleet_.deployment();
  OpenRequest o;
  o.record.id = "r" + std::to_string(nextId_++) + "-" + std::to_string(rng_.next() % 100000);
  o.record.requestClass = requestClass;
  o.record.startedAt = programs::now();
  o.instance = fleet_.instances()[rng_.below(2)];
  o.record.instance = o.instance;
  o.path = requestClass == "urgent" ? d.quickPath : requestClass == "long" ? d.bulkPath : d.shortPath;
  if (requestClass != "urgent") o.prefix = "turbine-" + std::to_string(rng_.chance(0.3) ? 0 : rng_.below(40));
  o.body =
      core::jsonText(QJsonObject{{"prefix", core::toQString(o.prefix)},
                                 {"text", core::toQString(std::string(requestClass == "long" ? 4000 : 200, 'x'))}});
  o.deadline = o.record.startedAt + callerLimit;
  o.record.sendsAttemptNumbers = rng_.chance(0.7);
  std::string const id = o.record.id;
  open_[id] = std::move(o);
  attempt(id);
}

std::string Traffic::advertisedAddressOf(std::string const& http) const {
  for (Node const& n : fleet_.routers())
    if (n.http == http && !n.advertisedAddress.empty()) return n.advertisedAddress;
  return http;
}

void Traffic::attemptLater(std::string const& id, int delayMs) {
  QTimer::singleShot(delayMs, this, [this, id] {
    if (open_.count(id) > 0) attempt(id);
  });
}

bool Traffic::mayAttemptAgain(OpenRequest const& open) const {
  return open.record.attempts < maxAttempts && programs::now() < open.deadline;
}

void Traffic::attempt(std::string const& id) {
  OpenRequest& open = open_.at(id);
  std::vector<std::string> const nodes(ready_.begin(), ready_.end());
  if (nodes.empty()) {
    if (programs::now() > open.deadline)
      finish(id, "no-node");
    else
      attemptLater(id, noNodeDelayMs);
    return;
  }
  ++open.record.attempts;
  open.receivedBytes.clear();
  open.head = http::ReplicaHead{};
  http::UpstreamConnection::Events events;
  events.connected = [this, id] { sendRequest(open_.at(id)); };
  events.connectFailed = [this, id] { connectFailed(id); };
  events.head = [this, id](http::ReplicaHead head) { open_.at(id).head = std::move(head); };
  events.chunk = [this, id](std::string const& bytes) { onChunk(open_.at(id), bytes); };
  events.ended = [this, id](core::BodyEnd end) { responseEnded(id, end == core::BodyEnd::framed); };
  open.forwarder =
      new http::UpstreamConnection(advertisedAddressOf(nodes[rng_.below(nodes.size())]), std::move(events), this);
}

void Traffic::sendRequest(OpenRequest& open) {
  http::ReplicaRequest request{"POST",
                               "/v1/" + open.instance + "/" + open.path,
                               {{"content-type", "application/json"}, {"corkward-request-id", open.record.id}}};
  if (!open.prefix.empty()) request.headers.emplace_back("corkward-prefix", open.prefix);
  if (open.record.sendsAttemptNumbers) {
    request.headers.emplace_back("corkward-attempt", std::to_string(open.record.attempts));
    request.headers.emplace_back("corkward-age-ms", std::to_string(programs::now() - open.record.startedAt));
    if (open.record.attempts > 1 && open.earlierNotRun)
      request.headers.emplace_back("corkward-earlier", open.earlierReached ? "not-run-reached" : "not-run");
  }
  open.forwarder->send(request, open.body);
}

void Traffic::connectFailed(std::string const& id) {
  OpenRequest& open = open_.at(id);
  open.forwarder->deleteLater();
  open.forwarder = nullptr;
  if (open.record.attempts >= maxAttempts || programs::now() > open.deadline)
    finish(id, "no-connection");
  else
    attemptLater(id, retryDelayMs);
}

void Traffic::onChunk(OpenRequest& open, std::string const& bytes) {
  if (open.head.status == 200 && open.record.firstByteAfter < 0)
    open.record.firstByteAfter = programs::now() - open.record.startedAt;
  open.receivedBytes += bytes;
}

void Traffic::responseEnded(std::string const& id, bool complete) {
  OpenRequest& open = open_.at(id);
  open.forwarder->deleteLater();
  open.forwarder = nullptr;
  bool const notRun = http::headerValue(open.head.headers, "corkward-outcome") == "not-run";
  if (open.head.status == 200)
    finishServed(id, complete);
  else if (open.head.status != 0 && notRun)
    onRejected(id);
  else if (open.head.status != 0)
    finish(id, "unknown");
  else if (!mayAttemptAgain(open))
    finish(id, "cut");
  else {
    open.earlierNotRun = false;
    attemptLater(id, retryDelayMs);
  }
}

void Traffic::finishServed(std::string const& id, bool complete) {
  OpenRequest& open = open_.at(id);
  BodyVerdict const body = checkBody(open.receivedBytes);
  if (!body.run.empty()) open.record.runs.push_back(body.run);
  if (complete)
    finish(id, body.complete ? "served" : "bad-body");
  else
    finish(id, body.oneRun ? "broken" : "bad-body");
}

void Traffic::onRejected(std::string const& id) {
  OpenRequest& open = open_.at(id);
  if (http::headerValue(open.head.headers, "corkward-earlier") == "not-run-reached") open.earlierReached = true;
  std::string const retryAfter = http::headerValue(open.head.headers, "retry-after");
  if (!retryAfter.empty() && mayAttemptAgain(open)) {
    int const delayMs = std::atoi(retryAfter.c_str()) * 1000;
    attemptLater(id, delayMs + static_cast<int>(rng_.below(200)));
    return;
  }
  open.record.rejectedAsNotRun = open.earlierNotRun;
  finish(id, "denied");
}

void Traffic::finish(std::string const& id, std::string const& outcome) {
  auto const it = open_.find(id);
  it->second.record.outcome = outcome;
  finished_.push_back(std::move(it->second.record));
  open_.erase(it);
}

std::string Traffic::describeOpen() const {
  std::string out;
  for (auto const& [id, request] : open_)
    out += id + " (" + request.record.requestClass + ") since " +
           std::to_string(programs::now() - request.record.startedAt) + " ms, attempt " +
           std::to_string(request.record.attempts) + ", status " + std::to_string(request.head.status) + ", " +
           std::to_string(request.receivedBytes.size()) + " bytes" +
           (request.forwarder == nullptr ? ", between attempts" : ", connected") + "; ";
  return out;
}

std::map<std::string, std::size_t> Traffic::outcomes() const {
  std::map<std::string, std::size_t> out;
  for (CallerRecord const& r : finished_) ++out[r.outcome];
  return out;
}

Report Traffic::report() const {
  Report out;
  std::map<std::string, std::set<std::string>> runsOf;
  for (Node const& n : fleet_.replicas()) {
    std::ifstream file(n.record);
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream in(line);
      std::string time, what, run, id, more;
      in >> time >> what >> run >> id >> more;
      if (what != "run") continue;
      ++out.replicaRuns;
      runsOf[id].insert(run);
      if (more.size() > 4 && more.substr(more.size() - 4) == "/hit") ++out.prefixHits;
      if (more.size() > 5 && more.substr(more.size() - 5) == "/miss") ++out.prefixMisses;
    }
  }
  for (auto const& [request, executions] : runsOf) out.runTwice += executions.size() > 1 ? 1 : 0;
  for (CallerRecord const& r : finished_) {
    ++out.requests;
    ++out.outcomes[r.outcome];
    if (r.outcome == "bad-body") ++out.badBodies;
    if (r.rejectedAsNotRun && runsOf.count(r.id) > 0) ++out.rejectedButRan;
    if (r.firstByteAfter >= 0) out.firstByteTimes[r.requestClass].push_back(r.firstByteAfter);
  }
  return out;
}

std::string text(Report const& report) {
  std::ostringstream out;
  out << "requests " << report.requests << "\n";
  for (auto const& [outcome, count] : report.outcomes) out << "  " << outcome << " " << count << "\n";
  out << "run twice " << report.runTwice << ", bad bodies " << report.badBodies << ", rejected but ran "
      << report.rejectedButRan << ", runs at replicas " << report.replicaRuns << "\n";
  out << "prefix hits " << report.prefixHits << ", misses " << report.prefixMisses << "\n";
  for (auto const& [requestClass, times] : report.firstByteTimes) {
    std::vector<core::Milliseconds> t = times;
    std::sort(t.begin(), t.end());
    out << "first byte, " << requestClass << ": median " << t[t.size() / 2] << " ms, 99% " << t[t.size() * 99 / 100]
        << " ms (" << t.size() << ")\n";
  }
  return out.str();
}

}  // namespace corkward::testing
