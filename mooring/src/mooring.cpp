#include <corkward/mooring/mooring.h>

#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>

namespace corkward::mooring {

namespace {

constexpr char const* metaRecord = "meta";
constexpr char const* configRecord = "config";
constexpr char const* slotPrefix = "slot:";
constexpr std::size_t digestsKept = 64;
constexpr int beatsInFull = 3;

QJsonObject epochJson(Epoch const& e) {
  return QJsonObject{{"n", static_cast<qint64>(e.n)}, {"m", core::qstr(e.member)}};
}

Epoch epochOf(QJsonValue const& v) {
  QJsonObject const o = v.toObject();
  return Epoch{static_cast<std::uint64_t>(o.value("n").toInteger()), core::str(o.value("m").toString())};
}

template <class A, class B>
bool newer(A const& a, B const& b) {
  return b.acceptedEpoch < a.acceptedEpoch || (a.acceptedEpoch == b.acceptedEpoch && b.stamp < a.stamp);
}

QJsonObject recordOf(std::map<std::string, std::string> const& slots, char const* name) {
  std::map<std::string, std::string>::const_iterator const it = slots.find(name);
  return it == slots.end() ? QJsonObject() : core::parseJson(it->second).toObject();
}

QJsonObject cohortJson(std::vector<Member> const& members) {
  QJsonArray list;
  for (Member const& m : members)
    list.append(QJsonObject{{"id", core::qstr(m.id)}, {"link", core::qstr(m.link)}});
  return QJsonObject{{"members", list}};
}

}  // namespace

std::vector<Member> membersOf(QJsonObject const& cohortValue) {
  std::vector<Member> out;
  for (QJsonValue const v : cohortValue.value("members").toArray()) {
    QJsonObject const o = v.toObject();
    out.push_back(Member{core::str(o.value("id").toString()), core::str(o.value("link").toString())});
  }
  return out;
}

Mooring::Mooring(Member self, std::vector<std::string> founders, Judge judge, std::uint64_t seed, Tuning tuning)
    : self_(std::move(self)), freshId_(self_.id), founders_(std::move(founders)), judge_(std::move(judge)), tuning_(tuning), rng_(seed) {}

Commands Mooring::restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now) {
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
  settled_ = static_cast<std::uint64_t>(meta.value("settled").toInteger());
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
    r.promised = epochOf(o.value("p"));
    r.acceptedEpoch = epochOf(o.value("a"));
    r.stamp = static_cast<std::uint64_t>(o.value("s").toInteger());
    r.value = o.value("v").toObject();
    r.highest = r.promised.n;
    r.ownerHeard = now;
    r.unowned = true;
    accepted(now, key, r);
  }
  QJsonObject const config = recordOf(slots, configRecord);
  if (config.value("i").toString() == core::qstr(self_.id))
    adoptCohort(out, static_cast<std::uint64_t>(config.value("s").toInteger()), config.value("v").toObject(), now);
  return out;
}

Mooring::Reg& Mooring::reg(std::string const& key) { return regs_[key]; }

bool Mooring::isMember(std::string const& id) const {
  return std::any_of(cohort_.begin(), cohort_.end(), [&](Member const& m) { return m.id == id; });
}

bool Mooring::majority(std::set<std::string> const& yes, std::vector<Member> const& of) const {
  std::size_t const n = static_cast<std::size_t>(
      std::count_if(of.begin(), of.end(), [&](Member const& m) { return yes.count(m.id) > 0; }));
  return !of.empty() && n >= of.size() / 2 + 1;
}

bool Mooring::owns(std::string const& key) const {
  std::map<std::string, Reg>::const_iterator const it = regs_.find(key);
  return it != regs_.end() && it->second.role == Role::owner;
}

std::size_t Mooring::ownedCount() const {
  return static_cast<std::size_t>(std::count_if(regs_.begin(), regs_.end(), [](std::map<std::string, Reg>::value_type const& r) {
    return r.second.role == Role::owner;
  }));
}

std::string Mooring::ownerLink(std::string const& key, Tick now) const {
  std::map<std::string, Reg>::const_iterator const it = regs_.find(key);
  if (it == regs_.end()) return "";
  if (it->second.role == Role::owner) return self_.link;
  if (it->second.owner.empty() || it->second.owner == self_.id || now - it->second.ownerHeard > tuning_.ownerSilence) return "";
  for (Member const& m : cohort_)
    if (m.id == it->second.owner) return m.link;
  return "";
}

Tick Mooring::majorityAge(Tick now) const {
  if (!voting() || stalled_ || cohort_.empty() || !isMember(self_.id)) return -1;
  std::vector<Tick> ticks{now};
  for (std::map<std::string, Tick>::value_type const& u : unsure_) ticks.front() = std::min(ticks.front(), u.second);
  for (Member const& m : cohort_) {
    if (m.id == self_.id) continue;
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    ticks.push_back(it == others_.end() ? -1 : it->second.goodTick);
  }
  std::sort(ticks.rbegin(), ticks.rend());
  Tick const t = ticks[cohort_.size() / 2];
  return t < 0 ? -1 : now - t;
}

