#include <catch2/catch.hpp>

#include <QJsonArray>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/control/change_history.h>
#include <corkward/core/json.h>
#include <corkward/control/validator.h>

#include "operators.h"

namespace core = corkward::core;
namespace transport = corkward::transport;
namespace consensus = corkward::consensus;
namespace config = corkward::config;
namespace control = corkward::control;
using control::Membership;
using control::page;
using control::patchOf;
using control::Rig;
using control::spec;

namespace {

/// The fleet configuration's register without disks or links: calls are validated and applied one after the other.
struct Register {
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

transport::OperatorCall order(char const* method, QJsonObject const& body, qint64 base, std::string const& id) {
  transport::OperatorCall c;
  c.method = method;
  c.path = page;
  c.body = core::jsonText(body);
  c.ifMatch = std::to_string(base);
  c.changeId = id;
  return c;
}

/// Changes of an operator, each on top of the one before; every third replaces the configuration.
transport::OperatorCall orderOn(qint64 base, QString const& by = "") {
  std::string const id = core::toStdString(by) + std::to_string(base);
  std::vector<std::string> const names{"p" + std::to_string(base % 7)};
  return base % 3 == 0 ? order("PUT", spec(base + 1, names, by), base, id)
                       : order("PATCH", patchOf(base + 1, names, by), base, id);
}

bool acknowledged(int status) {
  return status == 200 || status == 201;
}

}  // namespace

TEST_CASE("a resent change is acknowledged however many changes came between, another on its base is not") {
  constexpr qint64 most = 1000;
  Register r;
  for (qint64 base = 0; base < most; ++base) REQUIRE(acknowledged(r.call(orderOn(base)).status));
  int refused = 0;
  int confused = 0;
  for (qint64 base = 0; base < most; ++base) {
    consensus::Verdict const again = r.call(orderOn(base));
    refused += acknowledged(again.status) ? 0 : 1;
    CHECK_FALSE(again.change);
    confused += r.call(orderOn(base, "other")).status == 412 ? 0 : 1;
  }
  CHECK(refused == 0);
  CHECK(confused == 0);
  CHECK(r.revision == most);
}

TEST_CASE("a change older than the history gets no definite reply, and one on an unknown version is rejected") {
  constexpr qint64 most = 5000;
  constexpr qint64 atLeast = 1024;
  Register r;
  for (qint64 base = 0; base < most; ++base) REQUIRE(acknowledged(r.call(orderOn(base)).status));
  std::map<int, int> answers;
  for (qint64 base = 0; base < most; ++base) {
    consensus::Verdict const again = r.call(orderOn(base));
    CHECK_FALSE(again.change);
    ++answers[again.status];
    if (base >= most - atLeast) CHECK(acknowledged(again.status));
    int const other = r.call(orderOn(base, "other")).status;
    CHECK(other == (again.status == 503 ? 503 : 412));
  }
  CHECK(answers[200] + answers[201] >= atLeast);
  CHECK(answers[200] + answers[201] + answers[503] == most);
  CHECK(r.call(order("PUT", spec(most + 9), most + 5, "x")).status == 412);
  CHECK(r.call(order("PUT", spec(most + 9), most, "y")).status == 200);
  CHECK(r.call(order("PUT", spec(most + 20), most + 4, "z")).status == 412);
}

TEST_CASE("a key's history stays within 36 KiB on disk and is not sent to routers") {
  Register r;
  auto const storedBytes = [&r](char const* part) {
    return core::jsonText(QJsonObject{{part, r.value.value(part)}}).size();
  };
  std::size_t most = 0;
  for (qint64 base = 0; base < 5000; ++base) {
    REQUIRE(acknowledged(r.call(orderOn(base)).status));
    most = std::max(most, storedBytes(control::ChangeHistory::storedField));
    if (base + 1 != 100 && base + 1 != 1000 && base + 1 != 5000) continue;
    WARN(base + 1 << " changes: digests " << storedBytes(control::ChangeHistory::storedField) << " B, ids "
                  << storedBytes("changes") << " B, configuration " << storedBytes("spec") << " B");
  }
  WARN("most digests " << most << " B");
  CHECK(most < (36U << 10));
  Rig rig;
  rig.alive = {"a", "b", "c"};
  rig.run(6000);
  std::uint64_t const t = rig.call("PUT", page, core::jsonText(spec(5)), "0", "one");
  rig.run(2000);
  REQUIRE(rig.statusOf(t) == 201);
  REQUIRE(rig.pushed.count(config::fleetConfigurationKey) == 1);
  CHECK(rig.pushed[config::fleetConfigurationKey].keys() == QStringList{"spec"});
}

TEST_CASE("a value that an earlier release stored leads to no rejection of the changes of that time") {
  Register r;
  for (qint64 base = 0; base < 100; ++base) REQUIRE(acknowledged(r.call(orderOn(base)).status));
  r.value.remove("taken");
  for (qint64 base = 100; base < 110; ++base) REQUIRE(acknowledged(r.call(orderOn(base)).status));
  for (qint64 base = 0; base < 110; ++base) {
    int const status = r.call(orderOn(base)).status;
    CHECK((acknowledged(status) || (status == 503 && base < 100)));
    CHECK_FALSE(acknowledged(r.call(orderOn(base, "other")).status));
  }
}

TEST_CASE("field order and white space are no part of a change's identity, an unknown field is") {
  Register r;
  REQUIRE(acknowledged(r.call(orderOn(0)).status));
  transport::OperatorCall first = order("PATCH", patchOf(5, {"b"}, "one"), 1, "a");
  REQUIRE(r.call(first).status == 200);
  REQUIRE(r.call(order("PATCH", patchOf(6, {"c"}), 5, "b")).status == 200);
  transport::OperatorCall spaced = first;
  spaced.changeId = "c";
  spaced.body = R"( { "version" : 5,
    "extra": {"by":"one"}, "set": {"paths":[ {"pool":"big","name":"b","host":"h","prefix":"/b/","kind":"once","deadlineMs":3000} ]} } )";
  CHECK(r.call(spaced).status == 200);
  transport::OperatorCall other = first;
  other.changeId = "d";
  QJsonObject body = patchOf(5, {"b"}, "one");
  body.insert("extra", QJsonObject{{"by", "one"}, {"moons", 1}});
  other.body = core::jsonText(body);
  CHECK(r.call(other).status == 412);
  other.body = spaced.body;
  other.ifMatch = "4";
  CHECK(r.call(other).status == 412);
  CHECK(r.revision == 3);
}

