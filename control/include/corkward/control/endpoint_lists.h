#pragma once

/// Endpoint lists that the platform has provided and that are not committed yet.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <corkward/config/config.h>
#include <corkward/control/committed_values.h>
#include <corkward/transport/configuration_messages.h>

namespace corkward::control {

/// Returns the call that proposes a list which was read from the platform as the pool's committed list.
transport::OperatorCall endpointListProposal(std::string const& pool, config::EndpointList const& list,
                                             std::uint64_t committedRevision);

/// Returns the hint that names the replicas of an endpoint list that is not committed yet. Routers stop using all other
/// replicas of the pool at once.
transport::EndpointRemovalHint removalHintOf(std::string const& pool, config::EndpointList const& list);

/// Tracks the endpoint lists that are newer than the committed ones: their removal hints and the calls that propose
/// them.
class EndpointLists {
 public:
  /// Returns the hints by pool. When a hint was added, its generation was above that of the committed list.
  std::map<std::string, transport::EndpointRemovalHint> const& hints() const { return hints_; }
  /// Adds a hint. Returns false without adding it if the pool has no committed list, or if the committed list or the
  /// previous hint has the same or a newer generation.
  bool addHint(transport::EndpointRemovalHint const& hint, CommittedValues const& values);
  /// Removes the hints whose endpoint list, or a newer list, is committed.
  void dropCommittedHints(CommittedValues const& values);
  /// Returns `lists` with an empty list added for each pool that has a committed list but is not in `lists`.
  static std::map<std::string, config::EndpointList> withVanishedPools(
      std::map<std::string, config::EndpointList> lists, CommittedValues const& values);
  /// Returns true if the list equals the committed one apart from the generation, and removes the pool's hint then.
  bool isCommitted(std::string const& pool, config::EndpointList const& list, CommittedValues const& values);
  /// Returns the generation for a new list of the pool, above those of the committed list and of the hint.
  std::uint64_t nextGeneration(std::string const& pool, CommittedValues const& values) const;

  /// Returns the id of the call by which this controller last proposed a list of the pool, or std::nullopt if there was
  /// none.
  std::optional<std::uint64_t> proposalOf(std::string const& pool) const;
  void setProposal(std::string const& pool, std::uint64_t call) { endpointListProposals_[pool] = call; }

 private:
  std::map<std::string, transport::EndpointRemovalHint> hints_;
  std::map<std::string, std::uint64_t> endpointListProposals_;
};

}  // namespace corkward::control
