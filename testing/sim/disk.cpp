#include "disk.h"

namespace corkward::testing {

std::vector<std::string> SimDisk::list() {
  std::vector<std::string> out;
  for (std::map<std::string, File>::value_type const& f : files_) out.push_back(f.first);
  return out;
}

std::string SimDisk::read(std::string const& name) {
  return files_.at(name).bytes;
}

void SimDisk::append(std::string const& name, std::string const& bytes) {
  if (full) throw storage::Error("no space left");
  files_[name].bytes += bytes;
}

void SimDisk::sync(std::string const& name) {
  if (failing) throw storage::Error("sync failed");
  if (!lying) files_[name].synced = files_[name].bytes.size();
}

void SimDisk::rename(std::string const& from, std::string const& to) {
  files_[to] = files_.at(from);
  files_.erase(from);
}

void SimDisk::remove(std::string const& name) {
  files_.erase(name);
}

void SimDisk::truncate(std::string const& name, std::uint64_t size) {
  files_[name].bytes.resize(size);
  files_[name].synced = size;
}

void SimDisk::powerLoss(core::Rng& rng) {
  for (std::map<std::string, File>::value_type& f : files_) {
    std::size_t const loose = f.second.bytes.size() - f.second.synced;
    f.second.bytes.resize(f.second.synced + (lying ? 0 : rng.below(loose + 1)));
    f.second.synced = f.second.bytes.size();
  }
}

bool SimDisk::damage(core::Rng& rng) {
  for (std::map<std::string, File>::value_type& f : files_) {
    if (f.first.rfind("damaged-", 0) == 0 || f.second.bytes.size() < 64) continue;
    f.second.bytes[rng.below(f.second.bytes.size() / 2)] ^= 4;
    return true;
  }
  return false;
}

void SimDisk::tear(std::string const& bytes, core::Rng& rng) {
  std::string last;
  for (std::map<std::string, File>::value_type const& f : files_)
    if (f.first.rfind("segment-", 0) == 0) last = f.first;
  if (last.empty()) return;
  files_[last].bytes += bytes.substr(0, rng.below(bytes.size() + 1));
  files_[last].synced = files_[last].bytes.size();
}

}  // namespace corkward::testing
