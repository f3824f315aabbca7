#include <corkward/control/validator.h>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "call_method.h"
#include "change_request.h"
#include "change_window.h"
#include "json_fields.h"
#include "keys.h"
#include "validators.h"

namespace corkward::control {

namespace {

/// Returns the digest by which a change id that is reused for a different change is detected. The digest of a call on a
/// zone excludes the base, because a controller adds it and it is not part of the operator's change.
QString changeDigest(std::string const& key, transport::OperatorCall const& call) {
  std::string const base = hasPrefix(key, zoneKeyPrefix) ? "" : unquotedIfMatch(call.ifMatch);
  constexpr int hexadecimal = 16;
  return QString::number(core::stableHash(call.method + " " + call.path + " " + base + " " + call.body), hexadecimal);
}

/// Returns the result of a change whose id is in the key's window, or std::nullopt if it is not.
std::optional<ValidationResult> resultFromWindow(ChangeWindow const& window, std::string const& key,
                                                 transport::OperatorCall const& call) {
  bool const isIdentified = methodOf(call.method) != CallMethod::get && !call.dryRun && !call.changeId.empty();
  if (!isIdentified) return std::nullopt;
  std::optional<ChangeWindow::Change> const change = window.find(call.changeId);
  if (!change) return std::nullopt;
  if (change->digest != changeDigest(key, call))
    return Rejection{RejectionReason::changeIdReused, "the id " + call.changeId + " stands for another change"};
  return Replay{change->status, change->revision, change->version};
}

/// Validates the call by the kind of its key.
ValidationResult validateTarget(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                transport::OperatorCall const& call, ClusterView const& clusterView) {
  ValidationRequest const withHistory{revision, value, call};
  if (hasPrefix(key, familyKeyPrefix)) return validateFamily(withHistory, clusterView);
  if (key == config::fleetConfigurationKey) return validateFleetConfiguration(withHistory);
  if (key == config::regimesKey) return validateCertificates(withHistory, clusterView);
  QJsonObject const current = config::removeChangeHistory(value);
  ValidationRequest const request{revision, current, call};
  if (hasPrefix(key, poolKeyPrefix)) return validateEndpointList(request);
  if (hasPrefix(key, zoneKeyPrefix)) return validateEvacuation(request);
  if (hasPrefix(key, alertKeyPrefix)) return validateAlert(request);
  if (key == rosterKey) return validateRoster(request);
  return Rejection{RejectionReason::notFound, "no such key"};
}

/// Adds an accepted change to the window of its key.
void record(ChangeWindow& window, std::string const& key, std::uint64_t revision, transport::OperatorCall const& call,
            AcceptedChange const& accepted) {
  bool const isFleetConfiguration = key == config::fleetConfigurationKey;
  if (!isFleetConfiguration && call.changeId.empty()) return;
  ChangeWindow::Change change{call.changeId, changeDigest(key, call), core::code(accepted.status), revision + 1};
  if (isFleetConfiguration) {
    change.version = accepted.version;
    change.bytes = fleetConfigurationBytes(window.lastBytes(), call);
  }
  window.append(change);
}

}  // namespace

consensus::Verdict validateCall(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                transport::OperatorCall const& call, ClusterView const& clusterView) {
  ChangeWindow window(value);
  if (std::optional<ValidationResult> const known = resultFromWindow(window, key, call)) return verdictOf(*known, call);
  ValidationResult const result = validateTarget(key, revision, value, call, clusterView);
  consensus::Verdict verdict = verdictOf(result, call);
  if (!verdict.change) return verdict;
  record(window, key, revision, call, std::get<AcceptedChange>(result));
  verdict.value.insert(fields::changes, window.json());
  return verdict;
}

}  // namespace corkward::control
