#pragma once

/// Calls of operators between controllers.

#include <QJsonObject>
#include <cstdint>
#include <string>

namespace corkward::transport {

/// An operator's call, relayed to the controller that owns its key.
struct OperatorCall {
  std::uint64_t token = 0;
  std::string method;
  std::string path;
  std::string ifMatch;
  std::string changeId;
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

/// Answer to a Call of the same token.
struct OperatorCallReply {
  std::uint64_t token = 0;
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
