#pragma once

/// One tenant at one router: which of its requests go on, by the fraction of the limit that was lent to this router and
/// by single amounts that it asks for. Pure, with the time in each call.

#include <cstdint>

#include <corkward/quota/demand_estimator.h>
#include <corkward/quota/limit.h>
#include <corkward/quota/messages.h>

namespace corkward::quota {

/// A router without a loan counts as one of so many that share unlentPart.
struct UnallocatedShare {
  std::size_t routers = 1;
};

class QuotaLimiter {
 public:
  /// Milliseconds between reports while requests come.
  static constexpr Tick reportEvery = 200;

  QuotaLimiter();

  /// A request of that amount has come. False: the share that was told does not let it on; draw: a random number, 0 to
  /// 1.
  bool onRequest(Tick now, double amount, double draw);
  /// Takes the amount out of what this router has, if that suffices.
  bool tryAcquire(Tick now, Limit const& limit, OverdraftAllowance const& slack, double amount);
  /// Takes the amount out of this router's part of unlentPart. For a greater amount than is there, a
  /// draw decides, whose odds are what is there over the amount and which uses that up, so that in the mean nothing is
  /// taken beyond it.
  bool tryAcquireUnallocated(Tick now, Limit const& limit, OverdraftAllowance const& slack, double amount,
                             UnallocatedShare crowd, double draw);
  /// An amount that was taken is not needed after all.
  void refund(Tick now, Limit const& limit, OverdraftAllowance const& slack, double amount);

  /// An answer to a report that was sent at `askedAt`; amounts that come later than handOverWithin / 2 are void.
  void onGrant(Tick now, Limit const& limit, OverdraftAllowance const& slack, Tick askedAt, QuotaGrant const& loan);
  /// Puts back what is beyond this router's capacity, once requests that waited have been served.
  void trim(Tick now, Limit const& limit, OverdraftAllowance const& slack);

  /// What is to be reported; what it gives back is taken off here.
  TenantUsage report(Tick now, Limit const& limit, OverdraftAllowance const& slack, double wanted);
  /// The loan as it is held, without giving anything back.
  TenantUsage currentUsage(Tick now, Limit const& limit, OverdraftAllowance const& slack) const;
  /// A report is due: requests came, or a loan is to be prolonged or given back.
  bool reportDue(Tick now) const;
  /// Nothing is held and nothing came for so long that it may be forgotten.
  bool idle(Tick now) const;
  bool hasAllocation(Tick now) const { return now < until_ && fraction_ > 0; }
  double remaining(Tick now, Limit const& limit, OverdraftAllowance const& slack) const;

 private:
  void settle(Tick now, Limit const& limit, OverdraftAllowance const& slack);
  /// Puts aside for the lender what is beyond `most`. True: there was something.
  bool shed(double most);
  void renewed(Tick now, Tick askedAt, QuotaGrant const& loan);
  /// What flows into this router's fraction is still the lender's.
  bool connected(Tick now) const;
  /// What this router may hold at the most.
  double most(Tick now, Limit const& limit, OverdraftAllowance const& slack) const;

  DemandEstimator demand_;
  Tick seenAt_ = -1;
  bool fresh_ = false;
  double share_ = 1.0;
  Tick sharedAt_ = 0;
  double fraction_ = 0;
  Tick until_ = 0;
  /// When the newest loan arrived.
  Tick lentAt_ = -ownFlowAfter;
  std::uint64_t epoch_ = 0;
  std::uint64_t number_ = 0;
  double left_ = 0;
  Tick at_ = 0;
  double returned_ = 0;
  double unlent_ = 0;
  Tick unlentAt_ = -1;
  Tick renewedAt_ = -reportEvery;
};

}  // namespace corkward::quota
