#include "records.h"

#include <QJsonArray>
#include <string_view>

#include <corkward/core/json.h>

namespace corkward::consensus::records {

namespace {

constexpr char const* metadataKey = "meta";
constexpr char const* membershipRecordKey = "config";
constexpr std::string_view acceptorPrefix = "slot:";

QJsonObject ballotToJson(Ballot const& ballot) {
  return QJsonObject{{"n", static_cast<qint64>(ballot.number)}, {"m", core::toQString(ballot.member)}};
}

std::uint64_t unsignedOf(QJsonValue const& value) {
  return static_cast<std::uint64_t>(value.toInteger());
}

Ballot ballotFromJson(QJsonValue const& value) {
  QJsonObject const ballot = value.toObject();
  return Ballot{unsignedOf(ballot.value("n")), core::toStdString(ballot.value("m").toString())};
}

QJsonObject recordNamed(RecordMap const& recordMap, char const* key) {
  auto const found = recordMap.find(key);
  return found == recordMap.end() ? QJsonObject() : core::parseJson(found->second).toObject();
}

}  // namespace

Record encode(Metadata const& metadata) {
  QJsonArray founders;
  for (auto const& link : metadata.founders) founders.append(core::toQString(link));
  return Record{metadataKey, core::jsonText(QJsonObject{{"id", core::toQString(metadata.memberId)},
                                                        {"voting", metadata.voting},
                                                        {"settled", static_cast<qint64>(metadata.caughtUpRevision)},
                                                        {"founders", founders}})};
}

Record encode(std::string const& registerKey, AcceptorState const& state) {
  QJsonObject const json{{"p", ballotToJson(state.promised)},
                         {"a", ballotToJson(state.position.ballot)},
                         {"s", static_cast<qint64>(state.position.revision)},
                         {"v", state.value},
                         {"i", core::toQString(state.memberId)}};
  return Record{std::string(acceptorPrefix) + registerKey, core::jsonText(json)};
}

Record encode(AdoptedMembership const& adopted) {
  return Record{membershipRecordKey, core::jsonText(QJsonObject{{"s", static_cast<qint64>(adopted.membership.revision)},
                                                                {"v", membersToJson(adopted.membership.members)},
                                                                {"i", core::toQString(adopted.memberId)}})};
}

std::optional<Metadata> decodeMetadata(RecordMap const& recordMap) {
  QJsonObject const json = recordNamed(recordMap, metadataKey);
  if (json.isEmpty()) return std::nullopt;
  Metadata metadata{core::toStdString(json.value("id").toString()),
                    json.value("voting").toBool(),
                    unsignedOf(json.value("settled")),
                    {}};
  for (auto const link : json.value("founders").toArray())
    metadata.founders.push_back(core::toStdString(link.toString()));
  return metadata;
}

std::map<std::string, AcceptorState> decodeAcceptors(RecordMap const& recordMap) {
  std::map<std::string, AcceptorState> states;
  for (auto const& [key, payload] : recordMap) {
    if (!key.starts_with(acceptorPrefix)) continue;
    QJsonObject const json = core::parseJson(payload).toObject();
    states[key.substr(acceptorPrefix.size())] = AcceptorState{
        core::toStdString(json.value("i").toString()), ballotFromJson(json.value("p")),
        AcceptedPosition{ballotFromJson(json.value("a")), unsignedOf(json.value("s"))}, json.value("v").toObject()};
  }
  return states;
}

AdoptedMembership decodeMembership(RecordMap const& recordMap) {
  QJsonObject const json = recordNamed(recordMap, membershipRecordKey);
  return AdoptedMembership{core::toStdString(json.value("i").toString()),
                           Membership{unsignedOf(json.value("s")), membersFromJson(json.value("v").toObject())}};
}

}  // namespace corkward::consensus::records
