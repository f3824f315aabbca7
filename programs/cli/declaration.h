#pragma once

#include <QJsonObject>
#include <string>
#include <vector>

namespace corkward::programs {

/// A declaration of a template, an instance or the certificates, read from one file.
struct Declaration {
  enum class Kind { templateSpec, instance, certificates };

  Kind kind = Kind::templateSpec;
  /// Empty for certificates.
  std::string templateName;
  /// Empty unless an instance is declared.
  std::string instance;
  QJsonObject spec;
  /// The file of the declaration, for error texts.
  std::string file;
  /// Returns the path of the declared resource in the operator interface.
  std::string path() const;
};

/// Reads all *.json files in a directory and its subdirectories, in the order of their paths. Throws UsageError with
/// the file and the reason if one is invalid.
std::vector<Declaration> readDeclarations(std::string const& directory);

}  // namespace corkward::programs