TEST_CASE("resent changes of a family and of certificates are acknowledged after hundreds of others") {
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
    REQUIRE(acknowledged(first.status));
    for (std::uint64_t base = 1; base < 300; ++base) REQUIRE(acknowledged(call(base, "a").status));
    for (std::uint64_t base = 0; base < 300; ++base) {
      CHECK(acknowledged(call(base, "a").status));
      CHECK(call(base, "b").status == 412);
    }
    CHECK(revision == 300);
  }
}

TEST_CASE("a reply to a call of a killed process does not answer a call of the next one") {
  Membership c(5);
  c.calm = true;
  c.run(4000);
  transport::OperatorCall first = order("PUT", spec(5), 0, "first");
  c.changes["first"] = Membership::Change{"first", first, true, 0, 0};
  c.send(c.changes["first"]);
  c.run(3000);
  std::string relay;
  for (char const* const link : {"s1", "s2", "s3"})
    if (c.members[link].reducer->registers().ownerLink(config::fleetConfigurationKey, c.now) != link) relay = link;
  REQUIRE_FALSE(relay.empty());
  auto const relayed = [&](std::uint64_t token) {
    transport::OperatorCall call = order("PUT", spec(50), 49, "never");
    call.token = token;
    control::ControllerCommands const out = c.members[relay].reducer->onOperatorCall(c.now, call);
    for (transport::Send const& s : out.sends)
      if (transport::OperatorCall const* const sent = std::get_if<transport::OperatorCall>(&s.message))
        return sent->token;
    return std::uint64_t{0};
  };
  std::uint64_t const before = relayed(9001);
  c.start(relay);
  c.run(2000);
  std::uint64_t const after = relayed(9002);
  REQUIRE((before != 0 && after != 0));
  CHECK(before != after);
  control::ControllerCommands const out =
      c.members[relay].reducer->onMessage(c.now, "s9", transport::OperatorCallReply{before, 200, {{"version", 50}}});
  CHECK(out.responses.empty());
}

