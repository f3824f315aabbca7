#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <iostream>

#include <corkward/core/guarantees.h>

namespace {

int casesWithViolations = 0;

/// Prints each test case in which the code violated a guarantee and the test did not take the violation with
/// GuaranteeCounts::takeNewViolations.
struct GuaranteeListener : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;
  void testCaseStarting(Catch::TestCaseInfo const& info) override {
    TestEventListenerBase::testCaseStarting(info);
    corkward::core::GuaranteeCounts::ofThread().takeNewViolations();
  }
  void testCaseEnded(Catch::TestCaseStats const& stats) override {
    std::vector<std::string> const broken = corkward::core::GuaranteeCounts::ofThread().takeNewViolations();
    for (std::string const& line : broken) std::cerr << stats.testInfo.name << ": " << line << "\n";
    casesWithViolations += broken.empty() ? 0 : 1;
    TestEventListenerBase::testCaseEnded(stats);
  }
};

}  // namespace

CATCH_REGISTER_LISTENER(GuaranteeListener)

/// Runs the tests. Also fails if the code under test violated one of its guarantees.
int main(int argc, char** argv) {
  int const failed = Catch::Session().run(argc, argv);
  if (casesWithViolations == 0) return failed;
  std::cerr << casesWithViolations << " test cases violated a guarantee\n";
  return failed == 0 ? 1 : failed;
}
