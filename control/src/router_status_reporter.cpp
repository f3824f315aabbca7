#include <corkward/control/router_status_reporter.h>

#include <algorithm>

namespace corkward::control {

namespace {

/// Largest number of rollouts that one report queries or reports on.
constexpr std::size_t maxRollouts = 32;

/// Returns which of the routers that this controller serves have the queried revision of the key.
transport::RolloutProgress progressOf(transport::RolloutProgress const& query, Roster const& roster,
                                      RouterRegistry const& routers, CommittedValues const& values) {
  transport::RolloutProgress progress{query.key, query.revision, {}};
  bool const isCommitted = revisionOf(values, query.key) >= query.revision;
  for (std::size_t position = 0; position < roster.bitPositions().size(); ++position) {
    RouterRegistry::Router const* const router = routers.find(roster.bitPositions()[position]);
    if (router == nullptr || !router->hasSession()) continue;
    auto const missing = router->missingRevisions.find(query.key);
    bool const has = missing == router->missingRevisions.end() ? isCommitted && router->revisionsKnown
                                                               : missing->second >= query.revision;
    if (has) progress.acknowledgedBy.set(position);
  }
  return progress;
}

}  // namespace

transport::RouterStatusReport RouterStatusReporter::status(Milliseconds now, Roster const& roster,
                                                           RouterRegistry const& routers) const {
  auto const requestedLately = [&](RouterRegistry::Router const& router) {
    return router.hasSession() && now - router.lastRequestAt <= tuning_.routerSessionTimeout;
  };
  transport::RouterStatusReport report;
  report.rosterRevision = roster.revision();
  report.committedDigest = routers.committedDigest();
  for (std::size_t position = 0; position < roster.bitPositions().size(); ++position) {
    RouterRegistry::Router const* const router = routers.find(roster.bitPositions()[position]);
    if (router == nullptr || !router->hasSession()) continue;
    if (requestedLately(*router)) report.recentlyContacted.set(position);
    if (router->isUpToDate()) report.upToDate.set(position);
  }
  for (auto const& [link, router] : routers.all())
    if (requestedLately(router) && roster.nodes().count(link) == 0) report.unlistedRouters.push_back(router.contact);
  return report;
}

Milliseconds RouterStatusReporter::pauseAfter(Milliseconds now, std::optional<Milliseconds> newestSince) const {
  if (!newestSince) return tuning_.statusReportEvery;
  bool const isYoung = now - *newestSince < tuning_.rolloutStartPeriod;
  return isYoung ? tuning_.statusReportAtRolloutStart : tuning_.statusReportDuringRollout;
}

std::optional<transport::RouterStatusReport> RouterStatusReporter::dueReport(Milliseconds now, Roster const& roster,
                                                                             RouterRegistry const& routers,
                                                                             RolloutTracker const& rollouts) {
  if (now < nextReportAt_) return std::nullopt;
  transport::RouterStatusReport report = status(now, roster, routers);
  std::optional<Milliseconds> newestSince;
  auto const addQuery = [&](std::string const& key, std::uint64_t revision, Milliseconds since) {
    newestSince = std::max(newestSince.value_or(since), since);
    if (report.incompleteRollouts.size() < maxRollouts)
      report.incompleteRollouts.push_back(transport::RolloutProgress{key, revision, {}});
  };
  for (PendingRolloutReply const& reply : rollouts.pendingReplies()) addQuery(reply.key, reply.revision, reply.since);
  for (std::string const& key : rollouts.incomplete()) {
    RolloutTracker::Rollout const& rollout = *rollouts.find(key);
    addQuery(key, rollout.revision, rollout.since);
  }
  nextReportAt_ = now + pauseAfter(now, newestSince);
  return report;
}

transport::RouterStatusReport RouterStatusReporter::replyTo(Milliseconds now,
                                                            transport::RouterStatusReport const& report,
                                                            Roster const& roster, RouterRegistry const& routers,
                                                            CommittedValues const& values) const {
  transport::RouterStatusReport reply = status(now, roster, routers);
  for (transport::RolloutProgress const& query : report.incompleteRollouts) {
    if (reply.rolloutProgress.size() >= maxRollouts) break;
    reply.rolloutProgress.push_back(progressOf(query, roster, routers, values));
  }
  return reply;
}

}  // namespace corkward::control
