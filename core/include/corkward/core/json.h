#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <string>
#include <string_view>

namespace corkward::core {

/// Parses and checks JSON with simdjson. Throws JsonError if the text is not valid JSON, has duplicate keys in an
/// object, is nested deeper than 32, or has an integer that does not fit into 64 bits with sign.
QJsonValue parseJson(std::string_view text);

/// Returns the compact text of a value, with sorted keys.
std::string jsonText(QJsonValue const& value);

/// Returns the target with a JSON Merge Patch (RFC 7396) applied.
QJsonValue mergePatch(QJsonValue const& target, QJsonValue const& patch);

// Conversions between the string types of Qt and the standard library.
inline std::string toStdString(QString const& s) {
  return s.toStdString();
}
inline QString toQString(std::string const& s) {
  return QString::fromStdString(s);
}

}  // namespace corkward::core
