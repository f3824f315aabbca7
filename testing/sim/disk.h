#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/storage/write_ahead_log.h>

namespace corkward::testing {

/// A simulated disk: keeps what was synced; of the rest a random part when the power goes.
class SimDisk : public storage::Directory {
 public:
  bool full = false;
  bool failing = false;
  /// Mutation: says "synced" without keeping anything safe.
  bool lying = false;
  /// At a loss of power each creation, renaming and removal since the folder was last synced is kept or lost by itself.
  bool looseNames = false;
  /// Mutation: syncing the folder makes no name safe.
  bool lyingNames = false;

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
  /// Flips one bit somewhere in the oldest file. False when there is nothing to damage.
  bool damage(core::RandomGenerator& rng);
  /// Appends bytes that were under way when the power went.
  void tear(std::string const& bytes, core::RandomGenerator& rng);
  /// After so many more operations every further one is refused, as for a process that is no more; -1: never.
  void stopAfter(int operations) { left_ = operations; }
  /// How many names were lost in all.
  std::size_t lostNames() const { return lostNames_; }

 private:
  struct File {
    std::string bytes;
    std::size_t synced = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;
  /// A change of the folder that is not synced yet; an empty name stands for none.
  struct NameChange {
    std::string removedName;
    std::string fresh;
    std::shared_ptr<File> file;
  };

  /// Counts an operation towards the last one.
  void step();
  void named(NameChange change);
  void loseNames(core::RandomGenerator& rng);

  Names files_;
  /// Names as they stand after a loss of power, and what was done since.
  Names safe_;
  std::vector<NameChange> loose_;
  int left_ = -1;
  std::size_t lostNames_ = 0;
};

}  // namespace corkward::testing
