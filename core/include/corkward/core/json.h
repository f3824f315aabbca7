#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <string>
#include <string_view>

namespace corkward::core {

/// Parses and checks JSON with simdjson; throws JsonError. Duplicate keys and depth over 32 are rejected.
QJsonValue parseJson(std::string_view text);

/// Compact text of a value, keys in order.
std::string jsonText(QJsonValue const& value);

/// JSON Merge Patch (RFC 7396).
QJsonValue mergePatch(QJsonValue const& target, QJsonValue const& patch);

/// Shorthands between the string types.
inline std::string toStdString(QString const& s) {
  return s.toStdString();
}
inline QString toQString(std::string const& s) {
  return QString::fromStdString(s);
}

}  // namespace corkward::core
