#include <catch2/catch.hpp>

#include <corkward/config/config.h>
#include <corkward/control/guarantee_checks.h>
#include <corkward/core/guarantees.h>

namespace config = corkward::config;
namespace consensus = corkward::consensus;
namespace control = corkward::control;
namespace core = corkward::core;

namespace {

std::size_t newViolations() {
  return core::GuaranteeCounts::ofThread().takeNewViolations().size();
}

consensus::CallCompleted completed(std::uint64_t revision) {
  return consensus::CallCompleted{1, config::fleetConfigurationKey, revision, 200, {}};
}

}  // namespace

TEST_CASE("a revision that does not rise violates a guarantee") {
  newViolations();
  control::GuaranteeChecks checks;
  consensus::CommittedValue const value{"k", 3, {}};
  checks.checkCommitted(value, {});
  checks.checkCommitted(value, 2);
  CHECK(newViolations() == 0);
  checks.checkCommitted(value, 3);
  CHECK(newViolations() == 1);
}

TEST_CASE("two changes that are confirmed on the same base violate a guarantee") {
  newViolations();
  control::GuaranteeChecks checks;
  corkward::transport::OperatorCall call;
  call.ifMatch = "5";
  checks.checkConfirmed(completed(7), call);
  checks.checkConfirmed(completed(7), call);
  call.ifMatch = "6";
  checks.checkConfirmed(completed(8), call);
  CHECK(newViolations() == 0);
  call.ifMatch = "5";
  checks.checkConfirmed(completed(9), call);
  CHECK(newViolations() == 1);
}

TEST_CASE("a read that shows an older revision than was committed when it arrived violates a guarantee") {
  newViolations();
  control::GuaranteeChecks checks;
  control::PendingCall call;
  call.call.method = "GET";
  call.revisionAtArrival = 4;
  checks.checkServed(call, 200, {{"stamp", 4}});
  checks.checkServed(call, 503, {{"stamp", 3}});
  CHECK(newViolations() == 0);
  checks.checkServed(call, 200, {{"stamp", 3}});
  CHECK(newViolations() == 1);
}
