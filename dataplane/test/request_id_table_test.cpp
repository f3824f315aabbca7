#include <catch2/catch.hpp>

#include <corkward/dataplane/request_id_table.h>

using corkward::dataplane::RequestIdTable;

TEST_CASE("an id is removed after the retention time, and the table is complete only since its last use") {
  RequestIdTable ids;
  ids.start(10);
  ids.use(20, "a");
  ids.expire(120, 100, 10);
  CHECK(ids.find("a") != nullptr);
  CHECK(ids.remembersSince(10));
  ids.expire(121, 100, 10);
  CHECK(ids.find("a") == nullptr);
  CHECK_FALSE(ids.remembersSince(19));
  CHECK(ids.remembersSince(20));
  CHECK(ids.memorySpan(121) == 101);
}

TEST_CASE("the retention time of an id starts anew with each use") {
  RequestIdTable ids;
  ids.use(20, "a");
  ids.use(90, "a");
  ids.expire(150, 100, 10);
  CHECK(ids.find("a") != nullptr);
  ids.expire(191, 100, 10);
  CHECK(ids.find("a") == nullptr);
}

TEST_CASE("the oldest ids are removed beyond the maximum number") {
  RequestIdTable ids;
  ids.use(1, "a");
  ids.use(2, "b");
  ids.use(3, "c");
  ids.expire(4, 100, 2);
  CHECK(ids.size() == 2);
  CHECK(ids.find("a") == nullptr);
  CHECK(ids.remembersSince(1));
  CHECK_FALSE(ids.remembersSince(0));
}

TEST_CASE("the end of a call releases only the id that the call is active for") {
  RequestIdTable ids;
  ids.use(1, "a").activeCall = 7;
  ids.endCall(5, "a", 8);
  CHECK(ids.find("a")->activeCall == 7);
  ids.endCall(5, "a", 7);
  CHECK(ids.find("a")->activeCall == 0);
  CHECK(ids.find("a")->lastSeenAt == 5);
}

TEST_CASE("executable ids are those that may have been executed or have an active call") {
  RequestIdTable ids;
  ids.use(1, "idle");
  ids.use(1, "ran").mayHaveRun = true;
  CHECK(ids.executableIds() == std::vector<std::string>{"ran"});
  ids.setNotExecuted("ran");
  ids.use(1, "held").activeCall = 3;
  CHECK(ids.executableIds() == std::vector<std::string>{"held"});
}

TEST_CASE("a drained process stays a claimant only of ids that may have been executed") {
  RequestIdTable ids;
  ids.use(1, "idle").claimants = {"p", "q"};
  ids.use(1, "ran").claimants = {"p", "q"};
  ids.use(1, "ran").mayHaveRun = true;
  ids.removeClaimant("p");
  CHECK(ids.find("idle")->claimants == std::vector<std::string>{"q"});
  CHECK(ids.find("ran")->claimants == std::vector<std::string>{"p", "q"});
}
