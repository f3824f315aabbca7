// What each router has of the committed keys, what it is sent, and what controllers tell one another of that.
#include <algorithm>
#include <functional>
#include <iterator>

#include <corkward/config/config.h>

#include "internal.h"

namespace corkward::control {

namespace {

/// Keys that one message between controllers asks about at the most.
constexpr std::size_t maxAsked = 32;

}  // namespace

void Controller::committed(Tick now, consensus::CommittedValue const& c) {
  checkCommitted(c);
  if (c.key == rosterKey) {
    rosterCommittedAt_ = now;
    foldRoster(c.value);
    partialView_.setRoster(c.revision, gossip::rosterContacts(c.value));
  }
  if (c.key == config::fleetConfigurationKey) {
    wholePools_.clear();
    for (QJsonValue const p : c.value.value("spec").toObject().value("pools").toArray())
      wholePools_.insert(core::toStdString(p.toObject().value("name").toString()));
    std::map<std::string, quota::Limit> limits;
    for (config::Tenant const& t : config::readFleetConfiguration(c.value.value("spec").toObject()).tenants)
      if (t.ratePerSecond > 0) limits[t.name] = quota::Limit{t.ratePerSecond, t.burst};
    lender_.configure(now, std::move(limits));
  }
  Settling& s = settling_[c.key];
  std::uint64_t const before = s.revision;
  s.revision = c.revision;
  s.since = now;
  s.majorityAt = -1;
  s.inForce = false;
  unsettled_.insert(c.key);
  holdingAt_ = now;
  digest_.replace(c.key, before, c.revision);
  for (std::map<std::string, Router>::value_type& n : routers_)
    if (n.second.asked >= 0) n.second.behind.try_emplace(c.key, n.second.known ? before : 0);
}

void Controller::learned(std::string const& link, std::string const& key, std::uint64_t revision) {
  std::map<std::string, Settling>::iterator const it = settling_.find(key);
  if (it == settling_.end() || (it->second.inForce && key != rosterKey)) return;
  std::uint64_t& has = it->second.has[link];
  has = std::max(has, revision);
}

void Controller::learnedAll(std::string const& link, Router& n) {
  for (std::string const& key : unsettled_) learned(link, key, settling_.at(key).revision);
  learned(link, rosterKey, committedRevision(rosterKey));
  n.behind.clear();
  n.pushed.clear();
  n.known = n.asked >= 0;
}

bool Controller::hasAll(std::string const& link, Router& n, transport::Digest const& digest) {
  if (!(digest == digest_)) return false;
  learnedAll(link, n);
  return true;
}

Controller::Router* Controller::heardFrom(Tick now, std::string const& link, std::uint64_t inc) {
  Router& n = routers_[link];
  if (inc < n.contact.incarnation) return nullptr;
  if (inc > n.contact.incarnation) {
    n.known = false;
    n.behind.clear();
    n.pushed.clear();
    n.wantWhole = -1;
    n.contact.incarnation = inc;
    n.contact.link = link;
  }
  n.heard = now;
  n.refusedAt = -1;
  return &n;
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from, transport::ConfigurationAck const& m) {
  if (m.link.empty() || m.link != from) return;
  Router* const n = heardFrom(now, from, m.incarnation);
  if (n == nullptr) return;
  if (!hasAll(from, *n, m.digest)) {
    for (transport::Revisions::value_type const& s : m.revisions) {
      learned(from, s.first, s.second);
      transport::Revisions::iterator const behind = n->behind.find(s.first);
      if (behind == n->behind.end()) continue;
      behind->second = std::max(behind->second, s.second);
      if (behind->second < committedRevision(s.first)) continue;
      n->behind.erase(behind);
      n->pushed.erase(s.first);
    }
  }
  checkForces(out, now);
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from,
                    transport::ServingLeaseRequest const& m) {
  if (m.sender.link.empty() || m.sender.link != from) return;
  std::vector<transport::Send> sends = partialView_.heard(now, m.sender);
  std::move(sends.begin(), sends.end(), std::back_inserter(out.sends));
  bool const current = heardFrom(now, from, m.sender.incarnation) != nullptr;
  Router& n = routers_[from];
  n.contact = m.sender;
  n.asked = now;
  if (m.wantsSnapshot && n.wantWhole < 0) n.wantWhole = now;
  if (!m.wantsSnapshot) n.wantWhole = -1;
  bool exact = current && hasAll(from, n, m.digest);
  if (current && !exact && transport::digestOf(m.revisions) == m.digest) {
    exact = true;
    n.known = true;
    n.behind.clear();
    for (std::map<std::string, consensus::CommittedValue>::value_type const& k : registers_.committed()) {
      transport::Revisions::const_iterator const have = m.revisions.find(k.first);
      std::uint64_t const revision = have == m.revisions.end() ? 0 : have->second;
      if (revision > 0) learned(from, k.first, revision);
      if (revision < k.second.revision) n.behind[k.first] = revision;
    }
  } else if (current && !exact && n.known) {
    transport::Digest expected = digest_;
    for (transport::Revisions::value_type const& b : n.behind)
      expected.replace(b.first, committedRevision(b.first), b.second);
    exact = expected == m.digest;
  }
  transport::ServingLeaseGrant c;
  c.requestSentAt = m.sentAt;
  Tick const age = registers_.quorumContactAge(now);
  c.hasQuorum = age >= 0 && age <= tuning_.servingLeaseDuration;
  c.quorumAge = std::max<Tick>(age, 0);
  c.digest = digest_;
  if (!(m.digest == digest_))
    for (std::map<std::string, consensus::CommittedValue>::value_type const& k : registers_.committed())
      c.revisions[k.first] = k.second.revision;
  c.wantsRevisions = !exact;
  c.rosterRevision = rosterInForce() ? committedRevision(rosterKey) : 0;
  for (std::map<std::string, transport::EndpointRemovalHint>::iterator h = hints_.begin(); h != hints_.end();)
    h = h->second.generation <= generationOf(h->first) ? hints_.erase(h) : std::next(h);
  for (std::map<std::string, transport::EndpointRemovalHint>::value_type const& h : hints_)
    c.removalHints.push_back(h.second);
  out.sends.push_back(transport::Send{from, c});
  push(out, now, from, n);
  checkForces(out, now);
}

void Controller::push(ControllerCommands& out, Tick now, std::string const& link, Router& n) {
  if (n.asked < 0) return;
  if (now - n.asked > 10000) {
    n.asked = -1;
    n.known = false;
    n.behind.clear();
    n.pushed.clear();
    n.wantWhole = -1;
    return;
  }
  Tick const age = registers_.quorumContactAge(now);
  bool const confirmed = age >= 0 && now - age >= n.wantWhole;
  transport::ConfigurationUpdate news;
  news.isSnapshot = n.wantWhole >= 0 && confirmed;
  std::function<void(std::string const&)> const add = [&](std::string const& key) {
    std::map<std::string, consensus::CommittedValue>::const_iterator const k = registers_.committed().find(key);
    if (k == registers_.committed().end()) return;
    n.pushed[key] = {k->second.revision, now};
    news.entries.push_back(transport::CommittedEntry{key, k->second.revision, config::withoutHistory(k->second.value)});
  };
  if (news.isSnapshot) {
    n.wantWhole = -1;
    for (std::map<std::string, consensus::CommittedValue>::value_type const& k : registers_.committed()) add(k.first);
  } else {
    for (transport::Revisions::value_type const& b : n.behind) {
      std::map<std::string, std::pair<std::uint64_t, Tick>>::const_iterator const before = n.pushed.find(b.first);
      bool const again = before != n.pushed.end() && before->second.first >= committedRevision(b.first) &&
                         now - before->second.second < tuning_.repushEvery;
      if (!again) add(b.first);
    }
    if (news.entries.empty()) return;
  }
  news.number = ++n.number;
  journal_.append(now, "news_pushed", link);
  out.sends.push_back(transport::Send{link, std::move(news)});
}

transport::RouterStatusReport Controller::holding(Tick now) const {
  transport::RouterStatusReport h;
  h.rosterRevision = committedRevision(rosterKey);
  h.committedDigest = digest_;
  for (std::size_t place = 0; place < roster_.places.size(); ++place) {
    std::map<std::string, Router>::const_iterator const n = routers_.find(roster_.places[place]);
    if (n == routers_.end() || n->second.asked < 0) continue;
    if (now - n->second.asked <= tuning_.routerSessionTimeout) h.recentlyHeard.set(place);
    if (n->second.known && n->second.behind.empty()) h.upToDate.set(place);
  }
  for (std::map<std::string, Router>::value_type const& n : routers_)
    if (n.second.asked >= 0 && now - n.second.asked <= tuning_.routerSessionTimeout &&
        roster_.nodes.count(n.first) == 0)
      h.unlistedRouters.push_back(n.second.contact);
  return h;
}

void Controller::tellHolding(ControllerCommands& out, Tick now) {
  if (now < holdingAt_) return;
  transport::RouterStatusReport h = holding(now);
  Tick youngest = -1;
  std::function<void(std::string const&, std::uint64_t, Tick)> const ask = [&](std::string const& key,
                                                                               std::uint64_t revision, Tick since) {
    youngest = std::max(youngest, since);
    if (h.incompleteRollouts.size() < maxAsked)
      h.incompleteRollouts.push_back(transport::RolloutProgress{key, revision, {}});
  };
  for (Force const& f : forces_) ask(f.key, f.revision, f.since);
  for (std::string const& key : unsettled_) ask(key, settling_.at(key).revision, settling_.at(key).since);
  bool const young = youngest >= 0 && now - youngest < tuning_.rolloutStartPeriod;
  holdingAt_ = now + (h.incompleteRollouts.empty() ? tuning_.statusReportEvery
                      : young                      ? tuning_.statusReportAtRolloutStart
                                                   : tuning_.statusReportDuringRollout);
  for (consensus::Member const& m : registers_.membership())
    if (m.link != registers_.self().link) out.sends.push_back(transport::Send{m.link, h});
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from,
                    transport::RouterStatusReport const& m) {
  std::function<bool(consensus::Member const&)> const sender = [&](consensus::Member const& c) {
    return c.link == from;
  };
  if (std::none_of(registers_.membership().begin(), registers_.membership().end(), sender)) return;
  for (transport::Contact const& c : m.unlistedRouters) {
    if (c.link.empty() || c.role != transport::routerRole) continue;
    Router& n = routers_[c.link];
    if (n.asked >= 0 || c.incarnation < n.contact.incarnation) continue;
    n.contact = c;
    n.heard = now;
  }
  if (m.rosterRevision > 0 && m.rosterRevision == committedRevision(rosterKey)) {
    for (std::size_t place = 0; place < roster_.places.size(); ++place) {
      std::string const& link = roster_.places[place];
      if (m.recentlyHeard.test(place)) routers_[link].heard = now;
      if (m.committedDigest == digest_ && m.upToDate.test(place))
        for (std::string const& key : unsettled_) learned(link, key, settling_.at(key).revision);
      for (transport::RolloutProgress const& r : m.rolloutProgress)
        if (r.acknowledgedBy.test(place)) learned(link, r.key, r.revision);
    }
    checkForces(out, now);
  }
  if (m.incompleteRollouts.empty()) return;
  transport::RouterStatusReport answer = holding(now);
  for (transport::RolloutProgress const& asked : m.incompleteRollouts) {
    if (answer.rolloutProgress.size() >= maxAsked) break;
    transport::RolloutProgress r{asked.key, asked.revision, {}};
    bool const have = committedRevision(asked.key) >= asked.revision;
    for (std::size_t place = 0; place < roster_.places.size(); ++place) {
      std::map<std::string, Router>::const_iterator const n = routers_.find(roster_.places[place]);
      if (n == routers_.end() || n->second.asked < 0) continue;
      transport::Revisions::const_iterator const behind = n->second.behind.find(asked.key);
      if (behind == n->second.behind.end() ? have && n->second.known : behind->second >= asked.revision)
        r.acknowledgedBy.set(place);
    }
    answer.rolloutProgress.push_back(std::move(r));
  }
  out.sends.push_back(transport::Send{from, std::move(answer)});
}

}  // namespace corkward::control
