#include <catch2/catch.hpp>

#include <QDateTime>
#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>
#include <corkward/dataplane/request_router.h>

namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
namespace transport = corkward::transport;
using dataplane::AuditOutcome;

namespace {

constexpr std::int64_t wall0 = 1800000000000;

std::string timeText(std::int64_t wall) {
  return core::toStdString(QDateTime::fromMSecsSinceEpoch(wall, Qt::UTC).toString(Qt::ISODate));
}

struct Life {
  char const* address;
  char const* id;
  char const* zone;
  char const* state = "serving";
};

QJsonObject list(int generation, std::vector<Life> const& lives) {
  QJsonArray rows;
  for (Life const& l : lives)
    rows.append(QJsonObject{{"address", l.address}, {"id", l.id}, {"zone", l.zone}, {"state", l.state}});
  return QJsonObject{{"generation", generation}, {"coldRate", 2.0}, {"replicas", rows}};
}

QJsonObject certificates(std::vector<std::pair<char const*, std::int64_t>> const& zones, char const* routers = "any",
                         double reserve = 0.5) {
  QJsonObject all;
  for (std::pair<char const*, std::int64_t> const& z : zones)
    all.insert(z.first, QJsonObject{{"regime", "health"},
                                    {"carrier", "replicas"},
                                    {"pool", "model"},
                                    {"zone", z.first},
                                    {"until", core::toQString(timeText(z.second))}});
  return QJsonObject{
      {"spec",
       QJsonObject{{"regimes", QJsonObject{{"health", QJsonObject{{"nacelles", routers}, {"reserve", reserve}}}}},
                   {"certificates", all}}}};
}

QJsonObject family(char const* regime) {
  QJsonObject spec =
      core::parseJson(
          R"({"paths":[{"path":"a","pool":"model","class":"short"},{"path":"r","pool":"model","class":"short","resumable":true},
    {"path":"e","pool":"model","class":"long","resumable":true,"events":true},{"path":"f","pool":"model","class":"long","events":true}]})")
          .toObject();
  if (*regime != 0) spec.insert("regime", regime);
  return QJsonObject{{"template", QJsonObject{{"stamp", 1}, {"spec", spec}}},
                     {"instances", QJsonObject{{"nord", QJsonObject{{"stamp", 1}, {"spec", QJsonObject{}}}}}}};
}

/// One router with a bound tenant (law) and a free one (desk); zones z1 and z2 of three are certified.
struct Rig {
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t next = 1;
  std::uint64_t revision = 1;
  dataplane::RouterCommands last;

