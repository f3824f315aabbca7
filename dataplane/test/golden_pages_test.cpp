/// Texts of a router that callers, operators and monitoring read: rejections, the state resource, the responses to the
/// platform's endpoint lists, and the complete metrics text. They are compared with the files under golden/.
///
/// Callers act on these texts and numbers. The files may be recorded again (see testing/golden/golden.h) only if a
/// change of these texts is intended.

#include <catch2/catch.hpp>

#include <QDateTime>
#include <QJsonArray>
#include <QJsonObject>
#include <algorithm>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/dataplane/request_router.h>

#include "testing/golden/golden.h"

namespace config = corkward::config;
namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
namespace golden = corkward::golden;
namespace quota = corkward::quota;
namespace transport = corkward::transport;

namespace {

/// Wall time at the start of each test, in milliseconds since 1970.
constexpr std::int64_t initialWallTime = 1800000000000;

QJsonObject json(std::string const& text) {
  return core::parseJson(text).toObject();
}

std::string yesOrNo(bool value) {
  return value ? "yes" : "no";
}

std::string describe(dataplane::Connect const& m) {
  return "connect call=" + std::to_string(m.call) + " path=" + m.path + " resume=" + yesOrNo(m.resume);
}
std::string describe(dataplane::SendRequest const& m) {
  return "hand-over call=" + std::to_string(m.call) + " left=" + std::to_string(m.remainingMs) +
         " urgency=" + std::to_string(m.urgency) + (m.tenant ? " tenant=" + *m.tenant : "") +
         (m.regime.empty() ? "" : " regime=" + m.regime);
}
std::string describe(dataplane::CloseUpstream const& m) {
  return "abandon call=" + std::to_string(m.call);
}
std::string describe(dataplane::Reject const& m) {
  return "reject call=" + std::to_string(m.call) + " " + std::to_string(m.status) + " \"" + m.reason +
         "\" not-run=" + yesOrNo(m.notExecuted) + " retry-after=" + std::to_string(m.retryAfter) +
         " reached=" + yesOrNo(m.reachedReplica);
}
std::string describe(dataplane::ResetDownstream const& m) {
  return "abort call=" + std::to_string(m.call);
}
std::string describe(dataplane::EndpointListResponse const& m) {
  return "answer call=" + std::to_string(m.call) + " " + std::to_string(m.status) + " " + core::jsonText(m.body);
}
std::string describe(dataplane::WriteAuditRecord const& m) {
  return "record call=" + std::to_string(m.call) + " regime=" + m.regime + " instance=" + m.instance + " \"" +
         m.reason + "\"";
}

constexpr char const* desk =
    R"({"template":{"stamp":1,"spec":{"paths":[{"path":"a","pool":"model","class":"short"},{"path":"r","pool":"model","class":"short","resumable":true},{"path":"e","pool":"model","class":"long","resumable":true,"events":true}]}},"instances":{"nord":{"stamp":1,"spec":{}}}})";
constexpr char const* law =
    R"({"template":{"stamp":1,"spec":{"regime":"health","paths":[{"path":"a","pool":"model","class":"short"},{"path":"e","pool":"model","class":"long","resumable":true,"events":true},{"path":"f","pool":"model","class":"long","events":true}]}},"instances":{"nord":{"stamp":1,"spec":{}}}})";
constexpr char const* threeReplicas =
    R"({"generation":1,"replicas":[{"id":"L1","address":"10.0.0.1:80","zone":"z1","state":"serving"},{"id":"L2","address":"10.0.0.2:80","zone":"z2","state":"serving"},{"id":"L3","address":"10.0.0.3:80","zone":"z2","state":"serving"}]})";
constexpr char const* oneReplica =
    R"({"generation":2,"replicas":[{"id":"L1","address":"10.0.0.1:80","zone":"z1","state":"serving"}]})";
constexpr char const* noReplicas = R"({"generation":2,"replicas":[]})";
constexpr char const* fleetPaths =
    R"("paths":[{"name":"once","host":"h","prefix":"/once/","kind":"once","deadlineMs":3000,"pool":"model"},{"name":"again","host":"h","prefix":"/again/","kind":"repeatable","deadlineMs":3000,"tries":2,"pool":"model"},{"name":"flow","host":"h","prefix":"/flow/","kind":"stream","deadlineMs":15000,"tries":2,"resumable":true,"pool":"model"},{"name":"open","host":"h","prefix":"/open/","kind":"once","deadlineMs":3000,"open":true,"pool":"model"}],"pools":[{"name":"model"}])";
constexpr char const* smallTenant = R"(,"tenants":[{"name":"t","keys":["k"],"rate":1,"burst":1}])";
constexpr char const* limitedTenant = R"(,"tenants":[{"name":"t","keys":["k"],"rate":100,"burst":100,"urgency":2}])";

QJsonObject fleetConfiguration(int version, std::string const& more = "") {
  return QJsonObject{{"spec", json(R"({"version":)" + std::to_string(version) + "," + fleetPaths + more + "}")}};
}

QJsonObject certificates(std::vector<std::string> const& zones, std::string const& routers = "any",
                         std::int64_t until = initialWallTime + 1000000) {
  std::string const end = core::toStdString(QDateTime::fromMSecsSinceEpoch(until, Qt::UTC).toString(Qt::ISODate));
  std::string all;
  for (std::string const& zone : zones)
    all += (all.empty() ? "\"" : ",\"") + zone +
           R"(":{"regime":"health","carrier":"replicas","pool":"model","zone":")" + zone + R"(","until":")" + end +
           R"("})";
  return json(R"({"spec":{"regimes":{"health":{"nacelles":")" + routers + R"(","reserve":0.5}},"certificates":{)" +
              all + "}}}");
}

