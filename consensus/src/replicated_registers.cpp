#include <corkward/consensus/replicated_registers.h>

#include <utility>

#include "handover.h"
#include "replica.h"

namespace corkward::consensus {

ReplicatedRegisters::ReplicatedRegisters(Member self, std::vector<std::string> founders, Validator validator,
                                         std::uint64_t seed, ConsensusTuning tuning)
    : replica_(std::make_unique<Replica>(std::move(self), std::move(founders), std::move(validator), seed, tuning)) {}

ReplicatedRegisters::ReplicatedRegisters(ReplicatedRegisters const& other)
    : replica_(std::make_unique<Replica>(*other.replica_)) {}

ReplicatedRegisters::ReplicatedRegisters(ReplicatedRegisters&& other) noexcept = default;

ReplicatedRegisters& ReplicatedRegisters::operator=(ReplicatedRegisters const& other) {
  if (this != &other) replica_ = std::make_unique<Replica>(*other.replica_);
  return *this;
}

ReplicatedRegisters& ReplicatedRegisters::operator=(ReplicatedRegisters&& other) noexcept = default;

ReplicatedRegisters::~ReplicatedRegisters() = default;

template <class Action>
RegisterCommands ReplicatedRegisters::handle(Milliseconds now, Action const& action) {
  EventContext context(*replica_, now);
  action(context);
  return std::move(context.commands);
}

RegisterCommands ReplicatedRegisters::restore(std::map<std::string, std::string> const& records, bool damaged,
                                              Milliseconds now) {
  return handle(now, [&](EventContext& context) { replica_->restore(context, records, damaged); });
}

RegisterCommands ReplicatedRegisters::onMessage(Milliseconds now, std::string const& from,
                                                transport::Message const& message) {
  return handle(now, [&](EventContext& context) { replica_->onMessage(context, from, message); });
}

RegisterCommands ReplicatedRegisters::onTimer(Milliseconds now) {
  return handle(now, [&](EventContext& context) { replica_->onTimer(context); });
}

RegisterCommands ReplicatedRegisters::onPersisted(Milliseconds now, std::uint64_t ticket, bool succeeded) {
  return handle(now, [&](EventContext& context) { replica_->onPersisted(context, ticket, succeeded); });
}

RegisterCommands ReplicatedRegisters::submit(Milliseconds now, std::string const& key,
                                             transport::OperatorCall const& call, CallValidity validity) {
  return handle(now, [&](EventContext& context) { replica_->submit(context, key, call, validity); });
}

void ReplicatedRegisters::cancel(std::string const& key, std::uint64_t token) {
  Register* const keyRegister = replica_->registers.find(key);
  if (keyRegister != nullptr) keyRegister->cancel(token);
}

RegisterCommands ReplicatedRegisters::startHandover(Milliseconds now) {
  return handle(now, [&](EventContext& context) {
    replica_->local.startDraining();
    replica_->heartbeats.scheduleAt(now);
    handOverOwnedKeys(context);
  });
}

bool ReplicatedRegisters::handoverComplete(Milliseconds now) const {
  return isHandoverComplete(*replica_, now);
}

bool ReplicatedRegisters::discovering() const {
  return !replica_->isMember() || !replica_->detector.hasQuorum();
}

void ReplicatedRegisters::setDiscoveryPeers(std::vector<std::string> links) {
  replica_->membership.setDiscoveryPeers(std::move(links));
}

std::string ReplicatedRegisters::ownerLink(std::string const& key, Milliseconds now) const {
  Register const* const keyRegister = replica_->registers.find(key);
  if (keyRegister == nullptr) return "";
  return keyRegister->ownerLink(replica_->membership.current(), self(), replica_->tuning.ownerTimeout, now);
}

bool ReplicatedRegisters::owns(std::string const& key) const {
  Register const* const keyRegister = replica_->registers.find(key);
  return keyRegister != nullptr && keyRegister->proposer().isOwner();
}

std::uint64_t ReplicatedRegisters::ownedBallot(std::string const& key) const {
  Register const* const keyRegister = replica_->registers.find(key);
  return keyRegister == nullptr ? 0 : keyRegister->ownedBallot();
}

std::size_t ReplicatedRegisters::ownedCount() const {
  return replica_->registers.ownedCount();
}

std::vector<std::string> ReplicatedRegisters::aliveLinks(Milliseconds now) const {
  std::vector<std::string> links;
  for (auto const& member : membership())
    if (member.id == self().id ? isVoting() : replica_->detector.isAlive(member.id, now)) links.push_back(member.link);
  return links;
}

std::map<std::string, CommittedValue> const& ReplicatedRegisters::committed() const {
  return replica_->learner.committed();
}

bool ReplicatedRegisters::mayHaveAcceptedValue(std::string const& key) const {
  Register const* const keyRegister = replica_->registers.find(key);
  return replica_->learner.isCommitted(key) || (keyRegister != nullptr && keyRegister->acceptor().hasAccepted()) ||
         replica_->detector.mayHaveAcceptedValue(key);
}

Milliseconds ReplicatedRegisters::quorumContactAge(Milliseconds now) const {
  if (!isVoting() || replica_->persistence.isStalled() || !replica_->isMember()) return -1;
  Milliseconds const contactAt = replica_->detector.quorumContactAt(replica_->membership.current(), self().id,
                                                                    replica_->learner.confirmedUntil(now));
  return contactAt < 0 ? -1 : now - contactAt;
}

bool ReplicatedRegisters::isVoting() const {
  return replica_->isVoting();
}

bool ReplicatedRegisters::isDiskHealthy() const {
  return !replica_->persistence.hasFailed() && !replica_->persistence.isStalled();
}

bool ReplicatedRegisters::hasNoState() const {
  return replica_->local.hasNoState();
}

std::vector<Member> const& ReplicatedRegisters::membership() const {
  return replica_->membership.current().members;
}

Member const& ReplicatedRegisters::self() const {
  return replica_->local.self();
}

std::uint64_t ReplicatedRegisters::fingerprint(Milliseconds now, Milliseconds cap) const {
  Fingerprint fingerprint(now, cap);
  replica_->local.addTo(fingerprint);
  replica_->membership.addTo(fingerprint);
  replica_->detector.addTo(fingerprint);
  replica_->heartbeats.addTo(fingerprint);
  replica_->catchUp.addTo(fingerprint);
  replica_->learner.addTo(fingerprint);
  replica_->registers.addTo(fingerprint, replica_->persistence);
  replica_->persistence.addTo(fingerprint);
  return fingerprint.value();
}

}  // namespace corkward::consensus
