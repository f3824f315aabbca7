#pragma once

/// Operator calls that controllers relay to each other.

#include <QJsonObject>
#include <cstdint>
#include <string>

namespace corkward::transport {

/// Sent by the controller that received an operator's HTTP request to the controller that owns the key of the request.
/// The reply is OperatorCallReply.
struct OperatorCall {
  /// Identifies the call in its reply.
  std::uint64_t token = 0;
  /// Method and path of the HTTP request.
  std::string method;
  std::string path;
  /// Its If-Match header; empty if it has none.
  std::string ifMatch;
  /// Id of the change that the operator has chosen; empty if there is none.
  std::string changeId;
  /// True if the change is only to be validated.
  bool dryRun = false;
  std::string body;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("m", method);
    f("p", path);
    f("i", ifMatch);
    f("c", changeId);
    f("d", dryRun);
    f("b", body);
  }
};

/// Sent in reply to an OperatorCall: the HTTP response for the operator.
struct OperatorCallReply {
  /// OperatorCall::token of the call.
  std::uint64_t token = 0;
  /// HTTP status.
  int status = 0;
  QJsonObject body;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("s", status);
    f("b", body);
  }
};

}  // namespace corkward::transport