void Mooring::send(Commands& out, Tick now, std::string const& to, signal::Message message) {
  if (to != self_.link) {
    out.sends.push_back(signal::Send{to, std::move(message)});
    return;
  }
  Commands inner = arrived(now, self_.link, message);
  std::move(inner.sends.begin(), inner.sends.end(), std::back_inserter(out.sends));
  std::move(inner.persists.begin(), inner.persists.end(), std::back_inserter(out.persists));
  std::move(inner.commits.begin(), inner.commits.end(), std::back_inserter(out.commits));
  std::move(inner.decided.begin(), inner.decided.end(), std::back_inserter(out.decided));
  std::move(inner.reroute.begin(), inner.reroute.end(), std::back_inserter(out.reroute));
  std::move(inner.notes.begin(), inner.notes.end(), std::back_inserter(out.notes));
}

void Mooring::persist(Commands& out, Tick now, std::string const& key, Reg& r) {
  r.ticket = nextTicket_++;
  QJsonObject const o{{"p", epochJson(r.promised)},
                      {"a", epochJson(r.acceptedEpoch)},
                      {"s", static_cast<qint64>(r.stamp)},
                      {"v", r.value},
                      {"i", core::qstr(self_.id)}};
  out.persists.push_back(Persist{r.ticket, slotPrefix + key, core::jsonText(o)});
  deferred_[r.ticket];
  writing_[r.ticket] = now;
}

void Mooring::persistMeta(Commands& out, std::uint64_t ticket, bool voting, std::uint64_t settled) {
  QJsonArray founders;
  for (std::string const& f : founders_) founders.append(core::qstr(f));
  out.persists.push_back(Persist{ticket, metaRecord,
                                 core::jsonText(QJsonObject{{"id", core::qstr(self_.id)},
                                                            {"voting", voting},
                                                            {"settled", static_cast<qint64>(settled)},
                                                            {"founders", founders}})});
  writing_[ticket] = lastClock_;
}

void Mooring::name(Commands& out, std::string id) {
  self_.id = std::move(id);
  nameTicket_ = nextTicket_++;
  persistMeta(out, nameTicket_, false, 0);
}

void Mooring::leave(Commands& out, Tick now) {
  out.notes.push_back(core::Note{"struck-off", {{"member", self_.id}}});
  for (std::map<std::string, Reg>::value_type& r : regs_) {
    stepDown(out, now, r.first, r.second, "struck off");
    for (Pending const& p : r.second.queue)
      out.decided.push_back(Decided{p.call.token, r.first, 0, 503, {{"error", "not accepted"}, {"reason", "this member was struck off"}}});
  }
  regs_.clear();
  unsure_.clear();
  deferred_.clear();
  copies_.clear();
  founders_.clear();
  leaving_ = false;
  voting_ = false;
  empty_ = true;
  settleTicket_ = 0;
  settled_ = 0;
  name(out, freshId_ + "." + std::to_string(++freshIds_));
}

void Mooring::firstVote(Commands& out, Tick now) {
  Reg& r = reg(cohortKey);
  if (r.stamp == 0) {
    r.acceptedEpoch = Epoch{1, cohort_.front().id};
    r.promised = std::max(r.promised, r.acceptedEpoch);
    r.stamp = 1;
    r.value = cohortJson(cohort_);
    r.highest = std::max<std::uint64_t>(r.highest, 1);
    r.ownerHeard = now;
    r.unowned = true;
    accepted(now, cohortKey, r);
    persist(out, now, cohortKey, r);
  }
  persistSettled(out);
}

void Mooring::persistSettled(Commands& out) {
  settleTicket_ = nextTicket_++;
  settleStamp_ = cohortStamp_;
  persistMeta(out, settleTicket_, true, cohortStamp_);
}

void Mooring::accepted(Tick now, std::string const& key, Reg const& r) {
  std::map<std::string, Committed>::const_iterator const it = committed_.find(key);
  if (r.stamp > (it == committed_.end() ? 0 : it->second.stamp))
    unsure_.emplace(key, now);
  else
    unsure_.erase(key);
}

void Mooring::watchDisk(Commands& out, Tick now) {
  bool const stalled = !writing_.empty() && now - writing_.begin()->second > tuning_.stallAfter;
  if (stalled == stalled_) return;
  stalled_ = stalled;
  out.notes.push_back(core::Note{"disk-stalled", {{"stalled", stalled ? "yes" : "no"}}});
  if (stalled)
    for (std::map<std::string, Reg>::value_type& r : regs_) stepDown(out, now, r.first, r.second, "disk stalled");
}

void Mooring::sendWhenSynced(Commands& out, Tick now, Reg const& r, std::string const& to, signal::Message message) {
  std::map<std::uint64_t, std::vector<signal::Send>>::iterator const it = deferred_.find(r.ticket);
  if (it != deferred_.end())
    it->second.push_back(signal::Send{to, std::move(message)});
  else
    send(out, now, to, std::move(message));
}

Commands Mooring::written(Tick now, std::uint64_t ticket, bool ok) {
  Commands out;
  if (!ok && !diskFailed_) {
    diskFailed_ = true;
    out.notes.push_back(core::Note{"disk-failed", {}});
    for (std::map<std::string, Reg>::value_type& r : regs_) stepDown(out, now, r.first, r.second, "disk failed");
  }
  if (diskFailed_) {
    deferred_.clear();
    writing_.clear();
    return out;
  }
  writing_.erase(ticket);
  if (ticket == nameTicket_) nameTicket_ = 0;
  if (ticket == settleTicket_) {
    settleTicket_ = 0;
    settled_ = settleStamp_;
    beatAt_ = 0;
    if (!voting_) out.notes.push_back(core::Note{"member-votes", {{"member", self_.id}}});
    voting_ = true;
  }
  watchDisk(out, now);
  std::map<std::uint64_t, std::vector<signal::Send>>::iterator const it = deferred_.find(ticket);
  if (it == deferred_.end()) return out;
  std::vector<signal::Send> const sends = std::move(it->second);
  deferred_.erase(it);
  if (leaving_) return out;
  for (signal::Send const& s : sends) send(out, now, s.to, s.message);
  return out;
}

