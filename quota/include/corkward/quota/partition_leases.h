#pragma once

/// The leases on partitions that one controller holds or contends for; see partition_lease_grants.h for what the
/// members grant.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>
#include <corkward/quota/partition_lease_grants.h>

namespace corkward::quota {

/// Requests leases under rising terms and counts the members' grants.
class PartitionLeases {
 public:
  /// Starts to contend for a partition under a term above all known ones, or goes on contending; under a higher term
  /// if a member has granted such a term to another controller. For partitions that are not owned.
  /// @param minTerm a term that earlier incarnations of the members did not reach
  void contend(Milliseconds now, std::uint64_t partition, std::uint64_t minTerm);
  /// Since when the partition is contended for or owned; below 0: it is neither.
  Milliseconds contendingSince(std::uint64_t partition) const;
  /// Stops contending for a partition, and gives up its lease if there is one.
  void abandon(std::uint64_t partition);
  void onReply(std::string const& member, PartitionLeaseReply const& reply);
  /// Until when the lease on a partition is valid by the grants of a majority of these members; 0 or past: it is not.
  Milliseconds validUntil(std::uint64_t partition, std::vector<std::string> const& members) const;
  /// All leases to request or renew, by partition.
  std::vector<PartitionTerm> requestedTerms() const;
  /// Term under which the partition is contended for or owned; 0: it is neither.
  std::uint64_t term(std::uint64_t partition) const;

 private:
  struct Candidacy {
    std::uint64_t term = 0;
    Milliseconds since = 0;
    /// A member has granted another controller this term or a higher one.
    bool superseded = false;
    /// When the request that led to the newest grant was sent, by member.
    std::map<std::string, Milliseconds> grantRequestedAt;
  };
  std::map<std::uint64_t, Candidacy> candidacies_;
  /// Highest term that any member has reported, by partition.
  std::map<std::uint64_t, std::uint64_t> highestTerms_;
};

}  // namespace corkward::quota
