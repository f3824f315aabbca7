#pragma once

#include <QObject>
#include <functional>
#include <string>

namespace corkward::programs {

/// Checks whether a process has certainly exited: its machine refuses the connection because no process listens at the
/// address. A timeout, another error or an accepted connection proves nothing and is ignored.
/// @param address ip:port of the process's link
/// @param refused called on the owner's thread if the connection is refused
void probeProcess(QObject* owner, std::string const& address, std::function<void()> refused);

}  // namespace corkward::programs
