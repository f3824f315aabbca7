#pragma once

#include <cstddef>
#include <cstdint>

#include <corkward/transport/message.h>

namespace corkward::transport {

/// True for messages that a live receiver answers at once, so that silence after one says that the path is broken.
bool expectsReply(Message const& message);

/// Judges whether the connection that a process dialled to a peer still carries anything, and when it must be closed
/// and dialled anew. TCP itself would wait for its own retransmission timer, which doubles with every loss: after a cut
/// of some length it may stay silent for as long again. A dial, and a connection that owes an answer, therefore live
/// for about a second; a new dial starts with a fresh timer. Pure: the caller says what happened and when, in
/// milliseconds of one monotonic clock.
class ConnectionHealth {
 public:
  /// A dial that has not connected after this long is made anew, and so is a connection that owes an answer so long.
  static constexpr core::Milliseconds responseTimeout = 1000;
  /// A peer that was just heard can be reached, so a dial to it that hangs is made anew sooner, each next one later.
  static constexpr core::Milliseconds firstRedialTimeout = 300;
  /// A connection that owes an answer is given this much time beyond the limit for what was sent on it, in bytes per
  /// millisecond, so that a long message over a slow link is not cut off by its own length.
  static constexpr std::size_t slowestBytesPerMs = 500;

  /// A dial begins.
  void dialled(core::Milliseconds now);
  /// A message is handed to the connection.
  void sent(core::Milliseconds now, bool expectsAnswer, std::size_t bytes);
  /// True when a dial must be made anew before the next message is sent.
  bool staleOnSend(core::Milliseconds now, bool connected) const;
  /// A message of the peer arrived, from the named run of its process, over the peer's own connection `pipe`.
  /// `connects` counts how often our dial has connected, `connected` says whether it is so now. True when our dial must
  /// be made anew: it does not reach that run, it owed an answer for too long, or the peer has given up its own
  /// connection and dialled anew, which says that the path was broken for ours as well.
  bool staleOnReceive(core::Milliseconds now, bool connected, int connects, std::uint64_t run, std::uint32_t pipe);

 private:
  bool responseOverdue(core::Milliseconds now) const;

  core::Milliseconds dialledAt_ = 0;
  core::Milliseconds redialTimeout_ = firstRedialTimeout;
  /// When the oldest message was sent that wants an answer and has none; below zero: none is owed.
  core::Milliseconds unansweredSince_ = -1;
  std::size_t unansweredBytes_ = 0;
  /// Run of the peer's process that was last heard, how often the dial had connected by then, and over which pipe.
  std::uint64_t run_ = 0;
  int connectsThen_ = 0;
  std::uint32_t pipe_ = 0;
};

}  // namespace corkward::transport
