#include "reasons.h"

#include <corkward/core/http_status.h>

namespace corkward::consensus {

namespace {

struct FailedAnswer {
  core::HttpStatus status;
  char const* error;
  /// nullptr: the answer has no reason.
  char const* reason;
};

FailedAnswer answerOf(CallFailure failure) {
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
  FailedAnswer const answer = answerOf(failure);
  QJsonObject body{{"error", answer.error}};
  if (answer.reason != nullptr) body.insert("reason", answer.reason);
  return CallCompleted{token, key, 0, core::code(answer.status), body};
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
