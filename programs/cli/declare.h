#pragma once

#include <QJsonObject>
#include <functional>
#include <string>
#include <vector>

#include "operator_client.h"

namespace corkward::programs {

/// One declaration of a folder: a template, or an instance when a name is given, or regimes and certificates when no
/// template is.
struct Declaration {
  std::string templateName;
  std::string instance;
  QJsonObject spec;
  std::string file;
  std::string path() const;
};

/// One change that brings what is in force to what is declared.
struct PlannedChange {
  std::string action;
  OperatorCall call;
};

/// Reads every *.json file below the folder. Throws UsageError with file and reason.
std::vector<Declaration> readFolder(std::string const& folder);

using Ask = std::function<OperatorOutcome(OperatorCall const&)>;

/// What is to be done, in an order in which every step is valid; checked whole before anything is sent.
/// Throws UsageError when the declarations are no valid configuration, core::Error when the state cannot be read.
std::vector<PlannedChange> planChanges(std::vector<Declaration> const& declared, bool prune, Ask const& ask);

/// `corkward diff DIR` and `corkward apply DIR`.
struct ApplyConnections {
  std::string folder;
  bool apply = false;
  bool dryRun = false;
  bool prune = false;
  bool json = false;
  int limitSeconds = 15;
  int waitSeconds = 60;
};
int declare(std::vector<std::string> const& controllers, ApplyConnections const& ways,
            std::function<int(int)> const& exitCode);

}  // namespace corkward::programs
