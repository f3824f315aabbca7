/// What callers, operators and the watch read of a router: rejections, the state page, the answers to the platform's
/// lists, and the whole metrics text, as recorded under golden/.
///
/// Callers act on these texts and numbers, so recording anew (see testing/golden/golden.h) is right only when what they
/// read is itself meant to change.

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

constexpr std::int64_t wall0 = 1800000000000;

QJsonObject json(std::string const& text) {
  return core::parseJson(text).toObject();
}

std::string yes(bool value) {
  return value ? "yes" : "no";
}

std::string shown(dataplane::Connect const& m) {
  return "connect call=" + std::to_string(m.call) + " path=" + m.path + " resume=" + yes(m.resume);
}
std::string shown(dataplane::SendRequest const& m) {
  return "hand-over call=" + std::to_string(m.call) + " left=" + std::to_string(m.remainingMs) +
         " urgency=" + std::to_string(m.urgency) + (m.tenant ? " tenant=" + *m.tenant : "") +
         (m.regime.empty() ? "" : " regime=" + m.regime);
}
std::string shown(dataplane::CloseUpstream const& m) {
  return "abandon call=" + std::to_string(m.call);
}
std::string shown(dataplane::Reject const& m) {
  return "reject call=" + std::to_string(m.call) + " " + std::to_string(m.status) + " \"" + m.reason +
         "\" not-run=" + yes(m.notExecuted) + " retry-after=" + std::to_string(m.retryAfter) +
         " reached=" + yes(m.reachedReplica);
}
std::string shown(dataplane::ResetDownstream const& m) {
  return "abort call=" + std::to_string(m.call);
}
std::string shown(dataplane::EndpointListResponse const& m) {
  return "answer call=" + std::to_string(m.call) + " " + std::to_string(m.status) + " " + core::jsonText(m.body);
}
std::string shown(dataplane::WriteAuditRecord const& m) {
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
constexpr char const* wholePaths =
    R"("paths":[{"name":"once","host":"h","prefix":"/once/","kind":"once","deadlineMs":3000,"pool":"model"},{"name":"again","host":"h","prefix":"/again/","kind":"repeatable","deadlineMs":3000,"tries":2,"pool":"model"},{"name":"flow","host":"h","prefix":"/flow/","kind":"stream","deadlineMs":15000,"tries":2,"resumable":true,"pool":"model"},{"name":"open","host":"h","prefix":"/open/","kind":"once","deadlineMs":3000,"open":true,"pool":"model"}],"pools":[{"name":"model"}])";
constexpr char const* smallTenant = R"(,"tenants":[{"name":"t","keys":["k"],"rate":1,"burst":1}])";
constexpr char const* limitedTenant = R"(,"tenants":[{"name":"t","keys":["k"],"rate":100,"burst":100,"urgency":2}])";

QJsonObject fleetConfiguration(int version, std::string const& more = "") {
  return QJsonObject{{"spec", json(R"({"version":)" + std::to_string(version) + "," + wholePaths + more + "}")}};
}

QJsonObject certificates(std::vector<std::string> const& zones, std::string const& routers = "any",
                         std::int64_t until = wall0 + 1000000) {
  std::string const end = core::toStdString(QDateTime::fromMSecsSinceEpoch(until, Qt::UTC).toString(Qt::ISODate));
  std::string all;
  for (std::string const& zone : zones)
    all += (all.empty() ? "\"" : ",\"") + zone +
           R"(":{"regime":"health","carrier":"replicas","pool":"model","zone":")" + zone + R"(","until":")" + end +
           R"("})";
  return json(R"({"spec":{"regimes":{"health":{"nacelles":")" + routers + R"(","reserve":0.5}},"certificates":{)" +
              all + "}}}");
}

dataplane::RouterTuning recording() {
  dataplane::RouterTuning tuning;
  tuning.auditRecordsAvailable = true;
  return tuning;
}

