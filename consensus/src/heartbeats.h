#pragma once

/// Heartbeats of this member: when they are sent, what they report, and what is done with those of others.

#include <string>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class EventContext;

/// Sends heartbeats to the members, and to others while this machine has no state or no quorum.
class Heartbeats {
 public:
  /// Sends heartbeats when they are due.
  void onTimer(EventContext& context);
  void onHeartbeat(EventContext& context, std::string const& from, transport::Heartbeat const& heartbeat);
  void onReply(EventContext& context, transport::HeartbeatReply const& reply);

  /// Sends the next heartbeats with the first timer event at or after the time.
  void scheduleAt(Milliseconds time) { nextAt_ = time; }
  /// Heartbeats go out with the next timer event.
  void scheduleNow() { scheduleAt(0); }
  /// A read waits for confirmation: it needs replies to heartbeats that are sent after `now`.
  void readStarted(Milliseconds now);
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// This member's state, without its keys.
  static transport::Heartbeat stateHeartbeat(EventContext const& context);
  void sendAll(EventContext& context);
  void updateAnnouncedKeys(transport::Heartbeat& heartbeat);
  static transport::HeartbeatReply replyTo(EventContext& context, transport::Heartbeat const& heartbeat);

  Milliseconds nextAt_ = 0;
  /// When a read was started last. Replies to heartbeats of that millisecond don't confirm it, since those may have
  /// been sent before it: the next heartbeats follow a millisecond later.
  Milliseconds newestReadAt_ = -1;
  /// Digest of the owned keys in the last heartbeats.
  transport::Digest announcedKeys_;
  /// How many more heartbeats list the owned keys in full.
  int fullListsLeft_ = 0;
};

}  // namespace corkward::consensus
