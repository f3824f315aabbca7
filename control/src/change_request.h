#pragma once

/// Functions that the validators of all kinds of targets share: reading a call's body, checking the base revision that
/// it names, and looking the change up in the key's history.

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "validation_result.h"

namespace corkward::control {

/// Returns the value of If-Match without the quotes of an entity tag, which operators may omit.
std::string unquotedIfMatch(std::string const& ifMatch);

/// Returns true if the call names this revision or version as its base.
bool isBuiltOn(transport::OperatorCall const& call, std::uint64_t base);

/// Returns the call's body as an object.
/// @throws core::JsonError if the body is not a JSON object
QJsonObject readBody(transport::OperatorCall const& call);

/// Returns the body of a change, which is an empty object for a deletion.
/// @throws core::JsonError if the body is not a JSON object
QJsonObject changeBody(transport::OperatorCall const& call);

/// Returns the rejection of a call that names a base other than the newest one.
Rejection staleRevision(transport::OperatorCall const& call, std::uint64_t newest);

/// Returns a text such as "built on 3, but the newest is 5".
std::string staleBaseText(transport::OperatorCall const& call, std::uint64_t newest);

/// Returns the result of a change that is in the key's history or is older than the history, or std::nullopt if the
/// change was not accepted before.
/// @param revision the key's newest revision
/// @param newest newest base that a change of the key can name now
std::optional<ValidationResult> resultFromHistory(std::uint64_t revision, std::uint64_t newest,
                                                  transport::OperatorCall const& call, std::string const& digest,
                                                  QJsonObject const& value);

/// Returns the key's history with one more change, which names the newest base.
QJsonObject historyWith(QJsonObject const& value, std::uint64_t newest, std::string const& digest);

/// Runs a validation and returns a rejection if it throws an error about the call's body.
/// @param invalid reason for rejecting a body that is JSON but not valid for its target
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
