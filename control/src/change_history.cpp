#include <corkward/control/change_history.h>

#include <QCryptographicHash>

#include <corkward/core/json.h>

namespace corkward::control {

namespace {

constexpr qsizetype digestBytes = 12;
constexpr char const* olderField = "older";
constexpr char const* newerField = "newer";
constexpr char const* fromField = "from";
constexpr char const* digestsField = "digests";

std::string withoutQuotes(std::string const& ifMatch) {
  bool const quoted = ifMatch.size() >= 2 && ifMatch.front() == '"' && ifMatch.back() == '"';
  return quoted ? ifMatch.substr(1, ifMatch.size() - 2) : ifMatch;
}

}  // namespace

std::string orderDigest(transport::OperatorCall const& call, QJsonObject const& body, std::string const& changeId) {
  std::string const head = call.method + "\n" + call.path + "\n" + withoutQuotes(call.ifMatch) + "\n" + changeId + "\n";
  QCryptographicHash hash(QCryptographicHash::Sha256);
  hash.addData(QByteArrayView(head.data(), static_cast<qsizetype>(head.size())));
  std::string const content = core::jsonText(body);
  hash.addData(QByteArrayView(content.data(), static_cast<qsizetype>(content.size())));
  return hash.result().first(digestBytes).toBase64().toStdString();
}

ChangeHistory::ChangeHistory(QJsonObject const& value, std::uint64_t base) : newest_(base) {
  QJsonObject const kept = value.value(QLatin1String(field)).toObject();
  if (kept.isEmpty()) {
    older_.from = base;
    newer_.from = base;
    return;
  }
  older_ = segmentOf(kept.value(QLatin1String(olderField)).toObject());
  newer_ = segmentOf(kept.value(QLatin1String(newerField)).toObject());
}

ChangeHistory::Segment ChangeHistory::segmentOf(QJsonObject const& json) {
  return Segment{static_cast<std::uint64_t>(json.value(QLatin1String(fromField)).toInteger()),
                 core::toStdString(json.value(QLatin1String(digestsField)).toString())};
}

QJsonObject ChangeHistory::jsonOf(Segment const& one) {
  return QJsonObject{{fromField, static_cast<qint64>(one.from)}, {digestsField, core::toQString(one.digests)}};
}

std::size_t ChangeHistory::placeOf(Segment const& one, std::string const& digest) {
  for (std::size_t at = 0; at < one.digests.size(); at += digestText)
    if (one.digests.compare(at, digestText, digest) == 0) return at;
  return std::string::npos;
}

PastOutcome ChangeHistory::outcomeOf(std::string const& digest, std::uint64_t base) const {
  bool const known = placeOf(newer_, digest) != std::string::npos || placeOf(older_, digest) != std::string::npos;
  if (known) return PastOutcome::applied;
  return base < older_.from && base < newest_ ? PastOutcome::forgotten : PastOutcome::notApplied;
}

std::uint64_t ChangeHistory::changesSince(std::string const& digest) const {
  std::size_t const inNewer = placeOf(newer_, digest);
  if (inNewer != std::string::npos) return (newer_.digests.size() - inNewer) / digestText - 1;
  std::size_t const inOlder = placeOf(older_, digest);
  return (older_.digests.size() - inOlder + newer_.digests.size()) / digestText - 1;
}

void ChangeHistory::append(std::string const& digest, std::uint64_t base) {
  if (newer_.digests.size() >= segment * digestText) {
    older_ = std::move(newer_);
    newer_ = Segment{base, ""};
  }
  newer_.digests += digest;
  newest_ = base;
}

QJsonObject ChangeHistory::json() const {
  return QJsonObject{{olderField, jsonOf(older_)}, {newerField, jsonOf(newer_)}};
}

}  // namespace corkward::control