/// One router, what is told to it, and what its callers get.
struct Router {
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t next = 1;
  std::uint64_t revision = 1;
  std::string& text;
  /// Requests that a replica has in hand.
  std::set<std::uint64_t> inHand;
  /// Amounts that a tenant's requests asked lenders for, the newest last.
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
  explicit Router(std::string& text, std::string const& title, dataplane::RouterTuning const& tuning = recording(),
                  bool told = true)
      : reducer(self(), {"s1"}, 7, tuning), text(text) {
    text += "\n# " + title + "\n";
    reducer.started(0);
    if (!told) return;
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
    reducer.setWallTime(now, wall0);
    confirm();
  }
  void confirm() {
    transport::ServingLeaseGrant c;
    c.requestSentAt = now;
    c.hasQuorum = true;
    reducer.onMessage(now, "s1", c);
  }
  void show(dataplane::RouterCommands const& commands) {
    for (dataplane::CallCommand const& c : commands.calls) {
      text += std::visit([](auto const& m) { return shown(m); }, c) + "\n";
      std::visit(
          [this](auto const& m) {
            using Command = std::decay_t<decltype(m)>;
            if constexpr (std::is_same_v<Command, dataplane::SendRequest>)
              inHand.insert(m.call);
            else if constexpr (!std::is_same_v<Command, dataplane::WriteAuditRecord>)
              inHand.erase(m.call);
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
  void step(std::string const& words, dataplane::RouterCommands const& commands) {
    text += "> " + words + "\n";
    show(commands);
  }
  void configure(std::string const& key, QJsonObject const& value) {
    transport::ConfigurationUpdate n;
    n.entries = {{key, ++revision, value}};
    step("news of " + key, reducer.onMessage(now, "s1", n));
  }
  /// Time passes with a clock event every 20 ms; nothing confirms when told so.
  void pass(core::Milliseconds span, bool confirmed = true) {
    text += "> " + std::to_string(span) + " ms pass" + (confirmed ? "" : " unconfirmed") + "\n";
    for (core::Milliseconds const end = now + span; now < end;) {
      now += 20;
      if (confirmed) confirm();
      show(reducer.onTimer(now));
    }
  }
  dataplane::Request own(std::string const& path, std::string const& id = "", std::uint64_t attempt = 1,
                         std::string const& instance = "desk.nord") {
    dataplane::Request r;
    r.call = next++;
    r.instance = instance;
    r.path = path;
    r.id = id;
    r.attempt = attempt;
    r.earlierNotExecuted = attempt > 1;
    return r;
  }
  dataplane::Request hosted(std::string const& path, std::string const& key = "") {
    dataplane::Request r;
    r.call = next++;
    r.host = "h";
    r.target = "/" + path + "/x";
    r.tenantKey = key;
    return r;
  }
  /// Sends the request and gives its number.
  std::uint64_t sendRequest(dataplane::Request const& r) {
    step("request " + std::to_string(r.call) + " " +
             (r.instance.empty() ? r.host + r.target : r.instance + "/" + r.path),
         reducer.onRequest(now, r));
    return r.call;
  }
  void connected(std::uint64_t call) { step("connected", reducer.onConnected(now, call)); }
  /// The request is handed to a replica.
  std::uint64_t handed(dataplane::Request const& r) {
    std::uint64_t const call = sendRequest(r);
    connected(call);
    return call;
  }
  std::uint64_t streaming(dataplane::Request const& r) {
    std::uint64_t const call = handed(r);
    step("first word", reducer.onFirstByte(now, call, true));
    return call;
  }
  /// How a request that a replica has in hand ends; nothing else can end so.
  void ended(std::uint64_t call, dataplane::UpstreamResult end, char const* words) {
    if (inHand.erase(call) == 0) return;
    step(std::string("ended ") + words, reducer.onUpstreamFinished(now, call, end));
  }
  void whole_(std::uint64_t call) { ended(call, dataplane::UpstreamResult::complete, "whole"); }
  void notRun(std::uint64_t call) { ended(call, dataplane::UpstreamResult::notExecuted, "not run"); }
  void broken(std::uint64_t call) { ended(call, dataplane::UpstreamResult::connectionLost, "broken"); }
  void refused(std::uint64_t call) { step("connection refused", reducer.onConnectFailure(now, call)); }
  /// The lender answers the newest report: so much is lent to the request that waits.
  void grantQuota(std::uint64_t amount, std::uint64_t share = quota::fractionUnits) {
    REQUIRE_FALSE(reports.empty());
    auto const [to, report] = reports.back();
    step("lent " + std::to_string(amount),
         reducer.onMessage(now, to, quota::QuotaGrants{report.reportNumber, {{"t", 1, 1, 0, amount, share}}, {}}));
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
    Router r(text, "nothing is known", {}, false);
    r.state();
    r.sendRequest(r.own("a"));
    r.pass(400, false);
    r.metrics();
  }
  {
    Router r(text, "no such path");
    r.sendRequest(r.own("nowhere"));
    r.sendRequest(r.own("a", "", 1, "desk.west"));
    r.sendRequest(r.hosted("nowhere"));
  }
  {
    Router r(text, "the confirmation grows old");
    std::uint64_t const call = r.sendRequest(r.own("a"));
    r.now += 1501;
    r.connected(call);
    r.sendRequest(r.own("a"));
    r.state();
  }
  {
    Router r(text, "no replica");
    r.configure("pool:model", json(noReplicas));
    r.sendRequest(r.own("a"));
    r.sendRequest(r.hosted("once"));
  }
  {
    Router r(text, "more than can be held");
    std::string const before = text;
    for (int i = 0; i < 60; ++i) r.sendRequest(r.own("a"));
    std::size_t const at = text.rfind("reject ");
    std::string const last = at == std::string::npos ? "no rejection\n" : text.substr(at, text.find('\n', at) + 1 - at);
    text = before + "last of 60: " + last;
    r.now += 100;
    r.pass(6000);
  }
  {
    Router r(text, "leaving", [] {
      dataplane::RouterTuning tuning = recording();
      tuning.drainAcceptPeriod = 2500;
      tuning.drainTimeout = 7000;
      return tuning;
    }());
    r.sendRequest(r.own("a", "waits", 0));
    r.step("drain", r.reducer.drain(r.now));
    r.state();
    r.sendRequest(r.own("e"));
    r.now += 2400;
    r.confirm();
    r.sendRequest(r.own("a"));
    r.now += 200;
    r.confirm();
    r.sendRequest(r.own("a"));
    r.metrics();
  }
  check("rejections_before.txt", text);
}

TEST_CASE("golden: rejections on the way to a replica") {
  std::string text;
  {
    Router r(text, "the configuration changes before the hand-over");
    std::uint64_t const own = r.sendRequest(r.own("a"));
    std::uint64_t const hosted = r.sendRequest(r.hosted("once"));
    r.configure("family:desk",
                json(R"({"template":{"stamp":2,"spec":{"paths":[{"path":"b","pool":"model","class":"short"}]}}})"));
    r.configure(config::fleetConfigurationKey,
                QJsonObject{{"spec", json(R"({"version":2,"paths":[],"pools":[{"name":"model"}]})")}});
    r.connected(own);
    r.connected(hosted);
  }
  {
    Router r(text, "connections are refused");
    std::uint64_t const call = r.sendRequest(r.own("a"));
    r.refused(call);
    r.refused(call);
    r.refused(call);
    r.refused(call);
    r.pass(11000);
    std::uint64_t const late = r.sendRequest(r.hosted("once"));
    r.now += 3001;
    r.confirm();
    r.refused(late);
  }
  {
    Router r(text, "no descriptors");
    r.step("no descriptors", r.reducer.onLocalConnectFailure(r.now, r.sendRequest(r.own("a"))));
    std::uint64_t const resumed = r.streaming(r.own("r"));
    r.broken(resumed);
    r.step("no descriptors", r.reducer.onLocalConnectFailure(r.now, resumed));
  }
  {
    Router r(text, "the deadline passes");
    std::uint64_t const call = r.sendRequest(r.hosted("once"));
    r.now += 600;
    dataplane::Request brief = r.hosted("once");
    brief.deadline = 100;
    std::uint64_t const late = r.sendRequest(brief);
    r.now += 100;
    r.connected(late);
    r.connected(call);
    r.pass(4000);
  }
  {
    Router r(text, "a silent replica");
    std::uint64_t const own = r.handed(r.own("a"));
    std::uint64_t const again = r.handed(r.hosted("again"));
    std::uint64_t const connecting = r.sendRequest(r.own("r"));
    r.pass(60000);
    r.whole_(own);
    r.whole_(again);
    r.whole_(connecting);
  }
  check("rejections_on_the_way.txt", text);
}

TEST_CASE("golden: answers that break, and replicas that do not run a request") {
  std::string text;
  {
    Router r(text, "not run, until no retry is left");
    for (char const* const path : {"a", "r", "e"}) {
      std::uint64_t const call = r.handed(r.own(path));
      for (int i = 0; i < 4; ++i) {
        r.notRun(call);
        r.now += 400;
        r.confirm();
        r.connected(call);
      }
      r.whole_(call);
    }
    for (char const* const path : {"once", "again", "flow"}) {
      std::uint64_t const call = r.handed(r.hosted(path));
      for (int i = 0; i < 4; ++i) {
        r.notRun(call);
        r.now += 400;
        r.confirm();
        r.connected(call);
      }
      r.whole_(call);
    }
    r.metrics();
  }
  {
    Router r(text, "broken before a word");
    for (char const* const path : {"a", "r", "e"}) r.broken(r.handed(r.own(path)));
    for (char const* const path : {"once", "again", "flow"}) {
      std::uint64_t const call = r.handed(r.hosted(path));
      for (int i = 0; i < 3; ++i) {
        r.broken(call);
        r.connected(call);
      }
    }
    r.ended(r.handed(r.hosted("once")), dataplane::UpstreamResult::staleConnection, "forgotten");
    r.metrics();
  }
  {
    Router r(text, "refused until no retry is left, after a hand-over");
    std::uint64_t const call = r.handed(r.hosted("again"));
    r.notRun(call);
    r.refused(call);
    r.refused(call);
    r.refused(call);
    std::uint64_t const own = r.handed(r.own("a"));
    r.notRun(own);
    for (int i = 0; i < 6; ++i) r.refused(own);
  }
  {
    Router r(text, "broken after the first word");
    for (char const* const path : {"a", "r", "e"}) {
      std::uint64_t const call = r.streaming(r.own(path));
      for (int i = 0; i < 4; ++i) {
        r.broken(call);
        r.connected(call);
      }
    }
    std::uint64_t const flow = r.streaming(r.hosted("flow"));
    for (int i = 0; i < 4; ++i) {
      r.broken(flow);
      r.connected(flow);
    }
    r.ended(r.streaming(r.own("r")), dataplane::UpstreamResult::differentExecution, "other run");
    r.streaming(r.own("a"));
    r.streaming(r.hosted("flow"));
    r.pass(16000);
    r.metrics();
  }
  {
    Router r(text, "a replica's own failure, and callers that leave");
    std::uint64_t const again = r.handed(r.hosted("again"));
    r.step("failed", r.reducer.onUpstreamError(r.now, again));
    r.connected(again);
    r.step("failed", r.reducer.onUpstreamError(r.now, again));
    r.whole_(again);
    std::uint64_t const once = r.handed(r.hosted("once"));
    r.step("failed", r.reducer.onUpstreamError(r.now, once));
    r.whole_(once);
    r.step("caller gone", r.reducer.onCallerDisconnected(r.now, r.handed(r.own("a"))));
    r.step("caller gone", r.reducer.onCallerDisconnected(r.now, r.streaming(r.own("e", "", 1, "law.nord"))));
    r.metrics();
    r.state();
  }
  {
    dataplane::RouterTuning tuning = recording();
    tuning.retryAllowance = 6;
    Router r(text, "no retry is left when the second replica goes away or refuses", tuning);
    std::uint64_t const leaves = r.handed(r.own("a"));
    std::uint64_t const refuses = r.handed(r.own("r"));
    r.notRun(leaves);
    r.notRun(refuses);
    r.pass(400);
    r.refused(refuses);
    r.configure("pool:model", json(noReplicas));
    r.connected(leaves);
  }
  {
    Router r(text, "all replicas are slow");
    r.configure("pool:model", json(oneReplica));
    std::string const before = text;
    for (int round = 0; round < 20; ++round) {
      std::uint64_t const call = r.handed(r.own("a"));
      r.now += 4000;
      r.confirm();
      r.step("first word", r.reducer.onFirstByte(r.now, call, true));
      r.whole_(call);
    }
    text = before;
    for (int i = 0; i < 3; ++i) r.sendRequest(r.own("e"));
  }
  check("answers.txt", text);
}

TEST_CASE("golden: rejections by a request's id") {
  std::string text;
  auto const echo = [](Router& r, std::uint64_t call, std::string const& link, bool clear, bool known = false,
                       std::vector<std::string> claimants = {}) {
    r.step("echo of " + link,
           r.reducer.onMessage(
               r.now, link, transport::RequestIdReply{call, link, clear, known, false, 70000, std::move(claimants)}));
  };
  {
    Router r(text, "attempts that are numbered");
    std::uint64_t const first = r.handed(r.own("a", "x"));
    r.sendRequest(r.own("a", "x", 2));
    r.broken(first);
    r.sendRequest(r.own("a", "x", 2));
    dataplane::Request later = r.own("a", "", 2);
    later.earlierNotExecuted = false;
    r.sendRequest(later);
    later = r.own("a", "y", 2);
    later.earlierNotExecuted = false;
    r.sendRequest(later);
    later = r.own("a", "y", 3);
    later.earlierNotExecuted = false;
    later.ageMs = 90000;
    r.sendRequest(later);
  }
  {
    Router r(text, "a later attempt asks the other nodes");
    r.pass(2400);
    dataplane::Request later = r.own("a", "y", 2);
    later.earlierNotExecuted = false;
    later.ageMs = 5000;
    r.sendRequest(later);
    echo(r, later.call, "n2", false);
    later = r.own("a", "z", 2);
    later.earlierNotExecuted = false;
    later.ageMs = 5000;
    r.sendRequest(later);
    r.pass(600);
    later = r.own("a", "w", 2);
    later.earlierNotExecuted = false;
    later.ageMs = 5000;
    r.sendRequest(later);
    echo(r, later.call, "n2", true);
    echo(r, later.call, "n3", true);
  }
  {
    Router r(text, "an attempt went to another node");
    std::uint64_t const call = r.sendRequest(r.own("a", "x"));
    r.step("another node asks",
           r.reducer.onMessage(r.now, "n2", transport::RequestIdQuery{9, "desk.nord|x", 3, 0, "n2#1"}));
    r.whole_(r.handed(r.own("a", "x", 2)));
    r.step("caller gone", r.reducer.onCallerDisconnected(r.now, call));
  }
  {
    Router r(text, "an earlier attempt is in hand");
    r.sendRequest(r.own("a", "x"));
    r.sendRequest(r.own("a", "x", 2));
  }
  {
    Router r(text, "a held one is replaced");
    for (int i = 0; i < 3; ++i) r.sendRequest(r.own("e", "fill" + std::to_string(i)));
    r.sendRequest(r.own("e", "held"));
    r.sendRequest(r.own("e", "held", 2));
    r.step("another node asks",
           r.reducer.onMessage(r.now, "n2", transport::RequestIdQuery{9, "desk.nord|held", 3, 0, "n2#1"}));
  }
  {
    Router r(text, "ids without numbers");
    std::uint64_t const ran = r.sendRequest(r.own("a", "x", 0));
    echo(r, ran, "n2", false);
    std::uint64_t const claimed = r.sendRequest(r.own("a", "y", 0));
    echo(r, claimed, "n2", true, true, {"n3"});
    r.pass(600);
    r.sendRequest(r.own("a", "z", 0));
    r.pass(600);
  }
  {
    Router r(text, "no retry left for what may have reached a replica");
    std::string const before = text;
    for (int i = 0; i < 12; ++i) {
      dataplane::Request again = r.own("r", "e" + std::to_string(i), 2);
      again.earlierNotExecuted = false;
      r.sendRequest(again);
    }
    std::size_t const at = text.rfind("reject ");
    std::string const last = at == std::string::npos ? "no rejection\n" : text.substr(at, text.find('\n', at) + 1 - at);
    text = before + "last of 12: " + last;
  }
  check("rejections_by_id.txt", text);
}

TEST_CASE("golden: rejections by tenants' keys and limits") {
  std::string text;
  {
    Router r(text, "keys");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    r.sendRequest(r.hosted("once"));
    r.sendRequest(r.hosted("once", "other"));
    r.whole_(r.handed(r.hosted("open")));
    std::uint64_t const call = r.sendRequest(r.hosted("once", "k"));
    r.grantQuota(1);
    r.configure(config::fleetConfigurationKey, fleetConfiguration(3, R"(,"tenants":[{"name":"u","keys":["l"]}])"));
    r.connected(call);
  }
  {
    Router r(text, "limits: lent, nothing left, no share, no lender");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    std::uint64_t const granted = r.sendRequest(r.hosted("once", "k"));
    r.grantQuota(1);
    r.connected(granted);
    r.whole_(granted);
    r.sendRequest(r.hosted("once", "k"));
    r.grantQuota(0);
    r.now += 3000;
    r.confirm();
    r.sendRequest(r.hosted("once", "k"));
    r.grantQuota(0, 0);
    for (int i = 0; i < 3; ++i) {
      r.now += 200;
      r.confirm();
      r.sendRequest(r.hosted("once", "k"));
    }
    r.pass(4000);
    r.metrics();
  }
  {
    Router r(text, "limits: taken too long ago");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    std::uint64_t const call = r.sendRequest(r.hosted("once", "k"));
    r.grantQuota(1);
    r.now += 600;
    r.confirm();
    r.connected(call);
    std::uint64_t const again = r.sendRequest(r.hosted("again", "k"));
    r.grantQuota(1);
    r.connected(again);
    r.broken(again);
    r.now += 100;
    r.connected(again);
  }
  {
    Router r(text, "limits: a second run beyond them");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, smallTenant));
    r.pass(100);
    std::uint64_t const call = r.sendRequest(r.hosted("again", "k"));
    r.grantQuota(1);
    r.connected(call);
    r.step("failed", r.reducer.onUpstreamError(r.now, call));
    r.connected(call);
  }
  {
    Router r(text, "limits: nobody lends");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, smallTenant));
    r.pass(100);
    for (int i = 0; i < 4; ++i) r.sendRequest(r.hosted("once", "k"));
    r.pass(1000);
  }
  {
    Router r(text, "limits: the deadline passes while the amount is asked for");
    r.configure(config::fleetConfigurationKey, fleetConfiguration(2, limitedTenant));
    r.pass(100);
    dataplane::Request brief = r.hosted("once", "k");
    brief.deadline = 20;
    r.sendRequest(brief);
    r.pass(2000);
  }
  check("rejections_by_tenant.txt", text);
}

