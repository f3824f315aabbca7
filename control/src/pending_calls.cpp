#include <corkward/control/pending_calls.h>

#include <corkward/core/types.h>

namespace corkward::control {

namespace {

/// Returns the id of the first call of this run, drawn at random from 2^52 values. Forwarded calls and their replies
/// carry the id. A reply to a call of an earlier run of this process must not match a call of this run.
std::uint64_t firstId(std::uint64_t seed) {
  constexpr std::uint64_t streamOfIds = 0x9b;
  constexpr int unusedBits = 12;
  return (core::RandomGenerator(seed ^ streamOfIds).next() >> unusedBits) + 1;
}

}  // namespace

PendingCalls::PendingCalls(std::uint64_t seed) : nextId_(firstId(seed)) {}

PendingCall* PendingCalls::find(std::uint64_t id) {
  auto const it = calls_.find(id);
  return it == calls_.end() ? nullptr : &it->second;
}

std::optional<std::uint64_t> PendingCalls::idOfOperatorCall(std::uint64_t token) const {
  for (auto const& [id, call] : calls_)
    if (call.isFromOperator() && call.token == token) return id;
  return std::nullopt;
}

std::uint64_t PendingCalls::add(PendingCall call) {
  std::uint64_t const id = nextId_++;
  call.call.token = id;
  calls_[id] = std::move(call);
  return id;
}

std::optional<PendingCall> PendingCalls::remove(std::uint64_t id) {
  auto const it = calls_.find(id);
  if (it == calls_.end()) return std::nullopt;
  PendingCall call = std::move(it->second);
  calls_.erase(it);
  return call;
}

std::vector<std::uint64_t> PendingCalls::olderThan(Milliseconds now, Milliseconds age) const {
  std::vector<std::uint64_t> ids;
  for (auto const& [id, call] : calls_)
    if (now - call.since > age) ids.push_back(id);
  return ids;
}

}  // namespace corkward::control
