#include <algorithm>

#include "internal.h"

/// Faults that hit many processes at once: connection resets, loss of a zone, and many replicas that join together.
namespace corkward::testing {

void SimulatedCluster::resetLinks(Node& n) {
  for (auto const& [link, node] : nodes_)
    if (rng_.chance(0.5)) {
      ++resets_[{n.link, link}];
      ++resets_[{link, n.link}];
    }
}

void SimulatedCluster::resetCallers(Node& n) {
  std::vector<std::pair<std::string, std::uint64_t>> hit;
  for (auto const& [id, caller] : callers_)
    if (caller.open && caller.node == n.link && caller.incarnation == n.incarnation && rng_.chance(0.5))
      hit.emplace_back(id, caller.call);
  for (std::pair<std::string, std::uint64_t> const& h : hit) {
    ++result_.counts["reset-callers"];
    deliverToNode(n.link, n.incarnation, [this, link = n.link, call = h.second] {
      Node& k = *node(link);
      run(k, k.data->onCallerDisconnected(local(k), call));
    });
    onCallerConnectionLost(h.first);
  }
}

void SimulatedCluster::resetReplicas(Node& n) {
  for (auto& [key, forwarded] : upstreams_) {
    if (key.first != n.link || forwarded.run.empty() || !rng_.chance(0.5)) continue;
    Replica* const to = replica(forwarded.address);
    if (to == nullptr || to->runs.count(forwarded.run) == 0 || !to->runs.at(forwarded.run).alive) continue;
    ++result_.counts["reset-streams"];
    to->runs.at(forwarded.run).alive = false;
    sendUpstreamEvent(n.link, n.incarnation, key.second, forwarded.connectionId,
                      [](dataplane::ResponseStream& st) { return st.onEnd(core::BodyEnd::incomplete); });
  }
}

void SimulatedCluster::scaleOut() {
  if (scaleOuts_ >= 2) return;
  ++scaleOuts_;
  bool const cold = rng_.chance(0.5);
  std::vector<std::string> added;
  for (int i = 1; i <= plan_.models; ++i) {
    Replica r;
    r.address = "10.0." + std::to_string(scaleOuts_) + "." + std::to_string(i) + ":80";
    r.zone = "z" + std::to_string(i % plan_.zones + 1);
    r.pool = "model";
    if (cold) r.state = "cold";
    added.push_back(r.address);
    ++result_.counts["joined"];
    replicas_[r.address] = r;
  }
  publishEndpointLists();
  auto const become = [this, added](Milliseconds when, std::string const& state, bool departed) {
    after(when, [this, added, state, departed] {
      for (std::string const& a : added) {
        Replica& r = replicas_.at(a);
        if (departed) crash(r);
        if (departed || !r.listed) r.listed = false;
        r.state = state;
        if (state != "cold") r.coldHits.clear();
      }
      publishEndpointLists();
    });
  };
  if (cold) become(9000, "serving", false);
  become(20000, "leaving", false);
  become(29000, "leaving", true);
}

void SimulatedCluster::powerOffZone(std::string const& zone, Milliseconds duration) {
  ++result_.counts["lost-zones"];
  std::vector<std::string> hit;
  for (auto& [address, replica] : replicas_) {
    if (replica.zone != zone || !replica.listed || replica.state != "serving" || replica.poweredOff) continue;
    replica.poweredOff = true;
    hit.push_back(address);
  }
  for (auto& [name, process] : nodes_) {
    if (process.zone != zone || !process.alive) continue;
    kill(process, true);
    process.poweredOff = true;
    after(duration, [this, link = name] {
      Node* const k = node(link);
      if (k != nullptr && !k->alive) boot(*k);
    });
  }
  after(2000, [this, hit] {
    for (std::string const& a : hit) replicas_.at(a).listed = false;
    publishEndpointLists();
  });
  after(duration, [this, hit] {
    for (std::string const& a : hit) {
      Replica& r = replicas_.at(a);
      crash(r);
      r.poweredOff = false;
      r.up = true;
      r.listed = true;
      r.state = "cold";
      r.coldHits.clear();
    }
    publishEndpointLists();
  });
  after(duration + 9000, [this, hit] {
    for (std::string const& a : hit) {
      Replica& r = replicas_.at(a);
      if (r.state == "cold") r.state = "serving";
      r.coldHits.clear();
    }
    publishEndpointLists();
  });
}

}  // namespace corkward::testing
