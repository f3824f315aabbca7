#include <corkward/transport/connection_health.h>

#include <algorithm>

namespace corkward::transport {

bool expectsReply(Message const& message) {
  if (PeerHeartbeat const* const heartbeat = std::get_if<PeerHeartbeat>(&message)) return !heartbeat->isReply;
  if (GossipShuffle const* const shuffle = std::get_if<GossipShuffle>(&message)) return shuffle->reply;
  return std::holds_alternative<ServingLeaseRequest>(message) || std::holds_alternative<Heartbeat>(message);
}

void ConnectionHealth::dialled(core::Milliseconds now) {
  dialledAt_ = now;
  unansweredSince_ = -1;
  unansweredBytes_ = 0;
  lastConnects_ = 0;
}

void ConnectionHealth::sent(core::Milliseconds now, bool wantsReply, std::size_t bytes) {
  unansweredBytes_ += bytes;
  if (wantsReply && unansweredSince_ < 0) unansweredSince_ = now;
}

bool ConnectionHealth::responseOverdue(core::Milliseconds now) const {
  auto const transferTime = static_cast<core::Milliseconds>(unansweredBytes_ / slowestBytesPerMs);
  return unansweredSince_ >= 0 && now - unansweredSince_ > responseTimeout + transferTime;
}

bool ConnectionHealth::staleOnSend(core::Milliseconds now, bool connected) const {
  return connected ? responseOverdue(now) : now - dialledAt_ > responseTimeout;
}

bool ConnectionHealth::staleOnReceive(core::Milliseconds now, bool connected, int connects, std::uint64_t run,
                                      std::uint32_t pipe) {
  bool const otherRun = run_ != 0 && run_ != run && connects == lastConnects_;
  bool const peerRedialled = pipe_ != 0 && pipe_ != pipe && run_ == run && now - dialledAt_ > responseTimeout;
  bool const replyOverdue = responseOverdue(now);
  pipe_ = pipe;
  unansweredSince_ = -1;
  unansweredBytes_ = 0;
  bool const healthy = connected && !otherRun && !peerRedialled && !replyOverdue;
  if (healthy) {
    run_ = run;
    lastConnects_ = connects;
    redialTimeout_ = firstRedialTimeout;
    return false;
  }
  if (now - dialledAt_ <= redialTimeout_) return false;
  run_ = run;
  redialTimeout_ = std::min(2 * redialTimeout_, responseTimeout);
  return true;
}

}  // namespace corkward::transport
