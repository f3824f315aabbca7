#include "register_table.h"

#include <algorithm>
#include <vector>

#include "context.h"

namespace corkward::consensus {

Register& RegisterTable::at(std::string const& key) {
  return registers_.try_emplace(key, key).first->second;
}

Register const* RegisterTable::find(std::string const& key) const {
  auto const found = registers_.find(key);
  return found == registers_.end() ? nullptr : &found->second;
}

Register* RegisterTable::find(std::string const& key) {
  auto const found = registers_.find(key);
  return found == registers_.end() ? nullptr : &found->second;
}

void RegisterTable::onTimer(EventContext& context) {
  // Calls only the registers that exist now. Registers that are created meanwhile get their first timer call with the
  // next timer event.
  std::vector<Register*> existing;
  for (auto& [key, keyRegister] : registers_) existing.push_back(&keyRegister);
  for (auto* const keyRegister : existing) keyRegister->onTimer(context);
  for (auto const& [memberId, peer] : context.detector.peers())
    for (auto const& [key, revision] : peer.acceptedRevisions) at(key);
}

void RegisterTable::stepDownAll(EventContext& context, StepDownReason reason) {
  for (auto& [key, keyRegister] : registers_) keyRegister.stepDown(context, reason);
}

void RegisterTable::resetAfterRemoval(EventContext& context) {
  for (auto& [key, keyRegister] : registers_) {
    keyRegister.stepDown(context, StepDownReason::removedFromMembership);
    keyRegister.failQueuedCalls(context, CallFailure::memberRemoved);
  }
  registers_.clear();
}

void RegisterTable::confirmReads(EventContext& context, std::string const& memberId, Milliseconds heartbeatSentAt,
                                 transport::Revisions const& higherBallots) {
  for (auto& [key, keyRegister] : registers_)
    if (higherBallots.count(key) == 0) keyRegister.confirmReads(context, memberId, heartbeatSentAt);
}

std::uint64_t RegisterTable::oldestMembershipAllowed(EventContext const& context, std::string const& key) {
  if (context.tuning.switches.off(Mechanism::membershipGuard)) return 0;
  std::uint64_t const adopted = context.currentMembership().revision;
  return key == membershipKey ? adopted : std::max(adopted, at(membershipKey).acceptor().revision());
}

std::size_t RegisterTable::ownedCount() const {
  return static_cast<std::size_t>(std::count_if(registers_.begin(), registers_.end(),
                                                [](auto const& entry) { return entry.second.proposer().isOwner(); }));
}

transport::Revisions RegisterTable::ownedKeys() const {
  transport::Revisions owned;
  for (auto const& [key, keyRegister] : registers_)
    if (keyRegister.proposer().isOwner()) owned[key] = keyRegister.proposer().ballot().number;
  return owned;
}

transport::Revisions RegisterTable::acceptedRevisions() const {
  transport::Revisions accepted;
  for (auto const& [key, keyRegister] : registers_)
    if (keyRegister.acceptor().hasAccepted()) accepted[key] = keyRegister.acceptor().revision();
  return accepted;
}

std::uint64_t RegisterTable::newestTicket() const {
  std::uint64_t newest = 0;
  for (auto const& [key, keyRegister] : registers_) newest = std::max(newest, keyRegister.ticket());
  return newest;
}

void RegisterTable::addTo(Fingerprint& fingerprint, Persistence const& persistence) const {
  for (auto const& [key, keyRegister] : registers_) keyRegister.addTo(fingerprint, persistence);
}

}  // namespace corkward::consensus
