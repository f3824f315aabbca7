#include <catch2/catch.hpp>

#include <QJsonArray>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/control/change_history.h>
#include <corkward/core/json.h>
#include <corkward/control/validator.h>

#include "simulated_cluster.h"

namespace core = corkward::core;
namespace transport = corkward::transport;
namespace consensus = corkward::consensus;
namespace config = corkward::config;
namespace control = corkward::control;
using control::ControllerHarness;
using control::page;
using control::patchOf;
using control::SimulatedCluster;
using control::spec;

namespace {

/// The fleet configuration's key without replication. Calls are validated and applied one after the other.
struct FleetConfigurationKey {
  std::uint64_t revision = 0;
  QJsonObject value;

  consensus::Verdict call(transport::OperatorCall const& call) {
    consensus::Verdict const v = control::validateCall(config::fleetConfigurationKey, revision, value, call,
                                                       {[](std::string const&) { return true; }});
    if (v.change) {
      ++revision;
      value = v.value;
    }
    return v;
  }
};

transport::OperatorCall changeCall(char const* method, QJsonObject const& body, qint64 base, std::string const& id) {
  transport::OperatorCall c;
  c.method = method;
  c.path = page;
  c.body = core::jsonText(body);
  c.ifMatch = std::to_string(base);
  c.changeId = id;
  return c;
}

/// Returns an operator's change that names `base` and creates the next version. Each third one replaces the
/// configuration, the others patch it.
transport::OperatorCall changeOn(qint64 base, QString const& by = "") {
  std::string const id = core::toStdString(by) + std::to_string(base);
  std::vector<std::string> const names{"p" + std::to_string(base % 7)};
  return base % 3 == 0 ? changeCall("PUT", spec(base + 1, names, by), base, id)
                       : changeCall("PATCH", patchOf(base + 1, names, by), base, id);
}

bool isAcknowledged(int status) {
  return status == 200 || status == 201;
}

}  // namespace

TEST_CASE("a resent change is acknowledged after any number of later changes, another change on its base is not") {
  constexpr qint64 changes = 1000;
  FleetConfigurationKey key;
  for (qint64 base = 0; base < changes; ++base) REQUIRE(isAcknowledged(key.call(changeOn(base)).status));
  int notAcknowledged = 0;
  int notStale = 0;
  for (qint64 base = 0; base < changes; ++base) {
    consensus::Verdict const again = key.call(changeOn(base));
    notAcknowledged += isAcknowledged(again.status) ? 0 : 1;
    CHECK_FALSE(again.change);
    notStale += key.call(changeOn(base, "other")).status == 412 ? 0 : 1;
  }
  CHECK(notAcknowledged == 0);
  CHECK(notStale == 0);
  CHECK(key.revision == changes);
}

TEST_CASE("a change older than the history gets no definite reply, and a change on an unknown version is rejected") {
  constexpr qint64 changes = 5000;
  constexpr qint64 rememberedChanges = 1024;
  FleetConfigurationKey key;
  for (qint64 base = 0; base < changes; ++base) REQUIRE(isAcknowledged(key.call(changeOn(base)).status));
  std::map<int, int> replyCounts;
  for (qint64 base = 0; base < changes; ++base) {
    consensus::Verdict const again = key.call(changeOn(base));
    CHECK_FALSE(again.change);
    ++replyCounts[again.status];
    if (base >= changes - rememberedChanges) CHECK(isAcknowledged(again.status));
    int const other = key.call(changeOn(base, "other")).status;
    CHECK(other == (again.status == 503 ? 503 : 412));
  }
  CHECK(replyCounts[200] + replyCounts[201] >= rememberedChanges);
  CHECK(replyCounts[200] + replyCounts[201] + replyCounts[503] == changes);
  CHECK(key.call(changeCall("PUT", spec(changes + 9), changes + 5, "x")).status == 412);
  CHECK(key.call(changeCall("PUT", spec(changes + 9), changes, "y")).status == 200);
  CHECK(key.call(changeCall("PUT", spec(changes + 20), changes + 4, "z")).status == 412);
}

TEST_CASE("a key's history stays within 36 KiB and is not sent to routers") {
  FleetConfigurationKey key;
  auto const storedBytes = [&key](char const* field) {
    return core::jsonText(QJsonObject{{field, key.value.value(field)}}).size();
  };
  std::size_t maxDigestBytes = 0;
  for (qint64 base = 0; base < 5000; ++base) {
    REQUIRE(isAcknowledged(key.call(changeOn(base)).status));
    maxDigestBytes = std::max(maxDigestBytes, storedBytes(control::ChangeHistory::storedField));
    if (base + 1 != 100 && base + 1 != 1000 && base + 1 != 5000) continue;
    WARN(base + 1 << " changes: digests " << storedBytes(control::ChangeHistory::storedField) << " B, ids "
                  << storedBytes("changes") << " B, configuration " << storedBytes("spec") << " B");
  }
  WARN("largest digests " << maxDigestBytes << " B");
  CHECK(maxDigestBytes < (36U << 10));
  ControllerHarness harness;
  harness.runningRouters = {"a", "b", "c"};
  harness.run(6000);
  std::uint64_t const t = harness.call("PUT", page, core::jsonText(spec(5)), "0", "one");
  harness.run(2000);
  REQUIRE(harness.statusOf(t) == 201);
  REQUIRE(harness.lastPushedValues.count(config::fleetConfigurationKey) == 1);
  CHECK(harness.lastPushedValues[config::fleetConfigurationKey].keys() == QStringList{"spec"});
}

