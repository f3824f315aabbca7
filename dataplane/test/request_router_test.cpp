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

/// One router with a confirmed snapshot, three replicas of one pool and two instances.
struct Rig {
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t next = 1;

  static transport::Contact self() {
    transport::Contact c;
    c.link = "n1";
    c.role = transport::routerRole;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }
  explicit Rig(dataplane::RouterTuning tuning = {}, std::uint64_t rosterRevision = 1)
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
    confirm();
  }
  static QJsonObject roster(bool before) {
    return core::parseJson(R"({"nodes":[{"link":"n1"},{"link":"n2"},{"link":"n3"}],"previous":[)" +
                           std::string(before ? R"({"link":"n1"},)" : "") + R"({"link":"n2"},{"link":"n3"}]})")
        .toObject();
  }
  static QJsonObject pool(int generation, char const* state) {
    return core::parseJson(
               R"({"generation":)" + std::to_string(generation) +
               R"(,"replicas":[{"address":"10.0.0.1:80","zone":"z1","state":")" + state +
               R"("},{"address":"10.0.0.2:80","zone":"z2","state":"serving"},{"address":"10.0.0.3:80","zone":"z2","state":"serving"}]})")
        .toObject();
  }
  /// A list of that generation which serves all but one.
  static transport::EndpointRemovalHint without(std::uint64_t generation, std::string const& gone) {
    transport::EndpointRemovalHint h{"model", generation, {}, {}};
    for (char const* a : {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"})
      if (a != gone) h.serving.push_back(a);
    return h;
  }
  void confirm() {
    transport::ServingLeaseGrant c;
    c.requestSentAt = now;
    c.hasQuorum = true;
    reducer.onMessage(now, "s1", c);
  }
  dataplane::RouterCommands sendRequest(std::string const& id, std::uint64_t attempt = 1,
                                        std::string const& instance = "desk.nord", std::string const& path = "a") {
    dataplane::Request r;
    r.call = next++;
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

TEST_CASE("a request is handed over with the time that its caller has left") {
  Rig rig;
  dataplane::Request request;
  request.call = rig.next++;
  request.instance = "desk.nord";
  request.path = "a";
  request.id = "waited";
  request.deadline = 1000;
  request.readDuration = 150;
  REQUIRE(Rig::find<dataplane::Connect>(rig.reducer.onRequest(rig.now, request)) != nullptr);
  rig.now += 400;
  rig.confirm();
  dataplane::RouterCommands const connected = rig.reducer.onConnected(rig.now, request.call);
  dataplane::SendRequest const* const handOver = Rig::find<dataplane::SendRequest>(connected);
  REQUIRE(handOver != nullptr);
  CHECK(handOver->remainingMs == 450);
}

TEST_CASE("a node that leaves takes what it can finish, and nothing that may be cut") {
  dataplane::RouterTuning tuning;
  tuning.drainAcceptPeriod = 2500;
  tuning.drainTimeout = 7000;
  Rig rig(tuning);
  std::function<int(dataplane::RouterCommands const&)> const status = [](dataplane::RouterCommands const& commands) {
    for (dataplane::CallCommand const& c : commands.calls)
      if (dataplane::Reject const* const reject = std::get_if<dataplane::Reject>(&c)) return reject->status;
    return 0;
  };
  // Requests of the path take 5 s; those of the other one have not been seen.
  for (int i = 0; i < 16; ++i) {
    rig.sendRequest("long-" + std::to_string(i), 1, "desk.nord", "a");
    dataplane::CallId const served = rig.next - 1;
    rig.reducer.onConnected(rig.now, served);
    rig.reducer.onFirstByte(rig.now, served, true);
    rig.now += 5000;
    rig.confirm();
    rig.reducer.onUpstreamFinished(rig.now, served, dataplane::UpstreamResult::complete);
  }
  rig.reducer.drain(rig.now);
  rig.now += 500;
  rig.confirm();
  CHECK(status(rig.sendRequest("fits", 1, "desk.nord", "a")) == 0);
  rig.now += 1000;
  rig.confirm();
  dataplane::RouterCommands const refused = rig.sendRequest("too-long", 1, "desk.nord", "a");
  CHECK(status(refused) == 503);
  REQUIRE(refused.failures.size() == 1);
  CHECK(refused.failures[0].fields.at("reason") == "leaving before it could end");
  CHECK(status(rig.sendRequest("unknown", 1, "desk.nord", "r")) == 503);
}

TEST_CASE("a node without descriptors turns the caller away at once and holds nothing against the replica") {
  Rig rig;
  dataplane::RouterCommands const asked = rig.sendRequest("r1");
  dataplane::CallId const call = rig.next - 1;
  std::function<std::string(dataplane::RouterCommands const&)> const address =
      [](dataplane::RouterCommands const& commands) {
        for (dataplane::CallCommand const& c : commands.calls)
          if (dataplane::Connect const* const connect = std::get_if<dataplane::Connect>(&c)) return connect->address;
        return std::string();
      };
  REQUIRE_FALSE(address(asked).empty());
  dataplane::RouterCommands const out = rig.reducer.onLocalConnectFailure(rig.now, call);
  dataplane::Reject const* reject = nullptr;
  for (dataplane::CallCommand const& c : out.calls)
    if (std::get_if<dataplane::Reject>(&c) != nullptr) reject = std::get_if<dataplane::Reject>(&c);
  REQUIRE(reject != nullptr);
  CHECK(reject->status == 503);
  CHECK(reject->notExecuted);
  CHECK(reject->retryAfter > 0);
  CHECK(rig.reducer.pendingCount() == 0);
  REQUIRE(out.failures.size() == 1);
  CHECK(out.failures[0].fields.at("reason") == "this node is out of descriptors");
  CHECK(rig.reducer.metrics(rig.now).find("replica-cooled") == std::string::npos);
}

TEST_CASE("a router whose confirmation has grown old hands nothing over, even on an open connection") {
  Rig rig;
  dataplane::RouterCommands const c = rig.sendRequest("x");
  REQUIRE(Rig::find<dataplane::Connect>(c) != nullptr);
  rig.now += 1501;
  dataplane::RouterCommands const late = rig.reducer.onConnected(rig.now, 1);
  CHECK(Rig::find<dataplane::SendRequest>(late) == nullptr);
  REQUIRE(Rig::find<dataplane::Reject>(late) != nullptr);
  CHECK(Rig::find<dataplane::Reject>(late)->notExecuted);
  CHECK(Rig::find<dataplane::Reject>(late)->retryAfter > 0);
  CHECK(Rig::find<dataplane::Reject>(rig.sendRequest("y")) != nullptr);
}

TEST_CASE("a confirmation that knows more than this router does not count") {
  Rig rig;
  rig.now += 1000;
  transport::ServingLeaseGrant c;
  c.requestSentAt = rig.now;
  c.hasQuorum = true;
  c.revisions = {{"family:desk", 2}};
  c.digest = transport::digestOf(c.revisions);
  rig.reducer.onMessage(rig.now, "s1", c);
  rig.now += 600;
  CHECK_FALSE(rig.reducer.servingLease(rig.now));
  transport::ConfigurationUpdate update;
  update.number = 2;
  update.entries = {{"family:desk", 2, rig.reducer.configurationValue("family:desk")}};
  rig.reducer.onMessage(rig.now, "s1", update);
  CHECK(rig.reducer.servingLease(rig.now));
}

TEST_CASE("a router that is not on its roster does not serve: nobody would ask it about earlier attempts") {
  Rig rig;
  REQUIRE(rig.reducer.servingLease(rig.now));
  transport::ConfigurationUpdate update;
  update.entries = {
      {"roster", 2, core::parseJson(R"({"nodes":[{"link":"n2"},{"link":"n3"},{"link":"n4"}]})").toObject()}};
  rig.reducer.onMessage(rig.now, "s1", update);
  rig.confirm();
  CHECK_FALSE(rig.reducer.servingLease(rig.now));
}

TEST_CASE("contacts with a majority of the roster are standing enough") {
  Rig rig;
  rig.now += 2000;
  CHECK_FALSE(rig.reducer.servingLease(rig.now));
  transport::PeerHeartbeat t;
  t.sentAt = rig.now;
  t.isReply = true;
  t.hasSnapshot = true;
  t.link = "n2";
  t.revisions = {{"family:desk", 1}};
  t.digest = transport::digestOf(t.revisions);
  rig.reducer.onMessage(rig.now + 5, "n2", t);
  CHECK(rig.reducer.servingLease(rig.now + 5));
  CHECK_FALSE(rig.reducer.servingLease(rig.now + 1600));
}

TEST_CASE("a router without a fence serves from its whole snapshot on, with no confirmation, roster or wait") {
  dataplane::RouterTuning tuning;
  tuning.leaseRequired = false;
  Rig rig(tuning);
  rig.reducer.started(rig.now);
  rig.now += 60000;
  CHECK(rig.reducer.servingLease(rig.now));
  CHECK(rig.reducer.ready(rig.now));
  transport::ConfigurationUpdate update;
  update.entries = {{"roster", 2, core::parseJson(R"({"nodes":[{"link":"n2"},{"link":"n3"}]})").toObject()}};
  rig.reducer.onMessage(rig.now, "s1", update);
  CHECK(rig.reducer.ready(rig.now));
  dataplane::RouterCommands const c = rig.sendRequest("x");
  REQUIRE(Rig::find<dataplane::Connect>(c) != nullptr);
  CHECK(Rig::find<dataplane::SendRequest>(rig.reducer.onConnected(rig.now, 1)) != nullptr);
  dataplane::RouterCommands const clock = rig.reducer.onTimer(rig.now);
  CHECK(std::any_of(clock.sends.begin(), clock.sends.end(), [](transport::Send const& s) {
    return std::holds_alternative<transport::ServingLeaseRequest>(s.message);
  }));
  update.entries = {{"zone:z1", 1, QJsonObject{{"evacuated", true}}}};
  rig.reducer.onMessage(rig.now, "s1", update);
  CHECK(rig.reducer.servingLease(rig.now));
  CHECK_FALSE(rig.reducer.ready(rig.now));
  tuning.evacuationFailsReady = false;
  rig.reducer.updateTuning(tuning, {"s1"});
  CHECK(rig.reducer.ready(rig.now));
}

TEST_CASE("a router without a fence is ready at its first whole snapshot, and not without one or without paths") {
  dataplane::RouterTuning tuning;
  tuning.leaseRequired = false;
  dataplane::RequestRouter reducer(Rig::self(), {"s1"}, 7, tuning);
  reducer.started(0);
  CHECK_FALSE(reducer.servingLease(100));
  transport::ConfigurationUpdate update;
  update.number = 1;
  update.isSnapshot = true;
  reducer.onMessage(100, "s1", update);
  CHECK_FALSE(reducer.servingLease(100));
  update.entries = {{"pool:model", 1, Rig::pool(1, "serving")}};
  reducer.onMessage(100, "s1", update);
  CHECK_FALSE(reducer.servingLease(100));
  CHECK_FALSE(reducer.ready(100));
  dataplane::Request early;
  early.call = 1;
  early.instance = "desk.nord";
  early.path = "a";
  dataplane::RouterCommands const rejected = reducer.onRequest(100, early);
  REQUIRE(Rig::find<dataplane::Reject>(rejected) != nullptr);
  CHECK(Rig::find<dataplane::Reject>(rejected)->status == 503);
  CHECK(Rig::find<dataplane::Reject>(rejected)->notExecuted);
  Rig const donor;
  update.isSnapshot = false;
  update.entries = {{"family:desk", 1, donor.reducer.configurationValue("family:desk")}};
  reducer.onMessage(110, "s1", update);
  CHECK(reducer.ready(110));
  dataplane::RequestRouter other(Rig::self(), {"s1"}, 7, tuning);
  other.started(0);
  update.number = 0;
  update.isSnapshot = true;
  update.entries = {
      {"pool:model", 1, Rig::pool(1, "serving")},
      {"family:desk", 1, donor.reducer.configurationValue("family:desk")},
      {"roster", 2, core::parseJson(R"({"nodes":[{"link":"n1"},{"link":"n2"},{"link":"n3"}]})").toObject()}};
  other.onMessage(100, "n2", update);
  CHECK_FALSE(other.ready(100));
  transport::PeerHeartbeat echo;
  echo.sentAt = 110;
  echo.isReply = true;
  echo.hasSnapshot = true;
  for (transport::CommittedEntry const& item : update.entries) echo.digest.replace(item.key, 0, item.revision);
  for (char const* const link : {"n2", "n3"}) {
    CHECK_FALSE(other.ready(120));
    echo.link = link;
    other.onMessage(120, link, echo);
  }
  CHECK(other.ready(120));
}

TEST_CASE("older news never undoes newer") {
  Rig rig;
  transport::ConfigurationUpdate update;
  update.entries = {{"zone:z2", 5, core::parseJson(R"({"evacuated":true})").toObject()}};
  rig.reducer.onMessage(rig.now, "s1", update);
  update.entries = {{"zone:z2", 4, core::parseJson(R"({"evacuated":false})").toObject()}};
  rig.reducer.onMessage(rig.now, "s1", update);
  for (int i = 0; i < 3; ++i) {
    dataplane::RouterCommands const c = rig.sendRequest("x" + std::to_string(i));
    REQUIRE(Rig::find<dataplane::Connect>(c) != nullptr);
    CHECK(Rig::find<dataplane::Connect>(c)->address == "10.0.0.1:80");
  }
}

TEST_CASE("a replica that is shown leaving between connect and hand-over is not reached") {
  Rig rig;
  dataplane::RouterCommands const c = rig.sendRequest("x");
  REQUIRE(Rig::find<dataplane::Connect>(c) != nullptr);
  std::string const address = Rig::find<dataplane::Connect>(c)->address;
  rig.reducer.onMessage(rig.now, "s1", Rig::without(2, address));
  dataplane::RouterCommands const after = rig.reducer.onConnected(rig.now, 1);
  CHECK(Rig::find<dataplane::SendRequest>(after) == nullptr);
  REQUIRE(Rig::find<dataplane::Connect>(after) != nullptr);
  CHECK(Rig::find<dataplane::Connect>(after)->address != address);
}

TEST_CASE("a list told to the node takes away at once, holds until a list as new is in force, and adds nothing") {
  Rig rig;
  std::function<std::set<std::string>()> const used = [&] {
    std::set<std::string> out;
    for (int i = 0; i < 40; ++i) {
      dataplane::RouterCommands const c = rig.sendRequest("u" + std::to_string(rig.next));
      if (dataplane::Connect const* const m = Rig::find<dataplane::Connect>(c)) out.insert(m->address);
      rig.reducer.onCallerDisconnected(rig.now, rig.next - 1);
    }
    return out;
  };
  std::function<dataplane::EndpointListResponse(std::string const&)> const tell = [&](std::string const& body) {
    return *Rig::find<dataplane::EndpointListResponse>(rig.reducer.onEndpointList(rig.now, 1, "model", body));
  };
  std::set<std::string> const before = used();
  REQUIRE_FALSE(before.empty());
  std::string const address = *before.begin();
  QJsonArray rest;
  for (char const* a : {"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"})
    if (a != address) rest.append(QJsonObject{{"address", a}, {"zone", "z1"}, {"state", "serving"}});
  dataplane::EndpointListResponse const pending =
      tell(core::jsonText(QJsonObject{{"generation", 3}, {"replicas", rest}}));
  CHECK(pending.status == 504);
  CHECK(pending.body.value("pending").toBool());
  for (int i = 0; i < 4; ++i) {
    rig.now += 20000;
    rig.confirm();
    rig.reducer.onTimer(rig.now);
    CHECK(used().count(address) == 0);
    CHECK(used().count("10.0.0.9:80") == 0);
  }
  CHECK(tell(core::jsonText(QJsonObject{{"generation", 2}, {"replicas", rest}})).status == 409);
  CHECK(tell("{").status == 400);
  CHECK(tell(R"({"generation":-4,"replicas":[]})").status == 422);
  transport::ConfigurationUpdate update;
  update.entries = {{"pool:model", 2, Rig::pool(2, "serving")}};
  rig.reducer.onMessage(rig.now, "s1", update);
  CHECK(used().count(address) == 0);
  update.entries = {{"pool:model", 3, Rig::pool(3, "serving")}};
  rig.reducer.onMessage(rig.now, "s1", update);
  CHECK(tell(core::jsonText(Rig::pool(3, "serving"))).status == 200);
  rig.reducer.onMessage(rig.now, "s1", transport::EndpointRemovalHint{"model", 3, {}, {}});
  CHECK_FALSE(used().empty());
  rig.reducer.onMessage(rig.now, "s1", transport::EndpointRemovalHint{"model", 4, {}, {}});
  CHECK(used().empty());
}

TEST_CASE("an outcome that was lost is unknown, and its id does not run again") {
  Rig rig;
  rig.sendRequest("x");
  REQUIRE(Rig::find<dataplane::SendRequest>(rig.reducer.onConnected(rig.now, 1)) != nullptr);
  dataplane::RouterCommands const lost =
      rig.reducer.onUpstreamFinished(rig.now, 1, dataplane::UpstreamResult::connectionLost);
  REQUIRE(Rig::find<dataplane::Reject>(lost) != nullptr);
  CHECK_FALSE(Rig::find<dataplane::Reject>(lost)->notExecuted);
  CHECK(Rig::find<dataplane::Reject>(lost)->status == 502);
  CHECK(Rig::find<dataplane::Reject>(rig.sendRequest("x", 2))->status == 409);
}

namespace {

/// Answers every question about an id as the given nodes would.
dataplane::RouterCommands echo(Rig& rig, dataplane::RouterCommands const& asked, std::string const& link, bool clear,
                               bool known = false, std::vector<std::string> claimants = {}) {
  for (transport::Send const& s : asked.sends)
    if (transport::RequestIdQuery const* const m = std::get_if<transport::RequestIdQuery>(&s.message);
        m != nullptr && s.to == link)
      return rig.reducer.onMessage(
          rig.now, link, transport::RequestIdReply{m->token, link, clear, known, false, 70000, std::move(claimants)});
  return {};
}

dataplane::Request later(Rig& rig, std::uint64_t attempt, core::Milliseconds age) {
  dataplane::Request r;
  r.call = rig.next++;
  r.instance = "desk.nord";
  r.path = "a";
  r.id = "x";
  r.attempt = attempt;
  r.ageMs = age;
  return r;
}

}  // namespace

TEST_CASE("an id without attempt numbers runs only when a majority says that it did not run before") {
  Rig rig;
  dataplane::RouterCommands const asked = rig.sendRequest("x", 0);
  CHECK(asked.calls.empty());
  CHECK(Rig::find<dataplane::Connect>(echo(rig, asked, "n2", true)) != nullptr);
  dataplane::RouterCommands const again = rig.sendRequest("y", 0);
  dataplane::RouterCommands const rejected = echo(rig, again, "n2", false);
  REQUIRE(Rig::find<dataplane::Reject>(rejected) != nullptr);
  CHECK_FALSE(Rig::find<dataplane::Reject>(rejected)->notExecuted);
  SECTION("one that another node had asked for waits for that node's word") {
    dataplane::RouterCommands const third = rig.sendRequest("z", 0);
    CHECK(echo(rig, third, "n2", true, true, {"n3"}).calls.empty());
    rig.now += 600;
    dataplane::RouterCommands const late = rig.reducer.onTimer(rig.now);
    REQUIRE(Rig::find<dataplane::Reject>(late) != nullptr);
    CHECK(Rig::find<dataplane::Reject>(late)->status == 409);
  }
  SECTION("and runs when that node says that it did not run there") {
    dataplane::RouterCommands const third = rig.sendRequest("z", 0);
    CHECK(echo(rig, third, "n2", true, true, {"n3"}).calls.empty());
    CHECK(Rig::find<dataplane::Connect>(echo(rig, third, "n3", true, true)) != nullptr);
  }
}

TEST_CASE("a later attempt runs only within what everybody remembers, and needs its age") {
  Rig rig;
  dataplane::RouterCommands const noAge = rig.reducer.onRequest(rig.now, later(rig, 2, -1));
  REQUIRE(Rig::find<dataplane::Reject>(noAge) != nullptr);
  CHECK(Rig::find<dataplane::Reject>(noAge)->status == 409);
  dataplane::RouterCommands const tooOld = rig.reducer.onRequest(rig.now, later(rig, 2, 80000));
  REQUIRE(Rig::find<dataplane::Reject>(tooOld) != nullptr);
  CHECK(Rig::find<dataplane::Reject>(tooOld)->status == 409);
  for (int i = 0; i < 12; ++i) rig.reducer.onTimer(rig.now += 200);
  rig.confirm();
  dataplane::RouterCommands const within = rig.reducer.onRequest(rig.now, later(rig, 2, 5000));
  CHECK(within.calls.empty());
  echo(rig, within, "n2", true);
  CHECK(Rig::find<dataplane::Connect>(echo(rig, within, "n3", true)) != nullptr);
  SECTION("a machine that slept adds its sleep to the age that is said") {
    rig.reducer.onTimer(rig.now);
    rig.now += 60000;
    rig.confirm();
    dataplane::RouterCommands const woken = rig.reducer.onRequest(rig.now, later(rig, 4, 70000));
    REQUIRE(Rig::find<dataplane::Reject>(woken) != nullptr);
    CHECK(Rig::find<dataplane::Reject>(woken)->status == 409);
  }
}

TEST_CASE("a trimmed memory of ids vouches only for what came after the trimming") {
  dataplane::RouterTuning tuning;
  tuning.maxRequestIds = 50;
  Rig rig(tuning);
  for (int i = 0; i < 60; ++i) {
    rig.sendRequest("i" + std::to_string(i));
    rig.reducer.onCallerDisconnected(rig.now, rig.next - 1);
  }
  rig.now += 1000;
  rig.confirm();
  dataplane::RouterCommands const c = rig.reducer.onRequest(rig.now, later(rig, 2, 5000));
  REQUIRE(Rig::find<dataplane::Reject>(c) != nullptr);
  CHECK(Rig::find<dataplane::Reject>(c)->status == 409);
}

TEST_CASE("a node that is new on the roster serves once control says that the roster is in force") {
  Rig fresh(dataplane::RouterTuning{}, 2);
  REQUIRE_FALSE(fresh.reducer.servingLease(fresh.now));
  std::function<void(std::uint64_t)> const inForce = [&](std::uint64_t revision) {
    transport::ServingLeaseGrant c;
    c.requestSentAt = fresh.now;
    c.hasQuorum = true;
    c.rosterRevision = revision;
    fresh.reducer.onMessage(fresh.now, "s1", c);
    fresh.reducer.onTimer(fresh.now);
  };
  inForce(0);
  CHECK_FALSE(fresh.reducer.servingLease(fresh.now));
  fresh.now += 3700;
  inForce(1);
  CHECK_FALSE(fresh.reducer.servingLease(fresh.now));
  inForce(2);
  CHECK(fresh.reducer.servingLease(fresh.now));
}

TEST_CASE("a confirmation by digest counts when the digest is one that this router has or had") {
  Rig rig;
  transport::Revisions const first{{"cohort", 1}, {"family:desk", 1}, {"pool:model", 1}, {"roster", 1}};
  std::function<bool(transport::Digest const&, transport::Revisions const&)> const counts =
      [&](transport::Digest const& digest, transport::Revisions const& revisions) {
        rig.now += 2000;
        transport::ServingLeaseGrant c;
        c.requestSentAt = rig.now;
        c.hasQuorum = true;
        c.digest = digest;
        c.revisions = revisions;
        rig.reducer.onMessage(rig.now, "s1", c);
        return rig.reducer.servingLease(rig.now);
      };
  CHECK(counts(transport::digestOf(first), {}));
  transport::Revisions newer = first;
  newer["zone:z2"] = 1;
  CHECK_FALSE(counts(transport::digestOf(newer), {}));
  CHECK_FALSE(counts(transport::digestOf(newer), first));
  transport::ConfigurationUpdate update;
  update.entries = {{"zone:z2", 1, QJsonObject{{"evacuated", true}}}, {"zone:z3", 1, QJsonObject{{"evacuated", true}}}};
  rig.reducer.onMessage(rig.now, "s1", update);
  CHECK(counts(transport::digestOf(first), {}));
  CHECK_FALSE(counts(transport::digestOf(newer), {}));
  CHECK(counts(transport::digestOf(newer), newer));
}

TEST_CASE("ages passed on by a neighbour add up to serving lease, and only by one who knows no more than this router") {
  Rig rig;
  QJsonArray nodes;
  for (char const* link : {"n1", "n2", "n3", "n4", "n5"}) nodes.append(QJsonObject{{"link", link}, {"zone", "z1"}});
  transport::ConfigurationUpdate update;
  update.entries = {{"roster", 2, QJsonObject{{"nodes", nodes}, {"previous", nodes}}}};
  rig.reducer.onMessage(rig.now, "s1", update);
  rig.now += 2000;
  REQUIRE_FALSE(rig.reducer.servingLease(rig.now));
  transport::PeerHeartbeat t;
  t.sentAt = rig.now;
  t.isReply = true;
  t.hasSnapshot = true;
  t.link = "n2";
  t.revisions = {{"family:desk", 1}, {"zone:z2", 1}};
  t.digest = transport::digestOf(t.revisions);
  t.rosterRevision = 2;
  t.ages = {'\x00', '\x00', '\x28', '\xff', '\x50'};
  rig.reducer.onMessage(rig.now + 5, "n2", t);
  CHECK_FALSE(rig.reducer.servingLease(rig.now + 5));
  update.entries = {{"zone:z2", 1, QJsonObject{{"evacuated", false}}}};
  rig.reducer.onMessage(rig.now + 10, "s1", update);
  CHECK(rig.reducer.servingLease(rig.now + 10));
  CHECK(rig.reducer.servingLease(rig.now + 1500 - 400));
  CHECK(rig.reducer.servingLease(rig.now + 1500 - 800));
  CHECK_FALSE(rig.reducer.servingLease(rig.now + 1500 - 399));
  transport::PeerHeartbeat message;
  message.sentAt = 7;
  message.link = "n3";
  message.wantsAges = true;
  dataplane::RouterCommands const c = rig.reducer.onMessage(rig.now + 100, "n3", message);
  transport::PeerHeartbeat const* const echo = std::get_if<transport::PeerHeartbeat>(&c.sends.at(0).message);
  REQUIRE(echo != nullptr);
  CHECK(echo->sentAt == 7);
  CHECK(echo->rosterRevision == 2);
  CHECK(echo->ages == std::string{'\x00', '\x0a', '\x32', '\xff', '\x5a'});
}

TEST_CASE(
    "a node that restarts without control stands on a majority of others, itself not counted until control vouches for "
    "it") {
  dataplane::RequestRouter reducer(Rig::self(), {"s1"}, 7);
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
  std::function<bool(char const*)> const standsWith = [&](char const* link) {
    t.link = link;
    reducer.onMessage(5005, link, t);
    return reducer.servingLease(5010);
  };
  CHECK_FALSE(standsWith("n2"));
  CHECK_FALSE(standsWith("n3"));
  CHECK(standsWith("n4"));
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

TEST_CASE("two controllers are asked, the own zone's first, and others in place of silent ones") {
  dataplane::RequestRouter reducer(Rig::self(), {"s1"}, 7);
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
  std::set<std::string> dead;
  std::function<std::set<std::string>(core::Milliseconds)> const round = [&](core::Milliseconds now) {
    std::set<std::string> asked;
    for (transport::Send const& s : reducer.onTimer(now).sends) {
      if (!std::holds_alternative<transport::ServingLeaseRequest>(s.message)) continue;
      asked.insert(s.to);
      if (dead.count(s.to) > 0) continue;
      transport::ServingLeaseGrant c;
      c.requestSentAt = now;
      c.hasQuorum = true;
      reducer.onMessage(now + 5, s.to, c);
    }
    return asked;
  };
  core::Milliseconds now = 1000;
  round(now);
  std::set<std::string> const before = round(now += 300);
  CHECK(before.size() == 2);
  CHECK(before.count("s5") == 1);
  dead = before;
  for (int i = 0; i < 4; ++i) round(now += 300);
  std::set<std::string> const after = round(now += 300);
  CHECK(after.size() == 2);
  CHECK(std::none_of(after.begin(), after.end(), [&](std::string const& s) { return dead.count(s) > 0; }));
}

TEST_CASE("a router asks its seeds for its first snapshot at once, and soon again until it has one") {
  dataplane::RouterTuning tuning;
  tuning.leaseRequestInterval = 500;
  dataplane::RequestRouter reducer(Rig::self(), {"s1", "s2"}, 7, tuning);
  reducer.started(0);
  std::function<std::size_t(core::Milliseconds, core::Milliseconds)> const asks = [&](core::Milliseconds from,
                                                                                      core::Milliseconds to) {
    std::size_t n = 0;
    for (core::Milliseconds t = from; t < to; t += 20)
      for (transport::Send const& s : reducer.onTimer(t).sends) {
        transport::ServingLeaseRequest const* const message = std::get_if<transport::ServingLeaseRequest>(&s.message);
        if (message != nullptr) n += s.to == "s1" || s.to == "s2" ? 1 : 0;
      }
    return n;
  };
  CHECK(asks(0, 20) == 2);
  CHECK(asks(20, 300) >= 8);
  transport::ConfigurationUpdate update;
  update.number = 1;
  update.isSnapshot = true;
  update.entries = {{"pool:model", 1, Rig::pool(1, "serving")}};
  reducer.onMessage(300, "s1", update);
  asks(300, 400);
  CHECK(asks(400, 1400) <= 4);
}

TEST_CASE("what may have reached a replica before runs again only within the retry budget") {
  Rig rig;
  int run = 0;
  for (int i = 0; i < 40; ++i) {
    dataplane::Request r;
    r.call = rig.next++;
    r.instance = "desk.nord";
    r.path = "r";
    r.id = "e" + std::to_string(i);
    r.attempt = 2;
    dataplane::RouterCommands const c = rig.reducer.onRequest(rig.now, r);
    if (Rig::find<dataplane::Reject>(c) == nullptr) {
      ++run;
      continue;
    }
    CHECK(Rig::find<dataplane::Reject>(c)->notExecuted);
    CHECK(Rig::find<dataplane::Reject>(c)->reachedReplica);
    CHECK(Rig::find<dataplane::Reject>(c)->retryAfter > 0);
  }
  CHECK(run <= 4);
}

TEST_CASE("a held request gives way to its own echo, and echoes do not widen the part") {
  Rig rig;
  for (int i = 0; i < 200; ++i) rig.sendRequest("fill" + std::to_string(i));
  std::size_t const part = rig.reducer.subsetSizes("model").front().first;
  std::size_t const held = rig.reducer.subsetSizes("model").front().second;
  REQUIRE(held > 0);
  rig.sendRequest("echo");
  std::size_t const before = rig.reducer.subsetSizes("model").front().second;
  for (std::uint64_t a = 2; a < 30; ++a) rig.sendRequest("echo", a);
  CHECK(rig.reducer.subsetSizes("model").front().second <= before);
  CHECK(rig.reducer.subsetSizes("model").front().first == part);
}

TEST_CASE("the part begins with and widens by the replica that keeps an arriving prompt's parts") {
  dataplane::RouterTuning tuning;
  tuning.scalerParameters.excessPerReplica = 0.005;
  tuning.scalerParameters.initialLimit = 1;
  tuning.scalerParameters.limitRaiseLatencyRatio = 0.7;
  tuning.scalerParameters.minLimit = 0.05;
  tuning.scalerParameters.limitDecay = 0.9;
  for (std::uint64_t first = 0; first < 20; ++first) {
    std::vector<std::vector<std::string>> went;
    for (char const* link : {"n1", "n2", "n3", "n4"}) {
      transport::Contact self = Rig::self();
      self.link = link;
      dataplane::RouterTuning unfenced = tuning;
      unfenced.leaseRequired = false;
      Rig const donor;
      dataplane::RequestRouter reducer(self, {"s1"}, 7, unfenced);
      reducer.started(0);
      transport::ConfigurationUpdate update;
      update.number = 1;
      update.isSnapshot = true;
      update.entries = {{"pool:model", 1, Rig::pool(1, "serving")},
                        {"family:desk", 1, donor.reducer.configurationValue("family:desk")}};
      reducer.onMessage(0, "s1", update);
      went.emplace_back();
      for (std::uint64_t i = 0; i < 3; ++i) {
        dataplane::Request r;
        r.call = i + 1;
        r.instance = "desk.nord";
        r.path = "a";
        r.segments = {{first * 100 + i, 5000}, {first * 100 + i + 50, 300}};
        dataplane::RouterCommands const c = reducer.onRequest(10, r);
        REQUIRE(Rig::find<dataplane::Connect>(c) != nullptr);
        went.back().push_back(Rig::find<dataplane::Connect>(c)->address);
        reducer.onConnected(10, r.call);
      }
    }
    for (std::vector<std::string> const& w : went) CHECK(w == went.front());
  }
}

TEST_CASE("one tenant's crowd leaves room for another") {
  Rig rig;
  for (int i = 0; i < 300; ++i) rig.sendRequest("crowd" + std::to_string(i));
  dataplane::RouterCommands const c = rig.sendRequest("other", 1, "desk.sued");
  CHECK(Rig::find<dataplane::Connect>(c) != nullptr);
}

TEST_CASE("a stream in which nothing moves is given up as broken") {
  Rig rig;
  rig.sendRequest("x");
  rig.reducer.onConnected(rig.now, 1);
  rig.reducer.onFirstByte(rig.now, 1, true);
  rig.now += 9000;
  rig.reducer.onProgress(rig.now, 1);
  rig.now += 9000;
  CHECK(Rig::find<dataplane::ResetDownstream>(rig.reducer.onTimer(rig.now)) == nullptr);
  rig.now += 1500;
  CHECK(Rig::find<dataplane::ResetDownstream>(rig.reducer.onTimer(rig.now)) != nullptr);
  CHECK(rig.reducer.pendingCount() == 0);
}

TEST_CASE("a stream passes on what its own run sent, and its end only when the body is whole") {
  dataplane::ResponseStream s;
  s.connecting(false);
  SECTION("resumed by the same run at the same place") {
    s.head({.status = 200, .run = "r1"});
    CHECK(s.piece("abc").begin);
    CHECK(s.ended(false).ended == dataplane::UpstreamResult::connectionLost);
    s.connecting(true);
    CHECK(s.resume().resuming);
    CHECK(s.resume().run == "r1");
    CHECK(s.resume().offset == 3);
    CHECK_FALSE(s.head({.status = 206, .run = "r1", .offset = "3"}).ended);
    CHECK_FALSE(s.piece("d").begin);
    CHECK(s.ended(true).finish);
  }
  SECTION("not by another run, another place or another status") {
    s.head({.status = 200, .run = "r1"});
    s.piece("abc");
    s.ended(false);
    s.connecting(true);
    int const status = GENERATE(206, 200);
    std::string const run = GENERATE("r1", "r2", "");
    std::string const offset = GENERATE("3", "2", "");
    bool const same = status == 206 && run == "r1" && offset == "3";
    CHECK((s.head({.status = status, .run = run, .offset = offset}).ended ==
           dataplane::UpstreamResult::differentExecution) == !same);
  }
  SECTION("a body shorter or longer than its length is broken") {
    s.head({200, {}, 4});
    CHECK_FALSE(s.piece("abc").ended);
    SECTION("shorter") {
      CHECK(s.ended(true).ended == dataplane::UpstreamResult::connectionLost);
    }
    SECTION("longer") {
      dataplane::StreamSteps const longer = s.piece("de");
      CHECK(longer.ended == dataplane::UpstreamResult::connectionLost);
      CHECK(longer.chunk.empty());
    }
  }
  SECTION("a status that is none ends it before a byte is passed on") {
    CHECK(s.head({700, {}, 3}).ended == dataplane::UpstreamResult::connectionLost);
    CHECK(s.piece("abc").chunk.empty());
  }
  SECTION("nothing is passed on after the end") {
    s.head({200, {}, -1});
    s.piece("a");
    s.ended(false);
    CHECK(s.piece("b").chunk.empty());
    CHECK_FALSE(s.ended(true).finish);
  }
}

TEST_CASE("well-typed messages with absurd values break no invariant and give no serving lease") {
  core::RandomGenerator rng(17);
  std::vector<std::string> const names{
      "n1",          "n2",      "s1",    "m1", "roster", "cohort",           "pool:model",
      "family:desk", "zone:z1", "model", "x",  "",       "model|10.0.0.1:80"};
  for (int round = 0; round < 40; ++round) {
    Rig rig;
    for (int i = 0; i < 500; ++i) {
      rig.now += static_cast<core::Milliseconds>(rng.below(60));
      std::string const from = names[rng.below(names.size())];
      rig.reducer.onMessage(
          rig.now, from,
          transport::randomMessage(rng, names, rig.now, rng.below(std::variant_size_v<transport::Message>)));
      if (i % 5 == 0) rig.sendRequest("f" + std::to_string(i), rng.below(3));
      if (i % 7 == 0) rig.reducer.onConnected(rig.now, rng.below(rig.next));
      if (i % 9 == 0) rig.reducer.onTimer(rig.now);
    }
  }
  Rig rig;
  rig.now += 60000;
  transport::ServingLeaseGrant c;
  c.requestSentAt = rig.now + 3600000;
  c.hasQuorum = true;
  rig.reducer.onMessage(rig.now, "s1", c);
  CHECK_FALSE(rig.reducer.servingLease(rig.now + 10));
}

TEST_CASE("what is gone is freed: replicas, instances and nodes that come and go under new names") {
  Rig rig;
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
    rig.reducer.onMessage(rig.now, "s1", update);
    rig.confirm();
    dataplane::RouterCommands const c = rig.sendRequest("q" + n, 1, "desk.i" + n);
    REQUIRE(Rig::find<dataplane::Connect>(c) != nullptr);
    rig.reducer.onConnected(rig.now, rig.next - 1);
    rig.reducer.onFirstByte(rig.now, rig.next - 1, true);
    rig.reducer.onUpstreamFinished(rig.now, rig.next - 1, dataplane::UpstreamResult::complete);
    transport::PeerHeartbeat heartbeat;
    heartbeat.isReply = heartbeat.hasSnapshot = true;
    heartbeat.link = "node" + n;
    heartbeat.sentAt = rig.now;
    rig.reducer.onMessage(rig.now, heartbeat.link, heartbeat);
    rig.now += 1000;
    rig.reducer.onTimer(rig.now);
  }
  rig.now += 70000;
  rig.reducer.onTimer(rig.now);
  rig.now += 11000;
  rig.reducer.onTimer(rig.now);
  dataplane::RouterUsage const held = rig.reducer.usage();
  CHECK(held.replicas <= 8);
  CHECK(held.instances <= 8);
  CHECK(held.queues <= 4);
  CHECK(held.contacts <= 8);
}

TEST_CASE("ids that others ask about are trimmed on a node that has no callers of its own") {
  dataplane::RouterTuning tuning;
  tuning.maxRequestIds = 50;
  Rig rig(tuning);
  for (std::uint64_t i = 0; i < 300; ++i)
    rig.reducer.onMessage(rig.now, "n2", transport::RequestIdQuery{i, "desk.nord|" + std::to_string(i), 0, 0, "n2#1"});
  rig.now += 11000;
  rig.reducer.onTimer(rig.now);
  CHECK(rig.reducer.usage().ids <= 50);
}

namespace {

/// One plane with three tenants of one pool, and beside each credit a scaler that is looked at ten times a second.
struct Twins {
  static constexpr std::uint64_t seed = 7;
  dataplane::RouterTuning tuning;
  dataplane::RequestRouter reducer;
  core::Milliseconds now = 100000;
  std::uint64_t revision = 0;
  std::set<int> replicas;
  std::map<std::string, corkward::scaling::Scaler> scalers;
  struct Call {
    std::string tenant;
    core::NameIndex replica = 0;
    core::Milliseconds dispatchedAt = 0;
  };
  std::map<std::uint64_t, Call> inHand;

  static dataplane::RouterTuning open() {
    dataplane::RouterTuning t;
    t.leaseRequired = false;
    t.startupGracePeriod = 0;
    t.scalerParameters.limitDecay = 0.9;
    t.scalerParameters.limitRaiseLatencyRatio = 0.7;
    t.scalerParameters.excessPerReplica = 0.5;
    return t;
  }
  Twins() : tuning(open()), reducer(Rig::self(), {"s1"}, seed, tuning) {
    reducer.started(0);
    list({1, 2, 3, 4, 5, 6});
  }
  static std::string address(int replica) { return "10.0.0." + std::to_string(replica) + ":80"; }
  void list(std::set<int> const& serving) {
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
    lookAtCandidates();
  }
  void lookAtCandidates() {
    std::vector<corkward::scaling::Candidate> all;
    for (int const r : replicas)
      all.push_back({static_cast<core::NameIndex>(r), false, core::stableHash("model|" + address(r))});
    for (std::map<std::string, corkward::scaling::Scaler>::value_type& s : scalers) s.second.setCandidates(all);
  }
  corkward::scaling::Scaler& scaler(std::string const& tenant) {
    std::map<std::string, corkward::scaling::Scaler>::iterator it = scalers.find(tenant);
    if (it != scalers.end()) return it->second;
    it = scalers
             .emplace(tenant,
                      corkward::scaling::Scaler(seed ^ core::stableHash("n1desk." + tenant), tuning.scalerParameters))
             .first;
    lookAtCandidates();
    return it->second;
  }
  void sendRequest(std::string const& tenant, std::uint64_t call) {
    dataplane::Request r;
    r.call = call;
    r.instance = "desk." + tenant;
    r.path = "a";
    dataplane::RouterCommands const c = reducer.onRequest(now, r);
    dataplane::Connect const* const connect = Rig::find<dataplane::Connect>(c);
    REQUIRE(connect != nullptr);
    core::NameIndex const replica = static_cast<core::NameIndex>(connect->address[7] - '0');
    corkward::scaling::Scaler& s = scaler(tenant);
    REQUIRE(s.raiseLimitFor(false));
    s.onSent(replica, false);
    s.evaluate(now, 0);
    reducer.onConnected(now, call);
    inHand[call] = Call{tenant, replica, now};
  }
  void endOldest() {
    std::uint64_t const id = inHand.begin()->first;
    Call const call = inHand.begin()->second;
    inHand.erase(inHand.begin());
    corkward::scaling::Scaler& s = scaler(call.tenant);
    reducer.onFirstByte(now, id, true);
    s.onFirstByte(now, call.replica, now - call.dispatchedAt, 8000);
    reducer.onUpstreamFinished(now, id, dataplane::UpstreamResult::complete);
    s.onEnded(call.replica, false);
    s.evaluate(now, 0);
  }
  /// Part, cap and requests in flight of each credit, as the plane's metrics and as the scalers say them.
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

TEST_CASE("credits that are not in use are left out of looks, and change as if they were looked at") {
  Twins twins;
  core::RandomGenerator rng(3);
  std::uint64_t next = 1;
  std::size_t widest = 0;
  int allAsleep = 0;
  for (int tick = 0; tick < 12000; ++tick, twins.now += 50) {
    char const* const tenants[] = {"nord", "sued", "west"};
    for (std::size_t t = 0; t < 3; ++t) {
      bool const busy = tick / 400 % 4 == static_cast<int>(t);
      if (busy && twins.inHand.size() < 12 && rng.chance(0.6)) twins.sendRequest(tenants[t], next++);
    }
    while (!twins.inHand.empty() && rng.chance(0.4)) twins.endOldest();
    if (rng.chance(0.005)) {
      std::set<int> serving;
      for (int r = 1; r <= 6; ++r)
        if (r == 1 || rng.chance(0.6)) serving.insert(r);
      twins.list(serving);
    }
    twins.reducer.onTimer(twins.now);
    if (tick % 2 == 0) {
      twins.lookAtCandidates();
      for (std::map<std::string, corkward::scaling::Scaler>::value_type& s : twins.scalers)
        s.second.evaluate(twins.now, 0);
    }
    twins.compare();
    for (std::map<std::string, corkward::scaling::Scaler>::value_type const& s : twins.scalers)
      widest = std::max(widest, s.second.subset().size());
    allAsleep += twins.scalers.size() == 3 && twins.reducer.usage().activeQueues == 0 ? 1 : 0;
  }
  CHECK(widest >= 3);
  CHECK(twins.scalers.size() == 3);
  CHECK(allAsleep > 200);
}

TEST_CASE("answers as old as a heartbeat and a far way make no node ask its neighbours for ages, silence soon does") {
  Rig rig;
  std::vector<std::pair<core::Milliseconds, transport::ServingLeaseGrant>> under;
  std::size_t wanted = 0;
  core::Milliseconds firstWanted = -1;
  core::Milliseconds const silentFrom = rig.now + 20000;
  for (core::Milliseconds const until = silentFrom + 2000; rig.now < until; rig.now += 20) {
    std::erase_if(under, [&](std::pair<core::Milliseconds, transport::ServingLeaseGrant> const& u) {
      if (u.first > rig.now) return false;
      rig.reducer.onMessage(rig.now, "s1", u.second);
      return true;
    });
    for (transport::Send const& s : rig.reducer.onTimer(rig.now).sends) {
      if (transport::ServingLeaseRequest const* const message = std::get_if<transport::ServingLeaseRequest>(&s.message);
          message != nullptr && rig.now < silentFrom) {
        transport::ServingLeaseGrant c;
        c.requestSentAt = message->sentAt;
        c.hasQuorum = true;
        c.quorumAge = 190;
        c.digest = message->digest;
        under.emplace_back(rig.now + 40, c);
      }
      transport::PeerHeartbeat const* const heartbeat = std::get_if<transport::PeerHeartbeat>(&s.message);
      if (heartbeat == nullptr || !heartbeat->wantsAges) continue;
      wanted += rig.now < silentFrom ? 1 : 0;
      if (rig.now >= silentFrom && firstWanted < 0) firstWanted = rig.now;
    }
  }
  CHECK(wanted == 0);
  REQUIRE(firstWanted >= 0);
  CHECK(firstWanted - silentFrom <= 700);
}