  static transport::Contact self() {
    transport::Contact c;
    c.link = "n1";
    c.role = transport::routerRole;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }
  static dataplane::RouterTuning kept() {
    dataplane::RouterTuning t;
    t.auditRecordsAvailable = true;
    return t;
  }
  static std::vector<Life> lives() {
    return {{"10.0.0.1:80", "L1", "z1"},
            {"10.0.0.2:80", "L2", "z2"},
            {"10.0.0.3:80", "L3", "z3"},
            {"10.0.0.4:80", "L4", "z3"},
            {"10.0.0.5:80", "L5", "z3"}};
  }
  explicit Rig(dataplane::RouterTuning const& tuning = kept(), bool told = true) : reducer(self(), {"s1"}, 7, tuning) {
    reducer.started(0);
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {
        {"cohort", 1, core::parseJson(R"({"members":[{"id":"m1","link":"s1"}]})").toObject()},
        {"roster", 1, core::parseJson(R"({"nodes":[{"link":"n1"}],"previous":[{"link":"n1"}]})").toObject()},
        {"pool:model", 1, list(1, lives())},
        {"family:law", 1, family("health")},
        {"family:desk", 1, family("")},
        {"certificates", 1, certificates({{"z1", wall0 + 1000000}, {"z2", wall0 + 1000000}})}};
    reducer.onMessage(now, "s1", update);
    if (told) reducer.setWallTime(now, wall0);
    confirm();
  }
  void confirm() {
    transport::ServingLeaseGrant c;
    c.requestSentAt = now;
    c.hasQuorum = true;
    reducer.onMessage(now, "s1", c);
  }
  dataplane::RouterCommands configure(char const* key, QJsonObject const& value) {
    transport::ConfigurationUpdate n;
    n.entries = {{key, ++revision, value}};
    return last = reducer.onMessage(now, "s1", n);
  }
  dataplane::RouterCommands sendRequest(char const* instance = "law.nord", char const* path = "a") {
    dataplane::Request r;
    r.call = next++;
    r.instance = instance;
    r.path = path;
    r.id = "id" + std::to_string(r.call);
    return last = reducer.onRequest(now, r);
  }
  dataplane::RouterCommands connected(std::uint64_t call) { return last = reducer.onConnected(now, call); }
  /// A request of that path that streams from some certified replica; the address.
  std::string streaming(std::uint64_t& call, char const* path = "e") {
    call = next;
    std::string const address = find<dataplane::Connect>(sendRequest("law.nord", path)).address;
    find<dataplane::SendRequest>(connected(call));
    reducer.onFirstByte(now, call, true);
    return address;
  }
  dataplane::RouterCommands pass(core::Milliseconds span) {
    dataplane::RouterCommands all;
    for (core::Milliseconds const end = now + span; now < end;) {
      now += 20;
      confirm();
      dataplane::RouterCommands const c = reducer.onTimer(now);
      all.calls.insert(all.calls.end(), c.calls.begin(), c.calls.end());
    }
    return last = all;
  }
  template <class T>
  static std::size_t count(dataplane::RouterCommands const& c) {
    return static_cast<std::size_t>(std::count_if(
        c.calls.begin(), c.calls.end(), [](dataplane::CallCommand const& v) { return std::holds_alternative<T>(v); }));
  }
  template <class T>
  static T find(dataplane::RouterCommands const& c) {
    for (dataplane::CallCommand const& v : c.calls)
      if (T const* const m = std::get_if<T>(&v)) return *m;
    FAIL("no such command");
    return T{};
  }
  bool rejectedNotRun() const {
    return count<dataplane::Reject>(last) == 1 && count<dataplane::SendRequest>(last) == 0 &&
           find<dataplane::Reject>(last).status == 503 && find<dataplane::Reject>(last).notExecuted &&
           find<dataplane::Reject>(last).retryAfter > 0;
  }
};

bool certifiedAddress(std::string const& a) {
  return a == "10.0.0.1:80" || a == "10.0.0.2:80";
}

}  // namespace

TEST_CASE("requests of a regime go to certified replicas alone, also when these are busy and others idle") {
  Rig rig;
  int connects = 0;
  for (int i = 0; i < 60; ++i) {
    dataplane::RouterCommands const c = rig.sendRequest();
    if (Rig::count<dataplane::Connect>(c) == 0) continue;
    ++connects;
    dataplane::Connect const to = Rig::find<dataplane::Connect>(c);
    CHECK(certifiedAddress(to.address));
    CHECK(to.incarnation == (to.address == "10.0.0.1:80" ? "L1" : "L2"));
    rig.connected(to.call);
    dataplane::WriteAuditRecord const record = Rig::find<dataplane::WriteAuditRecord>(rig.last);
    CHECK(record.outcome == AuditOutcome::dispatched);
    CHECK(record.certificate == record.zone);
    CHECK(record.incarnation == to.incarnation);
    CHECK(Rig::find<dataplane::SendRequest>(rig.last).regime == "health");
    CHECK(std::holds_alternative<dataplane::WriteAuditRecord>(rig.last.calls[rig.last.calls.size() - 2]));
    CHECK(std::holds_alternative<dataplane::SendRequest>(rig.last.calls.back()));
  }
  CHECK(connects >= 4);
  CHECK(rig.reducer.pendingCount() > static_cast<std::size_t>(connects));
  for (dataplane::CallCommand const& v : rig.pass(20000).calls)
    if (dataplane::Connect const* const m = std::get_if<dataplane::Connect>(&v)) CHECK(certifiedAddress(m->address));
  dataplane::Connect const free = Rig::find<dataplane::Connect>(rig.sendRequest("desk.nord"));
  CHECK(free.incarnation.empty());
  CHECK(Rig::find<dataplane::SendRequest>(rig.connected(free.call)).regime.empty());
  CHECK(Rig::count<dataplane::WriteAuditRecord>(rig.last) == 0);
}