dataplane::RouterTuning tuningWithAudit() {
  dataplane::RouterTuning tuning;
  tuning.auditRecordsAvailable = true;
  return tuning;
}

/// A router that writes the events that it gets and the resulting commands to `text`.
struct RouterRecorder {
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t nextCall = 1;
  std::uint64_t revision = 1;
  std::string& text;
  /// Requests that are in progress on a replica.
  std::set<std::uint64_t> inProgress;
  /// Usage reports that were sent to request amounts of tenants' limits, the newest one last.
  std::vector<std::pair<std::string, quota::UsageReport>> reports;

  static transport::Contact self() {
    transport::Contact c;
    c.link = "n1";
    c.httpAddress = "127.0.0.1:8080";
    c.role = transport::routerRole;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }
  explicit RouterRecorder(std::string& text, std::string const& title,
                          dataplane::RouterTuning const& tuning = tuningWithAudit(), bool configured = true)
      : reducer(self(), {"s1"}, 7, tuning), text(text) {
    text += "\n# " + title + "\n";
    reducer.started(0);
    if (!configured) return;
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {
        {"cohort", 1, json(R"({"members":[{"id":"m1","link":"s1"}]})")},
        {"roster", 1,
         json(
             R"({"nodes":[{"link":"n1"},{"link":"n2"},{"link":"n3"}],"previous":[{"link":"n1"},{"link":"n2"},{"link":"n3"}]})")},
        {"pool:model", 1, json(threeReplicas)},
        {"family:desk", 1, json(desk)},
        {"family:law", 1, json(law)},
        {"certificates", 1, certificates({"z1", "z2"})},
        {config::fleetConfigurationKey, 1, fleetConfiguration(1)}};
    reducer.onMessage(now, "s1", update);
    reducer.setWallTime(now, initialWallTime);
    grantLease();
  }
  void grantLease() {
    transport::ServingLeaseGrant c;
    c.requestSentAt = now;
    c.hasQuorum = true;
    reducer.onMessage(now, "s1", c);
  }
  void show(dataplane::RouterCommands const& commands) {
    for (dataplane::CallCommand const& c : commands.calls) {
      text += std::visit([](auto const& m) { return describe(m); }, c) + "\n";
      std::visit(
          [this](auto const& m) {
            using Command = std::decay_t<decltype(m)>;
            if constexpr (std::is_same_v<Command, dataplane::SendRequest>)
              inProgress.insert(m.call);
            else if constexpr (!std::is_same_v<Command, dataplane::WriteAuditRecord>)
              inProgress.erase(m.call);
          },
          c);
    }
    for (core::LogEvent const& failure : commands.failures)
      text += "failure \"" + failure.fields.at("reason") + "\" status=" + failure.fields.at("status") +
              " phase=" + failure.fields.at("phase") + "\n";
    for (transport::Send const& s : commands.sends)
      if (quota::UsageReport const* const report = std::get_if<quota::UsageReport>(&s.message))
        reports.emplace_back(s.to, *report);
  }
  void step(std::string const& description, dataplane::RouterCommands const& commands) {
    text += "> " + description + "\n";
    show(commands);
  }
  void configure(std::string const& key, QJsonObject const& value) {
    transport::ConfigurationUpdate update;
    update.entries = {{key, ++revision, value}};
    step("news of " + key, reducer.onMessage(now, "s1", update));
  }
  /// Advances the time with a timer event every 20 ms.
  /// @param leased whether the serving lease is renewed.
  void pass(core::Milliseconds span, bool leased = true) {
    text += "> " + std::to_string(span) + " ms pass" + (leased ? "" : " unconfirmed") + "\n";
    for (core::Milliseconds const end = now + span; now < end;) {
      now += 20;
      if (leased) grantLease();
      show(reducer.onTimer(now));
    }
  }
  /// A request to a path of an instance.
  dataplane::Request instanceRequest(std::string const& path, std::string const& id = "", std::uint64_t attempt = 1,
                                     std::string const& instance = "desk.nord") {
    dataplane::Request r;
    r.call = nextCall++;
    r.instance = instance;
    r.path = path;
    r.id = id;
    r.attempt = attempt;
    r.earlierNotExecuted = attempt > 1;
    return r;
  }
  /// A request to a path of the fleet configuration.
  dataplane::Request fleetRequest(std::string const& path, std::string const& key = "") {
    dataplane::Request r;
    r.call = nextCall++;
    r.host = core::HostName("h");
    r.target = "/" + path + "/x";
    r.tenantKey = key;
    return r;
  }
  /// Sends the request and returns its call id.
  std::uint64_t sendRequest(dataplane::Request const& r) {
    step("request " + std::to_string(r.call) + " " +
             (r.instance.empty() ? r.host.text() + r.target : r.instance + "/" + r.path),
         reducer.onRequest(now, r));
    return r.call;
  }
  void connected(std::uint64_t call) { step("connected", reducer.onConnected(now, call)); }
  /// Sends the request and dispatches it to a replica. Returns its call id.
  std::uint64_t dispatched(dataplane::Request const& r) {
    std::uint64_t const call = sendRequest(r);
    connected(call);
    return call;
  }
  /// Sends and dispatches the request up to the first byte of its response. Returns its call id.
  std::uint64_t streaming(dataplane::Request const& r) {
    std::uint64_t const call = dispatched(r);
    step("first word", reducer.onFirstByte(now, call, true));
    return call;
  }
  /// Ends a request that is in progress on a replica. Does nothing if the request is not in progress.
  void ended(std::uint64_t call, dataplane::UpstreamResult result, char const* description) {
    if (inProgress.erase(call) == 0) return;
    step(std::string("ended ") + description, reducer.onUpstreamFinished(now, call, result));
  }
  void complete(std::uint64_t call) { ended(call, dataplane::UpstreamResult::complete, "whole"); }
  void notExecuted(std::uint64_t call) { ended(call, dataplane::UpstreamResult::notExecuted, "not run"); }
  void broken(std::uint64_t call) { ended(call, dataplane::UpstreamResult::connectionLost, "broken"); }
  void refused(std::uint64_t call) { step("connection refused", reducer.onConnectFailure(now, call)); }
  /// Replies to the newest usage report with a grant of the amount.
  void grantQuota(std::uint64_t amount, std::uint64_t allocationFraction = quota::fractionUnits) {
    REQUIRE_FALSE(reports.empty());
    auto const [to, report] = reports.back();
    step("lent " + std::to_string(amount),
         reducer.onMessage(now, to,
                           quota::QuotaGrants{report.reportNumber, {{"t", 1, 1, 0, amount, allocationFraction}}, {}}));
  }
  void state() { text += core::jsonText(reducer.state(now)) + "\n"; }
  void metrics() { text += reducer.metrics(now); }
};

