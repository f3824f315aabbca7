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

/// Simulated cluster in virtual time: machines with one member and one disk each, and a network with delays, message
/// loss and partitions. A disk keeps what was synced when its machine is killed. Calls append items to the list that is
/// stored under a key. The fixture itself records the acknowledged items and the committed values, to check the
/// members.
class Cluster {
 public:
  struct Machine {
    std::string link;
    /// Null while the process does not run.
    std::unique_ptr<ReplicatedRegisters> member;
    std::map<std::string, std::string> disk;
    /// Batches of records that are not synced yet.
    std::deque<std::vector<PersistCommand>> pendingWrites;
    /// Events that arrived while the process was paused.
    std::deque<std::function<void()>> inbox;
    bool isWriting = false;
    bool isPaused = false;
    Milliseconds diskDelay = 2;
    int startCount = 0;
    /// Increases with each start and end of the process, so that events of an earlier process are dropped.
    std::uint64_t incarnation = 0;
  };

  explicit Cluster(std::uint64_t seed, ConsensusTuning tuning = {},
                   std::vector<std::string> discoveryPeers = {"a", "b", "c"})
      : random(seed), tuning_(tuning), discoveryPeers_(std::move(discoveryPeers)) {}

  /// Starts the process of a machine with the present content of its disk. Does nothing if the process runs.
  void start(std::string const& link, std::vector<std::string> founders = {}) {
    Machine& machine = machines[link];
    if (machine.member) return;
    machine.link = link;
    machine.isPaused = false;
    machine.isWriting = false;
    machine.pendingWrites.clear();
    machine.inbox.clear();
    ++machine.incarnation;
    machine.member =
        std::make_unique<ReplicatedRegisters>(Member{link + "#" + std::to_string(++machine.startCount), link},
                                              std::move(founders), validator, random.next(), tuning_);
    execute(machine, machine.member->restore(machine.disk, false, now));
    runTimer(link, machine.incarnation);
  }

  /// Kills the process. A random number of the records that were being written has reached the disk.
  void kill(std::string const& link) {
    Machine& machine = machines.at(link);
    if (!machine.member) return;
    std::size_t written = machine.pendingWrites.empty() ? 0 : random.below(machine.pendingWrites.front().size() + 1);
    for (std::size_t i = 0; i < written; ++i)
      machine.disk[machine.pendingWrites.front()[i].key] = machine.pendingWrites.front()[i].payload;
    machine.member.reset();
    ++machine.incarnation;
  }

  /// Kills the process and removes the machine with its disk.
  void removeMachine(std::string const& link) {
    kill(link);
    machines.erase(link);
  }

  /// Starts the handover, as a daemon does on SIGTERM.
  void startHandover(std::string const& link) {
    Machine& machine = machines.at(link);
    execute(machine, machine.member->startHandover(now));
  }

  /// Pauses the process. Messages to it are delivered after resume.
  void pause(std::string const& link) { machines.at(link).isPaused = true; }
  void resume(std::string const& link) {
    Machine& machine = machines.at(link);
    machine.isPaused = false;
    std::deque<std::function<void()>> const inbox = std::move(machine.inbox);
    machine.inbox.clear();
    for (std::function<void()> const& event : inbox) event();
  }

  /// Cuts or restores the connections between the machine and all others.
  void setIsolated(std::string const& link, bool isolated) {
    for (auto const& [name, machine] : machines) setPartitioned(link, name, isolated);
  }
  /// Cuts or restores the connection between two machines, in both directions.
  void setPartitioned(std::string const& a, std::string const& b, bool partitioned) {
    for (std::pair<std::string, std::string> const& direction : {std::pair(a, b), std::pair(b, a)})
      if (partitioned)
        partitions.insert(direction);
      else
        partitions.erase(direction);
  }

