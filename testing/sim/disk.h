#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/storage/write_ahead_log.h>

namespace corkward::testing {

/// A simulated disk. At a power loss it keeps all synced bytes and a random prefix of the unsynced bytes of each file.
class SimulatedDisk : public storage::Directory {
 public:
  bool full = false;
  bool failing = false;
  /// Mutation: sync succeeds without making anything durable.
  bool skipsSync = false;
  /// At a power loss, each creation, renaming and removal of a file since the last sync of the directory is kept or
  /// lost independently.
  bool namesLostSeparately = false;
  /// Mutation: syncing the directory makes no name change durable.
  bool directorySkipsSync = false;

  std::vector<std::string> list() override;
  std::string read(std::string const& name) override;
  void append(std::string const& name, std::string const& bytes) override;
  void sync(std::string const& name) override;
  void rename(std::string const& from, std::string const& to) override;
  void remove(std::string const& name) override;
  void truncate(std::string const& name, std::uint64_t size) override;
  void syncDirectory() override;

  void powerLoss(core::RandomGenerator& rng);
  void wipe();
  /// Flips one bit in the first half of the oldest file. Returns false if there is no file to damage.
  bool damage(core::RandomGenerator& rng);
  /// Appends a random prefix of the bytes that were being written when the process was killed.
  void tear(std::string const& bytes, core::RandomGenerator& rng);
  /// Lets this many more operations succeed and makes every later one throw, as if the process had exited. -1 removes
  /// the limit.
  void stopAfter(int operations) { operationsLeft_ = operations; }
  /// Number of name changes that power losses have dropped.
  std::size_t lostNameChanges() const { return lostNameChanges_; }

 private:
  struct File {
    std::string bytes;
    std::size_t synced = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;
  /// A change of the directory that is not synced yet. An empty name means that no name is removed or added.
  struct NameChange {
    std::string removedName;
    std::string addedName;
    std::shared_ptr<File> file;
  };

  /// Counts an operation towards the limit set by stopAfter; throws StorageError if the limit is reached.
  void countOperation();
  void recordNameChange(NameChange change);
  void loseNames(core::RandomGenerator& rng);

  Names files_;
  /// Names at the last sync of the directory.
  Names syncedNames_;
  /// Changes of names since the last sync of the directory.
  std::vector<NameChange> unsyncedNameChanges_;
  int operationsLeft_ = -1;
  std::size_t lostNameChanges_ = 0;
};

}  // namespace corkward::testing