TEST_CASE("a router that is not sure rejects a regime's requests at once, and others not") {
  dataplane::RouterTuning plain = Rig::kept();
  SECTION("records cannot be kept") {
    plain.auditRecordsAvailable = false;
  }
  SECTION("there is no fence") {
    plain.leaseRequired = false;
  }
  Rig rig(plain, plain.auditRecordsAvailable == false || plain.leaseRequired == false);
  if (plain.auditRecordsAvailable && plain.leaseRequired) {
    SECTION("no wall time was told") {}
    SECTION("no certificates are known") {
      rig.reducer.setWallTime(rig.now, wall0);
      rig.configure("certificates", QJsonObject{});
    }
    SECTION("its own certificate is missing") {
      rig.reducer.setWallTime(rig.now, wall0);
      rig.configure("certificates", certificates({{"z1", wall0 + 1000000}}, "certified"));
    }
    SECTION("the list tells no lives") {
      rig.reducer.setWallTime(rig.now, wall0);
      rig.configure(
          "pool:model",
          core::parseJson(R"({"generation":2,"replicas":[{"address":"10.0.0.1:80","zone":"z1","state":"serving"}]})")
              .toObject());
    }
  }
  rig.sendRequest();
  CHECK(rig.rejectedNotRun());
  CHECK(Rig::find<dataplane::WriteAuditRecord>(rig.last).outcome == AuditOutcome::rejected);
  CHECK(Rig::count<dataplane::Connect>(rig.sendRequest("desk.nord")) == 1);
}

TEST_CASE("a certified router hands on, one whose certificate ends does not") {
  Rig rig;
  QJsonObject value = certificates({{"z1", wall0 + 1000000}}, "certified");
  QJsonObject spec = value.value("spec").toObject();
  QJsonObject all = spec.value("certificates").toObject();
  all.insert("mine", QJsonObject{{"regime", "health"},
                                 {"carrier", "nacelles"},
                                 {"zone", "z1"},
                                 {"link", "n1"},
                                 {"until", core::toQString(timeText(wall0 + 200000))}});
  spec.insert("certificates", all);
  rig.configure("certificates", QJsonObject{{"spec", spec}});
  CHECK(Rig::count<dataplane::Connect>(rig.sendRequest()) == 1);
  rig.reducer.setWallTime(rig.now, wall0 + 150000);
  rig.sendRequest();
  CHECK(rig.rejectedNotRun());
  rig.connected(1);
  CHECK(rig.rejectedNotRun());
}

TEST_CASE("the certificate is looked up again when the connection stands") {
  Rig rig;
  std::string const address = Rig::find<dataplane::Connect>(rig.sendRequest()).address;
  SECTION("it ends by the clock") {
    rig.reducer.setWallTime(rig.now, wall0 + 950000);
    rig.connected(1);
    CHECK(Rig::count<dataplane::SendRequest>(rig.last) == 0);
    CHECK(rig.pass(100).calls.size() > 0);
    CHECK(rig.rejectedNotRun());
  }
  SECTION("it is revoked: the other certified one is asked") {
    rig.configure("certificates", certificates({{address == "10.0.0.1:80" ? "z2" : "z1", wall0 + 1000000}}));
    CHECK(Rig::count<dataplane::CloseUpstream>(rig.last) == 1);
    dataplane::Connect const other = Rig::find<dataplane::Connect>(rig.last);
    CHECK(certifiedAddress(other.address));
    CHECK(other.address != address);
  }
  SECTION("the standing is lost") {
    rig.now += 1501;
    rig.connected(1);
    CHECK(rig.rejectedNotRun());
  }
  SECTION("records can no longer be kept") {
    rig.reducer.setAuditAvailable(false);
    rig.connected(1);
    CHECK(rig.rejectedNotRun());
  }
  SECTION("another life is listed at the address, in a zone that is not certified") {
    std::vector<Life> lives = Rig::lives();
    for (Life& l : lives)
      if (l.address == address) {
        l.id = "L9";
        l.zone = "z3";
      }
    rig.configure("pool:model", list(2, lives));
    CHECK(Rig::count<dataplane::SendRequest>(rig.last) == 0);
    CHECK(Rig::find<dataplane::Connect>(rig.last).address != address);
  }
}

TEST_CASE("a tenant that is bound to a regime while its request waits or connects is bound from then on") {
  Rig rig;
  std::vector<Life> only{{"10.0.0.3:80", "L3", "z3"}};
  rig.configure("pool:model", list(2, only));
  CHECK(Rig::find<dataplane::Connect>(rig.sendRequest("desk.nord")).address == "10.0.0.3:80");
  rig.configure("family:desk", family("health"));
  CHECK(Rig::count<dataplane::CloseUpstream>(rig.last) == 1);
  rig.connected(1);
  CHECK(Rig::count<dataplane::SendRequest>(rig.last) == 0);
}

