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

int endPipe[2] = {-1, -1};
int reloadPipe[2] = {-1, -1};

void caught(int number) {
  char const byte = 1;
  ssize_t const n = ::write(number == SIGHUP ? reloadPipe[1] : endPipe[1], &byte, 1);
  static_cast<void>(n);
}

/// Notes the signals in the pipe from here on; a pipe that is there already stays, with what waits in it.
bool catchSignals(int (&ends)[2], std::initializer_list<int> numbers) {
  if (ends[0] < 0 && ::pipe(ends) != 0) return false;
  struct sigaction action {};
  action.sa_handler = caught;
  for (int const number : numbers) ::sigaction(number, &action, nullptr);
  return true;
}

void onSignals(QObject* owner, int (&ends)[2], std::initializer_list<int> numbers,
               std::function<void()> const& function) {
  if (!catchSignals(ends, numbers)) return;
  QSocketNotifier* const notifier = new QSocketNotifier(ends[0], QSocketNotifier::Read, owner);
  int const readEnd = ends[0];
  QObject::connect(notifier, &QSocketNotifier::activated, owner, [function, readEnd] {
    char byte = 0;
    ssize_t const n = ::read(readEnd, &byte, 1);
    if (n == 1) function();
  });
  // Not before the notifier is gone, which is the owner's child.
  int const writeEnd = ends[1];
  int* const named = ends;
  QObject::connect(notifier, &QObject::destroyed, [readEnd, writeEnd, named] {
    if (named[1] == writeEnd) named[0] = named[1] = -1;
    ::close(readEnd);
    ::close(writeEnd);
  });
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

std::string freshName() {
  return QUuid::createUuid().toString(QUuid::Id128).toStdString();
}

void holdReloads() {
  catchSignals(reloadPipe, {SIGHUP});
}

void onReload(QObject* owner, std::function<void()> const& function) {
  onSignals(owner, reloadPipe, {SIGHUP}, function);
}

void onTermination(QObject* owner, std::function<void()> const& function) {
  ::signal(SIGPIPE, SIG_IGN);
  onSignals(owner, endPipe, {SIGTERM, SIGINT}, function);
}

}  // namespace corkward::programs
