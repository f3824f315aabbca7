#include "pause.h"

#include <QEventLoop>
#include <QTimer>

namespace corkward::programs {

void pause(int ms) {
  QEventLoop loop;
  QTimer::singleShot(ms, &loop, &QEventLoop::quit);
  loop.exec();
}

}  // namespace corkward::programs
