#include <algorithm>

#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::remembersSince(Milliseconds now, Milliseconds age) const {
  Milliseconds const lag = eventLagAt_ >= 0 && now - eventLagAt_ < 2000 ? eventLag_ : 0;
  return requestIds_.remembersSince(now - (age + lag + tuning_.ageMargin + age / 8));
}

void RequestRouter::queryPeers(RouterCommands& out, Milliseconds, CallId id) {
  Call& call = calls_.at(id);
  call.phase = Phase::queryingRequestId;
  for (std::string const& link : otherRouters()) {
    call.awaitedPeers.insert(link);
    out.sends.push_back(
        transport::Send{link, transport::RequestIdQuery{id, requestIdKey(call.request), call.request.attempt,
                                                        std::max<Milliseconds>(call.request.ageMs, 0), processName_}});
  }
}

void RequestRouter::decideRequestId(RouterCommands& out, Milliseconds now, CallId id, bool timedOut) {
  Call& call = calls_.at(id);
  bool const resumable = routes_[call.path].path.resumable;
  bool const hasUnclearedClaimant =
      std::any_of(call.earlierClaimants.begin(), call.earlierClaimants.end(), [&](std::string const& claimant) {
        return claimant != processName_ && call.clearedByPeers.count(claimant) == 0;
      });
  std::vector<Milliseconds> memorySpans = call.peerMemorySpans;
  memorySpans.push_back(requestIds_.memorySpan(now));
  std::sort(memorySpans.rbegin(), memorySpans.rend());
  std::size_t const quorum = majorityOf(rosterSize());
  Milliseconds const quorumMemory = memorySpans.size() < quorum ? -1 : memorySpans[quorum - 1];
  if (call.mayHaveRunOnPeer && !resumable) {
    reject(out, now, id, 409, "an earlier attempt may have run on another node", false, 0);
  } else if (!call.mayHaveRunOnPeer && !hasUnclearedClaimant && quorumMemory >= tuning_.minimumMemoryAge) {
    admit(out, now, id);
  } else if (timedOut || call.awaitedPeers.empty()) {
    bool const mayAdmit =
        !hasUnclearedClaimant &&
        quorumMemory >= (call.awaitedPeers.empty() ? tuning_.startupGracePeriod : tuning_.quorumMemoryWait);
    call.reachedReplica = call.reachedReplica || call.mayHaveRunOnPeer || hasUnclearedClaimant;
    if (mayAdmit || resumable)
      admit(out, now, id);
    else
      reject(out, now, id, 409, "nobody can say whether this id has run before", false, 0);
  }
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       transport::RequestIdQuery const& m) {
  bool notExecuted = m.attempt == 0 || remembersSince(now, m.age);
  bool known = false;
  bool reached = false;
  std::vector<std::string> claimants;
  if (RequestIdRecord const* const record = requestIds_.find(m.id)) {
    known = true;
    reached = record->reachedReplica;
    if (record->mayHaveRun) notExecuted = false;
    auto const active = calls_.find(record->activeCall);
    if (record->activeCall != 0 && active != calls_.end()) {
      if (active->second.phase == Phase::queued || active->second.phase == Phase::queryingRequestId) {
        reached = reached || active->second.reachedReplica;
        reject(out, now, record->activeCall, 409, "replaced by a later attempt", true, 0);
      } else {
        notExecuted = false;
      }
    }
    claimants = record->claimants;
    std::erase(claimants, m.processRun);
  }
  RequestIdRecord& updated = requestIds_.use(now, m.id);
  updated.claimedByAttempt = std::max(updated.claimedByAttempt, m.attempt);
  if (m.attempt == 0 &&
      std::find(updated.claimants.begin(), updated.claimants.end(), m.processRun) == updated.claimants.end())
    updated.claimants.push_back(m.processRun);
  out.sends.push_back(
      transport::Send{from, transport::RequestIdReply{m.token, processName_, notExecuted, known, reached,
                                                      requestIds_.memorySpan(now), claimants}});
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       transport::RequestIdReply const& m) {
  auto const it = calls_.find(m.token);
  if (it == calls_.end() || it->second.phase != Phase::queryingRequestId || it->second.awaitedPeers.erase(from) == 0)
    return;
  Call& call = it->second;
  call.reachedReplica = call.reachedReplica || m.reachedReplica;
  if (call.request.attempt == 0) {
    call.mayHaveRunOnPeer = call.mayHaveRunOnPeer || !m.notExecuted;
    if (m.notExecuted) call.peerMemorySpans.push_back(m.memorySpan);
    call.isRepeatedAttempt = call.isRepeatedAttempt || m.known;
    if (m.notExecuted && m.known) call.clearedByPeers.insert(m.processRun);
    call.earlierClaimants.insert(m.claimedBy.begin(), m.claimedBy.end());
    decideRequestId(out, now, m.token, false);
  } else if (!m.notExecuted) {
    reject(out, now, m.token, 409, "an earlier attempt may have run on another node", false, 0);
  } else if (call.awaitedPeers.empty()) {
    admit(out, now, m.token);
  }
}

void RequestRouter::on(RouterCommands&, Milliseconds now, std::string const&, transport::RequestIdHandover const& m) {
  for (std::string const& id : m.ids) requestIds_.use(now, id).mayHaveRun = true;
  if (m.last) requestIds_.removeClaimant(m.processRun);
}

void RequestRouter::removeCall(Milliseconds now, CallId id) {
  auto const it = calls_.find(id);
  if (it == calls_.end()) return;
  if (!it->second.request.id.empty()) requestIds_.endCall(now, requestIdKey(it->second.request), id);
  returnQuota(now, it->second);
  calls_.erase(it);
}

}  // namespace corkward::dataplane
