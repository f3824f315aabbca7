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

TEST_CASE("a path's deadline is expected until sixteen of its requests were served") {
  ServiceTimes times;
  config::Path const path = pathWithDeadline(10000);
  for (int i = 0; i < 15; ++i) times.record(path, 100);
  CHECK(times.expected(path) == 10000);
  times.record(path, 100);
  CHECK(times.expected(path) == 125);
}

TEST_CASE("the longest time fades with each quicker request, and never exceeds the deadline") {
  ServiceTimes times;
  config::Path const path = pathWithDeadline(1000);
  for (int i = 0; i < 16; ++i) times.record(path, 3200);
  CHECK(times.expected(path) == 1000);
  ServiceTimes quicker;
  for (int i = 0; i < 15; ++i) quicker.record(path, 640);
  quicker.record(path, 1);
  CHECK(quicker.expected(path) == (640 - 640 / 32) * 5 / 4);
}

TEST_CASE("paths are timed apart") {
  ServiceTimes times;
  config::Path const path = pathWithDeadline(10000);
  config::Path other = path;
  other.path = "q";
  for (int i = 0; i < 16; ++i) times.record(path, 100);
  CHECK(times.expected(other) == 10000);
}
