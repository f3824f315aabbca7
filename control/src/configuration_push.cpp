// Pushes the configuration to the routers, and exchanges reports with the other controllers about which revisions the
// routers have.
#include <algorithm>

#include <corkward/control/controller.h>

#include "events.h"
#include "keys.h"
#include "sends.h"

namespace corkward::control {

void Controller::pushConfiguration(ControllerCommands& out, Milliseconds now, std::string const& link) {
  std::optional<transport::ConfigurationUpdate> update = routers_.nextUpdate(now, link, values(), quorumContact(now));
  if (!update) return;
  journal_.append(now, events::configurationPushed, link);
  out.sends.push_back(transport::Send{link, *std::move(update)});
}

void Controller::pushConfigurationToAll(ControllerCommands& out, Milliseconds now) {
  for (auto const& [link, router] : routers_.all()) pushConfiguration(out, now, link);
}

void Controller::recordUpToDate(std::string const& link, RouterRegistry::Router& router) {
  rollouts_.recordUpToDate(link);
  rollouts_.recordAcknowledged(link, rosterKey, roster_.revision());
  router.markUpToDate();
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    transport::ConfigurationAck const& ack) {
  if (ack.link.empty() || ack.link != from) return;
  RouterRegistry::Router* const router = routers_.recordContact(now, from, ack.incarnation);
  if (router == nullptr) return;
  if (ack.digest == routers_.committedDigest()) {
    recordUpToDate(from, *router);
  } else {
    for (auto const& [key, revision] : ack.revisions) {
      rollouts_.recordAcknowledged(from, key, revision);
      RouterRegistry::recordAcknowledged(*router, key, revision, revisionOf(values(), key));
    }
  }
  completeRolloutReplies(out, now);
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    transport::ServingLeaseRequest const& request) {
  if (request.sender.link.empty() || request.sender.link != from) return;
  appendSends(out, partialView_.onDirectContact(now, request.sender));
  RouterRegistry::Router* const router = routers_.recordContact(now, from, request.sender.incarnation);
  routers_.recordRequest(now, request);
  bool const revisionsKnown = router != nullptr && updateKnownRevisions(*router, request);
  out.sends.push_back(transport::Send{from, servingLeaseGrant(now, request, revisionsKnown)});
  pushConfiguration(out, now, from);
  completeRolloutReplies(out, now);
}

bool Controller::updateKnownRevisions(RouterRegistry::Router& router, transport::ServingLeaseRequest const& request) {
  std::string const& link = request.sender.link;
  if (request.digest == routers_.committedDigest()) {
    recordUpToDate(link, router);
    return true;
  }
  bool const hasAllRevisions = transport::digestOf(request.revisions) == request.digest;
  if (!hasAllRevisions) return routers_.matchesKnownRevisions(router, request.digest, values());
  RouterRegistry::recordRevisions(router, request.revisions, values());
  for (auto const& [key, revision] : request.revisions)
    if (revision > 0) rollouts_.recordAcknowledged(link, key, revision);
  return true;
}

transport::ServingLeaseGrant Controller::servingLeaseGrant(Milliseconds now,
                                                           transport::ServingLeaseRequest const& request,
                                                           bool revisionsKnown) {
  Milliseconds const quorumAge = registers_.quorumContactAge(now);
  transport::ServingLeaseGrant grant;
  grant.requestSentAt = request.sentAt;
  grant.hasQuorum = quorumAge >= 0 && quorumAge <= tuning_.servingLeaseDuration;
  grant.quorumAge = std::max<Milliseconds>(quorumAge, 0);
  grant.digest = routers_.committedDigest();
  if (request.digest != grant.digest)
    for (auto const& [key, committed] : values()) grant.revisions[key] = committed.revision;
  grant.wantsRevisions = !revisionsKnown;
  RolloutTracker::Rollout const* const rosterRollout = rollouts_.find(rosterKey);
  grant.rosterRevision = rosterRollout != nullptr && rosterRollout->complete ? roster_.revision() : 0;
  endpointLists_.expireHints(now);
  grant.removalHints = endpointLists_.hints().toForward(now);
  return grant;
}

void Controller::broadcastRouterStatus(ControllerCommands& out, Milliseconds now) {
  std::optional<transport::RouterStatusReport> const report =
      statusReporter_.dueReport(now, roster_, routers_, rollouts_);
  if (!report) return;
  for (consensus::Member const& member : registers_.membership())
    if (member.link != registers_.self().link) out.sends.push_back(transport::Send{member.link, *report});
}

void Controller::recordReport(Milliseconds now, transport::RouterStatusReport const& report) {
  bool const isSameState = report.committedDigest == routers_.committedDigest();
  for (std::size_t position = 0; position < roster_.bitPositions().size(); ++position) {
    std::string const& link = roster_.bitPositions()[position];
    if (report.recentlyContacted.test(position)) routers_.recordReportedContact(now, link);
    if (isSameState && report.upToDate.test(position)) rollouts_.recordUpToDate(link);
    for (transport::RolloutProgress const& progress : report.rolloutProgress)
      if (progress.acknowledgedBy.test(position)) rollouts_.recordAcknowledged(link, progress.key, progress.revision);
  }
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    transport::RouterStatusReport const& report) {
  std::vector<consensus::Member> const& members = registers_.membership();
  bool const isFromMember =
      std::any_of(members.begin(), members.end(), [&](consensus::Member const& member) { return member.link == from; });
  if (!isFromMember) return;
  for (transport::Contact const& contact : report.unlistedRouters)
    if (!contact.link.empty() && contact.role == transport::routerRole) routers_.recordUnlistedRouter(now, contact);
  // The bit positions depend on the roster's revision, so the bits of another revision cannot be interpreted here.
  if (report.rosterRevision > 0 && report.rosterRevision == roster_.revision()) {
    recordReport(now, report);
    completeRolloutReplies(out, now);
  }
  if (report.incompleteRollouts.empty()) return;
  out.sends.push_back(transport::Send{from, statusReporter_.replyTo(now, report, roster_, routers_, values())});
}

void Controller::startProbes(ControllerCommands& out, Milliseconds now) {
  if (rollouts_.pendingReplies().empty()) return;
  for (std::string const& link : roster_.nodes())
    if (rollouts_.awaitsRouter(link) && routers_.startProbe(now, link)) out.probes.push_back(link);
  completeRolloutReplies(out, now);
}

}  // namespace corkward::control
