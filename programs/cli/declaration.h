#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

namespace corkward::programs {

/// One declaration of a directory.
struct Declaration {
  enum class Kind { templateSpec, instance, certificates };

  Kind kind = Kind::templateSpec;
  /// Empty for certificates.
  std::string templateName;
  /// Empty but for an instance.
  std::string instance;
  QJsonObject spec;
  /// File that it stands in, for messages.
  std::string file;
  /// Path of what it declares in the operator interface.
  std::string path() const;
};

/// Reads every *.json file below a directory, in the order of their paths. Throws UsageError with file and reason.
std::vector<Declaration> readDeclarations(std::string const& directory);

}  // namespace corkward::programs
