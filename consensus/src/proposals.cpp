// Elections and proposals of each key: prepare and promise, accept and accepted, commit, and handing a key over.
#include <corkward/consensus/replicated_registers.h>
#include <corkward/core/guarantees.h>
#include <algorithm>
#include "records.h"

namespace corkward::consensus {

namespace {

/// Digests of the committed set that are remembered, so that a member a few changes behind is still recognised.
constexpr std::size_t digestsKept = 64;

/// A member was told a value under a revision that it holds another value of: the older one stays.
void noteSecondValue(RegisterCommands& out, std::string const& key, std::string const& what) {
  CORKWARD_GUARANTEE(core::Guarantee::oneValuePerRevision, false, key + ": " + what);
  out.logEvents.push_back(core::LogEvent{"absurd-message", {{"key", key}, {"what", what}}});
}

}  // namespace

std::uint64_t ReplicatedRegisters::oldestTaken(std::string const& key) {
  if (tuning_.switches.off(Mechanism::membershipGuard)) return 0;
  return key == membershipKey ? membershipRevision_
                              : std::max(membershipRevision_, registerFor(membershipKey).revision);
}

bool ReplicatedRegisters::isOld(Ballot const& ballot, RegisterState const& r) const {
  return ballot < r.promised && !tuning_.switches.off(Mechanism::promiseCheck);
}

void ReplicatedRegisters::startElection(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  if (!isVoting() || stalled_ || !isMember(self_.id)) return;
  if (draining_ && !successors(now).empty()) return;
  r.role = Role::preparing;
  r.roleSince = now;
  r.sentAt = now;
  r.electionAt = 0;
  r.unowned = false;
  r.promises.clear();
  r.mine = Ballot{std::max({r.highest, r.promised.number, r.mine.number}) + 1, self_.id};
  r.highest = r.mine.number;
  out.logEvents.push_back(core::LogEvent{"campaign", {{"key", key}, {"epoch", std::to_string(r.mine.number)}}});
  std::vector<Member> const members = membership_;
  for (Member const& m : members)
    send(out, now, m.link, transport::Prepare{key, r.mine, self_.id, membershipRevision_});
}

void ReplicatedRegisters::stepDown(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r,
                                   char const* why) {
  if (r.role == Role::idle) return;
  out.logEvents.push_back(core::LogEvent{"step-down", {{"key", key}, {"why", why}}});
  r.role = Role::idle;
  r.ownerHeard = now;
  r.electionAt = 0;
  r.promises.clear();
  if (r.proposal && r.proposal->token != 0)
    out.completedCalls.push_back(
        CallCompleted{r.proposal->token,
                      key,
                      0,
                      504,
                      {{"error", "unknown"},
                       {"reason", "ownership was lost while the change was being written; ask by its change id"}}});
  r.proposal.reset();
  for (Read const& read : r.reads)
    out.completedCalls.push_back(CallCompleted{read.token, key, 0, 503, {{"error", "not confirmed"}}});
  r.reads.clear();
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const& from, transport::Prepare const& m) {
  if (!isVoting() || stalled_ || !isMember(m.member)) return;
  std::uint64_t const guard = oldestTaken(m.key);
  RegisterState& r = registerFor(m.key);
  r.highest = std::max(r.highest, m.ballot.number);
  r.unowned = false;
  if (guard > m.membershipRevision || isOld(m.ballot, r)) {
    send(out, now, from, transport::Promise{m.key, m.ballot, self_.id, false, r.promised, {}, 0, {}});
    return;
  }
  if (r.promised < m.ballot) {
    if (r.role != Role::idle && m.member != self_.id) stepDown(out, now, m.key, r, "a higher epoch was promised");
    r.promised = m.ballot;
    r.ownerHeard = now;
    persist(out, now, m.key, r);
  }
  sendWhenSynced(
      out, now, r, from,
      transport::Promise{m.key, m.ballot, self_.id, true, r.promised, r.acceptedBallot, r.revision, r.value});
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const&, transport::Promise const& m) {
  RegisterState& r = registerFor(m.key);
  r.highest = std::max(r.highest, m.promised.number);
  if (r.role != Role::preparing || !(m.ballot == r.mine) || !isMember(m.member)) return;
  if (!m.granted) {
    if (r.mine < m.promised) stepDown(out, now, m.key, r, "a member has promised a higher epoch");
    return;
  }
  r.promises[m.member] = m;
  std::set<std::string> yes;
  for (std::map<std::string, transport::Promise>::value_type const& p : r.promises) yes.insert(p.first);
  if (yes.count(self_.id) > 0 && isMajority(yes, membership_)) becomeOwner(out, now, m.key, r);
}

void ReplicatedRegisters::becomeOwner(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  r.role = Role::owner;
  r.roleSince = now;
  r.owner = self_.id;
  out.logEvents.push_back(core::LogEvent{"owner", {{"key", key}, {"epoch", std::to_string(r.mine.number)}}});
  transport::Promise const* best = nullptr;
  for (std::map<std::string, transport::Promise>::value_type const& p : r.promises)
    if (p.second.revision > 0 && (best == nullptr || newer(p.second, *best))) best = &p.second;
  if (best != nullptr && !tuning_.switches.off(Mechanism::newestAccepted)) {
    Proposal p;
    p.revision = best->revision;
    p.value = best->value;
    propose(out, now, key, r, std::move(p));
  } else {
    work(out, now, key, r);
  }
}

void ReplicatedRegisters::propose(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r,
                                  Proposal proposal) {
  CORKWARD_INVARIANT(!r.proposal);
  proposal.since = now;
  r.proposal = std::move(proposal);
  sendProposal(out, now, key, r);
}

void ReplicatedRegisters::sendProposal(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  r.proposal->sentAt = now;
  transport::Accept const accept{key, r.mine, self_.id, membershipRevision_, r.proposal->revision, r.proposal->value};
  std::vector<Member> targets = membership_;
  if (key == membershipKey)
    for (Member const& m : membersOf(r.proposal->value))
      if (std::none_of(targets.begin(), targets.end(), [&](Member const& t) { return t.id == m.id; }))
        targets.push_back(m);
  std::set<std::string> const yes = r.proposal->acceptedBy;
  for (Member const& m : targets)
    if (yes.count(m.id) == 0) send(out, now, m.link, accept);
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const& from, transport::Accept const& m) {
  bool const joining =
      m.key == membershipKey && !voting_ && !diskFailed_ && !leaving_ && hasNoState_ && nameTicket_ == 0;
  if (stalled_ || (!isVoting() && !joining)) return;
  if (!joining && !isMember(m.member)) return;
  std::uint64_t const guard = oldestTaken(m.key);
  RegisterState& r = registerFor(m.key);
  if (guard > m.membershipRevision || isOld(m.ballot, r)) {
    send(out, now, from, transport::Accepted{m.key, m.ballot, self_.id, m.revision, false, r.promised});
    return;
  }
  if (r.acceptedBallot == m.ballot && m.revision < r.revision) return;
  bool const same = r.acceptedBallot == m.ballot && r.revision == m.revision;
  if (same && r.value != m.value) {
    noteSecondValue(out, m.key, "two values under one epoch and revision");
    return;
  }
  if (!same) {
    if (r.role != Role::idle && m.member != self_.id) stepDown(out, now, m.key, r, "another owner's change arrived");
    r.promised = m.ballot;
    r.acceptedBallot = m.ballot;
    r.revision = m.revision;
    r.value = m.value;
    accepted(now, m.key, r);
    persist(out, now, m.key, r);
  }
  r.highest = std::max(r.highest, m.ballot.number);
  r.unowned = false;
  r.ownerHeard = now;
  r.owner = m.member;
  sendWhenSynced(out, now, r, from, transport::Accepted{m.key, m.ballot, self_.id, m.revision, true, m.ballot});
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const&, transport::Accepted const& m) {
  RegisterState& r = registerFor(m.key);
  r.highest = std::max(r.highest, m.promised.number);
  if (r.role != Role::owner || !r.proposal || !(m.ballot == r.mine) || m.revision != r.proposal->revision) return;
  if (!m.granted) {
    if (r.mine < m.promised) stepDown(out, now, m.key, r, "a member has promised a higher epoch");
    return;
  }
  r.proposal->acceptedBy.insert(m.member);
  bool done = isMajority(r.proposal->acceptedBy, membership_);
  if (m.key == membershipKey && !tuning_.switches.off(Mechanism::jointQuorum))
    done = done && isMajority(r.proposal->acceptedBy, membersOf(r.proposal->value));
  if (done) chosen(out, now, m.key, r);
}

void ReplicatedRegisters::chosen(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  Proposal const p = std::move(*r.proposal);
  r.proposal.reset();
  transport::Commit const news{r.mine, transport::CommittedEntry{key, p.revision, p.value}};
  std::vector<Member> targets = membership_;
  if (key == membershipKey)
    for (Member const& m : membersOf(p.value)) targets.push_back(m);
  for (Member const& m : targets)
    if (m.id != self_.id) out.sends.push_back(transport::Send{m.link, news});
  commit(out, now, news.entry);
  if (p.token != 0) out.completedCalls.push_back(CallCompleted{p.token, key, p.revision, p.status, p.body});
  work(out, now, key, r);
}

void ReplicatedRegisters::work(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  while (r.role == Role::owner && !r.proposal && !r.queue.empty()) {
    Pending const next = std::move(r.queue.front());
    r.queue.pop_front();
    std::map<std::string, CommittedValue>::const_iterator const it = committed_.find(key);
    std::uint64_t const revision = it == committed_.end() ? 0 : it->second.revision;
    QJsonObject const value = it == committed_.end() ? QJsonObject() : it->second.value;
    Verdict const v = validator_(key, revision, value, next.call);
    if (!v.change && tuning_.switches.off(Mechanism::readConfirmation)) {
      out.completedCalls.push_back(CallCompleted{next.call.token, key, 0, v.status, v.body});
      continue;
    }
    if (!v.change) {
      r.reads.push_back(Read{next.call.token, now, v.status, v.body, {self_.id}});
      newestRead_ = now;
      heartbeatAt_ = std::min(heartbeatAt_, now + 1);
      continue;
    }
    Proposal p;
    p.token = next.call.token;
    p.revision = revision + 1;
    p.value = v.value;
    p.status = v.status;
    p.body = v.body;
    propose(out, now, key, r, std::move(p));
  }
}

void ReplicatedRegisters::commit(RegisterCommands& out, Tick now, transport::CommittedEntry const& item) {
  std::map<std::string, CommittedValue>::const_iterator const it = committed_.find(item.key);
  if (it != committed_.end() && it->second.revision >= item.revision) {
    if (it->second.revision == item.revision && it->second.value != item.value)
      noteSecondValue(out, item.key, "two values under one revision");
    return;
  }
  CommittedValue const c{item.key, item.revision, item.value};
  known_.replace(item.key, it == committed_.end() ? 0 : it->second.revision, item.revision);
  had_.push_back(known_);
  if (had_.size() > digestsKept) had_.pop_front();
  committed_[item.key] = c;
  out.commits.push_back(c);
  if (registerFor(item.key).revision <= item.revision) unconfirmedKeys_.erase(item.key);
  if (item.key == membershipKey) adoptMembership(out, item.revision, item.value, now);
  for (std::map<std::string, PeerState>::value_type& o : peers_) refreshContact(o.second);
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const&, transport::Commit const& m) {
  RegisterState& r = registerFor(m.entry.key);
  r.highest = std::max(r.highest, m.ballot.number);
  commit(out, now, m.entry);
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const&, transport::Handover const& m) {
  RegisterState& r = registerFor(m.key);
  r.highest = std::max(r.highest, m.ballot.number);
  if (r.role == Role::idle) startElection(out, now, m.key, r);
}

void ReplicatedRegisters::resend(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  if (r.role == Role::owner && r.proposal && now - r.proposal->sentAt >= tuning_.resendEvery)
    sendProposal(out, now, key, r);
  if (r.role == Role::preparing && now - r.roleSince > tuning_.ownerTimeout) {
    stepDown(out, now, key, r, "no majority promised");
    r.electionAt = now + static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(tuning_.electionSpread)));
  } else if (r.role == Role::preparing && now - r.sentAt >= tuning_.resendEvery) {
    r.sentAt = now;
    std::vector<Member> const members = membership_;
    for (Member const& m : members)
      if (r.role == Role::preparing && r.promises.count(m.id) == 0)
        send(out, now, m.link, transport::Prepare{key, r.mine, self_.id, membershipRevision_});
  }
}

