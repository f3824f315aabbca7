#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <corkward/core/types.h>
#include <corkward/storage/write_ahead_log.h>
#include <cstdlib>
#include <filesystem>

namespace core = corkward::core;
namespace storage = corkward::storage;

namespace {

/// A directory that keeps, at a power loss, what was synced and a random part of the remaining bytes.
class LossyDirectory : public storage::Directory {
 public:
  struct File {
    std::string bytes;
    std::size_t synced = 0;
  };
  std::map<std::string, File> files;
  bool failSync = false;
  /// Makes append fail in the middle for lack of memory.
  bool failAppend = false;

  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (auto const& [name, file] : files) out.push_back(name);
    return out;
  }
  std::string read(std::string const& name) override { return files.at(name).bytes; }
  void append(std::string const& name, std::string const& bytes) override {
    files[name].bytes += failAppend ? bytes.substr(0, bytes.size() / 2) : bytes;
    if (failAppend) throw std::bad_alloc();
  }
  void sync(std::string const& name) override {
    if (failSync) throw storage::StorageError("sync failed");
    files[name].synced = files[name].bytes.size();
  }
  void rename(std::string const& from, std::string const& to) override {
    files[to] = files[from];
    files.erase(from);
  }
  void remove(std::string const& name) override { files.erase(name); }
  void truncate(std::string const& name, std::uint64_t size) override {
    files[name].bytes.resize(size);
    files[name].synced = size;
  }
  void syncDirectory() override {}
  void powerLoss(core::RandomGenerator& rng) {
    for (auto& [name, file] : files) {
      std::size_t const unsynced = file.bytes.size() - file.synced;
      file.bytes.resize(file.synced + rng.below(unsynced + 1));
      file.synced = file.bytes.size();
    }
  }
};

/// A mock that checks the order of the operations on a directory.
class MockDirectory : public storage::Directory {
 public:
  MAKE_MOCK0(list, std::vector<std::string>(), override);
  MAKE_MOCK1(read, std::string(std::string const&), override);
  MAKE_MOCK2(append, void(std::string const&, std::string const&), override);
  MAKE_MOCK1(sync, void(std::string const&), override);
  MAKE_MOCK2(rename, void(std::string const&, std::string const&), override);
  MAKE_MOCK1(remove, void(std::string const&), override);
  MAKE_MOCK2(truncate, void(std::string const&, std::uint64_t), override);
  MAKE_MOCK0(syncDirectory, void(), override);
};

}  // namespace

TEST_CASE("a snapshot is complete, synced and renamed before any older file is removed") {
  using trompeloeil::_;
  std::string const segment = "segment-000000000001";
  std::string const snapshot = "image-000000000002";
  MockDirectory directory;
  trompeloeil::sequence order;
  REQUIRE_CALL(directory, list()).IN_SEQUENCE(order).RETURN(std::vector<std::string>{});
  REQUIRE_CALL(directory, append(segment, _)).IN_SEQUENCE(order);
  REQUIRE_CALL(directory, sync(segment)).IN_SEQUENCE(order);
  REQUIRE_CALL(directory, syncDirectory()).IN_SEQUENCE(order);
  REQUIRE_CALL(directory, list()).IN_SEQUENCE(order).RETURN(std::vector<std::string>{segment});
  REQUIRE_CALL(directory, append("image.new", _)).IN_SEQUENCE(order);
  REQUIRE_CALL(directory, sync("image.new")).IN_SEQUENCE(order);
  REQUIRE_CALL(directory, rename("image.new", snapshot)).IN_SEQUENCE(order);
  REQUIRE_CALL(directory, syncDirectory()).IN_SEQUENCE(order);
  REQUIRE_CALL(directory, list()).IN_SEQUENCE(order).RETURN(std::vector<std::string>{segment, snapshot});
  REQUIRE_CALL(directory, remove(segment)).IN_SEQUENCE(order);
  storage::WriteAheadLog log(directory, 10);
  log.recover();
  log.write({{"k", "long enough to roll"}});
}

TEST_CASE("a log whose sync has failed does not write to its file again") {
  using trompeloeil::_;
  MockDirectory directory;
  REQUIRE_CALL(directory, list()).RETURN(std::vector<std::string>{});
  REQUIRE_CALL(directory, append(_, _)).TIMES(1);
  REQUIRE_CALL(directory, sync(_)).TIMES(1).THROW(storage::StorageError("sync failed"));
  storage::WriteAheadLog log(directory);
  log.recover();
  CHECK_THROWS_AS(log.write({{"k", "v"}}), storage::StorageError);
  CHECK_THROWS_AS(log.write({{"k", "v"}}), storage::StorageError);
  CHECK(log.failed());
}

