#pragma once

#include <QJsonArray>
#include <algorithm>
#include <bit>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/json.h>
#include <corkward/consensus/events.h>
#include <corkward/consensus/replicated_registers.h>

namespace corkward::consensus {

/// Machines with a disk each in virtual time: a network with delays and cuts, disks that keep what was synced, and
/// callers that append marks to keys. What was acknowledged and what was committed is kept apart from the members.
class Cluster {
 public:
  struct Machine {
    std::string link;
    std::unique_ptr<ReplicatedRegisters> member;
    std::map<std::string, std::string> disk;
    std::deque<std::vector<PersistCommand>> writes;
    std::deque<std::function<void()>> inbox;
    bool writing = false;
    bool frozen = false;
    Milliseconds diskDelay = 2;
    int boots = 0;
    std::uint64_t incarnation = 0;
  };

  explicit Cluster(std::uint64_t seed, ConsensusTuning tuning = {}, std::vector<std::string> seeds = {"a", "b", "c"})
      : rng(seed), tuning_(tuning), seeds_(std::move(seeds)) {}

  /// Starts the process of a machine, with its disk as it is.
  void boot(std::string const& link, std::vector<std::string> founders = {}) {
    Machine& m = machines[link];
    if (m.member) return;
    m.link = link;
    m.frozen = false;
    m.writing = false;
    m.writes.clear();
    m.inbox.clear();
    ++m.incarnation;
    m.member = std::make_unique<ReplicatedRegisters>(Member{link + "#" + std::to_string(++m.boots), link},
                                                     std::move(founders), validator, rng.next(), tuning_);
    take(m, m.member->restore(m.disk, false, now));
    clock(link, m.incarnation);
  }

  /// Ends the process; of the writes under way a random part has reached the disk.
  void kill(std::string const& link) {
    Machine& m = machines.at(link);
    if (!m.member) return;
    std::size_t keep = m.writes.empty() ? 0 : rng.below(m.writes.front().size() + 1);
    for (std::size_t i = 0; i < keep; ++i) m.disk[m.writes.front()[i].key] = m.writes.front()[i].payload;
    m.member.reset();
    ++m.incarnation;
  }

  /// Takes the machine away for good.
  void remove(std::string const& link) {
    kill(link);
    machines.erase(link);
  }

  /// As SIGTERM.
  void handOver(std::string const& link) {
    Machine& m = machines.at(link);
    take(m, m.member->startHandover(now));
  }

  void freeze(std::string const& link) { machines.at(link).frozen = true; }
  void thaw(std::string const& link) {
    Machine& m = machines.at(link);
    m.frozen = false;
    std::deque<std::function<void()>> const inbox = std::move(m.inbox);
    m.inbox.clear();
    for (std::function<void()> const& act : inbox) act();
  }

  void cutOff(std::string const& link, bool on) {
    for (auto const& [name, machine] : machines) cut(link, name, on);
  }
  void cut(std::string const& a, std::string const& b, bool on) {
    for (std::pair<std::string, std::string> const& p : {std::pair(a, b), std::pair(b, a)})
      if (on)
        cuts.insert(p);
      else
        cuts.erase(p);
  }

  void run(Milliseconds how) {
    Milliseconds const until = now + how;
    while (!events_.empty() && events_.top().at <= until) step();
    now = until;
  }
  /// Runs until the condition holds; how long that took, -1 when it does not within the limit.
  Milliseconds until(std::function<bool()> const& holds, Milliseconds limit) {
    Milliseconds const since = now;
    while (!holds()) {
      if (events_.empty() || events_.top().at > since + limit) return -1;
      step();
    }
    return now - since;
  }

  ReplicatedRegisters& at(std::string const& link) { return *machines.at(link).member; }
  bool votes(std::string const& link) {
    Machine const& m = machines.at(link);
    return m.member && m.member->isVoting() && isMemberHere(m);
  }
  bool allVote() {
    for (auto const& [name, machine] : machines)
      if (machine.member && !votes(name)) return false;
    return true;
  }
  std::size_t size(std::string const& link) { return at(link).membership().size(); }
  bool isStable() {
    std::set<std::size_t> sizes;
    for (auto const& [name, machine] : machines) {
      if (!machine.member) return false;
      sizes.insert(machine.member->membership().size());
    }
    return allVote() && sizes == std::set<std::size_t>{machines.size()};
  }

