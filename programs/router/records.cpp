#include "records.h"

#include <QDateTime>
#include <QMetaObject>
#include <QObject>

#include <corkward/core/json.h>
#include <corkward/core/log.h>

#include "clock.h"

namespace corkward::programs {

namespace {

constexpr core::Tick syncEvery = 1000;
constexpr core::Tick headEvery = 60000;

struct HappenedRow {
  dataplane::AuditOutcome happened;
  char const* name;
};

constexpr HappenedRow happenedTable[] = {
    {dataplane::AuditOutcome::handedOver, "handed-over"}, {dataplane::AuditOutcome::resumed, "resumed"},
    {dataplane::AuditOutcome::served, "served"},          {dataplane::AuditOutcome::notExecuted, "not-run"},
    {dataplane::AuditOutcome::broken, "broken"},          {dataplane::AuditOutcome::rejected, "denied"}};

std::int64_t wall() {
  return QDateTime::currentMSecsSinceEpoch();
}

audit::RecordKind kindOf(dataplane::WriteAuditRecord const& r) {
  audit::RecordKind out;
  for (HappenedRow const& h : happenedTable)
    if (h.happened == r.outcome) out.outcome = h.name;
  out.regime = r.regime;
  out.instance = r.instance;
  out.pool = r.pool;
  out.address = r.address;
  out.incarnation = r.incarnation;
  out.zone = r.zone;
  out.certificate = r.certificate;
  out.reason = r.reason;
  return out;
}

}  // namespace

Records::Records(QObject* owner, Settings const& settings, Works works)
    : owner_(owner), node_(settings.link), works_(std::move(works)) {
  if (settings.audit.empty()) return;
  bounds_.segments = static_cast<std::size_t>(settings.auditMegabytes);
  folder_ = storage::openDirectory(settings.audit);
  lock_.emplace("audit", settings.audit);
  disk_.emplace(1);
  open();
  tell(true, "");
}

void Records::open() {
  trail_ = std::make_unique<audit::AuditLog>(*folder_, node_, wall(), bounds_);
}

void Records::tell(bool works, std::string const& why) {
  if (ok_ == works) return;
  ok_ = works;
  core::writeLog(core::LogEvent{works ? "records-kept" : "records-not-kept", {{"error", why}}});
  works_(works);
}

bool Records::guarded(std::function<void()> const& step) {
  try {
    step();
    return true;
  } catch (storage::StorageError const& e) {
    tell(false, e.what());
    return false;
  }
}

bool Records::write(dataplane::WriteAuditRecord const& record) {
  if (trail_ == nullptr) return false;
  return guarded([&] { trail_->count(kindOf(record), wall()); });
}

void Records::clockEvent() {
  if (trail_ == nullptr) return;
  if (guarded([this] { trail_->clockEvent(wall()); }) && now() >= syncAt_) {
    syncAt_ = now() + syncEvery;
    sync();
  }
  if (now() < headAt_) return;
  headAt_ = now() + headEvery;
  core::writeLog(
      core::LogEvent{"audit-head", {{"n", std::to_string(trail_->head().number)}, {"hash", trail_->head().hash}}});
}

void Records::sync() {
  if (syncing_) return;
  std::string const file = trail_->takeUnsynced();
  if (file.empty() && ok_) return;
  syncing_ = true;
  disk_->run([this, file] {
    std::string why;
    try {
      if (!file.empty()) folder_->sync(file);
      folder_->syncDirectory();
    } catch (storage::StorageError const& e) {
      why = e.what();
    }
    QMetaObject::invokeMethod(
        owner_,
        [this, why] {
          syncing_ = false;
          if (!why.empty()) tell(false, why);
          if (why.empty() && !ok_ && guarded([this] { trail_->probe(wall()); })) tell(true, "");
        },
        Qt::QueuedConnection);
  });
}

Records::~Records() {
  if (trail_ != nullptr) guarded([this] { trail_->close(wall()); });
}

std::optional<QJsonObject> Records::head() const {
  if (trail_ == nullptr) return std::nullopt;
  return QJsonObject{{"n", static_cast<qint64>(trail_->head().number)},
                     {"hash", core::toQString(trail_->head().hash)},
                     {"works", ok_}};
}

}  // namespace corkward::programs
