#pragma once

#include <map>
#include <string>
#include <string_view>

namespace corkward::core {

/// Name of a structured event. Each package declares its events once, as constants in its `events.h`;
/// docs/operations.md lists them all with their fields.
class EventName {
 public:
  /// @param name how the event is called in logs, and the label under which metrics pages count it
  constexpr EventName(char const* name = "") : logName_(name), metricLabel_(name) {}
  /// @param metricLabel label of earlier releases: dashboards select by it, so it stays when the log's name changes
  constexpr EventName(char const* logName, char const* metricLabel) : logName_(logName), metricLabel_(metricLabel) {}

  constexpr std::string_view logName() const { return logName_; }
  constexpr std::string_view metricLabel() const { return metricLabel_; }
  constexpr bool operator==(EventName const&) const = default;

 private:
  std::string_view logName_;
  std::string_view metricLabel_;
};

/// One line of a log: an event and its key=value pairs.
struct LogEvent {
  EventName event;
  std::map<std::string, std::string> fields = {};
};

}  // namespace corkward::core