Commands Mooring::arrived(Tick now, std::string const& from, signal::Message const& message) {
  Commands out;
  std::visit(
      [&](auto const& m) {
        if constexpr (requires { this->on(out, now, from, m); }) this->on(out, now, from, m);
      },
      message);
  return out;
}

void Mooring::campaign(Commands& out, Tick now, std::string const& key, Reg& r) {
  if (!voting() || stalled_ || !isMember(self_.id)) return;
  r.role = Role::preparing;
  r.roleSince = now;
  r.sentAt = now;
  r.campaignAt = 0;
  r.unowned = false;
  r.promises.clear();
  r.mine = Epoch{std::max({r.highest, r.promised.n, r.mine.n}) + 1, self_.id};
  r.highest = r.mine.n;
  out.notes.push_back(core::Note{"campaign", {{"key", key}, {"epoch", std::to_string(r.mine.n)}}});
  std::vector<Member> const members = cohort_;
  for (Member const& m : members)
    send(out, now, m.link, signal::Prepare{key, r.mine, self_.id, cohortStamp_});
}

void Mooring::stepDown(Commands& out, Tick now, std::string const& key, Reg& r, char const* why) {
  if (r.role == Role::idle) return;
  out.notes.push_back(core::Note{"step-down", {{"key", key}, {"why", why}}});
  r.role = Role::idle;
  r.ownerHeard = now;
  r.campaignAt = 0;
  r.promises.clear();
  if (r.proposal && r.proposal->token != 0)
    out.decided.push_back(Decided{r.proposal->token, key, 0, 504,
                                  {{"error", "unknown"}, {"reason", "ownership was lost while the change was being written; ask by its change id"}}});
  r.proposal.reset();
  for (Read const& read : r.reads)
    out.decided.push_back(Decided{read.token, key, 0, 503, {{"error", "not confirmed"}}});
  r.reads.clear();
}

void Mooring::on(Commands& out, Tick now, std::string const& from, signal::Prepare const& m) {
  if (!voting() || stalled_ || !isMember(m.member)) return;
  std::uint64_t const guard = m.key == cohortKey ? cohortStamp_ : std::max(cohortStamp_, reg(cohortKey).stamp);
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.epoch.n);
  r.unowned = false;
  if (guard > m.cohort || m.epoch < r.promised) {
    send(out, now, from, signal::Promise{m.key, m.epoch, self_.id, false, r.promised, {}, 0, {}});
    return;
  }
  if (r.promised < m.epoch) {
    if (r.role != Role::idle && m.member != self_.id) stepDown(out, now, m.key, r, "a higher epoch was promised");
    r.promised = m.epoch;
    r.ownerHeard = now;
    persist(out, now, m.key, r);
  }
  sendWhenSynced(out, now, r, from,
                 signal::Promise{m.key, m.epoch, self_.id, true, r.promised, r.acceptedEpoch, r.stamp, r.value});
}

void Mooring::on(Commands& out, Tick now, std::string const&, signal::Promise const& m) {
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.promised.n);
  if (r.role != Role::preparing || !(m.epoch == r.mine) || !isMember(m.member)) return;
  if (!m.ok) {
    if (r.mine < m.promised) stepDown(out, now, m.key, r, "a member has promised a higher epoch");
    return;
  }
  r.promises[m.member] = m;
  std::set<std::string> yes;
  for (std::map<std::string, signal::Promise>::value_type const& p : r.promises) yes.insert(p.first);
  if (yes.count(self_.id) > 0 && majority(yes, cohort_)) becomeOwner(out, now, m.key, r);
}

void Mooring::becomeOwner(Commands& out, Tick now, std::string const& key, Reg& r) {
  r.role = Role::owner;
  r.roleSince = now;
  r.owner = self_.id;
  out.notes.push_back(core::Note{"owner", {{"key", key}, {"epoch", std::to_string(r.mine.n)}}});
  signal::Promise const* best = nullptr;
  for (std::map<std::string, signal::Promise>::value_type const& p : r.promises)
    if (p.second.stamp > 0 && (best == nullptr || newer(p.second, *best))) best = &p.second;
  if (best != nullptr) {
    Proposal p;
    p.stamp = best->stamp;
    p.value = best->value;
    propose(out, now, key, r, std::move(p));
  } else {
    work(out, now, key, r);
  }
}

void Mooring::propose(Commands& out, Tick now, std::string const& key, Reg& r, Proposal proposal) {
  CORKWARD_INVARIANT(!r.proposal);
  proposal.since = now;
  r.proposal = std::move(proposal);
  sendProposal(out, now, key, r);
}

