#pragma once

/// One controller's part in lending tenants' limits: it grants terms, seeks them for parts that nobody lends, and lends
/// what it holds a term for. A reducer beside the controller's own.

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <corkward/quota/grant_table.h>
#include <corkward/quota/partition_leases.h>

namespace corkward::quota {

/// Command: send a message to the process that listens at the link address.
struct Send {
  std::string to;
  std::variant<PartitionLeaseRequest, PartitionLeaseReply, AllocationQuery, QuotaGrants> message;
};

/// What the controller knows of itself, the members and the routers.
struct MembershipView {
  /// Votes, and has for longer than a term: see TermGrants.
  bool mayGrant = false;
  bool mayRenew = false;
  /// Links of all members, this one included, and of those that were heard of late.
  std::vector<std::string> members;
  std::vector<std::string> alive;
  /// Routers of the roster that is committed here, and of those before that may still serve.
  std::set<std::string> routers;
  /// When the newest contact with a majority of the members began; below 0: there is none.
  Tick contact = -1;
  /// The process is to end: it seeks no term and gives up those it has.
  bool leaving = false;
};

class QuotaCoordinator {
 public:
  QuotaCoordinator(std::string link, std::uint64_t life, OverdraftAllowance const& slack);

  /// The limits of the configuration in place, by tenant; those without a limit are left out.
  void configure(Tick now, std::map<std::string, Limit> limits);
  std::vector<Send> clockEvent(Tick now, MembershipView const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, UsageReport const& message,
                            MembershipView const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, PartitionLeaseRequest const& message,
                            MembershipView const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, PartitionLeaseReply const& message,
                            MembershipView const& standing);
  std::vector<Send> arrived(Tick now, std::string const& from, AllocationReport const& message,
                            MembershipView const& standing);

  /// Holds a term of that part.
  bool ownsPartition(Tick now, std::uint64_t part, MembershipView const& standing) const;
  /// Parts that are lent from here.
  std::size_t ownedPartitionCount(Tick now, MembershipView const& standing) const;

 private:
  /// A part that this controller lends.
  struct OwnedPartition {
    std::uint64_t epoch = 0;
    Tick since = 0;
    /// Loans of earlier lenders have run out by then.
    Tick unknownUntil = 0;
    /// Routers were asked for their loans, all of the roster of that time.
    bool asked = false;
    /// Those that have not answered yet.
    std::set<std::string> unheard;
    std::map<std::string, GrantTable> ledgers;
  };
  std::string holderOf(Tick now, std::uint64_t part, MembershipView const& standing) const;
  bool firstFor(std::uint64_t part, std::vector<std::string> const& alive) const;
  void considerSeeking(Tick now, MembershipView const& standing);
  void keepOffices(Tick now, MembershipView const& standing);
  void askTerms(std::vector<Send>& out, Tick now, MembershipView const& standing);
  void askClaims(std::vector<Send>& out, Tick now, MembershipView const& standing);
  void release(std::vector<Send>& out, Tick now, MembershipView const& standing);
  PartitionLeaseRequest termAsk(Tick now) const;
  GrantTable& ledgerOf(Tick now, OwnedPartition& office, std::string const& tenant);

  std::string link_;
  std::uint64_t incarnation_;
  OverdraftAllowance slack_;
  std::map<std::string, Limit> limits_;
  PartitionLeaseGrants grants_;
  PartitionLeases terms_;
  std::map<std::uint64_t, OwnedPartition> ownedPartitions_;
  /// Who was said to lend a part, and until when that is believed.
  std::map<std::uint64_t, std::pair<std::string, Tick>> announcedOwners_;
  /// Parts that are not sought again before then.
  std::map<std::uint64_t, Tick> restUntil_;
  Tick askAt_ = 0;
  Tick claimAt_ = 0;
};

}  // namespace corkward::quota
