#pragma once

#include <QCoreApplication>
#include <exception>

#include "process_descriptors.h"

namespace corkward::programs {

/// The application object of a daemon. An exception that an event handler throws ends the event loop, and no further
/// event reaches the objects of the daemon, whose state may be inconsistent. Qt itself does not support exceptions that
/// pass through its event loop.
class DaemonApplication final : public QCoreApplication {
 public:
  using QCoreApplication::QCoreApplication;

  /// Runs the event loop until it is told to exit. Throws the exception of an event handler.
  /// @return the exit code
  int runEventLoop();
  bool notify(QObject* receiver, QEvent* event) override;

 private:
  /// Exception of the event handler that ended the event loop.
  std::exception_ptr fault_;
  DescriptorLimitGuard descriptorLimitGuard_;
};

}  // namespace corkward::programs
