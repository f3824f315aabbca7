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

class MemoryFolder : public storage::Directory {
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

audit::RecordCategory handed(std::string const& life) {
  return audit::RecordCategory{"handed-over", "health", "desk.nord", "model", "10.0.0.1:80", life, "z1", "c1", {}};
}

audit::RecordCategory rejected() {
  audit::RecordCategory k;
  k.outcome = "denied";
  k.regime = "health";
  k.instance = "desk.nord";
  k.reason = "no certified replica";
  return k;
}

/// Counts of a report by what and life, over all spans of a regime.
std::map<std::string, qint64> countsOf(QJsonObject const& report, char const* regime) {
  std::map<std::string, qint64> out;
  for (QJsonValue const s : report.value("regimes").toObject().value(regime).toArray())
    for (QJsonValue const c : s.toObject().value("counts").toArray()) {
      QJsonObject const record = c.toObject();
      out[core::toStdString(record.value("what").toString() + " " + record.value("life").toString())] +=
          record.value("count").toInteger();
    }
  return out;
}

QJsonObject reportOf(MemoryFolder& folder, audit::ReportQuery const& query = {}) {
  return audit::auditReport({audit::readAuditLog(folder)}, query);
}

}  // namespace

TEST_CASE("the first of a kind is written before anything else happens, the others when the minute ends") {
  MemoryFolder folder;
  audit::AuditLog log(folder, "n1", noon);
  log.countOutcome(handed("r1"), noon + 10);
  CHECK(countsOf(reportOf(folder), "health")["handed-over r1"] == 1);
  for (int i = 0; i < 5; ++i) log.countOutcome(handed("r1"), noon + 20 + i);
  log.countOutcome(handed("r2"), noon + 30);
  CHECK(countsOf(reportOf(folder), "health") ==
        std::map<std::string, qint64>{{"handed-over r1", 1}, {"handed-over r2", 1}});
  log.onTimer(noon + audit::countPeriodMs);
  CHECK(countsOf(reportOf(folder), "health") ==
        std::map<std::string, qint64>{{"handed-over r1", 6}, {"handed-over r2", 1}});
  log.countOutcome(handed("r1"), noon + audit::countPeriodMs + 1);
  CHECK(countsOf(reportOf(folder), "health")["handed-over r1"] == 7);
  log.countOutcome(rejected(), noon + audit::countPeriodMs + 2);
  log.countOutcome(rejected(), noon + audit::countPeriodMs + 2);
  log.close(noon + audit::countPeriodMs + 3);
  CHECK(countsOf(reportOf(folder), "health")["denied "] == 2);
  CHECK(reportOf(folder).value("whole").toBool());
}

TEST_CASE("a trail goes on after a restart, and says which counts are the least") {
  MemoryFolder folder;
  {
    audit::AuditLog log(folder, "n1", noon);
    log.countOutcome(handed("r1"), noon);
    log.countOutcome(handed("r1"), noon);
  }
  {
    audit::AuditLog log(folder, "n1", noon + 1000);
    log.countOutcome(handed("r1"), noon + 1000);
    log.close(noon + 2000);
  }
  QJsonObject const out = reportOf(folder);
  CHECK(out.value("whole").toBool());
  CHECK(countsOf(out, "health")["handed-over r1"] == 2);
  QJsonArray const lives = out.value("nodes").toArray().at(0).toObject().value("lives").toArray();
  REQUIRE(lives.size() == 2);
  CHECK(lives.at(0).toObject().value("countsAreLeast").toBool());
  CHECK_FALSE(lives.at(1).toObject().value("countsAreLeast").toBool(true));
}

TEST_CASE("a torn last line is cut off, whatever its length") {
  MemoryFolder intact;
  {
    audit::AuditLog log(intact, "n1", noon);
    log.countOutcome(handed("r1"), noon);
    log.countOutcome(handed("r2"), noon);
  }
  std::string const file = intact.files.begin()->first;
  std::string const text = intact.files.begin()->second;
  std::size_t const lastLine = text.rfind('\n', text.size() - 2) + 1;
  for (std::size_t cut = lastLine; cut < text.size(); ++cut) {
    MemoryFolder folder;
    folder.files[file] = text.substr(0, cut);
    QJsonObject const before = reportOf(folder);
    CHECK(before.value("whole").toBool());
    CHECK(before.value("nodes").toArray().at(0).toObject().value("tornEnd").toBool() == (cut > lastLine));
    audit::AuditLog log(folder, "n1", noon + 1);
    QJsonObject const out = reportOf(folder);
    CHECK(out.value("whole").toBool());
    CHECK(countsOf(out, "health") == std::map<std::string, qint64>{{"handed-over r1", 1}});
  }
}