void Mooring::sendProposal(Commands& out, Tick now, std::string const& key, Reg& r) {
  r.proposal->sentAt = now;
  signal::Accept const accept{key, r.mine, self_.id, cohortStamp_, r.proposal->stamp, r.proposal->value};
  std::vector<Member> targets = cohort_;
  if (key == cohortKey)
    for (Member const& m : membersOf(r.proposal->value))
      if (std::none_of(targets.begin(), targets.end(), [&](Member const& t) { return t.id == m.id; })) targets.push_back(m);
  std::set<std::string> const yes = r.proposal->yes;
  for (Member const& m : targets)
    if (yes.count(m.id) == 0) send(out, now, m.link, accept);
}

void Mooring::on(Commands& out, Tick now, std::string const& from, signal::Accept const& m) {
  bool const joining = m.key == cohortKey && !voting_ && !diskFailed_ && !leaving_ && empty_ && nameTicket_ == 0;
  if (stalled_ || (!voting() && !joining)) return;
  if (!joining && !isMember(m.member)) return;
  std::uint64_t const guard = m.key == cohortKey ? cohortStamp_ : std::max(cohortStamp_, reg(cohortKey).stamp);
  Reg& r = reg(m.key);
  if (guard > m.cohort || m.epoch < r.promised) {
    send(out, now, from, signal::Accepted{m.key, m.epoch, self_.id, m.stamp, false, r.promised});
    return;
  }
  if (r.acceptedEpoch == m.epoch && m.stamp < r.stamp) return;
  bool const same = r.acceptedEpoch == m.epoch && r.stamp == m.stamp;
  if (same && r.value != m.value) {
    out.notes.push_back(core::Note{"absurd-message", {{"key", m.key}, {"what", "two values under one epoch and stamp"}}});
    return;
  }
  if (!same) {
    if (r.role != Role::idle && m.member != self_.id) stepDown(out, now, m.key, r, "another owner's change arrived");
    r.promised = m.epoch;
    r.acceptedEpoch = m.epoch;
    r.stamp = m.stamp;
    r.value = m.value;
    accepted(now, m.key, r);
    persist(out, now, m.key, r);
  }
  r.highest = std::max(r.highest, m.epoch.n);
  r.unowned = false;
  r.ownerHeard = now;
  r.owner = m.member;
  sendWhenSynced(out, now, r, from, signal::Accepted{m.key, m.epoch, self_.id, m.stamp, true, m.epoch});
}

void Mooring::on(Commands& out, Tick now, std::string const&, signal::Accepted const& m) {
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.promised.n);
  if (r.role != Role::owner || !r.proposal || !(m.epoch == r.mine) || m.stamp != r.proposal->stamp) return;
  if (!m.ok) {
    if (r.mine < m.promised) stepDown(out, now, m.key, r, "a member has promised a higher epoch");
    return;
  }
  r.proposal->yes.insert(m.member);
  bool done = majority(r.proposal->yes, cohort_);
  if (m.key == cohortKey) done = done && majority(r.proposal->yes, membersOf(r.proposal->value));
  if (done) chosen(out, now, m.key, r);
}

void Mooring::chosen(Commands& out, Tick now, std::string const& key, Reg& r) {
  Proposal const p = std::move(*r.proposal);
  r.proposal.reset();
  signal::Commit const news{r.mine, signal::Item{key, p.stamp, p.value}};
  std::vector<Member> targets = cohort_;
  if (key == cohortKey)
    for (Member const& m : membersOf(p.value)) targets.push_back(m);
  for (Member const& m : targets)
    if (m.id != self_.id) out.sends.push_back(signal::Send{m.link, news});
  commit(out, now, news.item);
  if (p.token != 0) out.decided.push_back(Decided{p.token, key, p.stamp, p.status, p.body});
  work(out, now, key, r);
}

void Mooring::work(Commands& out, Tick now, std::string const& key, Reg& r) {
  while (r.role == Role::owner && !r.proposal && !r.queue.empty()) {
    Pending const next = std::move(r.queue.front());
    r.queue.pop_front();
    std::map<std::string, Committed>::const_iterator const it = committed_.find(key);
    std::uint64_t const stamp = it == committed_.end() ? 0 : it->second.stamp;
    QJsonObject const value = it == committed_.end() ? QJsonObject() : it->second.value;
    Verdict const v = judge_(key, stamp, value, next.call);
    if (!v.change) {
      r.reads.push_back(Read{next.call.token, now, v.status, v.body, {self_.id}});
      beatAt_ = 0;
      continue;
    }
    Proposal p;
    p.token = next.call.token;
    p.stamp = stamp + 1;
    p.value = v.value;
    p.status = v.status;
    p.body = v.body;
    propose(out, now, key, r, std::move(p));
  }
}

void Mooring::commit(Commands& out, Tick now, signal::Item const& item) {
  std::map<std::string, Committed>::const_iterator const it = committed_.find(item.key);
  if (it != committed_.end() && it->second.stamp >= item.stamp) {
    if (it->second.stamp == item.stamp && it->second.value != item.value)
      out.notes.push_back(core::Note{"absurd-message", {{"key", item.key}, {"what", "two values under one stamp"}}});
    return;
  }
  Committed const c{item.key, item.stamp, item.value};
  known_.replace(item.key, it == committed_.end() ? 0 : it->second.stamp, item.stamp);
  had_.push_back(known_);
  if (had_.size() > digestsKept) had_.pop_front();
  committed_[item.key] = c;
  out.commits.push_back(c);
  if (reg(item.key).stamp <= item.stamp) unsure_.erase(item.key);
  if (item.key == cohortKey) adoptCohort(out, item.stamp, item.value, now);
  for (std::map<std::string, Other>::value_type& o : others_) refreshContact(o.second);
}

