#include <corkward/control/controller.h>

#include <iterator>

#include <corkward/config/config.h>
#include <corkward/control/validator.h>

#include "events.h"
#include "json_fields.h"
#include "keys.h"
#include "sends.h"
#include "status_pages.h"

namespace corkward::control {

namespace {

// Each component that uses the seed has its own random stream.
constexpr std::uint64_t gossipStream = 0x51;
constexpr std::uint64_t registersStream = 0x77;

}  // namespace

Controller::Controller(transport::Contact const& self, std::string memberId, std::vector<std::string> seeds,
                       std::vector<std::string> founders, std::uint64_t seed, ControllerTuning tuning)
    : tuning_(tuning),
      partialView_(self, std::move(seeds), seed ^ gossipStream),
      registers_(
          consensus::Member{std::move(memberId), self.link}, std::move(founders),
          [this](std::string const& key, std::uint64_t revision, QJsonObject const& value,
                 transport::OperatorCall const& call) {
            return validateCall(key, revision, value, call, clusterView_.view());
          },
          seed ^ registersStream, tuning.registers),
      clusterView_(registers_),
      calls_(seed),
      reads_(tuning.quorumConfirmationTimeout),
      unconfirmedOrders_(tuning.callerConfirmationDelay),
      reservations_(seed),
      routers_(tuning),
      rollouts_(tuning),
      statusReporter_(tuning),
      rosterReconciler_(tuning),
      endpointLists_(partialView_.self().link, partialView_.self().incarnation),
      quotas_(partialView_.self().link, partialView_.self().incarnation, tuning.quotaAllowance) {}

ControllerCommands Controller::restore(std::map<std::string, std::string> const& slots, bool damaged,
                                       Milliseconds now) {
  ControllerCommands out;
  startedAt_ = now;
  rosterReconciler_.start(now);
  apply(out, now, registers_.restore(slots, damaged, now));
  return out;
}

ControllerCommands Controller::onMessage(Milliseconds now, std::string const& from, transport::Message const& message) {
  ControllerCommands out;
  std::visit(
      [&](auto const& kind) {
        if constexpr (requires { this->on(out, now, from, kind); })
          this->on(out, now, from, kind);
        else
          apply(out, now, registers_.onMessage(now, from, message));
      },
      message);
  completeReads(out, now);
  return out;
}

ControllerCommands Controller::onTimer(Milliseconds now) {
  ControllerCommands out;
  if (registers_.discovering()) {
    std::vector<std::string> links = partialView_.seeds();
    for (transport::Contact const& contact : partialView_.ofRole(transport::controllerRole, now))
      links.push_back(contact.link);
    registers_.setDiscoveryPeers(std::move(links));
  }
  apply(out, now, registers_.onTimer(now));
  if (!registers_.isVoting()) lastWithoutVoteAt_ = now;
  appendSends(out, partialView_.clockEvent(now));
  appendSends(out, quotas_.onTimer(now, {registers_, roster_, startedAt_, tuning_.servingLeaseDuration, draining_}));
  pushConfigurationToAll(out, now);
  checkCallers(out, now);
  resumeCalls(out, now);
  startProbes(out, now);
  rollouts_.updateRollouts(rolloutInputs(now));
  broadcastRouterStatus(out, now);
  reconcileRoster(out, now);
  return out;
}

ControllerCommands Controller::onPersisted(Milliseconds now, std::uint64_t ticket, bool ok) {
  ControllerCommands out;
  apply(out, now, registers_.onPersisted(now, ticket, ok));
  return out;
}

ControllerCommands Controller::onProbeResult(Milliseconds now, std::string const& link, bool refused) {
  ControllerCommands out;
  if (routers_.find(link) == nullptr) return out;
  routers_.recordProbeResult(now, link, refused);
  completeRolloutReplies(out, now);
  return out;
}

ControllerCommands Controller::drain(Milliseconds now) {
  ControllerCommands out;
  draining_ = true;
  partialView_.setDraining();
  apply(out, now, registers_.startHandover(now));
  return out;
}

void Controller::apply(ControllerCommands& out, Milliseconds now, consensus::RegisterCommands&& commands) {
  appendSends(out, std::move(commands.sends));
  std::move(commands.persists.begin(), commands.persists.end(), std::back_inserter(out.persists));
  for (core::LogEvent& event : commands.logEvents) {
    auto const key = event.fields.find("key");
    journal_.append(now, std::string(event.event.metricLabel()), key == event.fields.end() ? "" : key->second);
    out.logEvents.push_back(std::move(event));
  }
  for (consensus::CommittedValue const& committed : commands.commits) {
    journal_.append(now, std::string(events::committed.metricLabel()), committed.key);
    onCommitted(now, committed);
    out.logEvents.push_back(
        core::LogEvent{events::committed, {{"key", committed.key}, {"revision", std::to_string(committed.revision)}}});
  }
  for (consensus::CallCompleted const& completed : commands.completedCalls) onCallCompleted(out, now, completed);
  for (auto const& [key, call] : commands.rerouted) resume(out, now, call.token);
  if (!commands.commits.empty()) pushConfigurationToAll(out, now);
}

void Controller::onCommitted(Milliseconds now, consensus::CommittedValue const& committed) {
  RolloutTracker::Rollout const* const previous = rollouts_.find(committed.key);
  std::uint64_t const previousRevision = previous == nullptr ? 0 : previous->revision;
  guarantees_.checkCommitted(committed, previous == nullptr ? std::optional<std::uint64_t>() : previousRevision);
  if (committed.key == rosterKey) {
    roster_.load(now, committed.revision, committed.value);
    partialView_.setRoster(committed.revision, gossip::rosterContacts(committed.value));
  }
  if (committed.key == config::fleetConfigurationKey) {
    config::FleetConfiguration const configuration =
        config::readCommittedFleetConfiguration(committed.value.value(fields::spec).toObject());
    clusterView_.configure(configuration);
    quotas_.configure(now, configuration);
  }
  if (std::optional<std::string> const pool = nameOf(committed.key, poolKeyPrefix))
    endpointLists_.onListCommitted(*pool, values());
  rollouts_.start(now, committed.key, committed.revision);
  statusReporter_.reportSoon(now);
  routers_.recordCommitted(committed.key, previousRevision, committed.revision);
}

QuorumContact Controller::quorumContact(Milliseconds now) const {
  Milliseconds const age = registers_.quorumContactAge(now);
  if (age < 0) return std::nullopt;
  return now - age;
}

bool Controller::ready(Milliseconds now) const {
  QuorumContact const contact = quorumContact(now);
  return !draining_ && confirmedSince(contact, now - tuning_.servingLeaseDuration);
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    transport::GossipShuffle const& shuffle) {
  appendSends(out, partialView_.onShuffle(now, from, shuffle));
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    quota::UsageReport const& report) {
  appendSends(out, quotas_.onMessage(now, from, report));
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    quota::AllocationReport const& report) {
  appendSends(out, quotas_.onMessage(now, from, report));
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    quota::PartitionLeaseRequest const& request) {
  appendSends(out, quotas_.onMessage(now, from, request));
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    quota::PartitionLeaseReply const& reply) {
  appendSends(out, quotas_.onMessage(now, from, reply));
}

QJsonObject Controller::fleet(Milliseconds now) const {
  return fleetPage(now, registers_, roster_, routers_, rollouts_, ready(now));
}

std::string Controller::metrics(Milliseconds now) const {
  ControllerGauges gauges;
  gauges.ready = ready(now);
  gauges.quorumContactAge = registers_.quorumContactAge(now);
  gauges.ownedKeys = registers_.ownedCount();
  gauges.ownedQuotaPartitions = quotas_.ownedPartitionCount(now);
  gauges.pendingCalls = calls_.size();
  return metricsText(journal_, gauges, clusterView_.regimes(), clusterView_.wallTime());
}

}  // namespace corkward::control
