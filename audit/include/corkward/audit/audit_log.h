#pragma once

#include <QJsonObject>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/storage/write_ahead_log.h>

namespace corkward::audit {

/// Key by which requests are counted: their outcome, the path they belong to, and the replica that served them.
struct RecordCategory {
  /// One of handed-over, resumed, served, not-run, broken and denied.
  std::string outcome;
  std::string regime;
  std::string instance;
  std::string pool = {};
  std::string address = {};
  std::string incarnation = {};
  std::string zone = {};
  std::string certificate = {};
  std::string reason = {};
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero inside a defaulted comparison for a pointer.
  auto operator<=>(RecordCategory const&) const = default;
};

/// Number and hash of the newest record of an audit log. A copy that is stored outside the log shows later whether
/// records were cut off its end.
struct AuditHead {
  std::uint64_t number = 0;
  std::string hash;
};

/// Length of a count period in milliseconds. The counts of a period are written when it ends.
inline constexpr std::int64_t countPeriodMs = 60000;

/// Size of an audit log on disk. The oldest segment file is removed if there are more than `maxSegments`, but at least
/// two are retained.
struct RetentionLimits {
  std::uint64_t segmentBytes = 1U << 20;
  std::size_t maxSegments = 64;
};

/// Writes the audit log of one router. Each line is one record, preceded by the SHA-256 of its text. The text contains
/// the hash of the previous record, so that the records form a hash chain. All functions that write a record throw
/// storage::StorageError if the disk fails.
class AuditLog {
 public:
  /// Continues the log after the newest record in the directory. An incomplete last line, which an interrupted write
  /// leaves behind, is cut off.
  /// @param directory directory of the log, which must outlive this object
  /// @param wall wall time in milliseconds since 1970, here and in all other functions
  AuditLog(storage::Directory& directory, std::string node, std::int64_t wall, RetentionLimits limits = {});
  /// Counts one request. The first request of a category in a count period is written to the file before this returns;
  /// the number of the others is written when the period ends.
  void countOutcome(RecordCategory const& category, std::int64_t wall);
  /// Writes the counts of the count period if it has ended.
  void onTimer(std::int64_t wall);
  /// Writes a record without content, to find out whether the disk accepts writes.
  void probeDisk(std::int64_t wall);
  /// Writes all remaining counts and a record that marks the counts of this incarnation as complete.
  void close(std::int64_t wall);
  AuditHead const& head() const { return head_; }
  /// Returns the file that has records which are not synced yet, and regards it as synced afterwards. The caller must
  /// sync it, on a thread that may block. Returns an empty name if there is no such file.
  std::string takeUnsynced();

 private:
  void write(QJsonObject record, std::int64_t wall);
  void writeCounts(std::int64_t wall);
  void writeOpened(std::int64_t wall);

  storage::Directory& directory_;
  std::string node_;
  RetentionLimits limits_;
  AuditHead head_;
  std::string file_;
  std::uint64_t size_ = 0;
  std::vector<std::string> files_;
  bool unsynced_ = false;
  /// Whether the file may end in an incomplete line after a failed write.
  bool partiallyWritten_ = false;
  /// Start of the current count period, in milliseconds since 1970.
  std::int64_t countPeriod_ = 0;
  /// Requests that were counted in the current period and are not written yet. 0 if only the first request was counted,
  /// which is written at once.
  std::map<RecordCategory, std::uint64_t> counts_;
};

/// A line of an audit log that was changed after it was written, or that does not follow the line before it.
struct IntegrityFault {
  std::string file;
  std::size_t line = 0;
  std::string reason;
};

/// The content of an audit log as it was read from its directory.
struct AuditLogView {
  std::string node;
  std::vector<QJsonObject> records;
  std::vector<IntegrityFault> faults;
  /// Whether the newest line is incomplete, because the router was writing it at that moment or lost its power.
  bool tornTail = false;
  /// Number of the oldest record that is retained. Earlier ones were removed by the retention limits.
  std::uint64_t firstNumber = 0;
  AuditHead head;
  /// Hash of each record by its number.
  std::map<std::uint64_t, std::string> hashes;
};

/// Reads an audit log and verifies the hash of each record and its link to the previous record.
AuditLogView readAuditLog(storage::Directory& directory);

/// Selects what a report on the audit logs contains.
struct ReportQuery {
  /// The only regime to report on. Empty if all regimes are reported.
  std::string regime;
  /// Start (inclusive) and end (exclusive) in milliseconds since 1970. 0 if there is no such limit.
  std::int64_t from = 0;
  std::int64_t until = 0;
  /// Length in milliseconds of the periods by which the counts are grouped.
  std::int64_t span = 3600000;
  /// Heads that were recorded outside the logs, each with the name of its router. The log of that router must contain
  /// the record, unless the retention limits have removed it.
  std::vector<std::pair<std::string, AuditHead>> heads;
};
/// Returns a report on the audit logs of several routers: the counts by regime and period, and the state of each log.
/// It has the form {"regimes": {name: [{"span", "counts": [{"what", "instance", ..., "count"}]}]}, "nodes": [{"node",
/// "first", "head", "lives": [...], "faults": [...]}], "whole"}. "lives" are the incarnations of a router. If an
/// incarnation did not end with AuditLog::close, its counts are lower bounds, and its field "countsAreLeast" is true.
/// "whole" is true if no log has a fault and no log is missing.
QJsonObject auditReport(std::vector<AuditLogView> const& logs, ReportQuery const& query);

}  // namespace corkward::audit
