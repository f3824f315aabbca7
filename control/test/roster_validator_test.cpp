#include <catch2/catch.hpp>

#include <QJsonArray>

#include "validation_requests.h"

namespace control = corkward::control;
using control::operatorCall;
using control::RejectionReason;

namespace {

constexpr char const* proposalPath = "/v1/roster/nodes";

std::string proposalOf(std::vector<std::string> const& links) {
  QJsonArray nodes;
  for (std::string const& link : links) nodes.append(QJsonObject{{"link", corkward::core::toQString(link)}});
  return corkward::core::jsonText(QJsonObject{{"nodes", nodes}, {"gone", QJsonArray{}}});
}

}  // namespace

TEST_CASE("an accepted roster contains the nodes of the previous one") {
  control::ValidatedKey key(control::validateRoster);
  REQUIRE(control::isAccepted(key.call(operatorCall("ROSTER", proposalPath, proposalOf({"a", "b"}), "0"))));
  CHECK(key.value.value("previous").toArray().isEmpty());
  CHECK(control::isRejected(key.call(operatorCall("ROSTER", proposalPath, proposalOf({"a"}), "0")),
                            RejectionReason::staleRevision));
  REQUIRE(control::isAccepted(key.call(operatorCall("ROSTER", proposalPath, proposalOf({"a"}), "1"))));
  CHECK(key.value.value("previous").toArray().size() == 2);
}

TEST_CASE("a node of the current or previous roster is declared departed once") {
  control::ValidatedKey key(control::validateRoster);
  REQUIRE(control::isAccepted(key.call(operatorCall("ROSTER", proposalPath, proposalOf({"a", "b"}), "0"))));
  CHECK(control::isRejected(key.call(operatorCall("DELETE", "/v1/nodes/c")), RejectionReason::notFound));
  REQUIRE(control::isAccepted(key.call(operatorCall("DELETE", "/v1/nodes/a"))));
  CHECK(key.value.value("nodes").toArray().size() == 1);
  CHECK(key.value.value("previous").toArray().size() == 2);
  CHECK(key.value.value("gone").toArray() == QJsonArray{"a"});
  CHECK(control::isReplay(key.call(operatorCall("DELETE", "/v1/nodes/a"))));
  REQUIRE(control::isAccepted(key.call(operatorCall("ROSTER", proposalPath, proposalOf({"c"}), "2"))));
  CHECK(control::isAccepted(key.call(operatorCall("DELETE", "/v1/nodes/b"))));
}
