#include "memory_arbiter.h"

#include <algorithm>

namespace corkward::http {

namespace {

/// Interval in which the progress of connections is judged while memory is short.
constexpr int intervalMs = 100;
/// Time after which holders give way to an account that is exceeded.
constexpr int reliefMs = 5;

}  // namespace

MemoryArbiter::MemoryArbiter(QObject* context, core::MemoryAccount& account, Connections const& connections)
    : account_(account), connections_(connections) {
  reliefTimer_.setSingleShot(true);
  QObject::connect(&timer_, &QTimer::timeout, context, [this] { onTimer(); });
  QObject::connect(&reliefTimer_, &QTimer::timeout, context, [this] { relieve(); });
  account_.addExceededHandler(this, [this] { onExceeded(); });
  account_.addReclaimer(this, [this](std::uint64_t bytes) { shedIncomplete(bytes); });
}

MemoryArbiter::~MemoryArbiter() {
  account_.removeReclaimer(this);
  account_.removeExceededHandler(this);
}

bool MemoryArbiter::reserve(ServerConnection& connection, MemoryRequest const& wanted) {
  Queue& queue = queueOf(wanted.size);
  dropFinished(queue);
  if (queue.empty() && account_.hasRoomFor(wanted.bytes, wanted.size)) return true;
  if (!account_.hasRoomFor(0)) {
    ++shedCount_;
    connection.shed();
    return false;
  }
  queue.push_back({connection.weak_from_this(), wanted});
  if (!timer_.isActive()) timer_.start(intervalMs);
  return false;
}

bool MemoryArbiter::admit(std::uint64_t bytes, core::HoldingSize size) {
  if (account_.hasRoomFor(bytes, size)) return true;
  std::uint64_t const bound = account_.boundOf(size);
  if (bytes <= bound) shedIncomplete(account_.used() + bytes - bound);
  bool const admitted = account_.reclaim(bytes, size);
  if (!admitted) ++shedCount_;
  return admitted;
}

void MemoryArbiter::relieve() {
  if (!account_.isExceeded()) return;
  shedIncomplete(account_.used() - account_.boundOf(core::HoldingSize::small));
  account_.reclaim(0, core::HoldingSize::small);
  if (account_.isExceeded() && !timer_.isActive()) timer_.start(0);
}

void MemoryArbiter::shedIncomplete(std::uint64_t bytes) {
  std::vector<Candidate> const all = incomplete();
  shed(all, costliestHoldings(holdingsOf(all), bytes));
}

void MemoryArbiter::onExceeded() {
  if (!reliefTimer_.isActive()) reliefTimer_.start(reliefMs);
}

void MemoryArbiter::onTimer() {
  watch();
  grantWaiting();
  if (hasWaiting()) shedStalled();
  if (account_.isExceeded()) shedExcess();
  grantWaiting();
  bool const isShort = hasWaiting() || account_.isExceeded();
  if (isShort) {
    timer_.start(intervalMs);
    return;
  }
  timer_.stop();
  watched_.clear();
}

void MemoryArbiter::dropFinished(Queue& queue) {
  std::erase_if(queue, [](Waiting const& waiting) {
    std::shared_ptr<ServerConnection> const connection = waiting.connection.lock();
    return !connection || !connection->waitsForMemory();
  });
}

void MemoryArbiter::grantWaiting() {
  grantWaiting(waitingSmall_);
  grantWaiting(waitingLarge_);
}

void MemoryArbiter::grantWaiting(Queue& queue) {
  dropFinished(queue);
  while (!queue.empty() && account_.hasRoomFor(queue.front().wanted.bytes, queue.front().wanted.size)) {
    Waiting const next = queue.front();
    queue.pop_front();
    std::shared_ptr<ServerConnection> const connection = next.connection.lock();
    if (!connection) continue;
    connection->grantMemory(next.wanted);
    connection->resumeReading();
  }
}

bool MemoryArbiter::isNext(ServerConnection const& connection) const {
  auto const isFront = [&connection](Queue const& queue) {
    return !queue.empty() && queue.front().connection.lock().get() == &connection;
  };
  return isFront(waitingSmall_) || isFront(waitingLarge_);
}

std::uint64_t MemoryArbiter::waitingBytes() const {
  std::uint64_t bytes = 0;
  for (Waiting const& waiting : waitingSmall_) bytes += waiting.wanted.bytes;
  for (Waiting const& waiting : waitingLarge_) bytes += waiting.wanted.bytes;
  return bytes;
}

void MemoryArbiter::watch() {
  std::unordered_map<ServerConnection const*, Watched> next;
  for (auto const& [key, connection] : connections_) {
    std::uint64_t const moved = connection->takeMovedBytes();
    if (!connection->mayShed() || isNext(*connection)) continue;
    auto const found = watched_.find(key);
    Watched const before = found == watched_.end() ? Watched{} : found->second;
    next[key] = {before.recentBytes / 2 + moved, before.intervals + 1};
  }
  watched_ = std::move(next);
}

MemoryArbiter::Candidate MemoryArbiter::candidateOf(std::shared_ptr<ServerConnection> const& connection) const {
  auto const found = watched_.find(connection.get());
  Watched const watched = found == watched_.end() ? Watched{} : found->second;
  std::uint64_t const recentBytes = watched.recentBytes + connection->movedBytes();
  return {connection, {connection->requestBytes(), recentBytes, watched.intervals}};
}

std::vector<MemoryArbiter::Candidate> MemoryArbiter::candidates() const {
  std::vector<Candidate> out;
  for (auto const& [key, watched] : watched_) {
    auto const found = connections_.find(key);
    if (found == connections_.end() || !found->second->mayShed() || isNext(*found->second)) continue;
    out.push_back(candidateOf(found->second));
  }
  return out;
}

std::vector<MemoryArbiter::Candidate> MemoryArbiter::incomplete() const {
  std::vector<Candidate> out;
  for (auto const& [key, connection] : connections_)
    if (connection->mayShed() && !connection->hasRequest() && !connection->hasBufferedBytes())
      out.push_back(candidateOf(connection));
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
