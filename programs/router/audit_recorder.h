#pragma once

#include <QJsonObject>
#include <QObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <corkward/audit/audit_log.h>
#include <corkward/core/workers.h>
#include <corkward/dataplane/request_router.h>

#include "directory_lock.h"
#include "settings.h"

namespace corkward::programs {

/// Writes the audit records of requests under a regime, and syncs the files of the audit log on a worker thread.
class AuditRecorder {
 public:
  /// Called on the owner's thread when records become writable (true) or are no longer writable (false).
  using AvailabilityChanged = std::function<void(bool available)>;
  /// Writes no records if the settings name no audit directory. Throws SettingsError if another process has locked the
  /// directory, and storage::StorageError if the directory cannot be written.
  AuditRecorder(QObject* owner, Settings const& settings, AvailabilityChanged availabilityChanged);
  /// Writes the outcomes that were counted but not yet written.
  ~AuditRecorder();
  AuditRecorder(AuditRecorder const&) = delete;
  AuditRecorder& operator=(AuditRecorder const&) = delete;
  AuditRecorder(AuditRecorder&&) = delete;
  AuditRecorder& operator=(AuditRecorder&&) = delete;
  /// Counts the outcome of a request; the first record of a kind is written to the file at once.
  /// @return false if there is no audit directory or the write failed
  bool write(dataplane::WriteAuditRecord const& record);
  /// Writes the counts of a counting period that has ended. Also syncs the files and logs a checkpoint when these are
  /// due.
  void onTimer();
  /// Returns the newest record for the router's state: its number, its hash, and whether records can be written.
  /// Returns std::nullopt if there is no audit directory.
  std::optional<QJsonObject> head() const;

 private:
  void setAvailable(bool available, std::string const& error);
  /// Runs a step that writes. If it fails, returns false and reports that records cannot be written.
  template <class Step>
  bool tryWrite(Step const& step);
  void sync();
  void onSynced(std::string const& error);
  void logCheckpoint();

  QObject* owner_;
  AvailabilityChanged availabilityChanged_;
  /// Null if there is no audit directory.
  std::unique_ptr<storage::Directory> directory_;
  std::optional<DirectoryLock> lock_;
  /// Null if there is no audit directory.
  std::unique_ptr<audit::AuditLog> log_;
  bool available_ = false;
  /// Whether a sync is in progress on the worker thread.
  bool syncing_ = false;
  core::Milliseconds nextSyncAt_ = 0;
  core::Milliseconds nextCheckpointAt_ = 0;
  /// Declared last, so that the worker thread is stopped before the members that its jobs use are destroyed.
  std::optional<core::WorkerPool> worker_;
};

}  // namespace corkward::programs
