#include "signals.h"

#include <QSocketNotifier>
#include <csignal>
#include <initializer_list>
#include <unistd.h>

namespace corkward::programs {

namespace {

/// Self-pipe of a signal handler: the handler writes a byte and the event loop reads it. The pipe belongs to the most
/// recent owner of the handler. Each owner closes only the descriptors that it acquired.
struct SignalPipe {
  int readEnd = -1;
  int writeEnd = -1;
  /// Whether an owner reads from the pipe.
  bool owned = false;
};

SignalPipe terminationPipe;
SignalPipe reloadPipe;

void handleSignal(int number) {
  char const byte = 1;
  ssize_t const written = ::write(number == SIGHUP ? reloadPipe.writeEnd : terminationPipe.writeEnd, &byte, 1);
  static_cast<void>(written);
}

/// Installs a handler that writes the signals to the pipe. An existing pipe without an owner is reused, so that the
/// signals buffered in it are delivered. Returns false if no pipe can be created.
bool routeSignals(SignalPipe& pipe, std::initializer_list<int> numbers) {
  bool const unclaimed = pipe.readEnd >= 0 && !pipe.owned;
  if (!unclaimed) {
    int ends[2] = {-1, -1};
    if (::pipe(ends) != 0) return false;
    pipe.readEnd = ends[0];
    pipe.writeEnd = ends[1];
  }
  pipe.owned = false;
  struct sigaction action {};
  action.sa_handler = handleSignal;
  for (int const number : numbers) ::sigaction(number, &action, nullptr);
  return true;
}

void onSignals(QObject* owner, SignalPipe& pipe, std::initializer_list<int> numbers,
               std::function<void()> const& handler) {
  if (!routeSignals(pipe, numbers)) return;
  pipe.owned = true;
  int const readEnd = pipe.readEnd;
  int const writeEnd = pipe.writeEnd;
  auto* const notifier = new QSocketNotifier(readEnd, QSocketNotifier::Read, owner);
  QObject::connect(notifier, &QSocketNotifier::activated, owner, [handler, readEnd] {
    char byte = 0;
    ssize_t const received = ::read(readEnd, &byte, 1);
    if (received == 1) handler();
  });
  // The descriptors are closed after the notifier, which is the owner's child, has stopped watching them.
  SignalPipe* const current = &pipe;
  QObject::connect(notifier, &QObject::destroyed, [readEnd, writeEnd, current] {
    if (current->writeEnd == writeEnd) *current = SignalPipe();
    ::close(readEnd);
    ::close(writeEnd);
  });
}

}  // namespace

void deferReloads() {
  routeSignals(reloadPipe, {SIGHUP});
}

void onReload(QObject* owner, std::function<void()> const& handler) {
  onSignals(owner, reloadPipe, {SIGHUP}, handler);
}

void onTermination(QObject* owner, std::function<void()> const& handler) {
  ::signal(SIGPIPE, SIG_IGN);
  onSignals(owner, terminationPipe, {SIGTERM, SIGINT}, handler);
}

}  // namespace corkward::programs