void Mooring::adoptCohort(Commands& out, std::uint64_t stamp, QJsonObject const& value, Tick now) {
  std::vector<Member> const members = membersOf(value);
  if (stamp <= cohortStamp_ || members.empty()) return;
  cohortStamp_ = stamp;
  cohort_ = members;
  copies_.clear();
  copyAskedAt_ = -1;
  std::erase_if(others_, [&](std::map<std::string, Other>::value_type const& o) { return !isMember(o.first); });
  for (Member const& m : cohort_) {
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
  out.persists.push_back(Persist{ticket, configRecord,
                                 core::jsonText(QJsonObject{{"s", static_cast<qint64>(stamp)}, {"v", value}, {"i", core::qstr(self_.id)}})});
  writing_[ticket] = now;
  if (stamp == 1 && !voting_ && settleTicket_ == 0) firstVote(out, now);
}

void Mooring::on(Commands& out, Tick now, std::string const&, signal::Commit const& m) {
  Reg& r = reg(m.item.key);
  r.highest = std::max(r.highest, m.epoch.n);
  commit(out, now, m.item);
}

void Mooring::on(Commands& out, Tick now, std::string const&, signal::Handover const& m) {
  Reg& r = reg(m.key);
  r.highest = std::max(r.highest, m.epoch.n);
  if (r.role == Role::idle) campaign(out, now, m.key, r);
}

Commands Mooring::handOver(Tick now) {
  Commands out;
  std::vector<std::string> live;
  for (Member const& m : cohort_) {
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    if (m.id != self_.id && it != others_.end() && it->second.voting && now - it->second.heard < tuning_.ownerSilence)
      live.push_back(m.link);
  }
  std::size_t turn = 0;
  for (std::map<std::string, Reg>::value_type& r : regs_) {
    if (r.second.role != Role::owner || r.second.proposal || live.empty()) continue;
    out.sends.push_back(signal::Send{live[turn++ % live.size()], signal::Handover{r.first, r.second.mine}});
    stepDown(out, now, r.first, r.second, "handed over");
  }
  return out;
}

signal::Beat Mooring::standing(Tick now) const {
  signal::Beat b;
  b.tick = now;
  b.member = self_.id;
  b.empty = empty_;
  b.voting = voting() && !stalled_;
  b.cohort = cohortStamp_;
  b.settled = settled_;
  b.cohortValue = cohortJson(cohort_);
  return b;
}

void Mooring::beat(Commands& out, Tick now) {
  beatAt_ = now + tuning_.beatEvery;
  if (nameTicket_ != 0) return;
  signal::Beat b = standing(now);
  for (std::map<std::string, Reg>::value_type const& r : regs_)
    if (r.second.role == Role::owner) b.owned[r.first] = r.second.mine.n;
  b.known = known_;
  b.owns = signal::digestOf(b.owned);
  if (!(b.owns == owns_)) nameOwned_ = beatsInFull;
  owns_ = b.owns;
  if (nameOwned_ == 0) b.owned.clear();
  nameOwned_ = std::max(0, nameOwned_ - 1);
  std::set<std::string> to;
  for (Member const& m : cohort_) to.insert(m.link);
  if (empty_) to.insert(founders_.begin(), founders_.end());
  if (seeking()) to.insert(neighbours_.begin(), neighbours_.end());
  to.erase(self_.link);
  for (std::string const& link : to) {
    std::function<bool(Member const&)> const has = [&](Member const& m) { return m.link == link && others_[m.id].cohort == cohortStamp_; };
    signal::Beat one = b;
    if (std::any_of(cohort_.begin(), cohort_.end(), has)) one.cohortValue = QJsonObject();
    out.sends.push_back(signal::Send{link, std::move(one)});
  }
}

void Mooring::on(Commands&, Tick, std::string const& from, signal::NoDisk const&) {
  if (std::find(founders_.begin(), founders_.end(), from) != founders_.end()) noDisk_.insert(from);
}

void Mooring::on(Commands& out, Tick now, std::string const& from, signal::Beat const& m) {
  if (m.cohort > cohortStamp_ && !m.cohortValue.isEmpty()) adoptCohort(out, m.cohort, m.cohortValue, now);
  if (!isMember(m.member)) {
    newcomers_[m.member] = Newcomer{from, now, m.empty};
    if (!empty_ && !leaving_) out.sends.push_back(signal::Send{from, standing(now)});
    return;
  }
  Other& o = others_[m.member];
  if (!o.saidOwned) beatAt_ = now;
  o.heard = now;
  o.link = from;
  o.voting = m.voting;
  o.cohort = m.cohort;
  if (signal::digestOf(m.owned) == m.owns) o.owned = m.owned;
  o.saidOwned = signal::digestOf(o.owned) == m.owns;
  o.settled = m.settled;
  signal::BeatEcho echo;
  echo.tick = m.tick;
  echo.member = self_.id;
  echo.voting = voting() && !stalled_;
  for (std::map<std::string, Reg>::value_type const& r : regs_)
    if (r.second.stamp > 0) echo.accepted[r.first] = r.second.stamp;
  echo.digest = signal::digestOf(echo.accepted);
  if (echo.digest == m.known) echo.accepted.clear();
  echo.wantOwned = !(signal::digestOf(o.owned) == m.owns);
  if (echo.wantOwned) o.owned.clear();
  for (signal::Stamps::value_type const& owned : o.owned) {
    Reg& r = reg(owned.first);
    r.highest = std::max(r.highest, owned.second);
    Epoch const claimed{owned.second, m.member};
    if (claimed < r.promised) {
      echo.higher[owned.first] = r.promised.n;
    } else {
      r.owner = m.member;
      r.ownerHeard = now;
      r.campaignAt = 0;
      r.unowned = false;
    }
  }
  out.sends.push_back(signal::Send{from, echo});
}

void Mooring::on(Commands& out, Tick now, std::string const&, signal::BeatEcho const& m) {
  if (!isMember(m.member)) return;
  Other& o = others_[m.member];
  o.heard = now;
  if (m.wantOwned) nameOwned_ = std::max(nameOwned_, 1);
  if (!m.voting) return;
  bool const known = std::find(had_.begin(), had_.end(), m.digest) != had_.end();
  if (m.tick > o.echoTick && (known || signal::digestOf(m.accepted) == m.digest)) {
    o.echoTick = m.tick;
    o.echoStamps = known ? signal::Stamps() : m.accepted;
    refreshContact(o);
  }
  for (signal::Stamps::value_type const& h : m.higher) {
    Reg& r = reg(h.first);
    r.highest = std::max(r.highest, h.second);
    if (r.role == Role::owner) stepDown(out, now, h.first, r, "a member has promised a higher epoch");
  }
  if (!m.wantOwned) readsAnswered(out, now, m.member, m.tick, m.higher);
}

void Mooring::readsAnswered(Commands& out, Tick now, std::string const& member, Tick tick, signal::Stamps const& higher) {
  for (std::map<std::string, Reg>::value_type& r : regs_) {
    if (r.second.role != Role::owner || higher.count(r.first) > 0) continue;
    std::vector<Read> waiting;
    for (Read& read : r.second.reads) {
      if (tick >= read.since) read.seen.insert(member);
      if (majority(read.seen, cohort_))
        out.decided.push_back(Decided{read.token, r.first, 0, read.status, read.body});
      else if (now - read.since > tuning_.callLimit)
        out.decided.push_back(Decided{read.token, r.first, 0, 503, {{"error", "not confirmed"}}});
      else
        waiting.push_back(std::move(read));
    }
    r.second.reads = std::move(waiting);
  }
}

void Mooring::refreshContact(Other& o) {
  for (signal::Stamps::value_type const& s : o.echoStamps) {
    std::map<std::string, Committed>::const_iterator const it = committed_.find(s.first);
    if (it == committed_.end() || it->second.stamp < s.second) return;
  }
  o.goodTick = o.echoTick;
}

Commands Mooring::call(Tick now, std::string const& key, signal::Call const& call) {
  Commands out;
  if (!voting() || stalled_) {
    out.decided.push_back(Decided{call.token, key, 0, 503, {{"error", "not accepted"}, {"reason", "this member cannot vote"}}});
    return out;
  }
  Reg& r = reg(key);
  r.queue.push_back(Pending{call, now});
  if (r.role == Role::owner)
    work(out, now, key, r);
  else if (r.role == Role::idle)
    campaign(out, now, key, r);
  return out;
}

Commands Mooring::clockEvent(Tick now) {
  Commands out;
  if (now - lastClock_ > tuning_.ownerSilence) wokeAt_ = now;
  lastClock_ = now;
  std::erase_if(newcomers_, [&](std::map<std::string, Newcomer>::value_type const& n) { return now - n.second.heard > tuning_.ownerSilence; });
  if (leaving_) leave(out, now);
  watchDisk(out, now);
  watchQuorum(now);
  if (now >= beatAt_) beat(out, now);
  if (empty_) found(out, now);
  settle(out, now);
  std::vector<std::string> keys;
  for (std::map<std::string, Reg>::value_type const& r : regs_) keys.push_back(r.first);
  for (std::string const& key : keys) {
    Reg& r = reg(key);
    while (!r.queue.empty() && now - r.queue.front().since > tuning_.callLimit) {
      out.decided.push_back(Decided{r.queue.front().call.token, key, 0, 503,
                                    {{"error", "not accepted"}, {"reason", "no majority of the disks could be had"}}});
      r.queue.pop_front();
    }
    std::string const owner = ownerLink(key, now);
    if (!r.queue.empty() && r.role == Role::idle && !owner.empty()) {
      for (Pending const& p : r.queue) out.reroute.emplace_back(key, p.call);
      r.queue.clear();
    }
    if (r.proposal && r.proposal->token != 0 && now - r.proposal->since > tuning_.callLimit) {
      out.decided.push_back(Decided{r.proposal->token, key, 0, 504,
                                    {{"error", "unknown"}, {"reason", "a majority did not answer in time; ask by the change id"}}});
      r.proposal->token = 0;
    }
    if (r.role == Role::owner && r.proposal && now - r.proposal->sentAt >= tuning_.resendEvery) sendProposal(out, now, key, r);
    if (r.role == Role::preparing && now - r.roleSince > tuning_.ownerSilence) {
      stepDown(out, now, key, r, "no majority promised");
      r.campaignAt = now + static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(tuning_.campaignSpread)));
    } else if (r.role == Role::preparing && now - r.sentAt >= tuning_.resendEvery) {
      r.sentAt = now;
      std::vector<Member> const members = cohort_;
      for (Member const& m : members)
        if (r.role == Role::preparing && r.promises.count(m.id) == 0)
          send(out, now, m.link, signal::Prepare{key, r.mine, self_.id, cohortStamp_});
    }
    if (r.role == Role::owner && !r.reads.empty()) readsAnswered(out, now, self_.id, now, {});
    bool const wanted = !r.queue.empty() || r.stamp > 0 || committed_.count(key) > 0;
    bool const restarted = r.unowned && quorumAt_ >= 0 && now - quorumAt_ >= tuning_.restartPause;
    bool const next = r.unowned && quorumAt_ >= 0 && (restarted || allSaidOwned()) && firstFor(key, now);
    if (r.role == Role::idle && wanted && voting() && !stalled_ && (restarted || next || now - r.ownerHeard > tuning_.ownerSilence)) {
      if (next)
        campaign(out, now, key, r);
      else if (r.campaignAt == 0)
        r.campaignAt = now + static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(restarted ? tuning_.restartSpread : tuning_.campaignSpread)));
      else if (now >= r.campaignAt)
        campaign(out, now, key, r);
    }
    std::uint64_t newest = r.stamp;
    for (std::map<std::string, Other>::value_type const& o : others_) {
      signal::Stamps::const_iterator const it = o.second.echoStamps.find(key);
      if (it != o.second.echoStamps.end()) newest = std::max(newest, it->second);
    }
    std::map<std::string, Committed>::const_iterator const have = committed_.find(key);
    if (r.role != Role::owner && (have == committed_.end() ? 0 : have->second.stamp) < newest &&
        now - r.fetchedAt >= tuning_.resendEvery) {
      r.fetchedAt = now;
      for (Member const& m : cohort_)
        if (m.id != self_.id) out.sends.push_back(signal::Send{m.link, signal::Fetch{key, false, self_.id, cohortStamp_}});
    }
  }
  for (std::map<std::string, Other>::value_type const& o : others_)
    for (signal::Stamps::value_type const& s : o.second.echoStamps) reg(s.first);
  considerCohort(out, now);
  return out;
}

