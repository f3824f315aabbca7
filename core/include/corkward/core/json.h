#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <cstdint>
#include <string>
#include <string_view>

namespace corkward::core {

/// The most memory that a parsed text may take, by estimateJsonMemory().
inline constexpr std::uint64_t maxParsedJsonBytes = 48ULL << 20;

/// Parses and checks JSON with simdjson. Throws JsonError if the text is not valid JSON, has duplicate keys in an
/// object, is nested deeper than 32, has an integer that does not fit into 64 bits with sign, or would take more than
/// maxParsedJsonBytes.
QJsonValue parseJson(std::string_view text);

/// Returns an upper estimate of the memory that a text takes once it is parsed, in bytes, without parsing it: small
/// values take many times their text.
std::uint64_t estimateJsonMemory(std::string_view text);

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
