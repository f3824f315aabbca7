// Whether this node may serve: confirmations of controllers, and what the other routers are heard to have in force.
#include <algorithm>
#include <functional>

#include "internal.h"

namespace corkward::dataplane {

bool RequestRouter::knowsAll(transport::Revisions const& revisions) const {
  return std::all_of(revisions.begin(), revisions.end(),
                     [&](transport::Revisions::value_type const& s) { return revisionOf(s.first) >= s.second; });
}

bool RequestRouter::knows(transport::Digest const& digest, transport::Revisions const& revisions) const {
  if (std::find(had_.begin(), had_.end(), digest) != had_.end()) return true;
  return transport::digestOf(revisions) == digest && knowsAll(revisions);
}

void RequestRouter::refreshServingLease() {
  for (std::map<std::string, Confirmation>::value_type& c : confirmations_)
    if (c.second.at > c.second.good && knows(c.second.digest, c.second.revisions)) {
      c.second.good = c.second.at;
      vouched_ = vouched_ || c.second.at >= started_;
    }
  for (std::map<std::string, transport::PeerHeartbeat>::iterator e = echoes_.begin(); e != echoes_.end();) {
    bool const known = knows(e->second.digest, e->second.revisions);
    if (known) countHeard(e->first, e->second);
    e = known ? echoes_.erase(e) : std::next(e);
  }
}

void RequestRouter::countHeard(std::string const& from, transport::PeerHeartbeat const& echo) {
  if (!echo.hasSnapshot) return;
  std::function<void(std::string const&, Tick)> const heard = [this](std::string const& link, Tick at) {
    Tick& newest = heard_.try_emplace(link, at).first->second;
    newest = std::max(newest, at);
  };
  heard(from, echo.sentAt);
  if (echo.rosterRevision != roster_.revision || echo.ages.size() != roster_.zones.size()) return;
  std::size_t place = 0;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    int const age = static_cast<unsigned char>(echo.ages[place++]);
    if (age < unknownAge && z.first != partialView_.self().link) heard(z.first, echo.sentAt - age * transport::ageUnit);
  }
}

std::string RequestRouter::ages(Tick now) const {
  std::string out;
  for (std::map<std::string, std::string>::value_type const& z : roster_.zones) {
    std::map<std::string, Tick>::const_iterator const it = heard_.find(z.first);
    Tick const age = z.first == partialView_.self().link ? 0
                     : it == heard_.end()                ? tuning_.confirmFor + 1
                                                         : now - it->second;
    Tick const units = (age + transport::ageUnit - 1) / transport::ageUnit;
    out += static_cast<char>(age > tuning_.confirmFor || units >= unknownAge ? unknownAge : units);
  }
  return out;
}

bool RequestRouter::confirmedWithin(Tick now, Tick age) const {
  return std::any_of(confirmations_.begin(), confirmations_.end(),
                     [&](std::map<std::string, Confirmation>::value_type const& c) {
                       return c.second.good >= 0 && now - c.second.good <= age;
                     });
}

bool RequestRouter::mostHeard(Tick now) const {
  if (rosterSize() < tuning_.leastRoster) return false;
  std::size_t fresh = vouched_ ? 1 : 0;
  for (std::string const& link : rosterOthers()) {
    std::map<std::string, Tick>::const_iterator const it = heard_.find(link);
    fresh += it != heard_.end() && now - it->second <= tuning_.confirmFor ? 1 : 0;
  }
  return fresh >= majorityOf(rosterSize());
}

bool RequestRouter::servingLease(Tick now) const {
  if (!tuning_.fenced) return whole_ && !rows_.empty();
  if (!whole_ || !roster_.self || roster_.joining) return false;
  return confirmedWithin(now, tuning_.confirmFor) || mostHeard(now);
}

bool RequestRouter::evacuated(std::string const& zone) const {
  return evacuated_.count(zone) > 0;
}

bool RequestRouter::ready(Tick now) const {
  bool const young = tuning_.fenced && now - started_ < tuning_.youngWait;
  return !draining_ && !young && servingLease(now) &&
         !(tuning_.evacuationFailsReady && evacuated(partialView_.self().zone)) && !rows_.empty();
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::ServingLeaseGrant const& m) {
  for (transport::EndpointRemovalHint const& h : m.removalHints) takeHint(out, now, h);
  std::map<std::string, HeldLink>::iterator const held = controllers_.find(from);
  if (held != controllers_.end()) {
    if (m.hasQuorum) {
      held->second.unanswered = -1;
      held->second.good = now;
    }
    held->second.wantRevisions = m.wantsRevisions;
    if (m.wantsRevisions && now - held->second.namedAt >= tuning_.askEvery / 3) sendAsk(out, now, from);
  }
  if (m.rosterRevision > 0 && m.rosterRevision >= roster_.revision) roster_.joining = false;
  if (!m.hasQuorum || m.quorumAge < 0 || m.requestSentAt > now) return;
  Confirmation& c = confirmations_[from];
  Tick const at = m.requestSentAt - m.quorumAge;
  if (at > c.at) {
    c.at = at;
    c.digest = m.digest;
    c.revisions = m.revisions;
  }
  refreshServingLease();
}

}  // namespace corkward::dataplane
