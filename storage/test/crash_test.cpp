#include <catch2/catch.hpp>

#include "crash_directory.h"

namespace storage = corkward::storage;
using storage::CrashFolder;

namespace {

constexpr std::uint64_t segmentBytes = 90;

/// What must be on the disk: for each key the number of the newest write that counts, and of the newest that was tried.
struct Owed {
  std::map<std::string, int> atLeast;
  std::map<std::string, int> atMost;
};

/// Takes what a recovery gave back, which counts from then on: members answer from it.
void take(Owed& owed, storage::RecoveredState const& got) {
  REQUIRE_FALSE(got.damaged);
  for (auto const& [key, number] : owed.atLeast) {
    INFO(key << " must be " << number << " or newer");
    REQUIRE(got.slots.count(key) == 1);
    REQUIRE(std::stoi(got.slots.at(key)) >= number);
    REQUIRE(std::stoi(got.slots.at(key)) <= owed.atMost.at(key));
  }
  for (auto const& [key, value] : got.slots) owed.atLeast[key] = std::stoi(value);
}

/// Recovers and writes some records, until the folder stops it.
Owed live(CrashFolder& folder, Owed owed, int first, int count) {
  storage::WriteAheadLog log(folder, segmentBytes);
  try {
    take(owed, log.recover());
    for (int i = first; i < first + count; ++i) {
      std::string const key = i % 3 == 0 ? "a" : "b";
      owed.atMost[key] = i;
      log.write({{key, std::to_string(i) + " some text"}});
      owed.atLeast[key] = i;
    }
  } catch (storage::Crash const&) {
  }
  return owed;
}

std::string text(Owed const& owed) {
  std::string out;
  for (auto const& [key, number] : owed.atLeast) out += key + std::to_string(number) + ";";
  return out;
}

/// Each state in which the folder may be found by the next process.
std::vector<CrashFolder> ends(CrashFolder const& folder) {
  std::vector<CrashFolder> out = folder.powerLosses();
  out.push_back(folder.killed());
  return out;
}

/// Lives of a process, each stopped before every operation in turn and begun again from every state that this leaves.
void everyCrash(CrashFolder const& start, Owed const& owed, int first, int restarts, std::set<std::string>& visited) {
  if (!visited.insert(std::to_string(restarts) + start.text() + text(owed)).second) return;
  if (restarts == 0) {
    CrashFolder folder = start;
    Owed left = owed;
    take(left, storage::WriteAheadLog(folder, segmentBytes).recover());
    return;
  }
  int const count = restarts == 1 ? 2 : 7;
  CrashFolder uninterrupted = start;
  live(uninterrupted, owed, first, count);
  for (int stop = 0; stop <= uninterrupted.done; ++stop) {
    CrashFolder folder = start;
    folder.left = stop;
    Owed const left = live(folder, owed, first, count);
    for (CrashFolder const& end : ends(folder)) everyCrash(end, left, first + count, restarts - 1, visited);
  }
}

}  // namespace

TEST_CASE("a process stopped before any operation, three times, loses nothing that it wrote or answered from") {
  std::set<std::string> visited;
  everyCrash(CrashFolder(), Owed(), 1, 3, visited);
  CHECK(visited.size() > 1000);
}

TEST_CASE("a disk that is full at any operation, and then loses power, keeps what was written") {
  CrashFolder uninterrupted;
  live(uninterrupted, Owed(), 1, 9);
  for (int when = 0; when <= uninterrupted.done; ++when) {
    CrashFolder folder;
    folder.left = when;
    Owed owed = live(folder, Owed(), 1, 9);
    CrashFolder later = folder.killed();
    storage::WriteAheadLog log(later, segmentBytes);
    take(owed, log.recover());
    later.full = true;
    owed.atMost["b"] = 20;
    CHECK_THROWS_AS(log.write({{"b", "20 more"}}), storage::StorageError);
    CHECK(log.failed());
    for (CrashFolder const& end : ends(later)) {
      CrashFolder again = end;
      Owed left = owed;
      take(left, storage::WriteAheadLog(again, segmentBytes).recover());
    }
  }
}

TEST_CASE("what stands in the folder is bounded, whatever was left there by crashes") {
  CrashFolder folder;
  std::size_t most = 0;
  int done = 1;
  for (int stop = 0; stop < 400; ++stop) {
    folder.left = stop % 40;
    live(folder, Owed(), done, 9);
    done += 9;
    folder = folder.killed();
    most = std::max(most, folder.bytes());
  }
  CHECK(most < 4 * segmentBytes);
}

TEST_CASE("a damaged log that is set aside never comes back as an older one, whenever that is stopped") {
  for (bool const inSnapshot : {true, false}) {
    CrashFolder damaged;
    int done = 1;
    while (done < 200 && !(damaged.has("image-") && damaged.has("segment-") && damaged.countOf("segment-") > 1)) {
      damaged.left = done % 23;
      live(damaged, Owed(), done, 9);
      done += 9;
      damaged = damaged.killed();
    }
    damaged.syncDirectory();
    damaged = damaged.powerLosses().back();
    damaged.flip(inSnapshot ? "image-" : "segment-");
    REQUIRE(storage::WriteAheadLog(damaged, segmentBytes).recover().damaged);
    CrashFolder uninterrupted = damaged;
    storage::quarantine(uninterrupted, "x");
    CHECK(storage::WriteAheadLog(uninterrupted, segmentBytes).recover().slots.empty());
    for (int stop = 0; stop < uninterrupted.done - damaged.done; ++stop) {
      CrashFolder folder = damaged;
      folder.left = stop;
      CHECK_THROWS_AS(storage::quarantine(folder, "x"), storage::Crash);
      for (CrashFolder const& end : ends(folder)) {
        CrashFolder again = end;
        storage::RecoveredState const got = storage::WriteAheadLog(again, segmentBytes).recover();
        INFO("stopped before " << stop << " of " << uninterrupted.done - damaged.done << ": " << again.text());
        CHECK((got.damaged || got.slots.empty()));
      }
    }
  }
}

TEST_CASE("only the newest damaged log is kept") {
  CrashFolder folder;
  std::size_t most = 0;
  for (int i = 0; i < 20; ++i) {
    live(folder, Owed(), 1, 9);
    storage::quarantine(folder, std::to_string(i));
    most = std::max(most, folder.bytes());
  }
  CHECK(most < 8 * segmentBytes);
}