TEST_CASE("records that were synced survive power losses, with new segments, snapshots and torn tails") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    core::RandomGenerator rng(seed);
    LossyDirectory directory;
    std::map<std::string, std::string> durable;
    for (int restart = 0; restart < 5; ++restart) {
      storage::WriteAheadLog log(directory, 600);
      storage::RecoveredState const recovered = log.recover();
      REQUIRE_FALSE(recovered.damaged);
      for (auto const& [key, value] : durable) REQUIRE(recovered.slots.at(key) == value);
      durable = recovered.slots;
      for (int i = 0; i < 40; ++i) {
        storage::Record const r{"k" + std::to_string(rng.below(6)),
                                std::string(rng.below(80), 'x') + std::to_string(i)};
        if (rng.chance(0.02)) {
          directory.failSync = true;
          CHECK_THROWS_AS(log.write({r}), storage::StorageError);
          directory.failSync = false;
          CHECK_THROWS_AS(log.write({r}), storage::StorageError);
          durable.erase(r.key);
          break;
        }
        log.write({r});
        durable[r.key] = r.payload;
      }
      directory.powerLoss(rng);
    }
  }
}

TEST_CASE("damage in the middle of the log is reported as damage, and a torn last record is cut off") {
  LossyDirectory directory;
  storage::WriteAheadLog log(directory);
  log.recover();
  for (int i = 0; i < 5; ++i) log.write({{"k", "value " + std::to_string(i)}});
  std::string& bytes = directory.files.begin()->second.bytes;
  SECTION("a flipped bit in the middle") {
    bytes[bytes.size() / 2] ^= 1;
    CHECK(storage::WriteAheadLog(directory).recover().damaged);
  }
  SECTION("a cut last record") {
    bytes.resize(bytes.size() - 3);
    storage::RecoveredState const recovered = storage::WriteAheadLog(directory).recover();
    CHECK_FALSE(recovered.damaged);
    CHECK(recovered.tornTail);
    CHECK(recovered.slots.at("k") == "value 3");
  }
}

TEST_CASE("a torn record of several megabytes is recognized in acceptable time") {
  LossyDirectory directory;
  storage::WriteAheadLog log(directory);
  log.recover();
  log.write({{"k", "kept"}});
  std::string big(3 << 20, ' ');
  core::RandomGenerator rng(5);
  for (char& c : big) c = static_cast<char>(32 + rng.below(90));
  std::string const torn = storage::frame({"big", big});
  directory.files.begin()->second.bytes += torn.substr(0, torn.size() - 10);
  storage::RecoveredState const recovered = storage::WriteAheadLog(directory).recover();
  CHECK(recovered.tornTail);
  CHECK_FALSE(recovered.damaged);
  CHECK(recovered.slots.at("k") == "kept");
}

TEST_CASE("a write-ahead log on the real disk has the same records after reopening") {
  std::string path = std::filesystem::temp_directory_path().string() + "/corkward-storage-XXXXXX";
  REQUIRE(::mkdtemp(path.data()) != nullptr);
  {
    std::unique_ptr<storage::Directory> const directory = storage::openDirectory(path);
    storage::WriteAheadLog log(*directory, 200);
    log.recover();
    for (int i = 0; i < 50; ++i) log.write({{"k" + std::to_string(i % 4), std::to_string(i)}});
  }
  std::unique_ptr<storage::Directory> const directory = storage::openDirectory(path);
  CHECK(storage::WriteAheadLog(*directory, 200).recover().slots.at("k1") == "49");
  std::filesystem::remove_all(path);
}

/// Guards against records that are written behind an incomplete one, and are lost with it at the next start.
TEST_CASE("after any failed write, also one for lack of memory, the log rejects writes until it is recovered") {
  LossyDirectory directory;
  {
    storage::WriteAheadLog log(directory);
    log.recover();
    log.write({{"a", "1"}});
    directory.failAppend = true;
    CHECK_THROWS_AS(log.write({{"b", "2"}}), std::bad_alloc);
    directory.failAppend = false;
    CHECK_THROWS_AS(log.write({{"c", "3"}}), storage::StorageError);
  }
  storage::WriteAheadLog log(directory);
  storage::RecoveredState const recovered = log.recover();
  CHECK_FALSE(recovered.damaged);
  CHECK(recovered.slots == std::map<std::string, std::string>{{"a", "1"}});
}
