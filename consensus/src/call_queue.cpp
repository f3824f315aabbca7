#include "call_queue.h"

#include <utility>

namespace corkward::consensus {

void CallQueue::push(transport::OperatorCall call, Milliseconds now, std::optional<std::uint64_t> ballot) {
  queued_.push_back(QueuedCall{std::move(call), now, ballot});
}

std::optional<transport::OperatorCall> CallQueue::pop() {
  if (queued_.empty()) return std::nullopt;
  transport::OperatorCall call = std::move(queued_.front().call);
  queued_.pop_front();
  return call;
}

std::vector<transport::OperatorCall> CallQueue::takeExpired(Milliseconds timeout, Milliseconds now) {
  std::vector<transport::OperatorCall> expired;
  while (!queued_.empty() && now - queued_.front().submittedAt > timeout) expired.push_back(*pop());
  return expired;
}

std::vector<transport::OperatorCall> CallQueue::takeOutdated(std::uint64_t ballot) {
  std::vector<transport::OperatorCall> outdated;
  std::erase_if(queued_, [&](QueuedCall& queued) {
    bool const isOutdated = queued.ballot && *queued.ballot != ballot;
    if (isOutdated) outdated.push_back(std::move(queued.call));
    return isOutdated;
  });
  return outdated;
}

void CallQueue::cancel(std::uint64_t token) {
  std::erase_if(queued_, [&](QueuedCall const& queued) { return queued.call.token == token; });
}

std::vector<transport::OperatorCall> CallQueue::takeAll() {
  std::vector<transport::OperatorCall> calls;
  while (!queued_.empty()) calls.push_back(*pop());
  return calls;
}

void CallQueue::addTo(Fingerprint& fingerprint) const {
  for (auto const& queued : queued_) fingerprint.add(queued.call.token);
}

}  // namespace corkward::consensus
