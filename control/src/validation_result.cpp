#include "validation_result.h"

#include <corkward/core/json.h>

#include "json_fields.h"

namespace corkward::control {

namespace {

using core::HttpStatus;

QJsonValue number(std::uint64_t value) {
  return static_cast<qint64>(value);
}

consensus::Verdict verdict(Rejection const& rejection, transport::OperatorCall const&) {
  auto const [status, error] = rejectionText(rejection.reason);
  consensus::Verdict out;
  out.status = core::code(status);
  out.body = QJsonObject{{fields::error, error}, {fields::reason, core::toQString(rejection.detail)}};
  if (!rejection.pointer.empty()) out.body.insert(fields::pointer, core::toQString(rejection.pointer));
  if (rejection.revision) out.body.insert(fields::revision, number(*rejection.revision));
  if (rejection.version) out.body.insert(fields::version, static_cast<qint64>(*rejection.version));
  return out;
}

consensus::Verdict verdict(Page const& page, transport::OperatorCall const&) {
  consensus::Verdict out;
  out.body = page.body;
  return out;
}

consensus::Verdict verdict(Replay const& replay, transport::OperatorCall const& call) {
  consensus::Verdict out;
  out.status = replay.status;
  out.body = QJsonObject{{fields::changeId, core::toQString(call.changeId)},
                         {fields::revision, number(replay.revision)},
                         {fields::replayed, true}};
  if (replay.version) out.body.insert(fields::version, static_cast<qint64>(*replay.version));
  return out;
}

QJsonObject replyBody(AcceptedChange const& accepted, transport::OperatorCall const& call) {
  if (!accepted.revision) return {};
  QJsonObject body{{fields::changeId, core::toQString(call.changeId)}, {fields::revision, number(*accepted.revision)}};
  if (accepted.version) body.insert(fields::version, static_cast<qint64>(*accepted.version));
  if (accepted.evacuated) body.insert(fields::evacuated, *accepted.evacuated);
  if (!accepted.uncovered.empty()) {
    QJsonArray lines;
    for (std::string const& line : accepted.uncovered) lines.append(core::toQString(line));
    body.insert("uncovered", lines);
  }
  return body;
}

consensus::Verdict verdict(AcceptedChange const& accepted, transport::OperatorCall const& call) {
  consensus::Verdict out;
  out.status = core::code(accepted.status);
  out.body = replyBody(accepted, call);
  if (call.dryRun && accepted.marksDryRun) {
    out.status = core::code(HttpStatus::ok);
    out.body.insert(fields::dryRun, true);
  }
  out.change = !call.dryRun || !accepted.revision;
  out.value = accepted.value;
  return out;
}

}  // namespace

RejectionText rejectionText(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::malformed:
      return {HttpStatus::badRequest, "malformed"};
    case RejectionReason::notFound:
      return {HttpStatus::notFound, "not found"};
    case RejectionReason::methodNotAllowed:
      return {HttpStatus::methodNotAllowed, "method not allowed"};
    case RejectionReason::revisionMissing:
      return {HttpStatus::preconditionRequired, "revision missing"};
    case RejectionReason::versionMissing:
      return {HttpStatus::preconditionRequired, "version missing"};
    case RejectionReason::staleRevision:
      return {HttpStatus::preconditionFailed, "stale revision"};
    case RejectionReason::staleVersion:
      return {HttpStatus::preconditionFailed, "stale version"};
    case RejectionReason::listReplaced:
      return {HttpStatus::preconditionFailed, "another list is in place"};
    case RejectionReason::olderGeneration:
      return {HttpStatus::conflict, "older generation"};
    case RejectionReason::changeIdReused:
      return {HttpStatus::conflict, "change id reused"};
    case RejectionReason::tooLarge:
      return {HttpStatus::contentTooLarge, "too large"};
    case RejectionReason::invalidConfiguration:
      return {HttpStatus::unprocessableContent, "not a valid configuration"};
    case RejectionReason::invalidEndpointList:
      return {HttpStatus::unprocessableContent, "not a valid list"};
    case RejectionReason::invalidCertificates:
      return {HttpStatus::unprocessableContent, "not a valid declaration"};
    case RejectionReason::invalidAlert:
      return {HttpStatus::unprocessableContent, "not a valid alert"};
    case RejectionReason::unconfirmed:
      return {HttpStatus::serviceUnavailable, "not confirmed"};
    case RejectionReason::outcomeForgotten:
      return {HttpStatus::serviceUnavailable, "outcome not remembered"};
    case RejectionReason::outcomeUnknown:
      return {HttpStatus::serviceUnavailable, "outcome unknown"};
  }
  return {HttpStatus::internalServerError, "unknown"};
}

consensus::Verdict verdictOf(ValidationResult const& result, transport::OperatorCall const& call) {
  return std::visit([&](auto const& alternative) { return verdict(alternative, call); }, result);
}

}  // namespace corkward::control
