#pragma once

#include <QJsonObject>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <corkward/audit/audit_log.h>
#include <corkward/core/workers.h>
#include <corkward/dataplane/request_router.h>

#include "process.h"

namespace corkward::programs {

/// Keeps the records of regimes' work in this node's folder, and syncs them beside the owner's thread.
class Records {
 public:
  /// Tells whether records can be written from here on; called on the owner's thread.
  using Works = std::function<void(bool)>;
  /// No folder: no records. Throws SettingsError when another process has the folder, write-ahead log::Error.
  Records(QObject* owner, Settings const& settings, Works works);
  /// Everything that was counted is written.
  ~Records();
  Records(Records const&) = delete;
  Records& operator=(Records const&) = delete;
  /// True: it is in the file.
  bool write(dataplane::WriteAuditRecord const& record);
  void clockEvent();
  /// Newest record, for others to note; nothing without a folder.
  std::optional<QJsonObject> head() const;

 private:
  void tell(bool works, std::string const& why);
  bool guarded(std::function<void()> const& step);
  void open();
  void sync();

  QObject* owner_;
  std::string node_;
  Works works_;
  audit::Bounds bounds_;
  std::unique_ptr<storage::Directory> folder_;
  std::optional<FolderLock> lock_;
  std::unique_ptr<audit::AuditLog> trail_;
  bool ok_ = false;
  bool syncing_ = false;
  core::Tick syncAt_ = 0;
  core::Tick headAt_ = 0;
  std::optional<core::WorkerPool> disk_;
};

}  // namespace corkward::programs