  void run(Milliseconds duration) {
    Milliseconds const until = now + duration;
    while (!events_.empty() && events_.top().at <= until) step();
    now = until;
  }
  /// Runs until the condition holds. Returns how long that took, or -1 if it does not hold within the limit.
  Milliseconds runUntil(std::function<bool()> const& condition, Milliseconds limit) {
    Milliseconds const since = now;
    while (!condition()) {
      if (events_.empty() || events_.top().at > since + limit) return -1;
      step();
    }
    return now - since;
  }

  ReplicatedRegisters& member(std::string const& link) { return *machines.at(link).member; }
  /// Returns true if the machine's member votes and belongs to the membership that it has adopted.
  bool isVotingMember(std::string const& link) {
    Machine const& machine = machines.at(link);
    return machine.member && machine.member->isVoting() && isInOwnMembership(machine);
  }
  /// Returns true if every running machine has a voting member.
  bool allRunningVote() {
    for (auto const& [name, machine] : machines)
      if (machine.member && !isVotingMember(name)) return false;
    return true;
  }
  /// Returns the size of the membership that this machine's member has adopted.
  std::size_t membershipSize(std::string const& link) { return member(link).membership().size(); }
  /// Returns true if all machines run and vote, and each has adopted a membership of as many members as there are
  /// machines.
  bool isStable() {
    std::set<std::size_t> sizes;
    for (auto const& [name, machine] : machines) {
      if (!machine.member) return false;
      sizes.insert(machine.member->membership().size());
    }
    return allRunningVote() && sizes == std::set<std::size_t>{machines.size()};
  }

  /// Appends an item to the list under the key. The call is submitted to the owner that the machine knows, or to the
  /// machine itself if it knows no running owner. Returns the token of the call.
  std::uint64_t append(std::string const& link, std::string const& key) {
    transport::OperatorCall call;
    call.token = ++lastToken_;
    call.method = "PUT";
    call.body = "m" + std::to_string(call.token);
    submitAtOwner(link, key, call);
    return call.token;
  }
  /// Reads the key's value. Returns the token of the call.
  std::uint64_t read(std::string const& link, std::string const& key) {
    transport::OperatorCall call;
    call.token = ++lastToken_;
    call.method = "GET";
    submitAtOwner(link, key, call);
    return call.token;
  }
  /// Returns the HTTP status of the call's response, or 0 before the response.
  int statusOf(std::uint64_t token) const { return statuses.count(token) > 0 ? statuses.at(token) : 0; }
  /// Returns the keys that have lost an acknowledged item: some majority of the newest membership exists on whose disks
  /// the newest accepted value of the key lacks an acknowledged item.
  std::vector<std::string> keysWithLostItems() {
    std::vector<AcceptedOnDisk> disks;
    if (newestRevisions[membershipKey] == 0) return {};
    QJsonObject const membership =
        core::parseJson(committed_[{membershipKey, newestRevisions[membershipKey]}]).toObject();
    for (Member const& member : membersFromJson(membership))
      for (auto const& [name, machine] : machines) {
        if (machine.disk.count("meta") == 0) continue;
        QJsonObject const metadata = core::parseJson(machine.disk.at("meta")).toObject();
        if (core::toStdString(metadata.value("id").toString()) == member.id && metadata.value("voting").toBool())
          disks.push_back(AcceptedOnDisk{member.id, &machine.disk, {}, false});
      }
    std::size_t const majority = membersFromJson(membership).size() / 2 + 1;
    std::vector<std::string> lost;
    for (auto const& [key, items] : acknowledgedItems) {
      for (AcceptedOnDisk& disk : disks) disk.read(key, items);
      for (unsigned subset = 0; subset < 1U << disks.size(); ++subset) {
        if (static_cast<std::size_t>(std::popcount(subset)) != majority) continue;
        AcceptedOnDisk const* newest = nullptr;
        for (std::size_t i = 0; i < disks.size(); ++i)
          if ((subset >> i & 1U) != 0 && (newest == nullptr || newest->position < disks[i].position))
            newest = &disks[i];
        if (newest->isComplete) continue;
        lost.push_back(key);
        break;
      }
    }
    return lost;
  }

