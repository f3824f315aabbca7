#include "exit_code.h"

#include <corkward/core/http_status.h>

namespace corkward::programs {

ExitCode exitCodeOf(int status) {
  switch (static_cast<core::HttpStatus>(status)) {
    case core::HttpStatus::ok:
    case core::HttpStatus::created:
      return ExitCode::ok;
    case core::HttpStatus::conflict:
    case core::HttpStatus::preconditionFailed:
      return ExitCode::conflict;
    case core::HttpStatus::serviceUnavailable:
      return ExitCode::unavailable;
    case core::HttpStatus::gatewayTimeout:
      return ExitCode::unknownOutcome;
    default:
      return ExitCode::rejected;
  }
}

}  // namespace corkward::programs
