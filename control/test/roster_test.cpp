#include <catch2/catch.hpp>

#include <corkward/control/roster.h>
#include <corkward/core/json.h>

namespace control = corkward::control;
namespace core = corkward::core;

namespace {

QJsonObject rosterJson() {
  return core::parseJson(
             R"({"nodes":[{"link":"b","http":"h","zone":"z1"},{"link":"c","http":"","zone":""}],
                 "previous":[{"link":"a","http":"","zone":""},{"link":"b","http":"","zone":""}],"gone":["x"]})")
      .toObject();
}

}  // namespace

TEST_CASE("a roster's nodes are parsed from objects, its departed nodes from links") {
  control::RosterValue const value = control::RosterValue::parse(rosterJson());
  REQUIRE(value.nodes.size() == 2);
  CHECK(value.nodes[0].link == "b");
  CHECK(value.nodes[0].httpAddress == "h");
  CHECK(value.nodes[0].zone == "z1");
  CHECK(value.previousNodes == std::set<std::string>{"a", "b"});
  CHECK(value.departed == std::set<std::string>{"x"});
}

TEST_CASE("a proposal contains the nodes and the departed nodes, not the previous nodes") {
  QJsonObject const proposal = control::RosterValue::parse(rosterJson()).proposalJson();
  CHECK(core::jsonText(proposal) ==
        R"({"gone":["x"],"nodes":[{"http":"h","link":"b","zone":"z1"},{"http":"","link":"c","zone":""}]})");
}

TEST_CASE("bit positions are the sorted links of the nodes and the previous nodes") {
  control::Roster roster;
  CHECK(roster.revision() == 0);
  CHECK(roster.bitPositions().empty());
  roster.load(700, 3, rosterJson());
  CHECK(roster.revision() == 3);
  CHECK(roster.committedAt() == 700);
  CHECK(roster.nodes() == std::set<std::string>{"b", "c"});
  CHECK(roster.bitPositions() == std::vector<std::string>{"a", "b", "c"});
  roster.load(800, 4, core::parseJson(R"({"nodes":[{"link":"d"}]})").toObject());
  CHECK(roster.bitPositions() == std::vector<std::string>{"d"});
  CHECK(roster.departed().empty());
}
