#include <corkward/control/router_registry.h>

#include <algorithm>

#include <corkward/config/config.h>

namespace corkward::control {

namespace {

/// The session of a router ends if its last lease request is older than this.
constexpr Milliseconds sessionEndsAfter = 10000;

}  // namespace

void RouterRegistry::Router::markUpToDate() {
  missingRevisions.clear();
  pushesInFlight.clear();
  revisionsKnown = hasSession();
}

void RouterRegistry::Router::forgetRevisions() {
  revisionsKnown = false;
  missingRevisions.clear();
  pushesInFlight.clear();
  snapshotRequestedAt = -1;
}

RouterRegistry::Router const* RouterRegistry::find(std::string const& link) const {
  auto const it = routers_.find(link);
  return it == routers_.end() ? nullptr : &it->second;
}

void RouterRegistry::recordCommitted(std::string const& key, std::uint64_t previousRevision, std::uint64_t revision) {
  committedDigest_.replace(key, previousRevision, revision);
  for (auto& [link, router] : routers_)
    if (router.hasSession()) router.missingRevisions.try_emplace(key, router.revisionsKnown ? previousRevision : 0);
}

RouterRegistry::Router* RouterRegistry::recordContact(Milliseconds now, std::string const& link,
                                                      std::uint64_t incarnation) {
  Router& router = routers_[link];
  if (incarnation < router.contact.incarnation) return nullptr;
  if (incarnation > router.contact.incarnation) {
    router.forgetRevisions();
    router.contact.incarnation = incarnation;
    router.contact.link = link;
  }
  router.lastContactAt = now;
  router.unreachableAt = -1;
  return &router;
}

void RouterRegistry::recordRequest(Milliseconds now, transport::ServingLeaseRequest const& request) {
  Router& router = routers_[request.sender.link];
  router.contact = request.sender;
  router.lastRequestAt = now;
  if (!request.wantsSnapshot)
    router.snapshotRequestedAt = -1;
  else if (router.snapshotRequestedAt < 0)
    router.snapshotRequestedAt = now;
}

void RouterRegistry::recordUnlistedRouter(Milliseconds now, transport::Contact const& contact) {
  Router& router = routers_[contact.link];
  if (router.hasSession() || contact.incarnation < router.contact.incarnation) return;
  router.contact = contact;
  router.lastContactAt = now;
}

void RouterRegistry::recordAcknowledged(Router& router, std::string const& key, std::uint64_t revision,
                                        std::uint64_t committed) {
  auto const missing = router.missingRevisions.find(key);
  if (missing == router.missingRevisions.end()) return;
  missing->second = std::max(missing->second, revision);
  if (missing->second < committed) return;
  router.missingRevisions.erase(missing);
  router.pushesInFlight.erase(key);
}

void RouterRegistry::recordRevisions(Router& router, transport::Revisions const& revisions,
                                     CommittedValues const& values) {
  router.revisionsKnown = true;
  router.missingRevisions.clear();
  for (auto const& [key, value] : values) {
    auto const has = revisions.find(key);
    std::uint64_t const revision = has == revisions.end() ? 0 : has->second;
    if (revision < value.revision) router.missingRevisions[key] = revision;
  }
}

bool RouterRegistry::matchesKnownRevisions(Router const& router, transport::Digest const& digest,
                                           CommittedValues const& values) const {
  if (!router.revisionsKnown) return false;
  transport::Digest expected = committedDigest_;
  for (auto const& [key, revision] : router.missingRevisions) expected.replace(key, revisionOf(values, key), revision);
  return expected == digest;
}

bool RouterRegistry::isInFlight(Milliseconds now, Router const& router, std::string const& key,
                                std::uint64_t committed) const {
  auto const push = router.pushesInFlight.find(key);
  if (push == router.pushesInFlight.end()) return false;
  return push->second.revision >= committed && now - push->second.sentAt < tuning_.repushEvery;
}

std::optional<transport::ConfigurationUpdate> RouterRegistry::nextUpdate(Milliseconds now, std::string const& link,
                                                                         CommittedValues const& values,
                                                                         QuorumContact const& quorumContact) {
  Router& router = routers_[link];
  if (!router.hasSession()) return std::nullopt;
  if (now - router.lastRequestAt > sessionEndsAfter) {
    router.lastRequestAt = -1;
    router.forgetRevisions();
    return std::nullopt;
  }
  transport::ConfigurationUpdate update;
  update.isSnapshot = router.snapshotRequestedAt >= 0 && confirmedSince(quorumContact, router.snapshotRequestedAt);
  auto const add = [&](consensus::CommittedValue const& value) {
    router.pushesInFlight[value.key] = PushInFlight{value.revision, now};
    update.entries.push_back(
        transport::CommittedEntry{value.key, value.revision, config::removeChangeHistory(value.value)});
  };
  if (update.isSnapshot) {
    router.snapshotRequestedAt = -1;
    for (auto const& [key, value] : values) add(value);
  } else {
    for (auto const& [key, revision] : router.missingRevisions) {
      consensus::CommittedValue const* const value = findValue(values, key);
      if (value != nullptr && !isInFlight(now, router, key, value->revision)) add(*value);
    }
    if (update.entries.empty()) return std::nullopt;
  }
  update.number = ++router.updateNumber;
  return update;
}

bool RouterRegistry::startProbe(Milliseconds now, std::string const& link) {
  Router& router = routers_[link];
  bool const hasRecentContact = router.lastContactAt >= 0 && now - router.lastContactAt < tuning_.probeAfter;
  if (hasRecentContact || now - router.probedAt < tuning_.probeAfter) return false;
  router.probedAt = now;
  return true;
}

void RouterRegistry::recordProbeResult(Milliseconds now, std::string const& link, bool refused) {
  auto const it = routers_.find(link);
  if (it != routers_.end()) it->second.unreachableAt = refused ? now : -1;
}

void RouterRegistry::forgetUnresponsive(Milliseconds now, std::set<std::string> const& rosterNodes) {
  std::erase_if(routers_, [&](auto const& entry) {
    auto const& [link, router] = entry;
    bool const isUnresponsive = router.lastContactAt >= 0 && now - router.lastContactAt > tuning_.forgetRouterAfter;
    return isUnresponsive && rosterNodes.count(link) == 0;
  });
}

}  // namespace corkward::control
