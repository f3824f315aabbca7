#include "signals.h"

#include <QSocketNotifier>
#include <array>
#include <cerrno>
#include <csignal>
#include <ctime>
#include <fcntl.h>
#include <unistd.h>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::programs {

namespace {

/// Self-pipe of a signal handler: the handler writes a byte and the event loop reads it. The pipe belongs to the most
/// recent owner of the handler. Each owner closes only the descriptors that it acquired.
struct SignalPipe {
  int readEnd = -1;
  int writeEnd = -1;
};

std::vector<int> const terminationSignals{SIGTERM, SIGINT};

/// Signals that no daemon uses and whose default action ends a process. A write to a closed connection (SIGPIPE) and
/// one beyond the limit on the size of files (SIGXFSZ) then fail with an error, which their callers handle.
constexpr std::array<int, 10> ignoredSignals{SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR1,   SIGUSR2,
                                             SIGALRM, SIGPROF, SIGPOLL, SIGVTALRM, SIGPWR};

SignalPipe terminationPipe;
SignalPipe reloadPipe;

/// Writes to the pipe of the signal. A full pipe means that the event loop will run the handler in any case.
void handleSignal(int number) {
  int const savedError = errno;
  char const byte = 1;
  ssize_t const written = ::write(number == SIGHUP ? reloadPipe.writeEnd : terminationPipe.writeEnd, &byte, 1);
  static_cast<void>(written);
  errno = savedError;
}

sigset_t setOf(std::vector<int> const& numbers) {
  sigset_t signals;
  sigemptyset(&signals);
  for (int const number : numbers) sigaddset(&signals, number);
  return signals;
}

/// Blocks or unblocks the signals for the calling thread.
void changeMask(int how, std::vector<int> const& numbers) {
  sigset_t const signals = setOf(numbers);
  ::pthread_sigmask(how, &signals, nullptr);
}

/// Installs a handler that writes the signals to a new pipe, and unblocks them.
void routeSignals(SignalPipe& pipe, std::vector<int> const& numbers) {
  int ends[2] = {-1, -1};
  if (::pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) throw core::Error("cannot create the pipe of a signal handler");
  pipe.readEnd = ends[0];
  pipe.writeEnd = ends[1];
  struct sigaction action {};
  action.sa_handler = handleSignal;
  action.sa_flags = SA_RESTART;
  for (int const number : numbers) ::sigaction(number, &action, nullptr);
  changeMask(SIG_UNBLOCK, numbers);
}

void onSignals(QObject* owner, SignalPipe& pipe, std::vector<int> const& numbers,
               std::function<void()> const& handler) {
  routeSignals(pipe, numbers);
  int const readEnd = pipe.readEnd;
  int const writeEnd = pipe.writeEnd;
  auto* const notifier = new QSocketNotifier(readEnd, QSocketNotifier::Read, owner);
  QObject::connect(notifier, &QSocketNotifier::activated, owner, [handler, readEnd] {
    char byte = 0;
    ssize_t const received = ::read(readEnd, &byte, 1);
    if (received == 1) handler();
  });
  // The descriptors are closed after the notifier, which is the owner's child, has stopped watching them. Signals that
  // arrive while there is no owner are held for the next one.
  SignalPipe* const current = &pipe;
  QObject::connect(notifier, &QObject::destroyed, [readEnd, writeEnd, current, numbers] {
    if (current->writeEnd == writeEnd) {
      changeMask(SIG_BLOCK, numbers);
      *current = SignalPipe();
    }
    ::close(readEnd);
    ::close(writeEnd);
  });
}

}  // namespace

void holdSignals() {
  changeMask(SIG_BLOCK, {SIGHUP, SIGTERM, SIGINT});
  for (int const number : ignoredSignals) ::signal(number, SIG_IGN);
  for (int number = SIGRTMIN; number <= SIGRTMAX; ++number) ::signal(number, SIG_IGN);
}

bool waitForTermination(std::chrono::milliseconds limit) {
  sigset_t const signals = setOf(terminationSignals);
  auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
  timespec const timeout{seconds.count(), std::chrono::nanoseconds(limit - seconds).count()};
  return ::sigtimedwait(&signals, nullptr, &timeout) > 0;
}

void onReload(QObject* owner, std::function<void()> const& handler) {
  onSignals(owner, reloadPipe, {SIGHUP}, handler);
}

void onTermination(QObject* owner, std::function<void()> const& handler) {
  ::signal(SIGPIPE, SIG_IGN);
  onSignals(owner, terminationPipe, terminationSignals, handler);
}

}  // namespace corkward::programs
