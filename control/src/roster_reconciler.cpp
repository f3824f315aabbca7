#include <corkward/control/roster_reconciler.h>

#include <map>

namespace corkward::control {

namespace {

constexpr Milliseconds reconcileEvery = 300;
/// A router joins the roster if its last contact is no older than this.
constexpr Milliseconds joinContactTimeout = 2000;

bool isJoining(Milliseconds now, RouterRegistry::Router const& router) {
  bool const hasRecentContact = router.lastContactAt >= 0 && now - router.lastContactAt <= joinContactTimeout;
  return hasRecentContact && router.contact.role == transport::routerRole && !router.contact.draining;
}

}  // namespace

void RosterReconciler::scheduleNext(Milliseconds now) {
  nextAt_ = now + reconcileEvery;
}

bool RosterReconciler::isUnresponsive(Milliseconds now, std::string const& link, RouterRegistry const& routers,
                                      gossip::PartialView const& partialView) const {
  RouterRegistry::Router const* const router = routers.find(link);
  bool const hadNoContact = router == nullptr || router->lastContactAt < 0;
  Milliseconds const contactAge = now - (hadNoContact ? startedAt_ : router->lastContactAt);
  Milliseconds const gossipAge = partialView.age(link, now);
  return contactAge > removeUnresponsiveAfter_ && (gossipAge < 0 || gossipAge > removeUnresponsiveAfter_);
}

std::optional<RosterValue> RosterReconciler::nextRoster(Milliseconds now, Roster const& roster,
                                                        RouterRegistry const& routers,
                                                        gossip::PartialView const& partialView) const {
  std::map<std::string, RosterNode> nodes;
  for (RosterNode const& node : roster.value().nodes) nodes[node.link] = node;
  std::set<std::string> departed = roster.departed();
  bool changed = false;
  for (auto const& [link, router] : routers.all()) {
    if (nodes.count(link) > 0 || !isJoining(now, router)) continue;
    nodes[link] = RosterNode{link, router.contact.httpAddress, router.contact.zone};
    departed.erase(link);
    changed = true;
  }
  if (now - startedAt_ > removeUnresponsiveAfter_) {
    auto const unresponsive = [&](auto const& node) { return isUnresponsive(now, node.first, routers, partialView); };
    if (std::erase_if(nodes, unresponsive) > 0) changed = true;
  }
  if (!changed) return std::nullopt;
  RosterValue next;
  for (auto const& [link, node] : nodes) next.nodes.push_back(node);
  next.departed = std::move(departed);
  return next;
}

}  // namespace corkward::control
