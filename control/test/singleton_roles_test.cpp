#include <catch2/catch.hpp>

#include <QJsonArray>

#include "../src/singleton_roles.h"

namespace consensus = corkward::consensus;
namespace control = corkward::control;
namespace transport = corkward::transport;

namespace {

/// A member that may grant leases of 1000 ms.
struct Fixture {
  control::OperatorResponse call(control::Milliseconds now, std::string const& method, std::string const& body) {
    transport::OperatorCall call;
    call.token = 5;
    call.method = method;
    call.body = body;
    return control::singletonRoleEndpoint(now, leases, "watch", call, {mayGrant, 1000, "m1", membership, 8});
  }

  bool mayGrant = true;
  std::vector<consensus::Member> membership{{"m1", "s1"}, {"m2", "s2"}};
  control::LeaseTable leases;
};

}  // namespace

TEST_CASE("only a path with a valid name denotes a role") {
  CHECK(control::singletonRoleOf("/v1/duties/watch") == "watch");
  CHECK_FALSE(control::singletonRoleOf("/v1/duties/"));
  CHECK_FALSE(control::singletonRoleOf("/v1/duties/a/b"));
  CHECK_FALSE(control::singletonRoleOf("/v1/other/watch"));
}

TEST_CASE("a response about a role contains its holder, its term, its contenders and the members") {
  Fixture fixture;
  CHECK(fixture.call(0, "PUT", R"({"holder":"a"})").body.value("granted").toBool());
  control::OperatorResponse const denied = fixture.call(10, "PUT", R"({"holder":"b"})");
  CHECK(denied.token == 5);
  CHECK(denied.status == 200);
  CHECK(denied.body == QJsonObject{{"granted", false},
                                   {"holder", "a"},
                                   {"epoch", 1},
                                   {"member", "m1"},
                                   {"cohort", QJsonArray{"m1", "m2"}},
                                   {"waiting", QJsonArray{"b"}},
                                   {"cohortStamp", 8}});
  CHECK(fixture.call(20, "DELETE", R"({"holder":"a","successor":"b"})").status == 200);
  CHECK(fixture.call(30, "PUT", R"({"holder":"b"})").body.value("epoch").toInteger() == 2);
}

TEST_CASE("a role rejects other methods and bodies without a holder, and is not granted without a majority") {
  Fixture fixture;
  CHECK(fixture.call(0, "GET", "").status == 405);
  CHECK(fixture.call(0, "PUT", "{").status == 400);
  CHECK(fixture.call(0, "PUT", "{}").status == 422);
  CHECK(fixture.call(0, "PUT", R"({"holder":")" + std::string(65, 'a') + R"("})").status == 422);
  fixture.mayGrant = false;
  CHECK(fixture.call(0, "PUT", R"({"holder":"a"})").status == 503);
}
