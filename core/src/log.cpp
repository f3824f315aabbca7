#include <corkward/core/log.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/loglog.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <exception>
#include <string_view>

#include "events.h"
#include "standard_error_writer.h"

namespace corkward::core {

namespace {

constexpr std::array<LogLevel, 5> logLevels{LogLevel::trace, LogLevel::debug, LogLevel::info, LogLevel::warn,
                                            LogLevel::error};

log4cxx::LoggerPtr& logger() {
  static log4cxx::LoggerPtr it = log4cxx::Logger::getLogger("corkward");
  return it;
}

log4cxx::AppenderPtr standardErrorAppender(log4cxx::LayoutPtr const& layout) {
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
  appender->setWriter(std::make_shared<StandardErrorWriter>());
  return appender;
}

std::string quoted(std::string const& text) {
  bool plain = !text.empty();
  for (char const c : text) plain = plain && c > ' ' && c != '"' && c != '=' && c != 0x7f;
  if (plain) return text;
  std::string out = "\"";
  for (char const c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) ? ' ' : c;
  }
  return out + "\"";
}

std::string lineOf(LogEvent const& logEvent) {
  std::string line = "event=" + quoted(std::string(logEvent.event.logName()));
  for (auto const& [name, value] : logEvent.fields) line += " " + name + "=" + quoted(value);
  return line;
}

/// Lines that could not be written since the last one that was.
std::atomic<std::uint64_t> droppedLines{0};

void append(log4cxx::LevelPtr const& level, std::string const& line) {
  LOG4CXX_LOG(logger(), level, line);
}

/// Writes the number of lines that were dropped, if there are any.
void reportDropped() {
  std::uint64_t const dropped = droppedLines;
  if (dropped == 0) return;
  append(log4cxx::Level::getWarn(), lineOf(LogEvent{events::logLinesDropped, {{"count", std::to_string(dropped)}}}));
  droppedLines -= dropped;
}

/// Writes the event. A line that cannot be written, as on a full disk or to a full pipe, is dropped and counted, since
/// a process must not fail for its log.
void write(log4cxx::LevelPtr const& level, LogEvent const& logEvent) {
  if (!logger()->isEnabledFor(level)) return;
  try {
    append(level, lineOf(logEvent));
  } catch (std::exception const&) {
    ++droppedLines;
    return;
  }
  try {
    reportDropped();
  } catch (std::exception const&) {
    // Reported after a later line.
    return;
  }
}

}  // namespace

std::string_view name(LogLevel level) {
  switch (level) {
    case LogLevel::trace:
      return "trace";
    case LogLevel::debug:
      return "debug";
    case LogLevel::info:
      return "info";
    case LogLevel::warn:
      return "warn";
    case LogLevel::error:
      return "error";
  }
  return "";
}

std::optional<LogLevel> logLevelOf(std::string_view text) {
  for (LogLevel const level : logLevels)
    if (name(level) == text) return level;
  return std::nullopt;
}

void startLog(std::string const& node, std::string const& file, LogLevel level) {
  // The library would write its own errors to standard error, and wait for room there.
  log4cxx::helpers::LogLog::setQuietMode(true);
  log4cxx::LayoutPtr const layout(
      new log4cxx::PatternLayout("time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p node=" + node + " %m%n"));
  log4cxx::AppenderPtr const appender =
      file.empty() ? standardErrorAppender(layout) : std::make_shared<log4cxx::FileAppender>(layout, file, true);
  logger()->removeAllAppenders();
  logger()->setAdditivity(false);
  logger()->addAppender(appender);
  logger()->setLevel(log4cxx::Level::toLevel(std::string(name(level))));
}

void writeLog(LogEvent const& logEvent) {
  write(log4cxx::Level::getInfo(), logEvent);
}

void writeWarning(LogEvent const& logEvent) {
  write(log4cxx::Level::getWarn(), logEvent);
}

void writeError(LogEvent const& logEvent) {
  write(log4cxx::Level::getError(), logEvent);
}

}  // namespace corkward::core
