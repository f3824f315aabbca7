#include "audit_recorder.h"

#include <QMetaObject>
#include <exception>
#include <utility>

#include <corkward/core/json.h>
#include <corkward/core/log.h>

#include "clock.h"
#include "events.h"

namespace corkward::programs {

namespace {

constexpr core::Milliseconds syncInterval = 1000;
constexpr core::Milliseconds checkpointInterval = 60000;

/// Returns the name of an outcome in audit records on disk. The names must not change, so that the records of earlier
/// releases stay readable.
char const* outcomeText(dataplane::AuditOutcome outcome) {
  switch (outcome) {
    case dataplane::AuditOutcome::dispatched:
      return "handed-over";
    case dataplane::AuditOutcome::resumed:
      return "resumed";
    case dataplane::AuditOutcome::served:
      return "served";
    case dataplane::AuditOutcome::notExecuted:
      return "not-run";
    case dataplane::AuditOutcome::aborted:
      return "broken";
    case dataplane::AuditOutcome::rejected:
      return "denied";
  }
  return "";
}

audit::RecordCategory kindOf(dataplane::WriteAuditRecord const& record) {
  audit::RecordCategory kind;
  kind.outcome = outcomeText(record.outcome);
  kind.regime = record.regime;
  kind.instance = record.instance;
  kind.pool = record.pool;
  kind.address = record.address;
  kind.incarnation = record.incarnation;
  kind.zone = record.zone;
  kind.certificate = record.certificate;
  kind.reason = record.reason;
  return kind;
}

}  // namespace

AuditRecorder::AuditRecorder(QObject* owner, Settings const& settings, AvailabilityChanged availabilityChanged)
    : owner_(owner), availabilityChanged_(std::move(availabilityChanged)) {
  if (settings.audit.empty()) return;
  audit::RetentionLimits bounds;
  bounds.maxSegments = static_cast<std::size_t>(settings.auditMegabytes);
  directory_ = storage::openDirectory(settings.audit);
  lock_.emplace("audit", settings.audit);
  worker_.emplace(1);
  log_ = std::make_unique<audit::AuditLog>(*directory_, settings.link, wallClock(), bounds);
  setAvailable(true, "");
}

AuditRecorder::~AuditRecorder() {
  if (log_ != nullptr) tryWrite([this] { log_->close(wallClock()); });
}

void AuditRecorder::setAvailable(bool available, std::string const& error) {
  if (available_ == available) return;
  available_ = available;
  core::writeLog(
      core::LogEvent{available ? events::auditLogAvailable : events::auditLogUnavailable, {{"error", error}}});
  availabilityChanged_(available);
}

template <class Step>
bool AuditRecorder::tryWrite(Step const& step) {
  try {
    step();
    return true;
  } catch (std::exception const& error) {
    setAvailable(false, error.what());
    return false;
  }
}

bool AuditRecorder::write(dataplane::WriteAuditRecord const& record) {
  if (log_ == nullptr) return false;
  return tryWrite([&] { log_->countOutcome(kindOf(record), wallClock()); });
}

void AuditRecorder::onTimer() {
  if (log_ == nullptr) return;
  bool const written = tryWrite([this] { log_->onTimer(wallClock()); });
  if (written && now() >= nextSyncAt_) {
    nextSyncAt_ = now() + syncInterval;
    sync();
  }
  if (now() < nextCheckpointAt_) return;
  nextCheckpointAt_ = now() + checkpointInterval;
  logCheckpoint();
}

void AuditRecorder::logCheckpoint() {
  audit::AuditHead const& head = log_->head();
  core::writeLog(
      core::LogEvent{events::auditCheckpoint, {{"number", std::to_string(head.number)}, {"hash", head.hash}}});
}

void AuditRecorder::sync() {
  if (syncing_) return;
  std::string const file = log_->takeUnsynced();
  if (file.empty() && available_) return;
  syncing_ = true;
  worker_->run([this, file] {
    std::string error;
    try {
      if (!file.empty()) directory_->sync(file);
      directory_->syncDirectory();
    } catch (std::exception const& failure) {
      error = failure.what();
    }
    QMetaObject::invokeMethod(
        owner_, [this, error] { onSynced(error); }, Qt::QueuedConnection);
  });
}

void AuditRecorder::onSynced(std::string const& error) {
  syncing_ = false;
  if (!error.empty()) {
    setAvailable(false, error);
    return;
  }
  if (!available_ && tryWrite([this] { log_->probeDisk(wallClock()); })) setAvailable(true, "");
}

std::optional<QJsonObject> AuditRecorder::head() const {
  if (log_ == nullptr) return std::nullopt;
  return QJsonObject{{"n", static_cast<qint64>(log_->head().number)},
                     {"hash", core::toQString(log_->head().hash)},
                     {"works", available_}};
}

}  // namespace corkward::programs
