#include <catch2/catch.hpp>

#include <corkward/scaling/read_rate.h>

namespace core = corkward::core;
namespace scaling = corkward::scaling;

namespace {

/// First words of prompts that are read at so many tokens a millisecond, every other one behind other work.
void readAt(scaling::ReadRate& rate, double perMs, int prompts, std::uint64_t seed) {
  core::Rng rng(seed);
  for (int i = 0; i < prompts; ++i) {
    double const tokens = 3000.0 + static_cast<double>(rng.below(30000));
    core::Tick const waited = i % 2 == 0 ? 0 : static_cast<core::Tick>(rng.below(800));
    rate.sample(tokens, 20 + static_cast<core::Tick>(tokens / perMs) + waited);
  }
}

}  // namespace

TEST_CASE("the rate at which replicas read is learned though half of the prompts wait behind others") {
  for (double const perMs : {20.0, 56.6, 112.0, 400.0}) {
    scaling::ReadRate rate(100);
    readAt(rate, perMs, 40, 3);
    CHECK(rate.perMs() > 0.85 * perMs);
    CHECK(rate.perMs() < 1.1 * perMs);
  }
}

TEST_CASE("the first rate holds until enough was seen, and short prompts tell nothing") {
  scaling::ReadRate rate(100);
  readAt(rate, 50, 3, 1);
  CHECK(rate.perMs() == 100);
  for (int i = 0; i < 100; ++i) rate.sample(500, 1000);
  CHECK(rate.perMs() == 100);
  readAt(rate, 50, 1, 1);
  CHECK(rate.perMs() < 60);
}

TEST_CASE("a pool whose replicas become slower is followed") {
  scaling::ReadRate rate(100);
  readAt(rate, 112, 40, 2);
  readAt(rate, 40, 40, 2);
  CHECK(rate.perMs() < 45);
}
