#include <catch2/catch.hpp>

#include "validation_requests.h"

namespace control = corkward::control;
using control::operatorCall;
using control::RejectionReason;

namespace {

constexpr char const* path = "/v1/platform/pools/model";

std::string listOf(int generation, std::string const& id = "r1") {
  return R"({"generation":)" + std::to_string(generation) + R"(,"replicas":[{"id":")" + id +
         R"(","address":"10.0.0.1:80","zone":"z1","state":"serving"}]})";
}

}  // namespace

TEST_CASE("an endpoint list replaces only one of a lower generation") {
  control::ValidatedKey key(control::validateEndpointList);
  CHECK(control::isRejected(key.call(operatorCall("GET", path)), RejectionReason::notFound));
  REQUIRE(control::isAccepted(key.call(operatorCall("PUT", path, listOf(3)))));
  CHECK(control::isReplay(key.call(operatorCall("PUT", path, listOf(3)))));
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, listOf(3, "r2"))), RejectionReason::olderGeneration));
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, listOf(2))), RejectionReason::olderGeneration));
  CHECK(control::isAccepted(key.call(operatorCall("PUT", path, listOf(4)))));
  CHECK(std::get<control::Page>(key.call(operatorCall("GET", path))).body.value("stamp").toInteger() == 2);
}

TEST_CASE("a list that a controller read is rejected if another list was committed meanwhile") {
  control::ValidatedKey key(control::validateEndpointList);
  REQUIRE(control::isAccepted(key.call(operatorCall("PUT", path, listOf(1), "0"))));
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, listOf(2), "0")), RejectionReason::listReplaced));
  CHECK(control::isAccepted(key.call(operatorCall("PUT", path, listOf(2), "1"))));
}

TEST_CASE("an endpoint list that cannot be read changes nothing") {
  control::ValidatedKey key(control::validateEndpointList);
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, "[")), RejectionReason::malformed));
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, "7")), RejectionReason::malformed));
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, "{}")), RejectionReason::invalidEndpointList));
  CHECK(key.revision == 0);
}
