#include "persistence.h"

#include <utility>

#include <corkward/consensus/events.h>
#include "context.h"

namespace corkward::consensus {

std::uint64_t Persistence::write(EventContext& context, records::Record record, Milliseconds since) {
  std::uint64_t const ticket = nextTicket_++;
  context.commands.persists.push_back(PersistCommand{ticket, std::move(record.key), std::move(record.payload)});
  pendingSince_[ticket] = since;
  return ticket;
}

std::uint64_t Persistence::writeAcceptor(EventContext& context, std::string const& key, Acceptor const& acceptor) {
  records::AcceptorState const state{context.local.id(), acceptor.promised(), acceptor.position(), acceptor.value()};
  std::uint64_t const ticket = write(context, records::encode(key, state), context.now);
  deferred_[ticket];
  return ticket;
}

std::uint64_t Persistence::writeMetadata(EventContext& context, records::Metadata const& metadata) {
  return write(context, records::encode(metadata), context.detector.lastTimerAt());
}

void Persistence::writeMembership(EventContext& context, Membership const& membership) {
  write(context, records::encode(records::AdoptedMembership{context.local.id(), membership}), context.now);
}

void Persistence::sendWhenSynced(EventContext& context, std::uint64_t ticket, std::string const& to,
                                 transport::Message message) {
  auto const waiting = deferred_.find(ticket);
  if (waiting != deferred_.end() && !context.tuning.switches.off(Mechanism::syncBeforeReply))
    waiting->second.push_back(transport::Send{to, std::move(message)});
  else
    context.send(to, std::move(message));
}

std::vector<transport::Send> Persistence::takeDeferred(std::uint64_t ticket) {
  auto const waiting = deferred_.find(ticket);
  if (waiting == deferred_.end()) return {};
  std::vector<transport::Send> sends = std::move(waiting->second);
  deferred_.erase(waiting);
  return sends;
}

void Persistence::fail(EventContext& context) {
  if (!failed_) {
    failed_ = true;
    context.log(events::diskFailed, {});
    context.registers.stepDownAll(context, StepDownReason::diskFailed);
  }
  deferred_.clear();
  pendingSince_.clear();
}

void Persistence::checkStall(EventContext& context) {
  bool const stalled =
      !pendingSince_.empty() && context.now - pendingSince_.begin()->second > context.tuning.stallAfter;
  if (stalled == stalled_) return;
  stalled_ = stalled;
  context.log(events::diskStalled, {{"stalled", stalled ? "yes" : "no"}});
  if (stalled) context.registers.stepDownAll(context, StepDownReason::diskStalled);
}

void Persistence::addTo(Fingerprint& fingerprint) const {
  fingerprint.addFlag(failed_);
  fingerprint.addFlag(stalled_);
  for (auto const& [ticket, sends] : deferred_)
    for (auto const& send : sends) fingerprint.add(transport::pack(transport::Envelope{send.to, send.message, 0}));
  fingerprint.add(pendingSince_.size());
}

}  // namespace corkward::consensus
