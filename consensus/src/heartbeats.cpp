// Heartbeats and their echoes: who is alive, who votes, which keys are owned, and how old the last contact with a
// majority is. Reads are confirmed by echoes that began after them.
#include <corkward/consensus/replicated_registers.h>
#include <algorithm>
#include "records.h"

namespace corkward::consensus {

namespace {

/// Heartbeats that name the owned keys in full after these have changed.
constexpr int heartbeatsInFull = 3;

}  // namespace

transport::Heartbeat ReplicatedRegisters::ownHeartbeat(Tick now) const {
  transport::Heartbeat b;
  b.sentAt = now;
  b.member = self_.id;
  b.hasNoState = hasNoState_ && !draining_;
  b.draining = draining_;
  b.voting = isVoting() && !stalled_;
  b.membershipRevision = membershipRevision_;
  b.caughtUpRevision = caughtUp_;
  b.membershipValue = membershipJson(membership_);
  return b;
}

void ReplicatedRegisters::heartbeat(RegisterCommands& out, Tick now) {
  heartbeatAt_ = now + (now > newestRead_ ? tuning_.heartbeatEvery : 1);
  if (nameTicket_ != 0) return;
  transport::Heartbeat b = ownHeartbeat(now);
  for (std::map<std::string, RegisterState>::value_type const& r : registers_)
    if (r.second.role == Role::owner) b.ownedKeys[r.first] = r.second.mine.number;
  b.committedDigest = known_;
  b.ownedDigest = transport::digestOf(b.ownedKeys);
  if (!(b.ownedDigest == owns_)) nameOwned_ = heartbeatsInFull;
  owns_ = b.ownedDigest;
  if (nameOwned_ == 0) b.ownedKeys.clear();
  nameOwned_ = std::max(0, nameOwned_ - 1);
  std::set<std::string> to;
  for (Member const& m : membership_) to.insert(m.link);
  if (hasNoState_) to.insert(founders_.begin(), founders_.end());
  if (discovering()) to.insert(neighbours_.begin(), neighbours_.end());
  to.erase(self_.link);
  for (std::string const& link : to) {
    std::function<bool(Member const&)> const has = [&](Member const& m) {
      return m.link == link && peers_[m.id].membership == membershipRevision_;
    };
    transport::Heartbeat one = b;
    if (std::any_of(membership_.begin(), membership_.end(), has)) one.membershipValue = QJsonObject();
    out.sends.push_back(transport::Send{link, std::move(one)});
  }
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const& from, transport::Heartbeat const& m) {
  if (m.membershipRevision > membershipRevision_ && !m.membershipValue.isEmpty())
    adoptMembership(out, m.membershipRevision, m.membershipValue, now);
  if (!isMember(m.member)) {
    newcomers_[m.member] = Newcomer{from, now, m.hasNoState};
    if (!hasNoState_ && !leaving_) out.sends.push_back(transport::Send{from, ownHeartbeat(now)});
    return;
  }
  PeerState& o = peers_[m.member];
  if (!o.saidOwned) heartbeatAt_ = now;
  o.heard = now;
  o.link = from;
  o.voting = m.voting;
  o.leaving = m.draining;
  o.membership = m.membershipRevision;
  if (transport::digestOf(m.ownedKeys) == m.ownedDigest) o.owned = m.ownedKeys;
  o.saidOwned = transport::digestOf(o.owned) == m.ownedDigest;
  o.caughtUp = m.caughtUpRevision;
  transport::HeartbeatReply echo;
  echo.requestSentAt = m.sentAt;
  echo.member = self_.id;
  echo.voting = isVoting() && !stalled_;
  for (std::map<std::string, RegisterState>::value_type const& r : registers_)
    if (r.second.revision > 0) echo.accepted[r.first] = r.second.revision;
  echo.acceptedDigest = transport::digestOf(echo.accepted);
  if (echo.acceptedDigest == m.committedDigest) echo.accepted.clear();
  echo.wantsOwnedKeys = !(transport::digestOf(o.owned) == m.ownedDigest);
  if (echo.wantsOwnedKeys) o.owned.clear();
  for (transport::Revisions::value_type const& owned : o.owned) {
    RegisterState& r = registerFor(owned.first);
    r.highest = std::max(r.highest, owned.second);
    Ballot const claimed{owned.second, m.member};
    if (claimed < r.promised) {
      echo.higherBallots[owned.first] = r.promised.number;
    } else {
      r.owner = m.member;
      r.ownerHeard = now;
      r.electionAt = 0;
      r.unowned = false;
    }
  }
  out.sends.push_back(transport::Send{from, echo});
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const&, transport::HeartbeatReply const& m) {
  if (!isMember(m.member)) return;
  PeerState& o = peers_[m.member];
  o.heard = now;
  if (m.wantsOwnedKeys) nameOwned_ = std::max(nameOwned_, 1);
  if (!m.voting) return;
  o.accepted = m.acceptedDigest;
  bool const known = std::find(had_.begin(), had_.end(), m.acceptedDigest) != had_.end();
  if (m.requestSentAt > o.echoTick && (known || transport::digestOf(m.accepted) == m.acceptedDigest)) {
    o.echoTick = m.requestSentAt;
    o.echoRevisions = known ? transport::Revisions() : m.accepted;
    refreshContact(o);
  }
  for (transport::Revisions::value_type const& h : m.higherBallots) {
    RegisterState& r = registerFor(h.first);
    r.highest = std::max(r.highest, h.second);
    if (r.role == Role::owner) stepDown(out, now, h.first, r, "a member has promised a higher epoch");
  }
  if (!m.wantsOwnedKeys) readsAnswered(out, now, m.member, m.requestSentAt, m.higherBallots);
}

void ReplicatedRegisters::readsAnswered(RegisterCommands& out, Tick now, std::string const& member, Tick tick,
                                        transport::Revisions const& higher) {
  for (std::map<std::string, RegisterState>::value_type& r : registers_) {
    if (r.second.role != Role::owner || higher.count(r.first) > 0) continue;
    std::vector<Read> waiting;
    for (Read& read : r.second.reads) {
      if (tick > read.since) read.seen.insert(member);
      if (isMajority(read.seen, membership_))
        out.completedCalls.push_back(CallCompleted{read.token, r.first, 0, read.status, read.body});
      else if (now - read.since > tuning_.callTimeout)
        out.completedCalls.push_back(CallCompleted{read.token, r.first, 0, 503, {{"error", "not confirmed"}}});
      else
        waiting.push_back(std::move(read));
    }
    r.second.reads = std::move(waiting);
  }
}

void ReplicatedRegisters::refreshContact(PeerState& o) {
  for (transport::Revisions::value_type const& s : o.echoRevisions) {
    std::map<std::string, CommittedValue>::const_iterator const it = committed_.find(s.first);
    if (it == committed_.end() || it->second.revision < s.second) return;
  }
  o.goodTick = o.echoTick;
}

std::vector<std::string> ReplicatedRegisters::aliveLinks(Tick now) const {
  std::vector<std::string> links;
  for (Member const& m : membership_) {
    std::map<std::string, PeerState>::const_iterator const other = peers_.find(m.id);
    bool const heard =
        other != peers_.end() && other->second.voting && now - other->second.heard < tuning_.ownerTimeout;
    if (m.id == self_.id ? isVoting() : heard) links.push_back(m.link);
  }
  return links;
}

void ReplicatedRegisters::watchQuorum(Tick now) {
  std::set<std::string> heard;
  if (isVoting()) heard.insert(self_.id);
  for (std::map<std::string, PeerState>::value_type const& o : peers_)
    if (o.second.voting && now - o.second.heard < tuning_.ownerTimeout) heard.insert(o.first);
  if (!isMajority(heard, membership_))
    quorumAt_ = -1;
  else if (quorumAt_ < 0)
    quorumAt_ = now;
}

Tick ReplicatedRegisters::quorumContactAge(Tick now) const {
  if (!isVoting() || stalled_ || membership_.empty() || !isMember(self_.id)) return -1;
  std::vector<Tick> ticks{now};
  for (std::map<std::string, Tick>::value_type const& u : unconfirmedKeys_)
    ticks.front() = std::min(ticks.front(), u.second);
  for (Member const& m : membership_) {
    if (m.id == self_.id) continue;
    std::map<std::string, PeerState>::const_iterator const it = peers_.find(m.id);
    ticks.push_back(it == peers_.end() ? -1 : it->second.goodTick);
  }
  std::sort(ticks.rbegin(), ticks.rend());
  Tick const t = ticks[membership_.size() / 2];
  return t < 0 ? -1 : now - t;
}

void ReplicatedRegisters::accepted(Tick now, std::string const& key, RegisterState const& r) {
  std::map<std::string, CommittedValue>::const_iterator const it = committed_.find(key);
  if (r.revision > (it == committed_.end() ? 0 : it->second.revision))
    unconfirmedKeys_.emplace(key, now);
  else
    unconfirmedKeys_.erase(key);
}

}  // namespace corkward::consensus
