#pragma once

/// Reads of one key that wait for confirmation, as in Raft's ReadIndex (Ongaro's dissertation, section 6.4).

#include <QJsonObject>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// A read that the owner has evaluated and not yet answered.
struct PendingRead {
  std::uint64_t token = 0;
  Milliseconds startedAt = 0;
  int status = 0;
  QJsonObject body;
  /// Ids of the members that confirmed the ownership after the read began, the owner included.
  std::set<std::string> confirmedBy;
};

/// An owner may have lost the key without knowing. It answers a read once a majority has replied to a heartbeat that
/// was sent after the read began and has not promised a higher ballot by then.
class LinearizableReads {
 public:
  void add(PendingRead read) { pending_.push_back(std::move(read)); }
  /// The member has confirmed the ownership by its reply to a heartbeat of `heartbeatSentAt`. Appends the answers of
  /// reads that a majority has confirmed, and of those that have timed out.
  void confirm(std::string const& key, std::string const& memberId, Milliseconds heartbeatSentAt,
               Membership const& membership, Milliseconds timeout, Milliseconds now,
               std::vector<CallCompleted>& completed);
  /// Ownership was lost: appends a failure for every pending read.
  void abort(std::string const& key, std::vector<CallCompleted>& completed);

  bool empty() const { return pending_.empty(); }
  std::size_t size() const { return pending_.size(); }
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// In order of arrival; empty unless this member owns the key.
  std::vector<PendingRead> pending_;
};

}  // namespace corkward::consensus
