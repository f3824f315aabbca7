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

/// Command: open a connection to the replica, hand nothing over yet.
struct Connect {
  CallId call = 0;
  std::string address;
  std::string path;
  bool resume = false;
  /// The request may run once only: no connection may be used that the replica could be about to close.
  bool fresh = true;
  /// Not empty: a request of a regime. A connection of its own is opened, and it counts as open only once the replica
  /// has named this incarnation on it; another incarnation, another answer or none counts as a rejected connection.
  std::string incarnation = {};
  /// The path's answer is a row of events with ids.
  bool events = false;
};
/// Command: hand the request over on the connection that was opened.
struct SendRequest {
  CallId call = 0;
  /// Incarnation of the replica that the request is meant for; empty: any.
  std::string expectedIncarnation = {};
  /// Milliseconds that the caller still waits.
  Milliseconds remainingMs = 0;
  int urgency = 5;
  /// Not empty: a request of a regime. Its WriteAuditRecord precedes this command, and the request is sent at once when
  /// the record is written; else it ended as UpstreamResult::notExecuted.
  std::string regime = {};
  /// Tenant that the replica is told of in place of the caller's key; empty: one without a key. Not said: the
  /// configuration knows no tenants.
  std::optional<std::string> tenant = {};
};
/// Command: close the replica's connection, if there is one.
struct CloseUpstream {
  CallId call = 0;
};
/// Command: final answer to a caller that has had no byte yet.
struct Reject {
  CallId call = 0;
  int status = 503;
  std::string reason;
  /// False: it may have run.
  bool notExecuted = true;
  /// Seconds after which to retry; 0: a retry is of no use.
  double retryAfter = 0;
  /// This attempt or an earlier one had reached a replica, which said "not run".
  bool reachedReplica = false;
};
/// Command: cut the caller's connection, so that what it has cannot look complete.
struct ResetDownstream {
  CallId call = 0;
};

/// Command: answer to an endpoint list that the platform sent to this router.
struct EndpointListResponse {
  CallId call = 0;
  int status = 200;
  QJsonObject body;
};

/// What becomes of a regime's request.
enum class AuditOutcome { dispatched, resumed, served, notExecuted, aborted, rejected };

/// Command: write down for the audit report, before the commands after it, what becomes of a regime's request.
struct WriteAuditRecord {
  CallId call = 0;
  AuditOutcome outcome = AuditOutcome::dispatched;
  std::string regime;
  std::string instance;
  /// Where it runs or ran, and the certificate's name; empty for a rejection.
  std::string pool = {};
  std::string address = {};
  std::string incarnation = {};
  std::string zone = {};
  std::string certificate = {};
  /// Why it was rejected, resumed or broken off.
  std::string reason = {};
};

using CallCommand =
    std::variant<Connect, SendRequest, CloseUpstream, Reject, ResetDownstream, EndpointListResponse, WriteAuditRecord>;

/// Commands of one event, in order.
struct RouterCommands {
  std::vector<transport::Send> sends;
  std::vector<CallCommand> calls;
  std::vector<core::LogEvent> logEvents;
  /// Requests that were failed, as many as the limit of the log lets through.
  std::vector<core::LogEvent> failures;
};

}  // namespace corkward::dataplane
