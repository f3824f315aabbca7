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
  /// True if the order names no base revision, so that the key's owner has to reserve it before it carries it out.
  /// False in calls of controllers of an earlier version.
  bool needsReservation = false;
  /// OperatorCallReply::reservation, sent once the caller was seen waiting after the reservation was received; else 0.
  std::uint64_t reservation = 0;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("m", method);
    f("p", path);
    f("i", ifMatch);
    f("c", changeId);
    f("d", dryRun);
    f("b", body);
    f.unlessDefault("w", needsReservation);
    f.unlessDefault("n", reservation);
  }
};

/// Sent in reply to an OperatorCall: the HTTP response for the operator, or a reservation.
struct OperatorCallReply {
  /// OperatorCall::token of the call.
  std::uint64_t token = 0;
  /// HTTP status.
  int status = 0;
  QJsonObject body;
  /// Number of the reservation if the call needs one and has none yet; the call is not answered then. Else 0.
  std::uint64_t reservation = 0;
  template <class F>
  void each(F& f) {
    f("t", token);
    f("s", status);
    f("b", body);
    f.unlessDefault("n", reservation);
  }
};

}  // namespace corkward::transport
