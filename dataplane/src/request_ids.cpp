#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::remembersSince(Tick now, Tick age) const {
  Tick const lag = eventLagAt_ >= 0 && now - eventLagAt_ < 2000 ? eventLag_ : 0;
  return memoryFrom_ <= now - (age + lag + tuning_.ageMargin + age / 8);
}

void RequestRouter::queryPeers(RouterCommands& out, Tick, CallId id) {
  Call& call = calls_.at(id);
  call.phase = Phase::queryingRequestId;
  for (std::string const& link : otherRouters()) {
    call.awaitedPeers.insert(link);
    out.sends.push_back(transport::Send{
        link, transport::RequestIdQuery{id, call.request.instance + "|" + call.request.id, call.request.attempt,
                                        std::max<Tick>(call.request.ageMs, 0), processName_}});
  }
}

void RequestRouter::decideRequestId(RouterCommands& out, Tick now, CallId id, bool over) {
  Call& call = calls_.at(id);
  bool const resumable = routes_[call.path].path.resumable;
  bool const open = std::any_of(call.earlierClaimants.begin(), call.earlierClaimants.end(), [&](std::string const& c) {
    return c != processName_ && call.clearedByPeers.count(c) == 0;
  });
  std::vector<Tick> memories = call.peerMemoryStarts;
  memories.push_back(now - memoryFrom_);
  std::sort(memories.rbegin(), memories.rend());
  std::size_t const need = majorityOf(rosterSize());
  Tick const memory = memories.size() < need ? -1 : memories[need - 1];
  if (call.executedElsewhere && !resumable) {
    reject(out, now, id, 409, "an earlier attempt may have run on another node", false, 0);
  } else if (!call.executedElsewhere && !open && memory >= tuning_.minimumMemoryAge) {
    admit(out, now, id);
  } else if (over || call.awaitedPeers.empty()) {
    bool const young =
        !open && memory >= (call.awaitedPeers.empty() ? tuning_.startupGracePeriod : tuning_.quorumMemoryWait);
    call.reachedReplica = call.reachedReplica || call.executedElsewhere || open;
    if (young || resumable)
      admit(out, now, id);
    else
      reject(out, now, id, 409, "nobody can say whether this id has run before", false, 0);
  }
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::RequestIdQuery const& m) {
  bool clear = m.attempt == 0 || remembersSince(now, m.age);
  bool known = false;
  bool reached = false;
  std::vector<std::string> claimants;
  std::unordered_map<std::string, RequestIdRecord>::iterator const it = requestIds_.find(m.id);
  if (it != requestIds_.end()) {
    known = true;
    reached = it->second.reachedReplica;
    if (it->second.mayHaveRun) clear = false;
    std::unordered_map<CallId, Call>::const_iterator const c = calls_.find(it->second.activeCall);
    if (it->second.activeCall != 0 && c != calls_.end()) {
      if (c->second.phase == Phase::queued || c->second.phase == Phase::queryingRequestId) {
        reached = reached || c->second.reachedReplica;
        reject(out, now, it->second.activeCall, 409, "replaced by a later attempt", true, 0);
      } else {
        clear = false;
      }
    }
    claimants = it->second.claimants;
    std::erase(claimants, m.processRun);
  }
  RequestIdRecord& s = requestIdRecord(now, m.id);
  s.claimedByAttempt = std::max(s.claimedByAttempt, m.attempt);
  if (m.attempt == 0 && std::find(s.claimants.begin(), s.claimants.end(), m.processRun) == s.claimants.end())
    s.claimants.push_back(m.processRun);
  out.sends.push_back(transport::Send{
      from, transport::RequestIdReply{m.token, processName_, clear, known, reached, now - memoryFrom_, claimants}});
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::RequestIdReply const& m) {
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(m.token);
  if (it == calls_.end() || it->second.phase != Phase::queryingRequestId || it->second.awaitedPeers.erase(from) == 0)
    return;
  Call& call = it->second;
  call.reachedReplica = call.reachedReplica || m.reachedReplica;
  if (call.request.attempt == 0) {
    call.executedElsewhere = call.executedElsewhere || !m.notExecuted;
    if (m.notExecuted) call.peerMemoryStarts.push_back(m.memorySpan);
    call.pendingEcho = call.pendingEcho || m.known;
    if (m.notExecuted && m.known) call.clearedByPeers.insert(m.processRun);
    call.earlierClaimants.insert(m.claimedBy.begin(), m.claimedBy.end());
    decideRequestId(out, now, m.token, false);
  } else if (!m.notExecuted) {
    reject(out, now, m.token, 409, "an earlier attempt may have run on another node", false, 0);
  } else if (call.awaitedPeers.empty()) {
    admit(out, now, m.token);
  }
}

void RequestRouter::on(RouterCommands&, Tick now, std::string const&, transport::RequestIdHandover const& m) {
  for (std::string const& id : m.ids) requestIdRecord(now, id).mayHaveRun = true;
  if (!m.last) return;
  for (std::unordered_map<std::string, RequestIdRecord>::value_type& s : requestIds_)
    if (!s.second.mayHaveRun) std::erase(s.second.claimants, m.processRun);
}

RequestRouter::RequestIdRecord& RequestRouter::requestIdRecord(Tick now, std::string const& key) {
  RequestIdRecord& s = requestIds_[key];
  if (s.lastSeenAt == 0) requestIdOrder_.emplace_back(now, key);
  s.lastSeenAt = now;
  return s;
}

void RequestRouter::expireRequestIds(Tick now) {
  while (!requestIdOrder_.empty() && (now - requestIdOrder_.front().first > tuning_.requestIdRetention ||
                                      requestIds_.size() > tuning_.maxRequestIds)) {
    std::pair<Tick, std::string> const front = requestIdOrder_.front();
    requestIdOrder_.pop_front();
    std::unordered_map<std::string, RequestIdRecord>::iterator const it = requestIds_.find(front.second);
    if (it == requestIds_.end()) continue;
    if (now - it->second.lastSeenAt <= tuning_.requestIdRetention && requestIds_.size() <= tuning_.maxRequestIds) {
      requestIdOrder_.emplace_back(it->second.lastSeenAt, front.second);
    } else {
      memoryFrom_ = std::max(memoryFrom_, it->second.lastSeenAt);
      requestIds_.erase(it);
    }
  }
}

void RequestRouter::removeCall(Tick now, CallId id) {
  std::unordered_map<CallId, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return;
  if (!it->second.request.id.empty()) {
    std::unordered_map<std::string, RequestIdRecord>::iterator const s =
        requestIds_.find(it->second.request.instance + "|" + it->second.request.id);
    if (s != requestIds_.end() && s->second.activeCall == id) {
      s->second.activeCall = 0;
      s->second.lastSeenAt = now;
    }
  }
  returnQuota(now, it->second);
  calls_.erase(it);
}

}  // namespace corkward::dataplane
