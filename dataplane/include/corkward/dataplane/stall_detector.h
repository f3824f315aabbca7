#pragma once

#include <corkward/core/types.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// Detects that a queue's requests are rejected for lack of capacity although nothing of the queue is in flight and a
/// replica could be used. Whatever lowers the capacity must let a request through now and then, since only a response
/// can show that the replicas have recovered.
class StallDetector {
 public:
  /// Requests may be rejected in this way for so long, in milliseconds, before one has to be sent.
  static constexpr Milliseconds limit = 3000;

  /// Records that a request was rejected for lack of capacity.
  /// @param couldBeSent whether nothing of the queue was in flight and a replica could be used
  /// @return true if no request was sent for longer than the limit; at most once per limit
  bool onRejected(Milliseconds now, bool couldBeSent);
  /// Records that a request was sent to a replica.
  void onSent() { since_ = notStalled; }

 private:
  static constexpr Milliseconds notStalled = -1;
  /// Time of the first of the consecutive rejections.
  Milliseconds since_ = notStalled;
};

}  // namespace corkward::dataplane
