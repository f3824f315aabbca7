#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::control {

using core::Milliseconds;

/// Exclusive leases by name that one member grants, in memory only: for warming up replicas and for singleton roles. A
/// process holds a lease once a majority of the members has granted it. The term is a fencing token, like the sequencer
/// of a Chubby lock. The caller decides whether this member may grant leases at all.
class LeaseTable {
 public:
  /// A request to acquire or release a lease.
  struct Claim {
    std::string name;
    std::string holder;
    /// Distinguishes a restarted holder from its previous run.
    std::uint64_t incarnation = 0;
    /// Duration of the lease if it is granted, in milliseconds.
    Milliseconds duration = 0;
  };
  /// Reply to a claim.
  struct Grant {
    bool granted = false;
    /// Current holder of the lease.
    std::string holder;
    /// Term of the lease, which rises with each change of the holder.
    std::uint64_t term = 0;
  };

  /// Returns true if the table is full and has no lease of this name.
  bool isFull(std::string const& name) const { return leases_.size() >= maxLeases && leases_.count(name) == 0; }
  /// Grants the lease if it is free or expired, if the claimant holds it, or if the claimant was named as its
  /// successor. Returns std::nullopt if the table is full.
  std::optional<Grant> acquire(Milliseconds now, Claim const& claim);
  /// Ends the claimant's lease. If a successor is named, only the successor can acquire the lease until
  /// `Claim::duration` has passed.
  void release(Milliseconds now, Claim const& claim, std::string const& successor);
  /// Records that the claimant was denied the lease.
  void addContender(Milliseconds now, Claim const& claim);
  /// Returns the sorted names of the processes that were denied the lease within its duration.
  std::vector<std::string> contenders(Milliseconds now, Claim const& claim);

  static constexpr std::size_t maxLeases = 4096;

 private:
  struct Lease {
    std::string holder;
    /// 0 if the holder was named as a successor; then any incarnation of the holder may acquire the lease.
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    Milliseconds expiresAt = 0;
    /// Processes that were denied the lease, with the time of the denial.
    std::map<std::string, Milliseconds> contenders;
  };

  std::map<std::string, Lease> leases_;
};

}  // namespace corkward::control
