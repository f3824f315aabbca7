#pragma once

/// Tenants at one router: who sends a request, by its key, and whether the tenant's limit lets it go on. A reducer of
/// its own: the router's clock makes its reports, and the answers of the meters come back to it.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/scaling/quota.h>
#include <corkward/transport/message.h>

namespace corkward::dataplane {

using core::Tick;

/// The tenants of the whole configuration, their limits' gates, and the reports to the controllers that keep the
/// meters. A tenant's meter is kept by the controller that ranks first for its name among all members, which every
/// router finds by itself; while that one is silent, the next one in rank keeps it.
class Tenants {
 public:
  Tenants(std::string link, std::uint64_t seed);

  /// The tenants of the configuration in force; gates of tenants that stay are kept.
  void configure(std::vector<config::Tenant> tenants);
  /// Whether requests need a key at all.
  bool required() const { return !tenants_.empty(); }
  /// Whose key that is; null: nobody's.
  config::Tenant const* byKey(std::string const& key) const;

  /// What a request counts as against its tenant's limit; tokens: what it says that it has, if it says so.
  static double amountOf(config::Tenant const& tenant, std::optional<std::int64_t> tokens);
  /// Whether the tenant's limit lets a request of that amount go on.
  bool admit(Tick now, config::Tenant const& tenant, double amount);
  /// A request that was let on is handed to a replica.
  void used(std::string const& tenant, double amount);

  /// Reports that are due, to the controllers of the membership.
  std::vector<transport::Send> clockEvent(Tick now, std::vector<std::string> const& controllers);
  void arrived(Tick now, std::string const& from, transport::QuotaShares const& message);

 private:
  /// What is known of a controller as the keeper of meters.
  struct Keeper {
    /// First report that has had no answer; below 0: none.
    Tick unanswered = -1;
    /// When it was last found silent; below 0: never.
    Tick silentAt = -1;
  };
  void findSilent(Tick now);
  bool silent(Tick now, std::string const& link) const;
  std::string keeperOf(Tick now, std::string const& tenant, std::vector<std::string> const& controllers) const;

  std::string link_;
  core::Rng rng_;
  std::vector<config::Tenant> tenants_;
  std::unordered_map<std::string, std::size_t> byKey_;
  std::map<std::string, scaling::QuotaGate> gates_;
  std::map<std::string, Keeper> keepers_;
  Tick reportAt_ = 0;
};

}  // namespace corkward::dataplane
