#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

#include <corkward/audit/audit_log.h>

namespace corkward::audit {

/// One line of a trail's file.
struct Line {
  std::size_t at = 0;
  std::size_t end = 0;
  std::string hash;
  QJsonObject record;
  std::string fault;
  bool torn = false;
};

std::vector<Line> readLines(std::string const& text);
/// Files of a trail, oldest first.
std::vector<std::string> auditLogFiles(storage::Directory& folder);
std::string hashOf(std::string const& text);
std::string timeText(std::int64_t wall);

QJsonObject countRecord(RecordKind const& kind, std::int64_t span, std::uint64_t count);
RecordKind kindOf(QJsonObject const& record);

}  // namespace corkward::audit
