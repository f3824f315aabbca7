#pragma once

/// Log events of the controller, and events that it only counts on the metrics page. The metric labels are part of the
/// metrics page's format.

#include <corkward/core/log_event.h>

namespace corkward::control::events {

/// A value is known to be on a majority of the disks.
inline constexpr core::EventName committed{"committed"};
/// An operator's change was answered.
inline constexpr core::EventName changeCompleted{"change"};
/// An operator's read failed.
inline constexpr core::EventName readFailed{"read-failed"};
/// An order is not carried out, because its caller left before it was seen waiting.
inline constexpr core::EventName orderAbandoned{"order-abandoned"};
/// A roster is proposed.
inline constexpr core::EventName rosterProposed{"roster"};

// Events that are counted and not logged.
inline constexpr char const* configurationPushed = "news_pushed";
inline constexpr char const* removalHintAccepted = "leaving_hint";
inline constexpr char const* endpointListUnreadable = "unreadable_list";
/// Prefix of a metric label; the reply's status follows.
inline constexpr char const* callAnswered = "answered_";

}  // namespace corkward::control::events
