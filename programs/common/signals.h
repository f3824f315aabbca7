#pragma once

#include <QObject>
#include <functional>

namespace corkward::programs {

/// Keeps SIGHUP from ending the process while it starts. A signal that arrives before onReload is delivered to its
/// handler later. To be called before anything else in main.
void deferReloads();

/// Calls the handler on the owner's thread when SIGHUP arrives.
void onReload(QObject* owner, std::function<void()> const& handler);

/// Calls the handler on the owner's thread when SIGTERM or SIGINT arrives; SIGPIPE is ignored from here on.
void onTermination(QObject* owner, std::function<void()> const& handler);

}  // namespace corkward::programs
