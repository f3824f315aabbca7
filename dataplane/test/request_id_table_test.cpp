#include <catch2/catch.hpp>

#include <corkward/dataplane/request_id_table.h>

using corkward::dataplane::RequestIdTable;

TEST_CASE("an id that was not used within the retention time is forgotten, and the memory starts after it") {
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

TEST_CASE("an id that is used again is kept for the retention time from then on") {
  RequestIdTable ids;
  ids.use(20, "a");
  ids.use(90, "a");
  ids.expire(150, 100, 10);
  CHECK(ids.find("a") != nullptr);
  ids.expire(191, 100, 10);
  CHECK(ids.find("a") == nullptr);
}

TEST_CASE("beyond the maximum the oldest ids are forgotten") {
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

TEST_CASE("a call that ends releases its own id alone") {
  RequestIdTable ids;
  ids.use(1, "a").activeCall = 7;
  ids.endCall(5, "a", 8);
  CHECK(ids.find("a")->activeCall == 7);
  ids.endCall(5, "a", 7);
  CHECK(ids.find("a")->activeCall == 0);
  CHECK(ids.find("a")->lastSeenAt == 5);
}

TEST_CASE("ids that may have run or are in hand are executable") {
  RequestIdTable ids;
  ids.use(1, "idle");
  ids.use(1, "ran").mayHaveRun = true;
  CHECK(ids.executableIds() == std::vector<std::string>{"ran"});
  ids.setNotExecuted("ran");
  ids.use(1, "held").activeCall = 3;
  CHECK(ids.executableIds() == std::vector<std::string>{"held"});
}

TEST_CASE("a drained process stays a claimant of ids that may have run alone") {
  RequestIdTable ids;
  ids.use(1, "idle").claimants = {"p", "q"};
  ids.use(1, "ran").claimants = {"p", "q"};
  ids.use(1, "ran").mayHaveRun = true;
  ids.removeClaimant("p");
  CHECK(ids.find("idle")->claimants == std::vector<std::string>{"q"});
  CHECK(ids.find("ran")->claimants == std::vector<std::string>{"p", "q"});
}
