#include <corkward/control/committed_values.h>

#include <corkward/core/json.h>

#include "json_fields.h"
#include "keys.h"

namespace corkward::control {

consensus::CommittedValue const* findValue(CommittedValues const& values, std::string const& key) {
  auto const it = values.find(key);
  return it == values.end() ? nullptr : &it->second;
}

std::uint64_t revisionOf(CommittedValues const& values, std::string const& key) {
  consensus::CommittedValue const* const value = findValue(values, key);
  return value == nullptr ? 0 : value->revision;
}

std::uint64_t revisionOf(CommittedValues const& values, Target const& target) {
  consensus::CommittedValue const* const committed = findValue(values, target.key);
  if (committed == nullptr) return 0;
  if (target.templateName.empty()) return committed->revision;
  QJsonObject const& family = committed->value;
  QJsonValue const entry = target.entry.empty()
                               ? family.value(fields::templateSpec)
                               : family.value(fields::instances).toObject().value(core::toQString(target.entry));
  return static_cast<std::uint64_t>(entry.toObject().value(fields::revision).toInteger());
}

std::uint64_t generationOf(CommittedValues const& values, std::string const& pool) {
  consensus::CommittedValue const* const list = findValue(values, keyOf(poolKeyPrefix, pool));
  return list == nullptr ? 0 : static_cast<std::uint64_t>(list->value.value(fields::generation).toInteger());
}

}  // namespace corkward::control
