#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/storage/write_ahead_log.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/control/controller.h>

#include "disk.h"
#include "sizes.h"
#include "tally.h"

namespace corkward::testing::capacity {

using core::Milliseconds;

/// One hollow process: the reducer of a daemon without its sockets, HTTP edges and threads.
struct Process {
  std::string link;
  int zone = 0;
  int region = 0;
  bool alive = false;
  std::uint64_t incarnation = 0;
  std::unique_ptr<control::Controller> control;
  std::unique_ptr<dataplane::RequestRouter> data;
  std::unique_ptr<SimulatedDisk> disk;
  std::unique_ptr<storage::WriteAheadLog> writeAheadLog;
  Milliseconds diskFree = 0;
};

/// An operator's answer and when it came.
struct OperatorAnswer {
  int status = 0;
  QJsonObject body;
  Milliseconds at = 0;
};

/// Many hollow processes in one, with a network and disks of their own, driven by virtual time from one seed. It runs
/// whatever reducers are there through their public events and counts what comes out.
class Fleet {
 public:
  explicit Fleet(Sizes const& sizes, dataplane::RouterTuning const& tuning = {});

  /// Starts the control machines and runs until each is in touch with a majority. False when that fails.
  bool startControl();
  /// Gives the lists, templates and instances of the sizes.
  void configure();
  /// Starts every node and runs until each one stands. False when that fails.
  bool startNodes();

  void boot(std::size_t ix);
  /// Ends a process. A dark one's machine is gone: nobody hears that the connection is refused.
  void kill(std::size_t ix, bool dark = false);
  void wipe(std::size_t ix) { processes_[ix].disk->wipe(); }
  /// No message passes between regions from here on, or passes again.
  void cutRegions(bool cut) { regionsCut_ = cut; }

  /// Runs for so many milliseconds.
  void run(Milliseconds how);
  /// Runs until it is true; false when it is not within the limit.
  bool until(std::function<bool()> const& done, Milliseconds limit);
  Milliseconds now() const { return now_; }

  /// An operator's call at a control machine; the answer comes under the token.
  std::uint64_t call(std::size_t at, std::string const& method, std::string const& path, std::string const& body,
                     std::string const& ifMatch);
  std::optional<OperatorAnswer> answer(std::uint64_t token) const;
  /// Changes one tenant's parameter; the answer comes under the token.
  std::uint64_t change(std::size_t at, std::int64_t tenant);
  /// Newest revision of a tenant's family that some control machine holds.
  std::uint64_t revisionOfTenant(std::int64_t tenant) const;

  std::vector<Process>& processes() { return processes_; }
  std::size_t firstNode() const { return static_cast<std::size_t>(sizes_.control); }
  /// A node at an address of its own that is not started with the others.
  std::size_t spare() const { return processes_.size() - 1; }
  std::size_t alive(bool control) const;
  /// Nodes of a region, or of all when it is below zero, that may hand requests over.
  std::size_t servingLease(int region = -1) const;
  std::size_t aliveIn(int region) const;
  static std::string familyOf(Sizes const& sizes, std::int64_t tenant);
  static std::string instanceOf(Sizes const& sizes, std::int64_t tenant);

  /// From here on every message is packed, unpacked, timed and tallied.
  void count(bool on);
  Tallies const& tallies(bool control) const { return control ? controlTallies_ : nodeTallies_; }
  /// Processor time of clock events since the count began, microseconds.
  double clockUs(bool control) const { return control ? controlClockUs_ : nodeClockUs_; }
  Milliseconds counted() const { return now_ - countFrom_; }
  /// Bytes and records that went to the disks since the count began.
  std::uint64_t diskBytes() const { return diskBytes_; }
  /// Ways that the processes of a role hold as transport::Link does, all together, and how often one was dialled so
  /// far.
  std::size_t openLinks(bool control) const;
  std::uint64_t dialled(bool control) const { return dialled_[control ? 1 : 0]; }
  /// What the simulated disks hold, which a real process would not hold in memory.
  std::uint64_t diskUsage() const;
  /// Lets go of what is under way.
  void discardPendingEvents();

 private:
  enum class EventKind { clock, message, written };
  struct Event {
    Milliseconds at = 0;
    std::uint64_t order = 0;
    EventKind kind = EventKind::clock;
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    std::size_t from = 0;
    std::shared_ptr<transport::Message const> message;
    std::string bytes;
    std::vector<storage::Record> records;
    std::vector<std::uint64_t> tickets;
    bool operator<(Event const& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void push(Event event);
  void act(Event& event);
  void clock(std::size_t ix);
  void deliver(Event& event);
  void written(Event& event);
  void take(std::size_t ix, control::ControllerCommands&& commands);
  void take(std::size_t ix, dataplane::RouterCommands&& commands);
  void send(std::size_t from, transport::Send const& send);
  Milliseconds delay(Process const& a, Process const& b) const;

  Sizes sizes_;
  dataplane::RouterTuning tuning_;
  core::RandomGenerator rng_;
  Milliseconds now_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t nextToken_ = 1;
  std::uint64_t nextNote_ = 1;
  std::priority_queue<Event> events_;
  std::vector<Process> processes_;
  std::vector<bool> dark_;
  std::unordered_map<std::string, std::size_t> byLink_;
  std::map<std::uint64_t, OperatorAnswer> answers_;
  bool regionsCut_ = false;
  bool counting_ = false;
  Milliseconds countFrom_ = 0;
  Tallies controlTallies_;
  Tallies nodeTallies_;
  double controlClockUs_ = 0;
  double nodeClockUs_ = 0;
  std::uint64_t diskBytes_ = 0;
  /// When each process last sent to another or heard from it, for the ways that it dialled.
  std::vector<std::unordered_map<std::size_t, Milliseconds>> linkLastUsed_;
  std::array<std::uint64_t, 2> dialled_{};
};

}  // namespace corkward::testing::capacity
