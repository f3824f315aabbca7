// When a committed change is in force everywhere, and the answers that wait for it.
#include <algorithm>
#include <functional>

#include "internal.h"

namespace corkward::control {

bool Controller::rosterInForce() const {
  std::map<std::string, Settling>::const_iterator const it = settling_.find(rosterKey);
  return it != settling_.end() && it->second.inForce;
}

Controller::InForce Controller::inForce(Tick now, std::string const& key, std::uint64_t revision, Tick since) const {
  std::map<std::string, Settling>::const_iterator const settling = settling_.find(key);
  if (settling != settling_.end() && settling->second.inForce && settling->second.revision >= revision)
    return InForce::yes;
  Tick const age = registers_.quorumContactAge(now);
  if (age < 0 || now - age < since || settling == settling_.end()) return InForce::no;
  std::uint64_t const roster = committedRevision(rosterKey);
  std::map<std::string, Settling>::const_iterator const rosterSettling = settling_.find(rosterKey);
  std::function<bool(Settling const&, std::string const&, std::uint64_t)> const knows =
      [](Settling const& s, std::string const& link, std::uint64_t least) {
        transport::Revisions::const_iterator const it = s.has.find(link);
        return it != s.has.end() && it->second >= least;
      };
  bool all = true;
  bool settled = true;
  for (std::set<std::string> const* const links : {&roster_.nodes, &roster_.previous}) {
    std::size_t yes = 0;
    std::size_t onRoster = 0;
    for (std::string const& link : *links) {
      std::map<std::string, Router>::const_iterator const it = routers_.find(link);
      bool const gone = roster_.gone.count(link) > 0 || (it != routers_.end() && it->second.refusedAt > since);
      bool const has = gone || knows(settling->second, link, revision);
      yes += has ? 1 : 0;
      onRoster += gone || (rosterSettling != settling_.end() && knows(rosterSettling->second, link, roster)) ? 1 : 0;
      if (links == &roster_.nodes) all = all && has;
    }
    if (links->empty()) continue;
    if (links == &roster_.nodes)
      settled = yes >= links->size() / 2 + 1;
    else if (now - rosterCommittedAt_ < 4 * tuning_.servingLeaseDuration || onRoster < links->size() / 2 + 1)
      settled = settled && yes >= links->size() / 2 + 1;
  }
  if (all) return InForce::yes;
  return settled ? InForce::majority : InForce::no;
}

bool Controller::isInForce(Tick now, std::string const& key, Settling const& s) const {
  bool const fenced =
      s.majorityAt >= 0 && now - s.majorityAt > tuning_.servingLeaseDuration + tuning_.servingLeaseMargin;
  return fenced || inForce(now, key, s.revision, s.since) == InForce::yes;
}

void Controller::watchSettling(Tick now) {
  for (std::set<std::string>::iterator key = unsettled_.begin(); key != unsettled_.end();) {
    Settling& s = settling_.at(*key);
    if (s.majorityAt < 0 && inForce(now, *key, s.revision, s.since) != InForce::no) s.majorityAt = now;
    s.inForce = isInForce(now, *key, s);
    if (s.inForce && *key != rosterKey) s.has.clear();
    key = s.inForce ? unsettled_.erase(key) : std::next(key);
  }
}

void Controller::checkForces(ControllerCommands& out, Tick now) {
  std::vector<Force> waiting;
  std::vector<Force> done;
  for (Force& f : forces_) {
    InForce const state = inForce(now, f.key, f.revision, f.since);
    if (state == InForce::majority && f.majorityAt < 0) f.majorityAt = now;
    bool const fenced =
        f.majorityAt >= 0 && now - f.majorityAt > tuning_.servingLeaseDuration + tuning_.servingLeaseMargin;
    if (state == InForce::yes || fenced) {
      f.body.insert("inForce", true);
      done.push_back(f);
    } else if (now - f.since > tuning_.rolloutTimeout) {
      f.body = pendingBody(f.body, f.revision);
      f.status = 504;
      done.push_back(f);
    } else {
      waiting.push_back(f);
    }
  }
  forces_ = std::move(waiting);
  for (Force const& f : done) finish(out, now, f.call, f.status, f.body);
}

ControllerCommands Controller::onProbeResult(Tick now, std::string const& link, bool refused) {
  ControllerCommands out;
  std::map<std::string, Router>::iterator const it = routers_.find(link);
  if (it == routers_.end()) return out;
  it->second.refusedAt = refused ? now : -1;
  checkForces(out, now);
  return out;
}

}  // namespace corkward::control