TEST_CASE("whatever is changed, moved or taken out shows") {
  MemoryFolder folder;
  audit::AuditLog log(folder, "n1", noon, audit::RetentionLimits{1200, 100});
  for (int i = 0; i < 30; ++i) log.countOutcome(handed("r" + std::to_string(i)), noon + i);
  audit::AuditHead const head = log.head();
  REQUIRE(folder.files.size() > 5);
  REQUIRE(reportOf(folder).value("whole").toBool());
  auto const shows = [&](std::function<void(std::map<std::string, std::string>&)> const& harm,
                         audit::ReportQuery const& query) {
    MemoryFolder harmed;
    harmed.files = folder.files;
    harm(harmed.files);
    return !reportOf(harmed, query).value("whole").toBool();
  };
  std::string const middle = std::next(folder.files.begin(), 2)->first;
  std::string const last = folder.files.rbegin()->first;
  CHECK(shows([&](std::map<std::string, std::string>& f) { f.erase(middle); }, {}));
  CHECK(shows([&](std::map<std::string, std::string>& f) { f[middle].erase(0, f[middle].find('\n') + 1); }, {}));
  CHECK(shows([&](std::map<std::string, std::string>& f) { std::swap(f[middle], f[last]); }, {}));
  core::RandomGenerator rng(7);
  for (int i = 0; i < 300; ++i)
    CHECK(shows(
        [&](std::map<std::string, std::string>& f) {
          std::string& text = std::next(f.begin(), static_cast<std::ptrdiff_t>(rng.below(f.size())))->second;
          std::size_t const at = rng.below(text.size());
          bool const veryEnd = &text == &f.rbegin()->second && at + 1 == text.size();
          text[veryEnd ? 0 : at] ^= static_cast<char>(1U << rng.below(7));
        },
        {}));
  audit::ReportQuery query;
  query.heads = {{"n1", head}};
  CHECK_FALSE(shows([](std::map<std::string, std::string>&) {}, query));
  auto const cutShort = [&](std::map<std::string, std::string>& f) { f.erase(last); };
  CHECK_FALSE(shows(cutShort, {}));
  CHECK(shows(cutShort, query));
  query.heads = {{"n2", head}};
  CHECK(shows([](std::map<std::string, std::string>&) {}, query));
}

TEST_CASE("a restart hides no harm: only a line that was torn at the very end is cut off") {
  MemoryFolder folder;
  {
    audit::AuditLog log(folder, "n1", noon);
    for (int i = 0; i < 5; ++i) log.countOutcome(handed("r" + std::to_string(i)), noon);
  }
  std::string& text = folder.files.begin()->second;
  text[text.size() - 10] ^= 1;
  {
    audit::AuditLog log(folder, "n1", noon + 1);
    log.countOutcome(handed("r9"), noon + 1);
  }
  CHECK_FALSE(reportOf(folder).value("whole").toBool());
  CHECK(countsOf(reportOf(folder), "health")["handed-over r9"] == 1);
  MemoryFolder lost;
  lost.files["audit-000000000001"] = "harm\n";
  audit::AuditLog log(lost, "n1", noon);
  log.countOutcome(handed("r1"), noon);
  CHECK_FALSE(reportOf(lost).value("whole").toBool());
}

TEST_CASE("a record that was made up does not fit its neighbours, even with a proper hash of its own") {
  MemoryFolder folder;
  {
    audit::AuditLog log(folder, "n1", noon);
    log.countOutcome(handed("r1"), noon);
    log.countOutcome(handed("r2"), noon);
  }
  MemoryFolder other;
  {
    audit::AuditLog log(other, "n1", noon + 5);
    log.countOutcome(handed("good"), noon);
    log.countOutcome(handed("r2"), noon);
  }
  std::string& text = folder.files.begin()->second;
  std::string const& foreign = other.files.begin()->second;
  std::size_t const from = text.find('\n') + 1;
  std::size_t const foreignFrom = foreign.find('\n') + 1;
  text.replace(from, text.find('\n', from) - from,
               foreign.substr(foreignFrom, foreign.find('\n', foreignFrom) - foreignFrom));
  CHECK_FALSE(reportOf(folder).value("whole").toBool());
}

TEST_CASE("the trail stays within its bound and names what was dropped") {
  MemoryFolder folder;
  audit::AuditLog log(folder, "n1", noon, audit::RetentionLimits{2000, 4});
  for (int i = 0; i < 500; ++i) log.countOutcome(handed("r" + std::to_string(i)), noon);
  std::size_t bytes = 0;
  for (auto const& [name, content] : folder.files) bytes += content.size();
  CHECK(folder.files.size() == 4);
  CHECK(bytes <= 8000);
  QJsonObject const out = reportOf(folder);
  CHECK(out.value("whole").toBool());
  CHECK(out.value("nodes").toArray().at(0).toObject().value("first").toInteger() > 400);
  audit::AuditLog again(folder, "n1", noon, audit::RetentionLimits{2000, 4});
  CHECK(again.head().number == 502);
}

TEST_CASE("a disk that does not write is told at once, and nothing is counted as written") {
  MemoryFolder folder;
  audit::AuditLog log(folder, "n1", noon);
  folder.full = true;
  CHECK_THROWS_AS(log.countOutcome(handed("r1"), noon), storage::StorageError);
  folder.full = false;
  log.countOutcome(handed("r1"), noon);
  QJsonObject const out = reportOf(folder);
  CHECK(out.value("whole").toBool());
  CHECK(countsOf(out, "health")["handed-over r1"] == 1);
}

TEST_CASE("a report is by regime and span, over several nodes") {
  MemoryFolder one;
  MemoryFolder two;
  audit::AuditLog a(one, "n1", noon);
  audit::AuditLog b(two, "n2", noon);
  a.countOutcome(handed("r1"), noon);
  b.countOutcome(handed("r1"), noon + 3600000);
  audit::RecordCategory other = handed("r9");
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
