#pragma once

#include <QObject>
#include <functional>

#include <corkward/core/types.h>

namespace corkward::programs {

/// Monotonic milliseconds that count suspension.
core::Tick now();

/// A seed for reducers and fresh names, from the system.
std::uint64_t freshSeed();

/// A name that is never used again: 32 hexadecimal digits.
std::string freshName();

/// Keeps SIGHUP from ending the process while it starts: one that comes before onReload is told then. To be called
/// first of all.
void holdReloads();

/// Calls the function on the owner's thread when SIGHUP arrives.
void onReload(QObject* owner, std::function<void()> const& function);

/// Calls the function on the owner's thread when SIGTERM or SIGINT arrives.
void onTermination(QObject* owner, std::function<void()> const& function);

}  // namespace corkward::programs