void check(std::string const& name, std::string const& text) {
  golden::check("dataplane/test/golden/" + name, text);
}

}  // namespace

TEST_CASE("golden: rejections before a replica is chosen") {
  std::string text;
  {
    RouterRecorder r(text, "nothing is known", {}, false);
    r.state();
    r.sendRequest(r.instanceRequest("a"));
    r.pass(400, false);
    r.metrics();
  }
  {
    RouterRecorder r(text, "no such path");
    r.sendRequest(r.instanceRequest("nowhere"));
    r.sendRequest(r.instanceRequest("a", "", 1, "desk.west"));
    r.sendRequest(r.fleetRequest("nowhere"));
  }
  {
    RouterRecorder r(text, "the confirmation grows old");
    std::uint64_t const call = r.sendRequest(r.instanceRequest("a"));
    r.now += 1501;
    r.connected(call);
    r.sendRequest(r.instanceRequest("a"));
    r.state();
  }
  {
    RouterRecorder r(text, "no replica");
    r.configure("pool:model", json(noReplicas));
    r.sendRequest(r.instanceRequest("a"));
    r.sendRequest(r.fleetRequest("once"));
  }
  {
    RouterRecorder r(text, "more than can be held");
    std::string const before = text;
    for (int i = 0; i < 60; ++i) r.sendRequest(r.instanceRequest("a"));
    std::size_t const at = text.rfind("reject ");
    std::string const last = at == std::string::npos ? "no rejection\n" : text.substr(at, text.find('\n', at) + 1 - at);
    text = before + "last of 60: " + last;
    r.now += 100;
    r.pass(6000);
  }
  {
    RouterRecorder r(text, "leaving", [] {
      dataplane::RouterTuning tuning = tuningWithAudit();
      tuning.drainAcceptPeriod = 2500;
      tuning.drainTimeout = 7000;
      return tuning;
    }());
    r.sendRequest(r.instanceRequest("a", "waits", 0));
    r.step("drain", r.reducer.drain(r.now));
    r.state();
    r.sendRequest(r.instanceRequest("e"));
    r.now += 2400;
    r.grantLease();
    r.sendRequest(r.instanceRequest("a"));
    r.now += 200;
    r.grantLease();
    r.sendRequest(r.instanceRequest("a"));
    r.metrics();
  }
  check("rejections_before.txt", text);
}

