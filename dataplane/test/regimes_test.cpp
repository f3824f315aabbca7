// Checks that a router dispatches requests of a regime only to certified replicas, and what happens to them when
// certificates expire or are revoked.
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

/// Wall time at which tests start, in milliseconds since 1970. Most certificates end 1000000 ms later, so they stop
/// counting after 940000 ms, config::clockMarginMs earlier.
constexpr std::int64_t startWallTime = 1800000000000;

std::string isoTime(std::int64_t wallTime) {
  return core::toStdString(QDateTime::fromMSecsSinceEpoch(wallTime, Qt::UTC).toString(Qt::ISODate));
}

struct ReplicaEntry {
  char const* address;
  char const* id;
  char const* zone;
  char const* state = "serving";
};

QJsonObject endpointList(int generation, std::vector<ReplicaEntry> const& replicas) {
  QJsonArray array;
  for (ReplicaEntry const& replica : replicas)
    array.append(QJsonObject{
        {"address", replica.address}, {"id", replica.id}, {"zone", replica.zone}, {"state", replica.state}});
  return QJsonObject{{"generation", generation}, {"coldRate", 2.0}, {"replicas", array}};
}

/// Declares the regime "health" and certifies the replicas of each zone until the given wall time.
QJsonObject certificates(std::vector<std::pair<char const*, std::int64_t>> const& zones, char const* routers = "any",
                         double reserve = 0.5) {
  QJsonObject all;
  for (std::pair<char const*, std::int64_t> const& zone : zones)
    all.insert(zone.first, QJsonObject{{"regime", "health"},
                                       {"carrier", "replicas"},
                                       {"pool", "model"},
                                       {"zone", zone.first},
                                       {"until", core::toQString(isoTime(zone.second))}});
  return QJsonObject{
      {"spec",
       QJsonObject{{"regimes", QJsonObject{{"health", QJsonObject{{"nacelles", routers}, {"reserve", reserve}}}}},
                   {"certificates", all}}}};
}

/// A family whose paths are bound to the regime, or to none if the name is empty.
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

/// A router with two instances: law.nord is bound to the regime "health", desk.nord to none. Replicas in the zones z1
/// and z2 are certified, those in z3 are not.
struct RouterFixture {
  dataplane::RequestRouter router;
  core::Milliseconds now = 100000;
  std::uint64_t nextCall = 1;
  std::uint64_t revision = 1;
  /// Commands of the latest event.
  dataplane::RouterCommands last;

