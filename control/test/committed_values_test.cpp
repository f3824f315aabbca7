#include <catch2/catch.hpp>

#include <corkward/control/committed_values.h>
#include <corkward/core/json.h>

namespace control = corkward::control;
namespace core = corkward::core;

TEST_CASE("the revision of a target is that of its key, or of its entry in a family") {
  QJsonObject const family =
      core::parseJson(R"({"template":{"spec":{},"stamp":2},"instances":{"nord":{"spec":{},"stamp":5}}})").toObject();
  control::CommittedValues const values{{"family:desk", {"family:desk", 6, family}}, {"zone:z1", {"zone:z1", 3, {}}}};
  CHECK(control::revisionOf(values, "family:desk") == 6);
  CHECK(control::revisionOf(values, "zone:z2") == 0);
  CHECK(control::revisionOf(values, control::Target{"zone:z1", "", ""}) == 3);
  CHECK(control::revisionOf(values, control::Target{"family:desk", "desk", ""}) == 2);
  CHECK(control::revisionOf(values, control::Target{"family:desk", "desk", "nord"}) == 5);
  CHECK(control::revisionOf(values, control::Target{"family:desk", "desk", "sued"}) == 0);
  CHECK(control::revisionOf(values, control::Target{"family:other", "other", ""}) == 0);
}

TEST_CASE("a contact with a majority confirms what was committed up to its start") {
  CHECK_FALSE(control::confirmedSince({}, 0));
  CHECK_FALSE(control::confirmedSince(99, 100));
  CHECK(control::confirmedSince(100, 100));
}
