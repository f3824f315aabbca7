#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

#include <corkward/audit/audit_log.h>

namespace corkward::audit {

/// One line of a segment file of an audit log.
struct LogLine {
  /// Position of the first byte of the line in the file, and position after its last byte.
  std::size_t offset = 0;
  std::size_t end = 0;
  /// Hash and record of the line. Both are empty if the line has a fault.
  std::string hash;
  QJsonObject record;
  /// What is wrong with the line. Empty if it is intact.
  std::string fault;
  /// Whether the line has no newline at its end, as after an interrupted write.
  bool torn = false;
};

/// Splits the content of a segment file into lines and verifies the hash of each line.
std::vector<LogLine> readLines(std::string const& text);
/// Returns the names of the segment files in a directory, oldest first.
std::vector<std::string> auditLogFiles(storage::Directory& directory);
/// Returns the SHA-256 of a record's text in hexadecimal digits.
std::string lineHash(std::string const& text);
/// Returns a wall time as ISO 8601 text in UTC with milliseconds.
std::string timeText(std::int64_t wall);

/// Returns the record that says how many requests of a category were counted in the period that begins at `span`.
QJsonObject countRecord(RecordCategory const& category, std::int64_t span, std::uint64_t count);
/// Returns the category of a record that countRecord has made.
RecordCategory readCategory(QJsonObject const& record);

}  // namespace corkward::audit
