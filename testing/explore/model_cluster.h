#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/replicated_registers.h>

namespace corkward::explore {

using core::Milliseconds;

/// The only key that operators change.
inline constexpr char const* operatorKey = "k";

/// A message in flight. Two messages that differ only in the time they carry count as equal if that time lies equally
/// far in the past on the clock it was read from.
struct Packet {
  int from = 0;
  int to = 0;
  std::shared_ptr<transport::Message const> message;
  std::uint64_t hash = 0;
  /// Machine whose clock the time was read from. -1 if the message carries no time.
  int clock = -1;
  Milliseconds time = 0;
  /// Digest of the receiver's state in which the message last had an effect.
  std::uint64_t hadEffectAt = 0;
};

/// The newest value that a disk has accepted for the operators' key, with the marks of the changes that it contains.
struct AcceptedState {
  transport::Ballot ballot;
  std::uint64_t revision = 0;
  std::set<std::string> marks;
};

/// One machine: its process (empty while it is down), its disk, and the writes that are not synced yet.
struct Machine {
  std::string link;
  std::optional<consensus::ReplicatedRegisters> member;
  std::map<std::string, std::string> disk;
  std::deque<consensus::PersistCommand> pending;
  Milliseconds now = 0;
  int boots = 0;
  /// The member's id, read from the disk.
  std::string diskId;
  /// Whether the member votes, read from the disk.
  bool diskVotes = false;
  /// Revision of the membership under which the member last caught up, read from the disk.
  std::uint64_t diskCaughtUp = 0;
  AcceptedState accepted;
  std::uint64_t diskDigest = 0;
  /// Digest of this machine's state, or 0 if it has not been computed yet.
  mutable std::uint64_t digest = 0;
};

/// Calls of the operators with their results, and the chosen values. The invariants are checked against this history.
struct History {
  std::map<std::pair<std::string, std::uint64_t>, std::string> chosen;
  /// Marks in the value that was chosen for the operators' key, by revision.
  std::map<std::uint64_t, std::set<std::string>> marks;
  std::uint64_t newestMembership = 0;
  std::vector<std::string> members;
  /// Revision of each confirmed mark.
  std::map<std::string, std::uint64_t> confirmed;
  std::set<std::uint64_t> bases;
  /// Pending reads by token, with the marks that were confirmed when the read began.
  std::map<std::uint64_t, std::set<std::string>> pendingReads;
  std::map<std::uint64_t, std::uint64_t> baseOf;
  std::uint64_t tokens = 0;
  /// Digest of this history, or 0 if it has not been computed yet.
  mutable std::uint64_t digest = 0;
};

/// Number of events of each kind so far; limited by Bounds.
struct Spent {
  int calls = 0;
  int reads = 0;
  int elections = 0;
  int clocks = 0;
  int faults = 0;
};

/// A state of the machines, the network and the operators. States share machines and copy a machine before changing it.
struct State {
  std::vector<std::shared_ptr<Machine const>> machines;
  std::vector<Packet> net;
  std::shared_ptr<History const> history;
  Spent spent;
  /// Isolated machines, one bit each.
  unsigned isolated = 0;
  std::string broken;
};

/// When the disk syncs the writes of an event.
enum class Sync : std::uint8_t { atOnce, later };

/// Settings of a model, the same in all its states.
struct Rules {
  consensus::ConsensusTuning tuning;
  /// A wiped disk gets an id that was never used before.
  bool freshIds = true;
  /// A change is accepted only if the current revision is the one on which the change is based.
  bool compareBase = true;
  /// Messages about the membership register are lost.
  bool dropMembership = false;
  /// Durations longer than this count as equal, in ms.
  Milliseconds cap = 100000;
};

/// Runs the production registers on model machines with disks and a network, and checks the invariants.
class ModelCluster {
 public:
  explicit ModelCluster(Rules rules) : rules_(std::move(rules)) {}
  Rules const& rules() const { return rules_; }

  /// Returns a state in which the machines "a", "b", ... have founded a membership and all have one confirmed mark
  /// under the operators' key. `spare` more machines are down and have empty disks.
  State foundedState(int members, int spare) const;

  void boot(State& s, int machine) const;
  void kill(State& s, int machine) const;
  /// Stops the process and replaces the disk by an empty one.
  void wipe(State& s, int machine) const;
  void deliver(State& s, Packet const& p, Sync sync) const;
  void clock(State& s, int machine, Milliseconds by) const;
  void triggerElection(State& s, int machine) const;
  /// Submits an operator's change based on the newest revision that the machine knows as committed.
  void change(State& s, int machine) const;
  void read(State& s, int machine) const;
  /// Syncs the first `records` pending writes. With `notify`, the process is informed.
  void sync(State& s, int machine, std::size_t records, bool notify) const;
  /// Delivers the messages in flight and those sent in reaction, for at most `hops` rounds; with 0 until none is left.
  void deliverMessages(State& s, int hops) const;
  /// Alternates timer events and deliveries for the given duration.
  void runFor(State& s, Milliseconds duration) const;
  /// Marks the state as broken if some majority of the newest membership's disks lacks a confirmed change.
  void checkRebuild(State& s) const;
  std::uint64_t digest(State const& s) const;
  std::uint64_t digest(Machine const& m) const;
  /// Returns whether the message would change the receiver's state or make it send, write or commit anything.
  bool hasEffect(Packet const& p, Machine const& receiver) const;

  /// Returns the number of members of the newest membership whose disk is lost, does not vote or has not caught up.
  int openLosses(State const& s) const;

 private:
  static Machine& edit(State& s, int machine);
  static History& editHistory(State& s);
  static std::uint64_t digest(History const& history);
  int indexOf(State const& s, std::string const& link) const;
  void applyCommands(State& s, int machine, consensus::RegisterCommands const& c, Sync sync) const;
  void sendMessage(State& s, int from, transport::Send const& send) const;
  void onCommit(State& s, consensus::CommittedValue const& c) const;
  void onCallCompleted(State& s, consensus::CallCompleted const& d) const;
  void checkMarks(State& s) const;
  void start(State& s, int machine, std::vector<std::string> founders) const;

  Rules rules_;
};

/// Returns the link address of a machine: "a", "b", ...
std::string linkOf(int machine);
/// Describes a message for traces: kind, key, sender and receiver.
std::string nameOf(Packet const& p);

}  // namespace corkward::explore
