#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

#include <corkward/http/server.h>
#include <corkward/transport/message.h>

namespace corkward::http {

/// A complete response.
struct Response {
  int status = 200;
  HeaderList headers;
  std::string body;
};

/// A request of an operator or the platform as an event for the control plane, or the response to one that is none.
struct OperatorRequest {
  /// Empty for a request that is answered at once.
  std::optional<transport::OperatorCall> call;
  Response immediateResponse;
};

/// Maps HTTP to the control plane's events and back; there is one for each HTTP surface. Mappings keep no state.
class OperatorMapping {
 public:
  OperatorMapping() = default;
  virtual ~OperatorMapping() = default;
  OperatorMapping(OperatorMapping const&) = delete;
  OperatorMapping& operator=(OperatorMapping const&) = delete;
  OperatorMapping(OperatorMapping&&) = delete;
  OperatorMapping& operator=(OperatorMapping&&) = delete;
  /// Reads a request as a call. Its change id is the caller's, or the given one.
  virtual OperatorRequest operatorCall(Request const& request, std::string const& freshChangeId) const = 0;
  /// The response to a call.
  /// @param call the call without its body
  virtual Response response(transport::OperatorCall const& call, int status, QJsonObject const& body) const = 0;
};

/// The product's own operator interface; see docs/interface.md.
class NativeOperatorMapping : public OperatorMapping {
 public:
  OperatorRequest operatorCall(Request const& request, std::string const& freshChangeId) const override;
  Response response(transport::OperatorCall const& call, int status, QJsonObject const& body) const override;
};

}  // namespace corkward::http
