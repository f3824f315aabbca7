// Who is asked and touched: the roster, the controllers that are held, and the neighbours among the routers.
#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <tuple>

#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::dataplane {

void RequestRouter::foldRoster(Tick now, std::uint64_t revision, QJsonObject const& value) {
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

void RequestRouter::watchJoining(Tick now) {
  if (roster_.joining && roster_.self && now - roster_.joinedAt >= tuning_.joinLimit) roster_.joining = false;
}

std::vector<std::string> RequestRouter::controllers(Tick now) const {
  std::set<std::string> out;
  out.insert(membershipLinks_.begin(), membershipLinks_.end());
  for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) out.insert(c.link);
  return std::vector<std::string>(out.begin(), out.end());
}

void RequestRouter::chooseControllers(Tick now) {
  Tick const patience = 2 * tuning_.askEvery + tuning_.askEvery / 2;
  for (std::string const& link : held_) {
    HeldLink& l = controllers_[link];
    if (l.unanswered < 0 || now - l.unanswered <= patience) continue;
    l.silentAt = now;
    l.unanswered = -1;
  }
  std::map<std::string, std::string> zones;
  for (transport::Contact const& c : partialView_.ofRole(transport::controllerRole, now)) zones[c.link] = c.zone;
  std::map<std::tuple<Tick, bool, std::uint64_t>, std::string> ranked;
  std::vector<std::string> known = controllers(now);
  if (known.empty()) known = partialView_.seeds();
  for (std::string const& link : known) {
    HeldLink& l = controllers_[link];
    bool const silent = l.silentAt >= 0 && now - l.silentAt < tuning_.passOver;
    ranked[{silent ? l.silentAt : 0, zones[link] != partialView_.self().zone,
            core::stableHash(link + partialView_.self().link)}] = link;
  }
  held_.clear();
  std::size_t live = 0;
  for (std::map<std::tuple<Tick, bool, std::uint64_t>, std::string>::value_type const& r : ranked) {
    if (live >= tuning_.heldLinks || held_.size() >= tuning_.heldLinksMost) break;
    HeldLink const& l = controllers_.at(r.second);
    live += l.good >= 0 && now - l.good <= patience ? 1 : 0;
    held_.push_back(r.second);
  }
}

void RequestRouter::sendAsk(RouterCommands& out, Tick now, std::string const& to) {
  HeldLink& l = controllers_[to];
  l.since = now;
  if (l.unanswered < 0) l.unanswered = now;
  transport::ServingLeaseRequest ask{now, partialView_.self(), !whole_, false, digest_, {}};
  if (l.wantRevisions) {
    ask.revisions = revisions();
    l.wantRevisions = false;
    l.namedAt = now;
  }
  out.sends.push_back(transport::Send{to, std::move(ask)});
}

std::vector<std::string> RequestRouter::chooseNeighbours(Tick now, std::size_t wanted, Tick every) {
  std::vector<std::string> known = rosterOthers();
  if (known.empty() || !whole_)
    for (transport::Contact const& c : partialView_.ofRole(transport::routerRole, now)) known.push_back(c.link);
  std::sort(known.begin(), known.end());
  known.erase(std::unique(known.begin(), known.end()), known.end());
  std::erase_if(neighbours_, [&](std::map<std::string, HeldLink>::value_type const& n) {
    bool const silent = n.second.unanswered >= 0 && now - n.second.unanswered > every + every / 2;
    if (silent) silent_[n.first] = now;
    return silent || now - n.second.since > tuning_.neighbourFor ||
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
      std::map<std::string, Tick>::const_iterator const it = silent_.find(link);
      return it != silent_.end() && now - it->second < tuning_.passOver;
    };
    return !silent(a) && silent(b);
  });
  while (neighbours_.size() > wanted)
    neighbours_.erase(std::next(neighbours_.begin(), static_cast<std::ptrdiff_t>(rng_.below(neighbours_.size()))));
  while (neighbours_.size() < wanted && !free.empty()) {
    std::size_t nearOnes = 0;
    for (std::map<std::string, HeldLink>::value_type const& n : neighbours_) nearOnes += near(n.first) ? 1 : 0;
    bool const wantNear = 3 * nearOnes < wanted;
    std::vector<std::string>::iterator it = std::find_if(free.begin(), free.end(), [&](std::string const& l) {
      std::map<std::string, Tick>::const_iterator const s = silent_.find(l);
      return near(l) == wantNear && (s == silent_.end() || now - s->second >= tuning_.passOver);
    });
    if (it == free.end()) it = free.begin();
    neighbours_[*it].since = now - static_cast<Tick>(rng_.below(static_cast<std::uint64_t>(tuning_.neighbourFor / 2)));
    free.erase(it);
  }
  std::vector<std::string> out;
  for (std::map<std::string, HeldLink>::value_type const& n : neighbours_) out.push_back(n.first);
  return out;
}

