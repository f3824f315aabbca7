#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <iostream>

#include <corkward/core/guarantees.h>

namespace {

int casesWithBrokenPromises = 0;

/// Names each test case in which the code violated a guarantee that the test did not ask for with
/// GuaranteeCounts::takeNewViolations.
struct PromiseListener : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;
  void testCaseStarting(Catch::TestCaseInfo const& info) override {
    TestEventListenerBase::testCaseStarting(info);
    corkward::core::GuaranteeCounts::ofThread().takeNewViolations();
  }
  void testCaseEnded(Catch::TestCaseStats const& stats) override {
    std::vector<std::string> const broken = corkward::core::GuaranteeCounts::ofThread().takeNewViolations();
    for (std::string const& line : broken) std::cerr << stats.testInfo.name << ": " << line << "\n";
    casesWithBrokenPromises += broken.empty() ? 0 : 1;
    TestEventListenerBase::testCaseEnded(stats);
  }
};

}  // namespace

CATCH_REGISTER_LISTENER(PromiseListener)

/// Runs the tests; they also fail when the code under test broke one of its promises.
int main(int argc, char** argv) {
  int const failed = Catch::Session().run(argc, argv);
  if (casesWithBrokenPromises == 0) return failed;
  std::cerr << casesWithBrokenPromises << " test cases in which a promise was broken\n";
  return failed == 0 ? 1 : failed;
}
