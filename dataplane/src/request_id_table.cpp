#include <algorithm>

#include <corkward/dataplane/request_id_table.h>

namespace corkward::dataplane {

std::string requestIdKey(Request const& request) {
  return request.instance + "|" + request.id;
}

RequestIdRecord& RequestIdTable::use(Milliseconds now, std::string const& key) {
  RequestIdRecord& record = records_[key];
  if (record.lastSeenAt == 0) order_.emplace_back(now, key);
  record.lastSeenAt = now;
  return record;
}

RequestIdRecord const* RequestIdTable::find(std::string const& key) const {
  auto const record = records_.find(key);
  return record == records_.end() ? nullptr : &record->second;
}

void RequestIdTable::endCall(Milliseconds now, std::string const& key, CallId call) {
  auto const record = records_.find(key);
  if (record == records_.end() || record->second.activeCall != call) return;
  record->second.activeCall = 0;
  record->second.lastSeenAt = now;
}

void RequestIdTable::removeClaimant(std::string const& processName) {
  for (auto& [key, record] : records_)
    if (!record.mayHaveRun) std::erase(record.claimants, processName);
}

void RequestIdTable::expire(Milliseconds now, Milliseconds retention, std::size_t maxRecords) {
  while (!order_.empty() && (now - order_.front().first > retention || records_.size() > maxRecords)) {
    std::string const key = std::move(order_.front().second);
    order_.pop_front();
    auto const record = records_.find(key);
    if (record == records_.end()) continue;
    Milliseconds const lastSeenAt = record->second.lastSeenAt;
    if (now - lastSeenAt <= retention && records_.size() <= maxRecords) {
      order_.emplace_back(lastSeenAt, key);
    } else {
      completeSince_ = std::max(completeSince_, lastSeenAt);
      records_.erase(record);
    }
  }
}

std::vector<std::string> RequestIdTable::executableIds() const {
  std::vector<std::string> ids;
  for (auto const& [key, record] : records_)
    if (record.mayHaveRun || record.activeCall != 0) ids.push_back(key);
  return ids;
}

}  // namespace corkward::dataplane
