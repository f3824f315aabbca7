// What operators are told of the fleet, and the process's own figures.
#include <QJsonArray>

#include <corkward/config/config.h>

#include "internal.h"

namespace corkward::control {

QJsonObject Controller::fleet(Tick now) const {
  QJsonArray members;
  for (consensus::Member const& m : registers_.membership())
    members.append(QJsonObject{{"id", core::toQString(m.id)}, {"link", core::toQString(m.link)}});
  QJsonArray nodes;
  for (std::string const& link : roster_.nodes) {
    std::map<std::string, Router>::const_iterator const it = routers_.find(link);
    qint64 behind = 0;
    for (std::string const& key : unsettled_) {
      Settling const& s = settling_.at(key);
      transport::Revisions::const_iterator const have = s.has.find(link);
      behind += have == s.has.end() || have->second < s.revision ? 1 : 0;
    }
    bool const seen = it != routers_.end() && it->second.heard >= 0;
    nodes.append(QJsonObject{{"link", core::toQString(link)},
                             {"http", core::toQString(seen ? it->second.contact.httpAddress : "")},
                             {"zone", core::toQString(seen ? it->second.contact.zone : "")},
                             {"heardMsAgo", seen ? static_cast<qint64>(now - it->second.heard) : -1},
                             {"keysBehind", behind}});
  }
  QJsonObject revisions;
  QJsonObject owners;
  for (std::map<std::string, consensus::CommittedValue>::value_type const& c : registers_.committed()) {
    revisions.insert(core::toQString(c.first), static_cast<qint64>(c.second.revision));
    owners.insert(core::toQString(c.first), core::toQString(registers_.ownerLink(c.first, now)));
  }
  return QJsonObject{{"self", core::toQString(registers_.self().link)},
                     {"member", core::toQString(registers_.self().id)},
                     {"voting", registers_.isVoting()},
                     {"diskOk", registers_.isDiskHealthy()},
                     {"ready", ready(now)},
                     {"majorityAgeMs", static_cast<qint64>(registers_.quorumContactAge(now))},
                     {"cohort", members},
                     {"nacelles", nodes},
                     {"stamps", revisions},
                     {"owners", owners}};
}

std::string Controller::metrics(Tick now) const {
  std::string out = "# TYPE corkward_substation_events_total counter\n";
  for (std::map<std::string, std::uint64_t>::value_type const& c : journal_.counts())
    out += "corkward_substation_events_total{event=\"" + c.first + "\"} " + std::to_string(c.second) + "\n";
  out +=
      "# TYPE corkward_substation_ready gauge\ncorkward_substation_ready " + std::string(ready(now) ? "1" : "0") + "\n";
  out += "# TYPE corkward_substation_majority_age_ms gauge\ncorkward_substation_majority_age_ms " +
         std::to_string(registers_.quorumContactAge(now)) + "\n";
  out += "# TYPE corkward_substation_owned_keys gauge\ncorkward_substation_owned_keys " +
         std::to_string(registers_.ownedCount()) + "\n";
  out += "# TYPE corkward_quota_parts_lent gauge\ncorkward_quota_parts_lent " +
         std::to_string(lender_.ownedPartitionCount(now, standing_)) + "\n";
  out += "# TYPE corkward_substation_calls_in_hand gauge\ncorkward_substation_calls_in_hand " +
         std::to_string(calls_.size()) + "\n";
  config::Regimes const regimes = around().regimes();
  if (!wall_ || regimes.certificates.empty()) return out;
  out += "# TYPE corkward_substation_certificate_seconds_left gauge\n";
  for (std::map<std::string, config::Certificate>::value_type const& c : regimes.certificates)
    out += "corkward_substation_certificate_seconds_left{certificate=\"" + c.first + "\",regime=\"" + c.second.regime +
           "\"} " + std::to_string((c.second.until - config::wallMargin - *wall_) / 1000) + "\n";
  return out;
}

}  // namespace corkward::control
