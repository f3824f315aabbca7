#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/dataplane/request.h>

namespace corkward::dataplane {

/// What this router remembers of one request id.
struct RequestIdRecord {
  /// Time at which the id was last used. 0 if it was never used.
  Milliseconds lastSeenAt = 0;
  /// An attempt was sent to a replica, and the replica did not reply that it did not execute it.
  bool mayHaveRun = false;
  /// An attempt was sent to a replica, whatever the replica replied.
  bool reachedReplica = false;
  /// Highest attempt number in the queries of other routers for this id.
  std::uint64_t claimedByAttempt = 0;
  /// Call of this router that is processing a request with this id. 0 if there is none.
  CallId activeCall = 0;
  /// Router processes that queried this id for an attempt without a number.
  std::vector<std::string> claimants;
};

/// Key of the request's id in the table. Ids are unique within an instance, so the key contains both.
std::string requestIdKey(Request const& request);

/// The request ids that this router remembers, so that no request is executed twice. The table also knows since when
/// it is complete, that is, since when no id that was used has been forgotten.
class RequestIdTable {
 public:
  /// Starts the table. Ids that were used before `now` are unknown.
  void start(Milliseconds now) { completeSince_ = now; }
  /// Whether every id that was used at or after `since` is still in the table.
  bool remembersSince(Milliseconds since) const { return completeSince_ <= since; }
  /// Time in milliseconds for which the table is complete.
  Milliseconds memorySpan(Milliseconds now) const { return now - completeSince_; }

  /// Marks the id as used now. Returns its record, which is created if it does not exist.
  RequestIdRecord& use(Milliseconds now, std::string const& key);
  /// Returns nullptr if the id is not in the table.
  RequestIdRecord const* find(std::string const& key) const;
  /// Records that the replica did not execute the request with this id.
  void setNotExecuted(std::string const& key) { records_[key].mayHaveRun = false; }
  /// Records that the call ended. Does nothing unless the call is the active one of the id.
  void endCall(Milliseconds now, std::string const& key, CallId call);
  /// Removes a draining process from the claimants of all ids that were not executed.
  void removeClaimant(std::string const& processName);
  /// Removes the ids that were not used within the retention time, and the oldest ones beyond the maximum number.
  void expire(Milliseconds now, Milliseconds retention, std::size_t maxRecords);

  /// Ids whose request may have been executed or is being processed.
  std::vector<std::string> executableIds() const;
  std::size_t size() const { return records_.size(); }

 private:
  std::unordered_map<std::string, RequestIdRecord> records_;
  /// Keys with the time at which they were added or last examined for expiry, oldest first.
  std::deque<std::pair<Milliseconds, std::string>> order_;
  /// Not earlier than the last use of any id that was removed.
  Milliseconds completeSince_ = 0;
};

}  // namespace corkward::dataplane