  static transport::Contact self() {
    transport::Contact contact;
    contact.link = "n1";
    contact.role = transport::routerRole;
    contact.zone = "z1";
    contact.incarnation = 1;
    return contact;
  }
  static dataplane::RouterTuning tuningWithAudit() {
    dataplane::RouterTuning tuning;
    tuning.auditRecordsAvailable = true;
    return tuning;
  }
  static std::vector<ReplicaEntry> replicas() {
    return {{"10.0.0.1:80", "L1", "z1"},
            {"10.0.0.2:80", "L2", "z2"},
            {"10.0.0.3:80", "L3", "z3"},
            {"10.0.0.4:80", "L4", "z3"},
            {"10.0.0.5:80", "L5", "z3"}};
  }
  explicit RouterFixture(dataplane::RouterTuning const& tuning = tuningWithAudit(), bool hasWallTime = true)
      : router(self(), {"s1"}, 7, tuning) {
    router.started(0);
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {
        {"cohort", 1, core::parseJson(R"({"members":[{"id":"m1","link":"s1"}]})").toObject()},
        {"roster", 1, core::parseJson(R"({"nodes":[{"link":"n1"}],"previous":[{"link":"n1"}]})").toObject()},
        {"pool:model", 1, endpointList(1, replicas())},
        {"family:law", 1, family("health")},
        {"family:desk", 1, family("")},
        {"certificates", 1, certificates({{"z1", startWallTime + 1000000}, {"z2", startWallTime + 1000000}})}};
    router.onMessage(now, "s1", update);
    if (hasWallTime) router.setWallTime(now, startWallTime);
    grantLease();
  }
  void grantLease() {
    transport::ServingLeaseGrant grant;
    grant.requestSentAt = now;
    grant.hasQuorum = true;
    router.onMessage(now, "s1", grant);
  }
  dataplane::RouterCommands configure(char const* key, QJsonObject const& value) {
    transport::ConfigurationUpdate update;
    update.entries = {{key, ++revision, value}};
    return last = router.onMessage(now, "s1", update);
  }
  dataplane::RouterCommands sendRequest(char const* instance = "law.nord", char const* path = "a") {
    dataplane::Request request;
    request.call = nextCall++;
    request.instance = instance;
    request.path = path;
    request.id = "id" + std::to_string(request.call);
    return last = router.onRequest(now, request);
  }
  dataplane::RouterCommands connected(std::uint64_t call) { return last = router.onConnected(now, call); }
  /// Starts a request on the path and lets it stream from a certified replica. Returns the replica's address.
  std::string startStream(std::uint64_t& call, char const* path = "e") {
    call = nextCall;
    std::string const address = find<dataplane::Connect>(sendRequest("law.nord", path)).address;
    find<dataplane::SendRequest>(connected(call));
    router.onFirstByte(now, call, true);
    return address;
  }
  /// Lets that many milliseconds pass, with a lease grant and a timer event every 20 ms.
  dataplane::RouterCommands advance(core::Milliseconds duration) {
    dataplane::RouterCommands all;
    for (core::Milliseconds const end = now + duration; now < end;) {
      now += 20;
      grantLease();
      dataplane::RouterCommands const commands = router.onTimer(now);
      all.calls.insert(all.calls.end(), commands.calls.begin(), commands.calls.end());
    }
    return last = all;
  }
  template <class T>
  static std::size_t count(dataplane::RouterCommands const& commands) {
    return static_cast<std::size_t>(
        std::count_if(commands.calls.begin(), commands.calls.end(),
                      [](dataplane::CallCommand const& command) { return std::holds_alternative<T>(command); }));
  }
  template <class T>
  static T find(dataplane::RouterCommands const& commands) {
    for (dataplane::CallCommand const& command : commands.calls)
      if (T const* const found = std::get_if<T>(&command)) return *found;
    FAIL("no such command");
    return T{};
  }
  bool rejectedNotExecuted() const {
    return count<dataplane::Reject>(last) == 1 && count<dataplane::SendRequest>(last) == 0 &&
           find<dataplane::Reject>(last).status == 503 && find<dataplane::Reject>(last).notExecuted &&
           find<dataplane::Reject>(last).retryAfter > 0;
  }
};

bool isCertified(std::string const& address) {
  return address == "10.0.0.1:80" || address == "10.0.0.2:80";
}

}  // namespace

TEST_CASE("requests of a regime go only to certified replicas, even if those are busy and others are idle") {
  RouterFixture fixture;
  int connects = 0;
  for (int i = 0; i < 60; ++i) {
    dataplane::RouterCommands const commands = fixture.sendRequest();
    if (RouterFixture::count<dataplane::Connect>(commands) == 0) continue;
    ++connects;
    dataplane::Connect const connect = RouterFixture::find<dataplane::Connect>(commands);
    CHECK(isCertified(connect.address));
    CHECK(connect.incarnation == (connect.address == "10.0.0.1:80" ? "L1" : "L2"));
    fixture.connected(connect.call);
    dataplane::WriteAuditRecord const record = RouterFixture::find<dataplane::WriteAuditRecord>(fixture.last);
    CHECK(record.outcome == AuditOutcome::dispatched);
    CHECK(record.certificate == record.zone);
    CHECK(record.incarnation == connect.incarnation);
    CHECK(RouterFixture::find<dataplane::SendRequest>(fixture.last).regime == "health");
    CHECK(std::holds_alternative<dataplane::WriteAuditRecord>(fixture.last.calls[fixture.last.calls.size() - 2]));
    CHECK(std::holds_alternative<dataplane::SendRequest>(fixture.last.calls.back()));
  }
  CHECK(connects >= 4);
  CHECK(fixture.router.pendingCount() > static_cast<std::size_t>(connects));
  for (dataplane::CallCommand const& command : fixture.advance(20000).calls)
    if (dataplane::Connect const* const connect = std::get_if<dataplane::Connect>(&command))
      CHECK(isCertified(connect->address));
  dataplane::Connect const withoutRegime = RouterFixture::find<dataplane::Connect>(fixture.sendRequest("desk.nord"));
  CHECK(withoutRegime.incarnation.empty());
  CHECK(RouterFixture::find<dataplane::SendRequest>(fixture.connected(withoutRegime.call)).regime.empty());
  CHECK(RouterFixture::count<dataplane::WriteAuditRecord>(fixture.last) == 0);
}

