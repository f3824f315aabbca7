#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <corkward/core/types.h>

namespace corkward::core {

/// Least level of the events that are logged.
enum class LogLevel { trace, debug, info, warn, error };

/// The level as settings write it.
std::string_view name(LogLevel level);
/// The level of a settings text; nothing for another text.
std::optional<LogLevel> logLevelOf(std::string_view text);

/// Sets log4cxx up: one key=value line per event.
/// @param node name of this process in each line
/// @param file path of the log file; empty: standard error
void startLog(std::string const& node, std::string const& file, LogLevel level);

/// Writes one event as a key=value line, at the level info.
void writeLog(LogEvent const& logEvent);
/// The same at the level warn: a request of a caller or operator failed.
void writeWarning(LogEvent const& logEvent);
/// The same at the level error: a runtime invariant was violated.
void writeError(LogEvent const& logEvent);

}  // namespace corkward::core
