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

/// Where a signal's handler notes that it came. It belongs to the newest owner; each owner closes its own ends alone.
struct SignalPipe {
  int ends[2] = {-1, -1};
  /// An owner reads from it already.
  bool owned = false;
};

SignalPipe endPipe;
SignalPipe reloadPipe;

void caught(int number) {
  char const byte = 1;
  ssize_t const n = ::write(number == SIGHUP ? reloadPipe.ends[1] : endPipe.ends[1], &byte, 1);
  static_cast<void>(n);
}

/// Notes the signals in the pipe from here on. One that nobody owns yet stays, with what waits in it.
bool catchSignals(SignalPipe& pipe, std::initializer_list<int> numbers) {
  bool const waiting = pipe.ends[0] >= 0 && !pipe.owned;
  if (!waiting && ::pipe(pipe.ends) != 0) return false;
  pipe.owned = false;
  struct sigaction action {};
  action.sa_handler = caught;
  for (int const number : numbers) ::sigaction(number, &action, nullptr);
  return true;
}

void onSignals(QObject* owner, SignalPipe& pipe, std::initializer_list<int> numbers,
               std::function<void()> const& function) {
  if (!catchSignals(pipe, numbers)) return;
  pipe.owned = true;
  int const readEnd = pipe.ends[0];
  int const writeEnd = pipe.ends[1];
  QSocketNotifier* const notifier = new QSocketNotifier(readEnd, QSocketNotifier::Read, owner);
  QObject::connect(notifier, &QSocketNotifier::activated, owner, [function, readEnd] {
    char byte = 0;
    ssize_t const n = ::read(readEnd, &byte, 1);
    if (n == 1) function();
  });
  // Not before the notifier is gone, which is the owner's child.
  SignalPipe* const named = &pipe;
  QObject::connect(notifier, &QObject::destroyed, [readEnd, writeEnd, named] {
    if (named->ends[1] == writeEnd) *named = SignalPipe();
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
