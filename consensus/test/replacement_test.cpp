#include <catch2/catch.hpp>

#include <iostream>

#include "cluster_steps.h"

namespace core = corkward::core;
namespace consensus = corkward::consensus;
namespace transport = corkward::transport;
using consensus::acknowledges;
using consensus::Cluster;
using consensus::shortTimeouts;
using consensus::threeLinks;
using core::Milliseconds;

namespace {

/// Time that a replacement has before the next loss may come.
constexpr Milliseconds catchUp = 4000;
/// Longest time that a draining member may stay.
constexpr Milliseconds gracePeriod = 7000;
/// Shortest time that a draining member stays.
constexpr Milliseconds minimumDrain = 1000;

void bootstrapAll(Cluster& cluster, std::vector<std::string> const& links) {
  for (std::string const& l : links) cluster.boot(l, threeLinks);
  REQUIRE(cluster.until([&] { return cluster.isStable(); }, 6000) >= 0);
}

/// Drains a member, and ends it when its handover is complete, or after the grace period.
Milliseconds drain(Cluster& cluster, std::string const& link, bool removeMachine) {
  Milliseconds const since = cluster.now;
  cluster.handOver(link);
  cluster.run(minimumDrain);
  cluster.until([&] { return cluster.at(link).handoverComplete(cluster.now); }, gracePeriod - minimumDrain);
  if (removeMachine)
    cluster.remove(link);
  else
    cluster.kill(link);
  return cluster.now - since;
}

bool diskHolds(Cluster& cluster, std::string const& link, std::string const& key, std::uint64_t revision) {
  std::map<std::string, std::string> const& disk = cluster.machines.at(link).disk;
  if (disk.count("slot:" + key) == 0) return false;
  return core::parseJson(disk.at("slot:" + key)).toObject().value("s").toInteger() == static_cast<qint64>(revision);
}

}  // namespace

TEST_CASE("the loss of another member right after a replacement leaves a majority") {
  for (std::size_t members : {3U, 4U, 5U})
    for (bool const planned : {true, false})
      for (bool const wiped : {true, false})
        for (std::string const& leaving : threeLinks)
          for (std::string const& lost : threeLinks) {
            if (lost == leaving) continue;
            Cluster cluster(members * 7 + leaving[0], shortTimeouts());
            std::vector<std::string> links{"a", "b", "c", "d", "e"};
            links.resize(members);
            bootstrapAll(cluster, links);
            REQUIRE(acknowledges(cluster, "a", "k", 3000));
            INFO(members << " members, " << (planned ? "planned" : "gone") << ", " << leaving << " replaced, then "
                         << lost << (wiped ? " wiped" : " killed"));
            if (!planned) {
              cluster.remove(leaving);
              cluster.run(1000);
            }
            cluster.boot("x");
            Milliseconds const joinedAt = cluster.now;
            if (planned) {
              cluster.run(1000);
              CHECK(drain(cluster, leaving, true) < 2000);
            }
            cluster.run(joinedAt + catchUp - cluster.now);
            cluster.kill(lost);
            if (wiped) cluster.machines.at(lost).disk.clear();
            CHECK(acknowledges(cluster, "x", "k", 3000));
            cluster.run(1000);
            cluster.boot(lost);
            CHECK(cluster.until([&] { return cluster.isStable(); }, catchUp) >= 0);
            CHECK(cluster.violations.empty());
            CHECK(cluster.lostAcknowledged().empty());
          }
}

TEST_CASE("a draining member leaves every change on a majority of the disks") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    bootstrapAll(cluster, threeLinks);
    REQUIRE(acknowledges(cluster, "a", "k", 3000));
    cluster.cutOff("c", true);
    std::uint64_t revision = 0;
    for (int i = 0; i < 5; ++i) REQUIRE(acknowledges(cluster, "a", "k", 5000));
    revision = cluster.newest.at("k");
    cluster.cutOff("c", false);
    CHECK_FALSE(diskHolds(cluster, "c", "k", revision));
    std::string const owner = cluster.at("a").ownerLink("k", cluster.now);
    std::string const other = owner == "a" ? "b" : "a";
    CHECK(drain(cluster, other, true) < gracePeriod);
    CHECK(diskHolds(cluster, "c", "k", revision));
    CHECK(diskHolds(cluster, owner, "k", revision));
  }
}

TEST_CASE("a draining member owns no key while another can, and completes its calls") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    bootstrapAll(cluster, threeLinks);
    for (char const* key : {"i", "j", "k"}) REQUIRE(acknowledges(cluster, "a", key, 3000));
    std::string const owner = cluster.at("a").ownerLink("k", cluster.now);
    std::uint64_t const token = cluster.call(owner, "k");
    cluster.handOver(owner);
    CHECK(cluster.until([&] { return cluster.at(owner).ownedCount() == 0; }, 500) >= 0);
    CHECK(cluster.statusOf(token) == 200);
    CHECK(cluster.until([&] { return cluster.at(owner).handoverComplete(cluster.now); }, 2000) >= 0);
    for (int i = 0; i < 40; ++i) {
      cluster.run(50);
      CHECK(cluster.at(owner).ownedCount() == 0);
    }
    cluster.kill(owner);
    cluster.boot(owner);
    CHECK(cluster.until([&] { return cluster.isStable(); }, 2000) >= 0);
    CHECK(cluster.size("a") == 3);
  }
}

