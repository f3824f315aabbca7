#include <catch2/catch.hpp>

#include <QDateTime>
#include <QJsonArray>
#include <functional>

#include <corkward/audit/audit_log.h>
#include <corkward/core/json.h>
#include <corkward/core/types.h>

namespace core = corkward::core;
namespace audit = corkward::audit;
namespace storage = corkward::storage;

namespace {

class MemoryDirectory : public storage::Directory {
 public:
  std::map<std::string, std::string> files;
  bool full = false;

  std::vector<std::string> list() override {
    std::vector<std::string> out;
    for (auto const& [name, bytes] : files) out.push_back(name);
    return out;
  }
  std::string read(std::string const& name) override { return files.at(name); }
  void append(std::string const& name, std::string const& bytes) override {
    files[name] += full ? bytes.substr(0, bytes.size() / 2) : bytes;
    if (full) throw storage::StorageError("full");
  }
  void sync(std::string const&) override {}
  void rename(std::string const& from, std::string const& to) override {
    files[to] = files[from];
    files.erase(from);
  }
  void remove(std::string const& name) override { files.erase(name); }
  void truncate(std::string const& name, std::uint64_t size) override { files[name].resize(size); }
  void syncDirectory() override {}
};

std::int64_t const noon = QDateTime::fromString("2026-06-01T12:00:00Z", Qt::ISODate).toMSecsSinceEpoch();

audit::RecordCategory dispatchedTo(std::string const& incarnation) {
  return audit::RecordCategory{"handed-over", "health", "desk.nord", "model", "10.0.0.1:80",
                               incarnation,   "z1",     "c1",        {}};
}

audit::RecordCategory rejected() {
  audit::RecordCategory category;
  category.outcome = "denied";
  category.regime = "health";
  category.instance = "desk.nord";
  category.reason = "no certified replica";
  return category;
}

/// Counts of a report by outcome and incarnation, summed over all periods of a regime.
std::map<std::string, qint64> countsOf(QJsonObject const& report, char const* regime) {
  std::map<std::string, qint64> out;
  for (QJsonValue const period : report.value("regimes").toObject().value(regime).toArray())
    for (QJsonValue const count : period.toObject().value("counts").toArray()) {
      QJsonObject const record = count.toObject();
      out[core::toStdString(record.value("what").toString() + " " + record.value("life").toString())] +=
          record.value("count").toInteger();
    }
  return out;
}

QJsonObject reportOf(MemoryDirectory& directory, audit::ReportQuery const& query = {}) {
  return audit::auditReport({audit::readAuditLog(directory)}, query);
}

}  // namespace

TEST_CASE("the first request of a category is written at once, the others when the count period ends") {
  MemoryDirectory directory;
  audit::AuditLog log(directory, "n1", noon);
  log.countOutcome(dispatchedTo("r1"), noon + 10);
  CHECK(countsOf(reportOf(directory), "health")["handed-over r1"] == 1);
  for (int i = 0; i < 5; ++i) log.countOutcome(dispatchedTo("r1"), noon + 20 + i);
  log.countOutcome(dispatchedTo("r2"), noon + 30);
  CHECK(countsOf(reportOf(directory), "health") ==
        std::map<std::string, qint64>{{"handed-over r1", 1}, {"handed-over r2", 1}});
  log.onTimer(noon + audit::countPeriodMs);
  CHECK(countsOf(reportOf(directory), "health") ==
        std::map<std::string, qint64>{{"handed-over r1", 6}, {"handed-over r2", 1}});
  log.countOutcome(dispatchedTo("r1"), noon + audit::countPeriodMs + 1);
  CHECK(countsOf(reportOf(directory), "health")["handed-over r1"] == 7);
  log.countOutcome(rejected(), noon + audit::countPeriodMs + 2);
  log.countOutcome(rejected(), noon + audit::countPeriodMs + 2);
  log.close(noon + audit::countPeriodMs + 3);
  CHECK(countsOf(reportOf(directory), "health")["denied "] == 2);
  CHECK(reportOf(directory).value("whole").toBool());
}

