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
  /// Newest time at which the id was used; 0: never yet.
  Milliseconds lastSeenAt = 0;
  /// An attempt was sent to a replica and not answered "not executed".
  bool mayHaveRun = false;
  /// An attempt was sent to a replica, whatever it answered.
  bool reachedReplica = false;
  /// Highest numbered attempt that another router asked about.
  std::uint64_t claimedByAttempt = 0;
  /// Call of this router that has the id in hand; 0: none.
  CallId activeCall = 0;
  /// Processes that asked about attempts without a number.
  std::vector<std::string> claimants;
};

/// Key of a request's id: unique within its instance.
std::string requestIdKey(Request const& request);

/// The request ids that this router remembers, so that no request runs twice, and from when on that memory has no gap.
class RequestIdTable {
 public:
  /// Nothing that came before is remembered.
  void start(Milliseconds now) { memoryFrom_ = now; }
  /// Every id that was used from then on is still remembered.
  bool remembersSince(Milliseconds since) const { return memoryFrom_ <= since; }
  /// How far back the memory reaches, in milliseconds.
  Milliseconds memorySpan(Milliseconds now) const { return now - memoryFrom_; }

  /// Record of an id that is used now; made when there is none.
  RequestIdRecord& use(Milliseconds now, std::string const& key);
  /// Nothing when the id is not remembered.
  RequestIdRecord const* find(std::string const& key) const;
  /// The replica that had the id's request did not run it.
  void setNotExecuted(std::string const& key) { records_[key].mayHaveRun = false; }
  /// The call that may have the id in hand ended.
  void endCall(Milliseconds now, std::string const& key, CallId call);
  /// A process that drains is no claimant any more of ids that did not run.
  void removeClaimant(std::string const& processName);
  /// Forgets what was not used within the retention time, and the oldest beyond the maximum.
  void expire(Milliseconds now, Milliseconds retention, std::size_t maxRecords);

  /// Ids that may have run or are in hand.
  std::vector<std::string> executableIds() const;
  std::size_t size() const { return records_.size(); }

 private:
  std::unordered_map<std::string, RequestIdRecord> records_;
  /// Records by the time at which they were made or last looked at for expiry, oldest first.
  std::deque<std::pair<Milliseconds, std::string>> order_;
  /// Not older than the last use of any id that was forgotten.
  Milliseconds memoryFrom_ = 0;
};

}  // namespace corkward::dataplane
