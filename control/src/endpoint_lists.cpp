#include <corkward/control/endpoint_lists.h>

#include <algorithm>

#include <corkward/core/json.h>

#include "json_fields.h"
#include "keys.h"
#include "paths.h"

namespace corkward::control {

namespace {

/// A hint whose list stays uncommitted is renewed after this long.
constexpr Milliseconds renewalInterval = 1000;
static_assert(3 * renewalInterval < gossip::removalHintLifetime);

gossip::CommittedListVersion committedVersion(std::string const& pool, CommittedValues const& values) {
  return {revisionOf(values, keyOf(poolKeyPrefix, pool)), generationOf(values, pool)};
}

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

std::optional<transport::EndpointRemovalHint> removalHintOf(std::string const& pool,
                                                            transport::OperatorCall const& call,
                                                            CommittedValues const& values) {
  config::EndpointList const list = config::readEndpointList(core::parseJson(call.body).toObject());
  transport::EndpointRemovalHint hint = removalHintOf(pool, list);
  std::uint64_t const revision = revisionOf(values, keyOf(poolKeyPrefix, pool));
  bool const isOnAnotherBase = !call.ifMatch.empty() && call.ifMatch != std::to_string(revision);
  if (call.dryRun || isOnAnotherBase) return std::nullopt;
  if (!call.ifMatch.empty()) hint.baseRevision = revision;
  return hint;
}

gossip::RemovalHints::Change EndpointLists::addHint(Milliseconds now, transport::EndpointRemovalHint const& hint,
                                                    CommittedValues const& values) {
  return hints_.add(now, hint, committedVersion(hint.pool, values));
}

void EndpointLists::onListCommitted(std::string const& pool, CommittedValues const& values) {
  hints_.onListCommitted(pool, committedVersion(pool, values));
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
  return withoutGeneration(stored) == withoutGeneration(config::endpointListJson(list));
}

transport::EndpointRemovalHint EndpointLists::ownHint(std::string const& pool, config::EndpointList const& list,
                                                      CommittedValues const& values) {
  transport::EndpointRemovalHint hint = removalHintOf(pool, list);
  hint.source = self_;
  hint.incarnation = incarnation_;
  hint.sequence = nextSequence_++;
  hint.baseRevision = revisionOf(values, keyOf(poolKeyPrefix, pool));
  return hint;
}

std::optional<transport::EndpointRemovalHint> EndpointLists::announce(Milliseconds now, std::string const& pool,
                                                                      config::EndpointList const& list,
                                                                      CommittedValues const& values) {
  auto const last = announced_.find(pool);
  if (last != announced_.end() && now - last->second.at < renewalInterval) {
    transport::EndpointRemovalHint const& known = last->second.hint;
    transport::EndpointRemovalHint const next = removalHintOf(pool, list);
    bool const isSameBase = known.baseRevision == revisionOf(values, keyOf(poolKeyPrefix, pool));
    if (isSameBase && known.serving == next.serving && known.cold == next.cold) return std::nullopt;
  }
  transport::EndpointRemovalHint hint = ownHint(pool, list, values);
  announced_[pool] = {hint, now};
  return hint;
}

std::optional<transport::EndpointRemovalHint> EndpointLists::withdraw(std::string const& pool,
                                                                      config::EndpointList const& list,
                                                                      CommittedValues const& values) {
  auto const last = announced_.find(pool);
  if (last == announced_.end()) return std::nullopt;
  bool const isInEffect = !gossip::isSuperseded(last->second.hint, committedVersion(pool, values));
  announced_.erase(last);
  if (!isInEffect) return std::nullopt;
  return ownHint(pool, list, values);
}

std::optional<transport::EndpointRemovalHint> EndpointLists::announceAgain(Milliseconds now, std::string const& pool,
                                                                           CommittedValues const& values) {
  auto const last = announced_.find(pool);
  consensus::CommittedValue const* const committed = findValue(values, keyOf(poolKeyPrefix, pool));
  if (last == announced_.end() || committed == nullptr || now - last->second.at > renewalInterval) return std::nullopt;
  config::EndpointList const list = config::readStoredEndpointList(config::removeChangeHistory(committed->value));
  transport::EndpointRemovalHint const inForce = removalHintOf(pool, list);
  transport::EndpointRemovalHint& hint = last->second.hint;
  if (hint.serving == inForce.serving && hint.cold == inForce.cold) return std::nullopt;
  hint.sequence = nextSequence_++;
  hint.baseRevision = committed->revision;
  hint.generation = list.generation + 1;
  return hint;
}

std::optional<std::uint64_t> EndpointLists::proposalOf(std::string const& pool) const {
  auto const it = endpointListProposals_.find(pool);
  if (it == endpointListProposals_.end()) return std::nullopt;
  return it->second;
}

}  // namespace corkward::control
