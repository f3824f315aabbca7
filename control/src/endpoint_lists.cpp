#include <corkward/control/endpoint_lists.h>

#include <algorithm>

#include <corkward/core/json.h>

#include "json_fields.h"
#include "keys.h"
#include "paths.h"

namespace corkward::control {

namespace {

QJsonObject withoutGeneration(QJsonObject list) {
  list.remove(fields::generation);
  return list;
}

}  // namespace

transport::OperatorCall endpointListProposal(std::string const& pool, config::EndpointList const& list,
                                             std::uint64_t committedRevision) {
  transport::OperatorCall call;
  call.method = "PUT";
  call.path = std::string(paths::platformPools) + config::percentEncodeLabel(pool);
  call.ifMatch = std::to_string(committedRevision);
  call.body = core::jsonText(config::endpointListJson(list));
  return call;
}

transport::EndpointRemovalHint removalHintOf(std::string const& pool, config::EndpointList const& list) {
  transport::EndpointRemovalHint hint{pool, list.generation, {}, {}};
  for (config::Replica const& replica : list.replicas) {
    if (replica.state == config::ReplicaState::serving) hint.serving.push_back(config::incarnationName(replica));
    if (replica.state == config::ReplicaState::warmingUp) hint.cold.push_back(config::incarnationName(replica));
  }
  return hint;
}

bool EndpointLists::addHint(transport::EndpointRemovalHint const& hint, CommittedValues const& values) {
  std::uint64_t const committed = generationOf(values, hint.pool);
  if (committed == 0 || hint.generation <= committed) return false;
  auto const known = hints_.find(hint.pool);
  if (known != hints_.end() && known->second.generation >= hint.generation) return false;
  hints_[hint.pool] = hint;
  return true;
}

void EndpointLists::dropCommittedHints(CommittedValues const& values) {
  std::erase_if(hints_, [&](auto const& entry) {
    auto const& [pool, hint] = entry;
    return hint.generation <= generationOf(values, pool);
  });
}

std::map<std::string, config::EndpointList> EndpointLists::withVanishedPools(
    std::map<std::string, config::EndpointList> lists, CommittedValues const& values) {
  for (auto const& [key, value] : values)
    if (std::optional<std::string> const pool = nameOf(key, poolKeyPrefix)) lists.try_emplace(*pool);
  return lists;
}

bool EndpointLists::isCommitted(std::string const& pool, config::EndpointList const& list,
                                CommittedValues const& values) {
  consensus::CommittedValue const* const committed = findValue(values, keyOf(poolKeyPrefix, pool));
  QJsonObject const stored = committed == nullptr ? QJsonObject() : config::removeChangeHistory(committed->value);
  bool const isSame = withoutGeneration(stored) == withoutGeneration(config::endpointListJson(list));
  if (isSame) hints_.erase(pool);
  return isSame;
}

std::uint64_t EndpointLists::nextGeneration(std::string const& pool, CommittedValues const& values) const {
  auto const hinted = hints_.find(pool);
  std::uint64_t const newestHint = hinted == hints_.end() ? 0 : hinted->second.generation;
  return std::max(generationOf(values, pool), newestHint) + 1;
}

std::optional<std::uint64_t> EndpointLists::proposalOf(std::string const& pool) const {
  auto const it = endpointListProposals_.find(pool);
  if (it == endpointListProposals_.end()) return std::nullopt;
  return it->second;
}

}  // namespace corkward::control
