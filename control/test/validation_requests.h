#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>
#include <variant>

#include <corkward/core/json.h>
#include <corkward/transport/operator_messages.h>

#include "../src/validators.h"

namespace corkward::control {

/// A key that is not replicated. Calls are validated and applied one after the other.
class ValidatedKey {
 public:
  explicit ValidatedKey(ValidationResult (*validator)(ValidationRequest const&)) : validator_(validator) {}

  /// Validates a call and returns the result. An accepted change that is not a dry run becomes the value.
  ValidationResult call(transport::OperatorCall const& call) {
    ValidationResult result = validator_(ValidationRequest{revision, value, call});
    AcceptedChange const* const accepted = std::get_if<AcceptedChange>(&result);
    if (accepted != nullptr && !call.dryRun) {
      value = accepted->value;
      ++revision;
    }
    return result;
  }

  std::uint64_t revision = 0;
  QJsonObject value;

 private:
  ValidationResult (*validator_)(ValidationRequest const&);
};

inline transport::OperatorCall operatorCall(std::string const& method, std::string const& path,
                                            std::string const& body = "", std::string const& ifMatch = "",
                                            std::string const& changeId = "") {
  transport::OperatorCall call;
  call.method = method;
  call.path = path;
  call.body = body;
  call.ifMatch = ifMatch;
  call.changeId = changeId;
  return call;
}

inline bool isAccepted(ValidationResult const& result) {
  return std::holds_alternative<AcceptedChange>(result);
}

inline bool isReplay(ValidationResult const& result) {
  return std::holds_alternative<Replay>(result);
}

inline bool isRejected(ValidationResult const& result, RejectionReason reason) {
  Rejection const* const rejection = std::get_if<Rejection>(&result);
  return rejection != nullptr && rejection->reason == reason;
}

}  // namespace corkward::control
