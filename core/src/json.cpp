#include <corkward/core/error.h>
#include <corkward/core/json.h>

#include <QJsonDocument>
#include <algorithm>
#include <simdjson.h>
#include <vector>

namespace corkward::core {

namespace {

constexpr int maxDepth = 32;
/// Memory of an array or object, and of any other value, once it is parsed.
constexpr std::uint64_t containerBytes = 128;
constexpr std::uint64_t valueBytes = 32;

/// Throws JsonError for values that Qt's types cannot represent, or would represent differently.
void checkRepresentable(simdjson::dom::element const e, int depth) {
  if (depth > maxDepth) throw JsonError("nested deeper than 32");
  if (e.type() == simdjson::dom::element_type::UINT64) throw JsonError("integer out of range");
  if (e.is_array())
    for (simdjson::dom::element const item : simdjson::dom::array(e)) checkRepresentable(item, depth + 1);
  if (!e.is_object()) return;
  std::vector<std::string_view> keys;
  for (simdjson::dom::key_value_pair const field : simdjson::dom::object(e)) {
    keys.push_back(field.key);
    checkRepresentable(field.value, depth + 1);
  }
  std::sort(keys.begin(), keys.end());
  auto const duplicate = std::adjacent_find(keys.begin(), keys.end());
  if (duplicate != keys.end()) throw JsonError("duplicate key \"" + std::string(*duplicate) + "\"");
}

}  // namespace

std::uint64_t estimateJsonMemory(std::string_view text) {
  std::uint64_t containers = 0;
  std::uint64_t separators = 0;
  bool inString = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char const c = text[i];
    if (c == '"') inString = !inString;
    if (inString) {
      if (c == '\\') ++i;
      continue;
    }
    containers += c == '[' || c == '{' ? 1 : 0;
    separators += c == ',' || c == ':' ? 1 : 0;
  }
  return text.size() + containers * containerBytes + separators * valueBytes;
}

QJsonValue parseJson(std::string_view text) {
  if (estimateJsonMemory(text) > maxParsedJsonBytes) throw JsonError("too many values");
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  simdjson::error_code const ec = parser.parse(text.data(), text.size()).get(root);
  if (ec != simdjson::SUCCESS) throw JsonError(simdjson::error_message(ec));
  checkRepresentable(root, 0);
  QJsonParseError error;
  QJsonArray const wrapped =
      QJsonDocument::fromJson("[" + QByteArray::fromRawData(text.data(), static_cast<qsizetype>(text.size())) + "]",
                              &error)
          .array();
  if (error.error != QJsonParseError::NoError) throw JsonError(error.errorString().toStdString());
  return wrapped.first();
}

std::string jsonText(QJsonValue const& value) {
  if (value.isObject()) return QJsonDocument(value.toObject()).toJson(QJsonDocument::Compact).toStdString();
  if (value.isArray()) return QJsonDocument(value.toArray()).toJson(QJsonDocument::Compact).toStdString();
  std::string const wrapped = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact).toStdString();
  return wrapped.substr(1, wrapped.size() - 2);
}

QJsonValue mergePatch(QJsonValue const& target, QJsonValue const& patch) {
  if (!patch.isObject()) return patch;
  QJsonObject out = target.isObject() ? target.toObject() : QJsonObject();
  QJsonObject const fields = patch.toObject();
  for (auto it = fields.begin(); it != fields.end(); ++it) {
    if (it.value().isNull())
      out.remove(it.key());
    else
      out.insert(it.key(), mergePatch(out.value(it.key()), it.value()));
  }
  return out;
}

}  // namespace corkward::core
