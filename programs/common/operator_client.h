#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/http_method.h>
#include <corkward/core/http_status.h>

namespace corkward::programs {

/// A command line, runbook or address is invalid. No request was sent.
class UsageError : public core::Error {
 public:
  using core::Error::Error;
};

/// One call of the operator interface (docs/interface.md).
struct OperatorCall {
  core::HttpMethod method = core::HttpMethod::get;
  std::string path;
  /// JSON text. Empty if the call has no body.
  std::string body = {};
  /// Revision that a change is based on, sent as If-Match. Empty if there is none.
  std::string revision = {};
  /// Idempotency key of a change. Empty if there is none.
  std::string changeId = {};
  bool dryRun = false;
};

/// Outcome of a call.
struct OperatorReply {
  /// HTTP status code. 0 if no controller responded.
  int status = 0;
  /// Body of the response.
  QByteArray text;
  /// The body parsed as JSON. Empty if the body is not a JSON object.
  QJsonObject body;
  /// Revision from the ETag header.
  std::string revision;
  /// Description of the error if no controller responded in time, completely, and within the longest reply (16 MiB).
  std::string error;
  /// Address of the controller that responded, or of the last one that was called.
  std::string controller;

  bool answered() const { return status != 0; }
  bool is(core::HttpStatus expected) const { return status == core::code(expected); }
  /// Returns whether the change was accepted, that is, whether the resource was replaced or created.
  bool accepted() const { return is(core::HttpStatus::ok) || is(core::HttpStatus::created); }
  /// Returns whether the outcome is not final, so that the call may be sent again with the same change id.
  bool mayRetry() const {
    return !answered() || is(core::HttpStatus::serviceUnavailable) || is(core::HttpStatus::gatewayTimeout);
  }
  /// Returns whether the change is committed but not yet applied by all routers.
  bool pending() const { return body.value("pending").toBool(); }
};

/// Sends the call to one controller after the other until one responds. Change ids prevent a retry from applying a
/// change twice. Throws UsageError when an address is not ip:port.
/// @param timeoutSeconds time limit of the request to each controller, up to the last byte of its reply
OperatorReply callOperator(std::vector<std::string> const& controllers, OperatorCall const& call, int timeoutSeconds);

/// Retries a change with the same change id until all routers have applied it, it is rejected, or the time limit ends.
/// @param first outcome of the first attempt
/// @param waitSeconds time limit of all retries together
/// @return the outcome of the last attempt
OperatorReply waitForRollout(std::vector<std::string> const& controllers, OperatorCall const& call, OperatorReply first,
                             int timeoutSeconds, int waitSeconds);

/// Runs the event loop for the given number of milliseconds.
void pause(int milliseconds);

/// Reads a file, or standard input if the path is "-". Throws UsageError if the file cannot be read.
std::string readFile(std::string const& path);

}  // namespace corkward::programs
