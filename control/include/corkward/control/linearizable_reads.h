#pragma once

#include <cstddef>
#include <vector>

#include <corkward/control/committed_values.h>
#include <corkward/transport/operator_messages.h>

namespace corkward::control {

/// Reads that this controller answers from what is committed here, once a contact with a majority that began after the
/// read arrived confirms that it is current (Raft's ReadIndex, with the heartbeats that go out anyway).
class LinearizableReads {
 public:
  struct Read {
    transport::OperatorCall call;
    Milliseconds since = 0;
  };
  /// A read that is to be answered now.
  struct Completed {
    transport::OperatorCall call;
    /// False: no majority confirmed it in time.
    bool confirmed = false;
  };

  /// @param timeout how long a read waits for its confirmation, in milliseconds
  explicit LinearizableReads(Milliseconds timeout) : timeout_(timeout) {}

  bool isFull() const { return reads_.size() >= maxReads; }
  std::size_t size() const { return reads_.size(); }
  void add(Milliseconds now, transport::OperatorCall const& call) { reads_.push_back(Read{call, now}); }
  /// Takes out the reads that are confirmed or have waited too long, in the order of their arrival.
  /// @param draining none can be confirmed any more
  std::vector<Completed> takeCompleted(Milliseconds now, QuorumContact const& quorumContact, bool draining);

  static constexpr std::size_t maxReads = 4096;

 private:
  Milliseconds timeout_;
  std::vector<Read> reads_;
};

}  // namespace corkward::control
