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

/// Writes the audit records of a router's regimes, and syncs the files on a worker thread.
class AuditRecorder {
 public:
  /// Whether records can be written from here on; called on the owner's thread when that changes.
  using AvailabilityChanged = std::function<void(bool available)>;
  /// Without an audit directory nothing is recorded. Throws SettingsError when another process has the directory, and
  /// storage::StorageError when it cannot be written.
  AuditRecorder(QObject* owner, Settings const& settings, AvailabilityChanged availabilityChanged);
  /// Writes what was counted and not written yet.
  ~AuditRecorder();
  AuditRecorder(AuditRecorder const&) = delete;
  AuditRecorder& operator=(AuditRecorder const&) = delete;
  AuditRecorder(AuditRecorder&&) = delete;
  AuditRecorder& operator=(AuditRecorder&&) = delete;
  /// @return whether the record is in the file
  bool write(dataplane::WriteAuditRecord const& record);
  /// Writes the counts of a span that has ended, and syncs in its turn.
  void onTimer();
  /// The newest record for the state page: number, hash, and whether records can be written; nothing without an audit
  /// directory.
  std::optional<QJsonObject> head() const;

 private:
  void setAvailable(bool available, std::string const& error);
  /// Runs a step that writes; a failure makes the recorder unavailable.
  template <class Step>
  bool tryWrite(Step const& step);
  void sync();
  void onSynced(std::string const& error);
  void logCheckpoint();

  QObject* owner_;
  AvailabilityChanged availabilityChanged_;
  /// Null without an audit directory, as is the log.
  std::unique_ptr<storage::Directory> directory_;
  std::optional<DirectoryLock> lock_;
  std::unique_ptr<audit::AuditLog> log_;
  bool available_ = false;
  /// A sync is under way on the worker.
  bool syncing_ = false;
  core::Milliseconds nextSyncAt_ = 0;
  core::Milliseconds nextCheckpointAt_ = 0;
  /// The last member: it ends before what its jobs use.
  std::optional<core::WorkerPool> worker_;
};

}  // namespace corkward::programs
