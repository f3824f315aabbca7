#pragma once

/// Rate limits of tenants over all nodes together: the meter that one controller keeps for a tenant, and the gate at
/// each router. Pure, with the time in each call; amounts are requests or tokens, as the tenant's limit is measured.

#include <cstdint>
#include <map>
#include <string>

#include <corkward/core/types.h>

namespace corkward::scaling {

using core::Tick;

/// A tenant's token bucket.
struct QuotaLimit {
  /// What flows into the bucket in a second; 0: no limit.
  double perSecond = 0;
  /// What the bucket holds.
  double burst = 0;
  bool operator==(QuotaLimit const&) const = default;
};

/// What may be admitted beyond the bucket in each window, as the fleet's operators bound it: an overrun as a share of
/// what the bucket gives, and a fixed slack. Zeros: nothing.
struct QuotaSlack {
  /// Milliseconds.
  Tick window = 8000;
  double overrun = 0;
  double fixed = 0;
};

/// Decay of an amount per second, as a running mean.
class AmountRate {
 public:
  /// Milliseconds after which an amount weighs 1/e.
  explicit AmountRate(Tick memory) : memory_(memory) {}
  void add(Tick now, double amount);
  double perSecond(Tick now) const;

 private:
  Tick memory_;
  Tick at_ = 0;
  double sum_ = 0;
};

/// Sums up what all routers report of one tenant and says which share of its requests they may admit.
///
/// The bucket's level falls below zero when routers have admitted more than it held, since their reports come late;
/// what is owed so is taken off later admissions, so that any window stays within the bucket and its slack.
class QuotaMeter {
 public:
  QuotaMeter(Tick now, QuotaLimit const& limit, QuotaSlack const& slack);

  /// The limit in force; a change keeps the level, cut to what the new bucket holds.
  void setLimit(Tick now, QuotaLimit const& limit, QuotaSlack const& slack);
  /// A router has seen requests of that amount, and admitted that amount of them.
  void report(Tick now, double demanded, double admitted);
  /// Share of the tenant's requests that routers may admit, 0 to 1.
  double admitShare(Tick now) const;
  /// What the tenant asks for in a second.
  double demand(Tick now) const { return demand_.perSecond(now); }
  double level(Tick now) const;

 private:
  double capacity() const;

  QuotaLimit limit_;
  QuotaSlack slack_;
  double level_ = 0;
  Tick at_ = 0;
  AmountRate demand_;
};

/// One tenant at one router: what is to be reported, and which requests are admitted.
class QuotaGate {
 public:
  QuotaGate();

  /// Whether a request of that amount may go on; draw is a random number, 0 to 1.
  bool admit(Tick now, QuotaLimit const& limit, double amount, double draw);
  /// An admitted request was handed to a replica.
  void used(double amount) { used_ += amount; }
  /// The tenant's meter has answered: the share to admit, and what all routers are asked for in a second.
  void share(Tick now, double share, double demand);

  /// What was seen and admitted since the last report, which this is.
  struct Report {
    std::uint64_t demanded = 0;
    std::uint64_t admitted = 0;
  };
  bool hasReport() const;
  Report takeReport(Tick now);
  /// A gate that has seen nothing for so long that it may be forgotten.
  bool idle(Tick now) const;

 private:
  double shareNow(Tick now, QuotaLimit const& limit) const;

  double share_ = 1.0;
  Tick sharedAt_ = 0;
  /// First report that the meter has not answered; below 0: none.
  Tick unanswered_ = -1;
  /// This router's own part of the tenant's demand when the meter last answered, 0 to 1; 1 before it ever did.
  double ownPart_ = 1.0;
  Tick seenAt_ = 0;
  double demanded_ = 0;
  double used_ = 0;
  AmountRate own_;
};

}  // namespace corkward::scaling
