#include <corkward/consensus/registers.h>

#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>

namespace corkward::consensus {

namespace {

constexpr char const* metaRecord = "meta";
constexpr char const* configRecord = "config";
constexpr char const* slotPrefix = "slot:";
constexpr std::size_t digestsKept = 64;
constexpr int heartbeatsInFull = 3;

QJsonObject ballotJson(Ballot const& e) {
  return QJsonObject{{"n", static_cast<qint64>(e.n)}, {"m", core::qstr(e.member)}};
}

Ballot ballotOf(QJsonValue const& v) {
  QJsonObject const o = v.toObject();
  return Ballot{static_cast<std::uint64_t>(o.value("n").toInteger()), core::str(o.value("m").toString())};
}

template <class A, class B>
bool newer(A const& a, B const& b) {
  return b.acceptedBallot < a.acceptedBallot || (a.acceptedBallot == b.acceptedBallot && b.revision < a.revision);
}

QJsonObject recordOf(std::map<std::string, std::string> const& slots, char const* name) {
  std::map<std::string, std::string>::const_iterator const it = slots.find(name);
  return it == slots.end() ? QJsonObject() : core::parseJson(it->second).toObject();
}

QJsonObject membershipJson(std::vector<Member> const& members) {
  QJsonArray list;
  for (Member const& m : members) list.append(QJsonObject{{"id", core::qstr(m.id)}, {"link", core::qstr(m.link)}});
  return QJsonObject{{"members", list}};
}

}  // namespace

std::vector<Member> membersOf(QJsonObject const& membershipValue) {
  std::vector<Member> out;
  for (QJsonValue const v : membershipValue.value("members").toArray()) {
    QJsonObject const o = v.toObject();
    out.push_back(Member{core::str(o.value("id").toString()), core::str(o.value("link").toString())});
  }
  return out;
}

Registers::Registers(Member self, std::vector<std::string> founders, Validator validator, std::uint64_t seed,
                     Tuning tuning)
    : self_(std::move(self)),
      freshId_(self_.id),
      founders_(std::move(founders)),
      validator_(std::move(validator)),
      tuning_(tuning),
      rng_(seed) {}

Commands Registers::restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now) {
  Commands out;
  lastClock_ = now;
  wokeAt_ = now;
  QJsonObject const meta = recordOf(slots, metaRecord);
  if (damaged) founders_.clear();
  if (damaged || meta.isEmpty()) {
    name(out, freshId_);
    return out;
  }
  self_.id = core::str(meta.value("id").toString());
  voting_ = meta.value("voting").toBool();
  caughtUp_ = static_cast<std::uint64_t>(meta.value("settled").toInteger());
  QJsonArray const kept = meta.value("founders").toArray();
  if (kept.isEmpty()) founders_.clear();
  if (founders_.empty())
    for (QJsonValue const f : kept) founders_.push_back(core::str(f.toString()));
  for (std::map<std::string, std::string>::value_type const& s : slots) {
    if (s.first.rfind(slotPrefix, 0) != 0) continue;
    QJsonObject const o = core::parseJson(s.second).toObject();
    if (o.value("i").toString() != core::qstr(self_.id)) continue;
    std::string const key = s.first.substr(std::string(slotPrefix).size());
    Reg& r = reg(key);
    r.promised = ballotOf(o.value("p"));
    r.acceptedBallot = ballotOf(o.value("a"));
    r.revision = static_cast<std::uint64_t>(o.value("s").toInteger());
    r.value = o.value("v").toObject();
    r.highest = r.promised.n;
    r.ownerHeard = now;
    r.unowned = true;
    accepted(now, key, r);
  }
  QJsonObject const config = recordOf(slots, configRecord);
  if (config.value("i").toString() == core::qstr(self_.id))
    adoptMembership(out, static_cast<std::uint64_t>(config.value("s").toInteger()), config.value("v").toObject(), now);
  return out;
}

Registers::Reg& Registers::reg(std::string const& key) {
  return regs_[key];
}

bool Registers::isMember(std::string const& id) const {
  return std::any_of(membership_.begin(), membership_.end(), [&](Member const& m) { return m.id == id; });
}

bool Registers::majority(std::set<std::string> const& yes, std::vector<Member> const& of) const {
  std::size_t const n = static_cast<std::size_t>(
      std::count_if(of.begin(), of.end(), [&](Member const& m) { return yes.count(m.id) > 0; }));
  return !of.empty() && n >= of.size() / 2 + 1;
}

bool Registers::owns(std::string const& key) const {
  std::map<std::string, Reg>::const_iterator const it = regs_.find(key);
  return it != regs_.end() && it->second.role == Role::owner;
}

