#include <catch2/catch.hpp>

#include "validation_requests.h"

namespace control = corkward::control;
using control::operatorCall;
using control::RejectionReason;

namespace {

constexpr char const* path = "/v1/evacuations/z1";

}  // namespace

TEST_CASE("a repeated evacuation, or a repeated end of one, is a replay") {
  control::ValidatedKey key(control::validateEvacuation);
  CHECK(control::isReplay(key.call(operatorCall("DELETE", path))));
  control::ValidationResult const first = key.call(operatorCall("PUT", path));
  REQUIRE(control::isAccepted(first));
  CHECK(std::get<control::AcceptedChange>(first).evacuated == true);
  CHECK(std::get<control::AcceptedChange>(first).revision == 1);
  CHECK(control::isReplay(key.call(operatorCall("PUT", path))));
  CHECK(std::get<control::Page>(key.call(operatorCall("GET", path))).body.value("evacuated").toBool());
  CHECK(control::isAccepted(key.call(operatorCall("DELETE", path))));
  CHECK_FALSE(key.value.value("evacuated").toBool());
}

TEST_CASE("a delayed evacuation is rejected after the zone was changed") {
  control::ValidatedKey key(control::validateEvacuation);
  REQUIRE(control::isAccepted(key.call(operatorCall("PUT", path, "", "0"))));
  REQUIRE(control::isAccepted(key.call(operatorCall("DELETE", path, "", "1"))));
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, "", "1")), RejectionReason::outcomeUnknown));
  CHECK(control::isAccepted(key.call(operatorCall("PUT", path, "", "2"))));
}
