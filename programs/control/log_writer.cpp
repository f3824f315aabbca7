#include "log_writer.h"

#include <QMetaObject>
#include <exception>
#include <utility>

#include <corkward/core/log.h>

#include "clock.h"
#include "events.h"

namespace corkward::programs {

namespace {

constexpr int retryIntervalMs = 1000;
/// Key of a record without content, which is written to check that the disk accepts writes. Readers of the log ignore
/// it. The key must not change, so that all releases ignore it.
constexpr char const* diskProbeKey = "tried";

}  // namespace

LogWriter::LogWriter(QObject* owner, std::string const& directory, Events events)
    : owner_(owner),
      events_(std::move(events)),
      directory_(storage::openDirectory(directory)),
      lock_("data", directory),
      log_(std::make_unique<storage::WriteAheadLog>(*directory_)),
      worker_(1) {
  QObject::connect(&retryTimer_, &QTimer::timeout, owner_, [this] { retryDisk(); });
}

storage::RecoveredState LogWriter::recoverAtStart() {
  storage::RecoveredState recovered;
  try {
    recovered = log_->recover();
    if (recovered.tornTail) core::writeLog(core::LogEvent{events::writeAheadLogTailTruncated});
    if (recovered.damaged) {
      core::writeLog(core::LogEvent{events::writeAheadLogCorrupt, {{"position", recovered.damage}}});
      startEmptyLog();
    }
  } catch (std::exception const& error) {
    // The log rejects every write until the disk is retried. The first write is that of a new member id, so the
    // controller announces no member id before the log could be read.
    core::writeLog(core::LogEvent{events::writeAheadLogReadFailed, {{"error", error.what()}}});
    recovered = storage::RecoveredState{};
    recovered.damaged = true;
  }
  return recovered;
}

void LogWriter::startEmptyLog() {
  storage::quarantine(*directory_, std::to_string(now()));
  log_ = std::make_unique<storage::WriteAheadLog>(*directory_);
  log_->recover();
}

void LogWriter::write(std::vector<consensus::PersistCommand> const& commands) {
  std::vector<storage::Record> records;
  std::vector<std::uint64_t> tickets;
  for (consensus::PersistCommand const& command : commands) {
    records.push_back(storage::Record{command.key, command.payload});
    tickets.push_back(command.ticket);
  }
  worker_.run([this, generation = generation_, records = std::move(records), tickets = std::move(tickets)] {
    bool written = false;
    std::string error;
    try {
      if (generation == workerGeneration_) {
        log_->write(records);
        written = true;
      }
    } catch (std::exception const& failure) {
      error = failure.what();
    }
    QMetaObject::invokeMethod(
        owner_, [this, generation, tickets, written, error] { reportWritten(generation, tickets, written, error); },
        Qt::QueuedConnection);
  });
}

void LogWriter::reportWritten(std::uint64_t generation, std::vector<std::uint64_t> const& tickets, bool written,
                              std::string const& error) {
  if (generation != generation_) return;
  if (!written) {
    core::writeLog(core::LogEvent{events::writeAheadLogWriteFailed, {{"error", error}}});
    if (!retryTimer_.isActive()) retryTimer_.start(retryIntervalMs);
  }
  events_.persisted(tickets, written);
}

void LogWriter::retryDisk() {
  worker_.run([this, generation = generation_] {
    if (generation != workerGeneration_) return;
    storage::RecoveredState recovered;
    try {
      log_ = std::make_unique<storage::WriteAheadLog>(*directory_);
      recovered = log_->recover();
      if (recovered.damaged) startEmptyLog();
      std::vector<storage::Record> records{storage::Record{diskProbeKey, ""}};
      if (!recovered.damaged)
        for (auto const& [key, value] : recovered.slots) records.push_back(storage::Record{key, value});
      log_->write(records);
    } catch (std::exception const&) {
      return;
    }
    ++workerGeneration_;
    QMetaObject::invokeMethod(
        owner_, [this, recovered] { resume(recovered); }, Qt::QueuedConnection);
  });
}

void LogWriter::resume(storage::RecoveredState const& recovered) {
  retryTimer_.stop();
  ++generation_;
  core::writeLog(core::LogEvent{events::diskRecovered});
  events_.recovered(recovered);
}

}  // namespace corkward::programs
