#pragma once

/// Endpoint lists that the platform has provided and that are not committed yet.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <corkward/config/config.h>
#include <corkward/control/committed_values.h>
#include <corkward/gossip/removal_hints.h>
#include <corkward/transport/configuration_messages.h>

namespace corkward::control {

/// Returns the call that proposes a list which was read from the platform as the pool's committed list.
transport::OperatorCall endpointListProposal(std::string const& pool, config::EndpointList const& list,
                                             std::uint64_t committedRevision);

/// Returns the hint that names the replicas of an endpoint list that is not committed yet. Routers stop using all other
/// replicas of the pool at once.
transport::EndpointRemovalHint removalHintOf(std::string const& pool, config::EndpointList const& list);

/// Returns the hint of a list that an operator's call is to commit, or std::nullopt if the call changes nothing or
/// would be rejected as far as this controller knows.
/// @throws core::Error if the call's body is not a valid endpoint list
std::optional<transport::EndpointRemovalHint> removalHintOf(std::string const& pool,
                                                            transport::OperatorCall const& call,
                                                            CommittedValues const& values);

/// Tracks the endpoint lists that are newer than the committed ones: their removal hints and the calls that propose
/// them.
class EndpointLists {
 public:
  /// @param self link of this controller, the source of the hints of the lists that it reads
  EndpointLists(std::string self, std::uint64_t incarnation) : self_(std::move(self)), incarnation_(incarnation) {}

  gossip::RemovalHints const& hints() const { return hints_; }
  /// Adds a hint; see gossip::RemovalHints::add.
  gossip::RemovalHints::Change addHint(Milliseconds now, transport::EndpointRemovalHint const& hint,
                                       CommittedValues const& values);
  /// Removes the hints that the pool's committed list supersedes.
  void onListCommitted(std::string const& pool, CommittedValues const& values);
  /// Removes the hints whose sources have not renewed them in time.
  void expireHints(Milliseconds now) { hints_.expire(now); }

  /// Returns `lists` with an empty list added for each pool that has a committed list but is not in `lists`.
  static std::map<std::string, config::EndpointList> withVanishedPools(
      std::map<std::string, config::EndpointList> lists, CommittedValues const& values);
  /// Returns true if the list equals the committed one apart from the generation.
  static bool isCommitted(std::string const& pool, config::EndpointList const& list, CommittedValues const& values);
  /// Returns the hint by which this controller announces a list that it has read and that differs from the committed
  /// one, or std::nullopt if its last hint says the same and need not be renewed yet.
  /// @param list the list with the generation under which it is proposed
  std::optional<transport::EndpointRemovalHint> announce(Milliseconds now, std::string const& pool,
                                                         config::EndpointList const& list,
                                                         CommittedValues const& values);
  /// Returns the hint that takes back this controller's last hint of the pool, because the list that it has just read
  /// equals the committed one. Returns std::nullopt if there is nothing to take back.
  std::optional<transport::EndpointRemovalHint> withdraw(std::string const& pool, config::EndpointList const& list,
                                                         CommittedValues const& values);

  /// Returns the hint that announces the last list that was read anew, or std::nullopt if it is not needed. It is
  /// called after a former list of this controller was committed, which has ended the hint of the newer list.
  std::optional<transport::EndpointRemovalHint> announceAgain(Milliseconds now, std::string const& pool,
                                                              CommittedValues const& values);

  /// Returns the id of the call by which this controller last proposed a list of the pool, or std::nullopt if there was
  /// none.
  std::optional<std::uint64_t> proposalOf(std::string const& pool) const;
  void setProposal(std::string const& pool, std::uint64_t call) { endpointListProposals_[pool] = call; }

 private:
  /// The last hint of a list that this controller has read.
  struct Announcement {
    transport::EndpointRemovalHint hint;
    Milliseconds at = 0;
  };
  /// Returns a hint of this controller, with the next number and based on the committed list.
  transport::EndpointRemovalHint ownHint(std::string const& pool, config::EndpointList const& list,
                                         CommittedValues const& values);

  std::string self_;
  std::uint64_t incarnation_;
  std::uint64_t nextSequence_ = 1;
  gossip::RemovalHints hints_;
  std::map<std::string, Announcement> announced_;
  std::map<std::string, std::uint64_t> endpointListProposals_;
};

}  // namespace corkward::control