TEST_CASE("golden: rejections by regimes") {
  std::string text;
  auto const bound = [](Router& r, char const* path = "a") { return r.own(path, "", 1, "law.nord"); };
  {
    Router r(text, "served");
    r.whole_(r.handed(bound(r)));
    r.state();
  }
  {
    dataplane::RouterTuning tuning = recording();
    tuning.auditRecordsAvailable = false;
    Router r(text, "no records", tuning);
    r.sendRequest(bound(r));
  }
  {
    dataplane::RouterTuning tuning = recording();
    tuning.leaseRequired = false;
    Router r(text, "no fence", tuning);
    r.sendRequest(bound(r));
  }
  {
    Router r(text, "no certificates are known");
    r.configure("certificates", {});
    r.sendRequest(bound(r));
  }
  {
    Router r(text, "the router is not certified");
    r.configure("certificates", certificates({"z1"}, "certified"));
    r.sendRequest(bound(r));
  }
  {
    Router r(text, "no replica is certified");
    r.configure("certificates", certificates({"z9"}));
    r.sendRequest(bound(r));
  }
  {
    Router r(text, "what is held loses the last certified replica");
    std::string const before = text;
    for (int i = 0; i < 12; ++i) r.sendRequest(bound(r, "e"));
    text = before;
    r.configure("certificates", certificates({"z9"}));
    r.pass(40);
  }
  {
    Router r(text, "the certificate ends before the hand-over");
    r.sendRequest(bound(r));
    r.configure("certificates", certificates({"z9"}));
    r.pass(1000);
    std::uint64_t const call = r.sendRequest(bound(r));
    r.connected(call);
  }
  {
    dataplane::RouterTuning tuning = recording();
    tuning.retryAllowance = 3;
    Router r(text, "the certificate ends while a second replica is connected to", tuning);
    std::uint64_t const call = r.handed(bound(r));
    r.notRun(call);
    r.pass(400);
    r.configure("certificates", certificates({"z9"}));
  }
  {
    Router r(text, "the caller of a regime's request goes away");
    r.step("caller gone", r.reducer.onCallerDisconnected(r.now, r.streaming(bound(r, "e"))));
  }
  {
    Router r(text, "records end before the hand-over");
    std::uint64_t const call = r.sendRequest(bound(r));
    r.reducer.setAuditAvailable(false);
    r.connected(call);
  }
  {
    Router r(text, "the certificate ends after the hand-over");
    r.streaming(bound(r, "f"));
    r.handed(bound(r, "a"));
    r.streaming(bound(r, "e"));
    r.configure("certificates", certificates({"z9"}));
    r.configure("certificates", {});
    r.metrics();
  }
  {
    Router r(text, "the confirmation grows old");
    r.streaming(bound(r, "e"));
    r.handed(bound(r, "a"));
    r.pass(1600, false);
  }
  {
    Router r(text, "no wall time", recording(), false);
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {{"cohort", 1, json(R"({"members":[{"id":"m1","link":"s1"}]})")},
                      {"roster", 1, json(R"({"nodes":[{"link":"n1"}],"previous":[{"link":"n1"}]})")},
                      {"pool:model", 1, json(threeReplicas)},
                      {"family:law", 1, json(law)},
                      {"certificates", 1, certificates({"z1", "z2"})}};
    r.reducer.onMessage(r.now, "s1", update);
    r.confirm();
    r.sendRequest(bound(r));
  }
  check("rejections_by_regime.txt", text);
}

