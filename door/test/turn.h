#pragma once

#include <QCoreApplication>
#include <QEventLoop>

namespace corkward::door::test {

inline void application() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
}

/// Turns the event loop until the condition holds; false when it never does.
template <class Condition>
bool until(Condition condition) {
  for (int turns = 0; turns < 200000; ++turns) {
    if (condition()) return true;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 50);
  }
  return false;
}

}  // namespace corkward::door::test