bool Mooring::allSaidOwned() const {
  return std::all_of(cohort_.begin(), cohort_.end(), [&](Member const& m) {
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    return m.id == self_.id || (it != others_.end() && it->second.saidOwned);
  });
}

bool Mooring::firstFor(std::string const& key, Tick now) const {
  return std::none_of(cohort_.begin(), cohort_.end(), [&](Member const& m) {
    std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
    return it != others_.end() && it->second.voting && now - it->second.heard < tuning_.ownerSilence &&
           core::stableHash(key + m.id) < core::stableHash(key + self_.id);
  });
}

void Mooring::watchQuorum(Tick now) {
  std::set<std::string> heard;
  if (voting()) heard.insert(self_.id);
  for (std::map<std::string, Other>::value_type const& o : others_)
    if (o.second.voting && now - o.second.heard < tuning_.ownerSilence) heard.insert(o.first);
  if (!majority(heard, cohort_))
    quorumAt_ = -1;
  else if (quorumAt_ < 0)
    quorumAt_ = now;
}

void Mooring::settle(Commands& out, Tick now) {
  if (settled_ == cohortStamp_ || settleTicket_ != 0 || diskFailed_ || !isMember(self_.id)) return;
  if (copies_.size() >= (cohort_.size() + (voting_ ? 0 : 1)) / 2) {
    persistSettled(out);
    return;
  }
  bool const again = copyAskedAt_ >= 0;
  if (again && now - copyAskedAt_ <= tuning_.resendEvery) return;
  copyAskedAt_ = now;
  signal::Fetch fetch{"", true, self_.id, cohortStamp_};
  for (std::map<std::string, Reg>::value_type const& r : regs_)
    fetch.have.push_back(signal::Slot{r.first, r.second.promised, r.second.acceptedEpoch, r.second.stamp, {}});
  for (Member const& m : cohort_) {
    if (m.id == self_.id || copies_.count(m.id) > 0 || (!again && !others_[m.id].voting)) continue;
    out.sends.push_back(signal::Send{m.link, fetch});
    if (!again) return;
  }
}

