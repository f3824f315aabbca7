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

/// Time in which a replacement must complete before the test kills another member.
constexpr Milliseconds catchUpTime = 4000;
/// Longest time for which a draining member runs.
constexpr Milliseconds gracePeriod = 7000;
/// Shortest time for which a draining member runs.
constexpr Milliseconds minimumDrain = 1000;

void bootstrapAll(Cluster& cluster, std::vector<std::string> const& links) {
  for (std::string const& link : links) cluster.start(link, threeLinks);
  REQUIRE(cluster.runUntil([&] { return cluster.isStable(); }, 6000) >= 0);
}

/// Drains a member and ends its process once the handover is complete or the grace period is over. Returns how long
/// that took.
Milliseconds drain(Cluster& cluster, std::string const& link, bool removeMachine) {
  Milliseconds const since = cluster.now;
  cluster.startHandover(link);
  cluster.run(minimumDrain);
  cluster.runUntil([&] { return cluster.member(link).handoverComplete(cluster.now); }, gracePeriod - minimumDrain);
  if (removeMachine)
    cluster.removeMachine(link);
  else
    cluster.kill(link);
  return cluster.now - since;
}

/// Returns true if the machine's disk stores this revision as the accepted revision of the key.
bool diskHasAccepted(Cluster& cluster, std::string const& link, std::string const& key, std::uint64_t revision) {
  std::map<std::string, std::string> const& disk = cluster.machines.at(link).disk;
  if (disk.count("slot:" + key) == 0) return false;
  return core::parseJson(disk.at("slot:" + key)).toObject().value("s").toInteger() == static_cast<qint64>(revision);
}

}  // namespace

TEST_CASE("a cluster serves calls when another member is lost 4 seconds after the start of a replacement") {
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
            INFO(members << " members, " << (planned ? "planned" : "unplanned") << ", " << leaving << " replaced, then "
                         << lost << (wiped ? " wiped" : " killed"));
            if (!planned) {
              cluster.removeMachine(leaving);
              cluster.run(1000);
            }
            cluster.start("x");
            Milliseconds const joinedAt = cluster.now;
            if (planned) {
              cluster.run(1000);
              CHECK(drain(cluster, leaving, true) < 2000);
            }
            cluster.run(joinedAt + catchUpTime - cluster.now);
            cluster.kill(lost);
            if (wiped) cluster.machines.at(lost).disk.clear();
            CHECK(acknowledges(cluster, "x", "k", 3000));
            cluster.run(1000);
            cluster.start(lost);
            CHECK(cluster.runUntil([&] { return cluster.isStable(); }, catchUpTime) >= 0);
            CHECK(cluster.violations.empty());
            CHECK(cluster.keysWithLostItems().empty());
          }
}

TEST_CASE("a handover completes only after a peer that was behind has accepted every committed change") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    bootstrapAll(cluster, threeLinks);
    REQUIRE(acknowledges(cluster, "a", "k", 3000));
    cluster.setIsolated("c", true);
    std::uint64_t revision = 0;
    for (int i = 0; i < 5; ++i) REQUIRE(acknowledges(cluster, "a", "k", 5000));
    revision = cluster.newestRevisions.at("k");
    cluster.setIsolated("c", false);
    CHECK_FALSE(diskHasAccepted(cluster, "c", "k", revision));
    std::string const owner = cluster.member("a").ownerLink("k", cluster.now);
    std::string const other = owner == "a" ? "b" : "a";
    CHECK(drain(cluster, other, true) < gracePeriod);
    CHECK(diskHasAccepted(cluster, "c", "k", revision));
    CHECK(diskHasAccepted(cluster, owner, "k", revision));
  }
}

TEST_CASE("a draining member completes its calls, then owns no key while another member is available") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    bootstrapAll(cluster, threeLinks);
    for (char const* key : {"i", "j", "k"}) REQUIRE(acknowledges(cluster, "a", key, 3000));
    std::string const owner = cluster.member("a").ownerLink("k", cluster.now);
    std::uint64_t const token = cluster.append(owner, "k");
    cluster.startHandover(owner);
    CHECK(cluster.runUntil([&] { return cluster.member(owner).ownedCount() == 0; }, 500) >= 0);
    CHECK(cluster.statusOf(token) == 200);
    CHECK(cluster.runUntil([&] { return cluster.member(owner).handoverComplete(cluster.now); }, 2000) >= 0);
    for (int i = 0; i < 40; ++i) {
      cluster.run(50);
      CHECK(cluster.member(owner).ownedCount() == 0);
    }
    cluster.kill(owner);
    cluster.start(owner);
    CHECK(cluster.runUntil([&] { return cluster.isStable(); }, 2000) >= 0);
    CHECK(cluster.membershipSize("a") == 3);
  }
}

TEST_CASE("a rolling restart of 3 to 6 members loses no acknowledged change") {
  for (std::size_t members = 3; members <= 6; ++members) {
    Cluster cluster(members, shortTimeouts());
    std::vector<std::string> links{"a", "b", "c", "d", "e", "f"};
    links.resize(members);
    bootstrapAll(cluster, links);
    for (std::string const& link : links) {
      REQUIRE(acknowledges(cluster, link, "k", 3000));
      CHECK(drain(cluster, link, false) < 2000);
      cluster.run(300);
      cluster.start(link);
      INFO(link << " of " << members);
      CHECK(cluster.runUntil([&] { return cluster.isStable(); }, catchUpTime) >= 0);
    }
    CHECK(acknowledges(cluster, "a", "k", 2000));
    CHECK(cluster.violations.empty());
    CHECK(cluster.keysWithLostItems().empty());
  }
}

