#pragma once

/// The queue of the calls on one key that the validator has not evaluated yet.

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// Holds calls in order of arrival, with the time of their submission.
class CallQueue {
 public:
  /// @param ballot number of the ballot under which alone the call may be evaluated, or std::nullopt if it may be
  ///   evaluated under any
  void push(transport::OperatorCall call, Milliseconds now, std::optional<std::uint64_t> ballot = std::nullopt);
  /// Removes and returns the oldest call. Returns std::nullopt if the queue is empty.
  std::optional<transport::OperatorCall> pop();
  /// Removes and returns the calls that have waited for longer than the timeout.
  std::vector<transport::OperatorCall> takeExpired(Milliseconds timeout, Milliseconds now);
  /// Removes and returns the calls that may be evaluated only under another ballot than this one.
  std::vector<transport::OperatorCall> takeOutdated(std::uint64_t ballot);
  /// Removes the call with this token, if it is queued.
  void cancel(std::uint64_t token);
  /// Removes and returns all calls.
  std::vector<transport::OperatorCall> takeAll();

  bool empty() const { return queued_.empty(); }
  void addTo(Fingerprint& fingerprint) const;

 private:
  struct QueuedCall {
    transport::OperatorCall call;
    Milliseconds submittedAt = 0;
    std::optional<std::uint64_t> ballot;
  };

  std::deque<QueuedCall> queued_;
};

}  // namespace corkward::consensus
