#include <catch2/catch.hpp>

#include <corkward/config/config.h>
#include <corkward/control/validator.h>

#include "../src/change_window.h"

namespace config = corkward::config;
namespace control = corkward::control;
using control::ChangeWindow;

TEST_CASE("a change is found by its id with all its fields") {
  ChangeWindow window((QJsonObject()));
  CHECK_FALSE(window.find("one"));
  window.append(ChangeWindow::Change{"one", "d", 201, 3, 7, 100});
  ChangeWindow const stored(QJsonObject{{"changes", window.json()}});
  std::optional<ChangeWindow::Change> const change = stored.find("one");
  REQUIRE(change);
  CHECK(change->digest == "d");
  CHECK(change->status == 201);
  CHECK(change->revision == 3);
  CHECK(change->version == 7);
  CHECK(stored.lastBytes() == 100);
}

TEST_CASE("the window drops the oldest changes beyond its bound") {
  ChangeWindow window((QJsonObject()));
  for (std::size_t change = 0; change <= config::changeWindow; ++change)
    window.append(ChangeWindow::Change{"c" + std::to_string(change), "", 200, change + 1});
  ChangeWindow const stored(QJsonObject{{"changes", window.json()}});
  CHECK(static_cast<std::size_t>(window.json().size()) == config::changeWindow);
  CHECK_FALSE(stored.find("c0"));
  CHECK(stored.find("c1"));
}

TEST_CASE("a configuration without a stored size counts as the largest allowed one") {
  CHECK(ChangeWindow((QJsonObject())).lastBytes() == static_cast<std::int64_t>(control::maxFleetConfigurationBytes));
}
