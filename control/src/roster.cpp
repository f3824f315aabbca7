// The roster: which routers a change must have reached before it counts as in force.
#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <iterator>

#include "internal.h"

namespace corkward::control {

void Controller::foldRoster(QJsonObject const& value) {
  std::function<std::set<std::string>(char const*)> const links = [&](char const* field) {
    std::set<std::string> out;
    for (QJsonValue const v : value.value(QLatin1String(field)).toArray())
      out.insert(core::toStdString(v.isString() ? v.toString() : v.toObject().value("link").toString()));
    return out;
  };
  roster_ = RosterView{links("nodes"), links("previous"), links("gone"), {}};
  std::set_union(roster_.nodes.begin(), roster_.nodes.end(), roster_.previous.begin(), roster_.previous.end(),
                 std::back_inserter(roster_.places));
}

bool Controller::rosterSettled(Tick now) const {
  std::uint64_t const revision = committedRevision(rosterKey);
  if (revision == 0) return true;
  return now - rosterCommittedAt_ > tuning_.servingLeaseDuration + tuning_.servingLeaseMargin &&
         inForce(now, rosterKey, revision, rosterCommittedAt_) != InForce::no;
}

void Controller::considerRoster(ControllerCommands& out, Tick now) {
  if (now < rosterAt_ || rosterCalling_ || draining_ || !ready(now)) return;
  rosterAt_ = now + 300;
  std::function<bool(std::map<std::string, Router>::value_type const&)> const silent =
      [&](std::map<std::string, Router>::value_type const& n) {
        return n.second.heard >= 0 && now - n.second.heard > tuning_.forgetAfter;
      };
  if (std::any_of(routers_.begin(), routers_.end(), silent)) {
    std::set<std::string> const& kept = roster_.nodes;
    std::erase_if(routers_, [&](std::map<std::string, Router>::value_type const& n) {
      return silent(n) && kept.count(n.first) == 0;
    });
  }
  std::string const owner = registers_.ownerLink(rosterKey, now);
  if (owner != registers_.self().link && (!owner.empty() || committedRevision(rosterKey) > 0)) return;
  if (owner.empty() && registers_.membership().front().id != registers_.self().id) return;
  if (!rosterSettled(now)) return;
  std::map<std::string, QJsonObject> nodes;
  std::map<std::string, consensus::CommittedValue>::const_iterator const it = registers_.committed().find(rosterKey);
  if (it != registers_.committed().end())
    for (QJsonValue const v : it->second.value.value("nodes").toArray())
      nodes[core::toStdString(v.toObject().value("link").toString())] = v.toObject();
  bool changed = false;
  std::set<std::string> gone = roster_.gone;
  for (std::map<std::string, Router>::value_type const& n : routers_) {
    if (n.second.heard < 0 || now - n.second.heard > 2000 || n.second.contact.role != transport::routerRole ||
        n.second.contact.draining || nodes.count(n.first) > 0)
      continue;
    nodes[n.first] = QJsonObject{{"link", core::toQString(n.first)},
                                 {"http", core::toQString(n.second.contact.httpAddress)},
                                 {"zone", core::toQString(n.second.contact.zone)}};
    gone.erase(n.first);
    changed = true;
  }
  if (now - started_ > tuning_.removeSilentRouterAfter) {
    for (std::map<std::string, QJsonObject>::iterator n = nodes.begin(); n != nodes.end();) {
      std::map<std::string, Router>::const_iterator const seen = routers_.find(n->first);
      Tick const direct = seen == routers_.end() || seen->second.heard < 0 ? now - started_ : now - seen->second.heard;
      Tick const told = partialView_.age(n->first, now);
      bool const dark =
          direct > tuning_.removeSilentRouterAfter && (told < 0 || told > tuning_.removeSilentRouterAfter);
      changed = changed || dark;
      n = dark ? nodes.erase(n) : std::next(n);
    }
  }
  if (!changed) return;
  QJsonArray list;
  for (std::map<std::string, QJsonObject>::value_type const& n : nodes) list.append(n.second);
  QJsonArray goneList;
  for (std::string const& link : gone) goneList.append(core::toQString(link));
  std::uint64_t const id = nextCall_++;
  CallState state;
  state.key = rosterKey;
  state.call.token = id;
  state.call.method = rosterMethod;
  state.call.path = "/v1/roster/nodes";
  state.call.ifMatch = std::to_string(committedRevision(rosterKey));
  state.call.body = core::jsonText(QJsonObject{{"nodes", list}, {"gone", goneList}});
  state.since = now;
  calls_[id] = state;
  rosterCalling_ = true;
  out.logEvents.push_back(core::LogEvent{"roster", {{"nodes", std::to_string(nodes.size())}}});
  take(out, now, registers_.submit(now, rosterKey, state.call));
}

}  // namespace corkward::control
