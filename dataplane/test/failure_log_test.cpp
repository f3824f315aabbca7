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
  out.duration = 40;
  out.dispatches = 1;
  out.configuration = 7;
  return out;
}

}  // namespace

TEST_CASE("a failed request's log event names the request, its phase, its replica and the reason") {
  FailureLog log;
  std::optional<core::LogEvent> const event = log.record(1000, failure("t1", "no replica"));
  REQUIRE(event);
  CHECK(event->event == "request-failed");
  CHECK(event->fields == std::map<std::string, std::string>{{"request", "t1"},
                                                            {"path", "deck"},
                                                            {"replica", "10.0.0.1:80"},
                                                            {"status", "503"},
                                                            {"reason", "no replica"},
                                                            {"phase", "held"},
                                                            {"took-ms", "40"},
                                                            {"hand-overs", "1"},
                                                            {"configuration", "7"}});
}

TEST_CASE("only three failures of a reason are logged each second, but all of them are counted") {
  FailureLog log;
  int logged = 0;
  for (int i = 0; i < 1000; ++i) logged += log.record(5000 + i / 2, failure("t", "too much held")) ? 1 : 0;
  CHECK(logged == 3);
  CHECK(log.record(5400, failure("t", "no replica")));
  std::optional<core::LogEvent> const next = log.record(6000, failure("t", "too much held"));
  REQUIRE(next);
  CHECK(next->fields.at("unlogged-before") == "997");
  CHECK(log.metrics().find("{status=\"503\",reason=\"too much held\"} 1001\n") != std::string::npos);
  CHECK(log.metrics().find("{status=\"503\",reason=\"no replica\"} 1\n") != std::string::npos);
}
