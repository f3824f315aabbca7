#include <catch2/catch.hpp>

#include <corkward/control/pending_calls.h>

namespace control = corkward::control;
using control::PendingCall;
using control::PendingCalls;

TEST_CASE("a call is found and removed by the id under which it was added") {
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

TEST_CASE("runs with different seeds use different ids") {
  CHECK(PendingCalls(1).add({}) != PendingCalls(2).add({}));
  CHECK(PendingCalls(1).add({}) == PendingCalls(1).add({}));
}

TEST_CASE("a call with a token that no controller forwarded is from an operator") {
  PendingCall call;
  CHECK_FALSE(call.isFromOperator());
  call.token = 1;
  CHECK(call.isFromOperator());
  call.from = "s2";
  CHECK_FALSE(call.isFromOperator());
}

TEST_CASE("calls older than an age are found, and the number of calls is bounded") {
  PendingCalls calls(3);
  PendingCall call;
  call.since = 100;
  std::uint64_t const id = calls.add(call);
  CHECK(calls.olderThan(150, 50).empty());
  CHECK(calls.olderThan(151, 50) == std::vector<std::uint64_t>{id});
  while (calls.size() < PendingCalls::maxCalls) calls.add({});
  CHECK(calls.isFull());
}
