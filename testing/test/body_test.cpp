#include <catch2/catch.hpp>

#include "body.h"

namespace testing = corkward::testing;

TEST_CASE("a body is complete only if it contains all tokens of one run in order and ends after them") {
  std::string const good = testing::bodyOf("r-1", 5);
  CHECK(testing::checkBody(good).complete);
  CHECK(testing::checkBody(good).tokens == 5);
  for (std::size_t cut = 0; cut < good.size(); ++cut) CHECK_FALSE(testing::checkBody(good.substr(0, cut)).complete);
  std::string const line = testing::tokenText("r-1", 2);
  std::size_t const at = good.find(line);
  std::string gap = good;
  gap.erase(at, line.size());
  CHECK_FALSE(testing::checkBody(gap).complete);
  CHECK_FALSE(testing::checkBody(gap).oneRun);
  std::string repeat = good;
  repeat.insert(at, line);
  CHECK_FALSE(testing::checkBody(repeat).oneRun);
  std::string mixed = good;
  mixed.replace(at, line.size(), testing::tokenText("r-2", 2));
  CHECK_FALSE(testing::checkBody(mixed).oneRun);
  CHECK_FALSE(testing::checkBody(good + testing::tokenText("r-1", 5)).complete);
}

TEST_CASE("a body truncated at any byte is from one run and incomplete") {
  std::string const all = corkward::testing::bodyOf("r-7", 12);
  for (std::size_t n = 0; n < all.size(); ++n) {
    corkward::testing::BodyVerdict const v = corkward::testing::checkBody(all.substr(0, n));
    INFO(n);
    CHECK(v.oneRun);
    CHECK_FALSE(v.complete);
  }
  CHECK_FALSE(corkward::testing::checkBody(all.substr(0, 30) + "other 3").oneRun);
}
