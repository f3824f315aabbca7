#pragma once

/// Heartbeats: when this member sends them, what they report, and how it handles the heartbeats of others.

#include <string>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class EventContext;

/// Sends heartbeats to the members. While this machine has no state, it also sends them to the founders. While it is
/// not a member or has no quorum, it also sends them to the discovery peers.
class Heartbeats {
 public:
  /// Sends heartbeats if they are due.
  void onTimer(EventContext& context);
  void onHeartbeat(EventContext& context, std::string const& from, transport::Heartbeat const& heartbeat);
  void onReply(EventContext& context, transport::HeartbeatReply const& reply);

  /// Sends the next heartbeats with the first timer event at or after the time.
  void scheduleAt(Milliseconds time) { nextAt_ = time; }
  /// Sends the next heartbeats with the next timer event.
  void scheduleNow() { scheduleAt(0); }
  /// Schedules heartbeats for a read that was started at `now`. The read is confirmed by replies to heartbeats that are
  /// sent after `now`.
  void readStarted(Milliseconds now);
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// Returns a heartbeat with this member's state, but without its owned keys.
  static transport::Heartbeat stateHeartbeat(EventContext const& context);
  void sendAll(EventContext& context);
  void updateAnnouncedKeys(transport::Heartbeat& heartbeat);
  static transport::HeartbeatReply replyTo(EventContext& context, transport::Heartbeat const& heartbeat);

  Milliseconds nextAt_ = 0;
  /// When the latest read was started. Heartbeats that were sent in that millisecond may have been sent before the
  /// read, so replies to them do not confirm it. The next heartbeats are therefore sent one millisecond later.
  Milliseconds newestReadAt_ = -1;
  /// Digest of the owned keys that the last heartbeats reported.
  transport::Digest announcedKeys_;
  /// Number of further heartbeats that list all owned keys instead of only their digest.
  int fullKeyListsLeft_ = 0;
};

}  // namespace corkward::consensus
