#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/http_method.h>
#include <corkward/core/http_status.h>

namespace corkward::programs {

/// A command line, runbook or address that cannot be used; nothing was sent.
class UsageError : public core::Error {
 public:
  using core::Error::Error;
};

/// One call of the operator interface (docs/interface.md).
struct OperatorCall {
  core::HttpMethod method = core::HttpMethod::get;
  std::string path;
  /// JSON text; empty: none.
  std::string body = {};
  /// Revision that a change is based on, sent as If-Match; empty: none.
  std::string revision = {};
  /// Idempotency key of a change; empty: none.
  std::string changeId = {};
  bool dryRun = false;
};

/// Outcome of a call.
struct OperatorReply {
  /// Status code; noStatus: no controller answered.
  int status = 0;
  QByteArray text;
  /// The text as JSON; empty when it is no JSON object.
  QJsonObject body;
  /// The ETag's revision.
  std::string revision;
  /// Reason of the transport when there was no answer.
  std::string error;
  /// Address of the controller that answered, or of the last one that was tried.
  std::string controller;

  bool answered() const { return status != 0; }
  bool is(core::HttpStatus expected) const { return status == core::code(expected); }
  /// The change was accepted: replaced or created.
  bool accepted() const { return is(core::HttpStatus::ok) || is(core::HttpStatus::created); }
  /// The outcome is not final: the same call under the same change id may be sent again.
  bool mayRetry() const {
    return !answered() || is(core::HttpStatus::serviceUnavailable) || is(core::HttpStatus::gatewayTimeout);
  }
  /// A change that was committed and is not yet applied by all routers.
  bool pending() const { return body.value("pending").toBool(); }
};

/// Sends the call to the controllers in turn until one answers, and waits for the answer. Change ids make retries
/// harmless. Throws UsageError when an address is not ip:port.
/// @param timeoutSeconds for each controller
OperatorReply callOperator(std::vector<std::string> const& controllers, OperatorCall const& call, int timeoutSeconds);

/// Retries a change under its id until it is applied everywhere, rejected, or the time is over.
/// @param first outcome of the first attempt
/// @param waitSeconds for all retries together
/// @return the newest outcome
OperatorReply waitForRollout(std::vector<std::string> const& controllers, OperatorCall const& call, OperatorReply first,
                             int timeoutSeconds, int waitSeconds);

/// Runs the event loop for so many milliseconds.
void pause(int milliseconds);

/// Reads a file, or standard input for "-". Throws UsageError.
std::string readFile(std::string const& path);

}  // namespace corkward::programs