void ReplicatedRegisters::considerElection(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  bool const wanted = !r.queue.empty() || r.revision > 0 || committed_.count(key) > 0;
  bool const restarted = r.unowned && quorumAt_ >= 0 && now - quorumAt_ >= tuning_.restartPause;
  bool const next = r.unowned && quorumAt_ >= 0 && (restarted || allSaidOwned()) && firstFor(key, now);
  if (r.role != Role::idle || !wanted || !isVoting() || stalled_) return;
  if (!restarted && !next && now - r.ownerHeard <= tuning_.ownerTimeout) return;
  if (next)
    startElection(out, now, key, r);
  else if (r.electionAt == 0)
    r.electionAt = now + static_cast<Tick>(rng_.below(
                             static_cast<std::uint64_t>(restarted ? tuning_.restartSpread : tuning_.electionSpread)));
  else if (now >= r.electionAt)
    startElection(out, now, key, r);
}

void ReplicatedRegisters::fetchNewer(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  std::uint64_t newest = r.revision;
  for (std::map<std::string, PeerState>::value_type const& o : peers_) {
    transport::Revisions::const_iterator const it = o.second.echoRevisions.find(key);
    if (it != o.second.echoRevisions.end()) newest = std::max(newest, it->second);
  }
  std::map<std::string, CommittedValue>::const_iterator const have = committed_.find(key);
  std::uint64_t const known = have == committed_.end() ? 0 : have->second.revision;
  if (r.role == Role::owner || known >= newest || now - r.fetchedAt < tuning_.resendEvery) return;
  r.fetchedAt = now;
  for (Member const& m : membership_)
    if (m.id != self_.id)
      out.sends.push_back(transport::Send{m.link, transport::ValueRequest{key, false, self_.id, membershipRevision_}});
}

bool ReplicatedRegisters::allSaidOwned() const {
  return std::all_of(membership_.begin(), membership_.end(), [&](Member const& m) {
    std::map<std::string, PeerState>::const_iterator const it = peers_.find(m.id);
    return m.id == self_.id || (it != peers_.end() && it->second.saidOwned);
  });
}

bool ReplicatedRegisters::firstFor(std::string const& key, Tick now) const {
  return std::none_of(membership_.begin(), membership_.end(), [&](Member const& m) {
    std::map<std::string, PeerState>::const_iterator const it = peers_.find(m.id);
    return it != peers_.end() && it->second.voting && now - it->second.heard < tuning_.ownerTimeout &&
           core::stableHash(key + m.id) < core::stableHash(key + self_.id);
  });
}

}  // namespace corkward::consensus
