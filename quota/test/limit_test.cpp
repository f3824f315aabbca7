#include <catch2/catch.hpp>

#include <corkward/quota/limit.h>

namespace quota = corkward::quota;

TEST_CASE("the dispatched amount stays within the allowed amount if the allowance covers the dispatch delay") {
  for (quota::Limit const& limit : {quota::Limit{1000, 1000}, quota::Limit{3, 3}, quota::Limit{457857, 457857}})
    for (quota::OverdraftAllowance const& allowance :
         {quota::OverdraftAllowance{8000, 0.1, 500}, quota::OverdraftAllowance{5000, 0.1, 20},
          quota::OverdraftAllowance{5000, 0.2, 0}})
      CHECK(quota::maxDispatchedAmount(limit, allowance) <= quota::allowedAmount(limit, allowance) * 1.000001);
  CHECK(quota::totalCapacity({1000, 1000}, {8000, 0, 0}) == 500.0);
}