TEST_CASE("golden: rejections between admission and dispatch") {
  std::string text;
  {
    RouterRecorder r(text, "the configuration changes before the hand-over");
    std::uint64_t const instanceCall = r.sendRequest(r.instanceRequest("a"));
    std::uint64_t const fleetCall = r.sendRequest(r.fleetRequest("once"));
    r.configure("family:desk",
                json(R"({"template":{"stamp":2,"spec":{"paths":[{"path":"b","pool":"model","class":"short"}]}}})"));
    r.configure(config::fleetConfigurationKey,
                QJsonObject{{"spec", json(R"({"version":2,"paths":[],"pools":[{"name":"model"}]})")}});
    r.connected(instanceCall);
    r.connected(fleetCall);
  }
  {
    RouterRecorder r(text, "connections are refused");
    std::uint64_t const call = r.sendRequest(r.instanceRequest("a"));
    r.refused(call);
    r.refused(call);
    r.refused(call);
    r.refused(call);
    r.pass(11000);
    std::uint64_t const late = r.sendRequest(r.fleetRequest("once"));
    r.now += 3001;
    r.grantLease();
    r.refused(late);
  }
  {
    RouterRecorder r(text, "no descriptors");
    r.step("no descriptors", r.reducer.onLocalConnectFailure(r.now, r.sendRequest(r.instanceRequest("a"))));
    std::uint64_t const resumed = r.streaming(r.instanceRequest("r"));
    r.broken(resumed);
    r.step("no descriptors", r.reducer.onLocalConnectFailure(r.now, resumed));
  }
  {
    RouterRecorder r(text, "the deadline passes");
    std::uint64_t const call = r.sendRequest(r.fleetRequest("once"));
    r.now += 600;
    dataplane::Request brief = r.fleetRequest("once");
    brief.deadline = 100;
    std::uint64_t const late = r.sendRequest(brief);
    r.now += 100;
    r.connected(late);
    r.connected(call);
    r.pass(4000);
  }
  {
    RouterRecorder r(text, "a silent replica");
    std::uint64_t const instanceCall = r.dispatched(r.instanceRequest("a"));
    std::uint64_t const again = r.dispatched(r.fleetRequest("again"));
    std::uint64_t const connecting = r.sendRequest(r.instanceRequest("r"));
    r.pass(60000);
    r.complete(instanceCall);
    r.complete(again);
    r.complete(connecting);
  }
  check("rejections_on_the_way.txt", text);
}

