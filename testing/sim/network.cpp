#include "internal.h"

/// The network between processes: loss, delay and duplication of messages, and their changes by mutations.
namespace corkward::testing {

bool SimulatedCluster::passes(std::string const& from, std::string const& to) {
  if (cuts_.count({from, to}) > 0) return false;
  Node const* const a = node(from);
  Node const* const b = node(to);
  if (a != nullptr && b != nullptr && a->zone != b->zone &&
      (zoneCuts_.count(a->zone) > 0 || zoneCuts_.count(b->zone) > 0))
    return false;
  return !rng_.chance(loss_);
}

transport::Message SimulatedCluster::mutated(transport::Message const& message) const {
  if (plan_.mutation != Mutation::dropRemovalHints && plan_.mutation != Mutation::zeroAges) return message;
  transport::Message out = message;
  transport::PeerHeartbeat* const t = std::get_if<transport::PeerHeartbeat>(&out);
  if (plan_.mutation == Mutation::zeroAges) {
    if (t != nullptr) t->ages.assign(t->ages.size(), '\0');
    return out;
  }
  if (t != nullptr) t->removalHints.clear();
  if (transport::ServingLeaseGrant* const c = std::get_if<transport::ServingLeaseGrant>(&out)) c->removalHints.clear();
  return out;
}

void SimulatedCluster::countTraffic(std::string const& from, transport::Send const& s) {
  if (!plan_.traffic || now_ < trafficFrom || now_ >= trafficFrom - 10000 + plan_.length) return;
  std::pair<std::size_t, std::size_t>& t = result_.traffic[{
      node(from)->disk ? transport::controllerRole : transport::routerRole, transport::kindName(s.message)}];
  ++t.first;
  t.second += transport::pack(transport::Envelope{from, s.message}).size();
}

void SimulatedCluster::send(std::string const& from, transport::Send const& s) {
  ++result_.counts["messages"];
  countTraffic(from, s);
  Node const* const to = node(s.to);
  if (to == nullptr || !to->alive || !passes(from, s.to)) return;
  if (plan_.mutation == Mutation::dropRemovalHints && std::holds_alternative<transport::EndpointRemovalHint>(s.message))
    return;
  if (plan_.mutation == Mutation::dropConfigurationUpdates && s.to == "n1" && now_ > trafficFrom &&
      std::holds_alternative<transport::ConfigurationUpdate>(s.message))
    return;
  if (plan_.mutation == Mutation::dropSnapshotChunks && now_ - to->bootedAt < 8000 && now_ > trafficFrom &&
      std::holds_alternative<transport::SnapshotChunk>(s.message))
    return;
  std::uint64_t const incarnation = to->incarnation;
  int const deliveries = rng_.chance(duplication_) ? 2 : 1;
  for (int i = 0; i < deliveries; ++i) {
    Milliseconds const delay = 1 + static_cast<Milliseconds>(rng_.below(4)) +
                               (rng_.chance(0.02) ? static_cast<Milliseconds>(rng_.below(60)) : 0) +
                               hopDelay(from, s.message);
    std::string const link = s.to;
    std::uint64_t const reset = plans(Fault::resetConnections) ? resets_[{from, link}] : 0;
    after(delay, [this, from, link, incarnation, reset, message = s.message] {
      if (plans(Fault::resetConnections) && resets_[{from, link}] != reset) return;
      deliverToNode(link, incarnation, [this, from, link, message] {
        Node& n = *node(link);
        if (n.control)
          run(n, n.control->onMessage(local(n), from, message));
        else
          run(n, n.data->onMessage(local(n), from, mutated(message)));
      });
    });
  }
}

}  // namespace corkward::testing
