#include <QDateTime>
#include <QJsonArray>
#include <algorithm>
#include <utility>

#include <corkward/core/json.h>

#include "lines.h"

namespace corkward::audit {

namespace {

/// A field of a category and its name in the records.
struct FieldName {
  char const* name;
  std::string RecordCategory::*field;
};

constexpr FieldName fieldNames[] = {
    {"what", &RecordCategory::outcome},      {"regime", &RecordCategory::regime},
    {"instance", &RecordCategory::instance}, {"pool", &RecordCategory::pool},
    {"address", &RecordCategory::address},   {"life", &RecordCategory::incarnation},
    {"zone", &RecordCategory::zone},         {"certificate", &RecordCategory::certificate},
    {"reason", &RecordCategory::reason}};

std::int64_t readTime(QJsonObject const& record, char const* field) {
  return QDateTime::fromString(record.value(QLatin1String(field)).toString(), Qt::ISODateWithMs).toMSecsSinceEpoch();
}

/// Returns one object for each incarnation of the router, with the times of its first and last records. The counts of
/// an incarnation that did not close its log are lower bounds.
QJsonArray incarnationsOf(AuditLogView const& log) {
  QJsonArray incarnations;
  QJsonObject incarnation;
  for (QJsonObject const& record : log.records) {
    QString const what = record.value("what").toString();
    if (what == "opened") {
      if (!incarnation.isEmpty()) incarnations.append(incarnation);
      incarnation = QJsonObject{{"from", record.value("at")}, {"countsAreLeast", true}};
    }
    if (incarnation.isEmpty()) incarnation = QJsonObject{{"countsAreLeast", true}};
    incarnation.insert("until", record.value("at"));
    if (what == "closed") incarnation.insert("countsAreLeast", false);
  }
  if (!incarnation.isEmpty()) incarnations.append(incarnation);
  return incarnations;
}

/// Returns the faults of the log itself, and a fault for each head of the query that the log does not contain.
QJsonArray faultsOf(AuditLogView const& log, ReportQuery const& query) {
  QJsonArray faults;
  for (IntegrityFault const& fault : log.faults)
    faults.append(QJsonObject{{"file", core::toQString(fault.file)},
                              {"line", static_cast<qint64>(fault.line)},
                              {"reason", core::toQString(fault.reason)}});
  for (auto const& [node, head] : query.heads) {
    if (node != log.node || head.number < log.firstNumber) continue;
    auto const it = log.hashes.find(head.number);
    if (it != log.hashes.end() && it->second == head.hash) continue;
    faults.append(QJsonObject{{"reason", core::toQString("record " + std::to_string(head.number) +
                                                         " that was noted elsewhere is not in the trail")}});
  }
  return faults;
}

QJsonObject nodeReport(AuditLogView const& log, ReportQuery const& query, bool& complete) {
  QJsonArray const faults = faultsOf(log, query);
  complete = complete && faults.isEmpty();
  return QJsonObject{
      {"node", core::toQString(log.node)},
      {"first", static_cast<qint64>(log.firstNumber)},
      {"faults", faults},
      {"lives", incarnationsOf(log)},
      {"tornEnd", log.tornTail},
      {"head", QJsonObject{{"n", static_cast<qint64>(log.head.number)}, {"hash", core::toQString(log.head.hash)}}}};
}

}  // namespace

QJsonObject countRecord(RecordCategory const& category, std::int64_t span, std::uint64_t count) {
  QJsonObject out{{"span", core::toQString(timeText(span))}, {"count", static_cast<qint64>(count)}};
  for (FieldName const& f : fieldNames)
    if (!(category.*f.field).empty()) out.insert(QLatin1String(f.name), core::toQString(category.*f.field));
  return out;
}

RecordCategory readCategory(QJsonObject const& record) {
  RecordCategory out;
  for (FieldName const& f : fieldNames)
    out.*f.field = core::toStdString(record.value(QLatin1String(f.name)).toString());
  return out;
}

AuditLogView readAuditLog(storage::Directory& directory) {
  AuditLogView out;
  std::vector<std::string> const files = auditLogFiles(directory);
  for (std::string const& file : files) {
    std::vector<LogLine> const lines = readLines(directory.read(file));
    for (std::size_t i = 0; i < lines.size(); ++i) {
      LogLine const& line = lines[i];
      if (line.torn && file == files.back()) {
        out.tornTail = true;
        continue;
      }
      if (!line.fault.empty()) {
        out.faults.push_back(IntegrityFault{file, i + 1, line.fault});
        continue;
      }
      std::uint64_t const n = static_cast<std::uint64_t>(line.record.value("n").toInteger());
      std::string const prev = core::toStdString(line.record.value("prev").toString());
      if (out.records.empty()) {
        out.firstNumber = n;
        if (n == 1 && !prev.empty())
          out.faults.push_back(IntegrityFault{file, i + 1, "is the first record and names one before"});
      } else if (n != out.head.number + 1 || prev != out.head.hash) {
        out.faults.push_back(IntegrityFault{file, i + 1, "does not follow record " + std::to_string(out.head.number)});
      }
      if (line.record.value("what").toString() == "opened")
        out.node = core::toStdString(line.record.value("node").toString());
      out.records.push_back(line.record);
      out.hashes[n] = line.hash;
      out.head = AuditHead{n, line.hash};
    }
  }
  return out;
}

QJsonObject auditReport(std::vector<AuditLogView> const& logs, ReportQuery const& query) {
  std::map<std::string, std::map<std::int64_t, std::map<RecordCategory, std::uint64_t>>> sums;
  bool complete = true;
  QJsonArray nodes;
  for (AuditLogView const& log : logs) {
    nodes.append(nodeReport(log, query, complete));
    for (QJsonObject const& record : log.records) {
      if (!record.contains("count")) continue;
      RecordCategory const category = readCategory(record);
      std::int64_t const span = readTime(record, "span");
      if ((!query.regime.empty() && category.regime != query.regime) || span < query.from ||
          (query.until > 0 && span >= query.until))
        continue;
      sums[category.regime][span - span % query.span][category] +=
          static_cast<std::uint64_t>(record.value("count").toInteger());
    }
  }
  for (auto const& [node, head] : query.heads) {
    bool const known =
        std::any_of(logs.begin(), logs.end(), [&name = node](AuditLogView const& log) { return log.node == name; });
    if (known) continue;
    complete = false;
    nodes.append(QJsonObject{{"node", core::toQString(node)},
                             {"faults", QJsonArray{QJsonObject{{"reason", "no trail of this node was given"}}}}});
  }
  QJsonObject regimes;
  for (auto const& [regime, countsBySpan] : sums) {
    QJsonArray spans;
    for (auto const& [spanStart, countsByCategory] : countsBySpan) {
      QJsonArray counts;
      for (auto const& [category, number] : countsByCategory) {
        QJsonObject record = countRecord(category, spanStart, number);
        record.remove("span");
        record.remove("regime");
        counts.append(record);
      }
      spans.append(QJsonObject{{"span", core::toQString(timeText(spanStart))}, {"counts", counts}});
    }
    regimes.insert(core::toQString(regime), spans);
  }
  return QJsonObject{{"regimes", regimes}, {"nodes", nodes}, {"whole", complete}};
}

}  // namespace corkward::audit
