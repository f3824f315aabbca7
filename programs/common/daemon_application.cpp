#include "daemon_application.h"

#include <QEvent>
#include <utility>

namespace corkward::programs {

int DaemonApplication::runEventLoop() {
  int const code = exec();
  if (fault_) std::rethrow_exception(std::exchange(fault_, nullptr));
  return code;
}

bool DaemonApplication::notify(QObject* receiver, QEvent* event) {
  if (fault_ && event->type() != QEvent::DeferredDelete) return false;
  try {
    return QCoreApplication::notify(receiver, event);
  } catch (...) {
    fault_ = std::current_exception();
    exit();
    return false;
  }
}

}  // namespace corkward::programs
