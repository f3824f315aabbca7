#include <catch2/catch.hpp>

#include <corkward/core/log.h>

namespace core = corkward::core;
using core::LogLevel;

TEST_CASE("the name of each log level is parsed to the same level, and other names are rejected") {
  for (LogLevel const level : {LogLevel::trace, LogLevel::debug, LogLevel::info, LogLevel::warn, LogLevel::error})
    CHECK(core::logLevelOf(core::name(level)) == level);
  for (char const* const text : {"", "INFO", "fatal", "information"}) CHECK_FALSE(core::logLevelOf(text));
}
