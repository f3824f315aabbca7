#include "disk.h"

namespace corkward::testing {

std::vector<std::string> SimDisk::list() {
  std::vector<std::string> out;
  for (auto const& [name, file] : files_) out.push_back(name);
  return out;
}

std::string SimDisk::read(std::string const& name) {
  return files_.at(name)->bytes;
}

void SimDisk::step() {
  if (left_ < 0) return;
  if (left_ == 0) throw storage::StorageError("the process is no more");
  --left_;
}

void SimDisk::named(NameChange change) {
  if (looseNames) loose_.push_back(std::move(change));
}

void SimDisk::append(std::string const& name, std::string const& bytes) {
  step();
  if (full) throw storage::StorageError("no space left");
  std::shared_ptr<File>& file = files_[name];
  if (!file) {
    file = std::make_shared<File>();
    named(NameChange{"", name, file});
  }
  file->bytes += bytes;
}

void SimDisk::sync(std::string const& name) {
  step();
  if (failing) throw storage::StorageError("sync failed");
  if (!lying) files_.at(name)->synced = files_.at(name)->bytes.size();
}

void SimDisk::rename(std::string const& from, std::string const& to) {
  step();
  std::shared_ptr<File> const file = files_.at(from);
  files_[to] = file;
  files_.erase(from);
  named(NameChange{from, to, file});
}

void SimDisk::remove(std::string const& name) {
  step();
  std::shared_ptr<File> const file = files_.at(name);
  files_.erase(name);
  named(NameChange{name, "", file});
}

void SimDisk::truncate(std::string const& name, std::uint64_t size) {
  step();
  files_.at(name)->bytes.resize(size);
  files_.at(name)->synced = size;
}

void SimDisk::syncDirectory() {
  step();
  if (!looseNames || lyingNames) return;
  safe_ = files_;
  loose_.clear();
}

void SimDisk::wipe() {
  files_.clear();
  safe_.clear();
  loose_.clear();
}

void SimDisk::loseNames(core::RandomGenerator& rng) {
  for (NameChange const& change : loose_) {
    if (rng.chance(0.5)) {
      ++lostNames_;
      continue;
    }
    auto const removedName = safe_.find(change.removedName);
    if (removedName != safe_.end() && removedName->second == change.file) safe_.erase(removedName);
    if (!change.fresh.empty()) safe_[change.fresh] = change.file;
  }
  loose_.clear();
  files_ = safe_;
}

void SimDisk::powerLoss(core::RandomGenerator& rng) {
  for (auto& [name, file] : files_) {
    std::size_t const loose = file->bytes.size() - file->synced;
    file->bytes.resize(file->synced + (lying ? 0 : rng.below(loose + 1)));
    file->synced = file->bytes.size();
  }
  if (looseNames) loseNames(rng);
}

bool SimDisk::damage(core::RandomGenerator& rng) {
  for (auto& [name, file] : files_) {
    if (name.rfind("damaged-", 0) == 0 || file->bytes.size() < 64) continue;
    file->bytes[rng.below(file->bytes.size() / 2)] ^= 4;
    return true;
  }
  return false;
}

void SimDisk::tear(std::string const& bytes, core::RandomGenerator& rng) {
  std::string last;
  for (auto const& [name, file] : files_)
    if (name.rfind("segment-", 0) == 0) last = name;
  if (last.empty()) return;
  files_.at(last)->bytes += bytes.substr(0, rng.below(bytes.size() + 1));
  files_.at(last)->synced = files_.at(last)->bytes.size();
}

}  // namespace corkward::testing
