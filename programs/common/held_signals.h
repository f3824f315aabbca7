#pragma once

#include <csignal>

/// The signals that holdSignals() blocks or ignores. The launcher includes this header alone, so that it needs no
/// library but the C library and its first instruction runs within a millisecond of its start.
namespace corkward::programs {

/// Signals that stay pending until their handlers are installed.
inline constexpr int blockedSignals[] = {SIGHUP, SIGTERM, SIGINT};

/// Signals that no daemon uses and whose default action ends a process. A write to a closed connection (SIGPIPE) and
/// one beyond the limit on the size of files (SIGXFSZ) then fail with an error, which their callers handle. Real-time
/// signals are ignored as well.
inline constexpr int ignoredSignals[] = {SIGPIPE, SIGXFSZ, SIGXCPU, SIGUSR1,   SIGUSR2,
                                         SIGALRM, SIGPROF, SIGPOLL, SIGVTALRM, SIGPWR};

/// Blocks and ignores the signals above.
inline void blockAndIgnoreSignals() {
  sigset_t blocked;
  sigemptyset(&blocked);
  for (int const number : blockedSignals) sigaddset(&blocked, number);
  sigprocmask(SIG_BLOCK, &blocked, nullptr);
  for (int const number : ignoredSignals) signal(number, SIG_IGN);
  for (int number = SIGRTMIN; number <= SIGRTMAX; ++number) signal(number, SIG_IGN);
}

}  // namespace corkward::programs
