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

/// One simulated process: the reducer of a daemon without its sockets, HTTP layer and threads.
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

/// Response to an operator call and the time at which it arrived.
struct ReceivedResponse {
  int status = 0;
  QJsonObject body;
  Milliseconds at = 0;
};

/// Simulates many processes in one, with a network and disks, in virtual time and from one seed. Drives the reducers of
/// the daemons through their public events and counts their messages and disk writes.
class Fleet {
 public:
  explicit Fleet(Sizes const& sizes, dataplane::RouterTuning const& tuning = {});

  /// Starts the controllers and runs until each is in contact with a majority. Returns false if that takes over 60 s.
  bool startControllers();
  /// Writes the endpoint lists, templates and instances that the sizes ask for.
  void configure();
  /// Starts every router and runs until each one has a serving lease. Returns false if that takes over 60 s.
  bool startRouters();

  void boot(std::size_t ix);
  /// Ends a process. With `poweredOff` its machine is down too, so that connections to it time out instead of being
  /// refused.
  void kill(std::size_t ix, bool poweredOff = false);
  void wipe(std::size_t ix) { processes_[ix].disk->wipe(); }
  /// Starts or ends a partition between all regions.
  void cutRegions(bool cut) { regionsCut_ = cut; }

  /// Runs for the given virtual time.
  void run(Milliseconds duration);
  /// Runs until `done` returns true. Returns false if it does not within the limit.
  bool until(std::function<bool()> const& done, Milliseconds limit);
  Milliseconds now() const { return now_; }

  /// Sends an operator call to the controller with this index. Returns the token of the response.
  std::uint64_t call(std::size_t at, std::string const& method, std::string const& path, std::string const& body,
                     std::string const& ifMatch);
  std::optional<ReceivedResponse> response(std::uint64_t token) const;
  /// Changes one tenant's parameter. Returns the token of the response.
  std::uint64_t change(std::size_t at, std::int64_t tenant);
  /// Returns the newest revision of a tenant's family that any controller has committed.
  std::uint64_t revisionOfTenant(std::int64_t tenant) const;

  std::vector<Process>& processes() { return processes_; }
  std::size_t firstRouter() const { return static_cast<std::size_t>(sizes_.control); }
  /// Index of an additional router, with its own address, that startRouters does not start.
  std::size_t spare() const { return processes_.size() - 1; }
  std::size_t alive(bool control) const;
  /// Number of routers with a serving lease in a region, or in all regions if it is negative.
  std::size_t servingRouters(int region = -1) const;
  std::size_t aliveRouters(int region) const;
  static std::string familyOf(Sizes const& sizes, std::int64_t tenant);
  static std::string instanceOf(Sizes const& sizes, std::int64_t tenant);

  /// Starts or stops packing, unpacking, timing and counting every message. Starting resets the counts.
  void count(bool on);
  Tallies const& tallies(bool control) const { return control ? controllerTallies_ : routerTallies_; }
  /// Processor time of timer events since counting began, in microseconds.
  double timerUs(bool control) const { return control ? controllerTimerUs_ : routerTimerUs_; }
  Milliseconds countedTime() const { return now_ - countFrom_; }
  /// Bytes written to the disks since counting began.
  std::uint64_t diskBytes() const { return diskBytes_; }
  /// Number of links that the processes of a role keep open in all, under the rules of transport::Link, and number of
  /// links opened so far.
  std::size_t openLinks(bool control) const;
  std::uint64_t dialled(bool control) const { return dialled_[control ? 1 : 0]; }
  /// Memory of the simulated disks, to be subtracted because a real process does not hold it.
  std::uint64_t diskUsage() const;
  /// Drops all pending events.
  void discardPendingEvents();

 private:
  enum class EventKind { clock, message, written };
  struct Event {
    Milliseconds at = 0;
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::clock;
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    std::size_t from = 0;
    std::shared_ptr<transport::Message const> message;
    std::string bytes;
    std::vector<storage::Record> records;
    std::vector<std::uint64_t> tickets;
    bool operator<(Event const& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  void push(Event event);
  void act(Event& event);
  void clock(std::size_t ix);
  void deliver(Event& event);
  void onWritten(Event& event);
  void applyCommands(std::size_t ix, control::ControllerCommands&& commands);
  void applyCommands(std::size_t ix, dataplane::RouterCommands&& commands);
  void send(std::size_t from, transport::Send const& send);
  Milliseconds delay(Process const& a, Process const& b) const;

  Sizes sizes_;
  dataplane::RouterTuning tuning_;
  core::RandomGenerator rng_;
  Milliseconds now_ = 0;
  std::uint64_t nextSequence_ = 0;
  std::uint64_t nextToken_ = 1;
  std::uint64_t nextNote_ = 1;
  std::priority_queue<Event> events_;
  std::vector<Process> processes_;
  std::vector<bool> poweredOff_;
  std::unordered_map<std::string, std::size_t> byLink_;
  std::map<std::uint64_t, ReceivedResponse> responses_;
  bool regionsCut_ = false;
  bool counting_ = false;
  Milliseconds countFrom_ = 0;
  Tallies controllerTallies_;
  Tallies routerTallies_;
  double controllerTimerUs_ = 0;
  double routerTimerUs_ = 0;
  std::uint64_t diskBytes_ = 0;
  /// Time of the last message sent or received on each link, by the process that opened it and the peer.
  std::vector<std::unordered_map<std::size_t, Milliseconds>> linkLastUsed_;
  std::array<std::uint64_t, 2> dialled_{};
};

}  // namespace corkward::testing::capacity
