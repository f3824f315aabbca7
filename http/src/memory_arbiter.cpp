#include "memory_arbiter.h"

#include <algorithm>

namespace corkward::http {

namespace {

/// Interval in which the progress of connections is judged while memory is short.
constexpr int intervalMs = 100;

}  // namespace

MemoryArbiter::MemoryArbiter(QObject* context, core::MemoryAccount& account, Connections const& connections)
    : account_(account), connections_(connections) {
  QObject::connect(&timer_, &QTimer::timeout, context, [this] { onTimer(); });
}

bool MemoryArbiter::reserve(ServerConnection& connection, std::uint64_t bytes) {
  dropFinishedWaiting();
  if (waiting_.empty() && account_.canReserve(bytes)) return true;
  if (!account_.hasRoomFor(0)) {
    ++shedCount_;
    connection.shed();
    return false;
  }
  waiting_.push_back({connection.weak_from_this(), bytes});
  if (!timer_.isActive()) timer_.start(intervalMs);
  return false;
}

void MemoryArbiter::onExceeded() {
  if (!timer_.isActive()) timer_.start(0);
}

void MemoryArbiter::onTimer() {
  watch();
  grantWaiting();
  if (!waiting_.empty()) shedStalled();
  if (account_.isExceeded()) shedExcess();
  grantWaiting();
  bool const isShort = !waiting_.empty() || account_.isExceeded();
  if (isShort) {
    timer_.start(intervalMs);
    return;
  }
  timer_.stop();
  watched_.clear();
}

void MemoryArbiter::dropFinishedWaiting() {
  std::erase_if(waiting_, [](Waiting const& waiting) {
    std::shared_ptr<ServerConnection> const connection = waiting.connection.lock();
    return !connection || !connection->waitsForMemory();
  });
}

void MemoryArbiter::grantWaiting() {
  dropFinishedWaiting();
  while (!waiting_.empty() && account_.canReserve(waiting_.front().bytes)) {
    Waiting const next = waiting_.front();
    waiting_.pop_front();
    if (std::shared_ptr<ServerConnection> const connection = next.connection.lock())
      connection->grantMemory(next.bytes);
  }
}

std::uint64_t MemoryArbiter::waitingBytes() const {
  std::uint64_t bytes = 0;
  for (Waiting const& waiting : waiting_) bytes += waiting.bytes;
  return bytes;
}

void MemoryArbiter::watch() {
  std::unordered_map<ServerConnection const*, Watched> next;
  for (auto const& [key, connection] : connections_) {
    std::uint64_t const moved = connection->takeMovedBytes();
    if (!connection->mayShed() || connection->waitsForMemory()) continue;
    auto const found = watched_.find(key);
    Watched const before = found == watched_.end() ? Watched{} : found->second;
    next[key] = {before.recentBytes / 2 + moved, before.intervals + 1};
  }
  watched_ = std::move(next);
}

std::vector<MemoryArbiter::Candidate> MemoryArbiter::candidates() const {
  std::vector<Candidate> out;
  for (auto const& [key, watched] : watched_) {
    auto const found = connections_.find(key);
    if (found == connections_.end() || !found->second->mayShed() || found->second->waitsForMemory()) continue;
    out.push_back({found->second, {found->second->chargedBytes(), watched.recentBytes, watched.intervals}});
  }
  return out;
}

std::vector<Holding> MemoryArbiter::holdingsOf(std::vector<Candidate> const& candidates) {
  std::vector<Holding> out;
  out.reserve(candidates.size());
  for (Candidate const& candidate : candidates) out.push_back(candidate.holding);
  return out;
}

void MemoryArbiter::shedStalled() {
  std::vector<Candidate> const all = candidates();
  shed(all, stalledHoldings(holdingsOf(all), waitingBytes()));
}

void MemoryArbiter::shedExcess() {
  std::vector<Candidate> const all = candidates();
  shed(all, costliestHoldings(holdingsOf(all), account_.used() - account_.limit()));
}

void MemoryArbiter::shed(std::vector<Candidate> const& candidates, std::vector<std::size_t> const& selected) {
  for (std::size_t const index : selected) {
    ++shedCount_;
    candidates[index].connection->shed();
  }
}

}  // namespace corkward::http
