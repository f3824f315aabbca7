#pragma once

#include <map>
#include <string>
#include <string_view>

namespace corkward::core {

/// Name of a structured event. Each package declares its events once, as constants in its `events.h`;
/// docs/operations.md lists them all with their fields.
class EventName {
 public:
  /// @param name name of the event in logs, and its label in metrics
  constexpr EventName(char const* name = "") : logName_(name), metricLabel_(name) {}
  /// @param logName name of the event in logs
  /// @param metricLabel its label in metrics. Dashboards select by the label of earlier releases, so it must not change
  ///   when the name in logs changes.
  constexpr EventName(char const* logName, char const* metricLabel) : logName_(logName), metricLabel_(metricLabel) {}

  constexpr std::string_view logName() const { return logName_; }
  constexpr std::string_view metricLabel() const { return metricLabel_; }
  constexpr bool operator==(EventName const&) const = default;

 private:
  std::string_view logName_;
  std::string_view metricLabel_;
};

/// An event with its fields, which is one line of the log.
struct LogEvent {
  EventName event;
  std::map<std::string, std::string> fields = {};
};

}  // namespace corkward::core
