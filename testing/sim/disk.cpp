#include "disk.h"

namespace corkward::testing {

std::vector<std::string> SimulatedDisk::list() {
  std::vector<std::string> out;
  for (auto const& [name, file] : files_) out.push_back(name);
  return out;
}

std::string SimulatedDisk::read(std::string const& name) {
  return files_.at(name)->bytes;
}

void SimulatedDisk::countOperation() {
  if (operationsLeft_ < 0) return;
  if (operationsLeft_ == 0) throw storage::StorageError("the process has exited");
  --operationsLeft_;
}

void SimulatedDisk::recordNameChange(NameChange change) {
  if (namesLostSeparately) unsyncedNameChanges_.push_back(std::move(change));
}

void SimulatedDisk::append(std::string const& name, std::string const& bytes) {
  countOperation();
  if (full) throw storage::StorageError("no space left");
  std::shared_ptr<File>& file = files_[name];
  if (!file) {
    file = std::make_shared<File>();
    recordNameChange(NameChange{"", name, file});
  }
  file->bytes += bytes;
}

void SimulatedDisk::sync(std::string const& name) {
  countOperation();
  if (failing) throw storage::StorageError("sync failed");
  if (!skipsSync) files_.at(name)->synced = files_.at(name)->bytes.size();
}

void SimulatedDisk::rename(std::string const& from, std::string const& to) {
  countOperation();
  std::shared_ptr<File> const file = files_.at(from);
  files_[to] = file;
  files_.erase(from);
  recordNameChange(NameChange{from, to, file});
}

void SimulatedDisk::remove(std::string const& name) {
  countOperation();
  std::shared_ptr<File> const file = files_.at(name);
  files_.erase(name);
  recordNameChange(NameChange{name, "", file});
}

void SimulatedDisk::truncate(std::string const& name, std::uint64_t size) {
  countOperation();
  files_.at(name)->bytes.resize(size);
  files_.at(name)->synced = size;
}

void SimulatedDisk::syncDirectory() {
  countOperation();
  if (!namesLostSeparately || directorySkipsSync) return;
  syncedNames_ = files_;
  unsyncedNameChanges_.clear();
}

void SimulatedDisk::wipe() {
  files_.clear();
  syncedNames_.clear();
  unsyncedNameChanges_.clear();
}

void SimulatedDisk::loseNames(core::RandomGenerator& rng) {
  for (NameChange const& change : unsyncedNameChanges_) {
    if (rng.chance(0.5)) {
      ++lostNameChanges_;
      continue;
    }
    auto const removedName = syncedNames_.find(change.removedName);
    if (removedName != syncedNames_.end() && removedName->second == change.file) syncedNames_.erase(removedName);
    if (!change.addedName.empty()) syncedNames_[change.addedName] = change.file;
  }
  unsyncedNameChanges_.clear();
  files_ = syncedNames_;
}

void SimulatedDisk::powerLoss(core::RandomGenerator& rng) {
  for (auto& [name, file] : files_) {
    std::size_t const unsynced = file->bytes.size() - file->synced;
    file->bytes.resize(file->synced + (skipsSync ? 0 : rng.below(unsynced + 1)));
    file->synced = file->bytes.size();
  }
  if (namesLostSeparately) loseNames(rng);
}

bool SimulatedDisk::damage(core::RandomGenerator& rng) {
  for (auto& [name, file] : files_) {
    if (name.rfind("damaged-", 0) == 0 || file->bytes.size() < 64) continue;
    file->bytes[rng.below(file->bytes.size() / 2)] ^= 4;
    return true;
  }
  return false;
}

void SimulatedDisk::tear(std::string const& bytes, core::RandomGenerator& rng) {
  std::string last;
  for (auto const& [name, file] : files_)
    if (name.rfind("segment-", 0) == 0) last = name;
  if (last.empty()) return;
  files_.at(last)->bytes += bytes.substr(0, rng.below(bytes.size() + 1));
  files_.at(last)->synced = files_.at(last)->bytes.size();
}

}  // namespace corkward::testing
