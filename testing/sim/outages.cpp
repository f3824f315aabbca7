#include <algorithm>

#include "internal.h"

/// Failures of many at once: connections, zones, replicas that join in numbers.
namespace corkward::testing {

void World::resetLinks(Node& n) {
  for (std::map<std::string, Node>::value_type const& o : nodes_)
    if (rng_.chance(0.5)) {
      ++resets_[{n.link, o.first}];
      ++resets_[{o.first, n.link}];
    }
}

void World::resetCallers(Node& n) {
  std::vector<std::pair<std::string, std::uint64_t>> hit;
  for (std::map<std::string, Caller>::value_type const& c : callers_)
    if (c.second.open && c.second.node == n.link && c.second.life == n.life && rng_.chance(0.5))
      hit.emplace_back(c.first, c.second.call);
  for (std::pair<std::string, std::uint64_t> const& h : hit) {
    ++result_.counts["reset-callers"];
    toNode(n.link, n.life, [this, link = n.link, call = h.second] {
      Node& k = *node(link);
      run(k, k.data->onCallerDisconnected(local(k), call));
    });
    callerCut(h.first);
  }
}

void World::resetReplicas(Node& n) {
  for (std::map<std::pair<std::string, std::uint64_t>, Forwarded>::value_type& r : upstreams_) {
    if (r.first.first != n.link || r.second.run.empty() || !rng_.chance(0.5)) continue;
    Replica* const to = replica(r.second.address);
    if (to == nullptr || to->runs.count(r.second.run) == 0 || !to->runs.at(r.second.run).alive) continue;
    ++result_.counts["reset-streams"];
    to->runs.at(r.second.run).alive = false;
    wire(n.link, n.life, r.first.second, r.second.turn, [](dataplane::ResponseStream& st) { return st.ended(false); });
  }
}

void World::scaleOut() {
  if (scaledOut_ >= 2) return;
  ++scaledOut_;
  bool const cold = rng_.chance(0.5);
  std::vector<std::string> fresh;
  for (int i = 1; i <= plan_.models; ++i) {
    Replica r;
    r.address = "10.0." + std::to_string(scaledOut_) + "." + std::to_string(i) + ":80";
    r.zone = "z" + std::to_string(i % plan_.zones + 1);
    r.pool = "model";
    if (cold) r.state = "cold";
    fresh.push_back(r.address);
    ++result_.counts["joined"];
    replicas_[r.address] = r;
  }
  platform();
  std::function<void(Tick, std::string, bool)> const become = [this, fresh](Tick when, std::string const& state,
                                                                            bool gone) {
    after(when, [this, fresh, state, gone] {
      for (std::string const& a : fresh) {
        Replica& r = replicas_.at(a);
        if (gone) crash(r);
        if (gone || !r.listed) r.listed = false;
        r.state = state;
        if (state != "cold") r.coldHits.clear();
      }
      platform();
    });
  };
  if (cold) become(9000, "serving", false);
  become(20000, "leaving", false);
  become(29000, "leaving", true);
}

void World::loseZone(std::string const& zone, Tick how) {
  ++result_.counts["lost-zones"];
  std::vector<std::string> hit;
  for (std::map<std::string, Replica>::value_type& r : replicas_) {
    if (r.second.zone != zone || !r.second.listed || r.second.state != "serving" || r.second.dark) continue;
    r.second.dark = true;
    hit.push_back(r.first);
  }
  for (std::map<std::string, Node>::value_type& n : nodes_) {
    if (n.second.zone != zone || !n.second.alive) continue;
    kill(n.second, true);
    n.second.dark = true;
    after(how, [this, link = n.first] {
      Node* const k = node(link);
      if (k != nullptr && !k->alive) boot(*k);
    });
  }
  after(2000, [this, hit] {
    for (std::string const& a : hit) replicas_.at(a).listed = false;
    platform();
  });
  after(how, [this, hit] {
    for (std::string const& a : hit) {
      Replica& r = replicas_.at(a);
      crash(r);
      r.dark = false;
      r.up = true;
      r.listed = true;
      r.state = "cold";
      r.coldHits.clear();
    }
    platform();
  });
  after(how + 9000, [this, hit] {
    for (std::string const& a : hit) {
      Replica& r = replicas_.at(a);
      if (r.state == "cold") r.state = "serving";
      r.coldHits.clear();
    }
    platform();
  });
}

}  // namespace corkward::testing
