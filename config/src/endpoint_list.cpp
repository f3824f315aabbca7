/// Reads endpoint lists from JSON, with all checks, and writes them as JSON.

#include <QJsonArray>
#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <corkward/config/config.h>
#include <corkward/core/json.h>

#include "checks.h"

namespace corkward::config {

namespace {

using core::toStdString;

/// Maximum number of replicas in one endpoint list.
constexpr qsizetype maxReplicas = 4096;
constexpr int maxSlowStartRate = 1000;
constexpr int maxPort = 65535;
/// Length of a colon and the digits of the highest port.
constexpr std::size_t maxPortSuffixBytes = 6;

/// Ids and addresses of the replicas that have been parsed so far. Each may occur only once in an endpoint list.
struct UsedReplicaNames {
  std::set<std::string> ids;
  std::set<std::string> addresses;
};

struct ReplicaStateName {
  char const* name;
  ReplicaState state;
};

/// The names of the states in the JSON of an endpoint list.
constexpr std::array<ReplicaStateName, 3> replicaStateNames{
    {{"serving", ReplicaState::serving}, {"cold", ReplicaState::warmingUp}, {"leaving", ReplicaState::draining}}};

char const* nameOf(ReplicaState state) {
  auto const known = std::find_if(replicaStateNames.begin(), replicaStateNames.end(),
                                  [&](ReplicaStateName const& entry) { return entry.state == state; });
  CORKWARD_INVARIANT(known != replicaStateNames.end());
  return known->name;
}

std::uint64_t readGeneration(QJsonValue const& value) {
  if (!isInteger(value) || value.toInteger() < 1) throw ConfigError("/generation", "must be an integer of 1 or more");
  return static_cast<std::uint64_t>(value.toInteger());
}

double readSlowStartRate(QJsonValue const& value) {
  double const rate = value.toDouble(-1);
  if (!(rate >= 0 && rate <= maxSlowStartRate))
    throw ConfigError("/coldRate", "must be a number from 0 to " + std::to_string(maxSlowStartRate));
  return rate;
}

std::string readReplicaId(QJsonValue const& value, std::string const& at) {
  std::string id = toStdString(value.toString());
  if (id.empty() || id.size() > maxTextBytes)
    throw ConfigError(at, "must be a text of 1 to " + std::to_string(maxTextBytes) + " bytes");
  return id;
}

/// Whether a text has the form ADDRESS:PORT with a valid port. The address itself is not checked.
bool isAddressWithPort(std::string const& text) {
  std::size_t const colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  std::string const digits = text.substr(colon + 1);
  if (digits.empty() || digits.size() >= maxPortSuffixBytes) return false;
  if (!std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; })) return false;
  int const port = std::stoi(digits);
  return port > 0 && port <= maxPort;
}

ReplicaState readReplicaState(QString const& name, std::string const& at) {
  for (ReplicaStateName const& known : replicaStateNames)
    if (name == QLatin1String(known.name)) return known.state;
  throw ConfigError(at, "must be serving, cold or leaving");
}

Replica readReplica(QJsonObject const& value, UsedReplicaNames& used, std::string const& at) {
  rejectUnknownFields(value, {"id", "address", "zone", "state"}, at);
  Replica replica;
  if (value.contains("id")) {
    replica.id = readReplicaId(value.value("id"), at + "/id");
    if (!used.ids.insert(replica.id).second) throw ConfigError(at + "/id", "stands twice");
  }
  replica.address = toStdString(value.value("address").toString());
  if (!isAddressWithPort(replica.address)) throw ConfigError(at + "/address", "must be ip:port");
  if (!used.addresses.insert(replica.address).second) throw ConfigError(at + "/address", "stands twice");
  replica.zone = toStdString(value.value("zone").toString());
  if (!isValidLabel(replica.zone)) throw ConfigError(at + "/zone", "not a valid name");
  replica.state = readReplicaState(value.value("state").toString(), at + "/state");
  return replica;
}

}  // namespace

EndpointList readStoredEndpointList(QJsonObject value) {
  return readEndpointList(removeChangeHistory(std::move(value)));
}

QJsonObject endpointListJson(EndpointList const& list) {
  QJsonArray replicas;
  for (Replica const& replica : list.replicas) {
    QJsonObject value{{"address", core::toQString(replica.address)},
                      {"zone", core::toQString(replica.zone)},
                      {"state", nameOf(replica.state)}};
    if (!replica.id.empty()) value.insert("id", core::toQString(replica.id));
    replicas.append(value);
  }
  return QJsonObject{
      {"generation", static_cast<qint64>(list.generation)}, {"coldRate", list.slowStartRate}, {"replicas", replicas}};
}

EndpointList readEndpointList(QJsonObject const& value) {
  rejectUnknownFields(value, {"generation", "coldRate", "replicas"}, "");
  EndpointList list;
  list.generation = readGeneration(value.value("generation"));
  if (value.contains("coldRate")) list.slowStartRate = readSlowStartRate(value.value("coldRate"));
  if (!value.value("replicas").isArray()) throw ConfigError("/replicas", "must be a list");
  QJsonArray const replicas = value.value("replicas").toArray();
  if (replicas.size() > maxReplicas) throw ConfigError("/replicas", "more than " + std::to_string(maxReplicas));
  UsedReplicaNames used;
  for (qsizetype i = 0; i < replicas.size(); ++i) {
    std::string const at = "/replicas/" + std::to_string(i);
    if (!replicas.at(i).isObject()) throw ConfigError(at, "must be an object");
    list.replicas.push_back(readReplica(replicas.at(i).toObject(), used, at));
  }
  return list;
}

}  // namespace corkward::config
