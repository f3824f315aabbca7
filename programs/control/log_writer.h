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

/// Owns a controller's write-ahead log and writes it on a worker thread, beside the event loop. After a failed write it
/// retries the disk until that takes writes again; the log is then read anew, as after a restart of the process.
class LogWriter {
 public:
  struct Events {
    /// A batch is on disk (true) or failed; called on the owner's thread, in the order of the writes.
    std::function<void(std::vector<std::uint64_t> const& tickets, bool written)> persisted;
    /// The disk takes writes again: all state in memory starts over from what the log says.
    std::function<void(storage::RecoveredState const& recovered)> recovered;
  };

  /// Opens the directory and locks it for this process. Throws storage::StorageError, or SettingsError when another
  /// process has it.
  LogWriter(QObject* owner, std::string const& directory, Events events);

  /// Reads the log at the start of the process. On a disk that cannot be read the state counts as damaged, and the log
  /// takes no write.
  storage::RecoveredState recoverAtStart();
  /// Writes and syncs the records as one batch; the outcome follows as an event.
  void write(std::vector<consensus::PersistCommand> const& commands);

 private:
  /// Moves a damaged log out of the way and starts an empty one.
  void startEmptyLog();
  void reportWritten(std::uint64_t generation, std::vector<std::uint64_t> const& tickets, bool written,
                     std::string const& error);
  /// On the worker: reads the log again and rewrites its content.
  void retryDisk();
  void resume(storage::RecoveredState const& recovered);

  QObject* owner_;
  Events events_;
  std::unique_ptr<storage::Directory> directory_;
  DirectoryLock lock_;
  /// Used by the worker alone once the start is over.
  std::unique_ptr<storage::WriteAheadLog> log_;
  /// Counts the recoveries of the disk, so that outcomes of writes from before one are ignored.
  std::uint64_t generation_ = 0;
  /// The worker's own count: it is ahead of the other one while a recovery is on its way to the owner's thread.
  std::uint64_t workerGeneration_ = 0;
  QTimer retryTimer_;
  /// The last member: it ends before what its jobs use.
  core::WorkerPool worker_;
};

}  // namespace corkward::programs
