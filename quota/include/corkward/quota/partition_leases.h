#pragma once

/// Who lends each part of the tenants' limits: terms that a majority of the members grants, counted from when they were
/// asked for. A lease without a disk: a member that may have forgotten what it granted grants nothing for longer than a
/// term, so two terms of one part never overlap.

#include <map>
#include <string>
#include <vector>

#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// Milliseconds for which a member's grant holds.
inline constexpr Tick partitionLeaseDuration = 800;
/// Milliseconds for which a member grants no new term after it has started, joined or seen a new membership: by then
/// what it may have granted before has run out.
inline constexpr Tick grantDelayAfterStart = partitionLeaseDuration + 200;

/// One member's grants.
class PartitionLeaseGrants {
 public:
  /// May: this member votes, and has for longer than a term, under one membership. Renewing a grant to the same holder
  /// takes less: see `mayRenew`.
  PartitionLeaseReply onRequest(Tick now, PartitionLeaseRequest const& ask, bool may, bool mayRenew);
  /// Who holds a part by this member's own grant; empty: nobody.
  std::string holder(Tick now, std::uint64_t part) const;
  std::uint64_t epoch(std::uint64_t part) const;

 private:
  struct Grant {
    std::string holder;
    std::uint64_t incarnation = 0;
    std::uint64_t epoch = 0;
    Tick until = -1;
  };
  PartitionLeaseDecision answer(Tick now, PartitionLeaseRequest const& ask, PartitionEpoch const& wanted, bool may,
                                bool mayRenew);

  std::map<std::uint64_t, Grant> grants_;
};

/// The terms that one controller holds or asks for.
class PartitionLeases {
 public:
  /// Asks for a part under an epoch above all that were heard of, or goes on asking; under a higher one if a member has
  /// granted such an epoch to another. For parts that are not held. Least: a number that earlier lives of the members
  /// did not reach.
  void seek(Tick now, std::uint64_t part, std::uint64_t least);
  /// Since when a part is sought or held; below 0: it is not.
  Tick since(std::uint64_t part) const;
  /// Gives up whatever is sought or held of a part.
  void drop(std::uint64_t part);
  /// A member answered.
  void answered(std::string const& member, PartitionLeaseReply const& grant);
  /// Until when the part is held, by the grants of these members; 0 or past: it is not.
  Tick heldUntil(std::uint64_t part, std::vector<std::string> const& members) const;
  /// What is to be asked for now.
  std::vector<PartitionEpoch> wanted() const;
  std::uint64_t epoch(std::uint64_t part) const;

 private:
  struct Term {
    std::uint64_t epoch = 0;
    Tick since = 0;
    /// A member has granted another such an epoch or a higher one.
    bool outbid = false;
    /// When the newest grant of each member was asked for.
    std::map<std::string, Tick> granted;
  };
  std::map<std::uint64_t, Term> terms_;
  std::map<std::uint64_t, std::uint64_t> highest_;
};

}  // namespace corkward::quota