TEST_CASE("an audit log continues after a restart and marks the counts of an unclosed incarnation as lower bounds") {
  MemoryDirectory directory;
  {
    audit::AuditLog log(directory, "n1", noon);
    log.countOutcome(dispatchedTo("r1"), noon);
    log.countOutcome(dispatchedTo("r1"), noon);
  }
  {
    audit::AuditLog log(directory, "n1", noon + 1000);
    log.countOutcome(dispatchedTo("r1"), noon + 1000);
    log.close(noon + 2000);
  }
  QJsonObject const out = reportOf(directory);
  CHECK(out.value("whole").toBool());
  CHECK(countsOf(out, "health")["handed-over r1"] == 2);
  QJsonArray const incarnations = out.value("nodes").toArray().at(0).toObject().value("lives").toArray();
  REQUIRE(incarnations.size() == 2);
  CHECK(incarnations.at(0).toObject().value("countsAreLeast").toBool());
  CHECK_FALSE(incarnations.at(1).toObject().value("countsAreLeast").toBool(true));
}

TEST_CASE("an incomplete last line is cut off, whatever its length") {
  MemoryDirectory intact;
  {
    audit::AuditLog log(intact, "n1", noon);
    log.countOutcome(dispatchedTo("r1"), noon);
    log.countOutcome(dispatchedTo("r2"), noon);
  }
  std::string const file = intact.files.begin()->first;
  std::string const text = intact.files.begin()->second;
  std::size_t const lastLine = text.rfind('\n', text.size() - 2) + 1;
  for (std::size_t cut = lastLine; cut < text.size(); ++cut) {
    MemoryDirectory directory;
    directory.files[file] = text.substr(0, cut);
    QJsonObject const before = reportOf(directory);
    CHECK(before.value("whole").toBool());
    CHECK(before.value("nodes").toArray().at(0).toObject().value("tornEnd").toBool() == (cut > lastLine));
    audit::AuditLog log(directory, "n1", noon + 1);
    QJsonObject const out = reportOf(directory);
    CHECK(out.value("whole").toBool());
    CHECK(countsOf(out, "health") == std::map<std::string, qint64>{{"handed-over r1", 1}});
  }
}

TEST_CASE("a report detects every change, swap and removal of records") {
  MemoryDirectory directory;
  audit::AuditLog log(directory, "n1", noon, audit::RetentionLimits{1200, 100});
  for (int i = 0; i < 30; ++i) log.countOutcome(dispatchedTo("r" + std::to_string(i)), noon + i);
  audit::AuditHead const head = log.head();
  REQUIRE(directory.files.size() > 5);
  REQUIRE(reportOf(directory).value("whole").toBool());
  auto const detects = [&](std::function<void(std::map<std::string, std::string>&)> const& tamper,
                           audit::ReportQuery const& query) {
    MemoryDirectory tampered;
    tampered.files = directory.files;
    tamper(tampered.files);
    return !reportOf(tampered, query).value("whole").toBool();
  };
  std::string const middle = std::next(directory.files.begin(), 2)->first;
  std::string const last = directory.files.rbegin()->first;
  CHECK(detects([&](std::map<std::string, std::string>& f) { f.erase(middle); }, {}));
  CHECK(detects([&](std::map<std::string, std::string>& f) { f[middle].erase(0, f[middle].find('\n') + 1); }, {}));
  CHECK(detects([&](std::map<std::string, std::string>& f) { std::swap(f[middle], f[last]); }, {}));
  core::RandomGenerator rng(7);
  for (int i = 0; i < 300; ++i)
    CHECK(detects(
        [&](std::map<std::string, std::string>& f) {
          std::string& text = std::next(f.begin(), static_cast<std::ptrdiff_t>(rng.below(f.size())))->second;
          std::size_t const at = rng.below(text.size());
          bool const isFinalNewline = &text == &f.rbegin()->second && at + 1 == text.size();
          text[isFinalNewline ? 0 : at] ^= static_cast<char>(1U << rng.below(7));
        },
        {}));
  audit::ReportQuery query;
  query.heads = {{"n1", head}};
  CHECK_FALSE(detects([](std::map<std::string, std::string>&) {}, query));
  auto const cutShort = [&](std::map<std::string, std::string>& f) { f.erase(last); };
  CHECK_FALSE(detects(cutShort, {}));
  CHECK(detects(cutShort, query));
  query.heads = {{"n2", head}};
  CHECK(detects([](std::map<std::string, std::string>&) {}, query));
}