std::size_t Registers::ownedCount() const {
  return static_cast<std::size_t>(
      std::count_if(regs_.begin(), regs_.end(),
                    [](std::map<std::string, Reg>::value_type const& r) { return r.second.role == Role::owner; }));
}

std::string Registers::ownerLink(std::string const& key, Tick now) const {
  std::map<std::string, Reg>::const_iterator const it = regs_.find(key);
  if (it == regs_.end()) return "";
  if (it->second.role == Role::owner) return self_.link;
  if (it->second.owner.empty() || it->second.owner == self_.id || now - it->second.ownerHeard > tuning_.ownerSilence)
    return "";
  for (Member const& m : membership_)
    if (m.id == it->second.owner) return m.link;
  return "";
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

void Registers::send(Commands& out, Tick now, std::string const& to, transport::Message message) {
  if (to != self_.link) {
    out.sends.push_back(transport::Send{to, std::move(message)});
    return;
  }
  Commands inner = arrived(now, self_.link, message);
  std::move(inner.sends.begin(), inner.sends.end(), std::back_inserter(out.sends));
  std::move(inner.persists.begin(), inner.persists.end(), std::back_inserter(out.persists));
  std::move(inner.commits.begin(), inner.commits.end(), std::back_inserter(out.commits));
  std::move(inner.decided.begin(), inner.decided.end(), std::back_inserter(out.decided));
  std::move(inner.reroute.begin(), inner.reroute.end(), std::back_inserter(out.reroute));
  std::move(inner.logEvents.begin(), inner.logEvents.end(), std::back_inserter(out.logEvents));
}

void Registers::persist(Commands& out, Tick now, std::string const& key, Reg& r) {
  r.ticket = nextTicket_++;
  QJsonObject const o{{"p", ballotJson(r.promised)},
                      {"a", ballotJson(r.acceptedBallot)},
                      {"s", static_cast<qint64>(r.revision)},
                      {"v", r.value},
                      {"i", core::qstr(self_.id)}};
  out.persists.push_back(Persist{r.ticket, slotPrefix + key, core::jsonText(o)});
  deferred_[r.ticket];
  writing_[r.ticket] = now;
}

void Registers::persistMeta(Commands& out, std::uint64_t ticket, bool voting, std::uint64_t caughtUp) {
  QJsonArray founders;
  for (std::string const& f : founders_) founders.append(core::qstr(f));
  out.persists.push_back(Persist{ticket, metaRecord,
                                 core::jsonText(QJsonObject{{"id", core::qstr(self_.id)},
                                                            {"voting", voting},
                                                            {"settled", static_cast<qint64>(caughtUp)},
                                                            {"founders", founders}})});
  writing_[ticket] = lastClock_;
}

void Registers::name(Commands& out, std::string id) {
  self_.id = std::move(id);
  nameTicket_ = nextTicket_++;
  persistMeta(out, nameTicket_, false, 0);
}

void Registers::leave(Commands& out, Tick now) {
  out.logEvents.push_back(core::LogEvent{"struck-off", {{"member", self_.id}}});
  for (std::map<std::string, Reg>::value_type& r : regs_) {
    stepDown(out, now, r.first, r.second, "struck off");
    for (Pending const& p : r.second.queue)
      out.decided.push_back(Decided{
          p.call.token, r.first, 0, 503, {{"error", "not accepted"}, {"reason", "this member was struck off"}}});
  }
  regs_.clear();
  unsure_.clear();
  deferred_.clear();
  copies_.clear();
  founders_.clear();
  leaving_ = false;
  voting_ = false;
  empty_ = true;
  catchUpTicket_ = 0;
  caughtUp_ = 0;
  name(out, freshId_ + "." + std::to_string(++freshIds_));
}

void Registers::firstVote(Commands& out, Tick now) {
  Reg& r = reg(membershipKey);
  if (r.revision == 0) {
    r.acceptedBallot = Ballot{1, membership_.front().id};
    r.promised = std::max(r.promised, r.acceptedBallot);
    r.revision = 1;
    r.value = membershipJson(membership_);
    r.highest = std::max<std::uint64_t>(r.highest, 1);
    r.ownerHeard = now;
    r.unowned = true;
    accepted(now, membershipKey, r);
    persist(out, now, membershipKey, r);
  }
  persistCaughtUp(out);
}

void Registers::persistCaughtUp(Commands& out) {
  catchUpTicket_ = nextTicket_++;
  catchUpRevision_ = membershipRevision_;
  persistMeta(out, catchUpTicket_, true, membershipRevision_);
}

void Registers::accepted(Tick now, std::string const& key, Reg const& r) {
  std::map<std::string, Committed>::const_iterator const it = committed_.find(key);
  if (r.revision > (it == committed_.end() ? 0 : it->second.revision))
    unsure_.emplace(key, now);
  else
    unsure_.erase(key);
}

void Registers::watchDisk(Commands& out, Tick now) {
  bool const stalled = !writing_.empty() && now - writing_.begin()->second > tuning_.stallAfter;
  if (stalled == stalled_) return;
  stalled_ = stalled;
  out.logEvents.push_back(core::LogEvent{"disk-stalled", {{"stalled", stalled ? "yes" : "no"}}});
  if (stalled)
    for (std::map<std::string, Reg>::value_type& r : regs_) stepDown(out, now, r.first, r.second, "disk stalled");
}

void Registers::sendWhenSynced(Commands& out, Tick now, Reg const& r, std::string const& to,
                               transport::Message message) {
  std::map<std::uint64_t, std::vector<transport::Send>>::iterator const it = deferred_.find(r.ticket);
  if (it != deferred_.end() && !tuning_.switches.off(Mechanism::syncBeforeAnswer))
    it->second.push_back(transport::Send{to, std::move(message)});
  else
    send(out, now, to, std::move(message));
}

std::uint64_t Registers::oldestTaken(std::string const& key) {
  if (tuning_.switches.off(Mechanism::membershipGuard)) return 0;
  return key == membershipKey ? membershipRevision_ : std::max(membershipRevision_, reg(membershipKey).revision);
}

bool Registers::isOld(Ballot const& ballot, Reg const& r) const {
  return ballot < r.promised && !tuning_.switches.off(Mechanism::promiseCheck);
}

Commands Registers::written(Tick now, std::uint64_t ticket, bool ok) {
  Commands out;
  if (!ok && !diskFailed_) {
    diskFailed_ = true;
    out.logEvents.push_back(core::LogEvent{"disk-failed", {}});
    for (std::map<std::string, Reg>::value_type& r : regs_) stepDown(out, now, r.first, r.second, "disk failed");
  }
  if (diskFailed_) {
    deferred_.clear();
    writing_.clear();
    return out;
  }
  writing_.erase(ticket);
  if (ticket == nameTicket_) nameTicket_ = 0;
  if (ticket == catchUpTicket_) {
    catchUpTicket_ = 0;
    caughtUp_ = catchUpRevision_;
    heartbeatAt_ = 0;
    if (!voting_) out.logEvents.push_back(core::LogEvent{"member-votes", {{"member", self_.id}}});
    voting_ = true;
  }
  watchDisk(out, now);
  std::map<std::uint64_t, std::vector<transport::Send>>::iterator const it = deferred_.find(ticket);
  if (it == deferred_.end()) return out;
  std::vector<transport::Send> const sends = std::move(it->second);
  deferred_.erase(it);
  if (leaving_) return out;
  for (transport::Send const& s : sends) send(out, now, s.to, s.message);
  return out;
}

Commands Registers::arrived(Tick now, std::string const& from, transport::Message const& message) {
  Commands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); }) this->on(out, now, from, m);
      },
      message);
  return out;
}

