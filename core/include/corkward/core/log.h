#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <corkward/core/types.h>

namespace corkward::core {

/// Severity of a logged event. Events below the configured level are not logged.
enum class LogLevel { trace, debug, info, warn, error };

/// Returns the name of the level in settings.
std::string_view name(LogLevel level);
/// Returns the level with this name, or std::nullopt if there is none.
std::optional<LogLevel> logLevelOf(std::string_view text);

/// Configures log4cxx to write each event as one line of key=value pairs.
/// @param node name of this process, which each line contains
/// @param file path of the log file, or empty for standard error
/// @param level lowest level of the events that are logged
void startLog(std::string const& node, std::string const& file, LogLevel level);

/// Logs an event at the level info.
void writeLog(LogEvent const& logEvent);
/// Logs an event at the level warn. Used when a request of a caller or operator failed.
void writeWarning(LogEvent const& logEvent);
/// Logs an event at the level error. Used when a guarantee was violated.
void writeError(LogEvent const& logEvent);

}  // namespace corkward::core
