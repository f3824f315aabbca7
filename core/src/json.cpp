#include <corkward/core/error.h>
#include <corkward/core/json.h>

#include <QJsonDocument>
#include <simdjson.h>

namespace corkward::core {

namespace {

constexpr int maxDepth = 32;

QJsonValue convert(simdjson::dom::element const e, int depth) {
  if (depth > maxDepth) throw JsonError("nested deeper than 32");
  switch (e.type()) {
    case simdjson::dom::element_type::ARRAY: {
      QJsonArray out;
      for (simdjson::dom::element const item : simdjson::dom::array(e)) out.append(convert(item, depth + 1));
      return out;
    }
    case simdjson::dom::element_type::OBJECT: {
      QJsonObject out;
      for (simdjson::dom::key_value_pair const field : simdjson::dom::object(e)) {
        QString const key = QString::fromUtf8(field.key.data(), static_cast<qsizetype>(field.key.size()));
        if (out.contains(key)) throw JsonError("duplicate key \"" + str(key) + "\"");
        out.insert(key, convert(field.value, depth + 1));
      }
      return out;
    }
    case simdjson::dom::element_type::INT64:
      return QJsonValue(static_cast<qint64>(std::int64_t(e)));
    case simdjson::dom::element_type::UINT64:
      throw JsonError("integer out of range");
    case simdjson::dom::element_type::DOUBLE:
      return QJsonValue(double(e));
    case simdjson::dom::element_type::STRING: {
      std::string_view const s = std::string_view(e);
      return QString::fromUtf8(s.data(), static_cast<qsizetype>(s.size()));
    }
    case simdjson::dom::element_type::BOOL:
      return QJsonValue(bool(e));
    case simdjson::dom::element_type::NULL_VALUE:
      break;
  }
  return QJsonValue(QJsonValue::Null);
}

}  // namespace

QJsonValue parseJson(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  simdjson::error_code const ec = parser.parse(text.data(), text.size()).get(root);
  if (ec != simdjson::SUCCESS) throw JsonError(simdjson::error_message(ec));
  return convert(root, 0);
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
  for (QJsonObject::const_iterator it = fields.begin(); it != fields.end(); ++it) {
    if (it.value().isNull())
      out.remove(it.key());
    else
      out.insert(it.key(), mergePatch(out.value(it.key()), it.value()));
  }
  return out;
}

}  // namespace corkward::core