TEST_CASE("a router that may not serve a regime rejects its requests at once and serves other requests") {
  dataplane::RouterTuning tuning = RouterFixture::tuningWithAudit();
  SECTION("audit records cannot be written") {
    tuning.auditRecordsAvailable = false;
  }
  SECTION("the router serves without a lease") {
    tuning.leaseRequired = false;
  }
  RouterFixture fixture(tuning, tuning.auditRecordsAvailable == false || tuning.leaseRequired == false);
  if (tuning.auditRecordsAvailable && tuning.leaseRequired) {
    SECTION("the wall time is not known") {}
    SECTION("no certificates are known") {
      fixture.router.setWallTime(fixture.now, startWallTime);
      fixture.configure("certificates", QJsonObject{});
    }
    SECTION("the router itself has no certificate") {
      fixture.router.setWallTime(fixture.now, startWallTime);
      fixture.configure("certificates", certificates({{"z1", startWallTime + 1000000}}, "certified"));
    }
    SECTION("the endpoint list names no incarnations") {
      fixture.router.setWallTime(fixture.now, startWallTime);
      fixture.configure(
          "pool:model",
          core::parseJson(R"({"generation":2,"replicas":[{"address":"10.0.0.1:80","zone":"z1","state":"serving"}]})")
              .toObject());
    }
  }
  fixture.sendRequest();
  CHECK(fixture.rejectedNotExecuted());
  CHECK(RouterFixture::find<dataplane::WriteAuditRecord>(fixture.last).outcome == AuditOutcome::rejected);
  CHECK(RouterFixture::count<dataplane::Connect>(fixture.sendRequest("desk.nord")) == 1);
}

TEST_CASE("a router dispatches requests of a regime until its own certificate expires") {
  RouterFixture fixture;
  QJsonObject value = certificates({{"z1", startWallTime + 1000000}}, "certified");
  QJsonObject spec = value.value("spec").toObject();
  QJsonObject all = spec.value("certificates").toObject();
  all.insert("mine", QJsonObject{{"regime", "health"},
                                 {"carrier", "nacelles"},
                                 {"zone", "z1"},
                                 {"link", "n1"},
                                 {"until", core::toQString(isoTime(startWallTime + 200000))}});
  spec.insert("certificates", all);
  fixture.configure("certificates", QJsonObject{{"spec", spec}});
  CHECK(RouterFixture::count<dataplane::Connect>(fixture.sendRequest()) == 1);
  fixture.router.setWallTime(fixture.now, startWallTime + 150000);
  fixture.sendRequest();
  CHECK(fixture.rejectedNotExecuted());
  fixture.connected(1);
  CHECK(fixture.rejectedNotExecuted());
}

