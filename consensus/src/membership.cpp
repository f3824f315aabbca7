#include <QJsonArray>
#include <algorithm>

#include <corkward/consensus/types.h>
#include <corkward/core/json.h>

namespace corkward::consensus {

bool Membership::contains(std::string const& memberId) const {
  return std::any_of(members.begin(), members.end(), [&](Member const& member) { return member.id == memberId; });
}

bool Membership::hasMajority(std::set<std::string> const& memberIds) const {
  auto const present = static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](Member const& member) { return memberIds.count(member.id) > 0; }));
  return !members.empty() && present >= members.size() / 2 + 1;
}

std::vector<Member> membersFromJson(QJsonObject const& membershipValue) {
  std::vector<Member> members;
  for (auto const entry : membershipValue.value("members").toArray()) {
    QJsonObject const member = entry.toObject();
    members.push_back(
        Member{core::toStdString(member.value("id").toString()), core::toStdString(member.value("link").toString())});
  }
  return members;
}

QJsonObject membersToJson(std::vector<Member> const& members) {
  QJsonArray list;
  for (auto const& member : members)
    list.append(QJsonObject{{"id", core::toQString(member.id)}, {"link", core::toQString(member.link)}});
  return QJsonObject{{"members", list}};
}

}  // namespace corkward::consensus
