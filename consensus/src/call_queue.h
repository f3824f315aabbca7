#pragma once

/// Calls on one key that this member has not evaluated yet.

#include <deque>
#include <optional>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// Calls in order of arrival, with the time of their submission.
class CallQueue {
 public:
  void push(transport::OperatorCall call, Milliseconds now);
  /// The oldest call, which is removed; nothing when the queue is empty.
  std::optional<transport::OperatorCall> pop();
  /// Calls that have waited for longer than the timeout, which are removed.
  std::vector<transport::OperatorCall> takeExpired(Milliseconds timeout, Milliseconds now);
  /// All calls, which are removed.
  std::vector<transport::OperatorCall> takeAll();

  bool empty() const { return queued_.empty(); }
  void addTo(Fingerprint& fingerprint) const;

 private:
  struct QueuedCall {
    transport::OperatorCall call;
    Milliseconds submittedAt = 0;
  };

  std::deque<QueuedCall> queued_;
};

}  // namespace corkward::consensus
