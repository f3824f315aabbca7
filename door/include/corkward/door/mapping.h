#pragma once

#include <optional>
#include <string>

#include <corkward/door/server.h>
#include <corkward/rotor/plane.h>
#include <corkward/substation/plane.h>

namespace corkward::door {

/// A caller's request as the data plane's event, or the fault that it is answered with at once.
struct CallerRequest {
  std::optional<rotor::Request> request;
  int status = 0;
  std::string reason;
};

/// Reads POST /v1/{instance}/{path...} and its headers.
CallerRequest callerRequest(Request const& request);

/// Reads an operator's or the platform's request as a call. The change id is the caller's, or the given one.
signal::Call operatorCall(Request const& request, std::string const& freshChangeId);

/// Header fields of an operator's answer: type, ETag from the version or the stamp, Retry-After.
Fields operatorFields(int status, QJsonObject const& body);

/// Header fields and body of a denial, or of an outcome that is not known.
Fields denyFields(rotor::Deny const& deny);
std::string denyBody(rotor::Deny const& deny);

}  // namespace corkward::door
