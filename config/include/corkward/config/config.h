#pragma once

#include <QJsonObject>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/types.h>

namespace corkward::config {

/// A configuration that is valid JSON but not a valid template, instance, pool or zone; says the place as a JSON
/// pointer.
class ConfigError : public core::Error {
 public:
  ConfigError(std::string pointer, std::string reason)
      : core::Error(pointer + ": " + reason), pointer_(std::move(pointer)), reason_(std::move(reason)) {}
  std::string const& pointer() const { return pointer_; }
  std::string const& reason() const { return reason_; }

 private:
  std::string pointer_;
  std::string reason_;
};

/// Classes of requests, in the order in which they get their first words.
enum class RequestClass { urgent, quick, bulk };

/// What a class is called in configurations, its aim for the first word and its deadline unless a path says otherwise.
struct RequestClassDefaults {
  std::string_view name;
  RequestClass requestClass;
  core::Milliseconds latencyTarget;
  core::Milliseconds deadline;
};

inline constexpr RequestClassDefaults requestClassDefaults[] = {{"urgent", RequestClass::urgent, 300, 3000},
                                                                {"short", RequestClass::quick, 800, 10000},
                                                                {"long", RequestClass::bulk, 2500, 60000}};

/// A pool's share of a path's requests.
struct WeightedPool {
  std::string pool;
  std::uint32_t weight = 1;
};

/// One path, ready to be served: of an instance, or of the whole configuration.
struct Path {
  /// Instance, or the path's own name in the whole configuration.
  std::string instance;
  /// Path below the instance; empty in the whole configuration.
  std::string path;
  /// Host and path prefix by which a request finds a path of the whole configuration; empty for an instance's path.
  std::string host;
  std::string prefix;
  std::string pool;
  /// Pools that share the requests; never empty, the first one is `pool`.
  std::vector<WeightedPool> weightedPools;
  RequestClass requestClass = RequestClass::quick;
  core::Milliseconds latencyTarget = 0;
  core::Milliseconds deadline = 0;
  /// Longest pause between two events that is still in time; 0: not said.
  core::Milliseconds eventGapTarget = 0;
  /// A broken stream may go on elsewhere after its last whole event.
  bool resumable = false;
  /// A request may run more than once.
  bool idempotent = false;
  /// The answer is a row of events.
  bool stream = false;
  /// Replicas that one request may be handed to at the most.
  int maxAttempts = 2;
  /// Rank at the replica, 0 first, 9 last.
  int urgency = 5;
  /// Regime whose certificates bind each request; empty: none.
  std::string regime;
  /// Requests need no tenant's key.
  bool isPublic = false;
};

/// A tenant of the whole configuration: who sends with one of its keys, how urgent that is, and how much it may send.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  /// Rank of its requests, in place of the paths' own; below 0: not said.
  int urgency = -1;
  /// What it may send in a second and beyond that at once, over all nodes together; 0: no limit.
  double ratePerSecond = 0;
  double burst = 0;
  /// Its limit counts tokens, those of the prompt and those asked for; else requests.
  bool inTokens = false;
  /// Tokens that a request counts as which does not say how many it has.
  std::int64_t defaultTokens = 0;
};

/// What the whole configuration says of a pool.
struct PoolSettings {
  std::string name;
  /// Connections that one replica takes from all callers.
  int maxConnections = 0;
  /// Requests a second that a cold replica bears, and how long it stays cold after its start.
  double slowStartRate = 0;
  core::Milliseconds slowStartDuration = 0;
  /// Requests that one replica runs at once, and tokens that its memory keeps; 0: not said.
  int concurrentRequests = 0;
  std::int64_t prefixCacheTokens = 0;
};

/// Bounds of the callers' HTTP edge; 0: not said.
struct HttpLimits {
  std::uint32_t headerByteLimit = 0;
  std::uint64_t bodyByteLimit = 0;
  core::Milliseconds headerTimeout = 0;
  core::Milliseconds idleTimeout = 0;
  bool operator==(HttpLimits const&) const = default;
};

