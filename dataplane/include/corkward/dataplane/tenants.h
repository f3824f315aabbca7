#pragma once

/// Tenants at one router: who sends a request, by its key, and whether the tenant's limit lets it go on. A reducer of
/// its own: a request goes on by what this router was lent of the limit, or waits one round trip for a single amount.

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

/// What a tenant's limit says of a request. Refused by the share that routers may admit of its requests, by a lender
/// that has too little left, or because no lender answers and this router has too little.
enum class Admission { granted, pending, rejectedByAllocation, rejectedByCoordinator, rejectedWithoutCoordinator };

/// What became of a request that waited for its amount.
struct QuotaDecision {
  std::uint64_t call = 0;
  Admission admission = Admission::granted;
  /// When the amount was taken, at the earliest; see quota::handOverWithin.
  Milliseconds amountTakenAt = 0;
};

/// The tenants of the whole configuration, the gates of their limits, and the reports to the controllers that lend.
class Tenants {
 public:
  /// Life: number of this process's run.
  Tenants(std::string link, std::uint64_t life, std::uint64_t seed, quota::OverdraftAllowance const& slack);

  /// The tenants of the configuration in force; gates of tenants that stay are kept.
  void configure(std::vector<config::Tenant> tenants);
  /// Whether requests need a key at all.
  bool required() const { return !tenants_.empty(); }
  /// Whose key that is; null: nobody's.
  config::Tenant const* byKey(std::string const& key) const;
  /// Members of the control plane, and how many routers there are.
  void setMembers(std::vector<std::string> const& controllers, std::size_t routers);

  /// What a request counts as against its tenant's limit; tokens: what it says that it has, if it says so.
  static double amountOf(config::Tenant const& tenant, std::optional<std::int64_t> tokens);
  /// Takes the amount out of the tenant's limit, or asks its lender for it.
  Admission admit(Milliseconds now, std::uint64_t call, config::Tenant const& tenant, double amount,
                  std::vector<transport::Send>& out);
  /// Takes the amount at once or not at all: for a further run of a request, or one that waited too long.
  bool takeAmount(Milliseconds now, std::string const& tenant, double amount);
  /// An amount that was taken is not used.
  void returnAmount(Milliseconds now, std::string const& tenant, double amount);

  std::vector<QuotaDecision> onMessage(Milliseconds now, std::string const& from, quota::QuotaGrants const& message,
                                       std::vector<transport::Send>& out);
  /// A new lender asks which loans of its parts are held here.
  transport::Send onMessage(Milliseconds now, std::string const& from, quota::AllocationQuery const& message);
  /// Reports that are due, and requests that have waited long enough.
  std::vector<QuotaDecision> onTimer(Milliseconds now, std::vector<transport::Send>& out);

 private:
  struct Limited {
    quota::QuotaLimiter limiter;
    quota::Limit limit;
    /// The lender had too little for the last request that asked; others are not asked for until then.
    Milliseconds depletedUntil = 0;
  };
  struct Waiting {
    std::uint64_t call = 0;
    std::string tenant;
    double amount = 0;
    Milliseconds since = 0;
    int queries = 0;
  };
  /// A report whose answer is still to come.
  struct PendingReport {
    Milliseconds at = 0;
    std::string coordinator;
    std::vector<Waiting> waiting;
  };
  /// What is known of a controller as a lender.
  struct CoordinatorLink {
    /// First report that has had no answer; below 0: none.
    Milliseconds firstUnansweredAt = -1;
    /// When it was last found silent; below 0: never.
    Milliseconds timedOutAt = -1;
  };
  Limited* limited(std::string const& tenant);
  double randomFraction();
  void detectTimeouts(Milliseconds now);
  bool isUnresponsive(Milliseconds now, std::string const& link) const;
  /// Whom to ask for a partition; empty: nobody answers.
  std::string coordinatorOf(Milliseconds now, std::uint64_t partition) const;
  /// Sends a report of one tenant with the amount that a request waits for. False: there is nobody to ask.
  bool requestAmount(Milliseconds now, Waiting waiting, std::vector<transport::Send>& out);
  void send(Milliseconds now, std::string const& coordinator, std::vector<quota::TenantUsage> uses,
            std::vector<Waiting> waiting, std::vector<transport::Send>& out);
  /// Decides on a request for which no amount came.
  QuotaDecision decideWithoutCoordinator(Milliseconds now, Waiting const& waiting);
  void sendReports(Milliseconds now, std::vector<transport::Send>& out);

  std::string link_;
  std::uint64_t incarnation_;
  core::RandomGenerator rng_;
  quota::OverdraftAllowance overdraftAllowance_;
  std::vector<config::Tenant> tenants_;
  std::unordered_map<std::string, std::size_t> byKey_;
  std::map<std::string, Limited> limiters_;
  std::vector<std::string> controllers_;
  quota::UnallocatedShare unallocatedShare_;
  std::map<std::string, CoordinatorLink> coordinators_;
  /// Who was said to lend a part; empty: nobody.
  std::map<std::uint64_t, std::string> announcedOwners_;
  /// Nobody lends these parts; that is asked again then.
  std::map<std::uint64_t, Milliseconds> ownerlessUntil_;
  std::map<std::uint64_t, PendingReport> pendingReports_;
  std::uint64_t nextReport_ = 1;
  /// First report of each part whose answer counts, since a new lender was told of the loans before it.
  std::map<std::uint64_t, std::uint64_t> countsFrom_;
  Milliseconds reportAt_ = 0;
};

}  // namespace corkward::dataplane
