#include <catch2/catch.hpp>

#include <corkward/quota/lender.h>

namespace quota = corkward::quota;

namespace {

quota::Report report(std::string const& link, std::string const& tenant) {
  quota::Use use;
  use.tenant = tenant;
  use.wanted = 5;
  return {link, 1, 9, {use}};
}

}  // namespace

TEST_CASE("a report in another's name is not taken; one of a tenant without a limit here is answered in full") {
  quota::Lender lender("c1", 1, quota::Slack{});
  lender.configure(0, {{"a", {1000, 1000}}});
  quota::Standing const standing;
  CHECK(lender.arrived(10, "n1", report("n2", "a"), standing).empty());
  std::vector<quota::Send> const sends = lender.arrived(10, "n1", report("n1", "free"), standing);
  REQUIRE(sends.size() == 1);
  CHECK(sends[0].to == "n1");
  quota::Loans const loans = std::get<quota::Loans>(sends[0].message);
  CHECK(loans.report == 9);
  REQUIRE(loans.loans.size() == 1);
  CHECK(loans.loans[0].amount == 5);
}

TEST_CASE("who holds no term lends nothing and names nobody") {
  quota::Lender lender("c1", 1, quota::Slack{});
  lender.configure(0, {{"a", {1000, 1000}}});
  std::vector<quota::Send> const sends = lender.arrived(10, "n1", report("n1", "a"), quota::Standing{});
  REQUIRE(sends.size() == 1);
  quota::Loans const loans = std::get<quota::Loans>(sends[0].message);
  CHECK(loans.loans.empty());
  REQUIRE(loans.elsewhere.size() == 1);
  CHECK(loans.elsewhere[0].lender.empty());
}