/// The whole configuration: one value under one rising version.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<Path> paths;
  std::vector<PoolSettings> pools;
  /// None: no request needs a key.
  std::vector<Tenant> tenants;
  HttpLimits http;
};

/// Key of the whole configuration.
inline constexpr char const* fleetConfigurationKey = "blueprint";
/// Page at which operators read and change it.
inline constexpr char const* fleetConfigurationPage = "/v1/blueprint";

/// Reads and checks a whole configuration; throws Error.
FleetConfiguration readFleetConfiguration(QJsonObject const& spec);
/// The whole configuration after a change of named items:
/// {"version", "set": {"paths": [...], "pools": [...], "tenants": [...]}, "drop": {"paths": [names], ...}}; throws
/// Error.
QJsonObject patchFleetConfiguration(QJsonObject const& current, QJsonObject const& patch);

/// Limits of a configuration; texts in bytes.
inline constexpr std::size_t maxTextBytes = 128;
inline constexpr std::size_t maxPools = 2000;
inline constexpr std::size_t maxPaths = 10000;
inline constexpr std::size_t maxTenants = 10000;
inline constexpr std::size_t maxTenantKeys = 1000;
inline constexpr std::size_t maxInstances = 2000;
inline constexpr std::size_t maxRenderedPaths = 100000;
inline constexpr std::size_t changeWindow = 64;

/// True for names of templates, instances and alerts: a-z, 0-9 and '-', at most 63, not starting with '-'.
bool isValidName(std::string const& name);
/// True for what a platform may call its pools and zones: a text of one line, at most maxText bytes, neither "." nor
/// "..".
bool isValidLabel(std::string const& label);
/// A label as one part of a page's address, percent-encoded, and back.
std::string percentEncodeLabel(std::string const& label);
std::string percentDecodeLabel(std::string const& addressPart);

/// Tells whether a pool is known.
using IsKnownPool = std::function<bool(std::string const&)>;
/// Why a regime's requests could not be served in a pool; empty: they can.
using RegimeFaultText = std::function<std::string(std::string const& regime, std::string const& pool)>;

/// Checks a family (a template and all its instances) as one value; throws Error at the first fault.
/// Every kept value may carry "changes", the ids of the last accepted changes, and "taken", the digests of many more.
/// Family: {"template": {"spec", "revision"}, "instances": {name: {"spec", "revision"}}, "changes": [...]}.
void checkTemplateFamily(QJsonObject const& family, IsKnownPool const& known, RegimeFaultText const& regimeFault);

/// A kept value without what it remembers of its changes.
QJsonObject removeChangeHistory(QJsonObject value);

/// Paths of all instances of a family. The family must be a checked one.
std::vector<Path> renderPaths(std::string const& templateName, QJsonObject const& family);

/// State of a replica on the platform's list.
enum class ReplicaState { serving, warmingUp, draining };

struct Replica {
  /// Name of this life of the replica, never used again; empty: its address is all that is known.
  std::string id;
  std::string address;
  std::string zone;
  ReplicaState state = ReplicaState::serving;
};

/// Name of a replica within its pool: its address, and its life where the platform tells it.
inline std::string incarnationName(Replica const& r) {
  return r.id.empty() ? r.address : r.address + "|" + r.id;
}

/// The platform's list of one pool.
struct EndpointList {
  std::uint64_t generation = 0;
  double slowStartRate = 2.0;
  std::vector<Replica> replicas;
};

/// Reads and checks a pool's list; throws Error.
EndpointList readEndpointList(QJsonObject const& value);
/// The same from a value as it is kept, with the ids of its changes.
EndpointList readStoredEndpointList(QJsonObject value);
/// The list as readPool reads it.
QJsonObject endpointListJson(EndpointList const& list);

}  // namespace corkward::config
