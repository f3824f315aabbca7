#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::storage {

/// An error of the disk; after one the write-ahead log's file is not written again.
class StorageError : public core::Error {
 public:
  using core::Error::Error;
};

/// The folder a write-ahead log lives in. The real one does POSIX files; the simulator's forgets what was not synced.
class Directory {
 public:
  Directory() = default;
  virtual ~Directory() = default;
  virtual std::vector<std::string> list() = 0;
  virtual std::string read(std::string const& name) = 0;
  /// Appends to a file, making it if it is new.
  virtual void append(std::string const& name, std::string const& bytes) = 0;
  virtual void sync(std::string const& name) = 0;
  virtual void rename(std::string const& from, std::string const& to) = 0;
  virtual void remove(std::string const& name) = 0;
  virtual void truncate(std::string const& name, std::uint64_t size) = 0;
  virtual void syncDirectory() = 0;

 protected:
  // Only complete implementations are copied or moved, never a Directory by itself.
  Directory(Directory const&) = default;
  Directory& operator=(Directory const&) = default;
  Directory(Directory&&) = default;
  Directory& operator=(Directory&&) = default;
};

/// A folder on the machine's own disk, made if it is missing. Throws StorageError.
std::unique_ptr<Directory> openDirectory(std::string const& path);

/// Key and payload of one record; a later record of a key replaces an earlier one.
struct Record {
  std::string key;
  std::string payload;
};

/// What came back from the disk at the start.
struct RecoveredState {
  std::map<std::string, std::string> slots;
  /// Damage other than a torn last record: the member must not vote before it was repaired.
  bool damaged = false;
  bool tornTail = false;
  std::string damage;
};

/// Renames the files of a damaged log, so that the next one begins empty; the label stands in their names. Only one
/// such set is kept. Stopped at any point it leaves a log that still reads as damaged, or none. Throws Error.
void quarantine(Directory& folder, std::string const& label);

/// Frames one record: length, CRC-32C, key, payload.
std::string frame(Record const& record);

/// A log in segments with snapshots beside it.
class WriteAheadLog {
 public:
  /// Segments roll at this size.
  WriteAheadLog(Directory& folder, std::uint64_t segmentBytes = 4U << 20);
  /// Reads the newest snapshot and the segments after it, cuts a torn tail, and syncs what it read, so that answers may
  /// rest on it. Removes what older snapshots left. Throws Error when the disk does.
  RecoveredState recover();
  /// Appends and syncs all records as one write. Throws write-ahead log::Error and is unusable afterwards.
  void write(std::vector<Record> const& records);
  bool failed() const { return failed_; }

 private:
  void readSnapshot(std::uint64_t number, RecoveredState& out);
  void readSegments(std::vector<std::uint64_t> const& segments, RecoveredState& out);
  void snapshot();
  /// Removes an unfinished snapshot and what is older than the newest one.
  void removeOld();

  Directory& folder_;
  std::uint64_t segmentBytes_;
  std::map<std::string, std::string> slots_;
  std::uint64_t segment_ = 1;
  std::uint64_t size_ = 0;
  bool failed_ = false;
};

}  // namespace corkward::storage
