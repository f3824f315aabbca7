#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <functional>

#include <corkward/storage/write_ahead_log.h>

#include "testing/golden/folder.h"

/// Folders of a write-ahead log as a released version has written them: a later one has to recover the same state from
/// them, and to write the same bytes under the same names. Recording them anew is right only when docs/ gives the log
/// another form, with a migration for members that have the old one on their disks.
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

/// The n-th write: one to three records over five keys, so that later ones replace earlier ones.
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
  golden::NotingFolder folder;
  folder.losesRemovals = losesRemovals;
  storage::WriteAheadLog log(folder, segmentBytes);
  log.recover();
  writeBatches(log, 0, writes);
  return golden::filesOf(folder);
}

/// One segment, with an empty key, an empty payload, and a payload of all bytes.
golden::Files oneSegment() {
  golden::NotingFolder folder;
  storage::WriteAheadLog log(folder);
  log.recover();
  log.write({{"", "payload of the empty key"}, {"empty", ""}, {std::string("zero\0byte", 9), everyByte()}});
  writeBatches(log, 0, 4);
  return golden::filesOf(folder);
}

golden::Files snapshotAndLater() {
  return written(smallSegment, 14);
}

/// A loss of power has undone the removals of older segments and snapshots.
golden::Files olderReturned() {
  return written(smallSegment, 14, true);
}

/// Segments that no snapshot stands beside. A log leaves no such folder, since a snapshot is on the disk before the
/// next segment begins; it reads one all the same.
golden::Files segmentsOnly() {
  golden::Files files = olderReturned();
  std::erase_if(files, [](auto const& file) { return file.first.rfind("image", 0) == 0; });
  return files;
}

/// The process ended while it wrote a snapshot.
golden::Files unfinishedSnapshot() {
  constexpr int mostChanges = 100;
  for (int left = 0; left < mostChanges; ++left) {
    golden::NotingFolder folder;
    folder.left = left;
    storage::WriteAheadLog log(folder, smallSegment);
    log.recover();
    try {
      writeBatches(log, 0, 14);
    } catch (storage::Crash const&) {
      if (folder.has("image.new")) return golden::filesOf(folder);
    }
  }
  FAIL("no snapshot was begun");
  return {};
}

std::string& newest(golden::Files& files, std::string const& kind) {
  std::string name;
  for (auto const& [candidate, bytes] : files)
    if (candidate.rfind(kind, 0) == 0) name = candidate;
  return files.at(name);
}

golden::Files cutAtEnd(golden::Files files, std::string const& kind, std::size_t bytes) {
  std::string& content = newest(files, kind);
  content.resize(content.size() - bytes);
  return files;
}

golden::Files appended(golden::Files files, std::string const& kind, std::string const& bytes) {
  newest(files, kind) += bytes;
  return files;
}

golden::Files flipped(golden::Files files, std::string const& kind, std::size_t at) {
  newest(files, kind).at(at) ^= 1;
  return files;
}

golden::Files without(golden::Files files, std::string const& name) {
  REQUIRE(files.erase(name) == 1);
  return files;
}

golden::Files onlyFirstRecordTorn() {
  golden::Files files = written(smallSegment, 1);
  return cutAtEnd(files, "segment", 3);
}

/// Damage in the middle of a segment that has others behind it.
golden::Files olderSegmentDamaged() {
  golden::Files files = segmentsOnly();
  files.begin()->second.at(40) ^= 1;
  return files;
}

/// What a member does with a damaged log: sets it aside and begins an empty one.
golden::Files setAsideAndBegun(golden::Files const& damaged, std::string const& label) {
  golden::NotingFolder folder(damaged);
  storage::WriteAheadLog log(folder, smallSegment);
  REQUIRE(log.recover().damaged);
  storage::quarantine(folder, label);
  storage::WriteAheadLog fresh(folder, smallSegment);
  REQUIRE_FALSE(fresh.recover().damaged);
  writeBatches(fresh, 20, 22);
  return golden::filesOf(folder);
}

golden::Files segmentSetAside() {
  return setAsideAndBegun(flipped(snapshotAndLater(), "segment", 9), firstLabel);
}

/// Only the newest damaged set stays.
golden::Files setAsideTwice() {
  return setAsideAndBegun(flipped(segmentSetAside(), "segment", 9), secondLabel);
}

struct Scenario {
  char const* name;
  std::function<golden::Files()> folder;
};

