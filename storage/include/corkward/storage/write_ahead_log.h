#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::storage {

/// An error of the disk. After it, the write-ahead log does not write to its file again, because it is not known what
/// of the last write is on the disk.
class StorageError : public core::Error {
 public:
  using core::Error::Error;
};

/// The directory that contains a write-ahead log. Production code uses POSIX files (openDirectory); simulations use
/// directories that lose what was not synced.
class Directory {
 public:
  Directory() = default;
  virtual ~Directory() = default;
  /// Returns the names of all files, in any order.
  virtual std::vector<std::string> list() = 0;
  /// Returns the content of a file.
  virtual std::string read(std::string const& name) = 0;
  /// Appends to a file, which is created if it does not exist.
  virtual void append(std::string const& name, std::string const& bytes) = 0;
  /// Makes the content of a file durable.
  virtual void sync(std::string const& name) = 0;
  /// Renames a file atomically and replaces a file of the new name.
  virtual void rename(std::string const& from, std::string const& to) = 0;
  virtual void remove(std::string const& name) = 0;
  /// Cuts a file to this size and syncs it.
  virtual void truncate(std::string const& name, std::uint64_t size) = 0;
  /// Makes created, renamed and removed files durable.
  virtual void syncDirectory() = 0;

 protected:
  // Protected, so that only complete implementations can be copied or moved, never the base class alone.
  Directory(Directory const&) = default;
  Directory& operator=(Directory const&) = default;
  Directory(Directory&&) = default;
  Directory& operator=(Directory&&) = default;
};

/// Returns a directory on the machine's disk, which is created if it does not exist. Throws StorageError if that fails.
std::unique_ptr<Directory> openDirectory(std::string const& path);

/// One record of the log. A later record with the same key replaces an earlier one.
struct Record {
  std::string key;
  std::string payload;
};

/// The state that was read from the disk at the start.
struct RecoveredState {
  /// Newest payload by key.
  std::map<std::string, std::string> slots;
  /// True if the log is damaged by more than a torn last record. The member must not vote until it has recovered its
  /// state from other members.
  bool damaged = false;
  /// True if an incomplete last record was cut off.
  bool tornTail = false;
  /// Describes where the damage is; empty if there is none.
  std::string damage;
};

/// Renames the files of a damaged log, so that the next log begins empty. Removes the files of earlier damaged logs. If
/// it is interrupted at any point, the directory contains a log that is still recognized as damaged, or no log. Throws
/// StorageError.
/// @param label part of the new names
void quarantine(Directory& directory, std::string const& label);

/// Returns the bytes of one record: length, CRC-32C, length of the key, key, payload.
std::string frame(Record const& record);

/// A write-ahead log. Records are appended to numbered segments. When a segment is full, a snapshot of the newest
/// record of each key is written and a new segment begins; older segments and snapshots are then removed.
class WriteAheadLog {
 public:
  /// @param segmentBytes size of a segment from which on a snapshot is written and the next segment begins
  WriteAheadLog(Directory& directory, std::uint64_t segmentBytes = 4U << 20);
  /// Reads the newest snapshot and the segments after it, cuts off a torn tail, and syncs what was read, so that
  /// replies may depend on it. Removes files that are older than the newest snapshot. Throws StorageError if the disk
  /// fails.
  RecoveredState recover();
  /// Appends and syncs all records as one write. Throws StorageError if the disk fails or the log has failed before; a
  /// failed log cannot be written again.
  void write(std::vector<Record> const& records);
  /// True if the log cannot be written: after a failed write, before recover(), or if recover() found damage.
  bool failed() const { return failed_; }

 private:
  /// Reads a snapshot, or marks it as damaged in `out`.
  void readSnapshot(std::uint64_t number, RecoveredState& out);
  /// Reads these segments in order, cuts off a torn tail of the last one, and reports other damage in `out`.
  void readSegments(std::vector<std::uint64_t> const& segments, RecoveredState& out);
  /// Writes a snapshot of all slots and begins the next segment.
  void writeSnapshot();
  /// Removes an unfinished snapshot, and segments and snapshots with numbers below the current segment's.
  void removeOld();

  Directory& directory_;
  std::uint64_t segmentBytes_;
  /// Newest payload by key.
  std::map<std::string, std::string> slots_;
  /// Number of the segment that is appended to, and its size in bytes.
  std::uint64_t segment_ = 1;
  std::uint64_t segmentSize_ = 0;
  bool failed_ = false;
};

}  // namespace corkward::storage
