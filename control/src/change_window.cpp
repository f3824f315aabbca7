#include "change_window.h"

#include <corkward/config/config.h>
#include <corkward/control/validator.h>
#include <corkward/core/json.h>

#include "json_fields.h"

namespace corkward::control {

namespace {

constexpr QLatin1String idField("id");
constexpr QLatin1String digestField("digest");
constexpr QLatin1String bytesField("bytes");

ChangeWindow::Change changeOf(QJsonObject const& stored) {
  ChangeWindow::Change change;
  change.id = core::toStdString(stored.value(idField).toString());
  change.digest = stored.value(digestField).toString();
  change.status = stored.value(fields::status).toInt();
  change.revision = static_cast<std::uint64_t>(stored.value(fields::revision).toInteger());
  if (stored.contains(fields::version)) change.version = stored.value(fields::version).toInteger();
  if (stored.contains(bytesField)) change.bytes = stored.value(bytesField).toInteger();
  return change;
}

}  // namespace

ChangeWindow::ChangeWindow(QJsonObject const& value) : changes_(value.value(fields::changes).toArray()) {}

std::optional<ChangeWindow::Change> ChangeWindow::find(std::string const& id) const {
  QString const wanted = core::toQString(id);
  for (QJsonValue const entry : changes_) {
    QJsonObject const stored = entry.toObject();
    if (stored.value(idField).toString() == wanted) return changeOf(stored);
  }
  return std::nullopt;
}

std::int64_t ChangeWindow::lastBytes() const {
  constexpr auto most = static_cast<std::int64_t>(maxFleetConfigurationBytes);
  if (changes_.isEmpty()) return most;
  return changes_.last().toObject().value(bytesField).toInteger(most);
}

void ChangeWindow::append(Change const& change) {
  QJsonObject stored{{idField, core::toQString(change.id)},
                     {digestField, change.digest},
                     {fields::status, change.status},
                     {fields::revision, static_cast<qint64>(change.revision)}};
  if (change.version) stored.insert(fields::version, static_cast<qint64>(*change.version));
  if (change.bytes) stored.insert(bytesField, static_cast<qint64>(*change.bytes));
  changes_.append(stored);
}

QJsonArray ChangeWindow::json() const {
  QJsonArray bounded = changes_;
  while (static_cast<std::size_t>(bounded.size()) > config::changeWindow) bounded.removeFirst();
  return bounded;
}

}  // namespace corkward::control
