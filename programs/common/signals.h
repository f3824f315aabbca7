#pragma once

#include <QObject>
#include <functional>

namespace corkward::programs {

/// Prevents SIGHUP from ending the process while it starts. A SIGHUP that arrives before onReload is called is
/// delivered to the handler once onReload has installed it. Must be the first call in main.
void deferReloads();

/// Calls the handler on the owner's thread when SIGHUP arrives.
void onReload(QObject* owner, std::function<void()> const& handler);

/// Calls the handler on the owner's thread when SIGTERM or SIGINT arrives; SIGPIPE is ignored from this call on.
void onTermination(QObject* owner, std::function<void()> const& handler);

}  // namespace corkward::programs
