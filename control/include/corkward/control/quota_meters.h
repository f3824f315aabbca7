#pragma once

/// The meters of tenants' limits that one controller keeps: routers report what they see, and hear which share of a
/// tenant's requests they may admit. The meters are soft state: whoever keeps one anew begins with an empty bucket.

#include <map>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/scaling/quota.h>
#include <corkward/transport/message.h>

namespace corkward::control {

using core::Tick;

/// A reducer beside the controller's own; any controller answers for any tenant that routers ask it for.
class QuotaMeters {
 public:
  /// Slack: what the fleet's operators let be admitted beyond a tenant's bucket.
  explicit QuotaMeters(scaling::QuotaSlack const& slack) : slack_(slack) {}

  /// The tenants of the configuration in place.
  void configure(Tick now, std::vector<config::Tenant> const& tenants);
  std::vector<transport::Send> arrived(Tick now, std::string const& from, transport::QuotaReport const& message);
  /// Tells routers that have reported of late of shares that have changed since they heard.
  std::vector<transport::Send> clockEvent(Tick now);

  std::size_t meters() const { return meters_.size(); }

 private:
  /// A router that has reported of a tenant.
  struct Reporter {
    Tick at = 0;
    Tick toldAt = 0;
    double toldShare = 1.0;
  };
  struct Entry {
    scaling::QuotaMeter meter;
    std::map<std::string, Reporter> reporters;
  };
  static bool worthTelling(Tick now, Reporter const& reporter, double share);
  transport::QuotaShare shareOf(Tick now, std::string const& tenant, Entry const& entry, double share) const;

  scaling::QuotaSlack slack_;
  std::map<std::string, scaling::QuotaLimit> limits_;
  std::map<std::string, Entry> meters_;
  Tick tellAt_ = 0;
};

}  // namespace corkward::control
