#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <string>
#include <vector>

#include <corkward/core/error.h>

namespace corkward::programs {

/// A command line, runbook or address that cannot be used; nothing was sent.
class UsageError : public core::Error {
 public:
  using core::Error::Error;
};

/// One call to the operator interface.
struct OperatorCall {
  std::string method;
  std::string path;
  std::string body;
  std::string revision;
  std::string changeId;
  bool dryRun = false;
};

/// Its outcome; status 0: no answer.
struct OperatorOutcome {
  int status = 0;
  QByteArray text;
  QJsonObject body;
  std::string revision;
  std::string error;
  std::string from;
};

/// Sends the call to the first of the controllers that answers, and waits. Change ids make a second sending harmless.
OperatorOutcome callOperator(std::vector<std::string> const& controllers, OperatorCall const& call, int limitSeconds);

/// Sends a change again under its id until it is in force, rejected, or the time is over; the newest outcome.
OperatorOutcome waitInForce(std::vector<std::string> const& controllers, OperatorCall const& call,
                            OperatorOutcome first, int limitSeconds, int waitSeconds);

/// Reads a file, or standard input for "-". Throws UsageError.
std::string readFile(std::string const& path);

}  // namespace corkward::programs