TEST_CASE("a change is not rejected as stale if the stored value has no history from the time of that change") {
  FleetConfigurationKey key;
  for (qint64 base = 0; base < 100; ++base) REQUIRE(isAcknowledged(key.call(changeOn(base)).status));
  key.value.remove("taken");
  for (qint64 base = 100; base < 110; ++base) REQUIRE(isAcknowledged(key.call(changeOn(base)).status));
  for (qint64 base = 0; base < 110; ++base) {
    int const status = key.call(changeOn(base)).status;
    CHECK((isAcknowledged(status) || (status == 503 && base < 100)));
    CHECK_FALSE(isAcknowledged(key.call(changeOn(base, "other")).status));
  }
}

TEST_CASE("a change is recognized regardless of field order and white space, but not with another unknown field") {
  FleetConfigurationKey key;
  REQUIRE(isAcknowledged(key.call(changeOn(0)).status));
  transport::OperatorCall first = changeCall("PATCH", patchOf(5, {"b"}, "one"), 1, "a");
  REQUIRE(key.call(first).status == 200);
  REQUIRE(key.call(changeCall("PATCH", patchOf(6, {"c"}), 5, "b")).status == 200);
  transport::OperatorCall spaced = first;
  spaced.changeId = "c";
  spaced.body = R"( { "version" : 5,
    "extra": {"by":"one"}, "set": {"paths":[ {"pool":"big","name":"b","host":"h","prefix":"/b/","kind":"once","deadlineMs":3000} ]} } )";
  CHECK(key.call(spaced).status == 200);
  transport::OperatorCall other = first;
  other.changeId = "d";
  QJsonObject body = patchOf(5, {"b"}, "one");
  body.insert("extra", QJsonObject{{"by", "one"}, {"moons", 1}});
  other.body = core::jsonText(body);
  CHECK(key.call(other).status == 412);
  other.body = spaced.body;
  other.ifMatch = "4";
  CHECK(key.call(other).status == 412);
  CHECK(key.revision == 3);
}

TEST_CASE("resent changes of a family and of certificates are acknowledged after hundreds of other changes") {
  for (std::string const target : {"/v1/templates/t", "/v1/certificates"}) {
    bool const family = target == "/v1/templates/t";
    std::string const key = control::targetOf(target)->key;
    std::uint64_t revision = 0;
    QJsonObject value;
    control::ClusterView clusterView{[](std::string const&) { return true; }};
    clusterView.regimes = [] { return config::Regimes{}; };
    clusterView.regimeUses = [] { return std::vector<config::RegimeRequirement>{}; };
    auto const call = [&](std::uint64_t base, std::string const& by) {
      transport::OperatorCall c;
      c.method = "PUT";
      c.path = target;
      c.ifMatch = std::to_string(base);
      c.changeId = by + std::to_string(base);
      c.body = family ? R"({"paths":[{"path":"a","pool":"big","class":"short"}],"note":")" + c.changeId + "\"}"
                      : R"({"regimes":{"h)" + c.changeId + R"(":{"nacelles":"any"}},"certificates":{}})";
      consensus::Verdict const v = control::validateCall(key, revision, value, c, clusterView);
      if (v.change) value = v.value;
      revision += v.change ? 1 : 0;
      return v;
    };
    INFO(target);
    consensus::Verdict const first = call(0, "a");
    INFO(core::jsonText(first.body));
    REQUIRE(isAcknowledged(first.status));
    for (std::uint64_t base = 1; base < 300; ++base) REQUIRE(isAcknowledged(call(base, "a").status));
    for (std::uint64_t base = 0; base < 300; ++base) {
      CHECK(isAcknowledged(call(base, "a").status));
      CHECK(call(base, "b").status == 412);
    }
    CHECK(revision == 300);
  }
}

