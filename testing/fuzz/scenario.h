#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <corkward/transport/link.h>

#include "caller.h"
#include "mutation.h"
#include "oracles.h"
#include "plan.h"
#include "record.h"
#include "replica.h"
#include "router_daemon.h"

namespace corkward::fuzz {

/// Measures how long the event loop was blocked, for oracles that compare times.
class LagMeter : public QObject {
 public:
  LagMeter();
  /// Returns the blocked time between two times, in ms.
  core::Milliseconds between(core::Milliseconds from, core::Milliseconds to) const;

 private:
  void onTimer();
  struct Gap {
    core::Milliseconds at = 0;
    core::Milliseconds lost = 0;
  };
  std::deque<Gap> gaps_;
  core::Milliseconds last_ = 0;
  QTimer timer_;
};

/// Runs one plan against its own router daemon on loopback.
class Scenario : public QObject {
 public:
  Scenario(Plan plan, std::optional<Mutation> mutation, std::function<void()> onFinished);
  Plan const& plan() const { return plan_; }
  Record const& record() const { return record_; }
  std::vector<Violation> check(LagMeter const& lag) const;

 private:
  void boot();
  void listen();
  void begin();
  void startRequest(CallerRequest const& request, std::string const& attempt);
  void ended(std::size_t index);
  std::pair<std::size_t, ScriptedExchange> arrived(std::size_t replica, Dispatch dispatch, std::size_t bodyLength);
  CallerObservation* callerOf(std::string const& attempt);
  /// Returns an attempt that has ended. A stale response for a later attempt could not be distinguished from its real
  /// one.
  std::string endedAttemptOtherThan(std::string const& attempt);
  void finish();
  bool tampers(Tampering tampering) const { return mutation_ && mutation_->tampering == tampering; }

  Plan plan_;
  std::optional<Mutation> mutation_;
  std::function<void()> onFinished_;
  Record record_;
  core::RandomGenerator rng_;
  std::size_t open_ = 0;
  std::size_t toStart_ = 0;
  bool finished_ = false;
  platform::test::wire::FaultyMapping mapping_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::unique_ptr<programs::RouterDaemon> router_;
  std::unique_ptr<transport::Link> control_;
  std::vector<std::unique_ptr<Caller>> lanes_;
  QTimer boot_;
  QTimer limit_;
};

}  // namespace corkward::fuzz