TEST_CASE("golden: broken responses, and replicas that do not execute a request") {
  std::string text;
  {
    RouterRecorder r(text, "not run, until no retry is left");
    for (char const* const path : {"a", "r", "e"}) {
      std::uint64_t const call = r.dispatched(r.instanceRequest(path));
      for (int i = 0; i < 4; ++i) {
        r.notExecuted(call);
        r.now += 400;
        r.grantLease();
        r.connected(call);
      }
      r.complete(call);
    }
    for (char const* const path : {"once", "again", "flow"}) {
      std::uint64_t const call = r.dispatched(r.fleetRequest(path));
      for (int i = 0; i < 4; ++i) {
        r.notExecuted(call);
        r.now += 400;
        r.grantLease();
        r.connected(call);
      }
      r.complete(call);
    }
    r.metrics();
  }
  {
    RouterRecorder r(text, "broken before a word");
    for (char const* const path : {"a", "r", "e"}) r.broken(r.dispatched(r.instanceRequest(path)));
    for (char const* const path : {"once", "again", "flow"}) {
      std::uint64_t const call = r.dispatched(r.fleetRequest(path));
      for (int i = 0; i < 3; ++i) {
        r.broken(call);
        r.connected(call);
      }
    }
    r.ended(r.dispatched(r.fleetRequest("once")), dataplane::UpstreamResult::staleConnection, "forgotten");
    r.metrics();
  }
  {
    RouterRecorder r(text, "refused until no retry is left, after a hand-over");
    std::uint64_t const call = r.dispatched(r.fleetRequest("again"));
    r.notExecuted(call);
    r.refused(call);
    r.refused(call);
    r.refused(call);
    std::uint64_t const instanceCall = r.dispatched(r.instanceRequest("a"));
    r.notExecuted(instanceCall);
    for (int i = 0; i < 6; ++i) r.refused(instanceCall);
  }
  {
    RouterRecorder r(text, "broken after the first word");
    for (char const* const path : {"a", "r", "e"}) {
      std::uint64_t const call = r.streaming(r.instanceRequest(path));
      for (int i = 0; i < 4; ++i) {
        r.broken(call);
        r.connected(call);
      }
    }
    std::uint64_t const flow = r.streaming(r.fleetRequest("flow"));
    for (int i = 0; i < 4; ++i) {
      r.broken(flow);
      r.connected(flow);
    }
    r.ended(r.streaming(r.instanceRequest("r")), dataplane::UpstreamResult::differentExecution, "other run");
    r.streaming(r.instanceRequest("a"));
    r.streaming(r.fleetRequest("flow"));
    r.pass(16000);
    r.metrics();
  }
  {
    RouterRecorder r(text, "a replica's own failure, and callers that leave");
    std::uint64_t const again = r.dispatched(r.fleetRequest("again"));
    r.step("failed", r.reducer.onUpstreamError(r.now, again));
    r.connected(again);
    r.step("failed", r.reducer.onUpstreamError(r.now, again));
    r.complete(again);
    std::uint64_t const once = r.dispatched(r.fleetRequest("once"));
    r.step("failed", r.reducer.onUpstreamError(r.now, once));
    r.complete(once);
    r.step("caller gone", r.reducer.onCallerDisconnected(r.now, r.dispatched(r.instanceRequest("a"))));
    r.step("caller gone",
           r.reducer.onCallerDisconnected(r.now, r.streaming(r.instanceRequest("e", "", 1, "law.nord"))));
    r.metrics();
    r.state();
  }
  {
    dataplane::RouterTuning tuning = tuningWithAudit();
    tuning.retryAllowance = 6;
    RouterRecorder r(text, "no retry is left when the second replica goes away or refuses", tuning);
    std::uint64_t const leaves = r.dispatched(r.instanceRequest("a"));
    std::uint64_t const refuses = r.dispatched(r.instanceRequest("r"));
    r.notExecuted(leaves);
    r.notExecuted(refuses);
    r.pass(400);
    r.refused(refuses);
    r.configure("pool:model", json(noReplicas));
    r.connected(leaves);
  }
  {
    RouterRecorder r(text, "all replicas are slow");
    r.configure("pool:model", json(oneReplica));
    std::string const before = text;
    for (int round = 0; round < 20; ++round) {
      std::uint64_t const call = r.dispatched(r.instanceRequest("a"));
      r.now += 4000;
      r.grantLease();
      r.step("first word", r.reducer.onFirstByte(r.now, call, true));
      r.complete(call);
    }
    text = before;
    for (int i = 0; i < 3; ++i) r.sendRequest(r.instanceRequest("e"));
  }
  check("answers.txt", text);
}

