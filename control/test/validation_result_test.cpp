#include <catch2/catch.hpp>

#include <QJsonArray>
#include <set>
#include <string>

#include <corkward/core/json.h>

#include "../src/validation_result.h"

namespace consensus = corkward::consensus;
namespace control = corkward::control;
namespace core = corkward::core;
namespace transport = corkward::transport;
using control::RejectionReason;

namespace {

transport::OperatorCall callWithId(bool dryRun = false) {
  transport::OperatorCall call;
  call.changeId = "one";
  call.dryRun = dryRun;
  return call;
}

}  // namespace

TEST_CASE("each rejection reason has an error status and a text") {
  for (int reason = 0; reason <= static_cast<int>(RejectionReason::outcomeUnknown); ++reason) {
    auto const [status, error] = control::rejectionText(static_cast<RejectionReason>(reason));
    CHECK(core::code(status) >= core::firstErrorCode);
    CHECK(status != core::HttpStatus::internalServerError);
    CHECK_FALSE(std::string(error).empty());
  }
}

TEST_CASE("a rejection contains its reason, its pointer and the committed revision and version") {
  control::Rejection const rejection{RejectionReason::staleVersion, "why", "/version", 3, 7};
  consensus::Verdict const verdict = control::verdictOf(rejection, callWithId());
  CHECK(verdict.status == 412);
  CHECK_FALSE(verdict.change);
  CHECK(core::jsonText(verdict.body) ==
        R"({"error":"stale version","pointer":"/version","reason":"why","stamp":3,"version":7})");
}

TEST_CASE("a replay has the status of the first reply and changes nothing") {
  consensus::Verdict const verdict = control::verdictOf(control::Replay{201, 4, {}}, callWithId());
  CHECK(verdict.status == 201);
  CHECK_FALSE(verdict.change);
  CHECK(core::jsonText(verdict.body) == R"({"changeId":"one","replayed":true,"stamp":4})");
}

TEST_CASE("an accepted change has a next value, which a dry run does not commit") {
  control::AcceptedChange accepted{QJsonObject{{"a", 1}}};
  accepted.status = core::HttpStatus::created;
  accepted.revision = 5;
  accepted.uncovered = {"x"};
  consensus::Verdict const verdict = control::verdictOf(accepted, callWithId());
  CHECK(verdict.change);
  CHECK(verdict.status == 201);
  CHECK(verdict.value == accepted.value);
  CHECK(core::jsonText(verdict.body) == R"({"changeId":"one","stamp":5,"uncovered":["x"]})");
  accepted.marksDryRun = true;
  consensus::Verdict const dryRun = control::verdictOf(accepted, callWithId(true));
  CHECK_FALSE(dryRun.change);
  CHECK(dryRun.status == 200);
  CHECK(dryRun.body.value("dryRun").toBool());
}

TEST_CASE("a controller's own change is committed with an empty reply") {
  consensus::Verdict const verdict = control::verdictOf(control::AcceptedChange{QJsonObject{{"a", 1}}}, callWithId());
  CHECK(verdict.change);
  CHECK(verdict.body.isEmpty());
}
