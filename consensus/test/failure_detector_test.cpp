#include <catch2/catch.hpp>

#include "consensus/src/failure_detector.h"
#include "consensus/src/learner.h"

namespace consensus = corkward::consensus;
namespace transport = corkward::transport;

namespace {

constexpr corkward::core::Milliseconds ownerTimeout = 1000;
consensus::Membership const threeMembers{1, {{"a", "linkA"}, {"b", "linkB"}, {"c", "linkC"}}};

consensus::FailureDetector detectorOfA() {
  consensus::FailureDetector detector(ownerTimeout);
  detector.start(1000);
  detector.setMembers(threeMembers, 1000);
  return detector;
}

transport::Heartbeat heartbeatOf(std::string const& memberId) {
  transport::Heartbeat heartbeat;
  heartbeat.member = memberId;
  heartbeat.voting = true;
  return heartbeat;
}

transport::HeartbeatReply replyOf(std::string const& memberId, corkward::core::Milliseconds heartbeatSentAt,
                                  transport::Revisions const& accepted) {
  transport::HeartbeatReply reply;
  reply.requestSentAt = heartbeatSentAt;
  reply.member = memberId;
  reply.voting = true;
  reply.accepted = accepted;
  reply.acceptedDigest = transport::digestOf(accepted);
  return reply;
}

}  // namespace

TEST_CASE("a voting peer is alive until the owner timeout has passed since its last contact") {
  consensus::FailureDetector detector = detectorOfA();
  CHECK_FALSE(detector.isAlive("b", 1000));
  detector.recordHeartbeat(heartbeatOf("b"), 1500);
  CHECK(detector.isAlive("b", 2499));
  CHECK_FALSE(detector.isAlive("b", 2500));
  CHECK(detector.timeSinceContact("b", "a", 2500) == 1000);
}

TEST_CASE("time without contact does not count while this machine is suspended") {
  consensus::FailureDetector detector = detectorOfA();
  detector.recordHeartbeat(heartbeatOf("b"), 1500);
  detector.onTimer(1500);
  detector.onTimer(9000);
  CHECK(detector.timeSinceContact("b", "a", 9100) == 100);
}

TEST_CASE("this member counts towards the quorum only if it votes, and a peer only within the owner timeout") {
  consensus::FailureDetector detector = detectorOfA();
  detector.updateQuorum(threeMembers, "a", true, 1000);
  CHECK_FALSE(detector.hasQuorum());
  detector.recordHeartbeat(heartbeatOf("b"), 1100);
  detector.updateQuorum(threeMembers, "a", false, 1100);
  CHECK_FALSE(detector.hasQuorum());
  detector.updateQuorum(threeMembers, "a", true, 1100);
  CHECK(detector.hasQuorum());
  CHECK_FALSE(detector.hasQuorumFor(100, 1199));
  CHECK(detector.hasQuorumFor(100, 1200));
  detector.updateQuorum(threeMembers, "a", true, 2100);
  CHECK_FALSE(detector.hasQuorum());
}

TEST_CASE("a reply that reports an accepted value not known as committed does not count as quorum contact") {
  consensus::FailureDetector detector = detectorOfA();
  consensus::Learner const learner;
  CHECK(detector.quorumContactAt(threeMembers, "a", 2000) == -1);
  detector.recordReply(replyOf("b", 1200, {{"k", 3}}), learner, 1210);
  CHECK(detector.quorumContactAt(threeMembers, "a", 2000) == -1);
  CHECK(detector.mayHaveAcceptedValue("k"));
  CHECK(detector.newestAcceptedRevision("k") == 3);
  detector.recordReply(replyOf("c", 1300, {}), learner, 1310);
  CHECK(detector.quorumContactAt(threeMembers, "a", 2000) == 1300);
}

TEST_CASE("an accepted value that this member does not know as committed limits its quorum contact") {
  consensus::FailureDetector detector = detectorOfA();
  consensus::Learner learner;
  detector.recordReply(replyOf("b", 1900, {}), learner, 1910);
  learner.noteAccepted("k", 1, 1500);
  CHECK(detector.quorumContactAt(threeMembers, "a", learner.confirmedUntil(2000)) == 1500);
}

TEST_CASE("a draining peer is alive but is not available to take over keys") {
  consensus::FailureDetector detector = detectorOfA();
  transport::Heartbeat draining = heartbeatOf("b");
  draining.draining = true;
  detector.recordHeartbeat(draining, 1100);
  detector.recordHeartbeat(heartbeatOf("c"), 1100);
  CHECK(detector.isAlive("b", 1200));
  std::vector<consensus::Member> const available = detector.availablePeers(threeMembers, "a", 1200);
  REQUIRE(available.size() == 1);
  CHECK(available.front().id == "c");
}

TEST_CASE("the state of a peer is dropped when it is no longer a member") {
  consensus::FailureDetector detector = detectorOfA();
  detector.setMembers({2, {{"a", "linkA"}, {"d", "linkD"}}}, 2000);
  CHECK(detector.find("b") == nullptr);
  REQUIRE(detector.find("d") != nullptr);
  CHECK(detector.timeSinceContact("d", "a", 2300) == 300);
}
