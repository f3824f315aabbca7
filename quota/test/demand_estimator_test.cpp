#include <catch2/catch.hpp>
#include <cmath>

#include <corkward/quota/decaying_maximum.h>
#include <corkward/quota/demand_estimator.h>

namespace quota = corkward::quota;

TEST_CASE("a steady demand is estimated at its rate, and decays to 1/e within the time constant") {
  quota::DemandEstimator demand(3000);
  for (corkward::core::Milliseconds now = 0; now <= 60000; now += 10) demand.add(now, 5);
  CHECK(demand.perSecond(60000) == Approx(500).epsilon(0.01));
  CHECK(demand.perSecond(63000) == Approx(demand.perSecond(60000) / std::exp(1.0)));
}

TEST_CASE("a maximum decays to half within its half-life until a larger amount is recorded") {
  quota::DecayingMaximum maximum(20000);
  CHECK(maximum.value(0) == 0.0);
  maximum.record(0, 100);
  maximum.record(1000, 20);
  CHECK(maximum.value(20000) == Approx(50));
  maximum.record(20000, 60);
  CHECK(maximum.value(20000) == 60.0);
  CHECK(maximum.value(40000) == Approx(30));
}
