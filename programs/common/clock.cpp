#include "clock.h"

#include <QSocketNotifier>
#include <QUuid>
#include <csignal>
#include <ctime>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace corkward::programs {

namespace {

int signalPipe[2] = {-1, -1};

void caught(int) {
  char const byte = 1;
  ssize_t const n = ::write(signalPipe[1], &byte, 1);
  static_cast<void>(n);
}

}  // namespace

core::Tick now() {
  timespec ts{};
  ::clock_gettime(CLOCK_BOOTTIME, &ts);
  return static_cast<core::Tick>(ts.tv_sec) * 1000 + ts.tv_nsec / 1000000;
}

std::uint64_t freshSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string freshName() { return QUuid::createUuid().toString(QUuid::Id128).toStdString(); }

void onTermination(QObject* owner, std::function<void()> function) {
  if (::pipe(signalPipe) != 0) return;
  struct sigaction action {};
  action.sa_handler = caught;
  ::sigaction(SIGTERM, &action, nullptr);
  ::sigaction(SIGINT, &action, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  QSocketNotifier* const notifier = new QSocketNotifier(signalPipe[0], QSocketNotifier::Read, owner);
  QObject::connect(notifier, &QSocketNotifier::activated, owner, [function] {
    char byte = 0;
    ssize_t const n = ::read(signalPipe[0], &byte, 1);
    if (n == 1) function();
  });
}

}  // namespace corkward::programs
