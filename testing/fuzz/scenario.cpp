#include "scenario.h"

#include <QHostAddress>
#include <QTcpServer>
#include <algorithm>
#include <csignal>

#include <corkward/core/json.h>

#include "clock.h"
#include "node_file.h"

namespace corkward::fuzz {

namespace wire = platform::test::wire;

namespace {

constexpr std::size_t replicaCount = 3;
constexpr std::size_t laneCount = 8;
constexpr int bootEveryMs = 5;
constexpr int bootAttempts = 10;
constexpr int lateAnswerWaitMs = 620;
constexpr int limitMs = 40000;
constexpr int intervalMs = 5;
constexpr core::Milliseconds timerTolerance = 2;
constexpr std::size_t maxGaps = 4000;
constexpr std::size_t maxRetries = 2;
constexpr RouteLimits limits{};

std::string freeAddress() {
  QTcpServer probe;
  if (!probe.listen(QHostAddress::LocalHost, 0)) throw PlanError("no free port");
  return "127.0.0.1:" + std::to_string(probe.serverPort());
}

dataplane::RouterTuning tuning() {
  dataplane::RouterTuning t = platform::routerTuning(platform::NodeFile{});
  t.scalerParameters.initialLimit = 64;
  t.scalerParameters.minLimit = 64;
  t.overloadBackoff = 20;
  t.connectFailureBackoff = 100;
  return t;
}

programs::RouterSurface daemonOptions(std::string const& address, std::uint64_t seed) {
  programs::RouterSurface s;
  s.listeners = {{address, programs::ListenerRole::callers}};
  s.limits.sendsServerHeader = false;
  s.limits.errorHeaders = {};
  s.keepAlive = platform::replicaKeepAlive();
  s.seed = seed;
  return s;
}

}  // namespace

LagMeter::LagMeter() : last_(programs::now()) {
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, this, [this] { onTimer(); });
  timer_.start(intervalMs);
}

void LagMeter::onTimer() {
  core::Milliseconds const now = programs::now();
  core::Milliseconds const lost = now - last_ - intervalMs;
  last_ = now;
  if (lost < timerTolerance) return;
  gaps_.push_back(Gap{now, lost});
  if (gaps_.size() > maxGaps) gaps_.pop_front();
}

core::Milliseconds LagMeter::between(core::Milliseconds from, core::Milliseconds to) const {
  core::Milliseconds out = 0;
  for (Gap const& g : gaps_)
    if (g.at >= from && g.at - g.lost <= to) out += g.lost;
  return out;
}

Scenario::Scenario(Plan plan, std::optional<Mutation> mutation, std::function<void()> onFinished)
    : plan_(std::move(plan)),
      mutation_(std::move(mutation)),
      onFinished_(std::move(onFinished)),
      rng_(plan_.seed ^ 0x5eedULL),
      mapping_(mutation_ ? mutation_->mapping : wire::MappingFault::none) {
  for (std::size_t i = 0; i < replicaCount; ++i) {
    Replica::Events e;
    e.arrived = [this, i](Dispatch d, std::size_t length) { return arrived(i, std::move(d), length); };
    e.dispatch = [this](std::size_t at) -> Dispatch& { return record_.dispatches[at]; };
    e.refuses = [this] { return rng_.below(1000) < plan_.refusedPerMille; };
    e.alters = tampers(Tampering::alterRequest);
    replicas_.push_back(std::make_unique<Replica>(i, std::move(e)));
  }
  boot();
}

void Scenario::boot() {
  for (int left = bootAttempts; left > 0; --left) try {
      listen();
      return;
    } catch (core::Error const&) {
      // Another process has taken a port between its choice and its use.
      if (left == 1) throw;
      router_.reset();
      control_.reset();
    }
}

void Scenario::listen() {
  programs::Settings settings;
  settings.link = freeAddress();
  settings.http = "127.0.0.1:0";
  settings.zone = "za";
  std::string const control = freeAddress();
  settings.seeds = {control};
  std::vector<std::string> addresses;
  for (std::unique_ptr<Replica> const& r : replicas_) addresses.push_back(r->address());
  std::vector<wire::Route> const routes{
      {"safe", false, true}, {"once", false, false}, {"row", true, true}, {"tell", true, false}};
  transport::ConfigurationUpdate const update = wire::initialConfigurationUpdate(
      routes, addresses, tampers(Tampering::extraAttempts) ? limits.maxAttempts + 2 : limits.maxAttempts,
      limits.deadlineMs);
  std::string const link = settings.link;
  control_ = std::make_unique<transport::Link>(control, [this, update, link](transport::Envelope const&) {
    if (!router_->ready()) control_->send(link, update);
  });
  router_ =
      std::make_unique<programs::RouterDaemon>(settings, tuning(), mapping_, daemonOptions(settings.http, plan_.seed));
  for (int const number : {SIGTERM, SIGINT}) ::signal(number, SIG_DFL);
  QObject::connect(&boot_, &QTimer::timeout, this, [this] {
    if (!router_->ready()) return;
    boot_.stop();
    begin();
  });
  boot_.start(bootEveryMs);
  limit_.setSingleShot(true);
  QObject::connect(&limit_, &QTimer::timeout, this, [this] {
    record_.unsolicited.push_back("the scenario did not end");
    finish();
  });
  limit_.start(limitMs);
}