  /// Token of a PUT call that the validator treats as a read, or 0 if there is none.
  static inline std::uint64_t readOnlyToken = 0;

  Milliseconds now = 1000;
  core::RandomGenerator random;
  std::map<std::string, Machine> machines;
  /// Pairs of sender and receiver between which messages are dropped.
  std::set<std::pair<std::string, std::string>> partitions;
  /// Probability with which a message is lost.
  double lossProbability = 0;
  /// HTTP statuses of the responses, by the token of the call.
  std::map<std::uint64_t, int> statuses;
  /// Items whose append was answered with status 200, by key.
  std::map<std::string, std::set<std::string>> acknowledgedItems;
  /// Highest committed revision of each key.
  std::map<std::string, std::uint64_t> newestRevisions;
  /// Descriptions of the guarantee violations that were seen.
  std::vector<std::string> violations;
  /// Called for each message that a member sends, if set.
  std::function<void(std::string const& from, transport::Send const& send)> onSend;

 private:
  struct Event {
    Milliseconds at;
    std::uint64_t order;
    std::function<void()> action;
    /// Reversed, so that the earliest event is on top of the priority queue.
    bool operator<(Event const& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  /// The accepted value of one key on one member's disk.
  struct AcceptedOnDisk {
    std::string memberId;
    std::map<std::string, std::string> const* disk;
    /// Ballot and revision under which the value was accepted.
    std::pair<Ballot, std::uint64_t> position;
    /// Whether the value contains all acknowledged items.
    bool isComplete = false;
    void read(std::string const& key, std::set<std::string> const& acknowledged) {
      position = {};
      isComplete = false;
      auto const found = disk->find("slot:" + key);
      if (found == disk->end()) return;
      QJsonObject const record = core::parseJson(found->second).toObject();
      if (core::toStdString(record.value("i").toString()) != memberId) return;
      QJsonObject const ballot = record.value("a").toObject();
      position = {Ballot{static_cast<std::uint64_t>(ballot.value("n").toInteger()),
                         core::toStdString(ballot.value("m").toString())},
                  static_cast<std::uint64_t>(record.value("s").toInteger())};
      std::set<std::string> items;
      for (QJsonValue const item : record.value("v").toObject().value("items").toArray())
        items.insert(core::toStdString(item.toString()));
      isComplete = std::includes(items.begin(), items.end(), acknowledged.begin(), acknowledged.end());
    }
  };
  void submitAtOwner(std::string const& link, std::string const& key, transport::OperatorCall const& call) {
    std::string const owner = member(link).ownerLink(key, now);
    Machine* machine = &machines.at(link);
    if (machines.count(owner) > 0 && machines.at(owner).member && !machines.at(owner).isPaused)
      machine = &machines.at(owner);
    execute(*machine, machine->member->submit(now, key, call));
  }
  static Verdict validator(std::string const&, std::uint64_t, QJsonObject const& value,
                           transport::OperatorCall const& call) {
    if (call.method == "GET") return Verdict{false, {}, 200, value};
    if (readOnlyToken != 0 && call.token == readOnlyToken) return Verdict{false, {}, 200, value};
    QJsonArray items = value.value("items").toArray();
    items.append(core::toQString(call.body));
    return Verdict{true, QJsonObject{{"items", items}}, 200, {}};
  }
  static bool isInOwnMembership(Machine const& machine) {
    for (Member const& member : machine.member->membership())
      if (member.id == machine.member->self().id) return true;
    return false;
  }
  void schedule(Milliseconds delay, std::function<void()> action) {
    events_.push(Event{now + delay, nextOrder_++, std::move(action)});
  }
  void step() {
    Event const event = events_.top();
    events_.pop();
    now = std::max(now, event.at);
    event.action();
  }
  /// Runs the action at the machine's process, after resume if the process is paused. Does nothing if the process has
  /// ended.
  void deliver(std::string const& link, std::uint64_t incarnation, std::function<void()> action) {
    if (!isRunning(link, incarnation)) return;
    Machine& machine = machines.at(link);
    if (machine.isPaused)
      machine.inbox.push_back([this, link, incarnation, action] { deliver(link, incarnation, action); });
    else
      action();
  }
  bool isRunning(std::string const& link, std::uint64_t incarnation) const {
    auto const found = machines.find(link);
    return found != machines.end() && found->second.incarnation == incarnation && found->second.member;
  }
  void runTimer(std::string const& link, std::uint64_t incarnation) {
    if (!isRunning(link, incarnation)) return;
    Machine& machine = machines.at(link);
    if (!machine.isPaused) {
      if (machine.member->discovering()) machine.member->setDiscoveryPeers(discoveryPeers_);
      execute(machine, machine.member->onTimer(now));
    }
    schedule(25, [this, link, incarnation] { runTimer(link, incarnation); });
  }
  void execute(Machine& machine, RegisterCommands&& commands) {
    if (!commands.persists.empty()) machine.pendingWrites.push_back(commands.persists);
    writeNext(machine);
    for (CommittedValue const& committed : commands.commits) {
      std::string& known = committed_[{committed.key, committed.revision}];
      std::string const value = core::jsonText(committed.value);
      if (!known.empty() && known != value)
        violations.push_back("two values of " + committed.key + " under revision " +
                             std::to_string(committed.revision));
      known = value;
      newestRevisions[committed.key] = std::max(newestRevisions[committed.key], committed.revision);
    }
    for (CallCompleted const& call : commands.completedCalls) {
      statuses[call.token] = call.status;
      if (call.status == 200 && call.revision > 0) acknowledgedItems[call.key].insert("m" + std::to_string(call.token));
    }
    for (std::pair<std::string, transport::OperatorCall> const& rerouted : commands.rerouted)
      schedule(1, [this, link = machine.link, incarnation = machine.incarnation, rerouted] {
        deliver(link, incarnation, [this, link, rerouted] { submitAtOwner(link, rerouted.first, rerouted.second); });
      });
    for (core::LogEvent const& logEvent : commands.logEvents)
      if (logEvent.event == events::messageRejected) violations.push_back("message rejected at " + machine.link);
    for (transport::Send const& send : commands.sends) {
      if (onSend) onSend(machine.link, send);
      auto const target = machines.find(send.to);
      if (target == machines.end() || !target->second.member || partitions.count({machine.link, send.to}) > 0 ||
          random.chance(lossProbability))
        continue;
      schedule(1 + static_cast<Milliseconds>(random.below(4)),
               [this, from = machine.link, link = send.to, incarnation = target->second.incarnation,
                message = send.message] {
                 deliver(link, incarnation, [this, from, link, message] {
                   execute(machines.at(link), member(link).onMessage(now, from, message));
                 });
               });
    }
  }
  /// Starts to write the oldest pending batch unless a write is in progress.
  void writeNext(Machine& machine) {
    if (machine.isWriting || machine.pendingWrites.empty()) return;
    machine.isWriting = true;
    schedule(machine.diskDelay + static_cast<Milliseconds>(random.below(3)),
             [this, link = machine.link, incarnation = machine.incarnation] {
               if (!isRunning(link, incarnation)) return;
               Machine& running = machines.at(link);
               std::vector<PersistCommand> const batch = running.pendingWrites.front();
               running.pendingWrites.pop_front();
               running.isWriting = false;
               for (PersistCommand const& persist : batch) running.disk[persist.key] = persist.payload;
               deliver(link, incarnation, [this, link, batch] {
                 for (PersistCommand const& persist : batch)
                   execute(machines.at(link), member(link).onPersisted(now, persist.ticket, true));
               });
               writeNext(running);
             });
  }

  ConsensusTuning tuning_;
  std::vector<std::string> discoveryPeers_;
  std::priority_queue<Event> events_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t lastToken_ = 0;
  /// Committed values as JSON text, by key and revision.
  std::map<std::pair<std::string, std::uint64_t>, std::string> committed_;
};

}  // namespace corkward::consensus
