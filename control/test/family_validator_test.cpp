#include <catch2/catch.hpp>

#include <functional>

#include <corkward/config/regimes.h>

#include "validation_requests.h"

namespace config = corkward::config;
namespace control = corkward::control;
namespace core = corkward::core;
using control::operatorCall;
using control::RejectionReason;

namespace {

constexpr char const* desk = "/v1/templates/desk";
constexpr char const* nord = "/v1/templates/desk/instances/nord";
constexpr char const* spec = R"({"paths":[{"path":"a","pool":"model","class":"short"}]})";

/// A family whose validator treats all pools alike: as known or unknown, and as confirmed or not.
struct Family {
  control::ValidationResult call(corkward::transport::OperatorCall const& call) {
    control::ClusterView view;
    view.poolKnown = [&](std::string const&) { return poolKnown; };
    view.poolUnconfirmed = [&](std::string const&) { return poolUnconfirmed; };
    view.regimes = [] { return config::Regimes{}; };
    view.regimeFault = [](config::Regimes const&, std::string const&, std::string const&) {
      return std::optional<config::RegimeFault>();
    };
    control::ValidationResult result = control::validateFamily({revision, value, call}, view);
    if (auto const* const accepted = std::get_if<control::AcceptedChange>(&result);
        accepted != nullptr && !call.dryRun) {
      value = accepted->value;
      ++revision;
    }
    return result;
  }

  bool poolKnown = true;
  bool poolUnconfirmed = false;
  std::uint64_t revision = 0;
  QJsonObject value;
};

}  // namespace

TEST_CASE("a template and its instances have separate revisions within one family") {
  Family family;
  CHECK(control::isRejected(family.call(operatorCall("GET", desk)), RejectionReason::notFound));
  CHECK(control::isRejected(family.call(operatorCall("PUT", nord, "{}", "0")), RejectionReason::notFound));
  REQUIRE(control::isAccepted(family.call(operatorCall("PUT", desk, spec, "0", "one"))));
  REQUIRE(control::isAccepted(family.call(operatorCall("PUT", nord, "{}", "0", "two"))));
  control::Page const page = std::get<control::Page>(family.call(operatorCall("GET", nord)));
  CHECK(page.body.value("stamp").toInteger() == 2);
  control::Page const templatePage = std::get<control::Page>(family.call(operatorCall("GET", desk)));
  CHECK(templatePage.body.value("stamp").toInteger() == 1);
  CHECK(templatePage.body.value("instances").toArray().size() == 1);
  REQUIRE(control::isAccepted(family.call(operatorCall("DELETE", nord, "", "2", "three"))));
  CHECK(control::isRejected(family.call(operatorCall("GET", nord)), RejectionReason::notFound));
}

TEST_CASE(
    "a change of a family that does not name its entry's newest revision is rejected unless it was accepted before") {
  Family family;
  CHECK(control::isRejected(family.call(operatorCall("PUT", desk, spec)), RejectionReason::revisionMissing));
  REQUIRE(control::isAccepted(family.call(operatorCall("PUT", desk, spec, "0", "one"))));
  CHECK(control::isReplay(family.call(operatorCall("PUT", desk, spec, "0", "one"))));
  control::ValidationResult const stale = family.call(operatorCall("PUT", desk, spec, "0", "other"));
  REQUIRE(control::isRejected(stale, RejectionReason::staleRevision));
  CHECK(std::get<control::Rejection>(stale).revision == 1);
}

TEST_CASE("a family that names an unknown pool is invalid only if the pools are confirmed") {
  Family family;
  family.poolKnown = false;
  family.poolUnconfirmed = true;
  CHECK(control::isAccepted(family.call(operatorCall("PUT", desk, spec, "0"))));
  family.revision = 0;
  family.value = {};
  family.poolKnown = true;
  REQUIRE(control::isAccepted(family.call(operatorCall("PUT", desk, spec, "0", "one"))));
  family.poolKnown = false;
  CHECK(control::isRejected(family.call(operatorCall("PUT", nord, "{}", "0")), RejectionReason::unconfirmed));
  family.poolUnconfirmed = false;
  CHECK(control::isRejected(family.call(operatorCall("PUT", nord, "{}", "0")), RejectionReason::invalidConfiguration));
}
