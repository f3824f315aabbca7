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

/// An operator call that has no reply yet.
struct PendingCall {
  /// Link of the controller that forwarded the call. Empty if the call arrived at this process's HTTP server or is this
  /// controller's own.
  std::string from;
  /// The token that its sender gave the call, or 0 if the call is this controller's own.
  std::uint64_t token = 0;
  std::string key;
  /// The call, with its id at this controller as token. Replies of the key's owner carry this id.
  transport::OperatorCall call;
  Milliseconds since = 0;
  /// When the call was last sent to the key's owner.
  Milliseconds sentAt = 0;
  /// True while the call waits for a reply of the key's owner.
  bool forwarded = false;
  /// Revision that was committed for the call's target at this controller when the call arrived, or 0 if there was
  /// none.
  std::uint64_t revisionAtArrival = 0;
  /// The call is carried out only while its caller waits; see order_confirmation.h.
  bool needsCaller = false;
  /// Reservation of the key's owner with which the call is to be sent once its caller is confirmed, or 0.
  std::uint64_t reservation = 0;

  /// Returns true if the call arrived from an operator at this process's own HTTP server.
  bool isFromOperator() const { return from.empty() && token != 0; }
};

/// The calls that have no reply yet, by ids that no earlier run of this process used.
class PendingCalls {
 public:
  explicit PendingCalls(std::uint64_t seed);

  bool isFull() const { return calls_.size() >= maxCalls; }
  std::size_t size() const { return calls_.size(); }
  std::map<std::uint64_t, PendingCall> const& all() const { return calls_; }
  /// Returns the call, or null if there is none with this id.
  PendingCall* find(std::uint64_t id);
  /// Returns the id of the call that arrived with this token at this process's own HTTP server, or std::nullopt.
  std::optional<std::uint64_t> idOfOperatorCall(std::uint64_t token) const;
  /// Adds a call and returns its new id, which becomes the call's token.
  std::uint64_t add(PendingCall call);
  /// Removes and returns the call, or returns std::nullopt if there is none with this id.
  std::optional<PendingCall> remove(std::uint64_t id);

  /// Returns the ids of the calls that have been waiting for longer than `age`.
  std::vector<std::uint64_t> olderThan(Milliseconds now, Milliseconds age) const;

  static constexpr std::size_t maxCalls = 4096;

 private:
  std::uint64_t nextId_;
  std::map<std::uint64_t, PendingCall> calls_;
};

}  // namespace corkward::control
