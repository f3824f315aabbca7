#include <corkward/control/change_history.h>

#include <QCryptographicHash>

#include <corkward/core/json.h>

#include "change_request.h"

namespace corkward::control {

namespace {

/// Number of bytes of the hash that a digest encodes. The digest's Base64 text has ChangeHistory::digestBytes bytes.
constexpr qsizetype hashBytes = 12;
// Field names of the stored history. They are part of the storage format.
constexpr QLatin1String olderField("older");
constexpr QLatin1String newerField("newer");
constexpr QLatin1String firstBaseField("from");
constexpr QLatin1String digestsField("digests");

}  // namespace

std::string contentDigest(transport::OperatorCall const& call, QJsonObject const& body, std::string const& changeId) {
  std::string const head =
      call.method + "\n" + call.path + "\n" + unquotedIfMatch(call.ifMatch) + "\n" + changeId + "\n";
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(QByteArrayView(head.data(), static_cast<qsizetype>(head.size())));
  std::string const content = core::jsonText(body);
  hash.addData(QByteArrayView(content.data(), static_cast<qsizetype>(content.size())));
  return hash.result().first(hashBytes).toBase64().toStdString();
}

ChangeHistory::ChangeHistory(QJsonObject const& value, std::uint64_t base) : newestBase_(base) {
  QJsonObject const stored = value.value(QLatin1String(storedField)).toObject();
  if (stored.isEmpty()) {
    older_.firstBase = base;
    newer_.firstBase = base;
    return;
  }
  older_ = parseSegment(stored.value(olderField).toObject());
  newer_ = parseSegment(stored.value(newerField).toObject());
}

ChangeHistory::Segment ChangeHistory::parseSegment(QJsonObject const& json) {
  return Segment{static_cast<std::uint64_t>(json.value(firstBaseField).toInteger()),
                 core::toStdString(json.value(digestsField).toString())};
}

QJsonObject ChangeHistory::segmentJson(Segment const& segment) {
  return QJsonObject{{firstBaseField, static_cast<qint64>(segment.firstBase)},
                     {digestsField, core::toQString(segment.digests)}};
}

std::size_t ChangeHistory::offsetOf(Segment const& segment, std::string const& digest) {
  for (std::size_t offset = 0; offset < segment.digests.size(); offset += digestBytes)
    if (segment.digests.compare(offset, digestBytes, digest) == 0) return offset;
  return std::string::npos;
}

PastOutcome ChangeHistory::outcomeOf(std::string const& digest, std::uint64_t base) const {
  bool const remembered =
      offsetOf(newer_, digest) != std::string::npos || offsetOf(older_, digest) != std::string::npos;
  if (remembered) return PastOutcome::applied;
  return base < older_.firstBase && base < newestBase_ ? PastOutcome::forgotten : PastOutcome::notApplied;
}

std::uint64_t ChangeHistory::changesSince(std::string const& digest) const {
  std::size_t const inNewer = offsetOf(newer_, digest);
  if (inNewer != std::string::npos) return (newer_.digests.size() - inNewer) / digestBytes - 1;
  std::size_t const inOlder = offsetOf(older_, digest);
  return (older_.digests.size() - inOlder + newer_.digests.size()) / digestBytes - 1;
}

void ChangeHistory::append(std::string const& digest, std::uint64_t base) {
  if (newer_.digests.size() >= segmentChanges * digestBytes) {
    older_ = std::move(newer_);
    newer_ = Segment{base, ""};
  }
  newer_.digests += digest;
  newestBase_ = base;
}

QJsonObject ChangeHistory::json() const {
  return QJsonObject{{olderField, segmentJson(older_)}, {newerField, segmentJson(newer_)}};
}

}  // namespace corkward::control
