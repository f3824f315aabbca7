#include <catch2/catch.hpp>

#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <corkward/core/json.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>

#include "../../transport/test/fill.h"

namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
namespace transport = corkward::transport;

namespace {

/// A router with a serving lease and a complete snapshot: one pool of three replicas and two instances.
struct RouterFixture {
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t nextCall = 1;

  static transport::Contact self() {
    transport::Contact c;
    c.link = "n1";
    c.role = transport::routerRole;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }
  explicit RouterFixture(dataplane::RouterTuning tuning = {}, std::uint64_t rosterRevision = 1)
      : reducer(self(), {"s1"}, 7, tuning) {
    reducer.started(0);
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {{"cohort", 1, core::parseJson(R"({"members":[{"id":"m1","link":"s1"}]})").toObject()},
                      {"roster", rosterRevision, roster(rosterRevision == 1)},
                      {"pool:model", 1, pool(1, "serving")},
                      {"family:desk", 1,
                       core::parseJson(R"({"template":{"stamp":1,"spec":{"paths":[
                     {"path":"a","pool":"model","class":"short"},{"path":"r","pool":"model","class":"short","resumable":true}]}},
                     "instances":{"nord":{"stamp":1,"spec":{}},"sued":{"stamp":1,"spec":{}}}})")
                           .toObject()}};
    reducer.onMessage(now, "s1", update);
    grantLease();
  }
  /// @param wasMember whether this router is in the previous roster, too.
  static QJsonObject roster(bool wasMember) {
    return core::parseJson(R"({"nodes":[{"link":"n1"},{"link":"n2"},{"link":"n3"}],"previous":[)" +
                           std::string(wasMember ? R"({"link":"n1"},)" : "") + R"({"link":"n2"},{"link":"n3"}]})")
        .toObject();
  }
  static QJsonObject pool(int generation, char const* state) {
    return core::parseJson(
               R"({"generation":)" + std::to_string(generation) +
               R"(,"replicas":[{"address":"10.0.0.1:80","zone":"z1","state":")" + state +
               R"("},{"address":"10.0.0.2:80","zone":"z2","state":"serving"},{"address":"10.0.0.3:80","zone":"z2","state":"serving"}]})")
        .toObject();
  }
  /// Endpoint list of the given generation that contains all replicas but one.
  static transport::EndpointRemovalHint listWithout(std::uint64_t generation, std::string const& removed) {
    transport::EndpointRemovalHint hint{"model", generation, {}, {}};
    for (char const* a : {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"})
      if (a != removed) hint.serving.push_back(a);
    return hint;
  }
  /// Grants the serving lease for the current time.
  void grantLease() {
    transport::ServingLeaseGrant c;
    c.requestSentAt = now;
    c.hasQuorum = true;
    reducer.onMessage(now, "s1", c);
  }
  dataplane::RouterCommands sendRequest(std::string const& id, std::uint64_t attempt = 1,
                                        std::string const& instance = "desk.nord", std::string const& path = "a") {
    dataplane::Request r;
    r.call = nextCall++;
    r.instance = instance;
    r.path = path;
    r.id = id;
    r.attempt = attempt;
    r.earlierNotExecuted = attempt > 1;
    return reducer.onRequest(now, r);
  }
  template <class T>
  static T const* find(dataplane::RouterCommands const& c) {
    for (dataplane::CallCommand const& v : c.calls)
      if (T const* const m = std::get_if<T>(&v)) return m;
    return nullptr;
  }
};

}  // namespace

TEST_CASE("a request is dispatched with the remaining time of its caller") {
  RouterFixture fixture;
  dataplane::Request request;
  request.call = fixture.nextCall++;
  request.instance = "desk.nord";
  request.path = "a";
  request.id = "waited";
  request.deadline = 1000;
  request.readDuration = 150;
  REQUIRE(RouterFixture::find<dataplane::Connect>(fixture.reducer.onRequest(fixture.now, request)) != nullptr);
  fixture.now += 400;
  fixture.grantLease();
  dataplane::RouterCommands const connected = fixture.reducer.onConnected(fixture.now, request.call);
  dataplane::SendRequest const* const dispatched = RouterFixture::find<dataplane::SendRequest>(connected);
  REQUIRE(dispatched != nullptr);
  CHECK(dispatched->remainingMs == 450);
}

TEST_CASE("a draining router accepts only requests that end before the drain timeout") {
  dataplane::RouterTuning tuning;
  tuning.drainAcceptPeriod = 2500;
  tuning.drainTimeout = 7000;
  RouterFixture fixture(tuning);
  std::function<int(dataplane::RouterCommands const&)> const status = [](dataplane::RouterCommands const& commands) {
    for (dataplane::CallCommand const& c : commands.calls)
      if (dataplane::Reject const* const reject = std::get_if<dataplane::Reject>(&c)) return reject->status;
    return 0;
  };
  // Requests of path "a" take 5 s. No request of path "r" has been served yet.
  for (int i = 0; i < 16; ++i) {
    fixture.sendRequest("long-" + std::to_string(i), 1, "desk.nord", "a");
    dataplane::CallId const served = fixture.nextCall - 1;
    fixture.reducer.onConnected(fixture.now, served);
    fixture.reducer.onFirstByte(fixture.now, served, true);
    fixture.now += 5000;
    fixture.grantLease();
    fixture.reducer.onUpstreamFinished(fixture.now, served, dataplane::UpstreamResult::complete);
  }
  fixture.reducer.drain(fixture.now);
  fixture.now += 500;
  fixture.grantLease();
  CHECK(status(fixture.sendRequest("fits", 1, "desk.nord", "a")) == 0);
  fixture.now += 1000;
  fixture.grantLease();
  dataplane::RouterCommands const refused = fixture.sendRequest("too-long", 1, "desk.nord", "a");
  CHECK(status(refused) == 503);
  REQUIRE(refused.failures.size() == 1);
  CHECK(refused.failures[0].fields.at("reason") == "leaving before it could end");
  CHECK(status(fixture.sendRequest("unknown", 1, "desk.nord", "r")) == 503);
}

TEST_CASE("a router without file descriptors rejects the request at once and does not back off the replica") {
  RouterFixture fixture;
  dataplane::RouterCommands const commands = fixture.sendRequest("r1");
  dataplane::CallId const call = fixture.nextCall - 1;
  std::function<std::string(dataplane::RouterCommands const&)> const address =
      [](dataplane::RouterCommands const& commands) {
        for (dataplane::CallCommand const& c : commands.calls)
          if (dataplane::Connect const* const connect = std::get_if<dataplane::Connect>(&c)) return connect->address;
        return std::string();
      };
  REQUIRE_FALSE(address(commands).empty());
  dataplane::RouterCommands const out = fixture.reducer.onLocalConnectFailure(fixture.now, call);
  dataplane::Reject const* reject = nullptr;
  for (dataplane::CallCommand const& c : out.calls)
    if (std::get_if<dataplane::Reject>(&c) != nullptr) reject = std::get_if<dataplane::Reject>(&c);
  REQUIRE(reject != nullptr);
  CHECK(reject->status == 503);
  CHECK(reject->notExecuted);
  CHECK(reject->retryAfter > 0);
  CHECK(fixture.reducer.pendingCount() == 0);
  REQUIRE(out.failures.size() == 1);
  CHECK(out.failures[0].fields.at("reason") == "this node is out of descriptors");
  CHECK(fixture.reducer.metrics(fixture.now).find("replica-cooled") == std::string::npos);
}

