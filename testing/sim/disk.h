#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/storage/write_ahead_log.h>

namespace corkward::testing {

/// A simulated disk: keeps what was synced; of the rest a random part when the power goes.
class SimDisk : public storage::Folder {
 public:
  bool full = false;
  bool failing = false;
  /// Mutation: says "synced" without keeping anything safe.
  bool lying = false;

  std::vector<std::string> list() override;
  std::string read(std::string const& name) override;
  void append(std::string const& name, std::string const& bytes) override;
  void sync(std::string const& name) override;
  void rename(std::string const& from, std::string const& to) override;
  void remove(std::string const& name) override;
  void truncate(std::string const& name, std::uint64_t size) override;
  void syncFolder() override {}

  void powerLoss(core::Rng& rng);
  void wipe() { files_.clear(); }
  /// Flips one bit somewhere in the oldest file. False when there is nothing to damage.
  bool damage(core::Rng& rng);
  /// Appends bytes that were under way when the power went.
  void tear(std::string const& bytes, core::Rng& rng);

 private:
  struct File {
    std::string bytes;
    std::size_t synced = 0;
  };
  std::map<std::string, File> files_;
};

}  // namespace corkward::testing
