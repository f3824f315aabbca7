#pragma once

/// What the validators of all kinds of target share: a call's body, the revision that it was built on, and its outcome
/// by its key's history.

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "validation_result.h"

namespace corkward::control {

/// If-Match as operators may write it, without the quotes of an entity tag.
std::string unquotedIfMatch(std::string const& ifMatch);

/// True when the call names as its base this revision or version.
bool isBuiltOn(transport::OperatorCall const& call, std::uint64_t base);

/// The call's body as an object; throws core::JsonError.
QJsonObject readBody(transport::OperatorCall const& call);

/// Body of a change; a deletion has none. Throws core::JsonError.
QJsonObject changeBody(transport::OperatorCall const& call);

/// Rejection of a call on a base that is not the newest.
Rejection staleRevision(transport::OperatorCall const& call, std::uint64_t newest);

/// "built on 3, but the newest is 5".
std::string staleBaseText(transport::OperatorCall const& call, std::uint64_t newest);

/// Result of a call that the key's history knows, or that is older than the history; nothing: it was not accepted.
/// @param revision the key's newest revision
/// @param newest highest base that a change of the key can be built on now
std::optional<ValidationResult> resultFromHistory(std::uint64_t revision, std::uint64_t newest,
                                                  transport::OperatorCall const& call, std::string const& digest,
                                                  QJsonObject const& value);

/// The key's history with one more change, which was built on its newest base.
QJsonObject historyWith(QJsonObject const& value, std::uint64_t newest, std::string const& digest);

/// Runs a validation and turns what reading the call's body throws into a rejection.
/// @param invalid reason of a body that is JSON but not valid for its target
template <class Validation>
ValidationResult rejectingErrors(RejectionReason invalid, Validation const& validation) {
  try {
    return validation();
  } catch (core::JsonError const& error) {
    return Rejection{RejectionReason::malformed, error.what(), "/"};
  } catch (config::ConfigError const& error) {
    return Rejection{invalid, error.reason(), error.pointer()};
  }
}

}  // namespace corkward::control