TEST_CASE("a stream whose certificate is revoked goes on once at another certified replica") {
  Rig rig;
  std::uint64_t call = 0;
  std::string const address = rig.streaming(call);
  rig.configure("certificates", certificates({{address == "10.0.0.1:80" ? "z2" : "z1", wall0 + 1000000}}));
  dataplane::Connect const next = Rig::find<dataplane::Connect>(rig.last);
  CHECK(next.resume);
  CHECK(certifiedAddress(next.address));
  CHECK(next.address != address);
  CHECK(next.incarnation == (next.address == "10.0.0.1:80" ? "L1" : "L2"));
  rig.connected(call);
  CHECK(Rig::find<dataplane::WriteAuditRecord>(rig.last).outcome == AuditOutcome::resumed);
  CHECK(Rig::find<dataplane::SendRequest>(rig.last).expectedIncarnation == next.incarnation);
  rig.reducer.onFirstByte(rig.now, call, true);
  rig.last = rig.reducer.onUpstreamFinished(rig.now, call, dataplane::UpstreamResult::connectionLost);
  CHECK(Rig::count<dataplane::ResetDownstream>(rig.last) == 1);
  CHECK(Rig::find<dataplane::WriteAuditRecord>(rig.last).outcome == AuditOutcome::aborted);
}

TEST_CASE("a stream that breaks goes on once at another certified replica, and nowhere else") {
  Rig rig;
  std::uint64_t call = 0;
  std::string const address = rig.streaming(call);
  SECTION("another is certified") {
    rig.last = rig.reducer.onUpstreamFinished(rig.now, call, dataplane::UpstreamResult::connectionLost);
    dataplane::Connect const next = Rig::find<dataplane::Connect>(rig.last);
    CHECK(next.address != address);
    CHECK(certifiedAddress(next.address));
    SECTION("its certificate goes away before the connection stands") {
      rig.configure("certificates", certificates({{address == "10.0.0.1:80" ? "z1" : "z2", wall0 + 1000000}}));
      CHECK(Rig::count<dataplane::ResetDownstream>(rig.last) == 1);
      rig.connected(call);
      CHECK(Rig::count<dataplane::SendRequest>(rig.last) == 0);
    }
    SECTION("it does not name its life in time") {
      rig.pass(800);
      CHECK(Rig::count<dataplane::ResetDownstream>(rig.last) == 1);
    }
  }
  SECTION("no other is certified") {
    std::vector<Life> lives = Rig::lives();
    std::erase_if(lives, [&](Life const& l) { return certifiedAddress(l.address) && l.address != address; });
    rig.configure("pool:model", list(2, lives));
    rig.last = rig.reducer.onUpstreamFinished(rig.now, call, dataplane::UpstreamResult::connectionLost);
    CHECK(Rig::count<dataplane::Connect>(rig.last) == 0);
    CHECK(Rig::count<dataplane::ResetDownstream>(rig.last) == 1);
  }
}

TEST_CASE("streams end at a router that is not sure any more") {
  Rig rig;
  std::uint64_t call = 0;
  rig.streaming(call);
  SECTION("the standing is lost") {
    rig.now += 1600;
    rig.last = rig.reducer.onTimer(rig.now);
  }
  SECTION("the regime is gone") {
    rig.configure("certificates", QJsonObject{});
  }
  SECTION("all certificates have ended") {
    rig.reducer.setWallTime(rig.now, wall0 + 950000);
    rig.pass(1100);
  }
  CHECK(Rig::count<dataplane::Connect>(rig.last) == 0);
  CHECK(Rig::count<dataplane::ResetDownstream>(rig.last) == 1);
  CHECK(rig.reducer.pendingCount() == 0);
}

TEST_CASE("what may not be resumed is broken off, what had no word is rejected as unknown, when its certificate ends") {
  Rig rig;
  std::uint64_t call = 0;
  std::string const address = rig.streaming(call, "f");
  std::uint64_t const silent = rig.next;
  dataplane::Connect const to = Rig::find<dataplane::Connect>(rig.sendRequest("law.nord", "a"));
  rig.connected(silent);
  rig.configure("certificates", certificates({}));
  CHECK(Rig::count<dataplane::Connect>(rig.last) == 0);
  CHECK(Rig::count<dataplane::ResetDownstream>(rig.last) == 1);
  CHECK(Rig::find<dataplane::Reject>(rig.last).status == 502);
  CHECK_FALSE(Rig::find<dataplane::Reject>(rig.last).notExecuted);
}

