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

/// What became of requests, whose they were, and where they ran: what is counted together.
struct RecordCategory {
  /// handed-over, resumed, served, not-run, broken or rejected.
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

/// The newest record of an audit log: one that was truncated since does not contain it.
struct AuditHead {
  std::uint64_t number = 0;
  std::string hash;
};

/// Counts of one span are written when it ends.
inline constexpr std::int64_t countPeriodMs = 60000;

struct RetentionLimits {
  std::uint64_t segmentBytes = 1U << 20;
  std::size_t maxSegments = 64;
};

/// Writes the audit log of one node: records in lines, each with the SHA-256 of its text, which holds the hash of the
/// record before. Writing may throw write-ahead log::Error.
class AuditLog {
 public:
  /// Goes on after the newest record in the folder; a last line that was torn is cut off. The folder must outlive it.
  AuditLog(storage::Directory& folder, std::string node, std::int64_t wall, RetentionLimits bounds = {});
  /// Counts one request. The first of its kind in a span is in the file when this returns, the others when the span
  /// ends.
  void countOutcome(RecordCategory const& kind, std::int64_t wall);
  /// Writes the counts of a span that has ended.
  void onTimer(std::int64_t wall);
  /// Writes a record that says no more than that it could be written.
  void probeDisk(std::int64_t wall);
  /// Writes all counts; nothing is missing from this incarnation.
  void close(std::int64_t wall);
  AuditHead const& head() const { return head_; }
  /// File with records that were not synced yet, to be synced where it holds nothing up; empty: none.
  std::string takeUnsynced();

 private:
  void write(QJsonObject record, std::int64_t wall);
  void writeCounts(std::int64_t wall);
  void beginSegment(std::int64_t wall);

  storage::Directory& directory_;
  std::string node_;
  RetentionLimits bounds_;
  AuditHead head_;
  std::string file_;
  std::uint64_t size_ = 0;
  std::vector<std::string> files_;
  bool unsynced_ = false;
  /// The file may end in a part of a line that could not be written.
  bool partiallyWritten_ = false;
  std::int64_t countPeriod_ = 0;
  /// Counted in this span and not written yet; 0: the first one is written.
  std::map<RecordCategory, std::uint64_t> counts_;
};

/// A place where a trail is not as it was written.
struct IntegrityFault {
  std::string file;
  std::size_t line = 0;
  std::string reason;
};

/// An audit log as it was read from its folder.
struct AuditLogView {
  std::string node;
  std::vector<QJsonObject> records;
  std::vector<IntegrityFault> faults;
  /// The newest line is incomplete: the node was writing, or lost its power.
  bool tornTail = false;
  /// Number of the first record that is kept; those before were dropped by the bound.
  std::uint64_t firstNumber = 0;
  AuditHead head;
  /// Hash of each record by its number.
  std::map<std::uint64_t, std::string> hashes;
};

/// Reads an audit log and checks that each record is as it was written and follows the one before.
AuditLogView readAuditLog(storage::Directory& folder);

/// What ran where, what was rejected and what resumed, by regime and span of time, from the audit logs of all nodes.
struct ReportQuery {
  /// Empty: all.
  std::string regime;
  /// Wall time in milliseconds; 0: no bound.
  std::int64_t from = 0;
  std::int64_t until = 0;
  std::int64_t span = 3600000;
  /// Heads that were noted elsewhere, by node: each must be in its log.
  std::vector<std::pair<std::string, AuditHead>> heads;
};
/// {"regimes": {name: [{"span", "counts": [{"what", "instance", ..., "count"}]}]}, "nodes": [{"node", "first", "head",
/// "lives": [...], "faults": [...]}], "whole"}; an incarnation that has no end says that its counts are the least.
QJsonObject auditReport(std::vector<AuditLogView> const& logs, ReportQuery const& query);

}  // namespace corkward::audit
