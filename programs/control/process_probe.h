#pragma once

#include <QObject>
#include <functional>
#include <string>

namespace corkward::programs {

/// Checks whether a process is gone for certain: its machine answers and rejects the connection, since nothing listens
/// there. A time-out or another error says nothing, and neither does a connection that is accepted.
/// @param address ip:port of the process's link
/// @param refused called on the owner's thread when the connection is refused, else never
void probeProcess(QObject* owner, std::string const& address, std::function<void()> refused);

}  // namespace corkward::programs
