#pragma once

/// Endpoint lists as the platform gives them, until they are committed.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <corkward/config/config.h>
#include <corkward/control/committed_values.h>
#include <corkward/transport/configuration_messages.h>

namespace corkward::control {

/// The call that makes a list that was read the pool's committed one.
transport::OperatorCall endpointListProposal(std::string const& pool, config::EndpointList const& list,
                                             std::uint64_t committedRevision);

/// What a list that is not committed yet takes away; routers apply it at once.
transport::EndpointRemovalHint removalHintOf(std::string const& pool, config::EndpointList const& list);

/// The lists that are newer than the committed ones: their removal hints, and the calls that propose them.
class EndpointLists {
 public:
  /// By pool; each of a generation above the committed list's when it was accepted.
  std::map<std::string, transport::EndpointRemovalHint> const& hints() const { return hints_; }
  /// Adds a hint; false when a list that is as new is committed or was hinted at, or the pool has no list so far.
  bool addHint(transport::EndpointRemovalHint const& hint, CommittedValues const& values);
  /// Drops the hints whose lists, or newer ones, are committed.
  void dropCommittedHints(CommittedValues const& values);
  /// The lists that were read, and an empty one for each pool that has a committed list but was not read.
  static std::map<std::string, config::EndpointList> withVanishedPools(
      std::map<std::string, config::EndpointList> lists, CommittedValues const& values);
  /// True when the list equals the committed one, whatever their generations; drops the pool's hint then.
  bool isCommitted(std::string const& pool, config::EndpointList const& list, CommittedValues const& values);
  /// Generation of a list that is newer than all that are known.
  std::uint64_t nextGeneration(std::string const& pool, CommittedValues const& values) const;

  /// Id of the call by which the pool's list was last proposed here.
  std::optional<std::uint64_t> proposalOf(std::string const& pool) const;
  void setProposal(std::string const& pool, std::uint64_t call) { endpointListProposals_[pool] = call; }

 private:
  std::map<std::string, transport::EndpointRemovalHint> hints_;
  std::map<std::string, std::uint64_t> endpointListProposals_;
};

}  // namespace corkward::control
