#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <corkward/core/types.h>
#include <corkward/storage/write_ahead_log.h>
#include <cstdlib>
#include <filesystem>

namespace core = corkward::core;
namespace storage = corkward::storage;

namespace {

/// A folder whose disk keeps only what was synced when the power goes, and a random part of the rest.
class LossyFolder : public storage::Directory {
 public:
  struct File {
    std::string bytes;
    std::size_t synced = 0;
  };
  std::map<std::string, File> files;
  bool failSync = false;

  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (auto const& [name, file] : files) out.push_back(name);
    return out;
  }
  std::string read(std::string const& name) override { return files.at(name).bytes; }
  void append(std::string const& name, std::string const& bytes) override { files[name].bytes += bytes; }
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
      std::size_t const loose = file.bytes.size() - file.synced;
      file.bytes.resize(file.synced + rng.below(loose + 1));
      file.synced = file.bytes.size();
    }
  }
};

/// Watches in which order a folder is used.
class MockFolder : public storage::Directory {
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

TEST_CASE("an snapshot is whole and synced under its name before anything older goes") {
  using trompeloeil::_;
  std::string const segment = "segment-000000000001";
  std::string const snapshot = "image-000000000002";
  MockFolder folder;
  trompeloeil::sequence order;
  REQUIRE_CALL(folder, list()).IN_SEQUENCE(order).RETURN(std::vector<std::string>{});
  REQUIRE_CALL(folder, append(segment, _)).IN_SEQUENCE(order);
  REQUIRE_CALL(folder, sync(segment)).IN_SEQUENCE(order);
  REQUIRE_CALL(folder, syncDirectory()).IN_SEQUENCE(order);
  REQUIRE_CALL(folder, list()).IN_SEQUENCE(order).RETURN(std::vector<std::string>{segment});
  REQUIRE_CALL(folder, append("image.new", _)).IN_SEQUENCE(order);
  REQUIRE_CALL(folder, sync("image.new")).IN_SEQUENCE(order);
  REQUIRE_CALL(folder, rename("image.new", snapshot)).IN_SEQUENCE(order);
  REQUIRE_CALL(folder, syncDirectory()).IN_SEQUENCE(order);
  REQUIRE_CALL(folder, list()).IN_SEQUENCE(order).RETURN(std::vector<std::string>{segment, snapshot});
  REQUIRE_CALL(folder, remove(segment)).IN_SEQUENCE(order);
  storage::WriteAheadLog log(folder, 10);
  log.recover();
  log.write({{"k", "long enough to roll"}});
}

TEST_CASE("after a failed sync the file is not touched again") {
  using trompeloeil::_;
  MockFolder folder;
  REQUIRE_CALL(folder, list()).RETURN(std::vector<std::string>{});
  REQUIRE_CALL(folder, append(_, _)).TIMES(1);
  REQUIRE_CALL(folder, sync(_)).TIMES(1).THROW(storage::StorageError("sync failed"));
  storage::WriteAheadLog log(folder);
  log.recover();
  CHECK_THROWS_AS(log.write({{"k", "v"}}), storage::StorageError);
  CHECK_THROWS_AS(log.write({{"k", "v"}}), storage::StorageError);
  CHECK(log.failed());
}

TEST_CASE("what was synced comes back after power loss, through rolls, snapshots and torn tails") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    core::RandomGenerator rng(seed);
    LossyFolder folder;
    std::map<std::string, std::string> sure;
    for (int restart = 0; restart < 5; ++restart) {
      storage::WriteAheadLog log(folder, 600);
      storage::RecoveredState const got = log.recover();
      REQUIRE_FALSE(got.damaged);
      for (auto const& [key, value] : sure) REQUIRE(got.slots.at(key) == value);
      sure = got.slots;
      for (int i = 0; i < 40; ++i) {
        storage::Record const r{"k" + std::to_string(rng.below(6)),
                                std::string(rng.below(80), 'x') + std::to_string(i)};
        if (rng.chance(0.02)) {
          folder.failSync = true;
          CHECK_THROWS_AS(log.write({r}), storage::StorageError);
          folder.failSync = false;
          CHECK_THROWS_AS(log.write({r}), storage::StorageError);
          sure.erase(r.key);
          break;
        }
        log.write({r});
        sure[r.key] = r.payload;
      }
      folder.powerLoss(rng);
    }
  }
}

TEST_CASE("damage inside the log is told apart from a torn tail") {
  LossyFolder folder;
  storage::WriteAheadLog log(folder);
  log.recover();
  for (int i = 0; i < 5; ++i) log.write({{"k", "value " + std::to_string(i)}});
  std::string& bytes = folder.files.begin()->second.bytes;
  SECTION("a flipped bit in the middle") {
    bytes[bytes.size() / 2] ^= 1;
    CHECK(storage::WriteAheadLog(folder).recover().damaged);
  }
  SECTION("a cut last record") {
    bytes.resize(bytes.size() - 3);
    storage::RecoveredState const got = storage::WriteAheadLog(folder).recover();
    CHECK_FALSE(got.damaged);
    CHECK(got.tornTail);
    CHECK(got.slots.at("k") == "value 3");
  }
}

TEST_CASE("a torn record of some megabytes is cut, not searched for ever") {
  LossyFolder folder;
  storage::WriteAheadLog log(folder);
  log.recover();
  log.write({{"k", "kept"}});
  std::string big(3 << 20, ' ');
  core::RandomGenerator rng(5);
  for (char& c : big) c = static_cast<char>(32 + rng.below(90));
  std::string const torn = storage::frame({"big", big});
  folder.files.begin()->second.bytes += torn.substr(0, torn.size() - 10);
  storage::RecoveredState const got = storage::WriteAheadLog(folder).recover();
  CHECK(got.tornTail);
  CHECK_FALSE(got.damaged);
  CHECK(got.slots.at("k") == "kept");
}

TEST_CASE("a write-ahead log on the real disk survives reopening") {
  std::string path = std::filesystem::temp_directory_path().string() + "/corkward-storage-XXXXXX";
  REQUIRE(::mkdtemp(path.data()) != nullptr);
  {
    std::unique_ptr<storage::Directory> const folder = storage::openDirectory(path);
    storage::WriteAheadLog log(*folder, 200);
    log.recover();
    for (int i = 0; i < 50; ++i) log.write({{"k" + std::to_string(i % 4), std::to_string(i)}});
  }
  std::unique_ptr<storage::Directory> const folder = storage::openDirectory(path);
  CHECK(storage::WriteAheadLog(*folder, 200).recover().slots.at("k1") == "49");
  std::filesystem::remove_all(path);
}
