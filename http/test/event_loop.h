#pragma once

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QTimer>

namespace corkward::http::test {

/// Creates the process's only QCoreApplication, which the event loop needs, if it does not exist yet.
inline void ensureApplication() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
}

/// Runs the event loop until the condition holds. Returns false if it does not hold within 10 seconds.
template <class Condition>
bool waitUntil(Condition condition) {
  constexpr int timeoutMs = 10000;
  /// Interval at which the condition is checked even if no other event occurs.
  constexpr int pollIntervalMs = 10;
  QDeadlineTimer const deadline(timeoutMs);
  QTimer pollTimer;
  pollTimer.start(pollIntervalMs);
  while (!condition()) {
    if (deadline.hasExpired()) return false;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents);
  }
  return true;
}

}  // namespace corkward::http::test
