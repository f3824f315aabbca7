#pragma once

#include <string>

#include <corkward/core/types.h>

namespace corkward::core {

/// Sets log4cxx up: one key=value line per event to standard error or a file. Throws core::Error on an unknown level.
void startLog(std::string const& node, std::string const& file, std::string const& level);

/// Writes one note as a key=value line.
void writeLog(LogEvent const& logEvent);

}  // namespace corkward::core
