#pragma once

/// A partition that a controller owns: a grant table for each of its tenants, and the recovery of the allocations that
/// earlier owners have granted.

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
  /// The grant table of a tenant, made on first use.
  GrantTable& grantTable(Milliseconds now, std::string const& tenant, Limit const& limit,
                         OverdraftAllowance const& allowance);

  /// Starts the recovery once the roster is known to be current: all its routers are to report what they hold. Ends it
  /// when all earlier allocations have expired.
  /// @param quorumContactSince when the newest contact with a majority of the members began; below 0: there is none
  void advanceRecovery(Milliseconds now, Milliseconds quorumContactSince, std::set<std::string> const& routers);
  bool isRecoveryStarted() const { return recoveryStarted_; }
  /// Routers that have not reported yet.
  std::set<std::string> const& unreportedRouters() const { return unreportedRouters_; }
  /// A router has reported all its allocations of this partition.
  void onRouterReported(Milliseconds now, std::string const& router);

 private:
  void limitUnreported(Milliseconds now);

  std::uint64_t term_;
  Milliseconds since_;
  /// By then all allocations of earlier owners have expired.
  Milliseconds recoveryEndsAt_;
  bool recoveryStarted_ = false;
  /// Empty until the recovery starts.
  std::set<std::string> unreportedRouters_;
  std::map<std::string, GrantTable> grantTables_;
};

}  // namespace corkward::quota
