#include <catch2/catch.hpp>

#include "crash_directory.h"

namespace storage = corkward::storage;
using storage::CrashDirectory;

namespace {

constexpr std::uint64_t segmentBytes = 90;

/// What a recovery has to find on the disk, by key.
struct ExpectedState {
  /// Number of the newest write that succeeded or was recovered.
  std::map<std::string, int> atLeast;
  /// Number of the newest write that was tried.
  std::map<std::string, int> atMost;
};

/// Checks a recovered state. From then on what was recovered is expected to stay, since members send replies that
/// depend on it.
void checkRecovered(ExpectedState& expected, storage::RecoveredState const& got) {
  REQUIRE_FALSE(got.damaged);
  for (auto const& [key, number] : expected.atLeast) {
    INFO(key << " must be " << number << " or newer");
    REQUIRE(got.slots.count(key) == 1);
    REQUIRE(std::stoi(got.slots.at(key)) >= number);
    REQUIRE(std::stoi(got.slots.at(key)) <= expected.atMost.at(key));
  }
  for (auto const& [key, value] : got.slots) expected.atLeast[key] = std::stoi(value);
}

/// Simulates a process that recovers the log and writes some records, until the directory crashes. Returns what a later
/// recovery has to find.
ExpectedState runProcess(CrashDirectory& directory, ExpectedState expected, int first, int count) {
  storage::WriteAheadLog log(directory, segmentBytes);
  try {
    checkRecovered(expected, log.recover());
    for (int i = first; i < first + count; ++i) {
      std::string const key = i % 3 == 0 ? "a" : "b";
      expected.atMost[key] = i;
      log.write({{key, std::to_string(i) + " some text"}});
      expected.atLeast[key] = i;
    }
  } catch (storage::Crash const&) {
  }
  return expected;
}

std::string text(ExpectedState const& expected) {
  std::string out;
  for (auto const& [key, number] : expected.atLeast) out += key + std::to_string(number) + ";";
  return out;
}

/// Returns all states in which the next process may find the directory.
std::vector<CrashDirectory> statesAfterCrash(CrashDirectory const& directory) {
  std::vector<CrashDirectory> out = directory.afterPowerLoss();
  out.push_back(directory.afterKill());
  return out;
}

/// Runs a process that crashes before each operation in turn, and restarts it from each state that the crash may leave.
/// @param visited combinations of state and expectation that were checked before
void checkEveryCrash(CrashDirectory const& start, ExpectedState const& expected, int first, int restarts,
                     std::set<std::string>& visited) {
  if (!visited.insert(std::to_string(restarts) + start.text() + text(expected)).second) return;
  if (restarts == 0) {
    CrashDirectory directory = start;
    ExpectedState expectedHere = expected;
    checkRecovered(expectedHere, storage::WriteAheadLog(directory, segmentBytes).recover());
    return;
  }
  int const count = restarts == 1 ? 2 : 7;
  CrashDirectory uninterrupted = start;
  runProcess(uninterrupted, expected, first, count);
  for (int crashAt = 0; crashAt <= uninterrupted.operationCount; ++crashAt) {
    CrashDirectory directory = start;
    directory.operationsLeft = crashAt;
    ExpectedState const expectedAfter = runProcess(directory, expected, first, count);
    for (CrashDirectory const& state : statesAfterCrash(directory))
      checkEveryCrash(state, expectedAfter, first + count, restarts - 1, visited);
  }
}

}  // namespace

TEST_CASE("three crashes before any operation lose no record that was written or recovered") {
  std::set<std::string> visited;
  checkEveryCrash(CrashDirectory(), ExpectedState(), 1, 3, visited);
  CHECK(visited.size() > 1000);
}

TEST_CASE("a disk that is full at any operation and then loses power keeps the records that were written") {
  CrashDirectory uninterrupted;
  runProcess(uninterrupted, ExpectedState(), 1, 9);
  for (int crashAt = 0; crashAt <= uninterrupted.operationCount; ++crashAt) {
    CrashDirectory directory;
    directory.operationsLeft = crashAt;
    ExpectedState expected = runProcess(directory, ExpectedState(), 1, 9);
    CrashDirectory later = directory.afterKill();
    storage::WriteAheadLog log(later, segmentBytes);
    checkRecovered(expected, log.recover());
    later.isFull = true;
    expected.atMost["b"] = 20;
    CHECK_THROWS_AS(log.write({{"b", "20 more"}}), storage::StorageError);
    CHECK(log.failed());
    for (CrashDirectory const& state : statesAfterCrash(later)) {
      CrashDirectory again = state;
      ExpectedState expectedHere = expected;
      checkRecovered(expectedHere, storage::WriteAheadLog(again, segmentBytes).recover());
    }
  }
}

TEST_CASE("the size of the directory is bounded after any number of crashes") {
  CrashDirectory directory;
  std::size_t most = 0;
  int nextWrite = 1;
  for (int crashAt = 0; crashAt < 400; ++crashAt) {
    directory.operationsLeft = crashAt % 40;
    runProcess(directory, ExpectedState(), nextWrite, 9);
    nextWrite += 9;
    directory = directory.afterKill();
    most = std::max(most, directory.bytes());
  }
  CHECK(most < 4 * segmentBytes);
}

TEST_CASE("a quarantine that is interrupted at any point never leaves a valid older log") {
  for (bool const inSnapshot : {true, false}) {
    CrashDirectory damaged;
    int nextWrite = 1;
    while (nextWrite < 200 && !(damaged.has("image-") && damaged.has("segment-") && damaged.countOf("segment-") > 1)) {
      damaged.operationsLeft = nextWrite % 23;
      runProcess(damaged, ExpectedState(), nextWrite, 9);
      nextWrite += 9;
      damaged = damaged.afterKill();
    }
    damaged.syncDirectory();
    damaged = damaged.afterPowerLoss().back();
    damaged.flipBit(inSnapshot ? "image-" : "segment-");
    REQUIRE(storage::WriteAheadLog(damaged, segmentBytes).recover().damaged);
    CrashDirectory uninterrupted = damaged;
    storage::quarantine(uninterrupted, "x");
    CHECK(storage::WriteAheadLog(uninterrupted, segmentBytes).recover().slots.empty());
    for (int crashAt = 0; crashAt < uninterrupted.operationCount - damaged.operationCount; ++crashAt) {
      CrashDirectory directory = damaged;
      directory.operationsLeft = crashAt;
      CHECK_THROWS_AS(storage::quarantine(directory, "x"), storage::Crash);
      for (CrashDirectory const& state : statesAfterCrash(directory)) {
        CrashDirectory again = state;
        storage::RecoveredState const got = storage::WriteAheadLog(again, segmentBytes).recover();
        INFO("crashed before operation " << crashAt << " of " << uninterrupted.operationCount - damaged.operationCount
                                         << ": " << again.text());
        CHECK((got.damaged || got.slots.empty()));
      }
    }
  }
}

TEST_CASE("only the newest quarantined log is kept") {
  CrashDirectory directory;
  std::size_t most = 0;
  for (int i = 0; i < 20; ++i) {
    runProcess(directory, ExpectedState(), 1, 9);
    storage::quarantine(directory, std::to_string(i));
    most = std::max(most, directory.bytes());
  }
  CHECK(most < 8 * segmentBytes);
}
