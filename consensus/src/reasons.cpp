#include "reasons.h"

#include <corkward/core/http_status.h>

namespace corkward::consensus {

namespace {

struct FailedResponse {
  core::HttpStatus status;
  char const* error;
  /// nullptr if the response has no reason field.
  char const* reason;
};

FailedResponse responseFor(CallFailure failure) {
  using core::HttpStatus;
  switch (failure) {
    case CallFailure::memberCannotVote:
      return {HttpStatus::serviceUnavailable, "not accepted", "this member cannot vote"};
    case CallFailure::noQuorum:
      return {HttpStatus::serviceUnavailable, "not accepted", "no majority of the disks could be had"};
    case CallFailure::memberRemoved:
      return {HttpStatus::serviceUnavailable, "not accepted", "this member was struck off"};
    case CallFailure::readNotConfirmed:
      return {HttpStatus::serviceUnavailable, "not confirmed", nullptr};
    case CallFailure::ownershipLost:
      return {HttpStatus::gatewayTimeout, "unknown",
              "ownership was lost while the change was being written; ask by its change id"};
    case CallFailure::acceptTimeout:
      return {HttpStatus::gatewayTimeout, "unknown", "a majority did not answer in time; ask by the change id"};
  }
  return {HttpStatus::internalServerError, "unknown", nullptr};
}

}  // namespace

CallCompleted failedCall(std::uint64_t token, std::string const& key, CallFailure failure) {
  FailedResponse const response = responseFor(failure);
  QJsonObject body{{"error", response.error}};
  if (response.reason != nullptr) body.insert("reason", response.reason);
  return CallCompleted{token, key, 0, core::code(response.status), body};
}

char const* nameOf(StepDownReason reason) {
  switch (reason) {
    case StepDownReason::promisedHigherBallot:
      return "promised a higher ballot";
    case StepDownReason::peerPromisedHigherBallot:
      return "a member has promised a higher ballot";
    case StepDownReason::acceptedOtherOwner:
      return "accepted a change of another owner";
    case StepDownReason::noQuorumPromised:
      return "no majority promised";
    case StepDownReason::diskStalled:
      return "disk stalled";
    case StepDownReason::diskFailed:
      return "disk failed";
    case StepDownReason::handedOver:
      return "handed over";
    case StepDownReason::removedFromMembership:
      return "removed from the membership";
  }
  return "";
}

}  // namespace corkward::consensus
