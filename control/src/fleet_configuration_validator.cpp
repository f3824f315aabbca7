// Validator of the fleet configuration. It is one value; operators choose its versions, each above the previous one.
#include <corkward/control/change_history.h>

#include "call_method.h"
#include "change_request.h"
#include "change_window.h"
#include "json_fields.h"
#include "validators.h"

namespace corkward::control {

namespace {

/// The committed fleet configuration and its version.
struct CommittedConfiguration {
  explicit CommittedConfiguration(QJsonObject const& value)
      : spec(value.value(fields::spec).toObject()),
        version(static_cast<std::uint64_t>(spec.value(fields::version).toInteger())) {}

  bool exists() const { return version != 0; }

  QJsonObject spec;
  /// Version of the configuration, or 0 if there is none yet.
  std::uint64_t version;
};

Rejection withCurrent(Rejection rejection, std::uint64_t revision, std::uint64_t version) {
  rejection.revision = revision;
  rejection.version = static_cast<std::int64_t>(version);
  return rejection;
}

Rejection noConfiguration() {
  return Rejection{RejectionReason::notFound, "no configuration so far"};
}

/// Returns the result of a call that names a base version other than the newest one.
ValidationResult resultOnOlderVersion(ValidationRequest const& request, std::string const& digest,
                                      std::int64_t callVersion, std::uint64_t newest) {
  auto const& [revision, value, call] = request;
  std::optional<ValidationResult> past = resultFromHistory(revision, newest, call, digest, value);
  if (!past) {
    Rejection const stale{RejectionReason::staleVersion, staleBaseText(call, newest)};
    return withCurrent(stale, revision, newest);
  }
  if (Replay* const replay = std::get_if<Replay>(&*past); replay != nullptr) replay->version = callVersion;
  return *std::move(past);
}

/// Returns true if the patched configuration's text is longer than allowed. The configuration is serialized only if the
/// upper bound of its length exceeds the limit.
bool exceedsLimit(QJsonObject const& patched, ValidationRequest const& request) {
  constexpr auto limit = static_cast<std::int64_t>(maxFleetConfigurationBytes);
  std::int64_t const bound = fleetConfigurationBytes(ChangeWindow(request.value).lastBytes(), request.call);
  return bound > limit && core::jsonText(patched).size() > maxFleetConfigurationBytes;
}

ValidationResult validateChange(ValidationRequest const& request, CommittedConfiguration const& current) {
  auto const& [revision, value, call] = request;
  bool const isPatch = methodOf(call.method) == CallMethod::patch;
  QJsonObject next = readBody(call);
  std::int64_t const version = next.value(fields::version).toInteger();
  auto const newest = static_cast<std::int64_t>(current.version);
  bool const isCommitted = !isPatch && version == newest && current.exists() && next == current.spec;
  if (isCommitted) return Replay{core::code(core::HttpStatus::ok), revision, newest};
  std::string const digest = contentDigest(call, next, "");
  if (!isBuiltOn(call, current.version)) return resultOnOlderVersion(request, digest, version, current.version);
  if (isPatch && !current.exists()) return noConfiguration();
  if (version <= newest) {
    Rejection const tooLow{RejectionReason::invalidConfiguration, "must be an integer above " + std::to_string(newest),
                           "/version"};
    return withCurrent(tooLow, revision, current.version);
  }
  if (isPatch) {
    next = config::patchFleetConfiguration(current.spec, next);
    if (exceedsLimit(next, request))
      return Rejection{RejectionReason::tooLarge, "the configuration would pass its limit"};
  }
  config::readFleetConfiguration(next);
  AcceptedChange accepted{QJsonObject{
      {fields::spec, next}, {QLatin1String(ChangeHistory::storedField), historyWith(value, current.version, digest)}}};
  accepted.status = current.exists() ? core::HttpStatus::ok : core::HttpStatus::created;
  accepted.revision = request.nextRevision();
  accepted.version = version;
  accepted.marksDryRun = true;
  return accepted;
}

}  // namespace

std::int64_t fleetConfigurationBytes(std::int64_t bytesBefore, transport::OperatorCall const& call) {
  std::int64_t const before = methodOf(call.method) == CallMethod::patch ? bytesBefore : 0;
  return before + static_cast<std::int64_t>(call.body.size());
}

ValidationResult validateFleetConfiguration(ValidationRequest const& request) {
  CommittedConfiguration const current(request.value);
  CallMethod const method = methodOf(request.call.method);
  if (method == CallMethod::get) {
    if (!current.exists()) return noConfiguration();
    return Page{QJsonObject{{fields::spec, current.spec},
                            {fields::version, static_cast<qint64>(current.version)},
                            {fields::revision, static_cast<qint64>(request.revision)}}};
  }
  if (method != CallMethod::put && method != CallMethod::patch)
    return Rejection{RejectionReason::methodNotAllowed, "the configuration is read, put or patched"};
  if (request.call.ifMatch.empty())
    return Rejection{RejectionReason::versionMissing,
                     "say If-Match with the version the change was built on, 0 when there is none so far"};
  return rejectingErrors(RejectionReason::invalidConfiguration, [&] { return validateChange(request, current); });
}

}  // namespace corkward::control
