// Validator of the pools' endpoint lists. A list replaces only a list of a lower generation.
#include "call_method.h"
#include "change_request.h"
#include "json_fields.h"
#include "validators.h"

namespace corkward::control {

namespace {

ValidationResult validateChange(ValidationRequest const& request) {
  auto const& [revision, value, call] = request;
  QJsonObject const next = readBody(call);
  std::uint64_t const generation = config::readEndpointList(next).generation;
  auto const committed = static_cast<std::uint64_t>(value.value(fields::generation).toInteger());
  if (generation == committed && next == value) return Replay{core::code(core::HttpStatus::ok), revision};
  if (!call.ifMatch.empty() && call.ifMatch != std::to_string(revision))
    return Rejection{RejectionReason::listReplaced, "the list held has revision " + std::to_string(revision)};
  if (generation <= committed)
    return Rejection{RejectionReason::olderGeneration, "the list held has generation " + std::to_string(committed)};
  AcceptedChange accepted{next};
  accepted.revision = request.nextRevision();
  return accepted;
}

}  // namespace

ValidationResult validateEndpointList(ValidationRequest const& request) {
  if (methodOf(request.call.method) == CallMethod::get) {
    if (request.revision == 0) return Rejection{RejectionReason::notFound, "no such pool"};
    QJsonObject body = request.value;
    body.insert(fields::revision, static_cast<qint64>(request.revision));
    return Page{body};
  }
  return rejectingErrors(RejectionReason::invalidEndpointList, [&] { return validateChange(request); });
}

}  // namespace corkward::control
