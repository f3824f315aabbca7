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

struct Node {
  int argc = 1;
  char name[5] = "test";
  char* argv[2] = {name, nullptr};
  QCoreApplication app{argc, argv};
  QTemporaryDir directory;
  programs::Settings settings;
  QObject owner;
  /// Every availability that the recorder reported.
  std::vector<bool> availability;

  Node() {
    settings.link = "10.0.0.9:1";
    settings.audit = core::toStdString(directory.path()) + "/audit";
  }
  programs::AuditRecorder::AvailabilityChanged onAvailability() {
    return [this](bool available) { availability.push_back(available); };
  }
  /// Counts in the files.
  std::size_t recordedCount() const {
    std::unique_ptr<storage::Directory> const opened = storage::openDirectory(settings.audit);
    audit::AuditLogView const view = audit::readAuditLog(*opened);
    CHECK(view.faults.empty());
    std::size_t out = 0;
    for (QJsonObject const& record : view.records) out += record.contains("count") ? 1 : 0;
    return out;
  }
  /// Runs the event loop until the condition holds.
  bool until(std::function<bool()> const& condition) {
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

TEST_CASE("the first record of a kind is in the file at once, and the others when the recorder is closed") {
  Node node;
  {
    programs::AuditRecorder recorder(&node.owner, node.settings, node.onAvailability());
    CHECK(node.availability == std::vector<bool>{true});
    CHECK(recorder.write(record(dataplane::AuditOutcome::dispatched)));
    CHECK(node.recordedCount() == 1);
    CHECK(recorder.write(record(dataplane::AuditOutcome::dispatched)));
    CHECK(recorder.write(record(dataplane::AuditOutcome::rejected)));
    CHECK(node.recordedCount() >= 2);
    CHECK(recorder.head()->value("n").toInteger() >= 3);
    CHECK_THROWS_AS(programs::AuditRecorder(&node.owner, node.settings, node.onAvailability()),
                    programs::SettingsError);
  }
  std::unique_ptr<storage::Directory> const opened = storage::openDirectory(node.settings.audit);
  QJsonObject const report = audit::auditReport({audit::readAuditLog(*opened)}, {});
  qint64 sent = 0;
  for (QJsonValue const span : report.value("regimes").toObject().value("health").toArray())
    for (QJsonValue const count : span.toObject().value("counts").toArray())
      if (count.toObject().value("what").toString() == "handed-over")
        sent += count.toObject().value("count").toInteger();
  CHECK(sent == 2);
}

TEST_CASE("without an audit directory nothing is recorded, and write reports so") {
  Node node;
  node.settings.audit.clear();
  programs::AuditRecorder recorder(&node.owner, node.settings, node.onAvailability());
  CHECK(node.availability.empty());
  CHECK_FALSE(recorder.write(record(dataplane::AuditOutcome::dispatched)));
  CHECK_FALSE(recorder.head());
}

TEST_CASE("a directory that cannot be written is reported, and its recovery as well") {
  Node node;
  programs::AuditRecorder recorder(&node.owner, node.settings, node.onAvailability());
  QString const path = core::toQString(node.settings.audit);
  REQUIRE(QDir(node.directory.path()).rename("audit", "away"));
  CHECK_FALSE(recorder.write(record(dataplane::AuditOutcome::dispatched)));
  CHECK(node.availability == std::vector<bool>{true, false});
  REQUIRE(QDir(node.directory.path()).rename("away", "audit"));
  CHECK(node.until([&] {
    recorder.onTimer();
    return node.availability.size() == 3;
  }));
  CHECK(node.availability.back());
  CHECK(recorder.write(record(dataplane::AuditOutcome::dispatched)));
  CHECK(node.recordedCount() == 1);
}
