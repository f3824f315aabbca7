#include <corkward/audit/audit_log.h>

#include <QCryptographicHash>
#include <QDateTime>
#include <algorithm>

#include <corkward/core/json.h>

#include "lines.h"

namespace corkward::audit {

namespace {

constexpr char const* segmentPrefix = "audit-";

std::string segmentFileName(std::uint64_t number) {
  std::string const digits = std::to_string(number);
  return segmentPrefix + std::string(12 - std::min<std::size_t>(digits.size(), 12), '0') + digits;
}

}  // namespace

std::string timeText(std::int64_t wall) {
  return core::toStdString(QDateTime::fromMSecsSinceEpoch(wall, Qt::UTC).toString(Qt::ISODateWithMs));
}

std::string lineHash(std::string const& text) {
  return QCryptographicHash::hash(QByteArray::fromStdString(text), QCryptographicHash::Sha256).toHex().toStdString();
}

std::vector<std::string> auditLogFiles(storage::Directory& directory) {
  std::vector<std::string> out;
  for (std::string const& name : directory.list())
    if (name.rfind(segmentPrefix, 0) == 0) out.push_back(name);
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<LogLine> readLines(std::string const& text) {
  std::vector<LogLine> out;
  std::size_t at = 0;
  while (at < text.size()) {
    std::size_t const end = text.find('\n', at);
    LogLine line;
    line.offset = at;
    std::string const bytes = text.substr(at, end == std::string::npos ? std::string::npos : end - at);
    at = end == std::string::npos ? text.size() : end + 1;
    line.end = at;
    std::size_t const separator = bytes.find(' ');
    if (end == std::string::npos) {
      line.fault = "is torn";
      line.torn = true;
    } else if (separator != 64 || lineHash(bytes.substr(separator + 1)) != bytes.substr(0, separator)) {
      line.fault = "is not as it was written: its hash differs";
    } else {
      try {
        line.record = core::parseJson(bytes.substr(separator + 1)).toObject();
        line.hash = bytes.substr(0, separator);
      } catch (core::JsonError const&) {
        line.fault = "is no record";
      }
    }
    out.push_back(std::move(line));
  }
  return out;
}

AuditLog::AuditLog(storage::Directory& directory, std::string node, std::int64_t wall, RetentionLimits limits)
    : directory_(directory),
      node_(std::move(node)),
      limits_(limits),
      files_(auditLogFiles(directory)),
      countPeriod_(wall - wall % countPeriodMs) {
  for (std::size_t i = files_.size(); i > 0 && head_.number == 0; --i) {
    std::vector<LogLine> lines = readLines(directory_.read(files_[i - 1]));
    if (!lines.empty() && lines.back().torn) {
      directory_.truncate(files_[i - 1], lines.back().offset);
      lines.pop_back();
    }
    auto const lastIntact =
        std::find_if(lines.crbegin(), lines.crend(), [](LogLine const& l) { return l.fault.empty(); });
    if (lastIntact == lines.crend()) continue;
    head_ = AuditHead{static_cast<std::uint64_t>(lastIntact->record.value("n").toInteger()), lastIntact->hash};
    if (i < files_.size() || lastIntact != lines.crbegin()) continue;
    file_ = files_[i - 1];
    size_ = lastIntact->end;
  }
  writeOpened(wall);
}

void AuditLog::writeOpened(std::int64_t wall) {
  write(QJsonObject{{"what", "opened"}, {"node", core::toQString(node_)}}, wall);
}

void AuditLog::write(QJsonObject record, std::int64_t wall) {
  record.insert("n", static_cast<qint64>(head_.number + 1));
  record.insert("prev", core::toQString(head_.hash));
  record.insert("at", core::toQString(timeText(wall)));
  std::string const text = core::jsonText(record);
  std::string const hash = lineHash(text);
  std::string const line = hash + " " + text + "\n";
  if (file_.empty() || size_ + line.size() > limits_.segmentBytes) {
    if (!file_.empty()) directory_.sync(file_);
    file_ = segmentFileName(head_.number + 1);
    size_ = 0;
    if (files_.empty() || files_.back() != file_) files_.push_back(file_);
    while (files_.size() > std::max<std::size_t>(limits_.maxSegments, 2)) {
      directory_.remove(files_.front());
      files_.erase(files_.begin());
    }
  }
  if (partiallyWritten_) directory_.truncate(file_, size_);
  partiallyWritten_ = true;
  directory_.append(file_, line);
  partiallyWritten_ = false;
  size_ += line.size();
  unsynced_ = true;
  head_ = AuditHead{head_.number + 1, hash};
}

void AuditLog::countOutcome(RecordCategory const& category, std::int64_t wall) {
  onTimer(wall);
  auto const it = counts_.find(category);
  if (it != counts_.end()) {
    ++it->second;
    return;
  }
  write(countRecord(category, countPeriod_, 1), wall);
  counts_[category] = 0;
}

void AuditLog::onTimer(std::int64_t wall) {
  if (wall >= countPeriod_ && wall < countPeriod_ + countPeriodMs) return;
  writeCounts(wall);
  countPeriod_ = wall - wall % countPeriodMs;
}

void AuditLog::writeCounts(std::int64_t wall) {
  while (!counts_.empty()) {
    auto const it = counts_.begin();
    if (it->second > 0) write(countRecord(it->first, countPeriod_, it->second), wall);
    counts_.erase(it);
  }
}

void AuditLog::probeDisk(std::int64_t wall) {
  write(QJsonObject{{"what", "probed"}}, wall);
}

void AuditLog::close(std::int64_t wall) {
  writeCounts(wall);
  write(QJsonObject{{"what", "closed"}}, wall);
  directory_.sync(file_);
  unsynced_ = false;
}

std::string AuditLog::takeUnsynced() {
  if (!unsynced_) return "";
  unsynced_ = false;
  return file_;
}

}  // namespace corkward::audit
