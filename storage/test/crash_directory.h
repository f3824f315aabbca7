#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/storage/write_ahead_log.h>

namespace corkward::storage {

/// Thrown by CrashFolder when the process is to end.
struct Crash {};

/// A simulated folder that can stop before any operation and lists every state in which a disk may come back. What was
/// made, renamed or removed since the folder's last sync is kept or lost, each by itself; of the bytes since a file's
/// last sync any prefix is kept (none, half and all are tried).
class CrashFolder : public Directory {
 public:
  /// Operations that are still carried out; negative: no bound.
  int left = -1;
  /// Appends and syncs fail from here on, as on a full disk.
  bool full = false;
  /// Operations carried out so far.
  int done = 0;

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
      entries_.push_back(Entry{"", name, names_[name]});
    }
    if (!full) {
      inode(name).bytes += bytes;
      return;
    }
    inode(name).bytes += bytes.substr(0, bytes.size() / 2);
    throw StorageError("no room");
  }
  void sync(std::string const& name) override {
    step();
    inode(name).synced = inode(name).bytes.size();
  }
  void rename(std::string const& from, std::string const& to) override {
    step();
    entries_.push_back(Entry{from, to, names_.at(from)});
    names_[to] = names_.at(from);
    names_.erase(from);
  }
  void remove(std::string const& name) override {
    step();
    entries_.push_back(Entry{name, "", names_.at(name)});
    names_.erase(name);
  }
  void truncate(std::string const& name, std::uint64_t size) override {
    step();
    inode(name).bytes.resize(size);
    inode(name).synced = size;
  }
  void syncDirectory() override {
    step();
    durable_ = names_;
    entries_.clear();
  }

  /// Bytes under all names.
  std::size_t bytes() {
    std::size_t sum = 0;
    for (auto const& [name, inode] : names_) sum += inodes_[inode].bytes.size();
    return sum;
  }

  /// How many names begin so.
  std::size_t countOf(std::string const& kind) const {
    std::size_t n = 0;
    for (auto const& [name, inode] : names_) n += name.rfind(kind, 0) == 0 ? 1 : 0;
    return n;
  }
  bool has(std::string const& kind) const { return countOf(kind) > 0; }
  /// Damages the first record of the newest file whose name begins so.
  void flip(std::string const& kind) {
    std::string newest;
    for (auto const& [name, inode] : names_)
      if (name.rfind(kind, 0) == 0) newest = name;
    inode(newest).bytes.at(9) ^= 1;
  }

  /// The folder after the process was killed: nothing is lost, and nothing more is synced.
  CrashFolder killed() const {
    CrashFolder out = *this;
    out.left = -1;
    out.full = false;
    out.done = 0;
    return out;
  }

  /// Every folder in which the disk may come back after a loss of power.
  std::vector<CrashFolder> powerLosses() const {
    std::vector<CrashFolder> out;
    for (unsigned survivingEntries = 0; survivingEntries < 1U << entries_.size(); ++survivingEntries)
      for (std::size_t part = 0; part <= 2; ++part) out.push_back(powerLoss(survivingEntries, part));
    return out;
  }

  /// Names, bytes, and what of these is synced: two folders of one text behave alike.
  std::string text() const {
    std::string out;
    for (auto const& [name, inode] : names_)
      out += name + "=" + inodes_[inode].bytes + "/" + std::to_string(inodes_[inode].synced) + ";";
    for (auto const& [name, inode] : durable_) out += name + ":" + std::to_string(inode) + ";";
    for (Entry const& e : entries_) out += e.from + ">" + e.to + ";";
    return out;
  }

 private:
  struct Inode {
    std::string bytes;
    std::size_t synced = 0;
  };
  using Names = std::map<std::string, std::size_t>;
  /// A change of the folder that is not synced: made (from empty), renamed or removed (to empty).
  struct Entry {
    std::string from;
    std::string to;
    std::size_t inode = 0;
  };

  Inode& inode(std::string const& name) { return inodes_[names_.at(name)]; }
  void step() {
    if (left == 0) throw Crash{};
    if (left > 0) --left;
    ++done;
  }
  CrashFolder powerLoss(unsigned survivingEntries, std::size_t part) const {
    CrashFolder out;
    Names names = durable_;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if ((survivingEntries >> i & 1U) == 0) continue;
      if (!entries_[i].from.empty()) names.erase(entries_[i].from);
      if (!entries_[i].to.empty()) names[entries_[i].to] = entries_[i].inode;
    }
    for (auto const& [name, inode] : names) {
      Inode const& was = inodes_[inode];
      std::size_t const size = was.synced + (was.bytes.size() - was.synced) * part / 2;
      out.names_[name] = out.inodes_.size();
      out.inodes_.push_back(Inode{was.bytes.substr(0, size), size});
    }
    out.durable_ = out.names_;
    return out;
  }

  std::vector<Inode> inodes_;
  Names names_;
  Names durable_;
  std::vector<Entry> entries_;
};

}  // namespace corkward::storage
