#include <QDateTime>
#include <QJsonArray>
#include <algorithm>
#include <utility>

#include <corkward/core/json.h>

#include "lines.h"

namespace corkward::audit {

namespace {

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

std::int64_t wallOf(QJsonObject const& record, char const* field) {
  return QDateTime::fromString(record.value(QLatin1String(field)).toString(), Qt::ISODateWithMs).toMSecsSinceEpoch();
}

QJsonObject nodeReport(AuditLogView const& t, ReportQuery const& ask, bool& whole) {
  QJsonArray lives;
  QJsonObject life;
  for (QJsonObject const& r : t.records) {
    QString const what = r.value("what").toString();
    if (what == "opened") {
      if (!life.isEmpty()) lives.append(life);
      life = QJsonObject{{"from", r.value("at")}, {"countsAreLeast", true}};
    }
    if (life.isEmpty()) life = QJsonObject{{"countsAreLeast", true}};
    life.insert("until", r.value("at"));
    if (what == "closed") life.insert("countsAreLeast", false);
  }
  if (!life.isEmpty()) lives.append(life);
  QJsonArray faults;
  for (IntegrityFault const& f : t.faults)
    faults.append(QJsonObject{{"file", core::toQString(f.file)},
                              {"line", static_cast<qint64>(f.line)},
                              {"reason", core::toQString(f.reason)}});
  for (auto const& [node, head] : ask.heads) {
    if (node != t.node || head.number < t.firstNumber) continue;
    auto const it = t.hashes.find(head.number);
    if (it != t.hashes.end() && it->second == head.hash) continue;
    faults.append(QJsonObject{{"reason", core::toQString("record " + std::to_string(head.number) +
                                                         " that was noted elsewhere is not in the trail")}});
  }
  whole = whole && faults.isEmpty();
  return QJsonObject{
      {"node", core::toQString(t.node)},
      {"first", static_cast<qint64>(t.firstNumber)},
      {"faults", faults},
      {"lives", lives},
      {"tornEnd", t.tornTail},
      {"head", QJsonObject{{"n", static_cast<qint64>(t.head.number)}, {"hash", core::toQString(t.head.hash)}}}};
}

}  // namespace

QJsonObject countRecord(RecordCategory const& kind, std::int64_t span, std::uint64_t count) {
  QJsonObject out{{"span", core::toQString(timeText(span))}, {"count", static_cast<qint64>(count)}};
  for (FieldName const& f : fieldNames)
    if (!(kind.*f.field).empty()) out.insert(QLatin1String(f.name), core::toQString(kind.*f.field));
  return out;
}

RecordCategory readCategory(QJsonObject const& record) {
  RecordCategory out;
  for (FieldName const& f : fieldNames)
    out.*f.field = core::toStdString(record.value(QLatin1String(f.name)).toString());
  return out;
}

AuditLogView readAuditLog(storage::Directory& folder) {
  AuditLogView out;
  std::vector<std::string> const files = auditLogFiles(folder);
  for (std::string const& file : files) {
    std::vector<LogLine> const lines = readLines(folder.read(file));
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

QJsonObject auditReport(std::vector<AuditLogView> const& trails, ReportQuery const& ask) {
  std::map<std::string, std::map<std::int64_t, std::map<RecordCategory, std::uint64_t>>> sums;
  bool whole = true;
  QJsonArray nodes;
  for (AuditLogView const& t : trails) {
    nodes.append(nodeReport(t, ask, whole));
    for (QJsonObject const& r : t.records) {
      if (!r.contains("count")) continue;
      RecordCategory const kind = readCategory(r);
      std::int64_t const span = wallOf(r, "span");
      if ((!ask.regime.empty() && kind.regime != ask.regime) || span < ask.from || (ask.until > 0 && span >= ask.until))
        continue;
      sums[kind.regime][span - span % ask.span][kind] += static_cast<std::uint64_t>(r.value("count").toInteger());
    }
  }
  for (auto const& [node, head] : ask.heads) {
    bool const known =
        std::any_of(trails.begin(), trails.end(), [&name = node](AuditLogView const& t) { return t.node == name; });
    if (known) continue;
    whole = false;
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
  return QJsonObject{{"regimes", regimes}, {"nodes", nodes}, {"whole", whole}};
}

}  // namespace corkward::audit