void Scenario::begin() {
  std::string const address = router_->server().address();
  for (std::size_t i = 0; i < laneCount; ++i) {
    Caller::Events e;
    e.observation = [this](std::size_t at) -> CallerObservation& { return record_.callers[at]; };
    e.ended = [this](std::size_t at) { ended(at); };
    e.unsolicited = [this](std::string bytes) { record_.unsolicited.push_back(std::move(bytes)); };
    e.ignoresDisconnects = tampers(Tampering::ignoreDisconnects);
    lanes_.push_back(std::make_unique<Caller>(address, std::move(e)));
  }
  toStart_ = plan_.requests.size();
  for (std::size_t i = 0; i < plan_.requests.size(); ++i)
    QTimer::singleShot(plan_.requests[i].startMs, this, [this, i] {
      --toStart_;
      startRequest(plan_.requests[i], "t" + std::to_string(i));
    });
}

void Scenario::startRequest(CallerRequest const& request, std::string const& attempt) {
  CallerObservation observation;
  observation.request = request;
  observation.attempt = attempt;
  observation.target = std::string("/") + name(request.route) + "/" + attempt + "?q=1";
  observation.body = pattern("q" + attempt, request.body);
  observation.events = eventsOf(attempt, 0, request.responses.front().size, request.eventFormat);
  ++open_;
  record_.callers.push_back(std::move(observation));
  lanes_[request.lane % laneCount]->enqueue(record_.callers.size() - 1);
}

void Scenario::ended(std::size_t index) {
  CallerObservation& observation = record_.callers[index];
  if (tampers(Tampering::alterResponse) && !observation.received.empty())
    observation.received[observation.received.size() / 2] ^= 1;
  if (tampers(Tampering::hideTruncation) && observation.status == 200) observation.complete = true;
  if (tampers(Tampering::reportNotRunAfterRun) && (observation.status == 502 || observation.status == 504))
    observation.status = 503;
  bool const served = observation.complete && observation.status >= 200 && observation.status < 300;
  auto const before = static_cast<std::size_t>(std::count(observation.attempt.begin(), observation.attempt.end(), 'r'));
  if (observation.request.behaviour == CallerBehaviour::again && !served && observation.disconnectedAt == 0 &&
      before < maxRetries) {
    CallerRequest const again = observation.request;
    startRequest(again, observation.attempt + "r");
  }
  --open_;
  if (open_ == 0 && toStart_ == 0) QTimer::singleShot(lateAnswerWaitMs, this, [this] { finish(); });
}

CallerObservation* Scenario::callerOf(std::string const& attempt) {
  auto const it = std::find_if(record_.callers.begin(), record_.callers.end(),
                               [&](CallerObservation const& s) { return s.attempt == attempt; });
  return it == record_.callers.end() ? nullptr : &*it;
}

std::string Scenario::endedAttemptOtherThan(std::string const& attempt) {
  std::vector<std::string> ended;
  for (CallerObservation const& s : record_.callers)
    if (s.endedAt != 0 && s.attempt != attempt) ended.push_back(s.attempt);
  return ended.empty() ? "t-gone" : ended[rng_.below(ended.size())];
}

std::pair<std::size_t, ScriptedExchange> Scenario::arrived(std::size_t replica, Dispatch dispatch,
                                                           std::size_t bodyLength) {
  std::size_t const index = record_.dispatches.size();
  dispatch.attempt = http::headerValue(dispatch.fields, wire::attempt);
  dispatch.seal = "s" + std::to_string(replica) + "." + std::to_string(index);
  CallerObservation const* const caller = callerOf(dispatch.attempt);
  ScriptedResponse response;
  ReceivedRequest received;
  received.attempt = dispatch.attempt;
  received.seal = dispatch.seal;
  received.bodyLength = bodyLength;
  received.other = endedAttemptOtherThan(received.attempt);
  if (caller != nullptr) {
    std::size_t const before =
        static_cast<std::size_t>(std::count_if(record_.dispatches.begin(), record_.dispatches.end(),
                                               [&](Dispatch const& d) { return d.attempt == dispatch.attempt; }));
    std::vector<ScriptedResponse> const& responses = caller->request.responses;
    response = responses[std::min(before, responses.size() - 1)];
    received.isEventStream =
        caller->request.route == Route::resumableEvents || caller->request.route == Route::nonResumableEvents;
    received.events = responses.front().size;
    received.eventFormat = caller->request.eventFormat;
    received.after = static_cast<std::size_t>(
        std::strtoull(http::headerValue(dispatch.fields, wire::lastEvent).c_str(), nullptr, 10));
  }
  ScriptedExchange exchange = scriptedExchangeOf(response, received);
  dispatch.fault = response.fault;
  dispatch.ran = exchange.ran;
  dispatch.slow = exchange.slowReading;
  dispatch.status = exchange.status;
  dispatch.eventsBefore = received.after;
  dispatch.framed = exchange.framed;
  dispatch.framedComplete = exchange.framedComplete;
  record_.dispatches.push_back(std::move(dispatch));
  return {index, std::move(exchange)};
}

void Scenario::finish() {
  if (finished_ || (open_ > 0 && limit_.isActive())) return;
  finished_ = true;
  record_.endedAt = programs::now();
  if (tampers(Tampering::hideClosedConnections))
    for (Dispatch& dispatch : record_.dispatches) dispatch.closedAt = 0;
  limit_.stop();
  onFinished_();
}

std::vector<Violation> Scenario::check(LagMeter const& lag) const {
  return checkRecord(record_, limits,
                     [&lag](core::Milliseconds from, core::Milliseconds to) { return lag.between(from, to); });
}

}  // namespace corkward::fuzz
