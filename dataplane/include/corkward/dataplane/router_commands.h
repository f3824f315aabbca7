#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <QJsonObject>

#include <corkward/core/journal.h>
#include <corkward/dataplane/request.h>
#include <corkward/transport/message.h>

namespace corkward::dataplane {

/// Command: open a connection to the replica, but send nothing of the request yet.
struct Connect {
  CallId call = 0;
  std::string address;
  std::string path;
  bool resume = false;
  /// The request must not be executed twice, so it may not be sent on an idle connection that the replica could be
  /// about to close.
  bool avoidStaleConnection = true;
  /// Incarnation of the replica that a request of a regime is meant for. Empty for any other request. If it is set, a
  /// dedicated connection is opened, and it counts as open only when the replica has named this incarnation on it.
  /// Another incarnation, another response or no response counts as a refused connection.
  std::string incarnation = {};
  /// The path's response is a server-sent event stream whose events have ids.
  bool events = false;
};
/// Command: send the request on the connection that was opened.
struct SendRequest {
  CallId call = 0;
  /// Incarnation of the replica that the request is meant for. Empty if any incarnation may serve it.
  std::string expectedIncarnation = {};
  /// Milliseconds for which the caller still waits.
  Milliseconds remainingMs = 0;
  int urgency = 5;
  /// Regime of the request. Empty if it has none. If it is set, a WriteAuditRecord precedes this command, and the
  /// request is sent as soon as that record is written. If the record cannot be written, the request ends as
  /// UpstreamResult::notExecuted.
  std::string regime = {};
  /// Name of the tenant, which the replica gets in place of the caller's key. Empty if the caller has no key.
  /// std::nullopt if the configuration has no tenants.
  std::optional<std::string> tenant = {};
};
/// Command: close the connection to the replica, if there is one.
struct CloseUpstream {
  CallId call = 0;
};
/// Command: send the final response to a caller that has not received a byte yet.
struct Reject {
  CallId call = 0;
  int status = 503;
  std::string reason;
  /// True if the request was not executed, false if it may have been.
  bool notExecuted = true;
  /// Seconds after which the caller should retry. 0 if a retry is of no use.
  double retryAfter = 0;
  /// This attempt or an earlier one reached a replica.
  bool reachedReplica = false;
};
/// Command: reset the caller's connection, so that an incomplete response cannot look complete.
struct ResetDownstream {
  CallId call = 0;
};

/// Command: respond to an endpoint list that the platform sent to this router.
struct EndpointListResponse {
  CallId call = 0;
  int status = 200;
  QJsonObject body;
};

/// What happened to a request of a regime.
enum class AuditOutcome { dispatched, resumed, served, notExecuted, aborted, rejected };

/// Command: write an audit record of what happened to a request of a regime. The record is written before the following
/// commands are executed.
struct WriteAuditRecord {
  CallId call = 0;
  AuditOutcome outcome = AuditOutcome::dispatched;
  std::string regime;
  std::string instance;
  /// Replica to which the request was dispatched, and the name of its certificate. Empty for a rejection.
  std::string pool = {};
  std::string address = {};
  std::string incarnation = {};
  std::string zone = {};
  std::string certificate = {};
  /// Why the request was rejected, resumed or aborted.
  std::string reason = {};
};

using CallCommand =
    std::variant<Connect, SendRequest, CloseUpstream, Reject, ResetDownstream, EndpointListResponse, WriteAuditRecord>;

/// Commands that result from one event, in order.
struct RouterCommands {
  std::vector<transport::Send> sends;
  std::vector<CallCommand> calls;
  std::vector<core::LogEvent> logEvents;
  /// Log events of failed requests, limited by FailureLog.
  std::vector<core::LogEvent> failures;
};

}  // namespace corkward::dataplane
