#include "declaration.h"

#include <QDir>
#include <QDirIterator>
#include <algorithm>
#include <map>
#include <utility>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "operator_client.h"
#include "operator_paths.h"

namespace corkward::programs {

namespace {

std::vector<std::string> jsonFilesBelow(std::string const& directory) {
  if (!QDir(core::toQString(directory)).exists()) throw UsageError("no such directory: " + directory);
  std::vector<std::string> files;
  QDirIterator it(core::toQString(directory), {"*.json"}, QDir::Files, QDirIterator::Subdirectories);
  while (it.hasNext()) files.push_back(core::toStdString(it.next()));
  std::sort(files.begin(), files.end());
  if (files.empty()) throw UsageError(directory + ": contains no *.json file");
  return files;
}

QJsonObject readObject(std::string const& file) {
  try {
    QJsonValue const value = core::parseJson(readFile(file));
    if (!value.isObject()) throw UsageError(file + ": /: must be an object");
    return value.toObject();
  } catch (core::JsonError const& error) {
    throw UsageError(file + ": " + error.what());
  }
}

void checkFields(std::string const& file, QJsonObject const& object) {
  for (QString const& field : object.keys())
    if (field != "template" && field != "instance" && field != "spec")
      throw UsageError(file + ": /" + core::toStdString(field) + ": unknown field");
}

Declaration readDeclaration(std::string const& file) {
  QJsonObject const object = readObject(file);
  Declaration out;
  out.file = file;
  if (object.contains("regimes")) {
    out.kind = Declaration::Kind::certificates;
    out.spec = object;
    return out;
  }
  checkFields(file, object);
  out.templateName = core::toStdString(object.value("template").toString());
  if (!config::isValidName(out.templateName)) throw UsageError(file + ": /template: must be a name");
  out.instance = core::toStdString(object.value("instance").toString());
  bool const isInstance = object.contains("instance");
  if (isInstance && !config::isValidName(out.instance)) throw UsageError(file + ": /instance: must be a name");
  if (isInstance) out.kind = Declaration::Kind::instance;
  if (!object.value("spec").isObject()) throw UsageError(file + ": /spec: must be an object");
  out.spec = object.value("spec").toObject();
  return out;
}

}  // namespace

std::string Declaration::path() const {
  return kind == Kind::certificates ? paths::certificates : paths::ofTemplate(templateName, instance);
}

std::vector<Declaration> readDeclarations(std::string const& directory) {
  std::vector<Declaration> out;
  std::map<std::string, std::string> fileByPath;
  for (std::string const& file : jsonFilesBelow(directory)) {
    Declaration declaration = readDeclaration(file);
    auto const [entry, isNew] = fileByPath.try_emplace(declaration.path(), file);
    if (!isNew && declaration.kind == Declaration::Kind::certificates)
      throw UsageError(file + ": /regimes: regimes are already declared in " + entry->second);
    if (!isNew) throw UsageError(file + ": " + declaration.path() + " is already declared in " + entry->second);
    out.push_back(std::move(declaration));
  }
  return out;
}

}  // namespace corkward::programs
