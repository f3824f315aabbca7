#pragma once

#include <QObject>
#include <chrono>
#include <functional>

namespace corkward::programs {

/// Handles the signals that the process can receive before their handlers are installed. SIGHUP, SIGTERM and SIGINT are
/// blocked: they stay pending until onReload or onTermination installs their handler. Signals that a daemon does not
/// use, but whose default action ends a process, are ignored. Must be the first call in main, before any thread is
/// started. A signal that arrives earlier, while the dynamic loader runs, still has its default action.
void holdSignals();

/// Waits until SIGTERM or SIGINT arrives while they are blocked, at most for the given time. Returns true if one of
/// them arrived; it is taken and not delivered to a handler.
bool waitForTermination(std::chrono::milliseconds limit);

/// Calls the handler on the owner's thread when SIGHUP arrives, also for one that was held. Throws core::Error if no
/// handler can be installed.
void onReload(QObject* owner, std::function<void()> const& handler);

/// Calls the handler on the owner's thread when SIGTERM or SIGINT arrives, also for one that was held; SIGPIPE is
/// ignored from this call on. Throws core::Error if no handler can be installed.
void onTermination(QObject* owner, std::function<void()> const& handler);

}  // namespace corkward::programs