void RequestRouter::touchNeighbours(RouterCommands& out, Tick now) {
  bool const lacking = tuning_.fenced ? !confirmedWithin(now, 2 * tuning_.askEvery) : !whole_;
  Tick const every = lacking ? tuning_.touchEvery : tuning_.touchAtRest;
  if (now - touchedAt_ < every) return;
  touchedAt_ = now;
  transport::PeerHeartbeat touch;
  touch.sentAt = now;
  touch.hasSnapshot = whole_;
  touch.link = partialView_.self().link;
  touch.digest = digest_;
  touch.wantsAges = lacking;
  touch.removalHints = hints();
  bool const wantWhole = !whole_ && !snapshotSeen_ && now - started_ > 2000;
  std::vector<std::string> const to =
      chooseNeighbours(now, lacking ? tuning_.neighbours : tuning_.neighboursAtRest, every);
  std::size_t const asked = wantWhole && !to.empty() ? rng_.below(to.size()) : to.size();
  for (std::size_t i = 0; i < to.size(); ++i) {
    HeldLink& n = neighbours_[to[i]];
    if (n.unanswered < 0) n.unanswered = now;
    touch.wantsSnapshot = i == asked;
    out.sends.push_back(transport::Send{to[i], touch});
  }
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, transport::PeerHeartbeat const& m) {
  if (m.link != from) return;
  for (transport::EndpointRemovalHint const& h : m.removalHints) takeHint(out, now, h);
  if (!m.isReply) {
    transport::PeerHeartbeat echo;
    echo.sentAt = m.sentAt;
    echo.isReply = true;
    echo.hasSnapshot = whole_;
    echo.link = partialView_.self().link;
    echo.digest = digest_;
    if (!(m.digest == digest_)) echo.revisions = revisions();
    if (m.wantsAges && whole_) {
      echo.rosterRevision = roster_.revision;
      echo.ages = ages(now);
    }
    echo.removalHints = hints();
    out.sends.push_back(transport::Send{from, std::move(echo)});
    if (m.wantsSnapshot && whole_) {
      transport::ConfigurationUpdate news;
      news.isSnapshot = true;
      for (std::map<std::string, Key>::value_type const& k : keys_)
        news.entries.push_back(transport::CommittedEntry{k.first, k.second.revision, k.second.value});
      out.sends.push_back(transport::Send{from, std::move(news)});
    }
    return;
  }
  std::map<std::string, HeldLink>::iterator const n = neighbours_.find(from);
  if (n != neighbours_.end()) n->second.unanswered = -1;
  if (m.sentAt > now) return;
  if (knows(m.digest, m.revisions)) {
    countHeard(from, m);
  } else {
    echoes_[from] = m;
  }
  considerWhole(out, now, from);
  if (!(transport::digestOf(m.revisions) == m.digest)) return;
  for (transport::Revisions::value_type const& s : m.revisions) {
    if (revisionOf(s.first) >= s.second) continue;
    Tick& at = fetchedAt_[s.first];
    if (at != 0 && now - at < tuning_.touchEvery) continue;
    at = now;
    out.sends.push_back(transport::Send{from, transport::ValueRequest{s.first, false, "", 0}});
  }
  if (whole_ && m.hasSnapshot && m.digest.count > 0 && !(m.digest == digest_)) sendMissing(out, from, m.revisions);
}

}  // namespace corkward::dataplane
