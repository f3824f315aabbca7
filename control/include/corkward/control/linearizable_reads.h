#pragma once

#include <cstddef>
#include <vector>

#include <corkward/control/committed_values.h>
#include <corkward/transport/operator_messages.h>

namespace corkward::control {

/// Reads that this controller answers from its committed values. A read waits until a contact with a majority of the
/// disks that began after its arrival confirms that the values are current. This is Raft's ReadIndex; it uses the
/// regular heartbeats and sends no messages of its own.
class LinearizableReads {
 public:
  struct Read {
    transport::OperatorCall call;
    Milliseconds since = 0;
  };
  /// A read that can be answered now.
  struct Completed {
    transport::OperatorCall call;
    /// False if no majority confirmed the read in time.
    bool confirmed = false;
  };

  /// @param timeout longest wait of a read for its confirmation, in milliseconds
  explicit LinearizableReads(Milliseconds timeout) : timeout_(timeout) {}

  bool isFull() const { return reads_.size() >= maxReads; }
  std::size_t size() const { return reads_.size(); }
  void add(Milliseconds now, transport::OperatorCall const& call) { reads_.push_back(Read{call, now}); }
  /// Removes and returns the reads that are confirmed or have timed out, in the order of their arrival.
  /// @param draining true if the controller drains; then all reads complete as not confirmed
  std::vector<Completed> takeCompleted(Milliseconds now, QuorumContact const& quorumContact, bool draining);

  static constexpr std::size_t maxReads = 4096;

 private:
  Milliseconds timeout_;
  std::vector<Read> reads_;
};

}  // namespace corkward::control
