#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

#include <corkward/audit/audit_log.h>

namespace corkward::audit {

/// One line of a trail's file.
struct LogLine {
  std::size_t offset = 0;
  std::size_t end = 0;
  std::string hash;
  QJsonObject record;
  std::string fault;
  bool torn = false;
};

std::vector<LogLine> readLines(std::string const& text);
/// Files of a trail, oldest first.
std::vector<std::string> auditLogFiles(storage::Directory& folder);
std::string lineHash(std::string const& text);
std::string timeText(std::int64_t wall);

QJsonObject countRecord(RecordCategory const& kind, std::int64_t span, std::uint64_t count);
RecordCategory readCategory(QJsonObject const& record);

}  // namespace corkward::audit
