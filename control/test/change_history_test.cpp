#include <catch2/catch.hpp>

#include <corkward/control/change_history.h>

namespace control = corkward::control;
namespace transport = corkward::transport;
using control::ChangeHistory;
using control::PastOutcome;

namespace {

std::string digestOf(std::uint64_t change) {
  return control::contentDigest({}, {}, std::to_string(change));
}

/// Returns a history of that many changes, the first of which names base 0.
ChangeHistory historyOf(std::uint64_t changes) {
  ChangeHistory history({}, 0);
  for (std::uint64_t base = 0; base < changes; ++base) history.append(digestOf(base), base);
  return history;
}

}  // namespace

TEST_CASE("a digest depends on the base, the body and the change id, but not on the quotes of the base") {
  transport::OperatorCall call;
  call.method = "PUT";
  call.path = "/v1/x";
  call.ifMatch = "3";
  std::string const digest = control::contentDigest(call, {}, "");
  CHECK(digest.size() == ChangeHistory::digestBytes);
  transport::OperatorCall quoted = call;
  quoted.ifMatch = "\"3\"";
  CHECK(control::contentDigest(quoted, {}, "") == digest);
  transport::OperatorCall other = call;
  other.ifMatch = "4";
  CHECK(control::contentDigest(other, {}, "") != digest);
  CHECK(control::contentDigest(call, {{"a", 1}}, "") != digest);
  CHECK(control::contentDigest(call, {}, "id") != digest);
}

TEST_CASE("a history returns whether a change was applied and how many changes followed it") {
  ChangeHistory const history(QJsonObject{{ChangeHistory::storedField, historyOf(5).json()}}, 5);
  CHECK(history.outcomeOf(digestOf(2), 2) == PastOutcome::applied);
  CHECK(history.changesSince(digestOf(2)) == 2);
  CHECK(history.outcomeOf(digestOf(77), 2) == PastOutcome::notApplied);
}

TEST_CASE("a change older than both segments is reported as forgotten, not as not applied") {
  std::uint64_t const changes = 2 * ChangeHistory::segmentChanges + 1;
  ChangeHistory const history = historyOf(changes);
  CHECK(history.outcomeOf(digestOf(0), 0) == PastOutcome::forgotten);
  CHECK(history.outcomeOf(digestOf(changes - 1), changes - 1) == PastOutcome::applied);
  CHECK(history.outcomeOf(digestOf(ChangeHistory::segmentChanges), ChangeHistory::segmentChanges) ==
        PastOutcome::applied);
}
