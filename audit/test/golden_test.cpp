#include <catch2/catch.hpp>

#include <QCryptographicHash>
#include <QJsonDocument>
#include <functional>

#include <corkward/audit/audit_log.h>
#include <corkward/core/json.h>

#include "testing/golden/folder.h"

/// Audit trails as a released version has written them: a later one has to verify them to the same report, to go on
/// after them, and to write the same bytes. Recording them anew is right only when docs/ gives the trail or its report
/// another form.
namespace audit = corkward::audit;
namespace core = corkward::core;
namespace golden = corkward::golden;

namespace {

/// 2026-06-01T12:00:00Z
constexpr std::int64_t noon = 1780315200000;
constexpr audit::RetentionLimits smallFiles{1500, 3};

/// One kind of each thing that a router counts, the first with all fields, others with few.
std::vector<audit::RecordCategory> kinds() {
  return {{"handed-over", "health", "desk.nord", "model", "127.0.0.1:80", "r-1", "z1", "model-z1", "no reason"},
          {"resumed", "health", "desk.nord", "model", "127.0.0.2:80", "r-2", "z\xc3\xbcrich/1", "model-z1", {}},
          {"served", "health", "desk.nord", "model", "127.0.0.1:80", "r-1", "z1", "model-z1", {}},
          {"not-run", "export", "desk.s\"ud\\", "model", "127.0.0.1:80", "r-1", "z1", {}, {}},
          {"broken", "health", "desk.nord", "model", "127.0.0.1:80", "r-1", "z1", "model-z1", "stream ended"},
          {"denied", "health", "desk.nord", {}, {}, {}, {}, {}, "no certified replica"},
          {"denied", "", "", {}, {}, {}, {}, {}, {}}};
}

/// Counts each kind once and the n-th one n times more, over two spans.
void countAll(audit::AuditLog& log, std::int64_t wall) {
  std::vector<audit::RecordCategory> const all = kinds();
  for (audit::RecordCategory const& kind : all) log.countOutcome(kind, wall);
  for (std::size_t i = 0; i < all.size(); ++i)
    for (std::size_t n = 0; n < i; ++n) log.countOutcome(all[i], wall + 100);
  log.onTimer(wall + audit::countPeriodMs - 1);
  log.onTimer(wall + audit::countPeriodMs);
  log.countOutcome(all.front(), wall + audit::countPeriodMs + 5);
  log.countOutcome(all.front(), wall + audit::countPeriodMs + 6);
}

/// One file with all records that there are.
golden::Files oneFile() {
  golden::NotingFolder folder;
  audit::AuditLog log(folder, "n1", noon);
  log.probeDisk(noon + 1);
  countAll(log, noon + 2);
  log.close(noon + 2 * audit::countPeriodMs);
  return golden::filesOf(folder);
}

/// Three runs of the process in files of a bounded size; the first run has no end, and its first records are dropped.
golden::Files boundedFiles() {
  golden::NotingFolder folder;
  {
    audit::AuditLog log(folder, "n2", noon, smallFiles);
    countAll(log, noon + 10);
  }
  {
    audit::AuditLog log(folder, "n2", noon + 10 * audit::countPeriodMs, smallFiles);
    log.countOutcome(kinds().at(1), noon + 10 * audit::countPeriodMs + 1);
    log.countOutcome(kinds().at(1), noon + 10 * audit::countPeriodMs + 2);
    log.close(noon + 10 * audit::countPeriodMs + 3);
  }
  audit::AuditLog log(folder, "n2", noon + 70 * audit::countPeriodMs, smallFiles);
  log.countOutcome(kinds().at(3), noon + 70 * audit::countPeriodMs + 1);
  log.countOutcome(kinds().at(3), noon + 70 * audit::countPeriodMs + 2);
  return golden::filesOf(folder);
}

golden::Files tornEnd() {
  golden::Files files = boundedFiles();
  std::string& last = files.rbegin()->second;
  last.resize(last.size() - 20);
  return files;
}

struct Scenario {
  char const* name;
  golden::Files (*folder)();
};

constexpr Scenario scenarios[] = {{"one-file", oneFile}, {"bounded-files", boundedFiles}, {"torn-end", tornEnd}};

std::string folderName(std::string const& scenario) {
  return "audit/test/golden/" + scenario + ".folder.txt";
}

audit::AuditLogView viewOf(golden::Files const& files) {
  golden::NotingFolder folder(files);
  return audit::readAuditLog(folder);
}

audit::AuditLogView recorded(std::string const& scenario) {
  return viewOf(golden::readFiles(folderName(scenario)));
}

/// A report in lines, and as the program prints it.
std::string reportText(QJsonObject const& report) {
  return QJsonDocument(report).toJson(QJsonDocument::Indented).toStdString() + core::jsonText(report) + "\n";
}

std::string viewText(audit::AuditLogView const& view) {
  std::string out = "node " + view.node + "\n";
  out += "first " + std::to_string(view.firstNumber) + "\n";
  out += "head " + std::to_string(view.head.number) + " " + view.head.hash + "\n";
  out += "torn end " + std::to_string(view.tornTail) + "\n";
  for (audit::IntegrityFault const& fault : view.faults)
    out += "fault " + fault.file + " line " + std::to_string(fault.line) + ": " + fault.reason + "\n";
  for (QJsonObject const& record : view.records) out += "record " + core::jsonText(record) + "\n";
  for (auto const& [number, hash] : view.hashes) out += "hash " + std::to_string(number) + " " + hash + "\n";
  return out;
}

/// Lines of a text without their ends, and back.
std::string joined(std::vector<std::string> const& lines) {
  std::string out;
  for (std::string const& line : lines) out += line + "\n";
  return out;
}

/// A line with a proper hash of its own.
std::string lineOf(std::string const& text) {
  QByteArray const bytes = QByteArray::fromStdString(text);
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString() + " " + text;
}

using Tampering = std::function<void(golden::Files&)>;

/// Changes the lines of the file that is so many files after the first one.
Tampering onLines(std::ptrdiff_t file, std::function<void(std::vector<std::string>&)> const& change) {
  return [=](golden::Files& files) {
    std::string& content = std::next(files.begin(), file)->second;
    std::vector<std::string> lines = golden::lines(content);
    change(lines);
    content = joined(lines);
  };
}

struct TamperedLog {
  char const* name;
  Tampering tamper;
};

/// What someone might do to the files of the recorded trail in bounded files.
std::vector<TamperedLog> tamperedLogs() {
  using Lines = std::vector<std::string>;
  return {
      {"a count is changed",
       onLines(1, [](Lines& lines) { lines[0].replace(lines[0].find("\"count\":"), 9, "\"count\":9"); })},
      {"a hash is changed", onLines(1, [](Lines& lines) { lines[1][0] = lines[1][0] == '0' ? '1' : '0'; })},
      {"a line is removed", onLines(1, [](Lines& lines) { lines.erase(lines.begin() + 1); })},
      {"a line stands twice", onLines(1, [](Lines& lines) { lines.insert(lines.begin(), lines[0]); })},
      {"two lines are exchanged", onLines(1, [](Lines& lines) { std::swap(lines[0], lines[1]); })},
      {"a line is no record", onLines(1, [](Lines& lines) { lines[0] = "surprise"; })},
      {"a line of an own hash is no JSON", onLines(1, [](Lines& lines) { lines[0] = lineOf("surprise"); })},
      {"a made-up line stands first",
       onLines(0,
               [](Lines& lines) {
                 lines[0] =
                     lineOf(R"({"at":"2026-06-01T12:00:00.000Z","n":1,"node":"n2","prev":"00","what":"opened"})");
               })},
      {"a made-up line stands in the middle",
       onLines(1,
               [](Lines& lines) {
                 lines[1] = lineOf(R"({"at":"2026-06-01T12:00:00.000Z","n":2,"prev":"00","what":"probed"})");
               })},
      {"a line in the middle is torn", [](golden::Files& files) { files.begin()->second.pop_back(); }},
      {"a file is removed", [](golden::Files& files) { files.erase(std::next(files.begin())); }},
      {"two files are exchanged",
       [](golden::Files& files) { std::swap(files.begin()->second, std::next(files.begin())->second); }},
      {"a file of another name is beside", [](golden::Files& files) { files["other-000000000001"] = "surprise\n"; }},
      {"the newest file is removed", [](golden::Files& files) { files.erase(std::prev(files.end())); }},
      {"all is removed", [](golden::Files& files) { files.clear(); }}};
}

}  // namespace

