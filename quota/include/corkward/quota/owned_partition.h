#pragma once

/// A partition that a controller owns: a grant table for each of the partition's tenants, and the recovery of the
/// allocations that earlier owners have granted.

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <corkward/quota/grant_table.h>
#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// One partition during one term of its owner.
class OwnedPartition {
 public:
  OwnedPartition(Milliseconds now, std::uint64_t term);

  std::uint64_t term() const { return term_; }
  /// Applies changed limits; tables of tenants without a limit are removed.
  void configure(Milliseconds now, std::map<std::string, Limit> const& limits, OverdraftAllowance const& allowance);
  /// Returns the grant table of a tenant, which is created on first use.
  GrantTable& grantTable(Milliseconds now, std::string const& tenant, Limit const& limit,
                         OverdraftAllowance const& allowance);

  /// Starts the recovery once the roster is known to be current, that is, once a contact with a majority of the members
  /// has begun after this controller became the owner. From then on all routers of the roster have to report their
  /// allocations. Ends the recovery when all allocations of earlier owners have expired.
  /// @param quorumContactSince when the newest contact with a majority of the members began, or negative if there is
  /// none
  void advanceRecovery(Milliseconds now, Milliseconds quorumContactSince, std::set<std::string> const& routers);
  bool isRecoveryStarted() const { return recoveryStarted_; }
  /// Routers that have not reported their allocations yet.
  std::set<std::string> const& unreportedRouters() const { return unreportedRouters_; }
  /// Records that a router has reported all its allocations in this partition.
  void onRouterReported(Milliseconds now, std::string const& router);

 private:
  /// Passes the number of unreported routers on to all grant tables.
  void limitUnreported(Milliseconds now);

  std::uint64_t term_;
  /// When this controller became the owner.
  Milliseconds since_;
  /// Time by which all allocations of earlier owners have expired.
  Milliseconds recoveryEndsAt_;
  bool recoveryStarted_ = false;
  /// Empty until the recovery starts.
  std::set<std::string> unreportedRouters_;
  std::map<std::string, GrantTable> grantTables_;
};

}  // namespace corkward::quota
