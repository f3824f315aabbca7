#pragma once

#include <string>

#include <corkward/core/types.h>

namespace corkward::core {

/// Sets log4cxx up: one key=value line per event to standard error or a file. Throws core::Error on an unknown level.
void startLog(std::string const& node, std::string const& file, std::string const& level);

/// Writes one event as a key=value line, at the level info.
void writeLog(LogEvent const& logEvent);
/// The same at the level warn: a caller or operator was failed.
void writeWarning(LogEvent const& logEvent);
/// The same at the level error: a promise was broken.
void writeError(LogEvent const& logEvent);

}  // namespace corkward::core
