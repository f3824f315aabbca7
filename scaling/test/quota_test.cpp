#include <catch2/catch.hpp>

#include <deque>
#include <vector>

#include <corkward/scaling/quota.h>

namespace core = corkward::core;
namespace scaling = corkward::scaling;
using core::Tick;

namespace {

/// One tenant's requests over many gates and one meter, whose reports and answers take a while on their way.
class Fleet {
 public:
  Fleet(std::size_t gates, scaling::QuotaLimit const& limit, scaling::QuotaSlack const& slack, std::uint64_t seed)
      : limit_(limit), slack_(slack), meter_(now_, limit, slack), gates_(gates), rng_(seed * seedStep) {}

  /// Plays the time at so many units a second, in requests of `size` units at a mean.
  void play(Tick time, double perSecond, double size, bool meterAnswers = true) {
    for (Tick const end = now_ + time; now_ < end; ++now_) {
      double const expected = perSecond / size / 1000.0;
      for (int i = 0; i < 8; ++i)
        if (rng_.chance(expected / 8.0)) request(size * (0.5 + static_cast<double>(rng_.below(1000)) / 1000.0));
      if (now_ % reportEvery == 0) report(meterAnswers);
    }
  }
  /// Most that was admitted in a window of the slack's length.
  double mostInWindow() const {
    double most = 0;
    double sum = 0;
    std::size_t from = 0;
    for (Admitted const& a : admitted_) {
      sum += a.amount;
      while (a.at - admitted_[from].at >= slack_.window) sum -= admitted_[from++].amount;
      most = std::max(most, sum);
    }
    return most;
  }
  double allowed() const {
    double const window = limit_.perSecond * static_cast<double>(slack_.window) / 1000.0 + limit_.burst;
    return window * (1.0 + slack_.overrun) + slack_.fixed;
  }
  double asked = 0;
  double given = 0;

 private:
  /// Seeds that follow one another would give one sequence, shifted.
  static constexpr std::uint64_t seedStep = 1000003;
  static constexpr Tick reportEvery = 100;
  static constexpr Tick tellEvery = 200;
  struct Admitted {
    Tick at = 0;
    double amount = 0;
  };
  void request(double amount) {
    std::size_t const at = rng_.below(gates_.size());
    asked += amount;
    double const draw = static_cast<double>(rng_.below(1000000)) / 1000000.0;
    if (!gates_[at].admit(now_, limit_, amount, draw)) return;
    gates_[at].used(amount);
    given += amount;
    admitted_.push_back({now_, amount});
  }
  void report(bool meterAnswers) {
    if (meterAnswers && now_ % tellEvery == 0)
      for (scaling::QuotaGate& gate : gates_) gate.share(now_, meter_.admitShare(now_), meter_.demand(now_));
    for (scaling::QuotaGate& gate : gates_) {
      if (!gate.hasReport()) continue;
      scaling::QuotaGate::Report const use = gate.takeReport(now_);
      if (!meterAnswers) continue;
      meter_.report(now_, static_cast<double>(use.demanded), static_cast<double>(use.admitted));
      gate.share(now_, meter_.admitShare(now_), meter_.demand(now_));
    }
  }

  Tick now_ = 1000;
  scaling::QuotaLimit limit_;
  scaling::QuotaSlack slack_;
  scaling::QuotaMeter meter_;
  std::vector<scaling::QuotaGate> gates_;
  core::Rng rng_;
  std::deque<Admitted> admitted_;
};

constexpr scaling::QuotaSlack slack{8000, 0.1, 140000};

}  // namespace

TEST_CASE("a tenant within its limit is hardly ever refused, however its requests fall on the gates") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (double const limit : {36000.0, 460000.0}) {
      Fleet fleet(87, {limit, limit}, slack, seed);
      fleet.play(30000, limit / 1.3, 4000);
      CHECK(fleet.given >= 0.99 * fleet.asked);
    }
}

TEST_CASE("a tenant that suddenly sends many times its usual stays within its bucket and slack in every window") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (double const limit : {36000.0, 460000.0})
      for (double const times : {2.0, 7.5, 20.0}) {
        Fleet fleet(87, {limit, limit}, slack, seed);
        fleet.play(10000, limit / 1.3, 4000);
        fleet.play(12000, times * limit / 1.3, 4000);
        fleet.play(5000, limit / 1.3, 4000);
        CAPTURE(seed, limit, times);
        CHECK(fleet.mostInWindow() <= fleet.allowed());
      }
}

TEST_CASE("a tenant beyond its limit gets what the limit gives, not less") {
  Fleet fleet(87, {460000, 460000}, slack, 3);
  fleet.play(20000, 2000000, 4000);
  CHECK(fleet.given >= 0.9 * 20 * 460000);
}

TEST_CASE("a tenant without a limit is let on always") {
  Fleet fleet(4, {0, 0}, slack, 1);
  fleet.play(2000, 1000000, 1000);
  CHECK(fleet.given == fleet.asked);
}

TEST_CASE("gates whose meter falls silent keep the tenant near its limit, each by its own part of it") {
  Fleet fleet(20, {100000, 100000}, scaling::QuotaSlack{8000, 0, 0}, 5);
  fleet.play(10000, 90000, 1000);
  double const before = fleet.given;
  fleet.play(1600, 90000, 1000, false);
  fleet.play(10000, 800000, 1000, false);
  CHECK(fleet.given - before <= 3.0 * 12 * 100000);
  CHECK(fleet.given - before >= 0.5 * 10 * 100000);
}

TEST_CASE("a lower limit binds at once, and a meter's debt is paid back before more is admitted") {
  scaling::QuotaMeter meter(0, {1000, 1000}, {});
  CHECK(meter.admitShare(0) == 1.0);
  meter.report(5000, 4000, 4000);
  CHECK(meter.level(5000) == -3000);
  CHECK(meter.admitShare(5000) == 0.0);
  CHECK(meter.level(9000) == 1000);
  meter.setLimit(9000, {10, 20}, {});
  CHECK(meter.level(9000) == 20);
  meter.report(9000, 4000, 0);
  CHECK(meter.admitShare(9000) < 0.01);
}
