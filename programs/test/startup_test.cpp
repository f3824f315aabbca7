#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QTimer>
#include <csignal>
#include <memory>
#include <new>
#include <stdexcept>

#include "clock.h"
#include "signals.h"
#include "startup.h"

namespace core = corkward::core;
namespace programs = corkward::programs;

namespace {

programs::DaemonApplication& application() {
  static int argc = 0;
  static programs::DaemonApplication application(argc, nullptr);
  return application;
}

/// What the nodes of a test do, and what happened to them.
struct Script {
  int busyAttempts = 0;
  /// Attempts to create a node for which there is no memory.
  int starvedAttempts = 0;
  /// Faults other than a lack of memory that event handlers throw.
  int faults = 0;
  /// Allocations that fail in event handlers.
  int failedAllocations = 0;
  int created = 0;
  int destroyed = 0;
};

/// Is busy for some attempts; then throws from an event handler, or ends the event loop with exit code 7.
class ScriptedNode {
 public:
  explicit ScriptedNode(Script* script) : script_(script) {
    if (script_->busyAttempts-- > 0) throw core::ResourceBusyError("address in use");
    if (script_->starvedAttempts-- > 0) throw std::bad_alloc();
    ++script_->created;
    QObject::connect(&timer_, &QTimer::timeout, [this] {
      if (script_->faults-- > 0) throw std::logic_error("a fault of the node");
      if (script_->failedAllocations-- > 0) throw std::bad_alloc();
      QCoreApplication::exit(7);
    });
    timer_.start(1);
  }
  ~ScriptedNode() { ++script_->destroyed; }
  ScriptedNode(ScriptedNode const&) = delete;
  ScriptedNode& operator=(ScriptedNode const&) = delete;
  ScriptedNode(ScriptedNode&&) = delete;
  ScriptedNode& operator=(ScriptedNode&&) = delete;

 private:
  Script* script_;
  QTimer timer_;
};

}  // namespace

TEST_CASE("a node whose resources are held is created once they are free") {
  Script script;
  script.busyAttempts = 3;
  CHECK(programs::runNode<ScriptedNode>(application(), 1000, &script) == 7);
  CHECK(script.created == 1);
  CHECK(script.destroyed == 1);
}

TEST_CASE("a wait for held resources ends after the drain limit of a predecessor") {
  Script script;
  script.busyAttempts = 1000000;
  core::Milliseconds const began = programs::now();
  CHECK_THROWS_WITH(programs::runNode<ScriptedNode>(application(), 100, &script), "address in use; gave up waiting");
  CHECK(programs::now() - began >= 100);
  CHECK(programs::now() - began < 20000);
}

TEST_CASE("SIGTERM ends a wait for held resources with exit code 0") {
  programs::holdSignals();
  Script script;
  script.busyAttempts = 1000000;
  REQUIRE(::raise(SIGTERM) == 0);
  CHECK(programs::runNode<ScriptedNode>(application(), 100000, &script) == 0);
  CHECK(script.created == 0);
}

/// Guards against the end of a process by an exception that an event handler threw.
TEST_CASE("a node that throws from an event handler is created anew in the same process") {
  Script script;
  script.faults = 3;
  CHECK(programs::runNode<ScriptedNode>(application(), 1000, &script) == 7);
  CHECK(script.created == 4);
  CHECK(script.destroyed == 4);
}

TEST_CASE("a node that goes on throwing ends the process with its error") {
  Script script;
  script.faults = 1000000;
  CHECK_THROWS_AS(programs::runNode<ScriptedNode>(application(), 1000, &script), std::logic_error);
  CHECK(script.created == static_cast<int>(programs::RestartBudget::maxRestarts) + 1);
}

/// Guards against a process that ends because allocations go on failing for some seconds.
TEST_CASE("a node without memory is created anew for as long as it takes, with pauses") {
  Script script;
  script.starvedAttempts = 3;
  script.failedAllocations = static_cast<int>(programs::RestartBudget::maxRestarts) + 1;
  core::Milliseconds const began = programs::now();
  CHECK(programs::runNode<ScriptedNode>(application(), 100000, &script) == 7);
  CHECK(script.created == static_cast<int>(programs::RestartBudget::maxRestarts) + 2);
  CHECK(script.destroyed == script.created);
  // 100 + 200 + 400 + 800 + 1600 + 3200 ms.
  CHECK(programs::now() - began >= 6300);
}

TEST_CASE("pauses for want of memory grow up to a bound, and are short again after a calm") {
  programs::MemoryPause pause;
  core::Milliseconds at = 1000;
  CHECK(pause.next(at) == programs::MemoryPause::shortest);
  CHECK(pause.next(at) == 2 * programs::MemoryPause::shortest);
  for (int i = 0; i < 10; ++i) pause.next(at);
  CHECK(pause.next(at) == programs::MemoryPause::longest);
  at += programs::MemoryPause::calmAfter + 1;
  CHECK(pause.next(at) == programs::MemoryPause::shortest);
}

TEST_CASE("restarts that lie longer apart than the window are not bounded") {
  programs::RestartBudget budget;
  core::Milliseconds at = 1;
  for (int i = 0; i < 100; ++i, at += programs::RestartBudget::window / programs::RestartBudget::maxRestarts + 1)
    CHECK(budget.take(at));
  std::size_t taken = 0;
  for (std::size_t i = 0; i < 10; ++i) taken += budget.take(at + 1000000) ? 1 : 0;
  CHECK(taken == programs::RestartBudget::maxRestarts);
}
