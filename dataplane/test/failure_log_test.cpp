#include <catch2/catch.hpp>

#include <corkward/dataplane/failure_log.h>

namespace dataplane = corkward::dataplane;
namespace core = corkward::core;
using dataplane::Failure;
using dataplane::FailureLog;

namespace {

Failure failure(std::string const& trace, std::string const& reason) {
  Failure out;
  out.trace = trace;
  out.path = "deck";
  out.replica = "10.0.0.1:80";
  out.status = 503;
  out.reason = reason;
  out.phase = "held";
  out.took = 40;
  out.handOvers = 1;
  out.configuration = 7;
  return out;
}

}  // namespace

TEST_CASE("a failed request's line says which request it was, where it was and why") {
  FailureLog log;
  std::optional<core::LogEvent> const line = log.note(1000, failure("t1", "no replica"));
  REQUIRE(line);
  CHECK(line->event == "request-failed");
  CHECK(line->fields == std::map<std::string, std::string>{{"request", "t1"},
                                                           {"path", "deck"},
                                                           {"replica", "10.0.0.1:80"},
                                                           {"status", "503"},
                                                           {"reason", "no replica"},
                                                           {"phase", "held"},
                                                           {"took-ms", "40"},
                                                           {"hand-overs", "1"},
                                                           {"configuration", "7"}});
}

TEST_CASE("many failures of one reason take a few lines a second, and none is missing from the count") {
  FailureLog log;
  int lines = 0;
  for (int i = 0; i < 1000; ++i) lines += log.note(5000 + i / 2, failure("t", "too much held")) ? 1 : 0;
  CHECK(lines == 3);
  CHECK(log.note(5400, failure("t", "no replica")));
  std::optional<core::LogEvent> const next = log.note(6000, failure("t", "too much held"));
  REQUIRE(next);
  CHECK(next->fields.at("unlogged-before") == "997");
  CHECK(log.metrics().find("{status=\"503\",reason=\"too much held\"} 1001\n") != std::string::npos);
  CHECK(log.metrics().find("{status=\"503\",reason=\"no replica\"} 1\n") != std::string::npos);
}