TEST_CASE("golden: an audit trail has the files and bytes it had") {
  for (Scenario const& scenario : scenarios) DYNAMIC_SECTION(scenario.name) {
      golden::check(folderName(scenario.name), golden::filesText(scenario.folder(), golden::Form::text));
    }
}

TEST_CASE("golden: a recorded trail is read and verified to the same records") {
  for (Scenario const& scenario : scenarios) DYNAMIC_SECTION(scenario.name) {
      std::string const name = std::string("audit/test/golden/") + scenario.name + ".view.txt";
      golden::check(name, viewText(recorded(scenario.name)));
    }
}

TEST_CASE("golden: a recorded trail is gone on with alike") {
  for (Scenario const& scenario : scenarios) DYNAMIC_SECTION(scenario.name) {
      golden::NotingFolder folder(golden::readFiles(folderName(scenario.name)));
      audit::AuditLog log(folder, "n1", noon + 90 * audit::countPeriodMs, smallFiles);
      countAll(log, noon + 90 * audit::countPeriodMs + 1);
      std::string text = "not synced " + log.takeUnsynced() + "\n";
      log.close(noon + 92 * audit::countPeriodMs);
      text += "head " + std::to_string(log.head().number) + " " + log.head().hash + "\n";
      text += "changes\n" + folder.changes + "folder\n";
      text += golden::filesText(golden::filesOf(folder), golden::Form::text);
      golden::check(std::string("audit/test/golden/") + scenario.name + ".continued.txt", text);
    }
}