TEST_CASE("a replica's certificate is checked again once the connection is established") {
  RouterFixture fixture;
  std::string const address = RouterFixture::find<dataplane::Connect>(fixture.sendRequest()).address;
  SECTION("the certificate expires") {
    fixture.router.setWallTime(fixture.now, startWallTime + 950000);
    fixture.connected(1);
    CHECK(RouterFixture::count<dataplane::SendRequest>(fixture.last) == 0);
    CHECK(fixture.advance(100).calls.size() > 0);
    CHECK(fixture.rejectedNotExecuted());
  }
  SECTION("the certificate is revoked, so the other certified replica is used") {
    fixture.configure("certificates",
                      certificates({{address == "10.0.0.1:80" ? "z2" : "z1", startWallTime + 1000000}}));
    CHECK(RouterFixture::count<dataplane::CloseUpstream>(fixture.last) == 1);
    dataplane::Connect const other = RouterFixture::find<dataplane::Connect>(fixture.last);
    CHECK(isCertified(other.address));
    CHECK(other.address != address);
  }
  SECTION("the serving lease is lost") {
    fixture.now += 1501;
    fixture.connected(1);
    CHECK(fixture.rejectedNotExecuted());
  }
  SECTION("audit records can no longer be written") {
    fixture.router.setAuditAvailable(false);
    fixture.connected(1);
    CHECK(fixture.rejectedNotExecuted());
  }
  SECTION("another incarnation is listed at the address, in a zone that is not certified") {
    std::vector<ReplicaEntry> replicas = RouterFixture::replicas();
    for (ReplicaEntry& replica : replicas)
      if (replica.address == address) {
        replica.id = "L9";
        replica.zone = "z3";
      }
    fixture.configure("pool:model", endpointList(2, replicas));
    CHECK(RouterFixture::count<dataplane::SendRequest>(fixture.last) == 0);
    CHECK(RouterFixture::find<dataplane::Connect>(fixture.last).address != address);
  }
}

TEST_CASE("a connecting request is stopped when its instance is bound to a regime without certified replicas") {
  RouterFixture fixture;
  std::vector<ReplicaEntry> const uncertified{{"10.0.0.3:80", "L3", "z3"}};
  fixture.configure("pool:model", endpointList(2, uncertified));
  CHECK(RouterFixture::find<dataplane::Connect>(fixture.sendRequest("desk.nord")).address == "10.0.0.3:80");
  fixture.configure("family:desk", family("health"));
  CHECK(RouterFixture::count<dataplane::CloseUpstream>(fixture.last) == 1);
  fixture.connected(1);
  CHECK(RouterFixture::count<dataplane::SendRequest>(fixture.last) == 0);
}

TEST_CASE("a stream whose replica loses its certificate is resumed once on another certified replica") {
  RouterFixture fixture;
  std::uint64_t call = 0;
  std::string const address = fixture.startStream(call);
  fixture.configure("certificates", certificates({{address == "10.0.0.1:80" ? "z2" : "z1", startWallTime + 1000000}}));
  dataplane::Connect const next = RouterFixture::find<dataplane::Connect>(fixture.last);
  CHECK(next.resume);
  CHECK(isCertified(next.address));
  CHECK(next.address != address);
  CHECK(next.incarnation == (next.address == "10.0.0.1:80" ? "L1" : "L2"));
  fixture.connected(call);
  CHECK(RouterFixture::find<dataplane::WriteAuditRecord>(fixture.last).outcome == AuditOutcome::resumed);
  CHECK(RouterFixture::find<dataplane::SendRequest>(fixture.last).expectedIncarnation == next.incarnation);
  fixture.router.onFirstByte(fixture.now, call, true);
  fixture.last = fixture.router.onUpstreamFinished(fixture.now, call, dataplane::UpstreamResult::connectionLost);
  CHECK(RouterFixture::count<dataplane::ResetDownstream>(fixture.last) == 1);
  CHECK(RouterFixture::find<dataplane::WriteAuditRecord>(fixture.last).outcome == AuditOutcome::aborted);
}

