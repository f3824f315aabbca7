#include "model_cluster.h"

#include <QJsonArray>
#include <algorithm>
#include <bit>

#include <corkward/consensus/events.h>
#include <corkward/core/json.h>

namespace corkward::explore {

namespace {

/// Longest chain of messages without a timer event; a longer one counts as an endless loop.
constexpr int maxHops = 200;
constexpr Milliseconds timerStep = 50;

std::uint64_t mix(std::uint64_t h, std::uint64_t v) {
  h ^= v + 0x9E3779B97F4A7C15ULL + (h << 6) + (h >> 2);
  h *= 0xFF51AFD7ED558CCDULL;
  return h ^ (h >> 33);
}

std::set<std::string> marksOf(QJsonObject const& value) {
  std::set<std::string> out;
  for (QJsonValue const v : value.value("marks").toArray()) out.insert(core::toStdString(v.toString()));
  return out;
}

bool hasAll(std::set<std::string> const& have, std::set<std::string> const& want) {
  return std::includes(have.begin(), have.end(), want.begin(), want.end());
}

consensus::Validator validatorOf(bool compareBase) {
  return [compareBase](std::string const&, std::uint64_t revision, QJsonObject const& value,
                       transport::OperatorCall const& call) {
    if (call.method == "GET") return consensus::Verdict{false, {}, 200, value};
    if (compareBase && call.ifMatch != std::to_string(revision)) return consensus::Verdict{false, {}, 412, {}};
    QJsonArray marks = value.value("marks").toArray();
    marks.append(core::toQString(call.body));
    return consensus::Verdict{true, QJsonObject{{"marks", marks}}, 200, {}};
  };
}

/// Updates the machine's fields that are read from its disk.
void readDisk(Machine& m) {
  m.diskId.clear();
  m.diskVotes = false;
  m.accepted = AcceptedState();
  m.diskDigest = 1;
  for (auto const& [key, record] : m.disk)
    m.diskDigest = mix(mix(m.diskDigest, core::stableHash(key)), core::stableHash(record));
  auto const meta = m.disk.find("meta");
  if (meta == m.disk.end()) return;
  QJsonObject const o = core::parseJson(meta->second).toObject();
  m.diskId = core::toStdString(o.value("id").toString());
  m.diskVotes = o.value("voting").toBool();
  m.diskCaughtUp = static_cast<std::uint64_t>(o.value("settled").toInteger());
  auto const slot = m.disk.find(std::string("slot:") + operatorKey);
  if (slot == m.disk.end()) return;
  QJsonObject const v = core::parseJson(slot->second).toObject();
  if (core::toStdString(v.value("i").toString()) != m.diskId) return;
  QJsonObject const b = v.value("a").toObject();
  m.accepted.ballot = transport::Ballot{static_cast<std::uint64_t>(b.value("n").toInteger()),
                                        core::toStdString(b.value("m").toString())};
  m.accepted.revision = static_cast<std::uint64_t>(v.value("s").toInteger());
  m.accepted.marks = marksOf(v.value("v").toObject());
}

std::string keyOf(transport::Message const& message) {
  return std::visit(
      [](auto const& m) -> std::string {
        if constexpr (requires { m.key; })
          return m.key;
        else if constexpr (requires { m.entry; })
          return m.entry.key;
        else
          return "";
      },
      message);
}

/// Returns the message without its time, so that messages that differ only in time get the same hash.
transport::Message withoutTime(transport::Message const& message, Milliseconds& time) {
  transport::Message out = message;
  std::visit(
      [&](auto& m) {
        if constexpr (requires { m.sentAt; }) {
          time = m.sentAt;
          m.sentAt = 0;
        } else if constexpr (requires { m.requestSentAt; }) {
          time = m.requestSentAt;
          m.requestSentAt = 0;
        }
      },
      out);
  return out;
}

/// Returns whether the founding reached the state that every search starts from: one confirmed change, known members,
/// no message in flight.
bool isFoundingComplete(State const& s) {
  return s.broken.empty() && s.history->confirmed.size() == 1 && !s.history->members.empty() && s.net.empty() &&
         s.machines[0]->member->owns(operatorKey);
}

}  // namespace

std::string linkOf(int machine) {
  return std::string(1, static_cast<char>('a' + machine));
}

std::string nameOf(Packet const& p) {
  std::string const key = keyOf(*p.message);
  return std::string(transport::kindName(*p.message)) + (key.empty() ? "" : "(" + key + ")") + " " + linkOf(p.from) +
         " -> " + linkOf(p.to);
}

Machine& ModelCluster::edit(State& s, int machine) {
  std::shared_ptr<Machine> const clone = std::make_shared<Machine>(*s.machines[static_cast<std::size_t>(machine)]);
  clone->digest = 0;
  s.machines[static_cast<std::size_t>(machine)] = clone;
  return *clone;
}

History& ModelCluster::editHistory(State& s) {
  std::shared_ptr<History> const clone = std::make_shared<History>(*s.history);
  clone->digest = 0;
  s.history = clone;
  return *clone;
}

int ModelCluster::indexOf(State const& s, std::string const& link) const {
  for (std::size_t i = 0; i < s.machines.size(); ++i)
    if (s.machines[i]->link == link) return static_cast<int>(i);
  return -1;
}

void ModelCluster::start(State& s, int machine, std::vector<std::string> founders) const {
  Machine& m = edit(s, machine);
  bool const getsNewId = rules_.freshIds || m.boots == 0;
  if (getsNewId) ++m.boots;
  std::string const id = m.link + "#" + std::to_string(m.boots);
  m.pending.clear();
  m.member.emplace(consensus::Member{id, m.link}, std::move(founders), validatorOf(rules_.compareBase), 1,
                   rules_.tuning);
  applyCommands(s, machine, m.member->restore(m.disk, false, m.now), Sync::atOnce);
}

void ModelCluster::boot(State& s, int machine) const {
  start(s, machine, {});
}

void ModelCluster::kill(State& s, int machine) const {
  Machine& m = edit(s, machine);
  m.member.reset();
  m.pending.clear();
}

void ModelCluster::wipe(State& s, int machine) const {
  Machine& m = edit(s, machine);
  m.member.reset();
  m.pending.clear();
  m.disk.clear();
  readDisk(m);
}

void ModelCluster::deliver(State& s, Packet const& p, Sync sync) const {
  if (!s.machines[static_cast<std::size_t>(p.to)]->member) return;
  Machine& m = edit(s, p.to);
  applyCommands(s, p.to, m.member->onMessage(m.now, linkOf(p.from), *p.message), sync);
}

void ModelCluster::clock(State& s, int machine, Milliseconds by) const {
  Machine& m = edit(s, machine);
  m.now += by;
  if (!m.member) return;
  if (m.member->discovering()) {
    std::vector<std::string> links;
    for (std::shared_ptr<Machine const> const& o : s.machines) links.push_back(o->link);
    m.member->setDiscoveryPeers(links);
  }
  applyCommands(s, machine, m.member->onTimer(m.now), Sync::atOnce);
}

void ModelCluster::triggerElection(State& s, int machine) const {
  Machine& m = edit(s, machine);
  applyCommands(s, machine, m.member->onMessage(m.now, m.link, transport::Handover{operatorKey, {}}), Sync::atOnce);
}

void ModelCluster::change(State& s, int machine) const {
  Machine& m = edit(s, machine);
  auto const it = m.member->committed().find(operatorKey);
  std::uint64_t const base = it == m.member->committed().end() ? 0 : it->second.revision;
  History& history = editHistory(s);
  transport::OperatorCall call;
  call.token = ++history.tokens;
  call.method = "PUT";
  call.ifMatch = std::to_string(base);
  call.body = "m" + std::to_string(call.token);
  history.baseOf[call.token] = base;
  applyCommands(s, machine, m.member->submit(m.now, operatorKey, call), Sync::atOnce);
}

void ModelCluster::read(State& s, int machine) const {
  Machine& m = edit(s, machine);
  History& history = editHistory(s);
  transport::OperatorCall call;
  call.token = ++history.tokens;
  call.method = "GET";
  std::set<std::string>& want = history.pendingReads[call.token];
  for (auto const& [mark, revision] : history.confirmed) want.insert(mark);
  applyCommands(s, machine, m.member->submit(m.now, operatorKey, call), Sync::atOnce);
}

void ModelCluster::sync(State& s, int machine, std::size_t records, bool notify) const {
  Machine& m = edit(s, machine);
  std::vector<std::uint64_t> tickets;
  for (std::size_t i = 0; i < records && !m.pending.empty(); ++i) {
    m.disk[m.pending.front().key] = m.pending.front().payload;
    tickets.push_back(m.pending.front().ticket);
    m.pending.pop_front();
  }
  readDisk(m);
  if (!notify) return;
  consensus::RegisterCommands all;
  for (std::uint64_t const ticket : tickets) {
    consensus::RegisterCommands const c = m.member->onPersisted(m.now, ticket, true);
    all.sends.insert(all.sends.end(), c.sends.begin(), c.sends.end());
    all.persists.insert(all.persists.end(), c.persists.begin(), c.persists.end());
    all.commits.insert(all.commits.end(), c.commits.begin(), c.commits.end());
    all.completedCalls.insert(all.completedCalls.end(), c.completedCalls.begin(), c.completedCalls.end());
    all.logEvents.insert(all.logEvents.end(), c.logEvents.begin(), c.logEvents.end());
  }
  applyCommands(s, machine, all, Sync::atOnce);
}

void ModelCluster::applyCommands(State& s, int machine, consensus::RegisterCommands const& c, Sync sync) const {
  for (core::LogEvent const& e : c.logEvents)
    if (e.event == consensus::events::messageRejected) s.broken = "a member received two values for one revision";
  for (transport::Send const& send : c.sends) sendMessage(s, machine, send);
  for (consensus::CommittedValue const& k : c.commits) onCommit(s, k);
  for (consensus::CallCompleted const& d : c.completedCalls) onCallCompleted(s, d);
  if (c.persists.empty()) return;
  Machine& m = edit(s, machine);
  m.pending.insert(m.pending.end(), c.persists.begin(), c.persists.end());
  if (sync == Sync::atOnce) this->sync(s, machine, m.pending.size(), true);
}

void ModelCluster::sendMessage(State& s, int from, transport::Send const& send) const {
  int const to = indexOf(s, send.to);
  if (to < 0 || (rules_.dropMembership && keyOf(send.message) == consensus::membershipKey)) return;
  Packet p{from, to, nullptr, 0, -1, 0};
  transport::Message const plain = withoutTime(send.message, p.time);
  if (std::holds_alternative<transport::Heartbeat>(plain)) p.clock = from;
  if (std::holds_alternative<transport::HeartbeatReply>(plain)) p.clock = to;
  p.hash = mix(core::stableHash(transport::pack(transport::Envelope{linkOf(from), plain, 0})),
               static_cast<std::uint64_t>(to));
  p.message = std::make_shared<transport::Message const>(send.message);
  for (Packet const& q : s.net)
    if (q.hash == p.hash && q.time == p.time) return;
  s.net.push_back(std::move(p));
}

void ModelCluster::onCommit(State& s, consensus::CommittedValue const& c) const {
  std::string const text = core::jsonText(c.value);
  std::pair<std::string, std::uint64_t> const at(c.key, c.revision);
  auto const it = s.history->chosen.find(at);
  if (it != s.history->chosen.end()) {
    if (it->second != text) s.broken = "two values chosen for " + c.key + " revision " + std::to_string(c.revision);
    return;
  }
  History& history = editHistory(s);
  history.chosen[at] = text;
  if (c.key == operatorKey) history.marks[c.revision] = marksOf(c.value);
  if (c.key == consensus::membershipKey && c.revision > history.newestMembership) {
    history.newestMembership = c.revision;
    history.members.clear();
    for (consensus::Member const& m : consensus::membersFromJson(c.value)) history.members.push_back(m.id);
  }
  checkMarks(s);
}

void ModelCluster::onCallCompleted(State& s, consensus::CallCompleted const& d) const {
  auto const pendingRead = s.history->pendingReads.find(d.token);
  if (pendingRead != s.history->pendingReads.end()) {
    if (d.status == 200 && !hasAll(marksOf(d.body), pendingRead->second))
      s.broken = "a read misses a change confirmed before the read began";
    editHistory(s).pendingReads.erase(d.token);
    return;
  }
  if (d.status != 200) return;
  History& history = editHistory(s);
  history.confirmed["m" + std::to_string(d.token)] = d.revision;
  if (history.baseOf.count(d.token) > 0 && !history.bases.insert(history.baseOf.at(d.token)).second)
    s.broken = "two changes confirmed on one base";
  checkMarks(s);
}

void ModelCluster::checkMarks(State& s) const {
  for (auto const& [revision, marks] : s.history->marks)
    for (auto const& [mark, confirmedAt] : s.history->confirmed)
      if (confirmedAt <= revision && marks.count(mark) == 0)
        s.broken = "confirmed " + mark + " is not in revision " + std::to_string(revision);
}

void ModelCluster::checkRebuild(State& s) const {
  if (!s.broken.empty()) return;
  std::vector<AcceptedState const*> disks;
  for (std::shared_ptr<Machine const> const& m : s.machines)
    if (m->diskVotes && std::count(s.history->members.begin(), s.history->members.end(), m->diskId) > 0)
      disks.push_back(&m->accepted);
  std::set<std::string> want;
  for (auto const& [mark, revision] : s.history->confirmed) want.insert(mark);
  std::size_t const majority = s.history->members.size() / 2 + 1;
  for (unsigned set = 0; set < 1U << disks.size(); ++set) {
    if (static_cast<std::size_t>(std::popcount(set)) != majority) continue;
    AcceptedState const* best = nullptr;
    for (std::size_t i = 0; i < disks.size(); ++i)
      if ((set >> i & 1U) != 0 && (best == nullptr || best->ballot < disks[i]->ballot ||
                                   (best->ballot == disks[i]->ballot && best->revision < disks[i]->revision)))
        best = disks[i];
    if (!hasAll(best->marks, want)) s.broken = "a majority of the members' disks lacks a confirmed change";
  }
}

int ModelCluster::openLosses(State const& s) const {
  int losses = 0;
  for (std::string const& id : s.history->members)
    losses += std::none_of(s.machines.begin(), s.machines.end(), [&](std::shared_ptr<Machine const> const& m) {
      return m->diskId == id && m->diskVotes && m->diskCaughtUp == s.history->newestMembership;
    });
  return losses;
}

void ModelCluster::deliverMessages(State& s, int hops) const {
  for (int hop = 0; !s.net.empty() && (hops == 0 || hop < hops); ++hop) {
    CORKWARD_INVARIANT(hop < maxHops);
    std::vector<Packet> const now = std::move(s.net);
    s.net.clear();
    for (Packet const& p : now)
      if (((s.isolated >> p.from | s.isolated >> p.to) & 1U) == 0) deliver(s, p, Sync::atOnce);
  }
}

void ModelCluster::runFor(State& s, Milliseconds duration) const {
  for (Milliseconds t = 0; t < duration; t += timerStep) {
    for (int i = 0; i < static_cast<int>(s.machines.size()); ++i) clock(s, i, timerStep);
    deliverMessages(s, 0);
  }
}

State ModelCluster::foundedState(int members, int spare) const {
  State s;
  s.history = std::make_shared<History const>();
  std::vector<std::string> founders;
  for (int i = 0; i < members; ++i) founders.push_back(linkOf(i));
  for (int i = 0; i < members + spare; ++i) {
    std::shared_ptr<Machine> const m = std::make_shared<Machine>();
    m->link = linkOf(i);
    m->now = 1000;
    s.machines.push_back(m);
  }
  for (int i = 0; i < members; ++i) start(s, i, founders);
  Milliseconds const round = rules_.tuning.ownerTimeout + rules_.tuning.electionSpread;
  runFor(s, 4 * round);
  triggerElection(s, 0);
  deliverMessages(s, 0);
  change(s, 0);
  deliverMessages(s, 0);
  runFor(s, 2 * round);
  if (s.history->members.empty()) {
    History& history = editHistory(s);
    history.newestMembership = 1;
    for (consensus::Member const& m : s.machines[0]->member->membership()) history.members.push_back(m.id);
  }
  CORKWARD_INVARIANT(isFoundingComplete(s));
  return s;
}

std::uint64_t ModelCluster::digest(Machine const& m) const {
  if (m.digest != 0) return m.digest;
  std::uint64_t d = mix(m.member ? m.member->fingerprint(m.now, rules_.cap) : 1, m.diskDigest);
  for (consensus::PersistCommand const& p : m.pending) d = mix(d, core::stableHash(p.payload));
  m.digest = mix(d, static_cast<std::uint64_t>(m.boots)) | 1U;
  return m.digest;
}

std::uint64_t ModelCluster::digest(History const& history) {
  if (history.digest != 0) return history.digest;
  std::uint64_t h = 1;
  for (auto const& [slot, value] : history.chosen) h = mix(mix(h, slot.second), core::stableHash(slot.first + value));
  for (auto const& [mark, revision] : history.confirmed) h = mix(h, core::stableHash(mark));
  for (auto const& [token, marks] : history.pendingReads) h = mix(mix(h, token), marks.size());
  for (auto const& [token, base] : history.baseOf) h = mix(mix(h, token), base);
  for (std::uint64_t const b : history.bases) h = mix(h, b);
  history.digest = h | 1U;
  return history.digest;
}

std::uint64_t ModelCluster::digest(State const& s) const {
  std::uint64_t h = mix(static_cast<std::uint64_t>(s.isolated), digest(*s.history));
  for (std::shared_ptr<Machine const> const& m : s.machines) h = mix(h, digest(*m));
  std::vector<std::uint64_t> net;
  for (Packet const& p : s.net) {
    Milliseconds const age = p.clock < 0 ? 0 : s.machines[static_cast<std::size_t>(p.clock)]->now - p.time;
    net.push_back(mix(p.hash, static_cast<std::uint64_t>(std::min(age, rules_.cap))));
  }
  std::sort(net.begin(), net.end());
  for (std::uint64_t const p : net) h = mix(h, p);
  for (int const n : {s.spent.calls, s.spent.reads, s.spent.elections, s.spent.clocks, s.spent.faults})
    h = mix(h, static_cast<std::uint64_t>(n));
  return s.broken.empty() ? h : mix(h, core::stableHash(s.broken));
}

bool ModelCluster::hasEffect(Packet const& p, Machine const& receiver) const {
  if (!receiver.member) return false;
  consensus::ReplicatedRegisters trial = *receiver.member;
  consensus::RegisterCommands const c = trial.onMessage(receiver.now, linkOf(p.from), *p.message);
  return !c.sends.empty() || !c.persists.empty() || !c.commits.empty() || !c.completedCalls.empty() ||
         trial.fingerprint(receiver.now, rules_.cap) != receiver.member->fingerprint(receiver.now, rules_.cap);
}

}  // namespace corkward::explore
