// Who is asked and touched: the roster, the controllers that are held, and the neighbours among the routers.
#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <tuple>

#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::dataplane {

void RequestRouter::loadRoster(Tick now, std::uint64_t revision, QJsonObject const& value) {
  RosterView view;
  view.revision = revision;
  std::vector<transport::Contact> const contacts = gossip::rosterContacts(value);
  for (transport::Contact const& c : contacts) {
    std::string const& link = c.link;
    ++view.size;
    view.zones[link] = c.zone;
    if (link == partialView_.self().link)
      view.self = true;
    else
      view.others.push_back(link);
  }
  bool before = roster_.self && !roster_.joining;
  for (QJsonValue const v : value.value("previous").toArray())
    before = before || core::toStdString(v.toObject().value("link").toString()) == partialView_.self().link;
  view.joining = !before;
  view.joinedAt = now;
  partialView_.setRoster(revision, contacts);
  roster_ = std::move(view);
}

void RequestRouter::updateJoining(Tick now) {
  if (roster_.joining && roster_.self && now - roster_.joinedAt >= tuning_.joinTimeout) roster_.joining = false;
}

std::vector<std::string> RequestRouter::controllers(Tick now) const {
  std::set<std::string> out;
  out.insert(membershipLinks_.begin(), membershipLinks_.end());
  for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) out.insert(c.link);
  return std::vector<std::string>(out.begin(), out.end());
}

void RequestRouter::chooseControllers(Tick now) {
  Tick const patience = 2 * tuning_.leaseRequestInterval + tuning_.leaseRequestInterval / 2;
  for (std::string const& link : controllerChoice_) {
    PeerLink& l = controllers_[link];
    if (l.firstUnansweredAt < 0 || now - l.firstUnansweredAt <= patience) continue;
    l.timedOutAt = now;
    l.firstUnansweredAt = -1;
  }
  std::map<std::string, std::string> zones;
  for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) zones[c.link] = c.zone;
  std::map<std::tuple<Tick, bool, std::uint64_t>, std::string> ranked;
  std::vector<std::string> known = controllers(now);
  if (known.empty()) known = partialView_.seeds();
  for (std::string const& link : known) {
    PeerLink& l = controllers_[link];
    bool const silent = l.timedOutAt >= 0 && now - l.timedOutAt < tuning_.unresponsivePeerTimeout;
    ranked[{silent ? l.timedOutAt : 0, zones[link] != partialView_.self().zone,
            core::stableHash(link + partialView_.self().link)}] = link;
  }
  controllerChoice_.clear();
  std::size_t live = 0;
  for (std::map<std::tuple<Tick, bool, std::uint64_t>, std::string>::value_type const& r : ranked) {
    if (live >= tuning_.controllerLinkCount || controllerChoice_.size() >= tuning_.maxControllerLinks) break;
    PeerLink const& l = controllers_.at(r.second);
    live += l.lastUsefulAt >= 0 && now - l.lastUsefulAt <= patience ? 1 : 0;
    controllerChoice_.push_back(r.second);
  }
}

void RequestRouter::sendLeaseRequest(RouterCommands& out, Tick now, std::string const& to) {
  PeerLink& l = controllers_[to];
  l.openedAt = now;
  if (l.firstUnansweredAt < 0) l.firstUnansweredAt = now;
  transport::ServingLeaseRequest ask{now, partialView_.self(), !snapshotApplied_, false, configuration_.digest(), {}};
  if (l.revisionsRequested) {
    ask.revisions = configuration_.revisions();
    l.revisionsRequested = false;
    l.announcedAt = now;
  }
  out.sends.push_back(transport::Send{to, std::move(ask)});
}

