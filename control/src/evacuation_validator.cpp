// Validator of evacuations of zones. PUT starts an evacuation, DELETE ends it.
#include "call_method.h"
#include "change_request.h"
#include "json_fields.h"
#include "validators.h"

namespace corkward::control {

ValidationResult validateEvacuation(ValidationRequest const& request) {
  auto const& [revision, value, call] = request;
  CallMethod const method = methodOf(call.method);
  bool const isEvacuated = value.value(fields::evacuated).toBool();
  if (method == CallMethod::get)
    return Page{QJsonObject{{fields::evacuated, isEvacuated}, {fields::revision, static_cast<qint64>(revision)}}};
  bool const evacuate = method == CallMethod::put;
  if (evacuate == isEvacuated) return Replay{core::code(core::HttpStatus::ok), revision};
  if (!call.ifMatch.empty() && !isBuiltOn(call, revision))
    return Rejection{RejectionReason::outcomeUnknown,
                     "the zone was changed after this order came in; send it again if it still holds"};
  AcceptedChange accepted{QJsonObject{{fields::evacuated, evacuate}}};
  accepted.revision = request.nextRevision();
  accepted.evacuated = evacuate;
  return accepted;
}

}  // namespace corkward::control
