// Validator of alerts. An alert is clear, claimed or done.
#include "call_method.h"
#include "change_request.h"
#include "json_fields.h"
#include "validators.h"

namespace corkward::control {

namespace {

constexpr QLatin1String stateField("state");
constexpr QLatin1String byField("by");
constexpr QLatin1String clearState("clear");
constexpr QLatin1String claimedState("claimed");
constexpr QLatin1String doneState("done");
/// Number of fields of an alert: its state, and the name of the program that set the state.
constexpr qsizetype fieldCount = 2;
constexpr qsizetype maxNameLength = 64;

ValidationResult validateChange(ValidationRequest const& request) {
  QJsonObject const next = readBody(request.call);
  QString const state = next.value(stateField).toString();
  if (state != clearState && state != claimedState && state != doneState)
    return Rejection{RejectionReason::invalidAlert, "must be clear, claimed or done", "/state"};
  QJsonValue const by = next.value(byField);
  if (next.size() != fieldCount || !by.isString() || by.toString().size() > maxNameLength)
    return Rejection{RejectionReason::invalidAlert, "must have state and by, a name of up to 64 bytes", "/by"};
  AcceptedChange accepted{next};
  accepted.revision = request.nextRevision();
  return accepted;
}

}  // namespace

ValidationResult validateAlert(ValidationRequest const& request) {
  auto const& [revision, value, call] = request;
  CallMethod const method = methodOf(call.method);
  if (method == CallMethod::get) {
    QJsonObject body = value;
    if (revision == 0) body.insert(stateField, clearState);
    body.insert(fields::revision, static_cast<qint64>(revision));
    return Page{body};
  }
  if (method != CallMethod::put) return Rejection{RejectionReason::methodNotAllowed, "an alert is read or put"};
  if (call.ifMatch.empty())
    return Rejection{RejectionReason::revisionMissing, "say If-Match with the revision that was read"};
  if (!isBuiltOn(call, revision)) return staleRevision(call, revision);
  return rejectingErrors(RejectionReason::invalidAlert, [&] { return validateChange(request); });
}

}  // namespace corkward::control
