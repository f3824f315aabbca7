#pragma once

#include <QJsonObject>
#include <algorithm>
#include <initializer_list>
#include <string>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

namespace corkward::config {

/// Throws ConfigError if the object has a field that is not allowed.
/// @param at JSON pointer to the object, here and in all other functions of this package that check a value
inline void rejectUnknownFields(QJsonObject const& o, std::initializer_list<char const*> allowed,
                                std::string const& at) {
  qsizetype const known =
      std::count_if(allowed.begin(), allowed.end(), [&](char const* a) { return o.contains(QLatin1String(a)); });
  if (known == o.size()) return;
  for (QString const& k : o.keys())
    if (std::none_of(allowed.begin(), allowed.end(), [&](char const* a) { return k == QLatin1String(a); }))
      throw ConfigError(at + "/" + core::toStdString(k), "unknown field");
}

/// Whether a value is a number without a fractional part, such as 3 or 3.0.
inline bool isInteger(QJsonValue const& v) {
  return v.isDouble() && v.toDouble() == static_cast<double>(v.toInteger());
}

}  // namespace corkward::config
