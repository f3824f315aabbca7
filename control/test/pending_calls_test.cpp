#include <catch2/catch.hpp>

#include <corkward/control/pending_calls.h>

namespace control = corkward::control;
using control::PendingCall;
using control::PendingCalls;

TEST_CASE("a call is known by the id under which it was added") {
  PendingCalls calls(3);
  PendingCall call;
  call.token = 9;
  std::uint64_t const id = calls.add(call);
  REQUIRE(calls.find(id) != nullptr);
  CHECK(calls.find(id)->call.token == id);
  CHECK(calls.find(id)->token == 9);
  CHECK(calls.add(call) == id + 1);
  CHECK(calls.size() == 2);
  CHECK(calls.remove(id));
  CHECK_FALSE(calls.remove(id));
  CHECK(calls.find(id) == nullptr);
}

TEST_CASE("runs of other seeds use other ids") {
  CHECK(PendingCalls(1).add({}) != PendingCalls(2).add({}));
  CHECK(PendingCalls(1).add({}) == PendingCalls(1).add({}));
}

TEST_CASE("a call of an operator came in at the HTTP edge of this process") {
  PendingCall call;
  CHECK_FALSE(call.isFromOperator());
  call.token = 1;
  CHECK(call.isFromOperator());
  call.from = "s2";
  CHECK_FALSE(call.isFromOperator());
}

TEST_CASE("old calls are found, and the table has a bound") {
  PendingCalls calls(3);
  PendingCall call;
  call.since = 100;
  std::uint64_t const id = calls.add(call);
  CHECK(calls.olderThan(150, 50).empty());
  CHECK(calls.olderThan(151, 50) == std::vector<std::uint64_t>{id});
  while (calls.size() < PendingCalls::maxCalls) calls.add({});
  CHECK(calls.isFull());
}
