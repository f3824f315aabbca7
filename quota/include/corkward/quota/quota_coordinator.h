#pragma once

/// The coordination of tenants' limits at one controller: it grants leases on partitions, contends for those that
/// nobody owns, and grants quota for those that it owns. A reducer beside the controller's own.

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

/// Command: send a message to the process that listens at the link address.
struct Send {
  std::string to;
  std::variant<PartitionLeaseRequest, PartitionLeaseReply, AllocationQuery, QuotaGrants> message;
};

/// What the controller knows of itself, the members and the routers. Processes are named by their link addresses.
struct MembershipView {
  /// Which leases this member may grant.
  GrantPermission grantPermission = GrantPermission::none;
  /// All members, this one included.
  std::vector<std::string> members;
  /// Those members that were heard from lately.
  std::vector<std::string> aliveMembers;
  /// Routers of the roster that is committed here, and earlier ones that may still serve.
  std::set<std::string> routers;
  /// When the newest contact with a majority of the members began; below 0: there is none.
  Milliseconds quorumContactSince = -1;
  /// The process shuts down: it contends for no lease and releases those it has.
  bool draining = false;
};

/// Reducer: time, messages and the membership in, messages out.
class QuotaCoordinator {
 public:
  /// @param incarnation rises with each start of a member; terms of leases begin with it
  QuotaCoordinator(std::string link, std::uint64_t incarnation, OverdraftAllowance const& allowance);

  /// The limits of the active configuration, by tenant; tenants without a limit are left out.
  void configure(Milliseconds now, std::map<std::string, Limit> limits);
  std::vector<Send> clockEvent(Milliseconds now, MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, UsageReport const& message,
                              MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, PartitionLeaseRequest const& message,
                              MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, PartitionLeaseReply const& message,
                              MembershipView const& view);
  std::vector<Send> onMessage(Milliseconds now, std::string const& from, AllocationReport const& message,
                              MembershipView const& view);

  bool ownsPartition(Milliseconds now, std::uint64_t partition, MembershipView const& view) const;
  std::size_t ownedPartitionCount(Milliseconds now, MembershipView const& view) const;

 private:
  /// The owner of a partition as another member has named it.
  struct AnnouncedOwner {
    std::string link;
    Milliseconds validUntil = 0;
  };
  /// Owner of a partition as far as this controller knows; empty: none.
  std::string ownerOf(Milliseconds now, std::uint64_t partition, MembershipView const& view) const;
  /// No other live member comes before this one as owner of the partition.
  bool isPreferredOwner(std::uint64_t partition, std::vector<std::string> const& aliveMembers) const;
  bool mayContend(Milliseconds now, std::uint64_t partition, MembershipView const& view) const;
  /// Starts or stops to contend for each partition that is not owned here.
  void updateContention(Milliseconds now, MembershipView const& view);
  /// Drops partitions whose lease has expired and takes over those whose lease was acquired.
  void updateOwnedPartitions(Milliseconds now, MembershipView const& view);
  PartitionLeaseRequest leaseRequest(Milliseconds now) const;
  void requestLeases(std::vector<Send>& out, Milliseconds now, MembershipView const& view);
  void releaseLeases(std::vector<Send>& out, Milliseconds now, MembershipView const& view);
  /// Queries routers that have not reported their allocations of partitions that are owned here.
  void queryAllocations(std::vector<Send>& out, Milliseconds now, MembershipView const& view);
  GrantTable& grantTable(Milliseconds now, OwnedPartition& partition, std::string const& tenant);

  std::string link_;
  std::uint64_t incarnation_;
  OverdraftAllowance allowance_;
  std::map<std::string, Limit> limits_;
  /// What this member has granted to itself and others.
  PartitionLeaseGrants grants_;
  /// What this controller contends for or owns.
  PartitionLeases leases_;
  /// Partitions whose lease this controller had at the last update; whether it is still valid is said by `leases_`.
  std::map<std::uint64_t, OwnedPartition> ownedPartitions_;
  std::map<std::uint64_t, AnnouncedOwner> announcedOwners_;
  /// Until when this controller does not contend for a partition again.
  std::map<std::uint64_t, Milliseconds> backoffUntil_;
  Milliseconds nextLeaseRequestAt_ = 0;
  Milliseconds nextAllocationQueryAt_ = 0;
};

}  // namespace corkward::quota
