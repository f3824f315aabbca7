#include <catch2/catch.hpp>

#include <QJsonArray>
#include <functional>

#include <corkward/core/json.h>
#include <corkward/core/guarantees.h>

#include "../../transport/test/fill.h"
#include "rig.h"

namespace core = corkward::core;
namespace transport = corkward::transport;
namespace control = corkward::control;
using corkward::control::Rig;

TEST_CASE("a full snapshot waits for a majority, whatever the router would accept") {
  Rig rig;
  rig.alive = {"a"};
  rig.run(3000);
  rig.reducer.onPersisted(rig.now, 1, false);
  REQUIRE_FALSE(rig.reducer.ready(rig.now));
  transport::ServingLeaseRequest request;
  request.sentAt = rig.now;
  request.sender = Rig::contact("b", transport::routerRole);
  request.wantsSnapshot = true;
  auto const sendsSnapshot = [](control::ControllerCommands const& c) {
    return std::any_of(c.sends.begin(), c.sends.end(), [](transport::Send const& s) {
      transport::ConfigurationUpdate const* const update = std::get_if<transport::ConfigurationUpdate>(&s.message);
      return s.to == "b" && update != nullptr && update->isSnapshot && !update->entries.empty();
    });
  };
  CHECK_FALSE(sendsSnapshot(rig.reducer.onMessage(rig.now, "b", request)));
  request.acceptsUnconfirmedSnapshot = true;
  CHECK_FALSE(sendsSnapshot(rig.reducer.onMessage(rig.now, "b", request)));
}

TEST_CASE("a change is answered when all routers have it, or a majority has it and the others are fenced") {
  Rig rig;
  REQUIRE(rig.reducer.ready(rig.now));
  rig.alive = {"a", "b", "c"};
  rig.run(6000);
  CHECK(rig.evacuate("z1", 700) == 200);
  rig.deaf = {"c"};
  std::uint64_t const slow = rig.call("PUT", "/v1/evacuations/z2");
  rig.run(1200);
  CHECK(rig.statusOf(slow) == 0);
  rig.run(1300);
  CHECK(rig.statusOf(slow) == 200);
  rig.deaf = {"b", "c"};
  std::uint64_t const pending = rig.call("PUT", "/v1/evacuations/z3");
  rig.run(5000);
  CHECK(rig.statusOf(pending) == 504);
  CHECK(rig.answers.at(pending).body.value("pending").toBool());
  std::string const page = "/v1/changes/c" + std::to_string(pending);
  CHECK(rig.statusOf(rig.call("GET", page)) == 504);
  rig.deaf = {};
  rig.run(700);
  CHECK(rig.statusOf(rig.call("GET", page)) == 200);
}

TEST_CASE("an evacuation that is resent after it was lifted is not applied again") {
  Rig rig;
  rig.alive = {"a", "b", "c"};
  rig.run(6000);
  std::uint64_t const first = rig.call("PUT", "/v1/evacuations/z1");
  rig.run(700);
  rig.call("DELETE", "/v1/evacuations/z1");
  rig.run(700);
  std::uint64_t const again = rig.call("PUT", "/v1/evacuations/z1", "", "", "c" + std::to_string(first));
  rig.run(700);
  CHECK(rig.statusOf(again) == 200);
  CHECK(rig.answers.at(again).body.value("replayed").toBool());
  std::uint64_t const readToken = rig.call("GET", "/v1/evacuations/z1");
  rig.run(200);
  CHECK_FALSE(rig.answers.at(readToken).body.value("evacuated").toBool(true));
  std::uint64_t const other = rig.call("DELETE", "/v1/evacuations/z1", "", "", "c" + std::to_string(first));
  rig.run(200);
  CHECK(rig.statusOf(other) == 409);
}

TEST_CASE("an evacuation that never came to be is lifted at once") {
  Rig rig;
  rig.alive = {"n1", "n2", "n3"};
  rig.run(3000);
  std::uint64_t const lift = rig.call("DELETE", "/v1/evacuations/z9");
  rig.run(3000);
  REQUIRE(rig.answers.count(lift) == 1);
  CHECK(rig.answers.at(lift).status == 200);
  CHECK(rig.answers.at(lift).body.value("inForce").toBool());
}

TEST_CASE("a router that refuses connections does not delay a rollout") {
  Rig rig;
  rig.alive = {"a", "b", "c"};
  rig.run(6000);
  rig.alive = {"a", "b"};
  std::uint64_t const t = rig.call("PUT", "/v1/evacuations/z2");
  rig.run(700);
  CHECK(rig.statusOf(t) == 0);
  rig.apply(rig.reducer.onProbeResult(rig.now, "c", true));
  CHECK(rig.statusOf(t) == 200);
}

TEST_CASE("a late acknowledgement after a router's session ended does not count for later changes") {
  Rig rig;
  rig.alive = {"a", "b", "c"};
  rig.run(6000);
  auto const statusReport = [&] {
    transport::RouterStatusReport report;
    report.incompleteRollouts = {transport::RolloutProgress{"zone:z2", 1, {}}};
    for (transport::Send const& s : rig.reducer.onMessage(rig.now, "s1", report).sends)
      if (transport::RouterStatusReport const* const h = std::get_if<transport::RouterStatusReport>(&s.message))
        return *h;
    return transport::RouterStatusReport{};
  };
  std::size_t const c = 2;
  REQUIRE(statusReport().upToDate.test(c));
  rig.alive = {"a", "b"};
  rig.run(11000);
  transport::ConfigurationAck late;
  late.link = "c";
  late.incarnation = 1;
  late.digest = transport::digestOf(rig.have["c"]);
  rig.apply(rig.reducer.onMessage(rig.now, "c", late));
  rig.call("PUT", "/v1/evacuations/z2");
  rig.run(600);
  transport::ServingLeaseRequest request;
  request.sentAt = rig.now;
  request.sender = Rig::contact("c", transport::routerRole);
  request.digest = late.digest;
  rig.apply(rig.reducer.onMessage(rig.now, "c", request));
  transport::RouterStatusReport const answer = statusReport();
  CHECK(answer.upToDate.test(0));
  CHECK_FALSE(answer.upToDate.test(c));
  REQUIRE(answer.rolloutProgress.size() == 1);
  CHECK(answer.rolloutProgress[0].acknowledgedBy.test(0));
  CHECK_FALSE(answer.rolloutProgress[0].acknowledgedBy.test(c));
}

