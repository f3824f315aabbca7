#pragma once

/// The leases on partitions that one member of the control plane has granted.
///
/// A lease without storage, as in PaxosLease (Trencseni, Gazso, Reinhardt 2012): a controller owns a partition while a
/// majority of the members has granted it the lease. A member that may have forgotten its grants grants nothing for
/// longer than a lease lasts, so two leases on one partition never overlap.

#include <cstdint>
#include <map>
#include <string>

#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// Milliseconds for which a member's grant is valid.
inline constexpr Milliseconds partitionLeaseDuration = 800;
/// Milliseconds for which a member grants no new lease after it has started, joined or seen a new membership: by then
/// whatever it may have granted before has expired.
inline constexpr Milliseconds grantDelayAfterStart = partitionLeaseDuration + 200;

/// What a member may grant at present.
enum class GrantPermission {
  /// Nothing: it has no contact with a majority, or may have forgotten grants.
  none,
  /// Renewals of valid grants: it may not yet have seen all members under the present membership.
  renewals,
  /// Any lease that nobody else holds.
  all,
};

/// One member's grants.
class PartitionLeaseGrants {
 public:
  /// Decides on each partition of a request, or takes back the sender's grants when it releases them.
  PartitionLeaseReply onRequest(Milliseconds now, PartitionLeaseRequest const& request, GrantPermission permission);
  /// Who holds the lease on a partition by this member's own grant; empty: nobody.
  std::string holder(Milliseconds now, std::uint64_t partition) const;
  /// Term of the newest grant; 0: none was granted.
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

  /// The newest grant of each partition. Its term only rises.
  std::map<std::uint64_t, Grant> grants_;
};

}  // namespace corkward::quota
