#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::remembers(Tick now, Tick age) const {
  Tick const lag = lagAt_ >= 0 && now - lagAt_ < 2000 ? lag_ : 0;
  return memoryFrom_ <= now - (age + lag + tuning_.ageMargin + age / 8);
}

void RequestRouter::askOthers(RouterCommands& out, Tick, CallId id) {
  Call& call = calls_.at(id);
  call.phase = Phase::asking;
  for (std::string const& link : rosterOthers()) {
    call.waiting.insert(link);
    out.sends.push_back(transport::Send{
        link, transport::RequestIdQuery{id, call.request.instance + "|" + call.request.id, call.request.attempt,
                                        std::max<Tick>(call.request.age, 0), who_}});
  }
}

void RequestRouter::decideClaim(RouterCommands& out, Tick now, CallId id, bool over) {
  Call& call = calls_.at(id);
  bool const resumable = rows_[call.path].path.resumable;
  bool const open = std::any_of(call.claimants.begin(), call.claimants.end(),
                                [&](std::string const& c) { return c != who_ && call.clearedBy.count(c) == 0; });
  std::vector<Tick> memories = call.memories;
  memories.push_back(now - memoryFrom_);
  std::sort(memories.rbegin(), memories.rend());
  std::size_t const need = majorityOf(rosterSize());
  Tick const memory = memories.size() < need ? -1 : memories[need - 1];
  if (call.ranElsewhere && !resumable) {
    reject(out, now, id, 409, "an earlier attempt may have run on another node", false, 0);
  } else if (!call.ranElsewhere && !open && memory >= tuning_.vouchAfter) {
    admit(out, now, id);
  } else if (over || call.waiting.empty()) {
    bool const young = !open && memory >= (call.waiting.empty() ? tuning_.youngWait : tuning_.dimWait);
    call.reached = call.reached || call.ranElsewhere || open;
    if (young || resumable)
      admit(out, now, id);
    else
      reject(out, now, id, 409, "nobody can say whether this id has run before", false, 0);
  }
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::RequestIdQuery const& m) {
  bool clear = m.attempt == 0 || remembers(now, m.age);
  bool known = false;
  bool reached = false;
  std::vector<std::string> claimants;
  std::unordered_map<std::string, Seen>::iterator const it = seen_.find(m.id);
  if (it != seen_.end()) {
    known = true;
    reached = it->second.reached;
    if (it->second.mayHaveRun) clear = false;
    std::unordered_map<CallId, Call>::const_iterator const c = calls_.find(it->second.call);
    if (it->second.call != 0 && c != calls_.end()) {
      if (c->second.phase == Phase::held || c->second.phase == Phase::asking) {
        reached = reached || c->second.reached;
        reject(out, now, it->second.call, 409, "replaced by a later attempt", true, 0);
      } else {
        clear = false;
      }
    }
    claimants = it->second.claimants;
    std::erase(claimants, m.processRun);
  }
  Seen& s = remember(now, m.id);
  s.promisedAway = std::max(s.promisedAway, m.attempt);
  if (m.attempt == 0 && std::find(s.claimants.begin(), s.claimants.end(), m.processRun) == s.claimants.end())
    s.claimants.push_back(m.processRun);
  out.sends.push_back(transport::Send{
      from, transport::RequestIdReply{m.token, who_, clear, known, reached, now - memoryFrom_, claimants}});
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::RequestIdReply const& m) {
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(m.token);
  if (it == calls_.end() || it->second.phase != Phase::asking || it->second.waiting.erase(from) == 0) return;
  Call& call = it->second;
  call.reached = call.reached || m.reachedReplica;
  if (call.request.attempt == 0) {
    call.ranElsewhere = call.ranElsewhere || !m.notExecuted;
    if (m.notExecuted) call.memories.push_back(m.memorySpan);
    call.echo = call.echo || m.known;
    if (m.notExecuted && m.known) call.clearedBy.insert(m.processRun);
    call.claimants.insert(m.claimedBy.begin(), m.claimedBy.end());
    decideClaim(out, now, m.token, false);
  } else if (!m.notExecuted) {
    reject(out, now, m.token, 409, "an earlier attempt may have run on another node", false, 0);
  } else if (call.waiting.empty()) {
    admit(out, now, m.token);
  }
}

void RequestRouter::on(RouterCommands&, Tick now, std::string const&, transport::RequestIdHandover const& m) {
  for (std::string const& id : m.ids) remember(now, id).mayHaveRun = true;
  if (!m.last) return;
  for (std::unordered_map<std::string, Seen>::value_type& s : seen_)
    if (!s.second.mayHaveRun) std::erase(s.second.claimants, m.processRun);
}

RequestRouter::Seen& RequestRouter::remember(Tick now, std::string const& key) {
  Seen& s = seen_[key];
  if (s.at == 0) seenOrder_.emplace_back(now, key);
  s.at = now;
  return s;
}

void RequestRouter::expireSeen(Tick now) {
  while (!seenOrder_.empty() &&
         (now - seenOrder_.front().first > tuning_.seenFor || seen_.size() > tuning_.seenBound)) {
    std::pair<Tick, std::string> const front = seenOrder_.front();
    seenOrder_.pop_front();
    std::unordered_map<std::string, Seen>::iterator const it = seen_.find(front.second);
    if (it == seen_.end()) continue;
    if (now - it->second.at <= tuning_.seenFor && seen_.size() <= tuning_.seenBound) {
      seenOrder_.emplace_back(it->second.at, front.second);
    } else {
      memoryFrom_ = std::max(memoryFrom_, it->second.at);
      seen_.erase(it);
    }
  }
}

void RequestRouter::forget(Tick now, CallId id) {
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return;
  if (!it->second.request.id.empty()) {
    std::unordered_map<std::string, Seen>::iterator const s =
        seen_.find(it->second.request.instance + "|" + it->second.request.id);
    if (s != seen_.end() && s->second.call == id) {
      s->second.call = 0;
      s->second.at = now;
    }
  }
  giveBackQuota(now, it->second);
  calls_.erase(it);
}

}  // namespace corkward::dataplane