TEST_CASE("rollouts wait for a roster that is lost for good until its nodes are declared departed") {
  Rig rig;
  rig.alive = {"a", "b", "c"};
  rig.run(6000);
  rig.alive = {"d", "e", "f"};
  rig.run(6000);
  CHECK(rig.evacuate("z2", 5000) == 504);
  CHECK(rig.statusOf(rig.call("DELETE", "/v1/nodes/nobody")) == 0);
  for (char const* n : {"a", "b", "c"}) {
    rig.call("DELETE", std::string("/v1/nodes/") + n);
    rig.run(5000);
  }
  rig.run(5000);
  CHECK(rig.evacuate("z3", 700) == 200);
  std::set<std::string> nodes;
  for (QJsonValue const v : rig.reducer.fleet(rig.now).value("nacelles").toArray())
    nodes.insert(core::toStdString(v.toObject().value("link").toString()));
  CHECK(nodes == std::set<std::string>{"d", "e", "f"});
}

TEST_CASE("a singleton role has one holder, who may name its successor, under a rising term") {
  Rig rig;
  rig.run(16000);
  auto const put = [&](char const* method, char const* body) {
    return rig.answers.at(rig.call(method, "/v1/duties/watch", body)).body;
  };
  CHECK(put("PUT", R"({"holder":"a"})").value("granted").toBool());
  CHECK_FALSE(put("PUT", R"({"holder":"b"})").value("granted").toBool());
  CHECK_FALSE(put("PUT", R"({"holder":"c"})").value("granted").toBool());
  CHECK(put("PUT", R"({"holder":"a"})").value("waiting").toArray() == QJsonArray{"b", "c"});
  put("DELETE", R"({"holder":"b","successor":"b"})");
  CHECK_FALSE(put("PUT", R"({"holder":"b"})").value("granted").toBool());
  put("DELETE", R"({"holder":"a","successor":"c"})");
  CHECK_FALSE(put("PUT", R"({"holder":"b"})").value("granted").toBool());
  QJsonObject const next = put("PUT", R"({"holder":"c"})");
  CHECK(next.value("granted").toBool());
  CHECK(next.value("epoch").toInteger() == 2);
  rig.run(14000);
  CHECK_FALSE(put("PUT", R"({"holder":"b"})").value("granted").toBool());
  rig.run(1500);
  CHECK(put("PUT", R"({"holder":"b"})").value("epoch").toInteger() == 3);
  CHECK(rig.statusOf(rig.call("PUT", "/v1/duties/watch", "{")) == 400);
  CHECK(rig.statusOf(rig.call("PUT", "/v1/duties/watch", "{}")) == 422);
}

TEST_CASE("well-typed messages with random values violate no invariant") {
  core::RandomGenerator rng(23);
  std::vector<std::string> const names{"n1",     "n2",         "s1",          "m1",      "m2", "roster",
                                       "cohort", "pool:model", "family:desk", "zone:z1", "x",  ""};
  for (int round = 0; round < 30; ++round) {
    Rig rig;
    rig.alive = {"a", "b", "c"};
    rig.run(3000);
    for (int i = 0; i < 400; ++i) {
      rig.now += static_cast<core::Milliseconds>(rng.below(40));
      rig.apply(rig.reducer.onMessage(
          rig.now, names[rng.below(names.size())],
          transport::randomMessage(rng, names, rig.now, rng.below(std::variant_size_v<transport::Message>))));
      if (i % 9 == 0) rig.apply(rig.reducer.onTimer(rig.now));
      if (i % 40 == 0) rig.call("PUT", "/v1/evacuations/z1");
    }
  }
  // Messages that no member of ours would send tell two values under one revision; nothing else may break.
  for (std::string const& broken : core::GuaranteeCounts::ofThread().takeNewViolations())
    CHECK_THAT(broken, Catch::Contains("one-value-per-revision"));
}

TEST_CASE("a platform's endpoint list is accepted whatever its pools and zones are called") {
  control::ControllerTuning tuning;
  tuning.awaitRollout = false;
  Rig rig(tuning);
  rig.alive = {"a"};
  rig.run(1000);
  std::string const pool = "LM Pool/1.x_%2F";
  corkward::config::Replica replica;
  replica.id = "i-1";
  replica.address = "10.0.0.1:80";
  replica.zone = "ZH.a_1 b";
  corkward::config::EndpointList list;
  list.replicas = {replica};
  rig.apply(rig.reducer.updateEndpointLists(rig.now, {{pool, list}, {"lm", list}}));
  rig.run(1000);
  CHECK(rig.have["a"].count("pool:" + pool) == 1);
  CHECK(rig.have["a"].count("pool:lm") == 1);
  std::uint64_t const readToken = rig.call("GET", "/v1/platform/pools/" + corkward::config::percentEncodeLabel(pool));
  rig.run(300);
  REQUIRE(rig.statusOf(readToken) == 200);
  QJsonObject const listedReplica = rig.answers.at(readToken).body.value("replicas").toArray().at(0).toObject();
  CHECK(listedReplica.value("zone").toString() == "ZH.a_1 b");
}
