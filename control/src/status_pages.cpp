#include "status_pages.h"

#include <QJsonArray>

#include <corkward/core/json.h>

#include "change_window.h"
#include "json_fields.h"
#include "keys.h"
#include "paths.h"
#include "responses.h"

namespace corkward::control {

namespace {

QJsonObject routerJson(Milliseconds now, std::string const& link, RouterRegistry const& routers,
                       RolloutTracker const& rollouts) {
  RouterRegistry::Router const* const router = routers.find(link);
  bool const hadContact = router != nullptr && router->lastContactAt >= 0;
  return QJsonObject{{fields::link, core::toQString(link)},
                     {fields::httpAddress, core::toQString(hadContact ? router->contact.httpAddress : "")},
                     {fields::zone, core::toQString(hadContact ? router->contact.zone : "")},
                     {"heardMsAgo", hadContact ? static_cast<qint64>(now - router->lastContactAt) : -1},
                     {"keysBehind", static_cast<qint64>(rollouts.missingRevisionCount(link))}};
}

/// Returns the text of one gauge without labels.
template <class Value>
std::string gauge(std::string const& name, Value value) {
  return "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) + "\n";
}

std::string eventCounters(core::Journal const& journal) {
  std::string text = "# TYPE corkward_substation_events_total counter\n";
  for (auto const& [event, count] : journal.counts())
    text += "corkward_substation_events_total{event=\"" + event + "\"} " + std::to_string(count) + "\n";
  return text;
}

std::string certificateGauges(config::Regimes const& regimes, std::int64_t wallTime) {
  constexpr std::int64_t millisecondsPerSecond = 1000;
  std::string text = "# TYPE corkward_substation_certificate_seconds_left gauge\n";
  for (auto const& [name, certificate] : regimes.certificates) {
    std::int64_t const left = (certificate.until - config::clockMarginMs - wallTime) / millisecondsPerSecond;
    text += "corkward_substation_certificate_seconds_left{certificate=\"" + name + "\",regime=\"" + certificate.regime +
            "\"} " + std::to_string(left) + "\n";
  }
  return text;
}

QJsonObject changeBody(std::string const& key, ChangeWindow::Change const& change) {
  QJsonObject body{{fields::changeId, core::toQString(change.id)},
                   {"key", core::toQString(key)},
                   {fields::status, change.status},
                   {fields::revision, static_cast<qint64>(change.revision)}};
  if (change.version) body.insert(fields::version, static_cast<qint64>(*change.version));
  return body;
}

}  // namespace

QJsonObject fleetPage(Milliseconds now, consensus::ReplicatedRegisters const& registers, Roster const& roster,
                      RouterRegistry const& routers, RolloutTracker const& rollouts, bool ready) {
  QJsonArray members;
  for (consensus::Member const& member : registers.membership())
    members.append(QJsonObject{{"id", core::toQString(member.id)}, {fields::link, core::toQString(member.link)}});
  QJsonArray nodes;
  for (std::string const& link : roster.nodes()) nodes.append(routerJson(now, link, routers, rollouts));
  QJsonObject revisions;
  QJsonObject owners;
  for (auto const& [key, committed] : registers.committed()) {
    revisions.insert(core::toQString(key), static_cast<qint64>(committed.revision));
    owners.insert(core::toQString(key), core::toQString(registers.ownerLink(key, now)));
  }
  return QJsonObject{{"self", core::toQString(registers.self().link)},
                     {"member", core::toQString(registers.self().id)},
                     {"voting", registers.isVoting()},
                     {"diskOk", registers.isDiskHealthy()},
                     {"ready", ready},
                     {"majorityAgeMs", static_cast<qint64>(registers.quorumContactAge(now))},
                     {"cohort", members},
                     {"nacelles", nodes},
                     {"stamps", revisions},
                     {"owners", owners}};
}

QJsonObject templatesPage(CommittedValues const& values) {
  QJsonArray names;
  for (auto const& [key, committed] : values) {
    std::optional<std::string> const name = nameOf(key, familyKeyPrefix);
    if (name && committed.value.contains(fields::templateSpec)) names.append(core::toQString(*name));
  }
  return QJsonObject{{"templates", names}};
}

OperatorResponse changePage(transport::OperatorCall const& call, CommittedValues const& values,
                            RolloutTracker const* rollouts, RolloutInputs const& inputs) {
  std::string const id = call.path.substr(paths::changes.size());
  for (auto const& [key, committed] : values) {
    std::optional<ChangeWindow::Change> const change = ChangeWindow(committed.value).find(id);
    if (!change) continue;
    QJsonObject body = changeBody(key, *change);
    if (rollouts == nullptr) return respond(call.token, core::HttpStatus::ok, body);
    body.insert(fields::rolloutComplete, true);
    if (rollouts->isComplete(inputs, key)) return respond(call.token, core::HttpStatus::ok, body);
    return respond(call.token, core::HttpStatus::gatewayTimeout, pendingRolloutBody(body, change->revision));
  }
  return respond(
      call.token, core::HttpStatus::notFound,
      {{fields::error, "not found"},
       {fields::reason, "not accepted so far; final once a later change of the same template was accepted"}});
}

std::string metricsText(core::Journal const& journal, ControllerGauges const& gauges, config::Regimes const& regimes,
                        config::WallTime const& wallTime) {
  std::string text = eventCounters(journal);
  text += gauge("corkward_substation_ready", gauges.ready ? 1 : 0);
  text += gauge("corkward_substation_majority_age_ms", gauges.quorumContactAge);
  text += gauge("corkward_substation_owned_keys", gauges.ownedKeys);
  text += gauge("corkward_quota_parts_lent", gauges.ownedQuotaPartitions);
  text += gauge("corkward_substation_calls_in_hand", gauges.pendingCalls);
  if (!wallTime || regimes.certificates.empty()) return text;
  return text + certificateGauges(regimes, *wallTime);
}

}  // namespace corkward::control