TEST_CASE("an evacuation that was forwarded late is not applied after it was lifted") {
  Membership c(6);
  c.calm = true;
  c.run(4000);
  std::vector<transport::OperatorCall> relayed;
  auto const begin = [&](char const* method, std::string const& link) {
    transport::OperatorCall call;
    call.method = method;
    call.path = "/v1/evacuations/z1";
    call.token = 8000 + relayed.size();
    return c.members[link].reducer->onOperatorCall(c.now, call);
  };
  c.apply("s1", begin("DELETE", "s1"));
  c.run(2000);
  std::string owner;
  for (char const* const link : {"s1", "s2", "s3"})
    if (c.members[link].reducer->registers().owns("zone:z1")) owner = link;
  if (owner.empty()) {
    c.apply("s1", begin("PUT", "s1"));
    c.run(2000);
    c.apply("s1", begin("DELETE", "s1"));
    c.run(2000);
    for (char const* const link : {"s1", "s2", "s3"})
      if (c.members[link].reducer->registers().owns("zone:z1")) owner = link;
  }
  REQUIRE_FALSE(owner.empty());
  std::string const relay = owner == "s1" ? "s2" : "s1";
  auto const evacuated = [&] {
    return c.members[owner].reducer->registers().committed().at("zone:z1").value.value("evacuated").toBool();
  };
  control::ControllerCommands out = begin("PUT", relay);
  transport::OperatorCall late;
  for (transport::Send const& s : out.sends)
    if (transport::OperatorCall const* const sent = std::get_if<transport::OperatorCall>(&s.message)) late = *sent;
  REQUIRE(late.method == "PUT");
  c.apply(relay, std::move(out));
  c.run(1000);
  CHECK(evacuated());
  c.apply(owner, begin("DELETE", owner));
  c.run(1000);
  CHECK_FALSE(evacuated());
  late.token += 1000;
  c.apply(owner, c.members[owner].reducer->onMessage(c.now, relay, late));
  c.run(2000);
  CHECK_FALSE(evacuated());
  c.apply(relay, begin("PUT", relay));
  c.run(1000);
  CHECK(evacuated());
}

TEST_CASE("every acknowledged change is acknowledged when resent at the end, after failovers and replaced members") {
  for (std::uint64_t seed = 21; seed <= 24; ++seed) {
    INFO("seed " << seed);
    Membership c(seed);
    std::size_t replaced = 0;
    while (c.now < 60000) {
      c.step();
      if (c.now > 4000 && c.rng.chance(0.12)) c.operate();
      if (c.now > 6000 && c.rng.chance(0.001))
        c.start(std::next(c.members.begin(), static_cast<std::ptrdiff_t>(c.rng.below(3)))->first);
      if (c.now > 6000 && c.now % 9000 == 0)
        c.wipe(std::next(c.members.begin(), static_cast<std::ptrdiff_t>(replaced++ % 3))->first);
    }
    c.calm = true;
    c.run(15000);
    CHECK(replaced >= 3);
    CHECK(c.chain.size() > 200);
    std::size_t const revisions = c.chain.size();
    CHECK(c.resendAcknowledged() > 100);
    c.run(10000);
    for (auto const& [token, change] : c.changes) {
      if (!acknowledged(change.status)) continue;
      INFO(token << " on " << change.call.ifMatch);
      CHECK(acknowledged(change.last));
    }
    CHECK(c.chain.size() == revisions);
    c.checkInvariants();
  }
}
