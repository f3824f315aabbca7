#pragma once

/// The coordination of tenants' limits at one controller: it grants leases on partitions to other controllers, contends
/// for partitions without an owner, and grants quota of the partitions that it owns. It is a reducer of its own,
/// separate from the controller's reducer.

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <corkward/quota/owned_partition.h>
#include <corkward/quota/partition_lease_grants.h>
#include <corkward/quota/partition_leases.h>

namespace corkward::quota {

/// Command to send a message to the process at a link address.
struct Send {
  std::string to;
  std::variant<PartitionLeaseRequest, PartitionLeaseReply, AllocationQuery, QuotaGrants> message;
};

/// What the controller knows about itself, the members and the routers. Processes are identified by link addresses.
struct MembershipView {
  /// Which leases this controller may grant as a member.
  GrantPermission grantPermission = GrantPermission::none;
  /// All members of the control plane, including this one.
  std::vector<std::string> members;
  /// Members with recent contact.
  std::vector<std::string> aliveMembers;
  /// Routers of the committed roster, and of earlier rosters if they may still serve.
  std::set<std::string> routers;
  /// When the newest contact with a majority of the members began; negative if there is none.
  Milliseconds quorumContactSince = -1;
  /// True if the process shuts down. It then contends for no lease and releases the leases that it has.
  bool draining = false;
};

/// Reducer whose input is time, messages and the membership, and whose output is messages.
class QuotaCoordinator {
 public:
  /// @param incarnation rises with each start of this process; it is also the smallest term with which this process
  ///   requests a lease
  QuotaCoordinator(std::string link, std::uint64_t incarnation, OverdraftAllowance const& allowance);

  /// Applies the limits of the active configuration, by tenant. Tenants without a limit are not in the map.
  void configure(Milliseconds now, std::map<std::string, Limit> limits);
  /// Requests and renews leases and queries allocations, each at its interval; releases all leases while draining.
  std::vector<Send> clockEvent(Milliseconds now, MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, UsageReport const& message,
                              MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, PartitionLeaseRequest const& message,
                              MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, PartitionLeaseReply const& message,
                              MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, AllocationReport const& message,
                              MembershipView const& view);

  /// Returns true if this controller holds a valid lease on the partition.
  bool ownsPartition(Milliseconds now, std::uint64_t partition, MembershipView const& view) const;
  std::size_t ownedPartitionCount(Milliseconds now, MembershipView const& view) const;

 private:
  /// The owner of a partition as another member has named it.
  struct AnnouncedOwner {
    std::string link;
    Milliseconds validUntil = 0;
  };
  /// Returns the owner of a partition as far as this controller knows, or an empty string if none is known.
  std::string ownerOf(Milliseconds now, std::uint64_t partition, MembershipView const& view) const;
  /// Returns true if no other live member has a lower rank (ownerRank) for the partition.
  bool isPreferredOwner(std::uint64_t partition, std::vector<std::string> const& aliveMembers) const;
  /// Returns true if the partition has no known owner and this controller should try to become it.
  bool mayContend(Milliseconds now, std::uint64_t partition, MembershipView const& view) const;
  /// Starts or stops to contend for each partition that is not owned here.
  void updateContention(Milliseconds now, MembershipView const& view);
  /// Drops partitions whose lease has expired, and adds those whose lease was acquired.
  void updateOwnedPartitions(Milliseconds now, MembershipView const& view);
  PartitionLeaseRequest leaseRequest(Milliseconds now) const;
  void requestLeases(std::vector<Send>& out, Milliseconds now, MembershipView const& view);
  void releaseLeases(std::vector<Send>& out, Milliseconds now, MembershipView const& view);
  /// Queries the routers that have not yet reported their allocations in the partitions that this controller owns.
  void queryAllocations(std::vector<Send>& out, Milliseconds now, MembershipView const& view);
  GrantTable& grantTable(Milliseconds now, OwnedPartition& partition, std::string const& tenant);

  std::string link_;
  std::uint64_t incarnation_;
  OverdraftAllowance allowance_;
  std::map<std::string, Limit> limits_;
  /// Leases that this member has granted to itself and to other controllers.
  PartitionLeaseGrants grants_;
  /// Leases that this controller holds or contends for.
  PartitionLeases leases_;
  /// Partitions whose lease was valid at the last update. Whether a lease is still valid must be looked up in
  /// `leases_`.
  std::map<std::uint64_t, OwnedPartition> ownedPartitions_;
  /// Owners of other partitions as other members have named them, by partition.
  std::map<std::uint64_t, AnnouncedOwner> announcedOwners_;
  /// By partition, until when this controller does not contend for it again.
  std::map<std::uint64_t, Milliseconds> backoffUntil_;
  Milliseconds nextLeaseRequestAt_ = 0;
  Milliseconds nextAllocationQueryAt_ = 0;
};

}  // namespace corkward::quota
