#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QDir>
#include <QElapsedTimer>
#include <QTemporaryDir>
#include <functional>

#include <corkward/core/json.h>

#include "records.h"

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
  QTemporaryDir dir;
  programs::Settings settings;
  QObject owner;
  std::vector<bool> told;

  Node() {
    settings.link = "10.0.0.9:1";
    settings.audit = core::toStdString(dir.path()) + "/audit";
  }
  programs::Records::Works works() {
    return [this](bool ok) { told.push_back(ok); };
  }
  std::size_t recorded() const {
    std::unique_ptr<storage::Directory> const folder = storage::openDirectory(settings.audit);
    audit::AuditLogView const view = audit::readAuditLog(*folder);
    CHECK(view.faults.empty());
    std::size_t out = 0;
    for (QJsonObject const& r : view.records) out += r.contains("count") ? 1 : 0;
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

dataplane::WriteAuditRecord record(dataplane::AuditOutcome happened) {
  dataplane::WriteAuditRecord r;
  r.outcome = happened;
  r.regime = "health";
  r.instance = "desk.nord";
  r.incarnation = "r1";
  return r;
}

}  // namespace

TEST_CASE("a record is in the file when it is said to be, and the others at a proper end") {
  Node node;
  {
    programs::Records records(&node.owner, node.settings, node.works());
    CHECK(node.told == std::vector<bool>{true});
    CHECK(records.write(record(dataplane::AuditOutcome::handedOver)));
    CHECK(node.recorded() == 1);
    CHECK(records.write(record(dataplane::AuditOutcome::handedOver)));
    CHECK(records.write(record(dataplane::AuditOutcome::rejected)));
    CHECK(node.recorded() >= 2);
    CHECK(records.head()->value("n").toInteger() >= 3);
    CHECK_THROWS_AS(programs::Records(&node.owner, node.settings, node.works()), programs::SettingsError);
  }
  std::unique_ptr<storage::Directory> const folder = storage::openDirectory(node.settings.audit);
  QJsonObject const report = audit::report({audit::readAuditLog(*folder)}, {});
  qint64 handed = 0;
  for (QJsonValue const span : report.value("regimes").toObject().value("health").toArray())
    for (QJsonValue const c : span.toObject().value("counts").toArray())
      if (c.toObject().value("what").toString() == "handed-over") handed += c.toObject().value("count").toInteger();
  CHECK(handed == 2);
}

TEST_CASE("without a folder nothing is recorded, and that is said") {
  Node node;
  node.settings.audit.clear();
  programs::Records records(&node.owner, node.settings, node.works());
  CHECK(node.told.empty());
  CHECK_FALSE(records.write(record(dataplane::AuditOutcome::handedOver)));
  CHECK_FALSE(records.head());
}

TEST_CASE("a folder that cannot be written is told, and told again when it can") {
  Node node;
  programs::Records records(&node.owner, node.settings, node.works());
  QString const path = core::toQString(node.settings.audit);
  REQUIRE(QDir(node.dir.path()).rename("audit", "away"));
  CHECK_FALSE(records.write(record(dataplane::AuditOutcome::handedOver)));
  CHECK(node.told == std::vector<bool>{true, false});
  REQUIRE(QDir(node.dir.path()).rename("away", "audit"));
  CHECK(node.until([&] {
    records.clockEvent();
    return node.told.size() == 3;
  }));
  CHECK(node.told.back());
  CHECK(records.write(record(dataplane::AuditOutcome::handedOver)));
  CHECK(node.recorded() == 1);
}