TEST_CASE("golden: the report of recorded trails is the same") {
  std::vector<audit::AuditLogView> const logs{recorded("one-file"), recorded("bounded-files")};
  audit::AuditHead const& head = logs[1].head;
  struct ReportCase {
    char const* name;
    audit::ReportQuery query;
  };
  std::vector<ReportCase> const cases{
      {"all", {}},
      {"one-regime", {"export", 0, 0, 3600000, {}}},
      {"part-of-time", {"", noon + audit::countPeriodMs, noon + 70 * audit::countPeriodMs, 3600000, {}}},
      {"by-minute", {"health", 0, 0, audit::countPeriodMs, {}}},
      {"heads-noted", {"none", 0, 0, 3600000, {{"n2", head}, {"n2", {1, "dropped since"}}}}},
      {"heads-missing",
       {"none", 0, 0, 3600000, {{"n2", {head.number, "other"}}, {"n2", {head.number + 1, head.hash}}, {"n3", head}}}}};
  for (ReportCase const& reportCase : cases) DYNAMIC_SECTION(reportCase.name) {
      golden::check(std::string("audit/test/golden/report.") + reportCase.name + ".txt",
                    reportText(audit::auditReport(logs, reportCase.query)));
    }
  DYNAMIC_SECTION("torn end") {
    golden::check("audit/test/golden/report.torn-end.txt", reportText(audit::auditReport({recorded("torn-end")}, {})));
  }
}

TEST_CASE("golden: what is found in a tampered copy of a recorded trail is the same") {
  golden::Files const files = golden::readFiles(folderName("bounded-files"));
  audit::ReportQuery query;
  query.regime = "none";
  query.heads = {{"n2", viewOf(files).head}};
  std::string text;
  for (TamperedLog const& tampering : tamperedLogs()) {
    golden::Files tampered = files;
    tampering.tamper(tampered);
    text += std::string(tampering.name) + "\n" + core::jsonText(audit::auditReport({viewOf(tampered)}, query)) + "\n";
  }
  golden::check("audit/test/golden/tampered.txt", text);
}

TEST_CASE("golden: a trail's bounds are the same unless others are set") {
  audit::RetentionLimits const bounds;
  CHECK(bounds.segmentBytes == 1048576);
  CHECK(bounds.maxSegments == 64);
  CHECK(audit::countPeriodMs == 60000);
}
