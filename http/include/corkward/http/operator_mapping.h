#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

#include <corkward/http/server.h>
#include <corkward/transport/message.h>

namespace corkward::http {

/// A complete HTTP response.
struct Response {
  int status = 200;
  HeaderList headers;
  std::string body;
};

/// A request of an operator or the platform: either a call for the control plane, or a response that is sent without
/// involving the control plane.
struct OperatorRequest {
  /// std::nullopt if immediateResponse is the response to the request.
  std::optional<transport::OperatorCall> call;
  Response immediateResponse;
};

/// Translates between HTTP and the control plane's operator calls. Each HTTP interface has an implementation. Mappings
/// are stateless.
class OperatorMapping {
 public:
  OperatorMapping() = default;
  virtual ~OperatorMapping() = default;
  OperatorMapping(OperatorMapping const&) = delete;
  OperatorMapping& operator=(OperatorMapping const&) = delete;
  OperatorMapping(OperatorMapping&&) = delete;
  OperatorMapping& operator=(OperatorMapping&&) = delete;
  /// Translates an HTTP request to an operator call.
  /// @param generatedChangeId change id of the call if the request names none
  virtual OperatorRequest operatorCall(Request const& request, std::string const& generatedChangeId) const = 0;
  /// Returns the HTTP response to a call.
  /// @param call the call; its body is empty
  /// @param body the control plane's reply
  virtual Response response(transport::OperatorCall const& call, int status, QJsonObject const& body) const = 0;
};

/// The product's native operator interface; see docs/interface.md.
class NativeOperatorMapping : public OperatorMapping {
 public:
  OperatorRequest operatorCall(Request const& request, std::string const& generatedChangeId) const override;
  Response response(transport::OperatorCall const& call, int status, QJsonObject const& body) const override;
};

}  // namespace corkward::http
