#pragma once

/// What the lender of one tenant's limit has lent, to whom and until when. Pure, with the time in each call.
///
/// The limit is spread in fractions: each router holds one under a loan, the lender keeps what is not lent out. While a
/// router is in touch, what flows into its fraction flows to the lender, and the router asks for single amounts beside
/// the little that it holds; a router out of touch spends its fraction by itself (see limit.h). A smaller loan frees
/// the difference only when the router says that it has it, or when the older one has run out.

#include <cstdint>
#include <map>
#include <string>

#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

class GrantTable {
 public:
  /// Epoch: the lender's term. Unknown: loans of an earlier lender may be out that this one has not heard of; they run
  /// out by `unknownUntil`.
  GrantTable(Tick now, std::uint64_t epoch, Limit const& limit, OverdraftAllowance const& slack, Tick unknownUntil);

  void setLimit(Tick now, Limit const& limit, OverdraftAllowance const& slack);
  /// A router holds a loan of an earlier lender, by its own word.
  void claim(Tick now, std::string const& router, std::uint64_t life, TenantUsage const& use);
  /// Only so many routers may hold loans that this ledger does not know.
  void unheard(Tick now, std::size_t routers);
  /// Takes a router's report in and answers it. Lends: the router may get a fraction, not only single amounts.
  QuotaGrant report(Tick now, std::string const& router, std::uint64_t life, TenantUsage const& use, bool lends);

  /// What the lender may lend at once.
  double level(Tick now) const;
  /// Fraction that is out, or may be.
  double out(Tick now) const;
  double demand(Tick now) const;

 private:
  /// One router's loan.
  struct Entry {
    std::uint64_t incarnation = 0;
    /// Newest loan: its number, its fraction, and until when the router may spend it.
    std::uint64_t number = 0;
    double fraction = 0;
    Tick until = 0;
    /// Greatest fraction that it may still hold.
    double reserved = 0;
    /// When the newest loan was sent, and until when the flow into the fraction is the lender's.
    Tick sentAt = 0;
    Tick flowUntil = 0;
    double demand = 0;
    double left = 0;
    Tick heard = 0;
  };
  void settle(Tick now);
  double unknown(Tick now) const;
  double kept(Tick now) const;
  /// What the lender may hold at the most.
  double most(Tick now) const;
  /// What has flowed to the lender since the level was settled.
  double flowed(Tick now) const;
  void topUp(Tick now, Entry const& entry, QuotaGrant& loan);
  Entry& entryOf(std::string const& router, std::uint64_t life);
  /// Greatest fraction that is lent out: what is kept must do for the largest requests that were seen of late.
  double lendable(Tick now) const;
  void sawAmount(Tick now, double amount);
  double fractionFor(Tick now, std::string const& router) const;
  double share(Tick now) const;
  /// Takes in what a router says of itself.
  void heard(Tick now, Entry& entry, TenantUsage const& use);
  void lend(Tick now, Entry& entry, double fraction, QuotaGrant& loan);

  std::uint64_t epoch_;
  Limit limit_;
  OverdraftAllowance slack_;
  std::map<std::string, Entry> entries_;
  double level_ = 0;
  Tick at_ = 0;
  /// Largest single amount that was wanted, and when; it fades.
  double largest_ = 0;
  Tick largestAt_ = 0;
  double unknown_ = 0;
  Tick unknownUntil_ = 0;
  std::uint64_t nextNumber_ = 1;
};

}  // namespace corkward::quota