TEST_CASE("a broken stream of a regime is resumed only on another certified replica") {
  RouterFixture fixture;
  std::uint64_t call = 0;
  std::string const address = fixture.startStream(call);
  SECTION("another replica is certified") {
    fixture.last = fixture.router.onUpstreamFinished(fixture.now, call, dataplane::UpstreamResult::connectionLost);
    dataplane::Connect const next = RouterFixture::find<dataplane::Connect>(fixture.last);
    CHECK(next.address != address);
    CHECK(isCertified(next.address));
    SECTION("its certificate is revoked before the connection is established") {
      fixture.configure("certificates",
                        certificates({{address == "10.0.0.1:80" ? "z1" : "z2", startWallTime + 1000000}}));
      CHECK(RouterFixture::count<dataplane::ResetDownstream>(fixture.last) == 1);
      fixture.connected(call);
      CHECK(RouterFixture::count<dataplane::SendRequest>(fixture.last) == 0);
    }
    SECTION("the connection is not established in time") {
      fixture.advance(800);
      CHECK(RouterFixture::count<dataplane::ResetDownstream>(fixture.last) == 1);
    }
  }
  SECTION("no other replica is certified") {
    std::vector<ReplicaEntry> replicas = RouterFixture::replicas();
    std::erase_if(replicas, [&](ReplicaEntry const& replica) {
      return isCertified(replica.address) && replica.address != address;
    });
    fixture.configure("pool:model", endpointList(2, replicas));
    fixture.last = fixture.router.onUpstreamFinished(fixture.now, call, dataplane::UpstreamResult::connectionLost);
    CHECK(RouterFixture::count<dataplane::Connect>(fixture.last) == 0);
    CHECK(RouterFixture::count<dataplane::ResetDownstream>(fixture.last) == 1);
  }
}

TEST_CASE("a router that may not serve a regime any more aborts its streams") {
  RouterFixture fixture;
  std::uint64_t call = 0;
  fixture.startStream(call);
  SECTION("the serving lease is lost") {
    fixture.now += 1600;
    fixture.last = fixture.router.onTimer(fixture.now);
  }
  SECTION("the regime is not declared any more") {
    fixture.configure("certificates", QJsonObject{});
  }
  SECTION("all certificates have expired") {
    fixture.router.setWallTime(fixture.now, startWallTime + 950000);
    fixture.advance(1100);
  }
  CHECK(RouterFixture::count<dataplane::Connect>(fixture.last) == 0);
  CHECK(RouterFixture::count<dataplane::ResetDownstream>(fixture.last) == 1);
  CHECK(fixture.router.pendingCount() == 0);
}

TEST_CASE("without any certificate, a non-resumable stream is aborted and an unanswered request may have run") {
  RouterFixture fixture;
  std::uint64_t call = 0;
  std::string const address = fixture.startStream(call, "f");
  std::uint64_t const unanswered = fixture.nextCall;
  dataplane::Connect const connect = RouterFixture::find<dataplane::Connect>(fixture.sendRequest("law.nord", "a"));
  fixture.connected(unanswered);
  fixture.configure("certificates", certificates({}));
  CHECK(RouterFixture::count<dataplane::Connect>(fixture.last) == 0);
  CHECK(RouterFixture::count<dataplane::ResetDownstream>(fixture.last) == 1);
  CHECK(RouterFixture::find<dataplane::Reject>(fixture.last).status == 502);
  CHECK_FALSE(RouterFixture::find<dataplane::Reject>(fixture.last).notExecuted);
}

TEST_CASE("queued requests are rejected at once when no certified replica is left") {
  RouterFixture fixture;
  std::size_t connects = 0;
  for (int i = 0; i < 12; ++i)
    connects += RouterFixture::count<dataplane::Connect>(fixture.sendRequest("law.nord", "e"));
  std::size_t const pending = fixture.router.pendingCount();
  REQUIRE(pending > connects);
  fixture.configure("certificates", certificates({{"z3", startWallTime - 1}}));
  std::size_t const rejectedAtOnce = RouterFixture::count<dataplane::Reject>(fixture.last);
  CHECK(rejectedAtOnce >= pending - connects);
  CHECK(rejectedAtOnce + RouterFixture::count<dataplane::Reject>(fixture.advance(20)) == pending);
  CHECK(fixture.router.pendingCount() == 0);
}