TEST_CASE("golden: rejections due to the request id") {
  std::string text;
  auto const replyToQuery = [](RouterRecorder& r, std::uint64_t call, std::string const& link, bool notExecuted,
                               bool known = false, std::vector<std::string> claimants = {}) {
    r.step("echo of " + link, r.reducer.onMessage(r.now, link,
                                                  transport::RequestIdReply{call, link, notExecuted, known, false,
                                                                            70000, std::move(claimants)}));
  };
  {
    RouterRecorder r(text, "attempts that are numbered");
    std::uint64_t const first = r.dispatched(r.instanceRequest("a", "x"));
    r.sendRequest(r.instanceRequest("a", "x", 2));
    r.broken(first);
    r.sendRequest(r.instanceRequest("a", "x", 2));
    dataplane::Request later = r.instanceRequest("a", "", 2);
    later.earlierNotExecuted = false;
    r.sendRequest(later);
    later = r.instanceRequest("a", "y", 2);
    later.earlierNotExecuted = false;
    r.sendRequest(later);
    later = r.instanceRequest("a", "y", 3);
    later.earlierNotExecuted = false;
    later.ageMs = 90000;
    r.sendRequest(later);
  }
  {
    RouterRecorder r(text, "a later attempt asks the other nodes");
    r.pass(2400);
    dataplane::Request later = r.instanceRequest("a", "y", 2);
    later.earlierNotExecuted = false;
    later.ageMs = 5000;
    r.sendRequest(later);
    replyToQuery(r, later.call, "n2", false);
    later = r.instanceRequest("a", "z", 2);
    later.earlierNotExecuted = false;
    later.ageMs = 5000;
    r.sendRequest(later);
    r.pass(600);
    later = r.instanceRequest("a", "w", 2);
    later.earlierNotExecuted = false;
    later.ageMs = 5000;
    r.sendRequest(later);
    replyToQuery(r, later.call, "n2", true);
    replyToQuery(r, later.call, "n3", true);
  }
  {
    RouterRecorder r(text, "an attempt went to another node");
    std::uint64_t const call = r.sendRequest(r.instanceRequest("a", "x"));
    r.step("another node asks",
           r.reducer.onMessage(r.now, "n2", transport::RequestIdQuery{9, "desk.nord|x", 3, 0, "n2#1"}));
    r.complete(r.dispatched(r.instanceRequest("a", "x", 2)));
    r.step("caller gone", r.reducer.onCallerDisconnected(r.now, call));
  }
  {
    RouterRecorder r(text, "an earlier attempt is in hand");
    r.sendRequest(r.instanceRequest("a", "x"));
    r.sendRequest(r.instanceRequest("a", "x", 2));
  }
  {
    RouterRecorder r(text, "a held one is replaced");
    for (int i = 0; i < 3; ++i) r.sendRequest(r.instanceRequest("e", "fill" + std::to_string(i)));
    r.sendRequest(r.instanceRequest("e", "held"));
    r.sendRequest(r.instanceRequest("e", "held", 2));
    r.step("another node asks",
           r.reducer.onMessage(r.now, "n2", transport::RequestIdQuery{9, "desk.nord|held", 3, 0, "n2#1"}));
  }
  {
    RouterRecorder r(text, "ids without numbers");
    std::uint64_t const ran = r.sendRequest(r.instanceRequest("a", "x", 0));
    replyToQuery(r, ran, "n2", false);
    std::uint64_t const claimed = r.sendRequest(r.instanceRequest("a", "y", 0));
    replyToQuery(r, claimed, "n2", true, true, {"n3"});
    r.pass(600);
    r.sendRequest(r.instanceRequest("a", "z", 0));
    r.pass(600);
  }
  {
    RouterRecorder r(text, "no retry left for what may have reached a replica");
    std::string const before = text;
    for (int i = 0; i < 12; ++i) {
      dataplane::Request again = r.instanceRequest("r", "e" + std::to_string(i), 2);
      again.earlierNotExecuted = false;
      r.sendRequest(again);
    }
    std::size_t const at = text.rfind("reject ");
    std::string const last = at == std::string::npos ? "no rejection\n" : text.substr(at, text.find('\n', at) + 1 - at);
    text = before + "last of 12: " + last;
  }
  check("rejections_by_id.txt", text);
}

