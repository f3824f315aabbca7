// Entry points of one member: messages, calls and clock events, and what it tells about itself.
// Elections and proposals stand in proposals.cpp, heartbeats in heartbeats.cpp, the records on disk in persistence.cpp,
// membership changes in membership.cpp, catching up in catch_up.cpp.
#include <corkward/consensus/replicated_registers.h>
#include <algorithm>

namespace corkward::consensus {

ReplicatedRegisters::ReplicatedRegisters(Member self, std::vector<std::string> founders, Validator validator,
                                         std::uint64_t seed, ConsensusTuning tuning)
    : self_(std::move(self)),
      freshId_(self_.id),
      founders_(std::move(founders)),
      validator_(std::move(validator)),
      tuning_(tuning),
      rng_(seed) {}

ReplicatedRegisters::RegisterState& ReplicatedRegisters::registerFor(std::string const& key) {
  return registers_[key];
}

bool ReplicatedRegisters::isMember(std::string const& id) const {
  return std::any_of(membership_.begin(), membership_.end(), [&](Member const& m) { return m.id == id; });
}

bool ReplicatedRegisters::isMajority(std::set<std::string> const& yes, std::vector<Member> const& of) const {
  std::size_t const n = static_cast<std::size_t>(
      std::count_if(of.begin(), of.end(), [&](Member const& m) { return yes.count(m.id) > 0; }));
  return !of.empty() && n >= of.size() / 2 + 1;
}

bool ReplicatedRegisters::owns(std::string const& key) const {
  std::map<std::string, RegisterState>::const_iterator const it = registers_.find(key);
  return it != registers_.end() && it->second.role == Role::owner;
}

std::size_t ReplicatedRegisters::ownedCount() const {
  return static_cast<std::size_t>(std::count_if(
      registers_.begin(), registers_.end(),
      [](std::map<std::string, RegisterState>::value_type const& r) { return r.second.role == Role::owner; }));
}

std::string ReplicatedRegisters::ownerLink(std::string const& key, Tick now) const {
  std::map<std::string, RegisterState>::const_iterator const it = registers_.find(key);
  if (it == registers_.end()) return "";
  if (it->second.role == Role::owner) return self_.link;
  if (it->second.owner.empty() || it->second.owner == self_.id || now - it->second.ownerHeard > tuning_.ownerTimeout)
    return "";
  for (Member const& m : membership_)
    if (m.id == it->second.owner) return m.link;
  return "";
}

void ReplicatedRegisters::send(RegisterCommands& out, Tick now, std::string const& to, transport::Message message) {
  if (to != self_.link) {
    out.sends.push_back(transport::Send{to, std::move(message)});
    return;
  }
  RegisterCommands inner = onMessage(now, self_.link, message);
  std::move(inner.sends.begin(), inner.sends.end(), std::back_inserter(out.sends));
  std::move(inner.persists.begin(), inner.persists.end(), std::back_inserter(out.persists));
  std::move(inner.commits.begin(), inner.commits.end(), std::back_inserter(out.commits));
  std::move(inner.completedCalls.begin(), inner.completedCalls.end(), std::back_inserter(out.completedCalls));
  std::move(inner.rerouted.begin(), inner.rerouted.end(), std::back_inserter(out.rerouted));
  std::move(inner.logEvents.begin(), inner.logEvents.end(), std::back_inserter(out.logEvents));
}

RegisterCommands ReplicatedRegisters::onMessage(Tick now, std::string const& from, transport::Message const& message) {
  RegisterCommands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); }) this->on(out, now, from, m);
      },
      message);
  return out;
}

RegisterCommands ReplicatedRegisters::submit(Tick now, std::string const& key, transport::OperatorCall const& call) {
  RegisterCommands out;
  if (!isVoting() || stalled_) {
    out.completedCalls.push_back(
        CallCompleted{call.token, key, 0, 503, {{"error", "not accepted"}, {"reason", "this member cannot vote"}}});
    return out;
  }
  RegisterState& r = registerFor(key);
  r.queue.push_back(Pending{call, now});
  if (r.role == Role::owner)
    work(out, now, key, r);
  else if (r.role == Role::idle)
    startElection(out, now, key, r);
  return out;
}

RegisterCommands ReplicatedRegisters::onTimer(Tick now) {
  RegisterCommands out;
  if (now - lastClock_ > tuning_.ownerTimeout) wokeAt_ = now;
  lastClock_ = now;
  std::erase_if(newcomers_, [&](std::map<std::string, Newcomer>::value_type const& n) {
    return now - n.second.heard > tuning_.ownerTimeout;
  });
  if (leaving_) resetAfterRemoval(out, now);
  watchDisk(out, now);
  watchQuorum(now);
  if (now >= heartbeatAt_) heartbeat(out, now);
  if (hasNoState_) found(out, now);
  catchUp(out, now);
  if (draining_) handOverOwned(out, now);
  std::vector<std::string> keys;
  for (std::map<std::string, RegisterState>::value_type const& r : registers_) keys.push_back(r.first);
  for (std::string const& key : keys) {
    RegisterState& r = registerFor(key);
    expireCalls(out, now, key, r);
    resend(out, now, key, r);
    if (r.role == Role::owner && !r.reads.empty()) readsAnswered(out, now, self_.id, now, {});
    considerElection(out, now, key, r);
    fetchNewer(out, now, key, r);
  }
  for (std::map<std::string, PeerState>::value_type const& o : peers_)
    for (transport::Revisions::value_type const& s : o.second.echoRevisions) registerFor(s.first);
  considerMembership(out, now);
  return out;
}

bool ReplicatedRegisters::mayHaveAcceptedValue(std::string const& key) const {
  if (committed_.count(key) > 0) return true;
  std::map<std::string, RegisterState>::const_iterator const own = registers_.find(key);
  if (own != registers_.end() && own->second.revision > 0) return true;
  return std::any_of(peers_.begin(), peers_.end(), [&](std::map<std::string, PeerState>::value_type const& o) {
    return o.second.echoRevisions.count(key) > 0;
  });
}

void ReplicatedRegisters::expireCalls(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  while (!r.queue.empty() && now - r.queue.front().since > tuning_.callTimeout) {
    out.completedCalls.push_back(
        CallCompleted{r.queue.front().call.token,
                      key,
                      0,
                      503,
                      {{"error", "not accepted"}, {"reason", "no majority of the disks could be had"}}});
    r.queue.pop_front();
  }
  std::string const owner = ownerLink(key, now);
  if (!r.queue.empty() && r.role == Role::idle && !owner.empty()) {
    for (Pending const& p : r.queue) out.rerouted.emplace_back(key, p.call);
    r.queue.clear();
  }
  if (r.proposal && r.proposal->token != 0 && now - r.proposal->since > tuning_.callTimeout) {
    out.completedCalls.push_back(
        CallCompleted{r.proposal->token,
                      key,
                      0,
                      504,
                      {{"error", "unknown"}, {"reason", "a majority did not answer in time; ask by the change id"}}});
    r.proposal->token = 0;
  }
}

}  // namespace corkward::consensus
