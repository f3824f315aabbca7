#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/storage/write_ahead_log.h>

namespace corkward::storage {

/// Thrown by CrashDirectory at the point where the simulated process crashes.
struct Crash {};

/// A simulated directory that can crash before any operation, and that enumerates all states which the disk may have
/// after a power loss. Each file that was created, renamed or removed since the directory's last sync is kept or lost
/// independently. Of the bytes since a file's last sync, any prefix may be kept; none, half and all are tried.
class CrashDirectory : public Directory {
 public:
  /// Number of operations before the crash; negative if there is no crash.
  int operationsLeft = -1;
  /// True if appends write only half of their bytes and fail from now on, as on a full disk.
  bool isFull = false;
  /// Number of operations so far.
  int operationCount = 0;

  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (auto const& [name, inode] : names_) out.push_back(name);
    return out;
  }
  std::string read(std::string const& name) override { return inode(name).bytes; }
  void append(std::string const& name, std::string const& bytes) override {
    step();
    if (names_.count(name) == 0) {
      names_[name] = inodes_.size();
      inodes_.emplace_back();
      unsyncedChanges_.push_back(UnsyncedChange{"", name, names_[name]});
    }
    if (!isFull) {
      inode(name).bytes += bytes;
      return;
    }
    inode(name).bytes += bytes.substr(0, bytes.size() / 2);
    throw StorageError("no space left on the disk");
  }
  void sync(std::string const& name) override {
    step();
    inode(name).synced = inode(name).bytes.size();
  }
  void rename(std::string const& from, std::string const& to) override {
    step();
    unsyncedChanges_.push_back(UnsyncedChange{from, to, names_.at(from)});
    names_[to] = names_.at(from);
    names_.erase(from);
  }
  void remove(std::string const& name) override {
    step();
    unsyncedChanges_.push_back(UnsyncedChange{name, "", names_.at(name)});
    names_.erase(name);
  }
  void truncate(std::string const& name, std::uint64_t size) override {
    step();
    inode(name).bytes.resize(size);
    inode(name).synced = size;
  }
  void syncDirectory() override {
    step();
    syncedNames_ = names_;
    unsyncedChanges_.clear();
  }

  /// Returns the number of bytes in all files.
  std::size_t bytes() {
    std::size_t sum = 0;
    for (auto const& [name, inode] : names_) sum += inodes_[inode].bytes.size();
    return sum;
  }

  /// Returns the number of files whose names begin with this prefix.
  std::size_t countOf(std::string const& prefix) const {
    std::size_t n = 0;
    for (auto const& [name, inode] : names_) n += name.rfind(prefix, 0) == 0 ? 1 : 0;
    return n;
  }
  bool has(std::string const& prefix) const { return countOf(prefix) > 0; }
  /// Flips a bit in the first record of the newest file whose name begins with this prefix.
  void flipBit(std::string const& prefix) {
    std::string newest;
    for (auto const& [name, inode] : names_)
      if (name.rfind(prefix, 0) == 0) newest = name;
    inode(newest).bytes.at(9) ^= 1;
  }

  /// Returns the directory after the process was killed: no change is lost, and unsynced changes stay unsynced.
  CrashDirectory afterKill() const {
    CrashDirectory out = *this;
    out.operationsLeft = -1;
    out.isFull = false;
    out.operationCount = 0;
    return out;
  }

  /// Returns all states that the disk may have after a power loss.
  std::vector<CrashDirectory> afterPowerLoss() const {
    std::vector<CrashDirectory> out;
    for (unsigned survivingChanges = 0; survivingChanges < 1U << unsyncedChanges_.size(); ++survivingChanges)
      for (std::size_t halves = 0; halves <= 2; ++halves) out.push_back(powerLoss(survivingChanges, halves));
    return out;
  }

  /// Returns a text with all names, bytes and what is synced of them. Two directories with the same text behave alike.
  std::string text() const {
    std::string out;
    for (auto const& [name, inode] : names_)
      out += name + "=" + inodes_[inode].bytes + "/" + std::to_string(inodes_[inode].synced) + ";";
    for (auto const& [name, inode] : syncedNames_) out += name + ":" + std::to_string(inode) + ";";
    for (UnsyncedChange const& e : unsyncedChanges_) out += e.from + ">" + e.to + ";";
    return out;
  }

 private:
  struct Inode {
    std::string bytes;
    std::size_t synced = 0;
  };
  using Names = std::map<std::string, std::size_t>;
  /// A change of the directory that is not synced: a created file (`from` is empty), a renamed file, or a removed file
  /// (`to` is empty).
  struct UnsyncedChange {
    std::string from;
    std::string to;
    std::size_t inode = 0;
  };

  Inode& inode(std::string const& name) { return inodes_[names_.at(name)]; }
  /// Counts an operation, or crashes before it.
  void step() {
    if (operationsLeft == 0) throw Crash{};
    if (operationsLeft > 0) --operationsLeft;
    ++operationCount;
  }
  /// Returns one state after a power loss.
  /// @param survivingChanges bit i is set if the i-th unsynced change is kept
  /// @param halves how much of each file's unsynced bytes is kept: 0 for none, 1 for half, 2 for all
  CrashDirectory powerLoss(unsigned survivingChanges, std::size_t halves) const {
    CrashDirectory out;
    Names names = syncedNames_;
    for (std::size_t i = 0; i < unsyncedChanges_.size(); ++i) {
      if ((survivingChanges >> i & 1U) == 0) continue;
      if (!unsyncedChanges_[i].from.empty()) names.erase(unsyncedChanges_[i].from);
      if (!unsyncedChanges_[i].to.empty()) names[unsyncedChanges_[i].to] = unsyncedChanges_[i].inode;
    }
    for (auto const& [name, inode] : names) {
      Inode const& was = inodes_[inode];
      std::size_t const size = was.synced + (was.bytes.size() - was.synced) * halves / 2;
      out.names_[name] = out.inodes_.size();
      out.inodes_.push_back(Inode{was.bytes.substr(0, size), size});
    }
    out.syncedNames_ = out.names_;
    return out;
  }

  std::vector<Inode> inodes_;
  Names names_;
  /// Names as of the directory's last sync.
  Names syncedNames_;
  /// Changes since the directory's last sync.
  std::vector<UnsyncedChange> unsyncedChanges_;
};

}  // namespace corkward::storage
