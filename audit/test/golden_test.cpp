#include <catch2/catch.hpp>

#include <QCryptographicHash>
#include <QJsonDocument>
#include <functional>

#include <corkward/audit/audit_log.h>
#include <corkward/core/json.h>

#include "testing/golden/folder.h"

/// Audit logs as a released version wrote them. A later version must verify them with the same report, continue them,
/// and write the same bytes. Record the golden files again only if the documentation in docs/ changes the form of the
/// audit log or of its report.
namespace audit = corkward::audit;
namespace core = corkward::core;
namespace golden = corkward::golden;

namespace {

/// 2026-06-01T12:00:00Z, in milliseconds since 1970.
constexpr std::int64_t noon = 1780315200000;
constexpr audit::RetentionLimits smallSegments{1500, 3};

/// At least one category for each outcome that a router counts. The first has all fields, the others have fewer.
std::vector<audit::RecordCategory> categories() {
  return {{"handed-over", "health", "desk.nord", "model", "127.0.0.1:80", "r-1", "z1", "model-z1", "no reason"},
          {"resumed", "health", "desk.nord", "model", "127.0.0.2:80", "r-2", "z\xc3\xbcrich/1", "model-z1", {}},
          {"served", "health", "desk.nord", "model", "127.0.0.1:80", "r-1", "z1", "model-z1", {}},
          {"not-run", "export", "desk.s\"ud\\", "model", "127.0.0.1:80", "r-1", "z1", {}, {}},
          {"broken", "health", "desk.nord", "model", "127.0.0.1:80", "r-1", "z1", "model-z1", "stream ended"},
          {"denied", "health", "desk.nord", {}, {}, {}, {}, {}, "no certified replica"},
          {"denied", "", "", {}, {}, {}, {}, {}, {}}};
}

/// Counts each category once, and the category at index n another n times, in one count period. Counts the first
/// category twice in the next period.
void countAll(audit::AuditLog& log, std::int64_t wall) {
  std::vector<audit::RecordCategory> const all = categories();
  for (audit::RecordCategory const& category : all) log.countOutcome(category, wall);
  for (std::size_t i = 0; i < all.size(); ++i)
    for (std::size_t n = 0; n < i; ++n) log.countOutcome(all[i], wall + 100);
  log.onTimer(wall + audit::countPeriodMs - 1);
  log.onTimer(wall + audit::countPeriodMs);
  log.countOutcome(all.front(), wall + audit::countPeriodMs + 5);
  log.countOutcome(all.front(), wall + audit::countPeriodMs + 6);
}

/// A log of one file that has a record of every type.
golden::Files writeOneFile() {
  golden::RecordingDirectory folder;
  audit::AuditLog log(folder, "n1", noon);
  log.probeDisk(noon + 1);
  countAll(log, noon + 2);
  log.close(noon + 2 * audit::countPeriodMs);
  return golden::filesOf(folder);
}

/// A log of three incarnations with small segment files. The first incarnation did not close its log, and its oldest
/// records were removed by the retention limits.
golden::Files writeBoundedFiles() {
  golden::RecordingDirectory folder;
  {
    audit::AuditLog log(folder, "n2", noon, smallSegments);
    countAll(log, noon + 10);
  }
  {
    audit::AuditLog log(folder, "n2", noon + 10 * audit::countPeriodMs, smallSegments);
    log.countOutcome(categories().at(1), noon + 10 * audit::countPeriodMs + 1);
    log.countOutcome(categories().at(1), noon + 10 * audit::countPeriodMs + 2);
    log.close(noon + 10 * audit::countPeriodMs + 3);
  }
  audit::AuditLog log(folder, "n2", noon + 70 * audit::countPeriodMs, smallSegments);
  log.countOutcome(categories().at(3), noon + 70 * audit::countPeriodMs + 1);
  log.countOutcome(categories().at(3), noon + 70 * audit::countPeriodMs + 2);
  return golden::filesOf(folder);
}

golden::Files writeTornEnd() {
  golden::Files files = writeBoundedFiles();
  std::string& last = files.rbegin()->second;
  last.resize(last.size() - 20);
  return files;
}

struct Scenario {
  char const* name;
  golden::Files (*write)();
};

constexpr Scenario scenarios[] = {
    {"one-file", writeOneFile}, {"bounded-files", writeBoundedFiles}, {"torn-end", writeTornEnd}};

std::string filesName(std::string const& scenario) {
  return "audit/test/golden/" + scenario + ".folder.txt";
}

audit::AuditLogView viewOf(golden::Files const& files) {
  golden::RecordingDirectory folder(files);
  return audit::readAuditLog(folder);
}

audit::AuditLogView recorded(std::string const& scenario) {
  return viewOf(golden::readFiles(filesName(scenario)));
}

/// A report as indented JSON, followed by the compact JSON that the program prints.
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

/// Joins lines to a text, each with a newline at its end.
std::string joined(std::vector<std::string> const& lines) {
  std::string out;
  for (std::string const& line : lines) out += line + "\n";
  return out;
}

/// A line of a log file: the text with its valid hash.
std::string lineOf(std::string const& text) {
  QByteArray const bytes = QByteArray::fromStdString(text);
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex().toStdString() + " " + text;
}

using Tampering = std::function<void(golden::Files&)>;

/// Changes the lines of the file with this index, counted from 0.
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

/// Manipulations of the files of the recorded log "bounded-files".
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

TEST_CASE("golden: an audit log is written with the recorded files and bytes") {
  for (Scenario const& scenario : scenarios) DYNAMIC_SECTION(scenario.name) {
      golden::check(filesName(scenario.name), golden::filesText(scenario.write(), golden::Form::text));
    }
}

TEST_CASE("golden: a recorded audit log is read and verified with the recorded result") {
  for (Scenario const& scenario : scenarios) DYNAMIC_SECTION(scenario.name) {
      std::string const name = std::string("audit/test/golden/") + scenario.name + ".view.txt";
      golden::check(name, viewText(recorded(scenario.name)));
    }
}

TEST_CASE("golden: a recorded audit log is continued with the recorded bytes") {
  for (Scenario const& scenario : scenarios) DYNAMIC_SECTION(scenario.name) {
      golden::RecordingDirectory folder(golden::readFiles(filesName(scenario.name)));
      audit::AuditLog log(folder, "n1", noon + 90 * audit::countPeriodMs, smallSegments);
      countAll(log, noon + 90 * audit::countPeriodMs + 1);
      std::string text = "not synced " + log.takeUnsynced() + "\n";
      log.close(noon + 92 * audit::countPeriodMs);
      text += "head " + std::to_string(log.head().number) + " " + log.head().hash + "\n";
      text += "changes\n" + folder.changes + "folder\n";
      text += golden::filesText(golden::filesOf(folder), golden::Form::text);
      golden::check(std::string("audit/test/golden/") + scenario.name + ".continued.txt", text);
    }
}

TEST_CASE("golden: recorded audit logs give the recorded reports") {
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

TEST_CASE("golden: the recorded faults are found in tampered copies of a recorded audit log") {
  golden::Files const files = golden::readFiles(filesName("bounded-files"));
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

TEST_CASE("golden: the default retention limits and the count period have their released values") {
  audit::RetentionLimits const limits;
  CHECK(limits.segmentBytes == 1048576);
  CHECK(limits.maxSegments == 64);
  CHECK(audit::countPeriodMs == 60000);
}
