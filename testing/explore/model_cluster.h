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

/// The one key that callers change.
inline constexpr char const* callersKey = "k";

/// A message in flight. Times that it carries are told apart by how long ago they were on their machine's clock.
struct Packet {
  int from = 0;
  int to = 0;
  std::shared_ptr<transport::Message const> message;
  std::uint64_t hash = 0;
  /// Machine whose clock the time was read from; -1: no time.
  int clock = -1;
  Milliseconds tick = 0;
  /// Digest of the receiver for which the message was last found to change something.
  std::uint64_t usefulAt = 0;
};

/// What a disk holds of a key: the newest accepted, and the callers' marks in it.
struct AcceptedState {
  transport::Ballot ballot;
  std::uint64_t revision = 0;
  std::set<std::string> marks;
};

/// One machine: its process while it runs, its disk, and what its process has given to the disk and is not yet synced.
struct Machine {
  std::string link;
  std::optional<consensus::ReplicatedRegisters> member;
  std::map<std::string, std::string> disk;
  std::deque<consensus::PersistCommand> pending;
  Milliseconds now = 0;
  int boots = 0;
  /// What the disk says: the member's id, whether it votes, and under which membership it has caught up.
  std::string diskId;
  bool diskVotes = false;
  std::uint64_t diskCaughtUp = 0;
  AcceptedState accepted;
  std::uint64_t diskDigest = 0;
  /// 0: to be computed.
  mutable std::uint64_t digest = 0;
};

/// Calls of the callers and their answers, and what was chosen: history that the invariants are held against.
struct History {
  std::map<std::pair<std::string, std::uint64_t>, std::string> chosen;
  /// Revision -> marks in the value that was chosen for the callers' key.
  std::map<std::uint64_t, std::set<std::string>> marks;
  std::uint64_t newestMembership = 0;
  std::vector<std::string> members;
  /// Confirmed marks and the revision of each.
  std::map<std::string, std::uint64_t> confirmed;
  std::set<std::uint64_t> bases;
  /// Reads that wait for an answer, and the marks that were confirmed when each began.
  std::map<std::uint64_t, std::set<std::string>> pendingReads;
  std::map<std::uint64_t, std::uint64_t> baseOf;
  std::uint64_t tokens = 0;
  /// 0: to be computed.
  mutable std::uint64_t digest = 0;
};

/// What has been spent of a model's bounds.
struct Spent {
  int calls = 0;
  int reads = 0;
  int elections = 0;
  int clocks = 0;
  int faults = 0;
};

/// One state of the machines, the network and the callers. Machines are shared between states and copied when changed.
struct State {
  std::vector<std::shared_ptr<Machine const>> machines;
  std::vector<Packet> net;
  std::shared_ptr<History const> history;
  Spent spent;
  /// Machines that are cut off, one bit each.
  unsigned cut = 0;
  std::string broken;
};

/// When the disk has what an event wrote.
enum class Sync : std::uint8_t { atOnce, later };

/// What holds in every state of a model.
struct Rules {
  consensus::ConsensusTuning tuning;
  /// A disk that was wiped gets an id that was never used.
  bool freshIds = true;
  /// A change is taken only on the base that it names.
  bool compareBase = true;
  /// Messages on the membership's own register are lost.
  bool dropMembership = false;
  /// Spans of time over this are not told apart, ms.
  Milliseconds cap = 100000;
};

/// Drives the real registers on machines with disks and a network, and holds what comes out against the invariants.
class ModelCluster {
 public:
  explicit ModelCluster(Rules rules) : rules_(std::move(rules)) {}
  Rules const& rules() const { return rules_; }

  /// Machines "a", "b", ... that founded a membership; the callers' key has one confirmed mark on all of them. The
  /// first `spare` machines after them are down, with an empty disk.
  State founded(int members, int spare) const;

  void boot(State& s, int machine) const;
  void kill(State& s, int machine) const;
  /// The disk is lost and replaced by an empty one.
  void wipe(State& s, int machine) const;
  void arrive(State& s, Packet const& p, Sync sync) const;
  void clock(State& s, int machine, Milliseconds by) const;
  void handover(State& s, int machine) const;
  /// A caller's change on the base that the machine holds to be committed.
  void change(State& s, int machine) const;
  void read(State& s, int machine) const;
  /// The first so many records given to the disk are synced; with `tell`, the process hears of it.
  void sync(State& s, int machine, std::size_t records, bool tell) const;
  /// Delivers all that is under way, and what follows from it at most so many hops; without hops, until nothing is.
  void wave(State& s, int hops) const;
  /// Clock events and waves for so long.
  void runFor(State& s, Milliseconds how) const;
  /// Breaks the state when some majority of the newest membership cannot rebuild what was confirmed.
  void checkRebuild(State& s) const;
  std::uint64_t digest(State const& s) const;
  std::uint64_t digest(Machine const& m) const;
  /// The message would change something at its receiver, or make it send something.
  bool changes(Packet const& p, Machine const& receiver) const;

  /// Members of the newest membership that a loss would have to be added to: gone, not voting or not caught up.
  int openLosses(State const& s) const;

 private:
  static Machine& edit(State& s, int machine);
  static History& editHistory(State& s);
  static std::uint64_t digest(History const& history);
  int indexOf(State const& s, std::string const& link) const;
  void take(State& s, int machine, consensus::RegisterCommands const& c, Sync sync) const;
  void post(State& s, int from, transport::Send const& send) const;
  void onCommit(State& s, consensus::CommittedValue const& c) const;
  void onDecided(State& s, consensus::CallCompleted const& d) const;
  void checkMarks(State& s) const;
  void start(State& s, int machine, std::vector<std::string> founders) const;

  Rules rules_;
};

/// Link address of a machine: "a", "b", ...
std::string linkOf(int machine);
/// A packet in words, for traces.
std::string nameOf(Packet const& p);

}  // namespace corkward::explore
