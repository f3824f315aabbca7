#include "regime_report.h"

#include <QDateTime>
#include <QDir>
#include <QJsonArray>
#include <iostream>

#include <corkward/audit/audit_log.h>
#include <corkward/core/json.h>

#include "operator_client.h"

namespace corkward::programs {

namespace {

constexpr int mostMinutes = 44640;

std::int64_t timeOf(char const* flag, std::string const& text) {
  if (text.empty()) return 0;
  QDateTime const t = QDateTime::fromString(core::toQString(text), Qt::ISODate);
  if (!t.isValid() || text.back() != 'Z')
    throw UsageError(std::string(flag) + ": must be a time in UTC, as 2027-01-31T00:00:00Z");
  return t.toMSecsSinceEpoch();
}

std::pair<std::string, audit::AuditHead> headOf(std::string const& text) {
  std::size_t const equals = text.rfind('=');
  std::size_t const colon = text.rfind(':');
  bool ok = equals != std::string::npos && equals > 0 && colon != std::string::npos && colon > equals;
  std::uint64_t const number = ok ? core::toQString(text.substr(equals + 1, colon - equals - 1)).toULongLong(&ok) : 0;
  if (!ok || number == 0 || text.size() - colon - 1 != 64)
    throw UsageError("head: must be NODE=NUMBER:HASH, but is " + text);
  return {text.substr(0, equals), audit::AuditHead{number, text.substr(colon + 1)}};
}

std::string text(QJsonObject const& o, char const* field) {
  return core::toStdString(o.value(QLatin1String(field)).toString());
}

void sayCount(QJsonObject const& c) {
  std::cout << "  " << text(c, "what") << " " << c.value("count").toInteger() << " of " << text(c, "instance");
  if (c.contains("life"))
    std::cout << " at " << text(c, "pool") << " " << text(c, "address") << " life " << text(c, "life") << " zone "
              << text(c, "zone") << " under " << text(c, "certificate");
  if (c.contains("reason")) std::cout << ": " << text(c, "reason");
  std::cout << "\n";
}

void sayNode(QJsonObject const& n) {
  QJsonObject const head = n.value("head").toObject();
  std::cout << "node " << text(n, "node") << ": records " << n.value("first").toInteger() << " to "
            << head.value("n").toInteger() << ", newest " << text(head, "hash")
            << (n.value("tornEnd").toBool() ? ", the end is torn" : "") << "\n";
  for (QJsonValue const l : n.value("lives").toArray()) {
    QJsonObject const life = l.toObject();
    std::cout << "  " << text(life, "from") << " to " << text(life, "until")
              << (life.value("countsAreLeast").toBool() ? ": no end was written, its last minute's counts are the least"
                                                        : ": complete")
              << "\n";
  }
  for (QJsonValue const f : n.value("faults").toArray()) {
    QJsonObject const fault = f.toObject();
    std::cout << "  NOT AS WRITTEN: ";
    if (fault.contains("file")) std::cout << text(fault, "file") << " line " << fault.value("line").toInteger() << " ";
    std::cout << text(fault, "reason") << "\n";
  }
}

}  // namespace

int reportRegimes(ReportConnections const& ways) {
  if (ways.spanMinutes < 1 || ways.spanMinutes > mostMinutes)
    throw UsageError("span: must be 1 to " + std::to_string(mostMinutes));
  audit::ReportQuery ask;
  ask.regime = ways.regime;
  ask.from = timeOf("from", ways.from);
  ask.until = timeOf("until", ways.until);
  ask.span = ways.spanMinutes * audit::spanMs;
  for (std::string const& h : ways.heads) ask.heads.push_back(headOf(h));
  std::vector<audit::AuditLogView> trails;
  for (std::string const& name : ways.folders) {
    if (!QDir(core::toQString(name)).exists()) throw UsageError("no such folder: " + name);
    try {
      std::unique_ptr<storage::Directory> const folder = storage::openDirectory(name);
      trails.push_back(audit::readAuditLog(*folder));
    } catch (storage::StorageError const& e) {
      throw UsageError(name + ": " + e.what());
    }
    if (trails.back().records.empty() && trails.back().faults.empty()) throw UsageError(name + ": holds no records");
  }
  QJsonObject const report = audit::report(trails, ask);
  bool const whole = report.value("whole").toBool();
  if (ways.json) {
    std::cout << core::jsonText(report) << "\n";
    return whole ? 0 : 1;
  }
  QJsonObject const regimes = report.value("regimes").toObject();
  for (QString const& regime : regimes.keys())
    for (QJsonValue const s : regimes.value(regime).toArray()) {
      std::cout << "regime " << core::toStdString(regime) << " from " << text(s.toObject(), "span") << "\n";
      for (QJsonValue const c : s.toObject().value("counts").toArray()) sayCount(c.toObject());
    }
  for (QJsonValue const n : report.value("nodes").toArray()) sayNode(n.toObject());
  std::cout << (whole ? "all records are as they were written" : "NOT all records are as they were written") << "\n";
  return whole ? 0 : 1;
}

}  // namespace corkward::programs
