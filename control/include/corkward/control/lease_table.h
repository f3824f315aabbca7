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

/// Exclusive leases by name, in memory only, as one member grants them: warm-ups of cold replicas and singleton roles.
/// A holder is to count as such when a majority of the members grant it the lease (Chubby's locks with sequencers, here
/// the term). Whether this member may grant any is its caller's decision.
class LeaseTable {
 public:
  /// Claims a lease, or releases it.
  struct Claim {
    std::string name;
    std::string holder;
    /// Tells a restarted holder from the one before.
    std::uint64_t incarnation = 0;
    /// How long the lease lasts when it is granted, in milliseconds.
    Milliseconds duration = 0;
  };
  /// Reply to a claim.
  struct Grant {
    bool granted = false;
    /// Who has the lease, and under which term: it rises with each change of the holder.
    std::string holder;
    std::uint64_t term = 0;
  };

  /// True when the name cannot be added.
  bool isFull(std::string const& name) const { return leases_.size() >= maxLeases && leases_.count(name) == 0; }
  /// Grants a lease that is free, has run out, is the claimant's own or was left to it. Nothing: the table is full.
  std::optional<Grant> acquire(Milliseconds now, Claim const& claim);
  /// Ends a lease of this holder. A successor that is named has it alone for as long as a lease lasts.
  void release(Milliseconds now, Claim const& claim, std::string const& successor);
  /// Notes that the claimant was denied the lease.
  void addContender(Milliseconds now, Claim const& claim);
  /// Those who were denied within a lease's duration, sorted.
  std::vector<std::string> contenders(Milliseconds now, Claim const& claim);

  static constexpr std::size_t maxLeases = 4096;

 private:
  struct Lease {
    std::string holder;
    /// 0: the holder was named as a successor, and any incarnation of it may acquire the lease.
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    Milliseconds expiresAt = 0;
    /// Who was denied, and when.
    std::map<std::string, Milliseconds> contenders;
  };

  std::map<std::string, Lease> leases_;
};

}  // namespace corkward::control
