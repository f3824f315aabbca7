#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <functional>

#include <corkward/storage/write_ahead_log.h>

#include "testing/golden/folder.h"

/// Directories of a write-ahead log as a released version has written them. Later versions have to recover the same
/// state from them and to write the same bytes under the same names. They may be recorded again only if docs/ specifies
/// another format of the log, with a migration for members that have the old format on their disks.
namespace golden = corkward::golden;
namespace storage = corkward::storage;

namespace {

/// Small enough that a few records fill a segment.
constexpr std::uint64_t smallSegment = 256;
constexpr char const* firstLabel = "1780000000000";
constexpr char const* secondLabel = "1780000001000";

std::string everyByte() {
  std::string out;
  for (int byte = 0; byte < 256; ++byte) out += static_cast<char>(byte);
  return out;
}

/// Returns the records of the n-th write: one to three records with five different keys, so that later writes replace
/// earlier ones.
std::vector<storage::Record> batch(int n) {
  std::vector<storage::Record> out;
  for (int i = 0; i <= n % 3; ++i)
    out.push_back({"key-" + std::to_string((n + i) % 5),
                   "write " + std::to_string(n) + "." + std::to_string(i) + std::string(n % 7, '*')});
  return out;
}

void writeBatches(storage::WriteAheadLog& log, int from, int to) {
  for (int n = from; n < to; ++n) log.write(batch(n));
}

golden::Files written(std::uint64_t segmentBytes, int writes, bool losesRemovals = false) {
  golden::RecordingDirectory directory;
  directory.losesRemovals = losesRemovals;
  storage::WriteAheadLog log(directory, segmentBytes);
  log.recover();
  writeBatches(log, 0, writes);
  return golden::filesOf(directory);
}

/// One segment, with an empty key, an empty payload, and a payload of all bytes.
golden::Files oneSegment() {
  golden::RecordingDirectory directory;
  storage::WriteAheadLog log(directory);
  log.recover();
  log.write({{"", "payload of the empty key"}, {"empty", ""}, {std::string("zero\0byte", 9), everyByte()}});
  writeBatches(log, 0, 4);
  return golden::filesOf(directory);
}

golden::Files snapshotAndLater() {
  return written(smallSegment, 14);
}

/// A power loss has undone the removal of older segments and snapshots.
golden::Files olderReturned() {
  return written(smallSegment, 14, true);
}

/// Several segments without a snapshot. A log does not write such a directory, since a snapshot is on the disk before
/// the next segment begins, but it can read one.
golden::Files segmentsOnly() {
  golden::Files files = olderReturned();
  std::erase_if(files, [](auto const& file) { return file.first.rfind("image", 0) == 0; });
  return files;
}

/// The process exited while it wrote a snapshot.
golden::Files unfinishedSnapshot() {
  constexpr int maxOperations = 100;
  for (int operations = 0; operations < maxOperations; ++operations) {
    golden::RecordingDirectory directory;
    directory.operationsLeft = operations;
    storage::WriteAheadLog log(directory, smallSegment);
    log.recover();
    try {
      writeBatches(log, 0, 14);
    } catch (storage::Crash const&) {
      if (directory.has("image.new")) return golden::filesOf(directory);
    }
  }
  FAIL("no run was interrupted while it wrote a snapshot");
  return {};
}

std::string& newest(golden::Files& files, std::string const& kind) {
  std::string name;
  for (auto const& [candidate, bytes] : files)
    if (candidate.rfind(kind, 0) == 0) name = candidate;
  return files.at(name);
}

golden::Files truncatedBy(golden::Files files, std::string const& kind, std::size_t bytes) {
  std::string& content = newest(files, kind);
  content.resize(content.size() - bytes);
  return files;
}

golden::Files appended(golden::Files files, std::string const& kind, std::string const& bytes) {
  newest(files, kind) += bytes;
  return files;
}

golden::Files withFlippedBit(golden::Files files, std::string const& kind, std::size_t at) {
  newest(files, kind).at(at) ^= 1;
  return files;
}

golden::Files without(golden::Files files, std::string const& name) {
  REQUIRE(files.erase(name) == 1);
  return files;
}

golden::Files onlyFirstRecordTorn() {
  golden::Files files = written(smallSegment, 1);
  return truncatedBy(files, "segment", 3);
}

/// Damage in the middle of a segment that is followed by other segments.
golden::Files olderSegmentDamaged() {
  golden::Files files = segmentsOnly();
  files.begin()->second.at(40) ^= 1;
  return files;
}

/// Does what a member does with a damaged log: quarantines it and begins an empty one.
golden::Files quarantinedAndRestarted(golden::Files const& damaged, std::string const& label) {
  golden::RecordingDirectory directory(damaged);
  storage::WriteAheadLog log(directory, smallSegment);
  REQUIRE(log.recover().damaged);
  storage::quarantine(directory, label);
  storage::WriteAheadLog next(directory, smallSegment);
  REQUIRE_FALSE(next.recover().damaged);
  writeBatches(next, 20, 22);
  return golden::filesOf(directory);
}

golden::Files segmentQuarantined() {
  return quarantinedAndRestarted(withFlippedBit(snapshotAndLater(), "segment", 9), firstLabel);
}

/// Only the newest quarantined files stay.
golden::Files quarantinedTwice() {
  return quarantinedAndRestarted(withFlippedBit(segmentQuarantined(), "segment", 9), secondLabel);
}

struct Scenario {
  char const* name;
  std::function<golden::Files()> directory;
};

std::vector<Scenario> scenarios() {
  return {{"one-segment", oneSegment},
          {"snapshot-and-later", snapshotAndLater},
          {"snapshot-only", [] { return without(snapshotAndLater(), snapshotAndLater().rbegin()->first); }},
          {"older-returned", olderReturned},
          {"segments-only", segmentsOnly},
          {"unfinished-snapshot", unfinishedSnapshot},
          {"torn-tail", [] { return truncatedBy(oneSegment(), "segment", 5); }},
          {"torn-head", [] { return appended(snapshotAndLater(), "segment", std::string("\x20\0\0", 3)); }},
          {"torn-only-record", onlyFirstRecordTorn},
          {"damaged-segment", [] { return withFlippedBit(snapshotAndLater(), "segment", 9); }},
          {"damaged-older-segment", olderSegmentDamaged},
          {"missing-segment", [] { return without(segmentsOnly(), "segment-000000000002"); }},
          {"damaged-snapshot", [] { return withFlippedBit(snapshotAndLater(), "image", 9); }},
          {"snapshot-without-end", [] { return truncatedBy(snapshotAndLater(), "image", 1); }},
          {"set-aside", segmentQuarantined},
          {"set-aside-twice", quarantinedTwice}};
}

std::string goldenName(std::string const& scenario, std::string const& part) {
  return "storage/test/golden/" + scenario + "." + part + ".txt";
}

std::string recoveredText(storage::RecoveredState const& recovered) {
  std::string out = "damaged " + std::to_string(recovered.damaged) + "\n";
  out += "torn tail " + std::to_string(recovered.tornTail) + "\n";
  out += "damage " + recovered.damage + "\n";
  for (auto const& [key, payload] : recovered.slots)
    out += "key " + golden::hexOf(key) + " payload " + golden::hexOf(payload) + "\n";
  return out;
}

/// Recovers the directory and continues as a member does: appends records, or quarantines a damaged log and begins an
/// empty one. Returns a description of all steps.
std::string recoveryText(golden::Files const& files) {
  golden::RecordingDirectory directory(files);
  storage::WriteAheadLog log(directory, smallSegment);
  storage::RecoveredState const recovered = log.recover();
  std::string out = "recovered\n" + recoveredText(recovered) + "usable " + std::to_string(!log.failed()) + "\n";
  if (recovered.damaged) {
    storage::quarantine(directory, secondLabel);
    storage::WriteAheadLog next(directory, smallSegment);
    out += "after it was set aside\n" + recoveredText(next.recover());
    next.write(batch(30));
  } else {
    writeBatches(log, 30, 33);
  }
  return out + "changes\n" + directory.changes + "folder\n" +
         golden::filesText(golden::filesOf(directory), golden::Form::hex);
}

/// A directory on the disk that is removed at the end of the test.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string path = (std::filesystem::temp_directory_path() / "corkward-golden-XXXXXX").string();
    REQUIRE(::mkdtemp(path.data()) != nullptr);
    path_ = path;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  TemporaryDirectory(TemporaryDirectory const&) = delete;
  TemporaryDirectory& operator=(TemporaryDirectory const&) = delete;
  std::string const& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace

TEST_CASE("golden: records are encoded to the recorded bytes") {
  std::string text;
  for (storage::Record const& record :
       {storage::Record{"", ""}, storage::Record{"key", ""}, storage::Record{"", "payload"},
        storage::Record{"key", "payload"}, storage::Record{std::string("a\0b", 3), everyByte()},
        storage::Record{"long", std::string(300, 'l')}})
    text += golden::hexOf(storage::frame(record)) + "\n";
  golden::check("storage/test/golden/frames.txt", text);
}

TEST_CASE("golden: a write-ahead log writes the recorded bytes under the recorded names") {
  for (Scenario const& scenario : scenarios()) DYNAMIC_SECTION(scenario.name) {
      golden::check(goldenName(scenario.name, "folder"), golden::filesText(scenario.directory(), golden::Form::hex));
    }
}

TEST_CASE("golden: a recorded directory is recovered to the recorded state, and later writes are as recorded") {
  for (Scenario const& scenario : scenarios()) DYNAMIC_SECTION(scenario.name) {
      golden::Files const recorded = golden::readFiles(goldenName(scenario.name, "folder"));
      golden::check(goldenName(scenario.name, "recovered"), recoveryText(recorded));
    }
}

TEST_CASE("golden: a directory on the disk has the same files as a simulated one") {
  TemporaryDirectory const temporary;
  std::unique_ptr<storage::Directory> const directory = storage::openDirectory(temporary.path());
  storage::WriteAheadLog log(*directory, smallSegment);
  log.recover();
  writeBatches(log, 0, 14);
  CHECK(golden::filesOf(*directory) == golden::readFiles(goldenName("snapshot-and-later", "folder")));
}

TEST_CASE("golden: the default segment size is as recorded") {
  golden::RecordingDirectory directory;
  storage::WriteAheadLog log(directory);
  log.recover();
  std::string text;
  std::string const almost((1U << 20) - 15, 'b');
  for (int n = 0; n < 9; ++n) {
    log.write({{"key", almost + std::string(n == 3 ? 1 : 0, '+')}});
    text += "write " + std::to_string(n) + ":";
    for (auto const& [name, bytes] : golden::filesOf(directory))
      text += " " + name + " " + std::to_string(bytes.size());
    text += "\n";
  }
  golden::check("storage/test/golden/default-size.txt", text);
}