TEST_CASE("golden: the state page, lists told to a router, and its metrics") {
  std::string text;
  Router r(text, "at rest");
  r.state();
  r.metrics();
  r.text += "\n# lists\n";
  for (char const* const body :
       {threeReplicas,
        R"({"generation":2,"replicas":[{"id":"L1","address":"10.0.0.1:80","zone":"z1","state":"serving"}]})",
        R"({"generation":1,"replicas":[]})", R"({"generation":2,"replicas":[]})", "{", "[]", "{}",
        R"({"generation":3,"replicas":[{"address":"x"}]})"})
    r.step(std::string("list ") + body, r.reducer.onEndpointList(r.now, r.next++, "model", body));
  r.step("list of another pool",
         r.reducer.onEndpointList(r.now, r.next++, "other", R"({"generation":1,"replicas":[]})"));
  Router used(text, "in use");
  used.configure(
      "pool:model",
      json(
          R"({"generation":3,"coldRate":2,"replicas":[{"id":"L1","address":"10.0.0.1:80","zone":"z1","state":"serving"},{"id":"L4","address":"10.0.0.4:80","zone":"z1","state":"cold"}]})"));
  used.configure("zone:z2", QJsonObject{{"evacuated", true}});
  used.configure("pool:model", json("{}"));
  dataplane::Request prefixed = used.own("a", "p1");
  prefixed.prefix = "p";
  used.whole_(used.handed(prefixed));
  prefixed = used.own("a", "p2");
  prefixed.prefix = "p";
  used.streaming(prefixed);
  used.sendRequest(used.hosted("once"));
  used.sendRequest(used.own("nowhere"));
  used.state();
  used.metrics();
  check("state_and_metrics.txt", text);
}
