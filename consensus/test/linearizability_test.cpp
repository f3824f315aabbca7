#include <catch2/catch.hpp>

#include <corkward/core/guarantees.h>

#include "cluster_steps.h"

namespace core = corkward::core;
namespace consensus = corkward::consensus;
namespace transport = corkward::transport;
using consensus::bootstrap;
using consensus::Cluster;
using consensus::shortTimeouts;
using consensus::threeLinks;
using core::Milliseconds;

TEST_CASE("an accepted value that a member does not know as committed limits the member's quorum contact") {
  Cluster cluster(1, shortTimeouts());
  bootstrap(cluster, threeLinks);
  std::string const owner = cluster.member("a").ownerLink("k", cluster.now);
  std::string const other = owner == "a" ? "b" : "a";
  std::string const third = owner == "c" || other == "c" ? (owner == "b" || other == "b" ? "a" : "b") : "c";
  cluster.setPartitioned(owner, third, true);
  cluster.append(owner, "k");
  bool accepted = false;
  cluster.onSend = [&](std::string const& from, transport::Send const& send) {
    accepted = accepted || (from == other && std::holds_alternative<transport::Accepted>(send.message));
  };
  REQUIRE(cluster.runUntil([&] { return accepted; }, 1000) >= 0);
  cluster.setPartitioned(owner, other, true);
  Milliseconds const since = cluster.now;
  cluster.run(700);
  CHECK(cluster.member(other).quorumContactAge(cluster.now) >= cluster.now - since);
}

TEST_CASE("a read that starts in the millisecond of a heartbeat is answered only after a later heartbeat") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Cluster cluster(seed, shortTimeouts());
    bootstrap(cluster, threeLinks);
    std::string const owner = cluster.member("a").ownerLink("k", cluster.now);
    bool heartbeatSent = false;
    cluster.onSend = [&](std::string const& from, transport::Send const& send) {
      heartbeatSent = heartbeatSent || (from == owner && std::holds_alternative<transport::Heartbeat>(send.message));
    };
    REQUIRE(cluster.runUntil([&] { return heartbeatSent; }, 1000) >= 0);
    std::uint64_t const token = cluster.read(owner, "k");
    cluster.run(10);
    CHECK(cluster.statusOf(token) == 0);
    cluster.run(60);
    CHECK(cluster.statusOf(token) == 200);
  }
}

TEST_CASE("a reply to a heartbeat of the millisecond in which a read starts does not confirm the read") {
  // The explorer found this fault in its model of the registers. The reply to a heartbeat is sent before another
  // owner's change is committed, and arrives after the read has started. The clock of the member that reads still shows
  // the millisecond in which this member sent the heartbeat. If the reply confirmed the read, the read would return an
  // old value.
  Cluster cluster(1, shortTimeouts());
  bootstrap(cluster, threeLinks);
  std::string const ownerLink = cluster.member("a").ownerLink("k", cluster.now);
  REQUIRE_FALSE(ownerLink.empty());
  Milliseconds const now = cluster.now + 1000;
  std::string const other = ownerLink == "b" ? "c" : "b";
  consensus::ReplicatedRegisters& member = cluster.member(ownerLink);
  std::vector<transport::Message> replies;
  for (transport::Send const& send : member.onTimer(now).sends)
    if (std::holds_alternative<transport::Heartbeat>(send.message) && send.to == other)
      for (transport::Send const& reply : cluster.member(other).onMessage(now, ownerLink, send.message).sends)
        if (reply.to == ownerLink) replies.push_back(reply.message);
  REQUIRE(replies.size() == 1);
  transport::OperatorCall read;
  read.token = 77;
  read.method = "GET";
  // Marks the call as a read for the cluster's validator.
  Cluster::readOnlyToken = read.token;
  std::vector<consensus::CallCompleted> completed = member.submit(now, "k", read).completedCalls;
  for (consensus::CallCompleted const& call : member.onMessage(now, other, replies.front()).completedCalls)
    completed.push_back(call);
  CHECK(completed.empty());
  std::vector<transport::Send> const laterSends = member.onTimer(now + 1).sends;
  for (transport::Send const& send : laterSends)
    if (std::holds_alternative<transport::Heartbeat>(send.message) && send.to == other)
      for (transport::Send const& reply : cluster.member(other).onMessage(now + 1, ownerLink, send.message).sends)
        for (consensus::CallCompleted const& call : member.onMessage(now + 1, other, reply.message).completedCalls)
          completed.push_back(call);
  Cluster::readOnlyToken = 0;
  REQUIRE(completed.size() == 1);
  CHECK(completed.front().token == 77);
  CHECK(completed.front().status == 200);
}

TEST_CASE(
    "a commit of a second value under a committed revision violates a guarantee and leaves the first value in place") {
  Cluster cluster(5);
  bootstrap(cluster, threeLinks);
  consensus::ReplicatedRegisters& member = cluster.member("a");
  consensus::CommittedValue const before = member.committed().at("k");
  core::GuaranteeCounts& counts = core::GuaranteeCounts::ofThread();
  transport::Commit commit{{}, {"k", before.revision, before.value}};
  member.onMessage(cluster.now, "b", commit);
  CHECK(counts.takeNewViolations().empty());
  commit.entry.value.insert("other", true);
  member.onMessage(cluster.now, "b", commit);
  std::vector<std::string> const violations = counts.takeNewViolations();
  REQUIRE(violations.size() == 1);
  CHECK_THAT(violations.front(), Catch::Contains("one-value-per-revision"));
  CHECK(member.committed().at("k").value == before.value);
}