TEST_CASE("a reply to a call of a killed process does not answer a call of its successor") {
  SimulatedCluster cluster(5);
  cluster.faultFree = true;
  cluster.run(4000);
  transport::OperatorCall first = changeCall("PUT", spec(5), 0, "first");
  cluster.changes["first"] = SimulatedCluster::Change{"first", first, true, 0, 0};
  cluster.send(cluster.changes["first"]);
  cluster.run(3000);
  std::string relay;
  for (char const* const link : {"s1", "s2", "s3"})
    if (cluster.members[link].controller->registers().ownerLink(config::fleetConfigurationKey, cluster.now) != link)
      relay = link;
  REQUIRE_FALSE(relay.empty());
  auto const forwardedToken = [&](std::uint64_t token) {
    transport::OperatorCall call = changeCall("PUT", spec(50), 49, "never");
    call.token = token;
    control::ControllerCommands const out = cluster.members[relay].controller->onOperatorCall(cluster.now, call);
    for (transport::Send const& s : out.sends)
      if (transport::OperatorCall const* const sent = std::get_if<transport::OperatorCall>(&s.message))
        return sent->token;
    return std::uint64_t{0};
  };
  std::uint64_t const before = forwardedToken(9001);
  cluster.start(relay);
  cluster.run(2000);
  std::uint64_t const after = forwardedToken(9002);
  REQUIRE((before != 0 && after != 0));
  CHECK(before != after);
  control::ControllerCommands const out = cluster.members[relay].controller->onMessage(
      cluster.now, "s9", transport::OperatorCallReply{before, 200, {{"version", 50}}});
  CHECK(out.responses.empty());
}

TEST_CASE("an evacuation that is forwarded late is not applied after it was ended") {
  SimulatedCluster cluster(6);
  cluster.faultFree = true;
  cluster.run(4000);
  std::vector<transport::OperatorCall> forwarded;
  auto const startCall = [&](char const* method, std::string const& link) {
    transport::OperatorCall call;
    call.method = method;
    call.path = "/v1/evacuations/z1";
    call.token = 8000 + forwarded.size();
    return cluster.members[link].controller->onOperatorCall(cluster.now, call);
  };
  cluster.apply("s1", startCall("DELETE", "s1"));
  cluster.run(2000);
  std::string owner;
  for (char const* const link : {"s1", "s2", "s3"})
    if (cluster.members[link].controller->registers().owns("zone:z1")) owner = link;
  if (owner.empty()) {
    cluster.apply("s1", startCall("PUT", "s1"));
    cluster.run(2000);
    cluster.apply("s1", startCall("DELETE", "s1"));
    cluster.run(2000);
    for (char const* const link : {"s1", "s2", "s3"})
      if (cluster.members[link].controller->registers().owns("zone:z1")) owner = link;
  }
  REQUIRE_FALSE(owner.empty());
  std::string const relay = owner == "s1" ? "s2" : "s1";
  auto const evacuated = [&] {
    return cluster.members[owner].controller->registers().committed().at("zone:z1").value.value("evacuated").toBool();
  };
  control::ControllerCommands out = startCall("PUT", relay);
  transport::OperatorCall late;
  for (transport::Send const& s : out.sends)
    if (transport::OperatorCall const* const sent = std::get_if<transport::OperatorCall>(&s.message)) late = *sent;
  REQUIRE(late.method == "PUT");
  cluster.apply(relay, std::move(out));
  cluster.run(1000);
  CHECK(evacuated());
  cluster.apply(owner, startCall("DELETE", owner));
  cluster.run(1000);
  CHECK_FALSE(evacuated());
  late.token += 1000;
  cluster.apply(owner, cluster.members[owner].controller->onMessage(cluster.now, relay, late));
  cluster.run(2000);
  CHECK_FALSE(evacuated());
  cluster.apply(relay, startCall("PUT", relay));
  cluster.run(1000);
  CHECK(evacuated());
}

TEST_CASE("each acknowledged change is acknowledged when resent after failovers and replaced members") {
  for (std::uint64_t seed = 21; seed <= 24; ++seed) {
    INFO("seed " << seed);
    SimulatedCluster cluster(seed);
    std::size_t replaced = 0;
    while (cluster.now < 60000) {
      cluster.step();
      if (cluster.now > 4000 && cluster.rng.chance(0.12)) cluster.sendRandomChange();
      if (cluster.now > 6000 && cluster.rng.chance(0.001))
        cluster.start(std::next(cluster.members.begin(), static_cast<std::ptrdiff_t>(cluster.rng.below(3)))->first);
      if (cluster.now > 6000 && cluster.now % 9000 == 0)
        cluster.replaceWithEmptyDisk(
            std::next(cluster.members.begin(), static_cast<std::ptrdiff_t>(replaced++ % 3))->first);
    }
    cluster.faultFree = true;
    cluster.run(15000);
    CHECK(replaced >= 3);
    CHECK(cluster.committedConfigurations.size() > 200);
    std::size_t const revisions = cluster.committedConfigurations.size();
    CHECK(cluster.resendAcknowledged() > 100);
    cluster.run(10000);
    for (auto const& [token, change] : cluster.changes) {
      if (!isAcknowledged(change.status)) continue;
      INFO(token << " on " << change.call.ifMatch);
      CHECK(isAcknowledged(change.newestStatus));
    }
    CHECK(cluster.committedConfigurations.size() == revisions);
    cluster.checkInvariants();
  }
}