TEST_CASE("a rolling restart loses no acknowledged change, in clusters of every size") {
  for (std::size_t members = 3; members <= 6; ++members) {
    Cluster cluster(members, shortTimeouts());
    std::vector<std::string> links{"a", "b", "c", "d", "e", "f"};
    links.resize(members);
    bootstrapAll(cluster, links);
    for (std::string const& l : links) {
      REQUIRE(acknowledges(cluster, l, "k", 3000));
      CHECK(drain(cluster, l, false) < 2000);
      cluster.run(300);
      cluster.boot(l);
      INFO(l << " of " << members);
      CHECK(cluster.until([&] { return cluster.isStable(); }, catchUp) >= 0);
    }
    CHECK(acknowledges(cluster, "a", "k", 2000));
    CHECK(cluster.violations.empty());
    CHECK(cluster.lostAcknowledged().empty());
  }
}

TEST_CASE("a snapshot larger than one chunk completes while changes go on") {
  consensus::ConsensusTuning tuning = shortTimeouts();
  tuning.snapshotChunkBytes = 100;
  Cluster cluster(3, tuning);
  bootstrapAll(cluster, threeLinks);
  for (int i = 0; i < 40; ++i) REQUIRE(acknowledges(cluster, "a", "k" + std::to_string(i), 3000));
  std::size_t most = 0;
  int parts = 0;
  cluster.watch = [&](std::string const&, transport::Send const& s) {
    transport::SnapshotChunk const* const chunk = std::get_if<transport::SnapshotChunk>(&s.message);
    if (chunk == nullptr) return;
    parts += chunk->hasMore ? 1 : 0;
    std::size_t bytes = 0;
    for (transport::RecordSlot const& slot : chunk->slots) bytes += core::jsonText(slot.value).size();
    most = std::max(most, bytes);
  };
  cluster.kill("c");
  cluster.machines.at("c").disk.clear();
  cluster.run(1200);
  cluster.boot("c");
  Milliseconds const since = cluster.now;
  while (cluster.now - since < catchUp && !cluster.isStable()) {
    cluster.call("a", "k" + std::to_string(cluster.rng.below(40)));
    cluster.run(20);
  }
  CHECK(cluster.isStable());
  CHECK(parts > 3);
  CHECK(most < 200);
  CHECK(cluster.lostAcknowledged().empty());
}

TEST_CASE("a snapshot that an earlier process requested is ignored") {
  Cluster cluster(9, shortTimeouts());
  bootstrapAll(cluster, threeLinks);
  REQUIRE(acknowledges(cluster, "a", "k", 3000));
  cluster.kill("c");
  cluster.machines.at("c").disk.clear();
  cluster.run(1500);
  std::vector<transport::Message> late;
  cluster.watch = [&](std::string const&, transport::Send const& s) {
    if (s.to == "c" && std::holds_alternative<transport::SnapshotChunk>(s.message)) late.push_back(s.message);
  };
  cluster.boot("c");
  REQUIRE(cluster.until([&] { return cluster.votes("c"); }, catchUp) >= 0);
  REQUIRE(late.size() >= 2);
  std::map<std::string, std::string> disk = cluster.machines.at("c").disk;
  consensus::ReplicatedRegisters fresh(cluster.at("c").self(), {}, {}, 77);
  disk["meta"] = R"({"id":")" + cluster.at("c").self().id + R"(","voting":false,"settled":0,"founders":[]})";
  disk.erase("slot:k");
  fresh.restore(disk, false, cluster.now);
  fresh.onTimer(cluster.now);
  for (transport::Message const& m : late) {
    consensus::RegisterCommands const c = fresh.onMessage(cluster.now, "a", m);
    for (consensus::PersistCommand const& p : c.persists) fresh.onPersisted(cluster.now, p.ticket, true);
  }
  CHECK_FALSE(fresh.isVoting());
}

TEST_CASE("the duration of a replacement does not grow with the number of past changes") {
  for (int changes : {1, 300, 2000}) {
    Cluster cluster(5, shortTimeouts());
    bootstrapAll(cluster, threeLinks);
    for (int i = 0; i < changes; ++i) {
      std::uint64_t const token = cluster.call("a", "k");
      REQUIRE(cluster.until([&] { return cluster.statusOf(token) == 200; }, 3000) >= 0);
      if (i % 50 == 0) cluster.acknowledged.clear();
    }
    std::size_t bytes = 0;
    cluster.watch = [&](std::string const&, transport::Send const& s) {
      if (transport::SnapshotChunk const* const chunk = std::get_if<transport::SnapshotChunk>(&s.message))
        for (transport::RecordSlot const& slot : chunk->slots) bytes += core::jsonText(slot.value).size();
    };
    cluster.boot("d");
    Milliseconds const joined = cluster.until([&] { return cluster.votes("d"); }, catchUp);
    cluster.run(1000 - joined);
    Milliseconds const since = cluster.now;
    cluster.handOver("a");
    Milliseconds const handed =
        cluster.until([&] { return cluster.at("a").handoverComplete(cluster.now); }, gracePeriod);
    std::cout << changes << " changes: votes after " << joined << " ms, replaced " << handed
              << " ms after the old one began to drain, " << bytes << " bytes copied" << std::endl;
    CHECK(joined >= 0);
    CHECK(joined < 1000);
    CHECK(handed >= 0);
    CHECK(cluster.now - since < 1000);
  }
}
