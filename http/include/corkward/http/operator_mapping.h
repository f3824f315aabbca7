#pragma once

#include <QJsonObject>
#include <optional>
#include <string>

#include <corkward/http/server.h>
#include <corkward/transport/message.h>

namespace corkward::http {

/// A whole answer.
struct Response {
  int status = 200;
  HeaderList fields;
  std::string body;
};

/// An operator's or the platform's request as the control plane's event, or what it is answered with at once.
struct OperatorRequest {
  std::optional<transport::OperatorCall> call;
  Response answer;
};

/// The one mapping between HTTP and the control plane's events.
class OperatorMapping {
 public:
  virtual ~OperatorMapping() = default;
  /// Reads a request as a call. The change id is the caller's, or the given one.
  virtual OperatorRequest operatorCall(Request const& request, std::string const& freshChangeId) const = 0;
  /// @param call the call that is answered, without its body
  virtual Response answer(transport::OperatorCall const& call, int status, QJsonObject const& body) const = 0;
};

/// The product's own operator interface; see docs/interface.md.
class NativeOperatorMapping : public OperatorMapping {
 public:
  OperatorRequest operatorCall(Request const& request, std::string const& freshChangeId) const override;
  Response answer(transport::OperatorCall const& call, int status, QJsonObject const& body) const override;
};

}  // namespace corkward::http