TEST_CASE("golden: rejections due to tenants' keys and limits") {
  std::string text;
  {
    RouterRecorder r(text, "keys");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    r.sendRequest(r.fleetRequest("once"));
    r.sendRequest(r.fleetRequest("once", "other"));
    r.complete(r.dispatched(r.fleetRequest("open")));
    std::uint64_t const call = r.sendRequest(r.fleetRequest("once", "k"));
    r.grantQuota(1);
    r.configure(config::fleetConfigurationKey, fleetConfiguration(3, R"(,"tenants":[{"name":"u","keys":["l"]}])"));
    r.connected(call);
  }
  {
    RouterRecorder r(text, "limits: lent, nothing left, no share, no lender");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    std::uint64_t const granted = r.sendRequest(r.fleetRequest("once", "k"));
    r.grantQuota(1);
    r.connected(granted);
    r.complete(granted);
    r.sendRequest(r.fleetRequest("once", "k"));
    r.grantQuota(0);
    r.now += 3000;
    r.grantLease();
    r.sendRequest(r.fleetRequest("once", "k"));
    r.grantQuota(0, 0);
    for (int i = 0; i < 3; ++i) {
      r.now += 200;
      r.grantLease();
      r.sendRequest(r.fleetRequest("once", "k"));
    }
    r.pass(4000);
    r.metrics();
  }
  {
    RouterRecorder r(text, "limits: taken too long ago");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    std::uint64_t const call = r.sendRequest(r.fleetRequest("once", "k"));
    r.grantQuota(1);
    r.now += 600;
    r.grantLease();
    r.connected(call);
    std::uint64_t const again = r.sendRequest(r.fleetRequest("again", "k"));
    r.grantQuota(1);
    r.connected(again);
    r.broken(again);
    r.now += 100;
    r.connected(again);
  }
  {
    RouterRecorder r(text, "limits: a second run beyond them");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, smallTenant));
    r.pass(100);
    std::uint64_t const call = r.sendRequest(r.fleetRequest("again", "k"));
    r.grantQuota(1);
    r.connected(call);
    r.step("failed", r.reducer.onUpstreamError(r.now, call));
    r.connected(call);
  }
  {
    RouterRecorder r(text, "limits: nobody lends");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, smallTenant));
    r.pass(100);
    for (int i = 0; i < 4; ++i) r.sendRequest(r.fleetRequest("once", "k"));
    r.pass(1000);
  }
  {
    RouterRecorder r(text, "limits: the deadline passes while the amount is asked for");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    dataplane::Request brief = r.fleetRequest("once", "k");
    brief.deadline = 20;
    r.sendRequest(brief);
    r.pass(2000);
  }
  check("rejections_by_tenant.txt", text);
}