TEST_CASE("what is held is rejected at once when no certified replica is left") {
  Rig rig;
  std::size_t connects = 0;
  for (int i = 0; i < 12; ++i) connects += Rig::count<dataplane::Connect>(rig.sendRequest("law.nord", "e"));
  std::size_t const inHand = rig.reducer.pendingCount();
  REQUIRE(inHand > connects);
  rig.configure("certificates", certificates({{"z3", wall0 - 1}}));
  std::size_t const atOnce = Rig::count<dataplane::Reject>(rig.last);
  CHECK(atOnce >= inHand - connects);
  CHECK(atOnce + Rig::count<dataplane::Reject>(rig.pass(20)) == inHand);
  CHECK(rig.reducer.pendingCount() == 0);
}

TEST_CASE("what may have run at a replica that it left is not rejected as not run") {
  for (bool const left : {true, false}) {
    Rig rig;
    std::uint64_t const call = rig.next;
    std::string const address = Rig::find<dataplane::Connect>(rig.sendRequest("law.nord", "e")).address;
    rig.connected(call);
    if (left)
      rig.configure("certificates", certificates({{address == "10.0.0.1:80" ? "z2" : "z1", wall0 + 1000000}}));
    else
      rig.last = rig.reducer.onUpstreamFinished(rig.now, call, dataplane::UpstreamResult::connectionLost);
    dataplane::Connect const other = Rig::find<dataplane::Connect>(rig.last);
    CHECK_FALSE(other.resume);
    CHECK(other.address != address);
    rig.configure("certificates", certificates({}));
    if (Rig::count<dataplane::Reject>(rig.last) == 0) rig.pass(20);
    CHECK(Rig::find<dataplane::Reject>(rig.last).status == 503);
    CHECK_FALSE(Rig::find<dataplane::Reject>(rig.last).notExecuted);
  }
}

TEST_CASE("a clock that goes back gives no certificate back") {
  Rig rig;
  rig.reducer.setWallTime(rig.now, wall0 + 950000);
  rig.reducer.setWallTime(rig.now, wall0);
  rig.sendRequest();
  CHECK(rig.rejectedNotRun());
}

TEST_CASE("a run that may be resumed goes on at its own replica only while that is certified") {
  for (bool const still : {true, false}) {
    Rig rig;
    std::uint64_t call = 0;
    std::string const address = rig.streaming(call, "r");
    if (!still) rig.reducer.setWallTime(rig.now, wall0 + 950000);
    rig.last = rig.reducer.onUpstreamFinished(rig.now, call, dataplane::UpstreamResult::connectionLost);
    CHECK(Rig::count<dataplane::Connect>(rig.last) == (still ? 1 : 0));
    if (!still) continue;
    CHECK(Rig::find<dataplane::Connect>(rig.last).address == address);
    rig.connected(call);
    rig.last = rig.reducer.onUpstreamFinished(rig.now, call, dataplane::UpstreamResult::connectionLost);
    CHECK(Rig::count<dataplane::ResetDownstream>(rig.last) == 1);
  }
}

TEST_CASE("work without a regime leaves its share of certified replicas free") {
  for (double const reserve : {0.0, 0.5, 1.0}) {
    CAPTURE(reserve);
    Rig rig;
    rig.configure("pool:model", list(2, {{"10.0.0.1:80", "L1", "z1"}}));
    rig.configure("certificates", certificates({{"z1", wall0 + 1000000}}, "any", reserve));
    int free = 0;
    for (int i = 0; i < 8; ++i) free += static_cast<int>(Rig::count<dataplane::Connect>(rig.sendRequest("desk.nord")));
    CHECK(free == (reserve == 0.0 ? 4 : reserve == 0.5 ? 2 : 0));
    CHECK(Rig::count<dataplane::Connect>(rig.sendRequest()) == 1);
  }
}

TEST_CASE("a crowd without a regime does not use up the room that a node has for a regime's requests") {
  dataplane::RouterTuning tuning = Rig::kept();
  tuning.nodeLimitPerReplica = 1.0;
  Rig rig(tuning);
  for (int i = 0; i < 40; ++i) rig.sendRequest("desk.nord");
  rig.pass(400);
  CHECK(Rig::count<dataplane::Connect>(rig.sendRequest()) == 1);
  rig.sendRequest();
  CHECK(Rig::count<dataplane::Reject>(rig.last) == 0);
  CHECK(Rig::count<dataplane::Connect>(rig.last) == 1);
}
