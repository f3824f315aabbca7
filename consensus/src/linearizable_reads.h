#pragma once

/// Reads of one key that wait until a majority confirms the owner, as in Raft's ReadIndex (Ongaro's dissertation,
/// section 6.4).

#include <QJsonObject>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// A read that the validator has evaluated and that the owner has not answered yet.
struct PendingRead {
  std::uint64_t token = 0;
  Milliseconds startedAt = 0;
  int status = 0;
  QJsonObject body;
  /// Ids of the members that confirmed the ownership after the read began, including the owner itself.
  std::set<std::string> confirmedBy;
};

/// Pending reads of one key at its owner. The owner may have lost the key without knowing it. It therefore answers a
/// read only once a majority has replied to heartbeats that were sent after the read began, without reporting a higher
/// promised ballot.
class LinearizableReads {
 public:
  void add(PendingRead read) { pending_.push_back(std::move(read)); }
  /// Records that the member has confirmed the ownership by its reply to the heartbeat sent at `heartbeatSentAt`.
  /// Appends to `completed` the reads that a majority has now confirmed and, as failures, those that have timed out.
  void confirm(std::string const& key, std::string const& memberId, Milliseconds heartbeatSentAt,
               Membership const& membership, Milliseconds timeout, Milliseconds now,
               std::vector<CallCompleted>& completed);
  /// Appends a failure for every pending read, because the ownership was lost.
  void abort(std::string const& key, std::vector<CallCompleted>& completed);

  bool empty() const { return pending_.empty(); }
  std::size_t size() const { return pending_.size(); }
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// In order of arrival. Empty unless this member owns the key.
  std::vector<PendingRead> pending_;
};

}  // namespace corkward::consensus
