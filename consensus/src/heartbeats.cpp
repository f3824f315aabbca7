// Heartbeats and their echoes: who is alive, who votes, which keys are owned, and how old the last contact with a
// majority is. Reads are confirmed by echoes that began after them.
#include <corkward/consensus/registers.h>
#include <algorithm>
#include "records.h"

namespace corkward::consensus {

namespace {

/// Heartbeats that name the owned keys in full after these have changed.
constexpr int heartbeatsInFull = 3;

}  // namespace

transport::Heartbeat Registers::ownHeartbeat(Tick now) const {
  transport::Heartbeat b;
  b.tick = now;
  b.member = self_.id;
  b.empty = empty_ && !draining_;
  b.leaving = draining_;
  b.voting = voting() && !stalled_;
  b.membership = membershipRevision_;
  b.caughtUp = caughtUp_;
  b.membershipValue = membershipJson(membership_);
  return b;
}

void Registers::heartbeat(Commands& out, Tick now) {
  heartbeatAt_ = now + (now > newestRead_ ? tuning_.heartbeatEvery : 1);
  if (nameTicket_ != 0) return;
  transport::Heartbeat b = ownHeartbeat(now);
  for (std::map<std::string, Reg>::value_type const& r : regs_)
    if (r.second.role == Role::owner) b.owned[r.first] = r.second.mine.n;
  b.known = known_;
  b.owns = transport::digestOf(b.owned);
  if (!(b.owns == owns_)) nameOwned_ = heartbeatsInFull;
  owns_ = b.owns;
  if (nameOwned_ == 0) b.owned.clear();
  nameOwned_ = std::max(0, nameOwned_ - 1);
  std::set<std::string> to;
  for (Member const& m : membership_) to.insert(m.link);
  if (empty_) to.insert(founders_.begin(), founders_.end());
  if (seeking()) to.insert(neighbours_.begin(), neighbours_.end());
  to.erase(self_.link);
  for (std::string const& link : to) {
    std::function<bool(Member const&)> const has = [&](Member const& m) {
      return m.link == link && others_[m.id].membership == membershipRevision_;
    };
    transport::Heartbeat one = b;
    if (std::any_of(membership_.begin(), membership_.end(), has)) one.membershipValue = QJsonObject();
    out.sends.push_back(transport::Send{link, std::move(one)});
  }
}

void Registers::on(Commands& out, Tick now, std::string const& from, transport::Heartbeat const& m) {
  if (m.membership > membershipRevision_ && !m.membershipValue.isEmpty())
    adoptMembership(out, m.membership, m.membershipValue, now);
  if (!isMember(m.member)) {
    newcomers_[m.member] = Newcomer{from, now, m.empty};
    if (!empty_ && !leaving_) out.sends.push_back(transport::Send{from, ownHeartbeat(now)});
    return;
  }
  Other& o = others_[m.member];
  if (!o.saidOwned) heartbeatAt_ = now;
  o.heard = now;
  o.link = from;
  o.voting = m.voting;
  o.leaving = m.leaving;
  o.membership = m.membership;
  if (transport::digestOf(m.owned) == m.owns) o.owned = m.owned;
  o.saidOwned = transport::digestOf(o.owned) == m.owns;
  o.caughtUp = m.caughtUp;
  transport::HeartbeatEcho echo;
  echo.tick = m.tick;
  echo.member = self_.id;
  echo.voting = voting() && !stalled_;
  for (std::map<std::string, Reg>::value_type const& r : regs_)
    if (r.second.revision > 0) echo.accepted[r.first] = r.second.revision;
  echo.digest = transport::digestOf(echo.accepted);
  if (echo.digest == m.known) echo.accepted.clear();
  echo.wantOwned = !(transport::digestOf(o.owned) == m.owns);
  if (echo.wantOwned) o.owned.clear();
  for (transport::Revisions::value_type const& owned : o.owned) {
    Reg& r = reg(owned.first);
    r.highest = std::max(r.highest, owned.second);
    Ballot const claimed{owned.second, m.member};
    if (claimed < r.promised) {
      echo.higher[owned.first] = r.promised.n;
    } else {
      r.owner = m.member;
      r.ownerHeard = now;
      r.electionAt = 0;
      r.unowned = false;
    }
  }
  out.sends.push_back(transport::Send{from, echo});
}

void Registers::on(Commands& out, Tick now, std::string const&, transport::HeartbeatEcho const& m) {
  if (!isMember(m.member)) return;
  Other& o = others_[m.member];
  o.heard = now;
  if (m.wantOwned) nameOwned_ = std::max(nameOwned_, 1);
  if (!m.voting) return;
  o.accepted = m.digest;
  bool const known = std::find(had_.begin(), had_.end(), m.digest) != had_.end();
  if (m.tick > o.echoTick && (known || transport::digestOf(m.accepted) == m.digest)) {
    o.echoTick = m.tick;
    o.echoRevisions = known ? transport::Revisions() : m.accepted;
    refreshContact(o);
  }
  for (transport::Revisions::value_type const& h : m.higher) {
    Reg& r = reg(h.first);
    r.highest = std::max(r.highest, h.second);
    if (r.role == Role::owner) stepDown(out, now, h.first, r, "a member has promised a higher epoch");
  }
  if (!m.wantOwned) readsAnswered(out, now, m.member, m.tick, m.higher);
}

void Registers::readsAnswered(Commands& out, Tick now, std::string const& member, Tick tick,
                              transport::Revisions const& higher) {
  for (std::map<std::string, Reg>::value_type& r : regs_) {
    if (r.second.role != Role::owner || higher.count(r.first) > 0) continue;
    std::vector<Read> waiting;
    for (Read& read : r.second.reads) {
      if (tick > read.since) read.seen.insert(member);
      if (majority(read.seen, membership_))
        out.decided.push_back(Decided{read.token, r.first, 0, read.status, read.body});
      else if (now - read.since > tuning_.callLimit)
        out.decided.push_back(Decided{read.token, r.first, 0, 503, {{"error", "not confirmed"}}});
      else
        waiting.push_back(std::move(read));
    }
    r.second.reads = std::move(waiting);
  }
}

void Registers::refreshContact(Other& o) {
  for (transport::Revisions::value_type const& s : o.echoRevisions) {
    std::map<std::string, Committed>::const_iterator const it = committed_.find(s.first);
    if (it == committed_.end() || it->second.revision < s.second) return;
  }
  o.goodTick = o.echoTick;
}

std::vector<std::string> Registers::aliveLinks(Tick now) const {
  std::vector<std::string> links;
  for (Member const& m : membership_) {
    std::map<std::string, Other>::const_iterator const other = others_.find(m.id);
    bool const heard =
        other != others_.end() && other->second.voting && now - other->second.heard < tuning_.ownerSilence;
    if (m.id == self_.id ? voting() : heard) links.push_back(m.link);
  }
  return links;
}

void Registers::watchQuorum(Tick now) {
  std::set<std::string> heard;
  if (voting()) heard.insert(self_.id);
  for (std::map<std::string, Other>::value_type const& o : others_)
    if (o.second.voting && now - o.second.heard < tuning_.ownerSilence) heard.insert(o.first);
  if (!majority(heard, membership_))
    quorumAt_ = -1;
  else if (quorumAt_ < 0)
    quorumAt_ = now;
}

Tick Registers::majorityAge(Tick now) const {
  if (!voting() || stalled_ || membership_.empty() || !isMember(self_.id)) return -1;
  std::vector<Tick> ticks{now};
  for (std::map<std::string, Tick>::value_type const& u : unsure_) ticks.front() = std::min(ticks.front(), u.second);
  for (Member const& m : membership_) {
    if (m.id == self_.id) continue;
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    ticks.push_back(it == others_.end() ? -1 : it->second.goodTick);
  }
  std::sort(ticks.rbegin(), ticks.rend());
  Tick const t = ticks[membership_.size() / 2];
  return t < 0 ? -1 : now - t;
}

void Registers::accepted(Tick now, std::string const& key, Reg const& r) {
  std::map<std::string, Committed>::const_iterator const it = committed_.find(key);
  if (r.revision > (it == committed_.end() ? 0 : it->second.revision))
    unsure_.emplace(key, now);
  else
    unsure_.erase(key);
}

}  // namespace corkward::consensus