TEST_CASE("golden: rejections due to regimes") {
  std::string text;
  auto const regimeRequest = [](RouterRecorder& r, char const* path = "a") {
    return r.instanceRequest(path, "", 1, "law.nord");
  };
  {
    RouterRecorder r(text, "served");
    r.complete(r.dispatched(regimeRequest(r)));
    r.state();
  }
  {
    dataplane::RouterTuning tuning = tuningWithAudit();
    tuning.auditRecordsAvailable = false;
    RouterRecorder r(text, "no records", tuning);
    r.sendRequest(regimeRequest(r));
  }
  {
    dataplane::RouterTuning tuning = tuningWithAudit();
    tuning.leaseRequired = false;
    RouterRecorder r(text, "no fence", tuning);
    r.sendRequest(regimeRequest(r));
  }
  {
    RouterRecorder r(text, "no certificates are known");
    r.configure("certificates", {});
    r.sendRequest(regimeRequest(r));
  }
  {
    RouterRecorder r(text, "the router is not certified");
    r.configure("certificates", certificates({"z1"}, "certified"));
    r.sendRequest(regimeRequest(r));
  }
  {
    RouterRecorder r(text, "no replica is certified");
    r.configure("certificates", certificates({"z9"}));
    r.sendRequest(regimeRequest(r));
  }
  {
    RouterRecorder r(text, "what is held loses the last certified replica");
    std::string const before = text;
    for (int i = 0; i < 12; ++i) r.sendRequest(regimeRequest(r, "e"));
    text = before;
    r.configure("certificates", certificates({"z9"}));
    r.pass(40);
  }
  {
    RouterRecorder r(text, "the certificate ends before the hand-over");
    r.sendRequest(regimeRequest(r));
    r.configure("certificates", certificates({"z9"}));
    r.pass(1000);
    std::uint64_t const call = r.sendRequest(regimeRequest(r));
    r.connected(call);
  }
  {
    dataplane::RouterTuning tuning = tuningWithAudit();
    tuning.retryAllowance = 3;
    RouterRecorder r(text, "the certificate ends while a second replica is connected to", tuning);
    std::uint64_t const call = r.dispatched(regimeRequest(r));
    r.notExecuted(call);
    r.pass(400);
    r.configure("certificates", certificates({"z9"}));
  }
  {
    RouterRecorder r(text, "the caller of a regime's request goes away");
    r.step("caller gone", r.reducer.onCallerDisconnected(r.now, r.streaming(regimeRequest(r, "e"))));
  }
  {
    RouterRecorder r(text, "records end before the hand-over");
    std::uint64_t const call = r.sendRequest(regimeRequest(r));
    r.reducer.setAuditAvailable(false);
    r.connected(call);
  }
  {
    RouterRecorder r(text, "the certificate ends after the hand-over");
    r.streaming(regimeRequest(r, "f"));
    r.dispatched(regimeRequest(r, "a"));
    r.streaming(regimeRequest(r, "e"));
    r.configure("certificates", certificates({"z9"}));
    r.configure("certificates", {});
    r.metrics();
  }
  {
    RouterRecorder r(text, "the confirmation grows old");
    r.streaming(regimeRequest(r, "e"));
    r.dispatched(regimeRequest(r, "a"));
    r.pass(1600, false);
  }
  {
    RouterRecorder r(text, "no wall time", tuningWithAudit(), false);
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {{"cohort", 1, json(R"({"members":[{"id":"m1","link":"s1"}]})")},
                      {"roster", 1, json(R"({"nodes":[{"link":"n1"}],"previous":[{"link":"n1"}]})")},
                      {"pool:model", 1, json(threeReplicas)},
                      {"family:law", 1, json(law)},
                      {"certificates", 1, certificates({"z1", "z2"})}};
    r.reducer.onMessage(r.now, "s1", update);
    r.grantLease();
    r.sendRequest(regimeRequest(r));
  }
  check("rejections_by_regime.txt", text);
}

TEST_CASE("golden: the state resource, responses to endpoint lists, and the metrics") {
  std::string text;
  RouterRecorder r(text, "at rest");
  r.state();
  r.metrics();
  r.text += "\n# lists\n";
  for (char const* const body :
       {threeReplicas,
        R"({"generation":2,"replicas":[{"id":"L1","address":"10.0.0.1:80","zone":"z1","state":"serving"}]})",
        R"({"generation":1,"replicas":[]})", R"({"generation":2,"replicas":[]})", "{", "[]", "{}",
        R"({"generation":3,"replicas":[{"address":"x"}]})"})
    r.step(std::string("list ") + body, r.reducer.onEndpointList(r.now, r.nextCall++, "model", body));
  r.step("list of another pool",
         r.reducer.onEndpointList(r.now, r.nextCall++, "other", R"({"generation":1,"replicas":[]})"));
  RouterRecorder used(text, "in use");
  used.configure(
      "pool:model",
      json(
          R"({"generation":3,"coldRate":2,"replicas":[{"id":"L1","address":"10.0.0.1:80","zone":"z1","state":"serving"},{"id":"L4","address":"10.0.0.4:80","zone":"z1","state":"cold"}]})"));
  used.configure("zone:z2", QJsonObject{{"evacuated", true}});
  used.configure("pool:model", json("{}"));
  dataplane::Request prefixed = used.instanceRequest("a", "p1");
  prefixed.prefix = "p";
  used.complete(used.dispatched(prefixed));
  prefixed = used.instanceRequest("a", "p2");
  prefixed.prefix = "p";
  used.streaming(prefixed);
  used.sendRequest(used.fleetRequest("once"));
  used.sendRequest(used.instanceRequest("nowhere"));
  used.state();
  used.metrics();
  check("state_and_metrics.txt", text);
}