std::vector<Scenario> scenarios() {
  return {{"one-segment", oneSegment},
          {"snapshot-and-later", snapshotAndLater},
          {"snapshot-only", [] { return without(snapshotAndLater(), snapshotAndLater().rbegin()->first); }},
          {"older-returned", olderReturned},
          {"segments-only", segmentsOnly},
          {"unfinished-snapshot", unfinishedSnapshot},
          {"torn-tail", [] { return cutAtEnd(oneSegment(), "segment", 5); }},
          {"torn-head", [] { return appended(snapshotAndLater(), "segment", std::string("\x20\0\0", 3)); }},
          {"torn-only-record", onlyFirstRecordTorn},
          {"damaged-segment", [] { return flipped(snapshotAndLater(), "segment", 9); }},
          {"damaged-older-segment", olderSegmentDamaged},
          {"missing-segment", [] { return without(segmentsOnly(), "segment-000000000002"); }},
          {"damaged-snapshot", [] { return flipped(snapshotAndLater(), "image", 9); }},
          {"snapshot-without-end", [] { return cutAtEnd(snapshotAndLater(), "image", 1); }},
          {"set-aside", segmentSetAside},
          {"set-aside-twice", setAsideTwice}};
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

/// Recovers the folder and goes on as a member does: writes on, or sets the damage aside and begins anew.
std::string recoveryText(golden::Files const& files) {
  golden::NotingFolder folder(files);
  storage::WriteAheadLog log(folder, smallSegment);
  storage::RecoveredState const recovered = log.recover();
  std::string out = "recovered\n" + recoveredText(recovered) + "usable " + std::to_string(!log.failed()) + "\n";
  if (recovered.damaged) {
    storage::quarantine(folder, secondLabel);
    storage::WriteAheadLog fresh(folder, smallSegment);
    out += "after it was set aside\n" + recoveredText(fresh.recover());
    fresh.write(batch(30));
  } else {
    writeBatches(log, 30, 33);
  }
  return out + "changes\n" + folder.changes + "folder\n" +
         golden::filesText(golden::filesOf(folder), golden::Form::hex);
}

/// A folder on the disk that goes with the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path = (std::filesystem::temp_directory_path() / "corkward-golden-XXXXXX").string();
    REQUIRE(::mkdtemp(path.data()) != nullptr);
    path_ = path;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(TemporaryFolder const&) = delete;
  TemporaryFolder& operator=(TemporaryFolder const&) = delete;
  std::string const& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace

TEST_CASE("golden: a record is framed as it was") {
  std::string text;
  for (storage::Record const& record :
       {storage::Record{"", ""}, storage::Record{"key", ""}, storage::Record{"", "payload"},
        storage::Record{"key", "payload"}, storage::Record{std::string("a\0b", 3), everyByte()},
        storage::Record{"long", std::string(300, 'l')}})
    text += golden::hexOf(storage::frame(record)) + "\n";
  golden::check("storage/test/golden/frames.txt", text);
}

TEST_CASE("golden: a write-ahead log writes the bytes and names it did") {
  for (Scenario const& scenario : scenarios()) DYNAMIC_SECTION(scenario.name) {
      golden::check(goldenName(scenario.name, "folder"), golden::filesText(scenario.folder(), golden::Form::hex));
    }
}

TEST_CASE("golden: a recorded folder is recovered to the same state, and written on alike") {
  for (Scenario const& scenario : scenarios()) DYNAMIC_SECTION(scenario.name) {
      golden::Files const recorded = golden::readFiles(goldenName(scenario.name, "folder"));
      golden::check(goldenName(scenario.name, "recovered"), recoveryText(recorded));
    }
}

TEST_CASE("golden: a folder on the disk has the same files") {
  TemporaryFolder const temporary;
  std::unique_ptr<storage::Directory> const folder = storage::openDirectory(temporary.path());
  storage::WriteAheadLog log(*folder, smallSegment);
  log.recover();
  writeBatches(log, 0, 14);
  CHECK(golden::filesOf(*folder) == golden::readFiles(goldenName("snapshot-and-later", "folder")));
}

TEST_CASE("golden: segments roll where they did unless another size is set") {
  golden::NotingFolder folder;
  storage::WriteAheadLog log(folder);
  log.recover();
  std::string text;
  std::string const almost((1U << 20) - 15, 'b');
  for (int n = 0; n < 9; ++n) {
    log.write({{"key", almost + std::string(n == 3 ? 1 : 0, '+')}});
    text += "write " + std::to_string(n) + ":";
    for (auto const& [name, bytes] : golden::filesOf(folder)) text += " " + name + " " + std::to_string(bytes.size());
    text += "\n";
  }
  golden::check("storage/test/golden/default-size.txt", text);
}
