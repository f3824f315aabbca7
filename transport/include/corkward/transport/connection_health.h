#pragma once

#include <cstddef>
#include <cstdint>

#include <corkward/transport/message.h>

namespace corkward::transport {

/// Returns true for messages that a live receiver replies to at once. If such a reply does not come, the network path
/// is broken.
bool expectsReply(Message const& message);

/// Decides whether the connection that this process dialled to a peer still carries messages, or must be closed and
/// dialled again. TCP alone does not suffice: its retransmission timer doubles with every loss, so after an
/// interruption it may send nothing for as long again as the interruption lasted. A dial that does not connect, and a
/// connection with an overdue reply, are therefore given up after about a second; a new dial starts with a new timer.
/// Pure: the caller reports each event with its time, in milliseconds of one monotonic clock.
class ConnectionHealth {
 public:
  /// Milliseconds after which a dial that has not connected, or a connection on which a reply is missing, is replaced
  /// by a new dial.
  static constexpr core::Milliseconds responseTimeout = 1000;
  /// When a message from the peer arrives, the peer is reachable, so a dial that hangs is repeated sooner: first after
  /// this many milliseconds, then after twice as long each time, up to responseTimeout.
  static constexpr core::Milliseconds firstRedialTimeout = 300;
  /// Lowest assumed throughput, in bytes per millisecond. The time that the sent bytes need at this rate is added to
  /// responseTimeout, so that a long message on a slow network does not time out because of its length.
  static constexpr std::size_t slowestBytesPerMs = 500;

  /// Notes that a dial begins.
  void dialled(core::Milliseconds now);
  /// Notes that a message is sent on the connection.
  /// @param wantsReply whether the peer replies to it at once (expectsReply)
  void sent(core::Milliseconds now, bool wantsReply, std::size_t bytes);
  /// Returns true if the connection must be dialled again before the next message is sent.
  /// @param connected whether the dial is connected now
  bool staleOnSend(core::Milliseconds now, bool connected) const;
  /// Notes that a message of the peer arrived. Returns true if our connection must be dialled again: because it does
  /// not reach this run of the peer's process, because a reply was overdue, or because the peer has given up its own
  /// connection and dialled again, which shows that the path was broken for our connection as well.
  /// @param connected whether our dial is connected now
  /// @param connects how often our dial has connected
  /// @param run identifies the run of the peer's process
  /// @param pipe identifies the peer's own connection, over which the message arrived
  bool staleOnReceive(core::Milliseconds now, bool connected, int connects, std::uint64_t run, std::uint32_t pipe);

 private:
  /// Returns true if a reply has been missing for longer than allowed.
  bool responseOverdue(core::Milliseconds now) const;

  core::Milliseconds dialledAt_ = 0;
  core::Milliseconds redialTimeout_ = firstRedialTimeout;
  /// When the oldest message was sent whose reply is missing; -1 if no reply is missing.
  core::Milliseconds unansweredSince_ = -1;
  /// Bytes sent since the last message of the peer arrived.
  std::size_t unansweredBytes_ = 0;
  /// Run of the peer's process, number of connects of our dial, and pipe of the peer, all as of the peer's last
  /// message.
  std::uint64_t run_ = 0;
  int lastConnects_ = 0;
  std::uint32_t pipe_ = 0;
};

}  // namespace corkward::transport