std::vector<std::string> RequestRouter::chooseNeighbours(Tick now, std::size_t wanted, Tick every) {
  std::vector<std::string> known = otherRouters();
  if (known.empty() || !snapshotApplied_)
    for (transport::Contact const& c : partialView_.ofRole(transport::routerRole, now)) known.push_back(c.link);
  std::sort(known.begin(), known.end());
  known.erase(std::unique(known.begin(), known.end()), known.end());
  std::erase_if(neighbours_, [&](std::map<std::string, PeerLink>::value_type const& n) {
    bool const silent = n.second.firstUnansweredAt >= 0 && now - n.second.firstUnansweredAt > every + every / 2;
    if (silent) unresponsiveSince_[n.first] = now;
    return silent || now - n.second.openedAt > tuning_.neighbourRotationPeriod ||
           !std::binary_search(known.begin(), known.end(), n.first);
  });
  std::function<bool(std::string const&)> const near = [&](std::string const& link) {
    std::map<std::string, std::string>::const_iterator const it = roster_.zones.find(link);
    return it != roster_.zones.end() && it->second == partialView_.self().zone;
  };
  std::vector<std::string> free;
  for (std::string const& link : known)
    if (neighbours_.count(link) == 0) free.push_back(link);
  for (std::size_t i = free.size(); i > 1; --i) std::swap(free[i - 1], free[rng_.below(i)]);
  std::stable_sort(free.begin(), free.end(), [&](std::string const& a, std::string const& b) {
    std::function<bool(std::string const&)> const silent = [&](std::string const& link) {
      std::map<std::string, Tick>::const_iterator const it = unresponsiveSince_.find(link);
      return it != unresponsiveSince_.end() && now - it->second < tuning_.unresponsivePeerTimeout;
    };
    return !silent(a) && silent(b);
  });
  while (neighbours_.size() > wanted)
    neighbours_.erase(std::next(neighbours_.begin(), static_cast<std::ptrdiff_t>(rng_.below(neighbours_.size()))));
  while (neighbours_.size() < wanted && !free.empty()) {
    std::size_t nearOnes = 0;
    for (std::map<std::string, PeerLink>::value_type const& n : neighbours_) nearOnes += near(n.first) ? 1 : 0;
    bool const wantNear = 3 * nearOnes < wanted;
    std::vector<std::string>::iterator it = std::find_if(free.begin(), free.end(), [&](std::string const& l) {
      std::map<std::string, Tick>::const_iterator const s = unresponsiveSince_.find(l);
      return near(l) == wantNear &&
             (s == unresponsiveSince_.end() || now - s->second >= tuning_.unresponsivePeerTimeout);
    });
    if (it == free.end()) it = free.begin();
    neighbours_[*it].openedAt =
        now - static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(tuning_.neighbourRotationPeriod / 2)));
    free.erase(it);
  }
  std::vector<std::string> out;
  for (std::map<std::string, PeerLink>::value_type const& n : neighbours_) out.push_back(n.first);
  return out;
}

void RequestRouter::sendHeartbeats(RouterCommands& out, Tick now) {
  bool const lacking =
      tuning_.leaseRequired ? !hasLeaseWithin(now, 2 * tuning_.leaseRequestInterval) : !snapshotApplied_;
  Tick const every = lacking ? tuning_.heartbeatInterval : tuning_.idleHeartbeatInterval;
  if (now - lastHeartbeatAt_ < every) return;
  lastHeartbeatAt_ = now;
  transport::PeerHeartbeat touch;
  touch.sentAt = now;
  touch.hasSnapshot = snapshotApplied_;
  touch.link = partialView_.self().link;
  touch.digest = configuration_.digest();
  touch.wantsAges = lacking;
  touch.removalHints = removalHints();
  bool const wantWhole = !snapshotApplied_ && !snapshotSeen_ && now - startedAt_ > 2000;
  std::vector<std::string> const to =
      chooseNeighbours(now, lacking ? tuning_.neighbourCount : tuning_.idleNeighbourCount, every);
  std::size_t const asked = wantWhole && !to.empty() ? rng_.below(to.size()) : to.size();
  for (std::size_t i = 0; i < to.size(); ++i) {
    PeerLink& n = neighbours_[to[i]];
    if (n.firstUnansweredAt < 0) n.firstUnansweredAt = now;
    touch.wantsSnapshot = i == asked;
    out.sends.push_back(transport::Send{to[i], touch});
  }
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::PeerHeartbeat const& m) {
  if (m.link != from) return;
  for (transport::EndpointRemovalHint const& h : m.removalHints) applyRemovalHint(out, now, h);
  if (!m.isReply) {
    transport::PeerHeartbeat echo;
    echo.sentAt = m.sentAt;
    echo.isReply = true;
    echo.hasSnapshot = snapshotApplied_;
    echo.link = partialView_.self().link;
    echo.digest = configuration_.digest();
    if (!(m.digest == configuration_.digest())) echo.revisions = configuration_.revisions();
    if (m.wantsAges && snapshotApplied_) {
      echo.rosterRevision = roster_.revision;
      echo.ages = encodeAges(now);
    }
    echo.removalHints = removalHints();
    out.sends.push_back(transport::Send{from, std::move(echo)});
    if (m.wantsSnapshot && snapshotApplied_) {
      transport::ConfigurationUpdate snapshot;
      snapshot.isSnapshot = true;
      snapshot.entries = configuration_.all();
      out.sends.push_back(transport::Send{from, std::move(snapshot)});
    }
    return;
  }
  std::map<std::string, PeerLink>::iterator const n = neighbours_.find(from);
  if (n != neighbours_.end()) n->second.firstUnansweredAt = -1;
  if (m.sentAt > now) return;
  if (configuration_.covers(m.digest, m.revisions)) {
    recordHeartbeat(from, m);
  } else {
    pendingHeartbeats_[from] = m;
  }
  adoptSnapshot(out, now, from);
  if (!(transport::digestOf(m.revisions) == m.digest)) return;
  for (transport::Revisions::value_type const& s : m.revisions) {
    if (revisionOf(s.first) >= s.second) continue;
    Tick& at = valueRequestedAt_[s.first];
    if (at != 0 && now - at < tuning_.heartbeatInterval) continue;
    at = now;
    out.sends.push_back(transport::Send{from, transport::ValueRequest{s.first, false, "", 0}});
  }
  if (snapshotApplied_ && m.hasSnapshot && m.digest.count > 0 && !(m.digest == configuration_.digest()))
    sendMissing(out, from, m.revisions);
}

}  // namespace corkward::dataplane