void Mooring::on(Commands& out, Tick now, std::string const& from, signal::Fetch const& m) {
  if (m.copy) {
    if (!voting() || !isMember(m.member) || m.cohort != cohortStamp_) return;
    std::map<std::string, signal::Slot> have;
    for (signal::Slot const& s : m.have) have[s.key] = s;
    signal::Copy copy{self_.id, cohortStamp_, {}};
    Reg newest;
    for (std::map<std::string, Reg>::value_type const& r : regs_) {
      newest.ticket = std::max(newest.ticket, r.second.ticket);
      signal::Slot const& theirs = have[r.first];
      if (theirs.promised < r.second.promised || newer(r.second, theirs))
        copy.slots.push_back(signal::Slot{r.first, r.second.promised, r.second.acceptedEpoch, r.second.stamp, r.second.value});
    }
    sendWhenSynced(out, now, newest, from, copy);
    return;
  }
  std::map<std::string, Committed>::const_iterator const it = committed_.find(m.key);
  if (it != committed_.end())
    out.sends.push_back(signal::Send{from, signal::Commit{reg(m.key).promised, signal::Item{m.key, it->second.stamp, it->second.value}}});
}

void Mooring::on(Commands& out, Tick now, std::string const&, signal::Copy const& m) {
  if (m.cohort != cohortStamp_ || settled_ == cohortStamp_ || settleTicket_ != 0 || diskFailed_ || !isMember(self_.id) || !isMember(m.member))
    return;
  copies_.insert(m.member);
  copyAskedAt_ = -1;
  for (signal::Slot const& s : m.slots) {
    Reg& r = reg(s.key);
    bool const taken = s.stamp > 0 && newer(s, r);
    if (!taken && s.promised <= r.promised) continue;
    r.promised = std::max(r.promised, s.promised);
    r.highest = std::max(r.highest, s.promised.n);
    if (taken) {
      r.acceptedEpoch = s.acceptedEpoch;
      r.stamp = s.stamp;
      r.value = s.value;
      accepted(now, s.key, r);
    }
    if (r.role != Role::idle && r.mine < r.promised) stepDown(out, now, s.key, r, "a member has promised a higher epoch");
    if (!voting_) r.ownerHeard = now;
    persist(out, now, s.key, r);
  }
  settle(out, now);
}

