#include "change_request.h"

#include <corkward/control/change_history.h>

#include "call_method.h"

namespace corkward::control {

std::string unquotedIfMatch(std::string const& ifMatch) {
  bool const quoted = ifMatch.size() >= 2 && ifMatch.front() == '"' && ifMatch.back() == '"';
  return quoted ? ifMatch.substr(1, ifMatch.size() - 2) : ifMatch;
}

bool isBuiltOn(transport::OperatorCall const& call, std::uint64_t base) {
  return unquotedIfMatch(call.ifMatch) == std::to_string(base);
}

QJsonObject readBody(transport::OperatorCall const& call) {
  QJsonValue const body = core::parseJson(call.body);
  if (!body.isObject()) throw core::JsonError("must be an object");
  return body.toObject();
}

QJsonObject changeBody(transport::OperatorCall const& call) {
  return methodOf(call.method) == CallMethod::remove ? QJsonObject() : readBody(call);
}

std::string staleBaseText(transport::OperatorCall const& call, std::uint64_t newest) {
  return "built on " + unquotedIfMatch(call.ifMatch) + ", but the newest is " + std::to_string(newest);
}

Rejection staleRevision(transport::OperatorCall const& call, std::uint64_t newest) {
  return Rejection{RejectionReason::staleRevision, staleBaseText(call, newest), "", newest};
}

std::optional<ValidationResult> resultFromHistory(std::uint64_t revision, std::uint64_t newest,
                                                  transport::OperatorCall const& call, std::string const& digest,
                                                  QJsonObject const& value) {
  std::string const ifMatch = unquotedIfMatch(call.ifMatch);
  bool isNumber = false;
  std::uint64_t const base = core::toQString(ifMatch).toULongLong(&isNumber);
  ChangeHistory const history(value, newest);
  switch (history.outcomeOf(digest, isNumber ? base : newest)) {
    case PastOutcome::applied:
      return Replay{core::code(core::HttpStatus::ok), revision - history.changesSince(digest)};
    case PastOutcome::notApplied:
      return std::nullopt;
    case PastOutcome::forgotten:
      break;
  }
  return Rejection{
      RejectionReason::outcomeForgotten,
      "built on " + ifMatch + ", older than all changes that are remembered; read what is in place and build on that"};
}

QJsonObject historyWith(QJsonObject const& value, std::uint64_t newest, std::string const& digest) {
  ChangeHistory history(value, newest);
  history.append(digest, newest);
  return history.json();
}

}  // namespace corkward::control