void Registers::startElection(Commands& out, Tick now, std::string const& key, Reg& r) {
  if (!voting() || stalled_ || !isMember(self_.id)) return;
  r.role = Role::preparing;
  r.roleSince = now;
  r.sentAt = now;
  r.electionAt = 0;
  r.unowned = false;
  r.promises.clear();
  r.mine = Ballot{std::max({r.highest, r.promised.n, r.mine.n}) + 1, self_.id};
  r.highest = r.mine.n;
  out.logEvents.push_back(core::LogEvent{"campaign", {{"key", key}, {"epoch", std::to_string(r.mine.n)}}});
  std::vector<Member> const members = membership_;
  for (Member const& m : members)
    send(out, now, m.link, transport::Prepare{key, r.mine, self_.id, membershipRevision_});
}

void Registers::stepDown(Commands& out, Tick now, std::string const& key, Reg& r, char const* why) {
  if (r.role == Role::idle) return;
  out.logEvents.push_back(core::LogEvent{"step-down", {{"key", key}, {"why", why}}});
  r.role = Role::idle;
  r.ownerHeard = now;
  r.electionAt = 0;
  r.promises.clear();
  if (r.proposal && r.proposal->token != 0)
    out.decided.push_back(
        Decided{r.proposal->token,
                key,
                0,
                504,
                {{"error", "unknown"},
                 {"reason", "ownership was lost while the change was being written; ask by its change id"}}});
  r.proposal.reset();
  for (Read const& read : r.reads)
    out.decided.push_back(Decided{read.token, key, 0, 503, {{"error", "not confirmed"}}});
  r.reads.clear();
}

