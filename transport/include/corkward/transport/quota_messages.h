#pragma once

/// How routers count tenants' requests together: reports to the controller that keeps a tenant's meter, and its
/// answers.

#include <cstdint>
#include <string>
#include <vector>

namespace corkward::transport {

/// What one router has seen of a tenant since its last report, in the unit of the tenant's limit.
struct QuotaUse {
  std::string tenant;
  std::uint64_t demanded = 0;
  std::uint64_t admitted = 0;
  template <class F>
  void each(F& f) {
    f("t", tenant);
    f("d", demanded);
    f("a", admitted);
  }
};

/// A router reports to the controller that keeps the meters of these tenants; wants an answer.
struct QuotaReport {
  std::string link;
  std::vector<QuotaUse> uses;
  template <class F>
  void each(F& f) {
    f("l", link);
    f("u", uses);
  }
};

/// Units of a QuotaShare's share that stand for all of the tenant's requests.
inline constexpr std::uint64_t wholeShare = 1000000;

/// Which share of a tenant's requests routers may admit from here on, in parts of wholeShare, and what all routers
/// together are asked for in a second.
struct QuotaShare {
  std::string tenant;
  std::uint64_t share = 0;
  std::uint64_t demand = 0;
  template <class F>
  void each(F& f) {
    f("t", tenant);
    f("s", share);
    f("d", demand);
  }
};

/// Answer to a QuotaReport; also sent unasked when a share has fallen.
struct QuotaShares {
  std::vector<QuotaShare> shares;
  template <class F>
  void each(F& f) {
    f("s", shares);
  }
};

}  // namespace corkward::transport
