#include <catch2/catch.hpp>

#include <corkward/config/config.h>
#include <corkward/control/validator.h>

namespace config = corkward::config;
namespace control = corkward::control;

namespace {

std::string keyOf(std::string const& path) {
  std::optional<control::Target> const target = control::targetOf(path);
  return target ? target->key : "";
}

}  // namespace

TEST_CASE("the path of each kind of page denotes one key") {
  CHECK(keyOf("/v1/templates/desk") == "family:desk");
  CHECK(keyOf("/v1/templates/desk/instances/nord") == "family:desk");
  CHECK(control::targetOf("/v1/templates/desk/instances/nord")->entry == "nord");
  CHECK(keyOf("/v1/certificates") == config::regimesKey);
  CHECK(control::targetOf("/v1/certificates/c1")->entry == "c1");
  CHECK(keyOf(config::fleetConfigurationPage) == config::fleetConfigurationKey);
  CHECK(keyOf("/v1/evacuations/Zone%20A") == "zone:Zone A");
  CHECK(keyOf("/v1/alerts/late") == "alert:late");
  CHECK(keyOf("/v1/platform/pools/a%2Fb") == "pool:a/b");
  CHECK(keyOf("/v1/roster/nodes") == "roster");
  CHECK(control::targetOf("/v1/nodes/n1")->entry == "n1");
}

TEST_CASE("other paths denote no key") {
  for (char const* const path : {"", "/", "/v1", "/v1/templates", "/v2/templates/desk", "/v1/templates/desk/instances",
                                 "/v1/templates/desk/instances/nord/x", "/v1/certificates/c1/x", "/v1/evacuations",
                                 "/v1/evacuations/a/b", "/v1/alerts/late/x", "/v1/platform/lists/model",
                                 "/v1/platform/pools", "/v1/roster", "/v1/nodes/", "/v1/other/x"})
    CHECK(keyOf(path).empty());
  CHECK(keyOf("/v1/nodes/" + std::string(63, 'n')) == "roster");
  CHECK(keyOf("/v1/nodes/" + std::string(64, 'n')).empty());
}
