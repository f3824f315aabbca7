#pragma once

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <corkward/consensus/replicated_registers.h>
#include <corkward/core/workers.h>
#include <corkward/storage/write_ahead_log.h>

#include "directory_lock.h"

namespace corkward::programs {

/// Owns a controller's write-ahead log and writes it on a worker thread, so that the event loop is not blocked. After a
/// failed write it retries until the disk accepts writes again. The log is then read again, as after a restart of the
/// process.
class LogWriter {
 public:
  struct Events {
    /// A batch is on disk (`written` is true) or its write failed. Called on the owner's thread in the order of the
    /// writes.
    std::function<void(std::vector<std::uint64_t> const& tickets, bool written)> persisted;
    /// The disk accepts writes again. The owner must replace all state in memory by the recovered state.
    std::function<void(storage::RecoveredState const& recovered)> recovered;
  };

  /// Opens the directory and locks it for this process. Throws storage::StorageError if it cannot be opened, and
  /// SettingsError if another process has locked it.
  LogWriter(QObject* owner, std::string const& directory, Events events);

  /// Reads the log at the start of the process. If the disk cannot be read, returns a state that is marked as damaged,
  /// and writes fail until the disk has recovered.
  storage::RecoveredState recoverAtStart();
  /// Writes and syncs the records as one batch. The outcome is reported by Events::persisted.
  void write(std::vector<consensus::PersistCommand> const& commands);

 private:
  /// Moves the files of a damaged log aside and starts an empty log.
  void startEmptyLog();
  void reportWritten(std::uint64_t generation, std::vector<std::uint64_t> const& tickets, bool written,
                     std::string const& error);
  /// Tries on the worker thread to read the log again and to rewrite its content.
  void retryDisk();
  void resume(storage::RecoveredState const& recovered);

  QObject* owner_;
  Events events_;
  std::unique_ptr<storage::Directory> directory_;
  DirectoryLock lock_;
  /// Used only by the worker thread after recoverAtStart.
  std::unique_ptr<storage::WriteAheadLog> log_;
  /// Number of recoveries of the disk. Outcomes of writes that were requested before the newest recovery are ignored.
  std::uint64_t generation_ = 0;
  /// The worker thread's count of recoveries. It is ahead of generation_ until the owner's thread has processed a
  /// recovery.
  std::uint64_t workerGeneration_ = 0;
  QTimer retryTimer_;
  /// Declared last, so that the worker thread is stopped before the members that its jobs use are destroyed.
  core::WorkerPool worker_;
};

}  // namespace corkward::programs
