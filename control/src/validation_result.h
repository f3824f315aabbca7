#pragma once

/// The typed result of validating a call, and its conversion to an HTTP status and a JSON body.

#include <QJsonArray>
#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/core/http_status.h>

namespace corkward::control {

/// Why a call is rejected. rejectionText() returns the HTTP status and the text for each reason.
enum class RejectionReason {
  malformed,
  notFound,
  methodNotAllowed,
  revisionMissing,
  versionMissing,
  staleRevision,
  staleVersion,
  /// The committed endpoint list is no longer the one that was current when the proposed list was read.
  listReplaced,
  olderGeneration,
  changeIdReused,
  tooLarge,
  invalidConfiguration,
  invalidEndpointList,
  invalidCertificates,
  invalidAlert,
  /// The call is rejected only because a key that it refers to is not recovered yet.
  unconfirmed,
  /// The call's base is older than all changes in the key's history.
  outcomeForgotten,
  outcomeUnknown,
};

/// HTTP status and text of a rejection in the response.
struct RejectionText {
  core::HttpStatus status;
  char const* error;
};

RejectionText rejectionText(RejectionReason reason);

/// The call is rejected and changes nothing.
struct Rejection {
  RejectionReason reason = RejectionReason::notFound;
  std::string detail = {};
  /// JSON pointer to the fault in the call's body; empty if the fault is not in the body.
  std::string pointer = {};
  /// The committed revision, if the operator needs it as the base of the next change.
  std::optional<std::uint64_t> revision = {};
  /// The committed version, if the operator needs it as the base of the next change.
  std::optional<std::int64_t> version = {};
};

/// The body of the reply to a read.
struct Page {
  QJsonObject body;
};

/// The same change was accepted before and is not applied a second time.
struct Replay {
  /// HTTP status of the first reply to the change.
  int status = core::code(core::HttpStatus::ok);
  /// Revision that the change became.
  std::uint64_t revision = 0;
  std::optional<std::int64_t> version = {};
};

/// The call changes the key to the next value.
struct AcceptedChange {
  /// The next value, without the ChangeWindow.
  QJsonObject value;
  core::HttpStatus status = core::HttpStatus::ok;
  /// Revision that the change becomes. Empty for a controller's own change, whose reply is not read.
  std::optional<std::uint64_t> revision = {};
  std::optional<std::int64_t> version = {};
  std::optional<bool> evacuated = {};
  /// Tenants that are left without a certificate, one text per tenant.
  std::vector<std::string> uncovered = {};
  /// True if the reply to a dry run is marked as such and always has status 200.
  bool marksDryRun = false;
};

using ValidationResult = std::variant<Rejection, Page, Replay, AcceptedChange>;

/// Converts the result for the consensus layer: the HTTP status and JSON body of the reply, and the value to propose.
consensus::Verdict verdictOf(ValidationResult const& result, transport::OperatorCall const& call);

}  // namespace corkward::control
