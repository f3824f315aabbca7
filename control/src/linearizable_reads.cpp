#include <corkward/control/linearizable_reads.h>

#include <utility>

namespace corkward::control {

std::vector<LinearizableReads::Completed> LinearizableReads::takeCompleted(Milliseconds now,
                                                                           QuorumContact const& quorumContact,
                                                                           bool draining) {
  std::vector<Completed> completed;
  std::vector<Read> waiting;
  for (Read& read : reads_) {
    bool const confirmed = !draining && confirmedSince(quorumContact, read.since);
    bool const expired = draining || now - read.since > timeout_;
    if (confirmed || expired)
      completed.push_back(Completed{std::move(read.call), confirmed});
    else
      waiting.push_back(std::move(read));
  }
  reads_ = std::move(waiting);
  return completed;
}

}  // namespace corkward::control
