#pragma once

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QTimer>

namespace corkward::http::test {

inline void application() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
}

/// Turns the event loop until the condition holds; false when it never does.
template <class Condition>
bool until(Condition condition) {
  constexpr int patienceMs = 10000;
  constexpr int turnMs = 10;
  QDeadlineTimer const patience(patienceMs);
  QTimer turn;
  turn.start(turnMs);
  while (!condition()) {
    if (patience.hasExpired()) return false;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents);
  }
  return true;
}

}  // namespace corkward::http::test
