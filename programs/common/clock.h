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

/// Calls the function on the owner's thread when SIGHUP arrives.
void onReload(QObject* owner, std::function<void()> const& function);

/// Calls the function on the owner's thread when SIGTERM or SIGINT arrives.
void onTermination(QObject* owner, std::function<void()> const& function);

}  // namespace corkward::programs
