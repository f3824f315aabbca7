#include <catch2/catch.hpp>

#include "validation_requests.h"

namespace control = corkward::control;
using control::operatorCall;
using control::RejectionReason;

namespace {

constexpr char const* path = "/v1/alerts/late";
constexpr char const* claimed = R"({"state":"claimed","by":"watch-1"})";

}  // namespace

TEST_CASE("an alert without a value reads as clear") {
  control::ValidatedKey key(control::validateAlert);
  control::Page const page = std::get<control::Page>(key.call(operatorCall("GET", path)));
  CHECK(page.body == QJsonObject{{"state", "clear"}, {"stamp", 0}});
}

TEST_CASE("a claim of an alert is accepted only on the current revision") {
  control::ValidatedKey key(control::validateAlert);
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, claimed)), RejectionReason::revisionMissing));
  REQUIRE(control::isAccepted(key.call(operatorCall("PUT", path, claimed, "0"))));
  control::ValidationResult const stale = key.call(operatorCall("PUT", path, claimed, "0"));
  REQUIRE(control::isRejected(stale, RejectionReason::staleRevision));
  CHECK(std::get<control::Rejection>(stale).revision == 1);
  CHECK(control::isAccepted(key.call(operatorCall("PUT", path, R"({"state":"done","by":"x"})", "\"1\""))));
}

TEST_CASE("an alert without a known state or the name of its author is rejected") {
  control::ValidatedKey key(control::validateAlert);
  for (char const* const body : {R"({"state":"late","by":"x"})", R"({"state":"clear"})", R"({"state":"clear","by":1})",
                                 R"({"state":"clear","by":"x","note":"n"})"})
    CHECK(control::isRejected(key.call(operatorCall("PUT", path, body, "0")), RejectionReason::invalidAlert));
  CHECK(control::isRejected(key.call(operatorCall("PUT", path, "{", "0")), RejectionReason::malformed));
  CHECK(control::isRejected(key.call(operatorCall("DELETE", path, "", "0")), RejectionReason::methodNotAllowed));
  CHECK(key.revision == 0);
}
