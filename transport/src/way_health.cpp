#include <corkward/transport/way_health.h>

#include <algorithm>

namespace corkward::transport {

bool expectsAnswer(Message const& message) {
  if (Touch const* const touch = std::get_if<Touch>(&message)) return !touch->echo;
  if (Shuffle const* const shuffle = std::get_if<Shuffle>(&message)) return shuffle->reply;
  return std::holds_alternative<Ask>(message) || std::holds_alternative<Heartbeat>(message);
}

void WayHealth::dialled(core::Tick now) {
  dialledAt_ = now;
  unansweredSince_ = -1;
  unansweredBytes_ = 0;
  connectsThen_ = 0;
}

void WayHealth::sent(core::Tick now, bool expectsAnswer, std::size_t bytes) {
  unansweredBytes_ += bytes;
  if (expectsAnswer && unansweredSince_ < 0) unansweredSince_ = now;
}

bool WayHealth::owesAnswer(core::Tick now) const {
  core::Tick const forBytes = static_cast<core::Tick>(unansweredBytes_ / slowestBytesPerMs);
  return unansweredSince_ >= 0 && now - unansweredSince_ > silenceLimit + forBytes;
}

bool WayHealth::staleAtSend(core::Tick now, bool connected) const {
  return connected ? owesAnswer(now) : now - dialledAt_ > silenceLimit;
}

bool WayHealth::staleAtHeard(core::Tick now, bool connected, int connects, std::uint64_t run, std::uint32_t pipe) {
  bool const otherRun = run_ != 0 && run_ != run && connects == connectsThen_;
  bool const peerDialledAnew = pipe_ != 0 && pipe_ != pipe && run_ == run && now - dialledAt_ > silenceLimit;
  bool const owed = owesAnswer(now);
  pipe_ = pipe;
  unansweredSince_ = -1;
  unansweredBytes_ = 0;
  bool const sound = connected && !otherRun && !peerDialledAnew && !owed;
  if (sound) {
    run_ = run;
    connectsThen_ = connects;
    patience_ = heardPatience;
    return false;
  }
  if (now - dialledAt_ <= patience_) return false;
  run_ = run;
  patience_ = std::min(2 * patience_, silenceLimit);
  return true;
}

}  // namespace corkward::transport
