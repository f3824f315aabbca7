#include <catch2/catch.hpp>

#include "consensus/src/proposer.h"

namespace consensus = corkward::consensus;
namespace transport = corkward::transport;
using consensus::Ballot;
using consensus::Proposer;

namespace {

consensus::Membership const threeMembers{1, {{"a", "linkA"}, {"b", "linkB"}, {"c", "linkC"}}};

transport::Promise promiseOf(Proposer const& proposer, std::string const& memberId, Ballot const& acceptedBallot = {},
                             std::uint64_t revision = 0) {
  transport::Promise promise;
  promise.ballot = proposer.ballot();
  promise.member = memberId;
  promise.granted = true;
  promise.promised = proposer.ballot();
  promise.acceptedBallot = acceptedBallot;
  promise.revision = revision;
  return promise;
}

consensus::Proposal proposalOf(std::uint64_t revision) {
  consensus::Proposal proposal;
  proposal.revision = revision;
  return proposal;
}

Proposer owner() {
  Proposer proposer;
  proposer.startElection({}, "a", 10);
  proposer.becomeOwner(20);
  return proposer;
}

}  // namespace

TEST_CASE("an election uses a ballot higher than every promised, observed or own ballot") {
  Proposer proposer;
  proposer.observeBallot(5);
  proposer.startElection(Ballot{3, "b"}, "a", 10);
  CHECK(proposer.ballot() == Ballot{6, "a"});
  proposer.startElection(Ballot{9, "b"}, "a", 20);
  CHECK(proposer.ballot() == Ballot{10, "a"});
  CHECK(proposer.isPreparing());
}

TEST_CASE("an election is won with the promises of a majority that contains the candidate") {
  Proposer proposer;
  proposer.startElection({}, "a", 10);
  CHECK_FALSE(proposer.recordPromise(promiseOf(proposer, "b"), "a", threeMembers));
  CHECK_FALSE(proposer.recordPromise(promiseOf(proposer, "c"), "a", threeMembers));
  CHECK(proposer.recordPromise(promiseOf(proposer, "a"), "a", threeMembers));
}

TEST_CASE("a proposer awaits promises only for its current ballot and only until it owns the key") {
  Proposer proposer;
  proposer.startElection({}, "a", 10);
  transport::Promise promise = promiseOf(proposer, "b");
  CHECK(proposer.awaitsPromise(promise));
  promise.ballot.number += 1;
  CHECK_FALSE(proposer.awaitsPromise(promise));
  promise = promiseOf(proposer, "b");
  proposer.becomeOwner(20);
  CHECK_FALSE(proposer.awaitsPromise(promise));
}

TEST_CASE("a new owner gets the promise whose value was accepted under the highest ballot") {
  Proposer proposer;
  proposer.startElection({}, "a", 10);
  proposer.recordPromise(promiseOf(proposer, "a", Ballot{1, "a"}, 9), "a", threeMembers);
  proposer.recordPromise(promiseOf(proposer, "b", Ballot{2, "b"}, 4), "a", threeMembers);
  proposer.recordPromise(promiseOf(proposer, "c"), "a", threeMembers);
  std::optional<transport::Promise> const newest = proposer.becomeOwner(20);
  REQUIRE(newest);
  CHECK(newest->member == "b");
  CHECK(proposer.isOwner());
}

TEST_CASE("a new owner gets no value to propose first if no promising member has accepted one") {
  Proposer proposer;
  proposer.startElection({}, "a", 10);
  proposer.recordPromise(promiseOf(proposer, "a"), "a", threeMembers);
  CHECK_FALSE(proposer.becomeOwner(20));
}

TEST_CASE("a value is chosen when a majority of the members has accepted it") {
  Proposer proposer = owner();
  proposer.propose(proposalOf(4), 30);
  CHECK_FALSE(proposer.recordAccepted("a", threeMembers, false));
  CHECK_FALSE(proposer.recordAccepted("x", threeMembers, false));
  CHECK(proposer.recordAccepted("b", threeMembers, false));
  CHECK(proposer.takeProposal().revision == 4);
  CHECK_FALSE(proposer.proposal());
}

TEST_CASE("a membership change also needs a majority of the proposed membership") {
  Proposer proposer = owner();
  consensus::Proposal proposal = proposalOf(2);
  proposal.nextMembership = {2, {{"a", "linkA"}, {"d", "linkD"}, {"e", "linkE"}}};
  proposer.propose(proposal, 30);
  CHECK_FALSE(proposer.recordAccepted("a", threeMembers, true));
  CHECK_FALSE(proposer.recordAccepted("b", threeMembers, true));
  CHECK(proposer.recordAccepted("d", threeMembers, true));
}

TEST_CASE("a proposer does not await an acceptance for another ballot or revision") {
  Proposer proposer = owner();
  proposer.propose(proposalOf(4), 30);
  transport::Accepted accepted{"k", proposer.ballot(), "b", 4, true, proposer.ballot()};
  CHECK(proposer.awaitsAccepted(accepted));
  accepted.revision = 3;
  CHECK_FALSE(proposer.awaitsAccepted(accepted));
  accepted.revision = 4;
  accepted.ballot.number += 1;
  CHECK_FALSE(proposer.awaitsAccepted(accepted));
}

TEST_CASE("stepping down returns the interrupted proposal and forgets the promises") {
  Proposer proposer = owner();
  consensus::Proposal proposal = proposalOf(4);
  proposal.token = 77;
  proposer.propose(proposal, 30);
  std::optional<consensus::Proposal> const interrupted = proposer.stepDown();
  REQUIRE(interrupted);
  CHECK(interrupted->token == 77);
  CHECK(proposer.isIdle());
  CHECK(proposer.promises().empty());
  CHECK_FALSE(proposer.stepDown());
}
