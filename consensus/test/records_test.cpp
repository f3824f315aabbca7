#include <catch2/catch.hpp>

#include "consensus/src/reasons.h"
#include "consensus/src/records.h"

namespace consensus = corkward::consensus;
namespace records = corkward::consensus::records;
using consensus::Ballot;

TEST_CASE("decoded records equal the encoded ones") {
  records::RecordMap disk;
  auto const write = [&](records::Record const& record) { disk[record.key] = record.payload; };
  write(records::encode(records::Metadata{"a", true, 4, {"linkA", "linkB"}}));
  write(records::encode("k", records::AcceptorState{"a", Ballot{3, "b"}, {Ballot{2, "c"}, 9}, QJsonObject{{"x", 1}}}));
  write(records::encode(records::AdoptedMembership{"a", {5, {{"a", "linkA"}}}}));

  std::optional<records::Metadata> const metadata = records::decodeMetadata(disk);
  REQUIRE(metadata);
  CHECK(metadata->memberId == "a");
  CHECK(metadata->voting);
  CHECK(metadata->caughtUpRevision == 4);
  CHECK(metadata->founders == std::vector<std::string>{"linkA", "linkB"});
  auto const acceptors = records::decodeAcceptors(disk);
  REQUIRE(acceptors.count("k") == 1);
  CHECK(acceptors.at("k").promised == Ballot{3, "b"});
  CHECK(acceptors.at("k").position == consensus::AcceptedPosition{Ballot{2, "c"}, 9});
  CHECK(acceptors.at("k").value == QJsonObject{{"x", 1}});
  records::AdoptedMembership const adopted = records::decodeMembership(disk);
  CHECK(adopted.memberId == "a");
  CHECK(adopted.membership.revision == 5);
  CHECK(adopted.membership.contains("a"));
}

TEST_CASE("an empty disk has no metadata, no acceptors and no membership") {
  CHECK_FALSE(records::decodeMetadata({}));
  CHECK(records::decodeAcceptors({}).empty());
  CHECK(records::decodeMembership({}).membership.revision == 0);
}

TEST_CASE("a majority is more than half of the members, and an empty membership has none") {
  consensus::Membership const four{1, {{"a", ""}, {"b", ""}, {"c", ""}, {"d", ""}}};
  CHECK_FALSE(four.hasMajority({"a", "b"}));
  CHECK_FALSE(four.hasMajority({"a", "b", "x", "y"}));
  CHECK(four.hasMajority({"a", "b", "c"}));
  CHECK_FALSE(consensus::Membership{}.hasMajority({"a"}));
}

TEST_CASE("a call that was not executed fails with status 503, and a call with an unknown outcome with 504") {
  using consensus::CallFailure;
  for (auto const failure : {CallFailure::memberCannotVote, CallFailure::noQuorum, CallFailure::memberRemoved}) {
    consensus::CallCompleted const failed = consensus::failedCall(7, "k", failure);
    CHECK(failed.status == 503);
    CHECK(failed.body.value("error").toString() == "not accepted");
    CHECK(failed.revision == 0);
  }
  for (auto const failure : {CallFailure::ownershipLost, CallFailure::acceptTimeout}) {
    consensus::CallCompleted const failed = consensus::failedCall(7, "k", failure);
    CHECK(failed.status == 504);
    CHECK(failed.body.value("error").toString() == "unknown");
  }
}
