#include <catch2/catch.hpp>

#include <QJsonArray>

#include <corkward/config/config.h>

#include "validation_requests.h"

namespace config = corkward::config;
namespace control = corkward::control;
namespace core = corkward::core;
using control::operatorCall;
using control::RejectionReason;

namespace {

std::string specOf(int version, std::string const& note = "") {
  return core::jsonText(QJsonObject{{"version", version},
                                    {"pools", QJsonArray{QJsonObject{{"name", "big"}}}},
                                    {"paths", QJsonArray{}},
                                    {"extra", QJsonObject{{"note", core::toQString(note)}}}});
}

QJsonObject pathOf(char const* name, char const* host) {
  return QJsonObject{{"name", name},   {"host", host},       {"prefix", "/a/"},
                     {"kind", "once"}, {"deadlineMs", 3000}, {"pool", "big"}};
}

QJsonObject specWithPaths(int version, QJsonArray const& paths) {
  return QJsonObject{{"version", version}, {"pools", QJsonArray{QJsonObject{{"name", "big"}}}}, {"paths", paths}};
}

corkward::transport::OperatorCall call(char const* method, QJsonObject const& body, std::string const& ifMatch) {
  return operatorCall(method, config::fleetConfigurationPage, core::jsonText(body), ifMatch);
}

bool isInvalidAt(control::ValidationResult const& result, std::string const& pointer) {
  return control::isRejected(result, RejectionReason::invalidConfiguration) &&
         std::get<control::Rejection>(result).pointer == pointer;
}

corkward::transport::OperatorCall put(int version, std::string const& ifMatch, std::string const& note = "") {
  return operatorCall("PUT", config::fleetConfigurationPage, specOf(version, note), ifMatch);
}

}  // namespace

TEST_CASE("the fleet configuration's version rises with each change") {
  control::ValidatedKey key(control::validateFleetConfiguration);
  CHECK(control::isRejected(key.call(put(5, "")), RejectionReason::versionMissing));
  control::ValidationResult const first = key.call(put(5, "0"));
  REQUIRE(control::isAccepted(first));
  CHECK(std::get<control::AcceptedChange>(first).status == core::HttpStatus::created);
  CHECK(std::get<control::AcceptedChange>(first).version == 5);
  control::ValidationResult const lower = key.call(put(4, "5"));
  REQUIRE(control::isRejected(lower, RejectionReason::invalidConfiguration));
  CHECK(std::get<control::Rejection>(lower).pointer == "/version");
  CHECK(std::get<control::Rejection>(lower).version == 5);
  control::ValidationResult const second = key.call(put(9, "\"5\""));
  REQUIRE(control::isAccepted(second));
  CHECK(std::get<control::AcceptedChange>(second).status == core::HttpStatus::ok);
  CHECK(key.revision == 2);
}

TEST_CASE("a resent change of the fleet configuration is a replay, another change on its base is stale") {
  control::ValidatedKey key(control::validateFleetConfiguration);
  REQUIRE(control::isAccepted(key.call(put(5, "0", "one"))));
  REQUIRE(control::isAccepted(key.call(put(6, "5", "two"))));
  control::ValidationResult const again = key.call(put(5, "0", "one"));
  REQUIRE(control::isReplay(again));
  CHECK(std::get<control::Replay>(again).revision == 1);
  CHECK(std::get<control::Replay>(again).version == 5);
  control::ValidationResult const other = key.call(put(5, "0", "other"));
  REQUIRE(control::isRejected(other, RejectionReason::staleVersion));
  CHECK(std::get<control::Rejection>(other).version == 6);
  CHECK(std::get<control::Rejection>(other).revision == 2);
  CHECK(control::isReplay(key.call(put(6, "6", "two"))));
}

TEST_CASE("the upper bound of the configuration's size grows with each patch and is reset by a full configuration") {
  corkward::transport::OperatorCall call = operatorCall("PATCH", config::fleetConfigurationPage, "12345");
  CHECK(control::fleetConfigurationBytes(100, call) == 105);
  call.method = "PUT";
  CHECK(control::fleetConfigurationBytes(100, call) == 5);
}

TEST_CASE("the fleet configuration cannot be deleted, or patched before it exists") {
  control::ValidatedKey key(control::validateFleetConfiguration);
  CHECK(control::isRejected(key.call(operatorCall("GET", config::fleetConfigurationPage)), RejectionReason::notFound));
  CHECK(control::isRejected(key.call(operatorCall("PATCH", config::fleetConfigurationPage, specOf(5), "0")),
                            RejectionReason::notFound));
  CHECK(control::isRejected(key.call(operatorCall("DELETE", config::fleetConfigurationPage, "", "0")),
                            RejectionReason::methodNotAllowed));
}

TEST_CASE("a configuration is read back with its hosts as they were sent") {
  control::ValidatedKey key(control::validateFleetConfiguration);
  QJsonObject const sent =
      specWithPaths(5, {pathOf("cap", "Night.example"), pathOf("port", "b:80"), pathOf("dot", "c.")});
  REQUIRE(control::isAccepted(key.call(call("PUT", sent, "0"))));
  control::ValidationResult const read = key.call(operatorCall("GET", config::fleetConfigurationPage));
  REQUIRE(std::holds_alternative<control::Page>(read));
  CHECK(std::get<control::Page>(read).body.value("spec").toObject() == sent);
}

TEST_CASE("a change that gives one host and prefix to two paths is rejected, however the host is spelled") {
  control::ValidatedKey key(control::validateFleetConfiguration);
  REQUIRE(control::isAccepted(key.call(call("PUT", specWithPaths(5, {pathOf("low", "night.example")}), "0"))));
  QJsonObject const both = specWithPaths(6, {pathOf("low", "night.example"), pathOf("cap", "Night.example")});
  CHECK(isInvalidAt(key.call(call("PUT", both, "5")), "/paths/1/prefix"));
  QJsonObject const add{{"version", 6}, {"set", QJsonObject{{"paths", QJsonArray{pathOf("cap", "Night.example")}}}}};
  CHECK(isInvalidAt(key.call(call("PATCH", add, "5")), "/paths/1/prefix"));
  QJsonObject respell{{"version", 6}, {"set", QJsonObject{{"paths", QJsonArray{pathOf("low", "Night.example")}}}}};
  CHECK(control::isAccepted(key.call(call("PATCH", respell, "5"))));
}

TEST_CASE("a configuration of an earlier release with two spellings of one host is read back and can be corrected") {
  QJsonObject const stored = specWithPaths(5, {pathOf("low", "night.example"), pathOf("cap", "Night.example")});
  control::ValidatedKey key(control::validateFleetConfiguration);
  key.revision = 1;
  key.value = QJsonObject{{"spec", stored}};
  control::ValidationResult const read = key.call(operatorCall("GET", config::fleetConfigurationPage));
  REQUIRE(std::holds_alternative<control::Page>(read));
  CHECK(std::get<control::Page>(read).body.value("spec").toObject() == stored);
  CHECK(control::isReplay(key.call(call("PUT", stored, "0"))));
  QJsonObject const unrelated{{"version", 6}, {"door", QJsonObject{{"headMs", 3000}}}};
  CHECK(isInvalidAt(key.call(call("PATCH", unrelated, "5")), "/paths/1/prefix"));
  QJsonObject const correction{{"version", 6}, {"drop", QJsonObject{{"paths", QJsonArray{"cap"}}}}};
  CHECK(control::isAccepted(key.call(call("PATCH", correction, "5"))));
}
