#include <catch2/catch.hpp>

#include <corkward/dataplane/service_times.h>

namespace config = corkward::config;
using corkward::dataplane::ServiceTimes;

namespace {

config::Path pathWithDeadline(corkward::core::Milliseconds deadline) {
  config::Path path;
  path.instance = "a";
  path.path = "p";
  path.deadline = deadline;
  return path;
}

}  // namespace

TEST_CASE("until 16 requests of a path were served, its deadline is the expected duration") {
  ServiceTimes times;
  config::Path const path = pathWithDeadline(10000);
  for (int i = 0; i < 15; ++i) times.record(path, 100);
  CHECK(times.expected(path) == 10000);
  times.record(path, 100);
  CHECK(times.expected(path) == 125);
}

TEST_CASE("the longest duration decays with each faster request, and the expected one never exceeds the deadline") {
  ServiceTimes times;
  config::Path const path = pathWithDeadline(1000);
  for (int i = 0; i < 16; ++i) times.record(path, 3200);
  CHECK(times.expected(path) == 1000);
  ServiceTimes faster;
  for (int i = 0; i < 15; ++i) faster.record(path, 640);
  faster.record(path, 1);
  CHECK(faster.expected(path) == (640 - 640 / 32) * 5 / 4);
}

TEST_CASE("the durations of each path are recorded separately") {
  ServiceTimes times;
  config::Path const path = pathWithDeadline(10000);
  config::Path other = path;
  other.path = "q";
  for (int i = 0; i < 16; ++i) times.record(path, 100);
  CHECK(times.expected(other) == 10000);
}