TEST_CASE("a request that may have run on a previous replica is not rejected as not executed") {
  for (bool const revoked : {true, false}) {
    RouterFixture fixture;
    std::uint64_t const call = fixture.nextCall;
    std::string const address = RouterFixture::find<dataplane::Connect>(fixture.sendRequest("law.nord", "e")).address;
    fixture.connected(call);
    if (revoked)
      fixture.configure("certificates",
                        certificates({{address == "10.0.0.1:80" ? "z2" : "z1", startWallTime + 1000000}}));
    else
      fixture.last = fixture.router.onUpstreamFinished(fixture.now, call, dataplane::UpstreamResult::connectionLost);
    dataplane::Connect const other = RouterFixture::find<dataplane::Connect>(fixture.last);
    CHECK_FALSE(other.resume);
    CHECK(other.address != address);
    fixture.configure("certificates", certificates({}));
    if (RouterFixture::count<dataplane::Reject>(fixture.last) == 0) fixture.advance(20);
    CHECK(RouterFixture::find<dataplane::Reject>(fixture.last).status == 503);
    CHECK_FALSE(RouterFixture::find<dataplane::Reject>(fixture.last).notExecuted);
  }
}

TEST_CASE("an expired certificate stays expired when the wall clock goes back") {
  RouterFixture fixture;
  fixture.router.setWallTime(fixture.now, startWallTime + 950000);
  fixture.router.setWallTime(fixture.now, startWallTime);
  fixture.sendRequest();
  CHECK(fixture.rejectedNotExecuted());
}

TEST_CASE("a resumable request is resumed on its own replica only while that replica is certified") {
  for (bool const certified : {true, false}) {
    RouterFixture fixture;
    std::uint64_t call = 0;
    std::string const address = fixture.startStream(call, "r");
    if (!certified) fixture.router.setWallTime(fixture.now, startWallTime + 950000);
    fixture.last = fixture.router.onUpstreamFinished(fixture.now, call, dataplane::UpstreamResult::connectionLost);
    CHECK(RouterFixture::count<dataplane::Connect>(fixture.last) == (certified ? 1 : 0));
    if (!certified) continue;
    CHECK(RouterFixture::find<dataplane::Connect>(fixture.last).address == address);
    fixture.connected(call);
    fixture.last = fixture.router.onUpstreamFinished(fixture.now, call, dataplane::UpstreamResult::connectionLost);
    CHECK(RouterFixture::count<dataplane::ResetDownstream>(fixture.last) == 1);
  }
}

TEST_CASE("requests without a regime leave the reserved fraction of certified replicas free") {
  for (double const reserve : {0.0, 0.5, 1.0}) {
    CAPTURE(reserve);
    RouterFixture fixture;
    fixture.configure("pool:model", endpointList(2, {{"10.0.0.1:80", "L1", "z1"}}));
    fixture.configure("certificates", certificates({{"z1", startWallTime + 1000000}}, "any", reserve));
    int withoutRegime = 0;
    for (int i = 0; i < 8; ++i)
      withoutRegime += static_cast<int>(RouterFixture::count<dataplane::Connect>(fixture.sendRequest("desk.nord")));
    CHECK(withoutRegime == (reserve == 0.0 ? 4 : reserve == 0.5 ? 2 : 0));
    CHECK(RouterFixture::count<dataplane::Connect>(fixture.sendRequest()) == 1);
  }
}

TEST_CASE("a burst of requests without a regime does not use up a router's limit for requests of a regime") {
  dataplane::RouterTuning tuning = RouterFixture::tuningWithAudit();
  tuning.nodeLimitPerReplica = 1.0;
  RouterFixture fixture(tuning);
  for (int i = 0; i < 40; ++i) fixture.sendRequest("desk.nord");
  fixture.advance(400);
  CHECK(RouterFixture::count<dataplane::Connect>(fixture.sendRequest()) == 1);
  fixture.sendRequest();
  CHECK(RouterFixture::count<dataplane::Reject>(fixture.last) == 0);
  CHECK(RouterFixture::count<dataplane::Connect>(fixture.last) == 1);
}
