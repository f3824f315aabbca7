// Lists of replicas as the platform tells them, and the hints that go ahead of the disks.
#include <algorithm>

#include <corkward/config/config.h>

#include "internal.h"

namespace corkward::control {

void Controller::hint(ControllerCommands& out, Tick now, std::string const& pool, config::EndpointList const& list) {
  transport::EndpointRemovalHint h{pool, list.generation, {}, {}};
  for (config::Replica const& r : list.replicas) {
    if (r.state == config::ReplicaState::serving) h.serving.push_back(config::incarnationName(r));
    if (r.state == config::ReplicaState::cold) h.cold.push_back(config::incarnationName(r));
  }
  on(out, now, "", h);
}

ControllerCommands Controller::updateEndpointLists(Tick now, std::map<std::string, config::EndpointList> const& lists) {
  ControllerCommands out;
  std::map<std::string, config::EndpointList> all = lists;
  for (std::map<std::string, consensus::CommittedValue>::value_type const& c : registers_.committed())
    if (c.first.rfind("pool:", 0) == 0) all.try_emplace(c.first.substr(5));
  for (std::map<std::string, config::EndpointList>::value_type& p : all) {
    std::string const key = "pool:" + p.first;
    std::map<std::string, consensus::CommittedValue>::const_iterator const it = registers_.committed().find(key);
    QJsonObject const next = config::poolJson(p.second);
    QJsonObject have = it == registers_.committed().end() ? QJsonObject() : it->second.value;
    have = config::withoutHistory(have);
    have.remove("generation");
    QJsonObject bare = next;
    bare.remove("generation");
    if (have == bare) {
      hints_.erase(p.first);
      continue;
    }
    std::map<std::string, transport::EndpointRemovalHint>::const_iterator const hinted = hints_.find(p.first);
    p.second.generation = std::max(generationOf(p.first), hinted == hints_.end() ? 0 : hinted->second.generation) + 1;
    hint(out, now, p.first, p.second);
    std::map<std::string, std::uint64_t>::const_iterator const before = listCalls_.find(p.first);
    if (draining_ || calls_.size() >= maxCalls || (before != listCalls_.end() && calls_.count(before->second) > 0))
      continue;
    std::uint64_t const id = nextCall_++;
    CallState state;
    state.key = key;
    state.call.token = id;
    state.call.method = "PUT";
    state.call.path = "/v1/platform/pools/" + config::addressPart(p.first);
    state.call.ifMatch = std::to_string(committedRevision(key));
    state.call.body = core::jsonText(config::poolJson(p.second));
    state.since = now;
    calls_[id] = state;
    listCalls_[p.first] = id;
    route(out, now, id);
  }
  return out;
}

bool Controller::isEndpointListReader(Tick now) const {
  if (draining_ || registers_.membership().empty()) return false;
  std::string const owner = registers_.ownerLink(rosterKey, now);
  return owner == registers_.self().link ||
         (owner.empty() && registers_.membership().front().id == registers_.self().id);
}

std::uint64_t Controller::generationOf(std::string const& pool) const {
  std::map<std::string, consensus::CommittedValue>::const_iterator const it =
      registers_.committed().find("pool:" + pool);
  return it == registers_.committed().end()
             ? 0
             : static_cast<std::uint64_t>(it->second.value.value("generation").toInteger());
}

void Controller::on(ControllerCommands& out, Tick now, std::string const&, transport::EndpointRemovalHint const& m) {
  std::uint64_t const have = generationOf(m.pool);
  if (have == 0 || m.generation <= have) return;
  std::map<std::string, transport::EndpointRemovalHint>::iterator const it = hints_.find(m.pool);
  if (it != hints_.end() && it->second.generation >= m.generation) return;
  hints_[m.pool] = m;
  journal_.append(now, "leaving_hint", m.pool);
  for (std::map<std::string, Router>::value_type const& n : routers_)
    if (n.second.asked >= 0) out.sends.push_back(transport::Send{n.first, m});
  for (consensus::Member const& c : registers_.membership())
    if (c.link != registers_.self().link) out.sends.push_back(transport::Send{c.link, m});
}

}  // namespace corkward::control
