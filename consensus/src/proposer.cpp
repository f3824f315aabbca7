#include "proposer.h"

#include <algorithm>
#include <utility>

#include <corkward/core/error.h>

namespace corkward::consensus {

void Proposer::observeBallot(std::uint64_t number) {
  highestBallotNumber_ = std::max(highestBallotNumber_, number);
}

void Proposer::startElection(Ballot const& promised, std::string const& memberId, Milliseconds now) {
  role_ = Role::preparing;
  roleSince_ = now;
  prepareSentAt_ = now;
  promises_.clear();
  ballot_ = Ballot{std::max({highestBallotNumber_, promised.number, ballot_.number}) + 1, memberId};
  highestBallotNumber_ = ballot_.number;
}

bool Proposer::awaitsPromise(transport::Promise const& promise) const {
  return role_ == Role::preparing && promise.ballot == ballot_;
}

bool Proposer::recordPromise(transport::Promise const& promise, std::string const& selfId,
                             Membership const& membership) {
  promises_[promise.member] = promise;
  std::set<std::string> promisedBy;
  for (auto const& [memberId, received] : promises_) promisedBy.insert(memberId);
  return promisedBy.count(selfId) > 0 && membership.hasMajority(promisedBy);
}

std::optional<transport::Promise> Proposer::becomeOwner(Milliseconds now) {
  role_ = Role::owner;
  roleSince_ = now;
  transport::Promise const* newest = nullptr;
  auto const position = [](transport::Promise const& promise) {
    return AcceptedPosition{promise.acceptedBallot, promise.revision};
  };
  for (auto const& [memberId, promise] : promises_)
    if (promise.revision > 0 && (newest == nullptr || position(*newest) < position(promise))) newest = &promise;
  if (newest == nullptr) return std::nullopt;
  return *newest;
}

void Proposer::propose(Proposal proposal, Milliseconds now) {
  CORKWARD_INVARIANT(!proposal_);
  proposal.startedAt = now;
  proposal_ = std::move(proposal);
}

bool Proposer::awaitsAccepted(transport::Accepted const& accepted) const {
  return role_ == Role::owner && proposal_ && accepted.ballot == ballot_ && accepted.revision == proposal_->revision;
}

bool Proposer::recordAccepted(std::string const& memberId, Membership const& membership, bool jointQuorum) {
  proposal_->acceptedBy.insert(memberId);
  return membership.hasMajority(proposal_->acceptedBy) &&
         (!jointQuorum || proposal_->nextMembership.hasMajority(proposal_->acceptedBy));
}

Proposal Proposer::takeProposal() {
  Proposal proposal = std::move(*proposal_);
  proposal_.reset();
  return proposal;
}

std::optional<Proposal> Proposer::stepDown() {
  role_ = Role::idle;
  promises_.clear();
  return std::exchange(proposal_, std::nullopt);
}

void Proposer::addTo(Fingerprint& fingerprint) const {
  fingerprint.add(static_cast<std::uint64_t>(role_));
  fingerprint.add(ballot_);
  fingerprint.add(highestBallotNumber_);
  if (role_ != Role::idle) fingerprint.addTime(prepareSentAt_);
  if (role_ == Role::preparing) fingerprint.addTime(roleSince_);
  fingerprint.add(promises_.size());
  for (auto const& [memberId, promise] : promises_) {
    fingerprint.add(memberId);
    fingerprint.add(promise.acceptedBallot);
    fingerprint.add(promise.revision);
  }
  if (!proposal_) return;
  fingerprint.add(proposal_->token);
  fingerprint.add(proposal_->revision);
  fingerprint.add(proposal_->value);
  fingerprint.add(proposal_->acceptedBy);
  fingerprint.addTime(proposal_->sentAt);
}

}  // namespace corkward::consensus
