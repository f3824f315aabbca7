#include "regime_report.h"

#include <QDateTime>
#include <QDir>
#include <QJsonArray>
#include <iostream>
#include <memory>
#include <utility>

#include <corkward/audit/audit_log.h>
#include <corkward/core/json.h>

#include "operator_client.h"

namespace corkward::programs {

namespace {

constexpr int maxSpanMinutes = 44640;
/// Length of a SHA-256 hash in hexadecimal digits.
constexpr std::size_t hashLength = 64;

/// Parses the time given by an option to milliseconds since 1970. Returns 0 if the text is empty, so that there is no
/// bound.
std::int64_t parseTime(char const* option, std::string const& text) {
  if (text.empty()) return 0;
  QDateTime const time = QDateTime::fromString(core::toQString(text), Qt::ISODate);
  if (!time.isValid() || text.back() != 'Z')
    throw UsageError(std::string(option) + ": must be a time in UTC, as 2027-01-31T00:00:00Z, but is " + text);
  return time.toMSecsSinceEpoch();
}

/// Parses a checkpoint of the form NODE=NUMBER:HASH to its node and its record. Throws UsageError.
std::pair<std::string, audit::AuditHead> parseCheckpoint(std::string const& text) {
  std::size_t const equals = text.rfind('=');
  std::size_t const colon = text.rfind(':');
  bool valid = equals != std::string::npos && equals > 0 && colon != std::string::npos && colon > equals;
  std::uint64_t const number =
      valid ? core::toQString(text.substr(equals + 1, colon - equals - 1)).toULongLong(&valid) : 0;
  if (!valid || number == 0 || text.size() - colon - 1 != hashLength)
    throw UsageError("head: must be NODE=NUMBER:HASH, but is " + text);
  return {text.substr(0, equals), audit::AuditHead{number, text.substr(colon + 1)}};
}

audit::ReportQuery queryOf(ReportOptions const& options) {
  if (options.spanMinutes < 1 || options.spanMinutes > maxSpanMinutes)
    throw UsageError("span: must be 1 to " + std::to_string(maxSpanMinutes) + ", but is " +
                     std::to_string(options.spanMinutes));
  audit::ReportQuery query;
  query.regime = options.regime;
  query.from = parseTime("from", options.from);
  query.until = parseTime("until", options.until);
  query.span = options.spanMinutes * audit::countPeriodMs;
  for (std::string const& checkpoint : options.checkpoints) query.heads.push_back(parseCheckpoint(checkpoint));
  return query;
}

audit::AuditLogView readLog(std::string const& directory) {
  if (!QDir(core::toQString(directory)).exists()) throw UsageError("no such directory: " + directory);
  try {
    std::unique_ptr<storage::Directory> const opened = storage::openDirectory(directory);
    audit::AuditLogView log = audit::readAuditLog(*opened);
    if (log.records.empty() && log.faults.empty()) throw UsageError(directory + ": contains no audit records");
    return log;
  } catch (storage::StorageError const& error) {
    throw UsageError(directory + ": " + error.what());
  }
}

std::string text(QJsonObject const& object, char const* field) {
  return core::toStdString(object.value(QLatin1String(field)).toString());
}

void printCount(QJsonObject const& count) {
  std::cout << "  " << text(count, "what") << " " << count.value("count").toInteger() << " of "
            << text(count, "instance");
  if (count.contains("life"))
    std::cout << " at " << text(count, "pool") << " " << text(count, "address") << " life " << text(count, "life")
              << " zone " << text(count, "zone") << " under " << text(count, "certificate");
  if (count.contains("reason")) std::cout << ": " << text(count, "reason");
  std::cout << "\n";
}

void printRegime(QString const& regime, QJsonArray const& spans) {
  for (QJsonValue const span : spans) {
    std::cout << "regime " << core::toStdString(regime) << " from " << text(span.toObject(), "span") << "\n";
    for (QJsonValue const count : span.toObject().value("counts").toArray()) printCount(count.toObject());
  }
}

void printIncarnation(QJsonObject const& incarnation) {
  bool const incomplete = incarnation.value("countsAreLeast").toBool();
  std::cout << "  " << text(incarnation, "from") << " to " << text(incarnation, "until")
            << (incomplete ? ": no end was recorded, so the counts of its last minute are lower bounds" : ": complete")
            << "\n";
}

void printFault(QJsonObject const& fault) {
  std::cout << "  CHANGED OR MISSING: ";
  if (fault.contains("file")) std::cout << text(fault, "file") << " line " << fault.value("line").toInteger() << " ";
  std::cout << text(fault, "reason") << "\n";
}

void printNode(QJsonObject const& node) {
  QJsonObject const head = node.value("head").toObject();
  std::cout << "node " << text(node, "node") << ": records " << node.value("first").toInteger() << " to "
            << head.value("n").toInteger() << ", newest " << text(head, "hash")
            << (node.value("tornEnd").toBool() ? ", the last record is incomplete" : "") << "\n";
  for (QJsonValue const incarnation : node.value("lives").toArray()) printIncarnation(incarnation.toObject());
  for (QJsonValue const fault : node.value("faults").toArray()) printFault(fault.toObject());
}

void printReport(QJsonObject const& report, bool intact) {
  QJsonObject const regimes = report.value("regimes").toObject();
  for (QString const& regime : regimes.keys()) printRegime(regime, regimes.value(regime).toArray());
  for (QJsonValue const node : report.value("nodes").toArray()) printNode(node.toObject());
  std::cout << (intact ? "all records are intact" : "NOT all records are intact") << "\n";
}

}  // namespace

ExitCode reportRegimes(ReportOptions const& options) {
  audit::ReportQuery const query = queryOf(options);
  std::vector<audit::AuditLogView> logs;
  for (std::string const& directory : options.directories) logs.push_back(readLog(directory));
  QJsonObject const report = audit::auditReport(logs, query);
  bool const intact = report.value("whole").toBool();
  if (options.json)
    std::cout << core::jsonText(report) << "\n";
  else
    printReport(report, intact);
  return intact ? ExitCode::ok : ExitCode::differs;
}

}  // namespace corkward::programs
