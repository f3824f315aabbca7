// Validator of the regimes and of the certificates by which replicas and routers may serve them. Regimes and
// certificates are one value with one revision.
#include <QJsonArray>

#include <corkward/control/change_history.h>

#include "call_method.h"
#include "change_request.h"
#include "json_fields.h"
#include "validators.h"

namespace corkward::control {

namespace {

Rejection noCertificates() {
  return Rejection{RejectionReason::notFound, "no certificates so far"};
}

Rejection noSuchCertificate() {
  return Rejection{RejectionReason::notFound, "no such certificate"};
}

/// Returns one fault for each tenant that cannot be served under these certificates.
std::vector<config::RegimeFault> uncoveredTenants(config::Regimes const& regimes, ClusterView const& clusterView) {
  std::vector<config::RegimeFault> faults;
  for (config::RegimeRequirement const& use : clusterView.regimeUses()) {
    std::optional<config::RegimeFault> const fault = clusterView.regimeFault(regimes, use.regime, use.pool);
    if (fault) faults.push_back(config::RegimeFault{fault->pointer, use.instance + ": " + fault->reason});
  }
  return faults;
}

/// @param name name of the certificate to read, or empty to read all of them
ValidationResult read(ValidationRequest const& request, std::string const& name) {
  if (request.revision == 0) return noCertificates();
  QJsonObject const spec = request.value.value(fields::spec).toObject();
  QJsonObject body{{fields::spec, spec}, {fields::revision, static_cast<qint64>(request.revision)}};
  if (name.empty()) return Page{body};
  QJsonValue const certificate = spec.value(fields::certificates).toObject().value(core::toQString(name));
  if (!certificate.isObject()) return noSuchCertificate();
  body.insert(fields::spec, certificate);
  return Page{body};
}

/// Returns the rejection of a method that is not allowed, or std::nullopt if it is allowed.
/// @param name name of the certificate in the path, or empty if the path denotes all certificates
std::optional<Rejection> rejectedMethod(CallMethod method, std::string const& name) {
  bool const isDeletion = method == CallMethod::remove;
  if (!name.empty() && !isDeletion)
    return Rejection{RejectionReason::methodNotAllowed, "a certificate is read or deleted; declare it with all others"};
  if (name.empty() && isDeletion)
    return Rejection{RejectionReason::methodNotAllowed, "certificates are put, patched, or deleted one by one"};
  return std::nullopt;
}

/// Returns the declaration without one certificate, or std::nullopt if it has no certificate of that name.
std::optional<QJsonObject> withoutCertificate(QJsonObject spec, std::string const& name) {
  QJsonObject certificates = spec.value(fields::certificates).toObject();
  if (!certificates.contains(core::toQString(name))) return std::nullopt;
  certificates.remove(core::toQString(name));
  spec.insert(fields::certificates, certificates);
  return spec;
}

/// Returns the declaration after the call's change, or std::nullopt if the call revokes a certificate that is not
/// declared.
std::optional<QJsonObject> changedSpec(QJsonObject const& spec, CallMethod method, QJsonObject const& body,
                                       std::string const& name) {
  switch (method) {
    case CallMethod::remove:
      return withoutCertificate(spec, name);
    case CallMethod::put:
      return body;
    default:
      return core::mergePatch(spec, body).toObject();
  }
}

ValidationResult accept(ValidationRequest const& request, QJsonObject const& next, std::string const& digest,
                        std::vector<config::RegimeFault> const& faults) {
  AcceptedChange accepted{
      QJsonObject{{fields::spec, next},
                  {QLatin1String(ChangeHistory::storedField), historyWith(request.value, request.revision, digest)}}};
  accepted.status = request.revision == 0 ? core::HttpStatus::created : core::HttpStatus::ok;
  accepted.revision = request.nextRevision();
  for (config::RegimeFault const& fault : faults) accepted.uncovered.push_back(fault.reason);
  accepted.marksDryRun = true;
  return accepted;
}

ValidationResult validateChange(ValidationRequest const& request, std::string const& name,
                                ClusterView const& clusterView) {
  auto const& [revision, value, call] = request;
  CallMethod const method = methodOf(call.method);
  QJsonObject const body = changeBody(call);
  std::string const digest = contentDigest(call, body, call.changeId);
  bool const isStale = !call.ifMatch.empty() && !isBuiltOn(call, revision);
  std::optional<ValidationResult> past = resultFromHistory(revision, revision, call, digest, value);
  if (past && (std::holds_alternative<Replay>(*past) || isStale)) return *std::move(past);
  if (isStale) return staleRevision(call, revision);
  if (method != CallMethod::put && revision == 0) return noCertificates();
  std::optional<QJsonObject> const next = changedSpec(value.value(fields::spec).toObject(), method, body, name);
  if (!next) return noSuchCertificate();
  std::vector<config::RegimeFault> const faults = uncoveredTenants(config::readRegimes(*next), clusterView);
  if (method != CallMethod::remove && !faults.empty())
    return Rejection{RejectionReason::invalidCertificates,
                     faults.front().reason + "; a certificate that must end at once is deleted by its name",
                     faults.front().pointer};
  if (core::jsonText(*next).size() > maxCallBodyBytes)
    return Rejection{RejectionReason::tooLarge, "the certificates would pass their limit"};
  return accept(request, *next, digest, faults);
}

}  // namespace

ValidationResult validateCertificates(ValidationRequest const& request, ClusterView const& clusterView) {
  std::string const name = targetOf(request.call.path)->entry;
  CallMethod const method = methodOf(request.call.method);
  if (method == CallMethod::get) return read(request, name);
  if (std::optional<Rejection> rejected = rejectedMethod(method, name)) return *std::move(rejected);
  if (method != CallMethod::remove && request.call.ifMatch.empty())
    return Rejection{RejectionReason::revisionMissing,
                     "say If-Match with the revision the change was built on, 0 when there are none so far"};
  return rejectingErrors(RejectionReason::invalidCertificates,
                         [&] { return validateChange(request, name, clusterView); });
}

}  // namespace corkward::control
