#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/operator_messages.h>

namespace corkward::control {

using core::Milliseconds;

/// A call that has no reply yet.
struct PendingCall {
  /// Controller that forwarded it here; empty: it came in at this process's HTTP edge, or is its own.
  std::string from;
  /// The caller's token; 0: the call is this controller's own.
  std::uint64_t token = 0;
  std::string key;
  /// Its token is the call's id here, by which replies and outcomes come back.
  transport::OperatorCall call;
  Milliseconds since = 0;
  /// When it was last sent to the key's owner.
  Milliseconds sentAt = 0;
  /// It waits for a reply of the key's owner.
  bool forwarded = false;
  /// Revision that a read of the page would have shown when the call arrived, by what was committed here; 0: none.
  std::uint64_t revisionAtArrival = 0;

  /// True for a call of an operator at this process's own HTTP edge.
  bool isFromOperator() const { return from.empty() && token != 0; }
};

/// The calls that wait for their reply here, by ids that no earlier run of this process used.
class PendingCalls {
 public:
  explicit PendingCalls(std::uint64_t seed);

  bool isFull() const { return calls_.size() >= maxCalls; }
  std::size_t size() const { return calls_.size(); }
  std::map<std::uint64_t, PendingCall> const& all() const { return calls_; }
  /// The call, or null.
  PendingCall* find(std::uint64_t id);
  /// Takes a call in under a new id, which becomes the call's token.
  std::uint64_t add(PendingCall call);
  /// Takes a call out; nothing: there is none of that id.
  std::optional<PendingCall> remove(std::uint64_t id);

  /// Calls that have been waiting for longer than this.
  std::vector<std::uint64_t> olderThan(Milliseconds now, Milliseconds age) const;

  static constexpr std::size_t maxCalls = 4096;

 private:
  std::uint64_t nextId_;
  std::map<std::uint64_t, PendingCall> calls_;
};

}  // namespace corkward::control
