#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QDir>
#include <QElapsedTimer>
#include <QTemporaryDir>
#include <functional>

#include <corkward/core/json.h>

#include "audit_recorder.h"

namespace audit = corkward::audit;
namespace core = corkward::core;
namespace storage = corkward::storage;
namespace programs = corkward::programs;
namespace dataplane = corkward::dataplane;

namespace {

/// A router's application, audit directory and settings, without a recorder.
struct RecorderFixture {
  int argc = 1;
  char name[5] = "test";
  char* argv[2] = {name, nullptr};
  QCoreApplication app{argc, argv};
  QTemporaryDir directory;
  programs::Settings settings;
  QObject owner;
  /// All availability changes that the recorder reported.
  std::vector<bool> availability;

  RecorderFixture() {
    settings.link = "10.0.0.9:1";
    settings.audit = core::toStdString(directory.path()) + "/audit";
  }
  programs::AuditRecorder::AvailabilityChanged onAvailability() {
    return [this](bool available) { availability.push_back(available); };
  }
  /// Returns the number of records with a count in the files.
  std::size_t recordedCount() const {
    std::unique_ptr<storage::Directory> const opened = storage::openDirectory(settings.audit);
    audit::AuditLogView const view = audit::readAuditLog(*opened);
    CHECK(view.faults.empty());
    std::size_t out = 0;
    for (QJsonObject const& record : view.records) out += record.contains("count") ? 1 : 0;
    return out;
  }
  /// Runs the event loop until the condition holds or 20 seconds have passed. Returns whether the condition holds.
  bool waitUntil(std::function<bool()> const& condition) {
    QElapsedTimer limit;
    limit.start();
    while (!condition() && limit.elapsed() < 20000) QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
    return condition();
  }
};

dataplane::WriteAuditRecord record(dataplane::AuditOutcome outcome) {
  dataplane::WriteAuditRecord out;
  out.outcome = outcome;
  out.regime = "health";
  out.instance = "desk.nord";
  out.incarnation = "r1";
  return out;
}

}  // namespace

TEST_CASE("the first record of a kind is written at once, and the others when the recorder is closed") {
  RecorderFixture fixture;
  {
    programs::AuditRecorder recorder(&fixture.owner, fixture.settings, fixture.onAvailability());
    CHECK(fixture.availability == std::vector<bool>{true});
    CHECK(recorder.write(record(dataplane::AuditOutcome::dispatched)));
    CHECK(fixture.recordedCount() == 1);
    CHECK(recorder.write(record(dataplane::AuditOutcome::dispatched)));
    CHECK(recorder.write(record(dataplane::AuditOutcome::rejected)));
    CHECK(fixture.recordedCount() >= 2);
    CHECK(recorder.head()->value("n").toInteger() >= 3);
    CHECK_THROWS_AS(programs::AuditRecorder(&fixture.owner, fixture.settings, fixture.onAvailability()),
                    core::ResourceBusyError);
  }
  std::unique_ptr<storage::Directory> const opened = storage::openDirectory(fixture.settings.audit);
  QJsonObject const report = audit::auditReport({audit::readAuditLog(*opened)}, {});
  qint64 sent = 0;
  for (QJsonValue const span : report.value("regimes").toObject().value("health").toArray())
    for (QJsonValue const count : span.toObject().value("counts").toArray())
      if (count.toObject().value("what").toString() == "handed-over")
        sent += count.toObject().value("count").toInteger();
  CHECK(sent == 2);
}

TEST_CASE("without an audit directory write returns false and nothing is recorded") {
  RecorderFixture fixture;
  fixture.settings.audit.clear();
  programs::AuditRecorder recorder(&fixture.owner, fixture.settings, fixture.onAvailability());
  CHECK(fixture.availability.empty());
  CHECK_FALSE(recorder.write(record(dataplane::AuditOutcome::dispatched)));
  CHECK_FALSE(recorder.head());
}

TEST_CASE("a failed write is reported, and so is the recovery of the directory") {
  RecorderFixture fixture;
  programs::AuditRecorder recorder(&fixture.owner, fixture.settings, fixture.onAvailability());
  QString const path = core::toQString(fixture.settings.audit);
  REQUIRE(QDir(fixture.directory.path()).rename("audit", "away"));
  CHECK_FALSE(recorder.write(record(dataplane::AuditOutcome::dispatched)));
  CHECK(fixture.availability == std::vector<bool>{true, false});
  REQUIRE(QDir(fixture.directory.path()).rename("away", "audit"));
  CHECK(fixture.waitUntil([&] {
    recorder.onTimer();
    return fixture.availability.size() == 3;
  }));
  CHECK(fixture.availability.back());
  CHECK(recorder.write(record(dataplane::AuditOutcome::dispatched)));
  CHECK(fixture.recordedCount() == 1);
}