TEST_CASE("a router whose serving lease has expired dispatches nothing, even on an open connection") {
  RouterFixture fixture;
  dataplane::RouterCommands const c = fixture.sendRequest("x");
  REQUIRE(RouterFixture::find<dataplane::Connect>(c) != nullptr);
  fixture.now += 1501;
  dataplane::RouterCommands const late = fixture.reducer.onConnected(fixture.now, 1);
  CHECK(RouterFixture::find<dataplane::SendRequest>(late) == nullptr);
  REQUIRE(RouterFixture::find<dataplane::Reject>(late) != nullptr);
  CHECK(RouterFixture::find<dataplane::Reject>(late)->notExecuted);
  CHECK(RouterFixture::find<dataplane::Reject>(late)->retryAfter > 0);
  CHECK(RouterFixture::find<dataplane::Reject>(fixture.sendRequest("y")) != nullptr);
}

TEST_CASE(
    "a lease grant with a newer revision than the router's own does not count until the router has that revision") {
  RouterFixture fixture;
  fixture.now += 1000;
  transport::ServingLeaseGrant c;
  c.requestSentAt = fixture.now;
  c.hasQuorum = true;
  c.revisions = {{"family:desk", 2}};
  c.digest = transport::digestOf(c.revisions);
  fixture.reducer.onMessage(fixture.now, "s1", c);
  fixture.now += 600;
  CHECK_FALSE(fixture.reducer.servingLease(fixture.now));
  transport::ConfigurationUpdate update;
  update.number = 2;
  update.entries = {{"family:desk", 2, fixture.reducer.configurationValue("family:desk")}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  CHECK(fixture.reducer.servingLease(fixture.now));
}

TEST_CASE("a router that is not in the roster does not serve, because no peer would query it for earlier attempts") {
  RouterFixture fixture;
  REQUIRE(fixture.reducer.servingLease(fixture.now));
  transport::ConfigurationUpdate update;
  update.entries = {
      {"roster", 2, core::parseJson(R"({"nodes":[{"link":"n2"},{"link":"n3"},{"link":"n4"}]})").toObject()}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  fixture.grantLease();
  CHECK_FALSE(fixture.reducer.servingLease(fixture.now));
}

TEST_CASE("recent contact with a majority of the roster replaces a lease from a controller") {
  RouterFixture fixture;
  fixture.now += 2000;
  CHECK_FALSE(fixture.reducer.servingLease(fixture.now));
  transport::PeerHeartbeat t;
  t.sentAt = fixture.now;
  t.isReply = true;
  t.hasSnapshot = true;
  t.link = "n2";
  t.revisions = {{"family:desk", 1}};
  t.digest = transport::digestOf(t.revisions);
  fixture.reducer.onMessage(fixture.now + 5, "n2", t);
  CHECK(fixture.reducer.servingLease(fixture.now + 5));
  CHECK_FALSE(fixture.reducer.servingLease(fixture.now + 1600));
}

TEST_CASE("a router that needs no lease serves from its first complete snapshot on, without grants or a roster") {
  dataplane::RouterTuning tuning;
  tuning.leaseRequired = false;
  RouterFixture fixture(tuning);
  fixture.reducer.started(fixture.now);
  fixture.now += 60000;
  CHECK(fixture.reducer.servingLease(fixture.now));
  CHECK(fixture.reducer.ready(fixture.now));
  transport::ConfigurationUpdate update;
  update.entries = {{"roster", 2, core::parseJson(R"({"nodes":[{"link":"n2"},{"link":"n3"}]})").toObject()}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  CHECK(fixture.reducer.ready(fixture.now));
  dataplane::RouterCommands const c = fixture.sendRequest("x");
  REQUIRE(RouterFixture::find<dataplane::Connect>(c) != nullptr);
  CHECK(RouterFixture::find<dataplane::SendRequest>(fixture.reducer.onConnected(fixture.now, 1)) != nullptr);
  dataplane::RouterCommands const clock = fixture.reducer.onTimer(fixture.now);
  CHECK(std::any_of(clock.sends.begin(), clock.sends.end(), [](transport::Send const& s) {
    return std::holds_alternative<transport::ServingLeaseRequest>(s.message);
  }));
  update.entries = {{"zone:z1", 1, QJsonObject{{"evacuated", true}}}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  CHECK(fixture.reducer.servingLease(fixture.now));
  CHECK_FALSE(fixture.reducer.ready(fixture.now));
  tuning.evacuationFailsReady = false;
  fixture.reducer.updateTuning(tuning, {"s1"});
  CHECK(fixture.reducer.ready(fixture.now));
}

TEST_CASE("a router that needs no lease is ready only with a complete snapshot that contains paths") {
  dataplane::RouterTuning tuning;
  tuning.leaseRequired = false;
  dataplane::RequestRouter reducer(RouterFixture::self(), {"s1"}, 7, tuning);
  reducer.started(0);
  CHECK_FALSE(reducer.servingLease(100));
  transport::ConfigurationUpdate update;
  update.number = 1;
  update.isSnapshot = true;
  reducer.onMessage(100, "s1", update);
  CHECK_FALSE(reducer.servingLease(100));
  update.entries = {{"pool:model", 1, RouterFixture::pool(1, "serving")}};
  reducer.onMessage(100, "s1", update);
  CHECK_FALSE(reducer.servingLease(100));
  CHECK_FALSE(reducer.ready(100));
  dataplane::Request early;
  early.call = 1;
  early.instance = "desk.nord";
  early.path = "a";
  dataplane::RouterCommands const rejected = reducer.onRequest(100, early);
  REQUIRE(RouterFixture::find<dataplane::Reject>(rejected) != nullptr);
  CHECK(RouterFixture::find<dataplane::Reject>(rejected)->status == 503);
  CHECK(RouterFixture::find<dataplane::Reject>(rejected)->notExecuted);
  RouterFixture const donor;
  update.isSnapshot = false;
  update.entries = {{"family:desk", 1, donor.reducer.configurationValue("family:desk")}};
  reducer.onMessage(110, "s1", update);
  CHECK(reducer.ready(110));
  dataplane::RequestRouter neighbourFed(RouterFixture::self(), {"s1"}, 7, tuning);
  neighbourFed.started(0);
  update.number = 0;
  update.isSnapshot = true;
  update.entries = {
      {"pool:model", 1, RouterFixture::pool(1, "serving")},
      {"family:desk", 1, donor.reducer.configurationValue("family:desk")},
      {"roster", 2, core::parseJson(R"({"nodes":[{"link":"n1"},{"link":"n2"},{"link":"n3"}]})").toObject()}};
  neighbourFed.onMessage(100, "n2", update);
  CHECK_FALSE(neighbourFed.ready(100));
  transport::PeerHeartbeat reply;
  reply.sentAt = 110;
  reply.isReply = true;
  reply.hasSnapshot = true;
  for (transport::CommittedEntry const& entry : update.entries) reply.digest.replace(entry.key, 0, entry.revision);
  for (char const* const link : {"n2", "n3"}) {
    CHECK_FALSE(neighbourFed.ready(120));
    reply.link = link;
    neighbourFed.onMessage(120, link, reply);
  }
  CHECK(neighbourFed.ready(120));
}

TEST_CASE("an older configuration update never replaces a newer one") {
  RouterFixture fixture;
  transport::ConfigurationUpdate update;
  update.entries = {{"zone:z2", 5, core::parseJson(R"({"evacuated":true})").toObject()}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  update.entries = {{"zone:z2", 4, core::parseJson(R"({"evacuated":false})").toObject()}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  for (int i = 0; i < 3; ++i) {
    dataplane::RouterCommands const c = fixture.sendRequest("x" + std::to_string(i));
    REQUIRE(RouterFixture::find<dataplane::Connect>(c) != nullptr);
    CHECK(RouterFixture::find<dataplane::Connect>(c)->address == "10.0.0.1:80");
  }
}

TEST_CASE("a request whose replica is removed between connect and dispatch goes to another replica") {
  RouterFixture fixture;
  dataplane::RouterCommands const c = fixture.sendRequest("x");
  REQUIRE(RouterFixture::find<dataplane::Connect>(c) != nullptr);
  std::string const address = RouterFixture::find<dataplane::Connect>(c)->address;
  fixture.reducer.onMessage(fixture.now, "s1", RouterFixture::listWithout(2, address));
  dataplane::RouterCommands const after = fixture.reducer.onConnected(fixture.now, 1);
  CHECK(RouterFixture::find<dataplane::SendRequest>(after) == nullptr);
  REQUIRE(RouterFixture::find<dataplane::Connect>(after) != nullptr);
  CHECK(RouterFixture::find<dataplane::Connect>(after)->address != address);
}

TEST_CASE(
    "an endpoint list from the platform removes replicas at once until a list as new is committed, and adds none") {
  RouterFixture fixture;
  std::function<std::set<std::string>()> const usedAddresses = [&] {
    std::set<std::string> out;
    for (int i = 0; i < 40; ++i) {
      dataplane::RouterCommands const c = fixture.sendRequest("u" + std::to_string(fixture.nextCall));
      if (dataplane::Connect const* const m = RouterFixture::find<dataplane::Connect>(c)) out.insert(m->address);
      fixture.reducer.onCallerDisconnected(fixture.now, fixture.nextCall - 1);
    }
    return out;
  };
  std::function<dataplane::EndpointListResponse(std::string const&)> const sendList = [&](std::string const& body) {
    return *RouterFixture::find<dataplane::EndpointListResponse>(
        fixture.reducer.onEndpointList(fixture.now, 1, "model", body));
  };
  std::set<std::string> const before = usedAddresses();
  REQUIRE_FALSE(before.empty());
  std::string const address = *before.begin();
  QJsonArray remaining;
  for (char const* a : {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"})
    if (a != address) remaining.append(QJsonObject{{"address", a}, {"zone", "z1"}, {"state", "serving"}});
  dataplane::EndpointListResponse const pending =
      sendList(core::jsonText(QJsonObject{{"generation", 3}, {"replicas", remaining}}));
  CHECK(pending.status == 504);
  CHECK(pending.body.value("pending").toBool());
  for (int i = 0; i < 16; ++i) {
    fixture.now += 5000;
    fixture.grantLease();
    fixture.reducer.onTimer(fixture.now);
    CHECK(usedAddresses().count(address) == 0);
    CHECK(usedAddresses().count("10.0.0.9:80") == 0);
    CHECK(sendList(core::jsonText(QJsonObject{{"generation", 3}, {"replicas", remaining}})).status == 504);
  }
  CHECK(sendList(core::jsonText(QJsonObject{{"generation", 2}, {"replicas", remaining}})).status == 409);
  CHECK(sendList("{").status == 400);
  CHECK(sendList(R"({"generation":-4,"replicas":[]})").status == 422);
  transport::ConfigurationUpdate update;
  update.entries = {{"pool:model", 2, RouterFixture::pool(2, "serving")}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  CHECK(usedAddresses().count(address) == 0);
  update.entries = {{"pool:model", 3, RouterFixture::pool(3, "serving")}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  CHECK(sendList(core::jsonText(RouterFixture::pool(3, "serving"))).status == 200);
  fixture.reducer.onMessage(fixture.now, "s1", transport::EndpointRemovalHint{"model", 3, {}, {}});
  CHECK_FALSE(usedAddresses().empty());
  fixture.reducer.onMessage(fixture.now, "s1", transport::EndpointRemovalHint{"model", 4, {}, {}});
  CHECK(usedAddresses().empty());
}

namespace {

/// Returns the addresses that the router uses for 40 requests.
std::set<std::string> addressesInUse(RouterFixture& fixture) {
  std::set<std::string> addresses;
  for (int i = 0; i < 40; ++i) {
    dataplane::RouterCommands const commands = fixture.sendRequest("in-use" + std::to_string(fixture.nextCall));
    if (auto const* const connect = RouterFixture::find<dataplane::Connect>(commands))
      addresses.insert(connect->address);
    fixture.reducer.onCallerDisconnected(fixture.now, fixture.nextCall - 1);
  }
  return addresses;
}

/// A hint of the reader s1 that leaves no replica in use.
transport::EndpointRemovalHint hintWithoutReplicas(std::uint64_t generation, std::uint64_t baseRevision) {
  transport::EndpointRemovalHint hint{"model", generation, {}, {}};
  hint.source = "s1";
  hint.incarnation = 1;
  hint.sequence = generation;
  hint.baseRevision = baseRevision;
  return hint;
}

}  // namespace

/// Guards against review/4: a hint of a reader without a majority kept out the replicas of the lists that were
/// committed later, since its generation was above theirs.
TEST_CASE("a removal hint ends when a list is committed after the one it builds on, whatever its generation") {
  RouterFixture fixture;
  fixture.reducer.onMessage(fixture.now, "s1", hintWithoutReplicas(40, 1));
  CHECK(addressesInUse(fixture).empty());
  transport::ConfigurationUpdate update;
  update.entries = {{"pool:model", 2, RouterFixture::pool(2, "serving")}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  CHECK_FALSE(addressesInUse(fixture).empty());
  fixture.reducer.onMessage(fixture.now, "s1", hintWithoutReplicas(41, 1));
  CHECK_FALSE(addressesInUse(fixture).empty());
}

/// A hint of a list that is never committed used to stay in effect for ever.
TEST_CASE("a removal hint that is not renewed ends, at its receiver and where it was forwarded to") {
  RouterFixture fixture;
  RouterFixture neighbour;
  fixture.reducer.onMessage(fixture.now, "s1", hintWithoutReplicas(5, 1));
  transport::PeerHeartbeat heartbeat;
  heartbeat.link = "n2";
  heartbeat.sentAt = fixture.now;
  for (int second = 0; second < 5; ++second) {
    fixture.now += 1000;
    neighbour.now = fixture.now;
    fixture.grantLease();
    neighbour.grantLease();
    fixture.reducer.onTimer(fixture.now);
    neighbour.reducer.onTimer(neighbour.now);
    for (transport::Send const& send : fixture.reducer.onMessage(fixture.now, "n2", heartbeat).sends)
      if (auto const* const reply = std::get_if<transport::PeerHeartbeat>(&send.message)) {
        transport::PeerHeartbeat fromNeighbour = *reply;
        fromNeighbour.link = "n2";
        neighbour.reducer.onMessage(neighbour.now, "n2", fromNeighbour);
      }
    CHECK(addressesInUse(fixture).empty());
    CHECK(addressesInUse(neighbour).empty());
  }
  fixture.now += 1000;
  neighbour.now = fixture.now;
  fixture.grantLease();
  neighbour.grantLease();
  fixture.reducer.onTimer(fixture.now);
  neighbour.reducer.onTimer(neighbour.now);
  CHECK_FALSE(addressesInUse(fixture).empty());
  CHECK_FALSE(addressesInUse(neighbour).empty());
}

TEST_CASE("after a lost connection the outcome is unknown, and the request id is not executed again") {
  RouterFixture fixture;
  fixture.sendRequest("x");
  REQUIRE(RouterFixture::find<dataplane::SendRequest>(fixture.reducer.onConnected(fixture.now, 1)) != nullptr);
  dataplane::RouterCommands const lost =
      fixture.reducer.onUpstreamFinished(fixture.now, 1, dataplane::UpstreamResult::connectionLost);
  REQUIRE(RouterFixture::find<dataplane::Reject>(lost) != nullptr);
  CHECK_FALSE(RouterFixture::find<dataplane::Reject>(lost)->notExecuted);
  CHECK(RouterFixture::find<dataplane::Reject>(lost)->status == 502);
  CHECK(RouterFixture::find<dataplane::Reject>(fixture.sendRequest("x", 2))->status == 409);
}

namespace {

/// Sends the reply of a router to the query for a request id in `commands`.
dataplane::RouterCommands replyToQuery(RouterFixture& fixture, dataplane::RouterCommands const& commands,
                                       std::string const& link, bool notExecuted, bool known = false,
                                       std::vector<std::string> claimants = {}) {
  for (transport::Send const& s : commands.sends)
    if (transport::RequestIdQuery const* const m = std::get_if<transport::RequestIdQuery>(&s.message);
        m != nullptr && s.to == link)
      return fixture.reducer.onMessage(
          fixture.now, link,
          transport::RequestIdReply{m->token, link, notExecuted, known, false, 70000, std::move(claimants)});
  return {};
}

dataplane::Request laterAttempt(RouterFixture& fixture, std::uint64_t attempt, core::Milliseconds age) {
  dataplane::Request r;
  r.call = fixture.nextCall++;
  r.instance = "desk.nord";
  r.path = "a";
  r.id = "x";
  r.attempt = attempt;
  r.ageMs = age;
  return r;
}

}  // namespace

TEST_CASE("a request without attempt number is executed only if a majority replies that its id was not executed") {
  RouterFixture fixture;
  dataplane::RouterCommands const first = fixture.sendRequest("x", 0);
  CHECK(first.calls.empty());
  CHECK(RouterFixture::find<dataplane::Connect>(replyToQuery(fixture, first, "n2", true)) != nullptr);
  dataplane::RouterCommands const second = fixture.sendRequest("y", 0);
  dataplane::RouterCommands const rejected = replyToQuery(fixture, second, "n2", false);
  REQUIRE(RouterFixture::find<dataplane::Reject>(rejected) != nullptr);
  CHECK_FALSE(RouterFixture::find<dataplane::Reject>(rejected)->notExecuted);
  SECTION("an id that another router queried before waits for the reply of that router") {
    dataplane::RouterCommands const third = fixture.sendRequest("z", 0);
    CHECK(replyToQuery(fixture, third, "n2", true, true, {"n3"}).calls.empty());
    fixture.now += 600;
    dataplane::RouterCommands const late = fixture.reducer.onTimer(fixture.now);
    REQUIRE(RouterFixture::find<dataplane::Reject>(late) != nullptr);
    CHECK(RouterFixture::find<dataplane::Reject>(late)->status == 409);
  }
  SECTION("such an id is executed once that router replies that it did not execute it") {
    dataplane::RouterCommands const third = fixture.sendRequest("z", 0);
    CHECK(replyToQuery(fixture, third, "n2", true, true, {"n3"}).calls.empty());
    CHECK(RouterFixture::find<dataplane::Connect>(replyToQuery(fixture, third, "n3", true, true)) != nullptr);
  }
}

TEST_CASE("a later attempt is executed only if it states its age and all routers remember ids for that long") {
  RouterFixture fixture;
  dataplane::RouterCommands const noAge = fixture.reducer.onRequest(fixture.now, laterAttempt(fixture, 2, -1));
  REQUIRE(RouterFixture::find<dataplane::Reject>(noAge) != nullptr);
  CHECK(RouterFixture::find<dataplane::Reject>(noAge)->status == 409);
  dataplane::RouterCommands const tooOld = fixture.reducer.onRequest(fixture.now, laterAttempt(fixture, 2, 80000));
  REQUIRE(RouterFixture::find<dataplane::Reject>(tooOld) != nullptr);
  CHECK(RouterFixture::find<dataplane::Reject>(tooOld)->status == 409);
  for (int i = 0; i < 12; ++i) fixture.reducer.onTimer(fixture.now += 200);
  fixture.grantLease();
  dataplane::RouterCommands const within = fixture.reducer.onRequest(fixture.now, laterAttempt(fixture, 2, 5000));
  CHECK(within.calls.empty());
  replyToQuery(fixture, within, "n2", true);
  CHECK(RouterFixture::find<dataplane::Connect>(replyToQuery(fixture, within, "n3", true)) != nullptr);
  SECTION("time without events, as after a suspended machine, is added to the stated age") {
    fixture.reducer.onTimer(fixture.now);
    fixture.now += 60000;
    fixture.grantLease();
    dataplane::RouterCommands const woken = fixture.reducer.onRequest(fixture.now, laterAttempt(fixture, 4, 70000));
    REQUIRE(RouterFixture::find<dataplane::Reject>(woken) != nullptr);
    CHECK(RouterFixture::find<dataplane::Reject>(woken)->status == 409);
  }
}

TEST_CASE("after ids were removed, a router confirms only attempts that are younger than the removed ids") {
  dataplane::RouterTuning tuning;
  tuning.maxRequestIds = 50;
  RouterFixture fixture(tuning);
  for (int i = 0; i < 60; ++i) {
    fixture.sendRequest("i" + std::to_string(i));
    fixture.reducer.onCallerDisconnected(fixture.now, fixture.nextCall - 1);
  }
  fixture.now += 1000;
  fixture.grantLease();
  dataplane::RouterCommands const c = fixture.reducer.onRequest(fixture.now, laterAttempt(fixture, 2, 5000));
  REQUIRE(RouterFixture::find<dataplane::Reject>(c) != nullptr);
  CHECK(RouterFixture::find<dataplane::Reject>(c)->status == 409);
}

TEST_CASE("a router that is new in the roster serves once a controller reports that the roster is complete") {
  RouterFixture newRouter(dataplane::RouterTuning{}, 2);
  REQUIRE_FALSE(newRouter.reducer.servingLease(newRouter.now));
  std::function<void(std::uint64_t)> const grantWithRoster = [&](std::uint64_t revision) {
    transport::ServingLeaseGrant c;
    c.requestSentAt = newRouter.now;
    c.hasQuorum = true;
    c.rosterRevision = revision;
    newRouter.reducer.onMessage(newRouter.now, "s1", c);
    newRouter.reducer.onTimer(newRouter.now);
  };
  grantWithRoster(0);
  CHECK_FALSE(newRouter.reducer.servingLease(newRouter.now));
  newRouter.now += 3700;
  grantWithRoster(1);
  CHECK_FALSE(newRouter.reducer.servingLease(newRouter.now));
  grantWithRoster(2);
  CHECK(newRouter.reducer.servingLease(newRouter.now));
}

TEST_CASE("a lease grant with a digest counts only if the router has or had the configuration with that digest") {
  RouterFixture fixture;
  transport::Revisions const first{{"cohort", 1}, {"family:desk", 1}, {"pool:model", 1}, {"roster", 1}};
  std::function<bool(transport::Digest const&, transport::Revisions const&)> const counts =
      [&](transport::Digest const& digest, transport::Revisions const& revisions) {
        fixture.now += 2000;
        transport::ServingLeaseGrant c;
        c.requestSentAt = fixture.now;
        c.hasQuorum = true;
        c.digest = digest;
        c.revisions = revisions;
        fixture.reducer.onMessage(fixture.now, "s1", c);
        return fixture.reducer.servingLease(fixture.now);
      };
  CHECK(counts(transport::digestOf(first), {}));
  transport::Revisions newer = first;
  newer["zone:z2"] = 1;
  CHECK_FALSE(counts(transport::digestOf(newer), {}));
  CHECK_FALSE(counts(transport::digestOf(newer), first));
  transport::ConfigurationUpdate update;
  update.entries = {{"zone:z2", 1, QJsonObject{{"evacuated", true}}}, {"zone:z3", 1, QJsonObject{{"evacuated", true}}}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  CHECK(counts(transport::digestOf(first), {}));
  CHECK_FALSE(counts(transport::digestOf(newer), {}));
  CHECK(counts(transport::digestOf(newer), newer));
}

TEST_CASE("contact ages that a neighbour forwards renew the lease only if the neighbour has no newer configuration") {
  RouterFixture fixture;
  QJsonArray nodes;
  for (char const* link : {"n1", "n2", "n3", "n4", "n5"}) nodes.append(QJsonObject{{"link", link}, {"zone", "z1"}});
  transport::ConfigurationUpdate update;
  update.entries = {{"roster", 2, QJsonObject{{"nodes", nodes}, {"previous", nodes}}}};
  fixture.reducer.onMessage(fixture.now, "s1", update);
  fixture.now += 2000;
  REQUIRE_FALSE(fixture.reducer.servingLease(fixture.now));
  transport::PeerHeartbeat t;
  t.sentAt = fixture.now;
  t.isReply = true;
  t.hasSnapshot = true;
  t.link = "n2";
  t.revisions = {{"family:desk", 1}, {"zone:z2", 1}};
  t.digest = transport::digestOf(t.revisions);
  t.rosterRevision = 2;
  t.ages = {'\x00', '\x00', '\x28', '\xff', '\x50'};
  fixture.reducer.onMessage(fixture.now + 5, "n2", t);
  CHECK_FALSE(fixture.reducer.servingLease(fixture.now + 5));
  update.entries = {{"zone:z2", 1, QJsonObject{{"evacuated", false}}}};
  fixture.reducer.onMessage(fixture.now + 10, "s1", update);
  CHECK(fixture.reducer.servingLease(fixture.now + 10));
  CHECK(fixture.reducer.servingLease(fixture.now + 1500 - 400));
  CHECK(fixture.reducer.servingLease(fixture.now + 1500 - 800));
  CHECK_FALSE(fixture.reducer.servingLease(fixture.now + 1500 - 399));
  transport::PeerHeartbeat message;
  message.sentAt = 7;
  message.link = "n3";
  message.wantsAges = true;
  dataplane::RouterCommands const c = fixture.reducer.onMessage(fixture.now + 100, "n3", message);
  transport::PeerHeartbeat const* const reply = std::get_if<transport::PeerHeartbeat>(&c.sends.at(0).message);
  REQUIRE(reply != nullptr);
  CHECK(reply->sentAt == 7);
  CHECK(reply->rosterRevision == 2);
  CHECK(reply->ages == std::string{'\x00', '\x0a', '\x32', '\xff', '\x5a'});
}

TEST_CASE("a router that restarts without controllers serves by contact with a majority of the other routers") {
  dataplane::RequestRouter reducer(RouterFixture::self(), {"s1"}, 7);
  reducer.started(1000);
  QJsonArray nodes;
  for (char const* link : {"n1", "n2", "n3", "n4", "n5"}) nodes.append(QJsonObject{{"link", link}});
  transport::ConfigurationUpdate update;
  update.isSnapshot = true;
  update.entries = {{"roster", 2, QJsonObject{{"nodes", nodes}, {"previous", nodes}}}};
  reducer.onMessage(5000, "n2", update);
  transport::PeerHeartbeat t;
  t.sentAt = 5000;
  t.isReply = true;
  t.hasSnapshot = true;
  std::function<bool(char const*)> const servesAfterContact = [&](char const* link) {
    t.link = link;
    reducer.onMessage(5005, link, t);
    return reducer.servingLease(5010);
  };
  CHECK_FALSE(servesAfterContact("n2"));
  CHECK_FALSE(servesAfterContact("n3"));
  CHECK(servesAfterContact("n4"));
  t.sentAt = 7000;
  t.link = "n2";
  reducer.onMessage(7005, "n2", t);
  CHECK_FALSE(reducer.servingLease(7010));
  transport::ServingLeaseGrant c;
  c.requestSentAt = 7000;
  c.hasQuorum = true;
  c.quorumAge = 1400;
  reducer.onMessage(7010, "s1", c);
  CHECK(reducer.servingLease(7100));
  CHECK_FALSE(reducer.servingLease(7101));
  t.link = "n2";
  reducer.onMessage(7200, "n2", t);
  t.link = "n3";
  reducer.onMessage(7200, "n3", t);
  CHECK(reducer.servingLease(7200));
}

TEST_CASE("two controllers get lease requests, the one of the own zone first, and others replace unresponsive ones") {
  dataplane::RequestRouter reducer(RouterFixture::self(), {"s1"}, 7);
  reducer.started(0);
  transport::GossipShuffle shuffle;
  for (char const* link : {"s1", "s2", "s3", "s4", "s5", "s6"}) {
    transport::Contact c;
    c.link = link;
    c.role = transport::controllerRole;
    c.zone = link == std::string("s5") ? "z1" : "z2";
    shuffle.contacts.push_back(c);
  }
  reducer.onMessage(0, "s1", shuffle);
  std::set<std::string> unresponsive;
  std::function<std::set<std::string>(core::Milliseconds)> const round = [&](core::Milliseconds now) {
    std::set<std::string> requested;
    for (transport::Send const& s : reducer.onTimer(now).sends) {
      if (!std::holds_alternative<transport::ServingLeaseRequest>(s.message)) continue;
      requested.insert(s.to);
      if (unresponsive.count(s.to) > 0) continue;
      transport::ServingLeaseGrant c;
      c.requestSentAt = now;
      c.hasQuorum = true;
      reducer.onMessage(now + 5, s.to, c);
    }
    return requested;
  };
  core::Milliseconds now = 1000;
  round(now);
  std::set<std::string> const before = round(now += 300);
  CHECK(before.size() == 2);
  CHECK(before.count("s5") == 1);
  unresponsive = before;
  for (int i = 0; i < 4; ++i) round(now += 300);
  std::set<std::string> const after = round(now += 300);
  CHECK(after.size() == 2);
  CHECK(std::none_of(after.begin(), after.end(), [&](std::string const& s) { return unresponsive.count(s) > 0; }));
}

TEST_CASE("a router requests its first snapshot from its seeds at once, and often until it has one") {
  dataplane::RouterTuning tuning;
  tuning.leaseRequestInterval = 500;
  dataplane::RequestRouter reducer(RouterFixture::self(), {"s1", "s2"}, 7, tuning);
  reducer.started(0);
  std::function<std::size_t(core::Milliseconds, core::Milliseconds)> const countRequests = [&](core::Milliseconds from,
                                                                                               core::Milliseconds to) {
    std::size_t n = 0;
    for (core::Milliseconds t = from; t < to; t += 20)
      for (transport::Send const& s : reducer.onTimer(t).sends) {
        transport::ServingLeaseRequest const* const message = std::get_if<transport::ServingLeaseRequest>(&s.message);
        if (message != nullptr) n += s.to == "s1" || s.to == "s2" ? 1 : 0;
      }
    return n;
  };
  CHECK(countRequests(0, 20) == 2);
  CHECK(countRequests(20, 300) >= 8);
  transport::ConfigurationUpdate update;
  update.number = 1;
  update.isSnapshot = true;
  update.entries = {{"pool:model", 1, RouterFixture::pool(1, "serving")}};
  reducer.onMessage(300, "s1", update);
  countRequests(300, 400);
  CHECK(countRequests(400, 1400) <= 4);
}

TEST_CASE("later attempts that may have reached a replica are executed only within the retry budget") {
  RouterFixture fixture;
  int admitted = 0;
  for (int i = 0; i < 40; ++i) {
    dataplane::Request r;
    r.call = fixture.nextCall++;
    r.instance = "desk.nord";
    r.path = "r";
    r.id = "e" + std::to_string(i);
    r.attempt = 2;
    dataplane::RouterCommands const c = fixture.reducer.onRequest(fixture.now, r);
    if (RouterFixture::find<dataplane::Reject>(c) == nullptr) {
      ++admitted;
      continue;
    }
    CHECK(RouterFixture::find<dataplane::Reject>(c)->notExecuted);
    CHECK(RouterFixture::find<dataplane::Reject>(c)->reachedReplica);
    CHECK(RouterFixture::find<dataplane::Reject>(c)->retryAfter > 0);
  }
  CHECK(admitted <= 4);
}

TEST_CASE("a queued request is replaced by a later attempt with its id, and later attempts do not grow the subset") {
  RouterFixture fixture;
  for (int i = 0; i < 200; ++i) fixture.sendRequest("fill" + std::to_string(i));
  std::size_t const subset = fixture.reducer.subsetSizes("model").front().first;
  std::size_t const queued = fixture.reducer.subsetSizes("model").front().second;
  REQUIRE(queued > 0);
  fixture.sendRequest("echo");
  std::size_t const before = fixture.reducer.subsetSizes("model").front().second;
  for (std::uint64_t a = 2; a < 30; ++a) fixture.sendRequest("echo", a);
  CHECK(fixture.reducer.subsetSizes("model").front().second <= before);
  CHECK(fixture.reducer.subsetSizes("model").front().first == subset);
}

TEST_CASE("the subset starts with and grows by the affinity replica of an arriving prompt") {
  dataplane::RouterTuning tuning;
  tuning.scalerParameters.excessPerReplica = 0.005;
  tuning.scalerParameters.initialLimit = 1;
  tuning.scalerParameters.limitRaiseLatencyRatio = 0.7;
  tuning.scalerParameters.minLimit = 0.05;
  tuning.scalerParameters.limitDecay = 0.9;
  for (std::uint64_t first = 0; first < 20; ++first) {
    std::vector<std::vector<std::string>> addressesByRouter;
    for (char const* link : {"n1", "n2", "n3", "n4"}) {
      transport::Contact self = RouterFixture::self();
      self.link = link;
      dataplane::RouterTuning withoutLease = tuning;
      withoutLease.leaseRequired = false;
      RouterFixture const donor;
      dataplane::RequestRouter reducer(self, {"s1"}, 7, withoutLease);
      reducer.started(0);
      transport::ConfigurationUpdate update;
      update.number = 1;
      update.isSnapshot = true;
      update.entries = {{"pool:model", 1, RouterFixture::pool(1, "serving")},
                        {"family:desk", 1, donor.reducer.configurationValue("family:desk")}};
      reducer.onMessage(0, "s1", update);
      addressesByRouter.emplace_back();
      for (std::uint64_t i = 0; i < 3; ++i) {
        dataplane::Request r;
        r.call = i + 1;
        r.instance = "desk.nord";
        r.path = "a";
        r.segments = {{first * 100 + i, 5000}, {first * 100 + i + 50, 300}};
        dataplane::RouterCommands const c = reducer.onRequest(10, r);
        REQUIRE(RouterFixture::find<dataplane::Connect>(c) != nullptr);
        addressesByRouter.back().push_back(RouterFixture::find<dataplane::Connect>(c)->address);
        reducer.onConnected(10, r.call);
      }
    }
    for (std::vector<std::string> const& addresses : addressesByRouter) CHECK(addresses == addressesByRouter.front());
  }
}

TEST_CASE("a burst of requests of one instance leaves capacity for another") {
  RouterFixture fixture;
  for (int i = 0; i < 300; ++i) fixture.sendRequest("crowd" + std::to_string(i));
  dataplane::RouterCommands const c = fixture.sendRequest("other", 1, "desk.sued");
  CHECK(RouterFixture::find<dataplane::Connect>(c) != nullptr);
}

TEST_CASE("a stream without progress is aborted after the idle timeout") {
  RouterFixture fixture;
  fixture.sendRequest("x");
  fixture.reducer.onConnected(fixture.now, 1);
  fixture.reducer.onFirstByte(fixture.now, 1, true);
  fixture.now += 9000;
  fixture.reducer.onProgress(fixture.now, 1);
  fixture.now += 9000;
  CHECK(RouterFixture::find<dataplane::ResetDownstream>(fixture.reducer.onTimer(fixture.now)) == nullptr);
  fixture.now += 1500;
  CHECK(RouterFixture::find<dataplane::ResetDownstream>(fixture.reducer.onTimer(fixture.now)) != nullptr);
  CHECK(fixture.reducer.pendingCount() == 0);
}

TEST_CASE("a response is forwarded only from one execution, and completed only if the body is complete") {
  dataplane::ResponseStream s;
  s.onConnecting(false);
  SECTION("resumed by the same execution at the same offset") {
    s.onHead({.status = 200, .run = "r1"});
    CHECK(s.onChunk("abc").begin);
    CHECK(s.onEnd(core::BodyEnd::incomplete).ended == dataplane::UpstreamResult::connectionLost);
    s.onConnecting(true);
    CHECK(s.resume().resuming);
    CHECK(s.resume().run == "r1");
    CHECK(s.resume().offset == 3);
    CHECK_FALSE(s.onHead({.status = 206, .run = "r1", .offset = "3"}).ended);
    CHECK_FALSE(s.onChunk("d").begin);
    CHECK(s.onEnd(core::BodyEnd::framed).finish);
  }
  SECTION("not resumed by another execution, offset or status") {
    s.onHead({.status = 200, .run = "r1"});
    s.onChunk("abc");
    s.onEnd(core::BodyEnd::incomplete);
    s.onConnecting(true);
    int const status = GENERATE(206, 200);
    std::string const run = GENERATE("r1", "r2", "");
    std::string const offset = GENERATE("3", "2", "");
    bool const same = status == 206 && run == "r1" && offset == "3";
    CHECK((s.onHead({.status = status, .run = run, .offset = offset}).ended ==
           dataplane::UpstreamResult::differentExecution) == !same);
  }
  SECTION("a body that is shorter or longer than the declared length ends the response as connectionLost") {
    s.onHead({200, {}, 4});
    CHECK_FALSE(s.onChunk("abc").ended);
    SECTION("shorter") {
      CHECK(s.onEnd(core::BodyEnd::framed).ended == dataplane::UpstreamResult::connectionLost);
    }
    SECTION("longer") {
      dataplane::StreamSteps const longer = s.onChunk("de");
      CHECK(longer.ended == dataplane::UpstreamResult::connectionLost);
      CHECK(longer.chunk.empty());
    }
  }
  SECTION("an invalid status ends the response before a byte is forwarded") {
    CHECK(s.onHead({700, {}, 3}).ended == dataplane::UpstreamResult::connectionLost);
    CHECK(s.onChunk("abc").chunk.empty());
  }
  SECTION("nothing is forwarded after the end") {
    s.onHead({200, {}, -1});
    s.onChunk("a");
    s.onEnd(core::BodyEnd::incomplete);
    CHECK(s.onChunk("b").chunk.empty());
    CHECK_FALSE(s.onEnd(core::BodyEnd::framed).finish);
  }
}

TEST_CASE("messages of valid types with random values violate no invariant and grant no serving lease") {
  core::RandomGenerator rng(17);
  std::vector<std::string> const names{
      "n1",          "n2",      "s1",    "m1", "roster", "cohort",           "pool:model",
      "family:desk", "zone:z1", "model", "x",  "",       "model|10.0.0.1:80"};
  for (int round = 0; round < 40; ++round) {
    RouterFixture fixture;
    for (int i = 0; i < 500; ++i) {
      fixture.now += static_cast<core::Milliseconds>(rng.below(60));
      std::string const from = names[rng.below(names.size())];
      fixture.reducer.onMessage(
          fixture.now, from,
          transport::randomMessage(rng, names, fixture.now, rng.below(std::variant_size_v<transport::Message>)));
      if (i % 5 == 0) fixture.sendRequest("f" + std::to_string(i), rng.below(3));
      if (i % 7 == 0) fixture.reducer.onConnected(fixture.now, rng.below(fixture.nextCall));
      if (i % 9 == 0) fixture.reducer.onTimer(fixture.now);
    }
  }
  RouterFixture fixture;
  fixture.now += 60000;
  transport::ServingLeaseGrant c;
  c.requestSentAt = fixture.now + 3600000;
  c.hasQuorum = true;
  fixture.reducer.onMessage(fixture.now, "s1", c);
  CHECK_FALSE(fixture.reducer.servingLease(fixture.now + 10));
}

TEST_CASE("removed replicas, instances and peers are freed") {
  RouterFixture fixture;
  for (std::uint64_t g = 2; g < 400; ++g) {
    std::string const n = std::to_string(g);
    transport::ConfigurationUpdate update;
    QJsonObject pool = core::parseJson(R"({"generation":)" + n + R"(,"replicas":[{"address":"10.1.0.1:)" + n +
                                       R"(","zone":"z1","state":"serving"}]})")
                           .toObject();
    QJsonObject family =
        core::parseJson(
            R"({"template":{"stamp":1,"spec":{"paths":[{"path":"a","pool":"model","class":"short"}]}},"instances":{"i)" +
            n + R"(":{"stamp":1,"spec":{}}}})")
            .toObject();
    update.entries = {{"pool:model", g, pool}, {"family:desk", g, family}};
    fixture.reducer.onMessage(fixture.now, "s1", update);
    fixture.grantLease();
    dataplane::RouterCommands const c = fixture.sendRequest("q" + n, 1, "desk.i" + n);
    REQUIRE(RouterFixture::find<dataplane::Connect>(c) != nullptr);
    fixture.reducer.onConnected(fixture.now, fixture.nextCall - 1);
    fixture.reducer.onFirstByte(fixture.now, fixture.nextCall - 1, true);
    fixture.reducer.onUpstreamFinished(fixture.now, fixture.nextCall - 1, dataplane::UpstreamResult::complete);
    transport::PeerHeartbeat heartbeat;
    heartbeat.isReply = heartbeat.hasSnapshot = true;
    heartbeat.link = "node" + n;
    heartbeat.sentAt = fixture.now;
    fixture.reducer.onMessage(fixture.now, heartbeat.link, heartbeat);
    fixture.now += 1000;
    fixture.reducer.onTimer(fixture.now);
  }
  fixture.now += 70000;
  fixture.reducer.onTimer(fixture.now);
  fixture.now += 11000;
  fixture.reducer.onTimer(fixture.now);
  dataplane::RouterUsage const usage = fixture.reducer.usage();
  CHECK(usage.replicas <= 8);
  CHECK(usage.instances <= 8);
  CHECK(usage.queues <= 4);
  CHECK(usage.contacts <= 8);
}

TEST_CASE("ids from queries of other routers are removed beyond the maximum, even without requests of own callers") {
  dataplane::RouterTuning tuning;
  tuning.maxRequestIds = 50;
  RouterFixture fixture(tuning);
  for (std::uint64_t i = 0; i < 300; ++i)
    fixture.reducer.onMessage(fixture.now, "n2",
                              transport::RequestIdQuery{i, "desk.nord|" + std::to_string(i), 0, 0, "n2#1"});
  fixture.now += 11000;
  fixture.reducer.onTimer(fixture.now);
  CHECK(fixture.reducer.usage().ids <= 50);
}

namespace {

/// A router with three instances on one pool and, for each instance, a reference scaler that is evaluated ten times a
/// second. The router evaluates idle queues less often but must come to the same results.
struct ReferenceScalers {
  static constexpr std::uint64_t seed = 7;
  dataplane::RouterTuning tuning;
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t revision = 0;
  std::set<int> replicas;
  std::map<std::string, corkward::scaling::Scaler> scalers;
  struct Call {
    std::string instance;
    core::NameIndex replica = 0;
    core::Milliseconds dispatchedAt = 0;
  };
  std::map<std::uint64_t, Call> inProgress;

  static dataplane::RouterTuning tuningWithoutLease() {
    dataplane::RouterTuning t;
    t.leaseRequired = false;
    t.startupGracePeriod = 0;
    t.scalerParameters.limitDecay = 0.9;
    t.scalerParameters.limitRaiseLatencyRatio = 0.7;
    t.scalerParameters.excessPerReplica = 0.5;
    return t;
  }
  ReferenceScalers() : tuning(tuningWithoutLease()), reducer(RouterFixture::self(), {"s1"}, seed, tuning) {
    reducer.started(0);
    sendList({1, 2, 3, 4, 5, 6});
  }
  static std::string address(int replica) { return "10.0.0." + std::to_string(replica) + ":80"; }
  /// Sends an endpoint list with these replicas.
  void sendList(std::set<int> const& serving) {
    replicas = serving;
    QJsonArray out;
    for (int const r : replicas)
      out.append(QJsonObject{{"address", core::toQString(address(r))}, {"zone", "z1"}, {"state", "serving"}});
    transport::ConfigurationUpdate update;
    update.number = ++revision;
    update.isSnapshot = revision == 1;
    if (update.isSnapshot)
      update.entries = {
          {"family:desk", 1,
           core::parseJson(
               R"({"template":{"stamp":1,"spec":{"paths":[{"path":"a","pool":"model","class":"short","aimMs":8000}]}},
                       "instances":{"nord":{"stamp":1,"spec":{}},"sued":{"stamp":1,"spec":{}},"west":{"stamp":1,"spec":{}}}})")
               .toObject()}};
    update.entries.push_back(
        {"pool:model", revision, QJsonObject{{"generation", static_cast<qint64>(revision)}, {"replicas", out}}});
    reducer.onMessage(now, "s1", update);
    setCandidates();
  }
  void setCandidates() {
    std::vector<corkward::scaling::Candidate> all;
    for (int const r : replicas)
      all.push_back({static_cast<core::NameIndex>(r), false, core::stableHash("model|" + address(r))});
    for (std::map<std::string, corkward::scaling::Scaler>::value_type& s : scalers) s.second.setCandidates(all);
  }
  corkward::scaling::Scaler& scaler(std::string const& instance) {
    std::map<std::string, corkward::scaling::Scaler>::iterator it = scalers.find(instance);
    if (it != scalers.end()) return it->second;
    it = scalers
             .emplace(instance,
                      corkward::scaling::Scaler(seed ^ core::stableHash("n1desk." + instance), tuning.scalerParameters))
             .first;
    setCandidates();
    return it->second;
  }
  void sendRequest(std::string const& instance, std::uint64_t call) {
    dataplane::Request r;
    r.call = call;
    r.instance = "desk." + instance;
    r.path = "a";
    dataplane::RouterCommands const c = reducer.onRequest(now, r);
    dataplane::Connect const* const connect = RouterFixture::find<dataplane::Connect>(c);
    REQUIRE(connect != nullptr);
    core::NameIndex const replica = static_cast<core::NameIndex>(connect->address[7] - '0');
    corkward::scaling::Scaler& s = scaler(instance);
    REQUIRE(s.raiseLimitFor(false));
    s.onSent(now, replica, false);
    s.evaluate(now, 0);
    reducer.onConnected(now, call);
    inProgress[call] = Call{instance, replica, now};
  }
  void endOldest() {
    std::uint64_t const id = inProgress.begin()->first;
    Call const call = inProgress.begin()->second;
    inProgress.erase(inProgress.begin());
    corkward::scaling::Scaler& s = scaler(call.instance);
    reducer.onFirstByte(now, id, true);
    s.onFirstByte(now, call.replica, now - call.dispatchedAt, 8000);
    reducer.onUpstreamFinished(now, id, dataplane::UpstreamResult::complete);
    s.onEnded(call.replica, false);
    s.evaluate(now, 0);
  }
  /// Checks that subset size, limit and requests in flight of each queue in the metrics equal those of its scaler.
  void compare() const {
    std::string const metrics = reducer.metrics(now);
    for (std::map<std::string, corkward::scaling::Scaler>::value_type const& s : scalers) {
      std::string const labels = "{instance=\"desk." + s.first + "\",pool=\"model\"} ";
      for (std::string const& line :
           {"corkward_nacelle_part" + labels + std::to_string(s.second.subset().size()) + "\n",
            "corkward_nacelle_cap" + labels + std::to_string(s.second.cap()) + "\n",
            "corkward_nacelle_in_flight" + labels + std::to_string(s.second.inFlight()) + "\n"}) {
        CAPTURE(now, line, metrics);
        REQUIRE(metrics.find(line) != std::string::npos);
      }
    }
  }
};

}  // namespace

TEST_CASE("idle queues are not evaluated but change as if they were") {
  ReferenceScalers reference;
  core::RandomGenerator rng(3);
  std::uint64_t next = 1;
  std::size_t largestSubset = 0;
  int allIdle = 0;
  for (int round = 0; round < 12000; ++round, reference.now += 50) {
    char const* const instances[] = {"nord", "sued", "west"};
    for (std::size_t t = 0; t < 3; ++t) {
      bool const busy = round / 400 % 4 == static_cast<int>(t);
      if (busy && reference.inProgress.size() < 12 && rng.chance(0.6)) reference.sendRequest(instances[t], next++);
    }
    while (!reference.inProgress.empty() && rng.chance(0.4)) reference.endOldest();
    if (rng.chance(0.005)) {
      std::set<int> serving;
      for (int r = 1; r <= 6; ++r)
        if (r == 1 || rng.chance(0.6)) serving.insert(r);
      reference.sendList(serving);
    }
    reference.reducer.onTimer(reference.now);
    if (round % 2 == 0) {
      reference.setCandidates();
      for (std::map<std::string, corkward::scaling::Scaler>::value_type& s : reference.scalers)
        s.second.evaluate(reference.now, 0);
    }
    reference.compare();
    for (std::map<std::string, corkward::scaling::Scaler>::value_type const& s : reference.scalers)
      largestSubset = std::max(largestSubset, s.second.subset().size());
    allIdle += reference.scalers.size() == 3 && reference.reducer.usage().activeQueues == 0 ? 1 : 0;
  }
  CHECK(largestSubset >= 3);
  CHECK(reference.scalers.size() == 3);
  CHECK(allIdle > 200);
}

TEST_CASE("a router requests contact ages of its neighbours only if controllers stop replying, not if they are slow") {
  RouterFixture fixture;
  std::vector<std::pair<core::Milliseconds, transport::ServingLeaseGrant>> inTransit;
  std::size_t earlyRequests = 0;
  core::Milliseconds firstRequestAt = -1;
  core::Milliseconds const unresponsiveFrom = fixture.now + 20000;
  for (core::Milliseconds const until = unresponsiveFrom + 2000; fixture.now < until; fixture.now += 20) {
    std::erase_if(inTransit, [&](std::pair<core::Milliseconds, transport::ServingLeaseGrant> const& u) {
      if (u.first > fixture.now) return false;
      fixture.reducer.onMessage(fixture.now, "s1", u.second);
      return true;
    });
    for (transport::Send const& s : fixture.reducer.onTimer(fixture.now).sends) {
      if (transport::ServingLeaseRequest const* const message = std::get_if<transport::ServingLeaseRequest>(&s.message);
          message != nullptr && fixture.now < unresponsiveFrom) {
        transport::ServingLeaseGrant c;
        c.requestSentAt = message->sentAt;
        c.hasQuorum = true;
        c.quorumAge = 190;
        c.digest = message->digest;
        inTransit.emplace_back(fixture.now + 40, c);
      }
      transport::PeerHeartbeat const* const heartbeat = std::get_if<transport::PeerHeartbeat>(&s.message);
      if (heartbeat == nullptr || !heartbeat->wantsAges) continue;
      earlyRequests += fixture.now < unresponsiveFrom ? 1 : 0;
      if (fixture.now >= unresponsiveFrom && firstRequestAt < 0) firstRequestAt = fixture.now;
    }
  }
  CHECK(earlyRequests == 0);
  REQUIRE(firstRequestAt >= 0);
  CHECK(firstRequestAt - unresponsiveFrom <= 700);
}
