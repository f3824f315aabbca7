#pragma once

/// The typed result of validating a call, and its HTTP status and JSON text.

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

/// Why a call is rejected. Its HTTP status and its text on the page are given by `rejectionText`.
enum class RejectionReason {
  malformed,
  notFound,
  methodNotAllowed,
  revisionMissing,
  versionMissing,
  staleRevision,
  staleVersion,
  /// The list that this one was read after has been replaced meanwhile.
  listReplaced,
  olderGeneration,
  changeIdReused,
  tooLarge,
  invalidConfiguration,
  invalidEndpointList,
  invalidCertificates,
  invalidAlert,
  /// The rejection would rest on a key that is not recovered yet.
  unconfirmed,
  /// The call's base is older than all changes that the key's history covers.
  outcomeForgotten,
  outcomeUnknown,
};

/// Status and text of a rejection as they stand on the page.
struct RejectionText {
  core::HttpStatus status;
  char const* error;
};

RejectionText rejectionText(RejectionReason reason);

/// The call is rejected and changes nothing.
struct Rejection {
  RejectionReason reason = RejectionReason::notFound;
  std::string detail = {};
  /// Place of the fault in the call's body, as a JSON pointer; empty: none.
  std::string pointer = {};
  /// What is committed now, where the caller needs it to build on.
  std::optional<std::uint64_t> revision = {};
  std::optional<std::int64_t> version = {};
};

/// A read.
struct Page {
  QJsonObject body;
};

/// The same change was accepted before; it takes no effect a second time.
struct Replay {
  /// Status that the change was first answered with.
  int status = core::code(core::HttpStatus::ok);
  /// Revision that the change became.
  std::uint64_t revision = 0;
  std::optional<std::int64_t> version = {};
};

/// The call becomes the key's next value.
struct AcceptedChange {
  /// The next value, without the window of change ids.
  QJsonObject value;
  core::HttpStatus status = core::HttpStatus::ok;
  /// Revision that the change becomes; nothing: a controller's own change, whose reply nobody reads.
  std::optional<std::uint64_t> revision = {};
  std::optional<std::int64_t> version = {};
  std::optional<bool> evacuated = {};
  /// Tenants that are left without a certificate, one line each.
  std::vector<std::string> uncovered = {};
  /// A dry run is marked on the page, and always has status 200.
  bool marksDryRun = false;
};

using ValidationResult = std::variant<Rejection, Page, Replay, AcceptedChange>;

/// The result as the consensus layer takes it: HTTP status and JSON body of the reply, and the value to propose.
consensus::Verdict verdictOf(ValidationResult const& result, transport::OperatorCall const& call);

}  // namespace corkward::control