TEST_CASE("a catch-up with a snapshot of several chunks completes during further changes") {
  consensus::ConsensusTuning tuning = shortTimeouts();
  tuning.snapshotChunkBytes = 100;
  Cluster cluster(3, tuning);
  bootstrapAll(cluster, threeLinks);
  for (int i = 0; i < 40; ++i) REQUIRE(acknowledges(cluster, "a", "k" + std::to_string(i), 3000));
  std::size_t largestChunk = 0;
  int partialChunks = 0;
  cluster.onSend = [&](std::string const&, transport::Send const& send) {
    transport::SnapshotChunk const* const chunk = std::get_if<transport::SnapshotChunk>(&send.message);
    if (chunk == nullptr) return;
    partialChunks += chunk->hasMore ? 1 : 0;
    std::size_t bytes = 0;
    for (transport::RecordSlot const& slot : chunk->slots) bytes += core::jsonText(slot.value).size();
    largestChunk = std::max(largestChunk, bytes);
  };
  cluster.kill("c");
  cluster.machines.at("c").disk.clear();
  cluster.run(1200);
  cluster.start("c");
  Milliseconds const since = cluster.now;
  while (cluster.now - since < catchUpTime && !cluster.isStable()) {
    cluster.append("a", "k" + std::to_string(cluster.random.below(40)));
    cluster.run(20);
  }
  CHECK(cluster.isStable());
  CHECK(partialChunks > 3);
  CHECK(largestChunk < 200);
  CHECK(cluster.keysWithLostItems().empty());
}

TEST_CASE("a snapshot chunk that an earlier process requested is ignored") {
  Cluster cluster(9, shortTimeouts());
  bootstrapAll(cluster, threeLinks);
  REQUIRE(acknowledges(cluster, "a", "k", 3000));
  cluster.kill("c");
  cluster.machines.at("c").disk.clear();
  cluster.run(1500);
  std::vector<transport::Message> chunks;
  cluster.onSend = [&](std::string const&, transport::Send const& send) {
    if (send.to == "c" && std::holds_alternative<transport::SnapshotChunk>(send.message))
      chunks.push_back(send.message);
  };
  cluster.start("c");
  REQUIRE(cluster.runUntil([&] { return cluster.isVotingMember("c"); }, catchUpTime) >= 0);
  REQUIRE(chunks.size() >= 2);
  std::map<std::string, std::string> disk = cluster.machines.at("c").disk;
  consensus::ReplicatedRegisters restarted(cluster.member("c").self(), {}, {}, 77);
  disk["meta"] = R"({"id":")" + cluster.member("c").self().id + R"(","voting":false,"settled":0,"founders":[]})";
  disk.erase("slot:k");
  restarted.restore(disk, false, cluster.now);
  restarted.onTimer(cluster.now);
  for (transport::Message const& message : chunks) {
    consensus::RegisterCommands const commands = restarted.onMessage(cluster.now, "a", message);
    for (consensus::PersistCommand const& persist : commands.persists)
      restarted.onPersisted(cluster.now, persist.ticket, true);
  }
  CHECK_FALSE(restarted.isVoting());
}

TEST_CASE("a replacement takes under a second after 1, 300 and 2000 past changes") {
  for (int changes : {1, 300, 2000}) {
    Cluster cluster(5, shortTimeouts());
    bootstrapAll(cluster, threeLinks);
    for (int i = 0; i < changes; ++i) {
      std::uint64_t const token = cluster.append("a", "k");
      REQUIRE(cluster.runUntil([&] { return cluster.statusOf(token) == 200; }, 3000) >= 0);
      if (i % 50 == 0) cluster.acknowledgedItems.clear();
    }
    std::size_t bytes = 0;
    cluster.onSend = [&](std::string const&, transport::Send const& send) {
      if (transport::SnapshotChunk const* const chunk = std::get_if<transport::SnapshotChunk>(&send.message))
        for (transport::RecordSlot const& slot : chunk->slots) bytes += core::jsonText(slot.value).size();
    };
    cluster.start("d");
    Milliseconds const votedAfter = cluster.runUntil([&] { return cluster.isVotingMember("d"); }, catchUpTime);
    cluster.run(1000 - votedAfter);
    Milliseconds const since = cluster.now;
    cluster.startHandover("a");
    Milliseconds const handoverTook =
        cluster.runUntil([&] { return cluster.member("a").handoverComplete(cluster.now); }, gracePeriod);
    std::cout << changes << " changes: new member votes after " << votedAfter << " ms, handover complete "
              << handoverTook << " ms after the old member began to drain, " << bytes
              << " bytes of values sent in snapshots" << std::endl;
    CHECK(votedAfter >= 0);
    CHECK(votedAfter < 1000);
    CHECK(handoverTook >= 0);
    CHECK(cluster.now - since < 1000);
  }
}