  /// Appends a mark to the key at the machine, or at the owner that it names.
  std::uint64_t call(std::string const& link, std::string const& key) {
    transport::OperatorCall c;
    c.token = ++tokens_;
    c.method = "PUT";
    c.body = "m" + std::to_string(c.token);
    hand(link, key, c);
    return c.token;
  }
  /// Asks for the key's value.
  std::uint64_t read(std::string const& link, std::string const& key) {
    transport::OperatorCall c;
    c.token = ++tokens_;
    c.method = "GET";
    hand(link, key, c);
    return c.token;
  }
  int statusOf(std::uint64_t token) const { return answers.count(token) > 0 ? answers.at(token) : 0; }
  /// Keys of which some majority of the newest membership's disks lacks a mark that was acknowledged.
  std::vector<std::string> lostAcknowledged() {
    std::vector<DiskState> disks;
    if (newest[membershipKey] == 0) return {};
    QJsonObject const membership = core::parseJson(committed_[{membershipKey, newest[membershipKey]}]).toObject();
    for (Member const& c : membersFromJson(membership))
      for (auto const& [name, machine] : machines) {
        if (machine.disk.count("meta") == 0) continue;
        QJsonObject const meta = core::parseJson(machine.disk.at("meta")).toObject();
        if (core::toStdString(meta.value("id").toString()) == c.id && meta.value("voting").toBool())
          disks.push_back(DiskState{c.id, &machine.disk, {}, false});
      }
    std::size_t const most = membersFromJson(membership).size() / 2 + 1;
    std::vector<std::string> out;
    for (auto const& [key, values] : acknowledged) {
      for (DiskState& d : disks) d.read(key, values);
      for (unsigned set = 0; set < 1U << disks.size(); ++set) {
        if (static_cast<std::size_t>(std::popcount(set)) != most) continue;
        DiskState const* best = nullptr;
        for (std::size_t i = 0; i < disks.size(); ++i)
          if ((set >> i & 1U) != 0 && (best == nullptr || best->at < disks[i].at)) best = &disks[i];
        if (best->complete) continue;
        out.push_back(key);
        break;
      }
    }
    return out;
  }

  /// Token of a call that changes nothing; 0: none.
  static inline std::uint64_t readOnly = 0;

  Milliseconds now = 1000;
  core::RandomGenerator rng;
  std::map<std::string, Machine> machines;
  std::set<std::pair<std::string, std::string>> cuts;
  double loss = 0;
  std::map<std::uint64_t, int> answers;
  std::map<std::string, std::set<std::string>> acknowledged;
  std::map<std::string, std::uint64_t> newest;
  std::vector<std::string> violations;
  std::function<void(std::string const& from, transport::Send const& send)> watch;

