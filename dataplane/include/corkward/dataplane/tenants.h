#pragma once

/// Tenants at one router: which tenant sends a request, by its key, and whether the tenant's limit admits the request.
/// A request is admitted against this router's allocation of the limit, or waits one round trip until the coordinator
/// grants a single amount. The coordinator of a tenant is the controller that owns the tenant's partition.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/quota/quota_limiter.h>
#include <corkward/transport/message.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// Result of checking a request against its tenant's limit.
enum class Admission {
  granted,
  /// The request waits for an amount from the coordinator.
  pending,
  /// The request is not in the fraction of the tenant's requests that routers may admit.
  rejectedByAllocation,
  /// The coordinator has too little left.
  rejectedByCoordinator,
  /// No coordinator replies, and this router has too little left.
  rejectedWithoutCoordinator,
};

/// Decision on a request that waited for its amount.
struct QuotaDecision {
  std::uint64_t call = 0;
  Admission admission = Admission::granted;
  /// Earliest time at which the amount may have been taken. quota::maxDispatchDelay counts from here.
  Milliseconds amountTakenAt = 0;
};

/// The tenants of the fleet configuration, their rate limiters, and the usage reports to the coordinators.
class Tenants {
 public:
  /// @param link this router's link address
  /// @param incarnation incarnation of this router process
  Tenants(std::string link, std::uint64_t incarnation, std::uint64_t seed, quota::OverdraftAllowance const& allowance);

  /// Replaces the tenants. The rate limiter of a tenant that still has a limit keeps its state.
  void configure(std::vector<config::Tenant> tenants);
  /// Whether any tenant is configured, so that requests need a key.
  bool required() const { return !tenants_.empty(); }
  /// The tenant that the key belongs to. Null if it belongs to none.
  config::Tenant const* byKey(std::string const& key) const;
  /// Sets the link addresses of the control plane's members and the number of routers.
  void setMembers(std::vector<std::string> const& controllers, std::size_t routers);

  /// The amount that a request counts as against its tenant's limit.
  /// @param tokens the request's number of tokens, if the request states it
  static double amountOf(config::Tenant const& tenant, std::optional<std::int64_t> tokens);
  /// Takes the amount out of the tenant's limit, or requests it from the coordinator.
  Admission admit(Milliseconds now, std::uint64_t call, config::Tenant const& tenant, double amount,
                  std::vector<transport::Send>& out);
  /// Takes the amount if it is available at once. Returns false if it is not. For a retry of a request, or for a
  /// request whose first amount was taken too long ago.
  bool takeAmount(Milliseconds now, std::string const& tenant, double amount);
  /// Returns an amount that was taken and not used.
  void returnAmount(Milliseconds now, std::string const& tenant, double amount);

  std::vector<QuotaDecision> onMessage(Milliseconds now, std::string const& from, quota::QuotaGrants const& message,
                                       std::vector<transport::Send>& out);
  /// Handles the query of a new coordinator. The reply lists this router's allocations of its partitions.
  transport::Send onMessage(Milliseconds now, std::string const& from, quota::AllocationQuery const& message);
  /// Sends the reports that are due, and decides on requests that have waited too long.
  std::vector<QuotaDecision> onTimer(Milliseconds now, std::vector<transport::Send>& out);

 private:
  struct LimitedTenant {
    quota::QuotaLimiter limiter;
    quota::Limit limit;
    /// The coordinator had too little left for the last requested amount. No amount is requested before this time.
    Milliseconds depletedUntil = 0;
  };
  struct WaitingRequest {
    std::uint64_t call = 0;
    std::string tenant;
    double amount = 0;
    Milliseconds since = 0;
    /// Reports that were sent for this request.
    int attempts = 0;
  };
  /// A report that has not been replied to.
  struct PendingReport {
    Milliseconds sentAt = 0;
    std::string coordinator;
    /// Requests that wait for an amount of the reply.
    std::vector<WaitingRequest> waiting;
  };
  /// Responsiveness of a controller that reports were sent to.
  struct CoordinatorLink {
    /// When the first unanswered report was sent. Negative if there is none.
    Milliseconds firstUnansweredAt = -1;
    /// When the controller's reply last timed out. Negative if it never did.
    Milliseconds timedOutAt = -1;
  };
  /// The tenant's limiter. Null if the tenant has no limit.
  LimitedTenant* findLimited(std::string const& tenant);
  /// A random number from 0 to 1.
  double randomFraction();
  void detectTimeouts(Milliseconds now);
  bool isUnresponsive(Milliseconds now, std::string const& link) const;
  /// The controller to ask for a partition: the announced owner, or else the responsive controller with the lowest
  /// ownerRank. Empty if the partition is known to have no owner or no controller is responsive.
  std::string coordinatorOf(Milliseconds now, std::uint64_t partition) const;
  /// Sends a report of one tenant that requests the amount. Returns false if there is no coordinator to ask or the
  /// attempts are used up.
  bool requestAmount(Milliseconds now, WaitingRequest waiting, std::vector<transport::Send>& out);
  void send(Milliseconds now, std::string const& coordinator, std::vector<quota::TenantUsage> usages,
            std::vector<WaitingRequest> waiting, std::vector<transport::Send>& out);
  /// Decides on a request whose coordinator did not reply, by what this router may spend without an allocation.
  QuotaDecision decideWithoutCoordinator(Milliseconds now, WaitingRequest const& waiting);
  void sendReports(Milliseconds now, std::vector<transport::Send>& out);

  std::string link_;
  std::uint64_t incarnation_;
  core::RandomGenerator rng_;
  quota::OverdraftAllowance overdraftAllowance_;
  std::vector<config::Tenant> tenants_;
  std::unordered_map<std::string, std::size_t> byKey_;
  std::map<std::string, LimitedTenant> limiters_;
  std::vector<std::string> controllers_;
  quota::UnallocatedShare unallocatedShare_;
  std::map<std::string, CoordinatorLink> coordinators_;
  /// Link address of the coordinator of each partition, as announced by a controller.
  std::map<std::uint64_t, std::string> announcedOwners_;
  /// Partitions that have no owner, and when an owner is asked for again.
  std::map<std::uint64_t, Milliseconds> ownerlessUntil_;
  std::map<std::uint64_t, PendingReport> pendingReports_;
  std::uint64_t nextReportNumber_ = 1;
  /// By partition, the number of the first report whose reply counts. Replies to earlier reports are ignored, because
  /// a new coordinator has received this router's allocations since.
  std::map<std::uint64_t, std::uint64_t> firstValidReport_;
  Milliseconds nextReportAt_ = 0;
};

}  // namespace corkward::dataplane
