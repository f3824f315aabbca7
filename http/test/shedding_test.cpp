#include <catch2/catch.hpp>

#include <vector>

#include "http/src/shedding.h"

namespace http = corkward::http;
using corkward::http::Holding;

namespace {

constexpr std::uint64_t megabyte = 1U << 20;

}  // namespace

TEST_CASE("connections that move little of what they hold give way, the costliest first") {
  Holding const stalled{4 * megabyte, 0, 10};
  Holding const dripping{4 * megabyte, 20, 10};
  Holding const progressing{4 * megabyte, megabyte, 10};
  Holding const smaller{megabyte, 0, 10};
  std::vector<Holding> const holdings{progressing, smaller, dripping, stalled};
  CHECK(http::stalledHoldings(holdings, 1) == std::vector<std::size_t>{3});
  CHECK(http::stalledHoldings(holdings, 5 * megabyte) == std::vector<std::size_t>{3, 1});
  CHECK(http::stalledHoldings(holdings, 100 * megabyte) == std::vector<std::size_t>{3, 1, 2});
}

TEST_CASE("a connection is watched for a while before it counts as stalled") {
  std::vector<Holding> const holdings{{4 * megabyte, 0, 1}};
  CHECK(http::stalledHoldings(holdings, megabyte).empty());
}

TEST_CASE("when the account is exceeded, connections that make progress give way, too, but never small ones") {
  Holding const progressing{2 * megabyte, megabyte, 0};
  Holding const faster{2 * megabyte, 2 * megabyte, 0};
  Holding const small{http::minShedBytes - 1, 0, 100};
  std::vector<Holding> const holdings{small, faster, progressing};
  CHECK(http::costliestHoldings(holdings, 1) == std::vector<std::size_t>{2});
  CHECK(http::costliestHoldings(holdings, 100 * megabyte) == std::vector<std::size_t>{2, 1});
}
