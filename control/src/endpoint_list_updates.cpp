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
    if (endpointLists_.isCommitted(pool, list, values())) continue;
    config::EndpointList next = list;
    next.generation = endpointLists_.nextGeneration(pool, values());
    on(out, now, "", removalHintOf(pool, next));
    proposeEndpointList(out, now, pool, next);
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

bool Controller::isEndpointListReader(Milliseconds now) const {
  if (draining_ || registers_.membership().empty()) return false;
  std::string const owner = registers_.ownerLink(rosterKey, now);
  bool const isFirstMember = registers_.membership().front().id == registers_.self().id;
  return owner.empty() ? isFirstMember : owner == registers_.self().link;
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const&,
                    transport::EndpointRemovalHint const& hint) {
  if (!endpointLists_.addHint(hint, values())) return;
  journal_.append(now, events::removalHintAccepted, hint.pool);
  for (auto const& [link, router] : routers_.all())
    if (router.hasSession()) out.sends.push_back(transport::Send{link, hint});
  for (consensus::Member const& member : registers_.membership())
    if (member.link != registers_.self().link) out.sends.push_back(transport::Send{member.link, hint});
}

}  // namespace corkward::control
