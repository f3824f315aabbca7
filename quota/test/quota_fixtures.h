#pragma once

/// What the tests of grant tables and limiters share: one tenant's limit and its usage.

#include <string>

#include <corkward/quota/grant_table.h>

namespace corkward::quota::test {

inline Limit const limit{1000, 1000};
inline OverdraftAllowance const allowance{8000, 0.1, 500};

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

/// The table of an owner to which no earlier allocation is unknown.
inline GrantTable recoveredTable() {
  GrantTable table(0, 4, limit, allowance, allocationDuration);
  table.limitUnreported(0, 0);
  return table;
}

}  // namespace corkward::quota::test
