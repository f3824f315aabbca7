#pragma once

/// The leases on partitions that one controller holds or contends for; see partition_lease_grants.h for the members'
/// side.

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
  /// Starts or continues to contend for a partition that is not owned here. The term is above all known ones. It rises
  /// only if a member has granted the same or a higher term to another controller.
  /// @param minTerm smallest term to use, which no earlier incarnation of a member has reached
  void contend(Milliseconds now, std::uint64_t partition, std::uint64_t minTerm);
  /// Returns since when the partition is contended for or owned, or a negative time if it is neither.
  Milliseconds contendingSince(std::uint64_t partition) const;
  /// Stops contending for a partition, or abandons its lease if it is owned.
  void abandon(std::uint64_t partition);
  /// Records a member's grants and rejections.
  void onReply(std::string const& member, PartitionLeaseReply const& reply);
  /// Returns until when the lease on a partition is valid by the grants of a majority of these members. A time that is
  /// not in the future means that there is no valid lease.
  Milliseconds validUntil(std::uint64_t partition, std::vector<std::string> const& members) const;
  /// Returns all leases to request or renew, sorted by partition.
  std::vector<PartitionTerm> requestedTerms() const;
  /// Returns the term under which the partition is contended for or owned, or 0 if it is neither.
  std::uint64_t term(std::uint64_t partition) const;

 private:
  struct Candidacy {
    std::uint64_t term = 0;
    Milliseconds since = 0;
    /// True if a member has granted this term or a higher one to another controller.
    bool superseded = false;
    /// By member, when the request was sent that the member's newest grant replies to.
    std::map<std::string, Milliseconds> grantRequestedAt;
  };
  std::map<std::uint64_t, Candidacy> candidacies_;
  /// Highest term that any member has reported, by partition.
  std::map<std::uint64_t, std::uint64_t> highestTerms_;
};

}  // namespace corkward::quota