 private:
  struct Event {
    Milliseconds at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(Event const& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  /// What one member's disk holds of a key: the newest accepted, and whether all acknowledged marks stand in it.
  struct DiskState {
    std::string id;
    std::map<std::string, std::string> const* disk;
    std::pair<Ballot, std::uint64_t> at;
    bool complete = false;
    void read(std::string const& key, std::set<std::string> const& want) {
      at = {};
      complete = false;
      auto const it = disk->find("slot:" + key);
      if (it == disk->end()) return;
      QJsonObject const o = core::parseJson(it->second).toObject();
      if (core::toStdString(o.value("i").toString()) != id) return;
      QJsonObject const e = o.value("a").toObject();
      at = {Ballot{static_cast<std::uint64_t>(e.value("n").toInteger()), core::toStdString(e.value("m").toString())},
            static_cast<std::uint64_t>(o.value("s").toInteger())};
      std::set<std::string> have;
      for (QJsonValue const v : o.value("v").toObject().value("marks").toArray())
        have.insert(core::toStdString(v.toString()));
      complete = std::includes(have.begin(), have.end(), want.begin(), want.end());
    }
  };
  void hand(std::string const& link, std::string const& key, transport::OperatorCall const& c) {
    std::string const owner = at(link).ownerLink(key, now);
    Machine* m = &machines.at(link);
    if (machines.count(owner) > 0 && machines.at(owner).member && !machines.at(owner).frozen) m = &machines.at(owner);
    take(*m, m->member->submit(now, key, c));
  }
  static Verdict validator(std::string const&, std::uint64_t, QJsonObject const& value,
                           transport::OperatorCall const& call) {
    if (call.method == "GET") return Verdict{false, {}, 200, value};
    if (readOnly != 0 && call.token == readOnly) return Verdict{false, {}, 200, value};
    QJsonArray marks = value.value("marks").toArray();
    marks.append(core::toQString(call.body));
    return Verdict{true, QJsonObject{{"marks", marks}}, 200, {}};
  }
  static bool isMemberHere(Machine const& m) {
    for (Member const& c : m.member->membership())
      if (c.id == m.member->self().id) return true;
    return false;
  }
  void after(Milliseconds delay, std::function<void()> act) {
    events_.push(Event{now + delay, order_++, std::move(act)});
  }
  void step() {
    Event const e = events_.top();
    events_.pop();
    now = std::max(now, e.at);
    e.act();
  }
  void to(std::string const& link, std::uint64_t incarnation, std::function<void()> act) {
    if (!isRunning(link, incarnation)) return;
    Machine& m = machines.at(link);
    if (m.frozen)
      m.inbox.push_back([this, link, incarnation, act] { to(link, incarnation, act); });
    else
      act();
  }
  bool isRunning(std::string const& link, std::uint64_t incarnation) const {
    auto const it = machines.find(link);
    return it != machines.end() && it->second.incarnation == incarnation && it->second.member;
  }
  void clock(std::string const& link, std::uint64_t incarnation) {
    if (!isRunning(link, incarnation)) return;
    Machine& m = machines.at(link);
    if (!m.frozen) {
      if (m.member->discovering()) m.member->setDiscoveryPeers(seeds_);
      take(m, m.member->onTimer(now));
    }
    after(25, [this, link, incarnation] { clock(link, incarnation); });
  }
  void take(Machine& m, RegisterCommands&& c) {
    if (!c.persists.empty()) m.writes.push_back(c.persists);
    write(m);
    for (CommittedValue const& k : c.commits) {
      std::string& text = committed_[{k.key, k.revision}];
      std::string const here = core::jsonText(k.value);
      if (!text.empty() && text != here)
        violations.push_back("two values of " + k.key + " under revision " + std::to_string(k.revision));
      text = here;
      newest[k.key] = std::max(newest[k.key], k.revision);
    }
    for (CallCompleted const& d : c.completedCalls) {
      answers[d.token] = d.status;
      if (d.status == 200 && d.revision > 0) acknowledged[d.key].insert("m" + std::to_string(d.token));
    }
    for (std::pair<std::string, transport::OperatorCall> const& r : c.rerouted)
      after(1, [this, link = m.link, incarnation = m.incarnation, r] {
        to(link, incarnation, [this, link, r] { hand(link, r.first, r.second); });
      });
    for (core::LogEvent const& n : c.logEvents)
      if (n.event == events::messageRejected) violations.push_back("message rejected at " + m.link);
    for (transport::Send const& s : c.sends) {
      if (watch) watch(m.link, s);
      auto const it = machines.find(s.to);
      if (it == machines.end() || !it->second.member || cuts.count({m.link, s.to}) > 0 || rng.chance(loss)) continue;
      after(1 + static_cast<Milliseconds>(rng.below(4)),
            [this, from = m.link, link = s.to, incarnation = it->second.incarnation, message = s.message] {
              to(link, incarnation,
                 [this, from, link, message] { take(machines.at(link), at(link).onMessage(now, from, message)); });
            });
    }
  }
  void write(Machine& m) {
    if (m.writing || m.writes.empty()) return;
    m.writing = true;
    after(m.diskDelay + static_cast<Milliseconds>(rng.below(3)), [this, link = m.link, incarnation = m.incarnation] {
      if (!isRunning(link, incarnation)) return;
      Machine& k = machines.at(link);
      std::vector<PersistCommand> const done = k.writes.front();
      k.writes.pop_front();
      k.writing = false;
      for (PersistCommand const& p : done) k.disk[p.key] = p.payload;
      to(link, incarnation, [this, link, done] {
        for (PersistCommand const& p : done) take(machines.at(link), at(link).onPersisted(now, p.ticket, true));
      });
      write(k);
    });
  }

  ConsensusTuning tuning_;
  std::vector<std::string> seeds_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::uint64_t tokens_ = 0;
  std::map<std::pair<std::string, std::uint64_t>, std::string> committed_;
};

}  // namespace corkward::consensus