void Mooring::found(Commands& out, Tick now) {
  std::set<std::string> links(founders_.begin(), founders_.end());
  for (std::string const& link : noDisk_) links.erase(link);
  if (nameTicket_ != 0 || diskFailed_ || cohortStamp_ > 0 || links.count(self_.link) == 0) return;
  std::vector<Member> members;
  for (std::string const& link : links) {
    Member seen = link == self_.link ? self_ : Member{};
    for (std::map<std::string, Newcomer>::value_type const& n : newcomers_)
      if (n.second.link == link && n.second.empty && now - n.second.heard < 3 * tuning_.beatEvery) seen = Member{n.first, link};
    if (seen.id.empty()) return;
    members.push_back(seen);
  }
  out.notes.push_back(core::Note{"found-cohort", {{"members", std::to_string(members.size())}}});
  adoptCohort(out, 1, cohortJson(members), now);
  beatAt_ = 0;
}

Tick Mooring::darkFor(Member const& m, Tick now) const {
  std::map<std::string, Other>::const_iterator const it = others_.find(m.id);
  return m.id == self_.id || it == others_.end() ? 0 : now - std::max(it->second.heard, wokeAt_);
}

void Mooring::considerCohort(Commands& out, Tick now) {
  std::map<std::string, Reg>::iterator const it = regs_.find(cohortKey);
  if (it == regs_.end() || it->second.role != Role::owner || it->second.proposal || !it->second.queue.empty()) return;
  std::map<std::string, Committed>::const_iterator const have = committed_.find(cohortKey);
  if (have == committed_.end() || have->second.stamp != cohortStamp_) return;
  std::set<std::string> ready;
  for (Member const& m : cohort_) {
    Other const& o = others_[m.id];
    if (m.id == self_.id ? settled_ == cohortStamp_ : o.voting && o.settled == cohortStamp_)
      ready.insert(m.id);
    else if (darkFor(m, now) < tuning_.ownerSilence)
      return;
  }
  if (!majority(ready, cohort_)) return;
  core::Note note;
  std::vector<Member> const next = nextCohort(ready, now, note);
  if (next.empty()) return;
  out.notes.push_back(note);
  Proposal p;
  p.stamp = cohortStamp_ + 1;
  p.value = cohortJson(next);
  propose(out, now, cohortKey, it->second, std::move(p));
}

std::vector<Member> Mooring::nextCohort(std::set<std::string> const& settled, Tick now, core::Note& note) const {
  Member const* darkest = nullptr;
  for (Member const& m : cohort_)
    if (darkFor(m, now) > tuning_.replaceDarkAfter && (darkest == nullptr || darkFor(*darkest, now) < darkFor(m, now))) darkest = &m;
  std::optional<Member> come;
  Member const* gone = nullptr;
  for (std::map<std::string, Newcomer>::value_type const& n : newcomers_) {
    if (!n.second.empty || isMember(n.first)) continue;
    std::vector<Member>::const_iterator const there =
        std::find_if(cohort_.begin(), cohort_.end(), [&](Member const& m) { return m.link == n.second.link; });
    if (there != cohort_.end() && darkFor(*there, now) <= tuning_.ownerSilence) continue;
    if (there == cohort_.end() && come) continue;
    come = Member{n.first, n.second.link};
    gone = there == cohort_.end() ? darkest : &*there;
    if (there != cohort_.end()) break;
  }
  std::vector<Member> next;
  if (come && gone != nullptr) {
    note = core::Note{"replace-member", {{"old", gone->id}, {"new", come->id}, {"link", come->link}}};
    for (Member const& m : cohort_) next.push_back(m.id == gone->id ? *come : m);
  } else if (come && cohort_.size() < tuning_.mostMembers) {
    note = core::Note{"add-member", {{"new", come->id}, {"link", come->link}}};
    next = cohort_;
    next.push_back(*come);
  } else if (darkest != nullptr && cohort_.size() > 3) {
    note = core::Note{"strike-member", {{"old", darkest->id}, {"link", darkest->link}}};
    for (Member const& m : cohort_) {
      if (m.id == darkest->id) continue;
      if (settled.count(m.id) == 0 || darkFor(m, now) > tuning_.ownerSilence) return {};
      next.push_back(m);
    }
  }
  return next;
}

}  // namespace corkward::mooring
