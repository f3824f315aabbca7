#pragma once

/// The leases on partitions that one member of the control plane has granted.
///
/// The leases need no storage, as in PaxosLease (Trencseni, Gazso, Reinhardt 2012): a controller owns a partition while
/// a majority of the members has granted it the lease on that partition. A member that may have forgotten what it
/// granted waits for longer than the duration of a lease before it grants any, so two leases on one partition never
/// overlap.

#include <cstdint>
#include <map>
#include <string>

#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// Milliseconds for which a member's grant is valid.
inline constexpr Milliseconds partitionLeaseDuration = 800;
/// Milliseconds for which a member grants no new lease after it has started, joined, or received a new membership.
/// After that time all leases that it may have granted before have expired.
inline constexpr Milliseconds grantDelayAfterStart = partitionLeaseDuration + 200;

/// Which leases a member may grant at present.
enum class GrantPermission {
  /// No leases: the member has no contact with a majority, or may have forgotten grants.
  none,
  /// Only renewals of valid grants: the member may not yet have contacted all members of the present membership.
  renewals,
  /// Any lease that no other controller holds.
  all,
};

/// The grants of one member of the control plane.
class PartitionLeaseGrants {
 public:
  /// Grants or rejects the lease on each partition of a request, or revokes the sender's grants if the request releases
  /// them.
  PartitionLeaseReply onRequest(Milliseconds now, PartitionLeaseRequest const& request, GrantPermission permission);
  /// Returns the link address of the controller that holds the lease on a partition by this member's grant, or an empty
  /// string if none does.
  std::string holder(Milliseconds now, std::uint64_t partition) const;
  /// Returns the term of the newest grant, or 0 if none was granted.
  std::uint64_t term(std::uint64_t partition) const;

 private:
  struct Grant {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    Milliseconds expiresAt = -1;
  };
  PartitionLeaseDecision decide(Milliseconds now, PartitionLeaseRequest const& request, PartitionTerm const& requested,
                                GrantPermission permission);

  /// The newest grant by partition. The term of a partition only rises.
  std::map<std::uint64_t, Grant> grants_;
};

}  // namespace corkward::quota
