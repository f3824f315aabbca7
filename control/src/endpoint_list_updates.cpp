// Proposes the platform's endpoint lists to the replicated registers, and announces removed replicas by removal hints
// before the lists are committed.
#include <corkward/control/controller.h>

#include "events.h"
#include "keys.h"

namespace corkward::control {

ControllerCommands Controller::updateEndpointLists(Milliseconds now,
                                                   std::map<std::string, config::EndpointList> const& lists) {
  ControllerCommands out;
  for (auto& [pool, list] : EndpointLists::withVanishedPools(lists, values())) {
    config::EndpointList next = list;
    next.generation = generationOf(values(), pool) + 1;
    bool const isCommitted = EndpointLists::isCommitted(pool, list, values());
    std::optional<transport::EndpointRemovalHint> const hint = isCommitted
                                                                   ? endpointLists_.withdraw(pool, next, values())
                                                                   : endpointLists_.announce(now, pool, next, values());
    if (hint) on(out, now, "", *hint);
    if (!isCommitted) proposeEndpointList(out, now, pool, next);
  }
  return out;
}

void Controller::proposeEndpointList(ControllerCommands& out, Milliseconds now, std::string const& pool,
                                     config::EndpointList const& list) {
  std::optional<std::uint64_t> const earlier = endpointLists_.proposalOf(pool);
  bool const isPending = earlier && calls_.find(*earlier) != nullptr;
  if (draining_ || calls_.isFull() || isPending) return;
  PendingCall pending;
  pending.key = keyOf(poolKeyPrefix, pool);
  pending.call = endpointListProposal(pool, list, revisionOf(values(), pending.key));
  pending.since = now;
  std::uint64_t const id = calls_.add(std::move(pending));
  endpointLists_.setProposal(pool, id);
  route(out, now, id);
}

void Controller::announceNewerList(ControllerCommands& out, Milliseconds now,
                                   consensus::CallCompleted const& completed) {
  std::optional<std::string> const pool = nameOf(completed.key, poolKeyPrefix);
  if (!pool || completed.revision == 0 || endpointLists_.proposalOf(*pool) != completed.token) return;
  if (std::optional<transport::EndpointRemovalHint> const hint = endpointLists_.announceAgain(now, *pool, values()))
    on(out, now, "", *hint);
}

bool Controller::isEndpointListReader(Milliseconds now) const {
  if (draining_ || registers_.membership().empty()) return false;
  std::string const owner = registers_.ownerLink(rosterKey, now);
  bool const isFirstMember = registers_.membership().front().id == registers_.self().id;
  return owner.empty() ? isFirstMember : owner == registers_.self().link;
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    transport::EndpointRemovalHint const& hint) {
  using Change = gossip::RemovalHints::Change;
  Change const change = endpointLists_.addHint(now, hint, values());
  if (change == Change::ignored) return;
  bool const isNew = change == Change::added;
  // The serving lease grants of all controllers carry renewals to the routers.
  bool const isOwnRenewal = !isNew && from.empty();
  if (!isNew && !isOwnRenewal) return;
  if (isNew) journal_.append(now, events::removalHintAccepted, hint.pool);
  transport::EndpointRemovalHint const sent = from.empty() ? hint : gossip::forwarded(hint);
  for (auto const& [link, router] : routers_.all())
    if (isNew && router.hasSession()) out.sends.push_back(transport::Send{link, sent});
  for (consensus::Member const& member : registers_.membership())
    if (member.link != registers_.self().link) out.sends.push_back(transport::Send{member.link, sent});
}

}  // namespace corkward::control
