#include <corkward/gossip/partial_view.h>

#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>

namespace corkward::gossip {

namespace {

/// Incarnations are milliseconds of the wall clock and stay far below this. Contacts with a greater one are ignored.
constexpr std::uint64_t maxIncarnation = std::uint64_t{1} << 52;

}  // namespace

std::vector<transport::Contact> rosterContacts(QJsonObject const& roster) {
  std::vector<transport::Contact> out;
  for (QJsonValue const v : roster.value("nodes").toArray()) {
    transport::Contact c;
    c.link = core::toStdString(v.toObject().value("link").toString());
    c.httpAddress = core::toStdString(v.toObject().value("http").toString());
    c.zone = core::toStdString(v.toObject().value("zone").toString());
    c.role = transport::routerRole;
    out.push_back(std::move(c));
  }
  return out;
}

PartialView::PartialView(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed)
    : self_(std::move(self)), seeds_(std::move(seeds)), rng_(seed) {}

void PartialView::merge(Milliseconds now, transport::Contact const& contact) {
  if (contact.link.empty() || contact.age < 0 || contact.age > removalTimeout || contact.incarnation > maxIncarnation)
    return;
  if (contact.link == self_.link) {
    if (contact.incarnation > self_.incarnation) self_.incarnation = contact.incarnation + 1;
    return;
  }
  KnownContact& known = view_[contact.link];
  Milliseconds const at = now - contact.age;
  if (contact.incarnation < known.contact.incarnation ||
      (contact.incarnation == known.contact.incarnation && at <= known.lastContactAt && known.lastContactAt != 0))
    return;
  known.contact = contact;
  known.lastContactAt = at;
  if (view_.size() <= maxViewSize) return;
  auto const oldest = std::min_element(view_.begin(), view_.end(), [](auto const& a, auto const& b) {
    return a.second.lastContactAt < b.second.lastContactAt;
  });
  view_.erase(oldest);
}

void PartialView::setRoster(std::uint64_t revision, std::vector<transport::Contact> routers) {
  std::sort(routers.begin(), routers.end(),
            [](transport::Contact const& a, transport::Contact const& b) { return a.link < b.link; });
  rosterRevision_ = revision;
  roster_ = std::move(routers);
  lastPeerHasSameRoster_ = false;
}

std::ptrdiff_t PartialView::rosterPosition(transport::Contact const& contact) const {
  auto const it = std::lower_bound(roster_.begin(), roster_.end(), contact.link,
                                   [](transport::Contact const& c, std::string const& link) { return c.link < link; });
  bool const same = it != roster_.end() && it->link == contact.link && it->httpAddress == contact.httpAddress &&
                    it->role == contact.role && it->zone == contact.zone && it->draining == contact.draining;
  return same ? it - roster_.begin() : -1;
}

transport::GossipShuffle PartialView::sample(Milliseconds now, bool wantsReply, bool compact) {
  std::vector<transport::Contact> out;
  for (auto const& [link, known] : view_) {
    out.push_back(known.contact);
    out.back().age = now - known.lastContactAt;
  }
  for (std::size_t i = out.size(); i > 1; --i) std::swap(out[i - 1], out[rng_.below(i)]);
  if (out.size() > sampleSize) out.resize(sampleSize);
  transport::GossipShuffle shuffle;
  shuffle.reply = wantsReply;
  shuffle.rosterRevision = rosterRevision_;
  for (transport::Contact& c : out) {
    std::ptrdiff_t const position = compact ? rosterPosition(c) : -1;
    if (position < 0)
      shuffle.contacts.push_back(std::move(c));
    else
      shuffle.compactContacts.insert(shuffle.compactContacts.end(), {static_cast<std::uint64_t>(position),
                                                                     c.incarnation, static_cast<std::uint64_t>(c.age)});
  }
  shuffle.contacts.push_back(self_);
  return shuffle;
}

std::vector<transport::Send> PartialView::onShuffle(Milliseconds now, std::string const& from,
                                                    transport::GossipShuffle const& shuffle) {
  lastPeerHasSameRoster_ = rosterRevision_ > 0 && shuffle.rosterRevision == rosterRevision_;
  for (transport::Contact const& c : shuffle.contacts) merge(now, c);
  for (std::size_t i = 0; lastPeerHasSameRoster_ && i + 2 < shuffle.compactContacts.size(); i += 3) {
    if (shuffle.compactContacts[i] >= roster_.size()) continue;
    transport::Contact c = roster_[shuffle.compactContacts[i]];
    c.incarnation = shuffle.compactContacts[i + 1];
    c.age = static_cast<std::int64_t>(shuffle.compactContacts[i + 2]);
    merge(now, c);
  }
  std::vector<transport::Send> out;
  if (shuffle.reply) out.push_back(transport::Send{from, sample(now, false, lastPeerHasSameRoster_)});
  return out;
}

std::vector<transport::Send> PartialView::onDirectContact(Milliseconds now, transport::Contact const& contact) {
  auto const it = view_.find(contact.link);
  std::vector<transport::Send> out;
  if (it != view_.end() && it->second.contact.incarnation > contact.incarnation)
    out.push_back(
        transport::Send{contact.link, transport::GossipShuffle{{it->second.contact}, false, rosterRevision_, {}}});
  else
    merge(now, contact);
  return out;
}

std::vector<transport::Send> PartialView::clockEvent(Milliseconds now) {
  std::vector<transport::Send> out;
  if (now < nextShuffleAt_) return out;
  nextShuffleAt_ = now + (view_.size() < smallViewSize ? initialShuffleInterval : shuffleInterval);
  for (auto it = view_.begin(); it != view_.end();)
    it = now - it->second.lastContactAt > removalTimeout ? view_.erase(it) : std::next(it);
  std::vector<std::string> targets;
  for (auto const& [link, known] : view_) targets.push_back(link);
  if (!targets.empty()) {
    std::string const to = targets[rng_.below(targets.size())];
    out.push_back(transport::Send{to, sample(now, true, lastPeerHasSameRoster_)});
  }
  if (!seeds_.empty() && (targets.size() < 3 || rng_.chance(0.1))) {
    std::string const seed = seeds_[rng_.below(seeds_.size())];
    if (seed != self_.link) out.push_back(transport::Send{seed, sample(now, true, lastPeerHasSameRoster_)});
  }
  return out;
}

std::vector<transport::Contact> PartialView::ofRole(std::string const& role, Milliseconds now) const {
  std::vector<transport::Contact> out;
  for (auto const& [link, known] : view_) {
    if (known.contact.role != role) continue;
    out.push_back(known.contact);
    out.back().age = now - known.lastContactAt;
  }
  return out;
}

Milliseconds PartialView::age(std::string const& link, Milliseconds now) const {
  auto const it = view_.find(link);
  return it == view_.end() ? -1 : now - it->second.lastContactAt;
}

Liveness PartialView::liveness(std::string const& link, Milliseconds now) const {
  Milliseconds const a = age(link, now);
  if (a < 0) return Liveness::unknown;
  return a > suspectTimeout ? Liveness::suspected : Liveness::alive;
}

}  // namespace corkward::gossip
