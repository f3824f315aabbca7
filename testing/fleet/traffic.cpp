#include "traffic.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <corkward/core/json.h>

#include "clock.h"

namespace corkward::testing {

namespace {

constexpr int maxAttempts = 4;
constexpr core::Tick callerLimit = 20000;

}  // namespace

Traffic::Traffic(Fleet& fleet, std::uint64_t seed, double scale) : fleet_(fleet), rng_(seed), scale_(scale) {
  for (Node const& n : fleet.routers()) ready_.insert(n.http);
  QObject::connect(&arrivals_, &QTimer::timeout, this, [this] { arrive(); });
  QObject::connect(&looks_, &QTimer::timeout, this, [this] { look(); });
}

void Traffic::startCalling() {
  last_ = programs::now();
  arrivals_.start(5);
  looks_.start(200);
}

void Traffic::stopCalling() {
  arrivals_.stop();
}

void Traffic::look() {
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

void Traffic::arrive() {
  core::Tick const t = programs::now();
  double const streams = fleet_.deployment().streams * scale_;
  double const quick = fleet_.deployment().quick * scale_;
  due_ += (streams + quick) * static_cast<double>(t - last_) / 1000.0;
  last_ = t;
  while (due_ >= 1.0) {
    due_ -= 1.0;
    bool const stream = rng_.chance(streams / (streams + quick));
    send(!stream ? "urgent" : rng_.chance(0.15) ? "long" : "short");
  }
}

void Traffic::send(std::string const& cls) {
  Deployment const& d = fleet_.deployment();
  Open o;
  o.record.id = "r" + std::to_string(next_++) + "-" + std::to_string(rng_.next() % 100000);
  o.record.cls = cls;
  o.record.began = programs::now();
  o.instance = fleet_.instances()[rng_.below(2)];
  o.record.instance = o.instance;
  o.path = cls == "urgent" ? d.quickPath : cls == "long" ? d.bulkPath : d.shortPath;
  if (cls != "urgent") o.prefix = "turbine-" + std::to_string(rng_.chance(0.3) ? 0 : rng_.below(40));
  o.body = core::jsonText(QJsonObject{{"prefix", core::toQString(o.prefix)},
                                      {"text", core::toQString(std::string(cls == "long" ? 4000 : 200, 'x'))}});
  o.deadline = o.record.began + callerLimit;
  o.record.numbered = rng_.chance(0.7);
  std::string const id = o.record.id;
  open_[id] = std::move(o);
  attempt(id);
}

std::string Traffic::shownOf(std::string const& http) const {
  for (Node const& n : fleet_.routers())
    if (n.http == http && !n.shown.empty()) return n.shown;
  return http;
}

void Traffic::attempt(std::string const& id) {
  Open& o = open_.at(id);
  std::vector<std::string> const nodes(ready_.begin(), ready_.end());
  if (nodes.empty()) {
    if (programs::now() > o.deadline) {
      finish(id, "no-node");
      return;
    }
    QTimer::singleShot(200, this, [this, id] {
      if (open_.count(id) > 0) attempt(id);
    });
    return;
  }
  ++o.record.attempts;
  o.got.clear();
  o.head = http::ReplicaHead{};
  http::UpstreamConnection::Events e;
  e.connected = [this, id] {
    Open& open = open_.at(id);
    http::ReplicaRequest request{"POST",
                                 "/v1/" + open.instance + "/" + open.path,
                                 {{"content-type", "application/json"}, {"corkward-request-id", open.record.id}}};
    if (!open.prefix.empty()) request.headers.emplace_back("corkward-prefix", open.prefix);
    if (open.record.numbered) {
      request.headers.emplace_back("corkward-attempt", std::to_string(open.record.attempts));
      request.headers.emplace_back("corkward-age-ms", std::to_string(programs::now() - open.record.began));
      if (open.record.attempts > 1 && open.earlierNotRun)
        request.headers.emplace_back("corkward-earlier", open.earlierReached ? "not-run-reached" : "not-run");
    }
    open.forwarder->send(request, open.body);
  };
  e.connectFailed = [this, id] {
    Open& open = open_.at(id);
    open.forwarder->deleteLater();
    open.forwarder = nullptr;
    if (open.record.attempts >= maxAttempts || programs::now() > open.deadline) {
      finish(id, "no-connection");
      return;
    }
    QTimer::singleShot(100, this, [this, id] {
      if (open_.count(id) > 0) attempt(id);
    });
  };
  e.head = [this, id](http::ReplicaHead head) { open_.at(id).head = std::move(head); };
  e.chunk = [this, id](std::string bytes) {
    Open& open = open_.at(id);
    if (open.head.status == 200 && open.record.firstWord < 0)
      open.record.firstWord = programs::now() - open.record.began;
    open.got += bytes;
  };
  e.ended = [this, id](bool whole) { ended(id, whole); };
  o.forwarder = new http::UpstreamConnection(shownOf(nodes[rng_.below(nodes.size())]), std::move(e), this);
}

void Traffic::ended(std::string const& id, bool whole) {
  Open& o = open_.at(id);
  o.forwarder->deleteLater();
  o.forwarder = nullptr;
  if (o.head.status == 200) {
    BodyVerdict const v = checkBody(o.got);
    if (!v.run.empty()) o.record.runs.push_back(v.run);
    finish(id, whole ? (v.whole ? "served" : "bad-body") : (v.oneRun ? "broken" : "bad-body"));
    return;
  }
  bool const notRun = o.head.status != 0 && http::headerValue(o.head.headers, "corkward-outcome") == "not-run";
  if (notRun && http::headerValue(o.head.headers, "corkward-earlier") == "not-run-reached") o.earlierReached = true;
  std::string const retryAfter = http::headerValue(o.head.headers, "retry-after");
  if (notRun && !retryAfter.empty() && o.record.attempts < maxAttempts && programs::now() < o.deadline) {
    int const wait = std::atoi(retryAfter.c_str()) * 1000;
    QTimer::singleShot(wait + static_cast<int>(rng_.below(200)), this, [this, id] {
      if (open_.count(id) > 0) attempt(id);
    });
    return;
  }
  if (notRun) {
    o.record.rejectedAsNotRun = o.earlierNotRun;
    finish(id, "denied");
    return;
  }
  if (o.head.status == 0 && o.record.attempts < maxAttempts && programs::now() < o.deadline) {
    o.earlierNotRun = false;
    QTimer::singleShot(100, this, [this, id] {
      if (open_.count(id) > 0) attempt(id);
    });
    return;
  }
  finish(id, o.head.status == 0 ? "cut" : "unknown");
}

void Traffic::finish(std::string const& id, std::string const& outcome) {
  std::map<std::string, Open>::iterator const it = open_.find(id);
  it->second.record.outcome = outcome;
  done_.push_back(std::move(it->second.record));
  open_.erase(it);
}

std::string Traffic::openText() const {
  std::string out;
  for (std::map<std::string, Open>::value_type const& o : open_)
    out += o.first + " (" + o.second.record.cls + ") since " + std::to_string(programs::now() - o.second.record.began) +
           " ms, attempt " + std::to_string(o.second.record.attempts) + ", status " +
           std::to_string(o.second.head.status) + ", " + std::to_string(o.second.got.size()) + " bytes" +
           (o.second.forwarder == nullptr ? ", between attempts" : ", connected") + "; ";
  return out;
}

std::map<std::string, std::size_t> Traffic::outcomes() const {
  std::map<std::string, std::size_t> out;
  for (CallerRecord const& r : done_) ++out[r.outcome];
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
      std::string tick, what, run, id, more;
      in >> tick >> what >> run >> id >> more;
      if (what != "run") continue;
      ++out.replicaRuns;
      runsOf[id].insert(run);
      if (more.size() > 4 && more.substr(more.size() - 4) == "/hit") ++out.prefixHits;
      if (more.size() > 5 && more.substr(more.size() - 5) == "/miss") ++out.prefixMisses;
    }
  }
  for (std::map<std::string, std::set<std::string>>::value_type const& r : runsOf)
    out.runTwice += r.second.size() > 1 ? 1 : 0;
  for (CallerRecord const& r : done_) {
    ++out.requests;
    ++out.outcomes[r.outcome];
    if (r.outcome == "bad-body") ++out.badBodies;
    if (r.rejectedAsNotRun && runsOf.count(r.id) > 0) ++out.rejectedButRan;
    if (r.firstWord >= 0) out.firstWords[r.cls].push_back(r.firstWord);
  }
  return out;
}

std::string text(Report const& report) {
  std::ostringstream out;
  out << "requests " << report.requests << "\n";
  for (std::map<std::string, std::size_t>::value_type const& o : report.outcomes)
    out << "  " << o.first << " " << o.second << "\n";
  out << "run twice " << report.runTwice << ", bad bodies " << report.badBodies << ", rejected but ran "
      << report.rejectedButRan << ", runs at replicas " << report.replicaRuns << "\n";
  out << "prefix hits " << report.prefixHits << ", misses " << report.prefixMisses << "\n";
  for (std::map<std::string, std::vector<core::Tick>>::value_type const& f : report.firstWords) {
    std::vector<core::Tick> t = f.second;
    std::sort(t.begin(), t.end());
    out << "first word, " << f.first << ": median " << t[t.size() / 2] << " ms, 99% " << t[t.size() * 99 / 100]
        << " ms (" << t.size() << ")\n";
  }
  return out.str();
}

}  // namespace corkward::testing
