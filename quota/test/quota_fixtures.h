#pragma once

/// Fixtures of the tests of grant tables and limiters: one tenant's limit, and usage reports.

#include <string>

#include <corkward/quota/grant_table.h>

namespace corkward::quota::test {

inline Limit const limit{1000, 1000};
inline OverdraftAllowance const allowance{8000, 0.1, 500};

/// A report that requests a renewal, for a tenant "t".
inline TenantUsage usage(std::uint64_t demandPerSecond, std::uint64_t requestedAmount = 0) {
  TenantUsage out;
  out.tenant = "t";
  out.demandPerSecond = demandPerSecond;
  out.requestedAmount = requestedAmount;
  out.wantsRenewal = true;
  return out;
}

inline double fractionOf(QuotaGrant const& grant) {
  return fractionFromWire(grant.allocatedFraction);
}

/// The grant table of an owner that knows all allocations of earlier owners.
inline GrantTable recoveredTable() {
  GrantTable table(0, 4, limit, allowance, allocationDuration);
  table.limitUnreported(0, 0);
  return table;
}

}  // namespace corkward::quota::test
