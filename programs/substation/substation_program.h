#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/core/workers.h>
#include <corkward/door/operator_mapping.h>
#include <corkward/door/server.h>
#include <corkward/ledger/ledger.h>
#include <corkward/signal/link.h>
#include <corkward/substation/judge.h>
#include <corkward/substation/plane.h>

#include "process.h"
#include "settings.h"

namespace corkward::programs {

class Substation;

/// What another surface than the product's own puts in its place.
struct SubstationSurface {
  /// Where operators and the platform are listened for, all served alike; empty: at Settings::http.
  std::vector<std::string> http = {};
  door::Limits limits = door::Limits{.body = substation::maxWholeBody};
  /// How often the plane is told the time, in milliseconds.
  int clockEveryMs = 25;
  /// Answers a request that is none of an operator's; false: it is one.
  std::function<bool(Substation&, door::Request const&)> pages = {};
  /// Whether /healthz, /readyz and /metrics are served, after those.
  bool ownPages = true;
};

/// Puts the control plane's library together with its links, its door and its disk.
class Substation : public QObject {
 public:
  /// The mapping must outlive it.
  Substation(Settings const& settings, substation::Tuning const& tuning, door::OperatorMapping const& mapping, SubstationSurface surface = {});

  door::Server& server() { return server_; }
  substation::Plane const& plane() const { return *plane_; }
  bool ready() const;
  /// Counters in Prometheus' text form.
  std::string metrics() const;
  /// The platform's lists as they were just read; see substation::Plane::platformLists.
  void platformLists(std::map<std::string, blueprint::Pool> const& lists);
  bool readsLists() const;
  /// Other seeds from here on.
  void retune(std::vector<std::string> const& seeds);
  /// As SIGTERM.
  void drain();

 private:
  door::Server::Events events();
  void setAside();
  void serve(door::Request request);
  void answer(substation::Answer const& a);
  void run(substation::Commands&& commands);
  void probe(std::string const& link);
  /// Reads the ledger again and writes what it says anew, on the worker; when that goes well the plane starts over from it, as
  /// after a restart of the process.
  void tryDisk();
  void startOver(ledger::Recovered const& got);
  void clockEvent();

  Settings settings_;
  substation::Tuning tuning_;
  door::OperatorMapping const& mapping_;
  SubstationSurface surface_;
  Drain drain_;
  std::uint64_t seed_;
  std::unique_ptr<ledger::Folder> folder_;
  FolderLock lock_;
  std::unique_ptr<ledger::Ledger> log_;
  /// Lives of the plane: one more after each failure of the disk; the second is the worker's own count.
  std::uint64_t life_ = 0;
  std::uint64_t diskLife_ = 0;
  bool draining_ = false;
  std::optional<substation::Plane> plane_;
  std::unordered_map<std::uint64_t, signal::Call> calls_;
  signal::Link link_;
  door::Server server_;
  QTimer clock_;
  QTimer diskAgain_;
  core::Workers disk_;
};

}  // namespace corkward::programs