TEST_CASE("a restart does not hide damage: only an incomplete last line is cut off") {
  MemoryDirectory directory;
  {
    audit::AuditLog log(directory, "n1", noon);
    for (int i = 0; i < 5; ++i) log.countOutcome(dispatchedTo("r" + std::to_string(i)), noon);
  }
  std::string& text = directory.files.begin()->second;
  text[text.size() - 10] ^= 1;
  {
    audit::AuditLog log(directory, "n1", noon + 1);
    log.countOutcome(dispatchedTo("r9"), noon + 1);
  }
  CHECK_FALSE(reportOf(directory).value("whole").toBool());
  CHECK(countsOf(reportOf(directory), "health")["handed-over r9"] == 1);
  MemoryDirectory damaged;
  damaged.files["audit-000000000001"] = "harm\n";
  audit::AuditLog log(damaged, "n1", noon);
  log.countOutcome(dispatchedTo("r1"), noon);
  CHECK_FALSE(reportOf(damaged).value("whole").toBool());
}

TEST_CASE("a forged record with a valid hash is detected, because it breaks the hash chain") {
  MemoryDirectory directory;
  {
    audit::AuditLog log(directory, "n1", noon);
    log.countOutcome(dispatchedTo("r1"), noon);
    log.countOutcome(dispatchedTo("r2"), noon);
  }
  MemoryDirectory other;
  {
    audit::AuditLog log(other, "n1", noon + 5);
    log.countOutcome(dispatchedTo("good"), noon);
    log.countOutcome(dispatchedTo("r2"), noon);
  }
  std::string& text = directory.files.begin()->second;
  std::string const& foreign = other.files.begin()->second;
  std::size_t const from = text.find('\n') + 1;
  std::size_t const foreignFrom = foreign.find('\n') + 1;
  text.replace(from, text.find('\n', from) - from,
               foreign.substr(foreignFrom, foreign.find('\n', foreignFrom) - foreignFrom));
  CHECK_FALSE(reportOf(directory).value("whole").toBool());
}

TEST_CASE("the audit log stays within its retention limits and reports the oldest record that it retains") {
  MemoryDirectory directory;
  audit::AuditLog log(directory, "n1", noon, audit::RetentionLimits{2000, 4});
  for (int i = 0; i < 500; ++i) log.countOutcome(dispatchedTo("r" + std::to_string(i)), noon);
  std::size_t bytes = 0;
  for (auto const& [name, content] : directory.files) bytes += content.size();
  CHECK(directory.files.size() == 4);
  CHECK(bytes <= 8000);
  QJsonObject const out = reportOf(directory);
  CHECK(out.value("whole").toBool());
  CHECK(out.value("nodes").toArray().at(0).toObject().value("first").toInteger() > 400);
  audit::AuditLog restarted(directory, "n1", noon, audit::RetentionLimits{2000, 4});
  CHECK(restarted.head().number == 502);
}

TEST_CASE("a failed write is reported at once, and the request is not counted as written") {
  MemoryDirectory directory;
  audit::AuditLog log(directory, "n1", noon);
  directory.full = true;
  CHECK_THROWS_AS(log.countOutcome(dispatchedTo("r1"), noon), storage::StorageError);
  directory.full = false;
  log.countOutcome(dispatchedTo("r1"), noon);
  QJsonObject const out = reportOf(directory);
  CHECK(out.value("whole").toBool());
  CHECK(countsOf(out, "health")["handed-over r1"] == 1);
}

TEST_CASE("a report groups the counts of several routers by regime and period") {
  MemoryDirectory one;
  MemoryDirectory two;
  audit::AuditLog a(one, "n1", noon);
  audit::AuditLog b(two, "n2", noon);
  a.countOutcome(dispatchedTo("r1"), noon);
  b.countOutcome(dispatchedTo("r1"), noon + 3600000);
  audit::RecordCategory other = dispatchedTo("r9");
  other.regime = "export";
  b.countOutcome(other, noon + 3600000);
  audit::ReportQuery query;
  query.regime = "health";
  QJsonObject out = audit::auditReport({audit::readAuditLog(one), audit::readAuditLog(two)}, query);
  CHECK(out.value("regimes").toObject().keys() == QStringList{"health"});
  QJsonArray const spans = out.value("regimes").toObject().value("health").toArray();
  REQUIRE(spans.size() == 2);
  CHECK(spans.at(0).toObject().value("span").toString() == "2026-06-01T12:00:00.000Z");
  query.from = noon + 3600000;
  out = audit::auditReport({audit::readAuditLog(one), audit::readAuditLog(two)}, query);
  CHECK(out.value("regimes").toObject().value("health").toArray().size() == 1);
  query.until = noon + 3600000;
  CHECK(audit::auditReport({audit::readAuditLog(one), audit::readAuditLog(two)}, query)
            .value("regimes")
            .toObject()
            .isEmpty());
}