void Registers::on(Commands& out, Tick now, std::string const& from, transport::Prepare const& m) {
  if (!voting() || stalled_ || !isMember(m.member)) return;
  std::uint64_t const guard = oldestTaken(m.key);
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.ballot.n);
  r.unowned = false;
  if (guard > m.membership || isOld(m.ballot, r)) {
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

void Registers::on(Commands& out, Tick now, std::string const&, transport::Promise const& m) {
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.promised.n);
  if (r.role != Role::preparing || !(m.ballot == r.mine) || !isMember(m.member)) return;
  if (!m.ok) {
    if (r.mine < m.promised) stepDown(out, now, m.key, r, "a member has promised a higher epoch");
    return;
  }
  r.promises[m.member] = m;
  std::set<std::string> yes;
  for (std::map<std::string, transport::Promise>::value_type const& p : r.promises) yes.insert(p.first);
  if (yes.count(self_.id) > 0 && majority(yes, membership_)) becomeOwner(out, now, m.key, r);
}

void Registers::becomeOwner(Commands& out, Tick now, std::string const& key, Reg& r) {
  r.role = Role::owner;
  r.roleSince = now;
  r.owner = self_.id;
  out.logEvents.push_back(core::LogEvent{"owner", {{"key", key}, {"epoch", std::to_string(r.mine.n)}}});
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

void Registers::propose(Commands& out, Tick now, std::string const& key, Reg& r, Proposal proposal) {
  CORKWARD_INVARIANT(!r.proposal);
  proposal.since = now;
  r.proposal = std::move(proposal);
  sendProposal(out, now, key, r);
}

void Registers::sendProposal(Commands& out, Tick now, std::string const& key, Reg& r) {
  r.proposal->sentAt = now;
  transport::Accept const accept{key, r.mine, self_.id, membershipRevision_, r.proposal->revision, r.proposal->value};
  std::vector<Member> targets = membership_;
  if (key == membershipKey)
    for (Member const& m : membersOf(r.proposal->value))
      if (std::none_of(targets.begin(), targets.end(), [&](Member const& t) { return t.id == m.id; }))
        targets.push_back(m);
  std::set<std::string> const yes = r.proposal->yes;
  for (Member const& m : targets)
    if (yes.count(m.id) == 0) send(out, now, m.link, accept);
}

void Registers::on(Commands& out, Tick now, std::string const& from, transport::Accept const& m) {
  bool const joining = m.key == membershipKey && !voting_ && !diskFailed_ && !leaving_ && empty_ && nameTicket_ == 0;
  if (stalled_ || (!voting() && !joining)) return;
  if (!joining && !isMember(m.member)) return;
  std::uint64_t const guard = oldestTaken(m.key);
  Reg& r = reg(m.key);
  if (guard > m.membership || isOld(m.ballot, r)) {
    send(out, now, from, transport::Accepted{m.key, m.ballot, self_.id, m.revision, false, r.promised});
    return;
  }
  if (r.acceptedBallot == m.ballot && m.revision < r.revision) return;
  bool const same = r.acceptedBallot == m.ballot && r.revision == m.revision;
  if (same && r.value != m.value) {
    out.logEvents.push_back(
        core::LogEvent{"absurd-message", {{"key", m.key}, {"what", "two values under one epoch and revision"}}});
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
  r.highest = std::max(r.highest, m.ballot.n);
  r.unowned = false;
  r.ownerHeard = now;
  r.owner = m.member;
  sendWhenSynced(out, now, r, from, transport::Accepted{m.key, m.ballot, self_.id, m.revision, true, m.ballot});
}

void Registers::on(Commands& out, Tick now, std::string const&, transport::Accepted const& m) {
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.promised.n);
  if (r.role != Role::owner || !r.proposal || !(m.ballot == r.mine) || m.revision != r.proposal->revision) return;
  if (!m.ok) {
    if (r.mine < m.promised) stepDown(out, now, m.key, r, "a member has promised a higher epoch");
    return;
  }
  r.proposal->yes.insert(m.member);
  bool done = majority(r.proposal->yes, membership_);
  if (m.key == membershipKey && !tuning_.switches.off(Mechanism::bothMajorities))
    done = done && majority(r.proposal->yes, membersOf(r.proposal->value));
  if (done) chosen(out, now, m.key, r);
}

void Registers::chosen(Commands& out, Tick now, std::string const& key, Reg& r) {
  Proposal const p = std::move(*r.proposal);
  r.proposal.reset();
  transport::Commit const news{r.mine, transport::Item{key, p.revision, p.value}};
  std::vector<Member> targets = membership_;
  if (key == membershipKey)
    for (Member const& m : membersOf(p.value)) targets.push_back(m);
  for (Member const& m : targets)
    if (m.id != self_.id) out.sends.push_back(transport::Send{m.link, news});
  commit(out, now, news.item);
  if (p.token != 0) out.decided.push_back(Decided{p.token, key, p.revision, p.status, p.body});
  work(out, now, key, r);
}

void Registers::work(Commands& out, Tick now, std::string const& key, Reg& r) {
  while (r.role == Role::owner && !r.proposal && !r.queue.empty()) {
    Pending const next = std::move(r.queue.front());
    r.queue.pop_front();
    std::map<std::string, Committed>::const_iterator const it = committed_.find(key);
    std::uint64_t const revision = it == committed_.end() ? 0 : it->second.revision;
    QJsonObject const value = it == committed_.end() ? QJsonObject() : it->second.value;
    Verdict const v = validator_(key, revision, value, next.call);
    if (!v.change && tuning_.switches.off(Mechanism::readConfirmation)) {
      out.decided.push_back(Decided{next.call.token, key, 0, v.status, v.body});
      continue;
    }
    if (!v.change) {
      r.reads.push_back(Read{next.call.token, now, v.status, v.body, {self_.id}});
      heartbeatAt_ = 0;
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

void Registers::commit(Commands& out, Tick now, transport::Item const& item) {
  std::map<std::string, Committed>::const_iterator const it = committed_.find(item.key);
  if (it != committed_.end() && it->second.revision >= item.revision) {
    if (it->second.revision == item.revision && it->second.value != item.value)
      out.logEvents.push_back(
          core::LogEvent{"absurd-message", {{"key", item.key}, {"what", "two values under one revision"}}});
    return;
  }
  Committed const c{item.key, item.revision, item.value};
  known_.replace(item.key, it == committed_.end() ? 0 : it->second.revision, item.revision);
  had_.push_back(known_);
  if (had_.size() > digestsKept) had_.pop_front();
  committed_[item.key] = c;
  out.commits.push_back(c);
  if (reg(item.key).revision <= item.revision) unsure_.erase(item.key);
  if (item.key == membershipKey) adoptMembership(out, item.revision, item.value, now);
  for (std::map<std::string, Other>::value_type& o : others_) refreshContact(o.second);
}

void Registers::adoptMembership(Commands& out, std::uint64_t revision, QJsonObject const& value, Tick now) {
  std::vector<Member> const members = membersOf(value);
  if (revision <= membershipRevision_ || members.empty()) return;
  membershipRevision_ = revision;
  membership_ = members;
  copies_.clear();
  copyAskedAt_ = -1;
  std::erase_if(others_, [&](std::map<std::string, Other>::value_type const& o) { return !isMember(o.first); });
  for (Member const& m : membership_) {
    Other& o = others_[m.id];
    o.link = m.link;
    if (o.heard == 0) o.heard = now;
  }
  if (!isMember(self_.id)) {
    leaving_ = !empty_;
    return;
  }
  empty_ = false;
  std::uint64_t const ticket = nextTicket_++;
  out.persists.push_back(Persist{
      ticket, configRecord,
      core::jsonText(QJsonObject{{"s", static_cast<qint64>(revision)}, {"v", value}, {"i", core::qstr(self_.id)}})});
  writing_[ticket] = now;
  if (revision == 1 && !voting_ && catchUpTicket_ == 0) firstVote(out, now);
}

void Registers::on(Commands& out, Tick now, std::string const&, transport::Commit const& m) {
  Reg& r = reg(m.item.key);
  r.highest = std::max(r.highest, m.ballot.n);
  commit(out, now, m.item);
}

void Registers::on(Commands& out, Tick now, std::string const&, transport::Handover const& m) {
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.ballot.n);
  if (r.role == Role::idle) startElection(out, now, m.key, r);
}

Commands Registers::handOver(Tick now) {
  Commands out;
  std::vector<std::string> live;
  for (Member const& m : membership_) {
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    if (m.id != self_.id && it != others_.end() && it->second.voting && now - it->second.heard < tuning_.ownerSilence)
      live.push_back(m.link);
  }
  std::size_t turn = 0;
  for (std::map<std::string, Reg>::value_type& r : regs_) {
    if (r.second.role != Role::owner || r.second.proposal || live.empty()) continue;
    out.sends.push_back(transport::Send{live[turn++ % live.size()], transport::Handover{r.first, r.second.mine}});
    stepDown(out, now, r.first, r.second, "handed over");
  }
  return out;
}

transport::Heartbeat Registers::servingLease(Tick now) const {
  transport::Heartbeat b;
  b.tick = now;
  b.member = self_.id;
  b.empty = empty_;
  b.voting = voting() && !stalled_;
  b.membership = membershipRevision_;
  b.caughtUp = caughtUp_;
  b.membershipValue = membershipJson(membership_);
  return b;
}

void Registers::heartbeat(Commands& out, Tick now) {
  heartbeatAt_ = now + tuning_.heartbeatEvery;
  if (nameTicket_ != 0) return;
  transport::Heartbeat b = servingLease(now);
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

void Registers::on(Commands&, Tick, std::string const& from, transport::NoDisk const&) {
  if (std::find(founders_.begin(), founders_.end(), from) != founders_.end()) noDisk_.insert(from);
}

void Registers::on(Commands& out, Tick now, std::string const& from, transport::Heartbeat const& m) {
  if (m.membership > membershipRevision_ && !m.membershipValue.isEmpty())
    adoptMembership(out, m.membership, m.membershipValue, now);
  if (!isMember(m.member)) {
    newcomers_[m.member] = Newcomer{from, now, m.empty};
    if (!empty_ && !leaving_) out.sends.push_back(transport::Send{from, servingLease(now)});
    return;
  }
  Other& o = others_[m.member];
  if (!o.saidOwned) heartbeatAt_ = now;
  o.heard = now;
  o.link = from;
  o.voting = m.voting;
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
      if (tick >= read.since) read.seen.insert(member);
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

Commands Registers::call(Tick now, std::string const& key, transport::Call const& call) {
  Commands out;
  if (!voting() || stalled_) {
    out.decided.push_back(
        Decided{call.token, key, 0, 503, {{"error", "not accepted"}, {"reason", "this member cannot vote"}}});
    return out;
  }
  Reg& r = reg(key);
  r.queue.push_back(Pending{call, now});
  if (r.role == Role::owner)
    work(out, now, key, r);
  else if (r.role == Role::idle)
    startElection(out, now, key, r);
  return out;
}

Commands Registers::clockEvent(Tick now) {
  Commands out;
  if (now - lastClock_ > tuning_.ownerSilence) wokeAt_ = now;
  lastClock_ = now;
  std::erase_if(newcomers_, [&](std::map<std::string, Newcomer>::value_type const& n) {
    return now - n.second.heard > tuning_.ownerSilence;
  });
  if (leaving_) leave(out, now);
  watchDisk(out, now);
  watchQuorum(now);
  if (now >= heartbeatAt_) heartbeat(out, now);
  if (empty_) found(out, now);
  catchUp(out, now);
  std::vector<std::string> keys;
  for (std::map<std::string, Reg>::value_type const& r : regs_) keys.push_back(r.first);
  for (std::string const& key : keys) {
    Reg& r = reg(key);
    while (!r.queue.empty() && now - r.queue.front().since > tuning_.callLimit) {
      out.decided.push_back(Decided{r.queue.front().call.token,
                                    key,
                                    0,
                                    503,
                                    {{"error", "not accepted"}, {"reason", "no majority of the disks could be had"}}});
      r.queue.pop_front();
    }
    std::string const owner = ownerLink(key, now);
    if (!r.queue.empty() && r.role == Role::idle && !owner.empty()) {
      for (Pending const& p : r.queue) out.reroute.emplace_back(key, p.call);
      r.queue.clear();
    }
    if (r.proposal && r.proposal->token != 0 && now - r.proposal->since > tuning_.callLimit) {
      out.decided.push_back(
          Decided{r.proposal->token,
                  key,
                  0,
                  504,
                  {{"error", "unknown"}, {"reason", "a majority did not answer in time; ask by the change id"}}});
      r.proposal->token = 0;
    }
    if (r.role == Role::owner && r.proposal && now - r.proposal->sentAt >= tuning_.resendEvery)
      sendProposal(out, now, key, r);
    if (r.role == Role::preparing && now - r.roleSince > tuning_.ownerSilence) {
      stepDown(out, now, key, r, "no majority promised");
      r.electionAt = now + static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(tuning_.electionSpread)));
    } else if (r.role == Role::preparing && now - r.sentAt >= tuning_.resendEvery) {
      r.sentAt = now;
      std::vector<Member> const members = membership_;
      for (Member const& m : members)
        if (r.role == Role::preparing && r.promises.count(m.id) == 0)
          send(out, now, m.link, transport::Prepare{key, r.mine, self_.id, membershipRevision_});
    }
    if (r.role == Role::owner && !r.reads.empty()) readsAnswered(out, now, self_.id, now, {});
    bool const wanted = !r.queue.empty() || r.revision > 0 || committed_.count(key) > 0;
    bool const restarted = r.unowned && quorumAt_ >= 0 && now - quorumAt_ >= tuning_.restartPause;
    bool const next = r.unowned && quorumAt_ >= 0 && (restarted || allSaidOwned()) && firstFor(key, now);
    if (r.role == Role::idle && wanted && voting() && !stalled_ &&
        (restarted || next || now - r.ownerHeard > tuning_.ownerSilence)) {
      if (next)
        startElection(out, now, key, r);
      else if (r.electionAt == 0)
        r.electionAt = now + static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(
                                 restarted ? tuning_.restartSpread : tuning_.electionSpread)));
      else if (now >= r.electionAt)
        startElection(out, now, key, r);
    }
    std::uint64_t newest = r.revision;
    for (std::map<std::string, Other>::value_type const& o : others_) {
      transport::Revisions::const_iterator const it = o.second.echoRevisions.find(key);
      if (it != o.second.echoRevisions.end()) newest = std::max(newest, it->second);
    }
    std::map<std::string, Committed>::const_iterator const have = committed_.find(key);
    if (r.role != Role::owner && (have == committed_.end() ? 0 : have->second.revision) < newest &&
        now - r.fetchedAt >= tuning_.resendEvery) {
      r.fetchedAt = now;
      for (Member const& m : membership_)
        if (m.id != self_.id)
          out.sends.push_back(transport::Send{m.link, transport::Fetch{key, false, self_.id, membershipRevision_}});
    }
  }
  for (std::map<std::string, Other>::value_type const& o : others_)
    for (transport::Revisions::value_type const& s : o.second.echoRevisions) reg(s.first);
  considerMembership(out, now);
  return out;
}

bool Registers::allSaidOwned() const {
  return std::all_of(membership_.begin(), membership_.end(), [&](Member const& m) {
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    return m.id == self_.id || (it != others_.end() && it->second.saidOwned);
  });
}

bool Registers::firstFor(std::string const& key, Tick now) const {
  return std::none_of(membership_.begin(), membership_.end(), [&](Member const& m) {
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    return it != others_.end() && it->second.voting && now - it->second.heard < tuning_.ownerSilence &&
           core::stableHash(key + m.id) < core::stableHash(key + self_.id);
  });
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

void Registers::catchUp(Commands& out, Tick now) {
  if (caughtUp_ == membershipRevision_ || catchUpTicket_ != 0 || diskFailed_ || !isMember(self_.id)) return;
  std::size_t const wanted =
      tuning_.switches.off(Mechanism::copyBeforeVote) ? 0 : (membership_.size() + (voting_ ? 0 : 1)) / 2;
  if (copies_.size() >= wanted) {
    persistCaughtUp(out);
    return;
  }
  bool const again = copyAskedAt_ >= 0;
  if (again && now - copyAskedAt_ <= tuning_.resendEvery) return;
  copyAskedAt_ = now;
  transport::Fetch fetch{"", true, self_.id, membershipRevision_};
  for (std::map<std::string, Reg>::value_type const& r : regs_)
    fetch.have.push_back(transport::Slot{r.first, r.second.promised, r.second.acceptedBallot, r.second.revision, {}});
  for (Member const& m : membership_) {
    if (m.id == self_.id || copies_.count(m.id) > 0 || (!again && !others_[m.id].voting)) continue;
    out.sends.push_back(transport::Send{m.link, fetch});
    if (!again) return;
  }
}

void Registers::on(Commands& out, Tick now, std::string const& from, transport::Fetch const& m) {
  if (m.copy) {
    if (!voting() || !isMember(m.member) || m.membership != membershipRevision_) return;
    std::map<std::string, transport::Slot> have;
    for (transport::Slot const& s : m.have) have[s.key] = s;
    transport::Copy copy{self_.id, membershipRevision_, {}};
    Reg newest;
    for (std::map<std::string, Reg>::value_type const& r : regs_) {
      newest.ticket = std::max(newest.ticket, r.second.ticket);
      transport::Slot const& theirs = have[r.first];
      if (theirs.promised < r.second.promised || newer(r.second, theirs))
        copy.slots.push_back(
            transport::Slot{r.first, r.second.promised, r.second.acceptedBallot, r.second.revision, r.second.value});
    }
    sendWhenSynced(out, now, newest, from, copy);
    return;
  }
  std::map<std::string, Committed>::const_iterator const it = committed_.find(m.key);
  if (it != committed_.end())
    out.sends.push_back(transport::Send{
        from, transport::Commit{reg(m.key).promised, transport::Item{m.key, it->second.revision, it->second.value}}});
}

void Registers::on(Commands& out, Tick now, std::string const&, transport::Copy const& m) {
  if (m.membership != membershipRevision_ || caughtUp_ == membershipRevision_ || catchUpTicket_ != 0 || diskFailed_ ||
      !isMember(self_.id) || !isMember(m.member))
    return;
  copies_.insert(m.member);
  copyAskedAt_ = -1;
  for (transport::Slot const& s : m.slots) {
    Reg& r = reg(s.key);
    bool const taken = s.revision > 0 && newer(s, r);
    if (!taken && s.promised <= r.promised) continue;
    r.promised = std::max(r.promised, s.promised);
    r.highest = std::max(r.highest, s.promised.n);
    if (taken) {
      r.acceptedBallot = s.acceptedBallot;
      r.revision = s.revision;
      r.value = s.value;
      accepted(now, s.key, r);
    }
    if (r.role != Role::idle && r.mine < r.promised)
      stepDown(out, now, s.key, r, "a member has promised a higher epoch");
    if (!voting_) r.ownerHeard = now;
    persist(out, now, s.key, r);
  }
  catchUp(out, now);
}

void Registers::found(Commands& out, Tick now) {
  std::set<std::string> links(founders_.begin(), founders_.end());
  for (std::string const& link : noDisk_) links.erase(link);
  if (nameTicket_ != 0 || diskFailed_ || membershipRevision_ > 0 || links.count(self_.link) == 0) return;
  std::vector<Member> members;
  for (std::string const& link : links) {
    Member seen = link == self_.link ? self_ : Member{};
    for (std::map<std::string, Newcomer>::value_type const& n : newcomers_)
      if (n.second.link == link && n.second.empty && now - n.second.heard < 3 * tuning_.heartbeatEvery)
        seen = Member{n.first, link};
    if (seen.id.empty()) return;
    members.push_back(seen);
  }
  out.logEvents.push_back(core::LogEvent{"found-cohort", {{"members", std::to_string(members.size())}}});
  adoptMembership(out, 1, membershipJson(members), now);
  heartbeatAt_ = 0;
}

Tick Registers::darkFor(Member const& m, Tick now) const {
  std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
  return m.id == self_.id || it == others_.end() ? 0 : now - std::max(it->second.heard, wokeAt_);
}

void Registers::considerMembership(Commands& out, Tick now) {
  std::map<std::string, Reg>::iterator const it = regs_.find(membershipKey);
  if (it == regs_.end() || it->second.role != Role::owner || it->second.proposal || !it->second.queue.empty()) return;
  std::map<std::string, Committed>::const_iterator const have = committed_.find(membershipKey);
  if (have == committed_.end() || have->second.revision != membershipRevision_) return;
  std::set<std::string> ready;
  for (Member const& m : membership_) {
    Other const& o = others_[m.id];
    bool const always = tuning_.switches.off(Mechanism::catchUpFirst);
    if (m.id == self_.id ? caughtUp_ == membershipRevision_ || always
                         : o.voting && (o.caughtUp == membershipRevision_ || always))
      ready.insert(m.id);
    else if (darkFor(m, now) < tuning_.ownerSilence)
      return;
  }
  if (!majority(ready, membership_)) return;
  core::LogEvent logEvent;
  std::vector<Member> const next = nextMembership(ready, now, logEvent);
  if (next.empty()) return;
  out.logEvents.push_back(logEvent);
  Proposal p;
  p.revision = membershipRevision_ + 1;
  p.value = membershipJson(next);
  propose(out, now, membershipKey, it->second, std::move(p));
}

std::vector<Member> Registers::nextMembership(std::set<std::string> const& caughtUp, Tick now,
                                              core::LogEvent& logEvent) const {
  Member const* darkest = nullptr;
  for (Member const& m : membership_)
    if (darkFor(m, now) > tuning_.replaceDarkAfter && (darkest == nullptr || darkFor(*darkest, now) < darkFor(m, now)))
      darkest = &m;
  std::optional<Member> come;
  Member const* gone = nullptr;
  for (std::map<std::string, Newcomer>::value_type const& n : newcomers_) {
    if (!n.second.empty || isMember(n.first)) continue;
    std::vector<Member>::const_iterator const there =
        std::find_if(membership_.begin(), membership_.end(), [&](Member const& m) { return m.link == n.second.link; });
    if (there != membership_.end() && darkFor(*there, now) <= tuning_.ownerSilence) continue;
    if (there == membership_.end() && come) continue;
    come = Member{n.first, n.second.link};
    gone = there == membership_.end() ? darkest : &*there;
    if (there != membership_.end()) break;
  }
  std::vector<Member> next;
  if (come && gone != nullptr) {
    logEvent = core::LogEvent{"replace-member", {{"old", gone->id}, {"new", come->id}, {"link", come->link}}};
    for (Member const& m : membership_) next.push_back(m.id == gone->id ? *come : m);
  } else if (come && membership_.size() < tuning_.mostMembers) {
    logEvent = core::LogEvent{"add-member", {{"new", come->id}, {"link", come->link}}};
    next = membership_;
    next.push_back(*come);
  } else if (darkest != nullptr && membership_.size() > 3) {
    logEvent = core::LogEvent{"strike-member", {{"old", darkest->id}, {"link", darkest->link}}};
    for (Member const& m : membership_) {
      if (m.id == darkest->id) continue;
      if (caughtUp.count(m.id) == 0 || darkFor(m, now) > tuning_.ownerSilence) return {};
      next.push_back(m);
    }
  }
  return next;
}

}  // namespace corkward::consensus
