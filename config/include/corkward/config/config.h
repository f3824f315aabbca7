#pragma once

#include <QJsonObject>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/host_name.h>
#include <corkward/core/types.h>

namespace corkward::config {

/// Reports a configuration that is valid JSON but not a valid template, instance, fleet configuration, endpoint list or
/// declaration of regimes. The text is a JSON pointer to the invalid value, followed by the reason.
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

/// Priority classes of requests, highest priority first.
enum class RequestClass { urgent, quick, bulk };

/// Name of a class in configurations, and the latency target for the first byte and the deadline of its requests. A
/// path may override the target and the deadline.
struct RequestClassDefaults {
  std::string_view name;
  RequestClass requestClass;
  core::Milliseconds latencyTarget;
  core::Milliseconds deadline;
};

inline constexpr RequestClassDefaults requestClassDefaults[] = {{"urgent", RequestClass::urgent, 300, 3000},
                                                                {"short", RequestClass::quick, 800, 10000},
                                                                {"long", RequestClass::bulk, 2500, 60000}};

/// A pool that serves requests of a path. The fraction of the requests that the pool gets is its weight divided by the
/// sum of the weights of all pools of the path.
struct WeightedPool {
  std::string pool;
  std::uint32_t weight = 1;
};

/// A path with all parameters resolved, either rendered from an instance or read from the fleet configuration.
struct Path {
  /// Name of the instance, or the path's own name in the fleet configuration.
  std::string instance;
  /// Path below the instance. Empty for a path of the fleet configuration.
  std::string path;
  /// Host and URL prefix that select a path of the fleet configuration for a request. Both are empty for a path of an
  /// instance.
  core::HostName host;
  std::string prefix;
  std::string pool;
  /// Pools among which the requests are distributed. Never empty; the first one is `pool`.
  std::vector<WeightedPool> weightedPools;
  RequestClass requestClass = RequestClass::quick;
  core::Milliseconds latencyTarget = 0;
  core::Milliseconds deadline = 0;
  /// Latency target for the pause between two events of a stream. 0 if the configuration sets none.
  core::Milliseconds eventGapTarget = 0;
  /// Whether an interrupted stream may be resumed on another replica after its last complete event.
  bool resumable = false;
  /// Whether a request may be executed more than once.
  bool idempotent = false;
  /// Whether the response is a stream of events.
  bool stream = false;
  /// Maximum number of replicas to which one request may be dispatched.
  int maxAttempts = 2;
  /// Priority of the requests at the replica, from 0 (served first) to 9 (served last).
  int urgency = 5;
  /// Regime whose certificates decide which replicas and routers may serve the requests. Empty if there is none.
  std::string regime;
  /// Whether requests are accepted without a tenant's key.
  bool isPublic = false;
};

/// A tenant of the fleet configuration: the API keys that identify its requests, their priority and their rate limit.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  /// Priority of its requests, which overrides the urgency of the paths. Negative if the tenant sets none.
  int urgency = -1;
  /// Rate limit over all routers together: the amount that is refilled per second, and the amount that may be sent in a
  /// burst. A rate of 0 means that there is no limit.
  double ratePerSecond = 0;
  double burst = 0;
  /// True if the limit counts tokens (those of the prompt and those requested), false if it counts requests.
  bool inTokens = false;
  /// Number of tokens charged for a request that does not state its own number.
  std::int64_t defaultTokens = 0;
};

/// Settings of a pool in the fleet configuration.
struct PoolSettings {
  std::string name;
  /// Maximum number of connections that one replica accepts from all its clients together. 0 if it is not set.
  int maxConnections = 0;
  /// Slow start: the number of requests per second that a replica can take while it warms up.
  double slowStartRate = 0;
  /// Duration of the warm-up after the start of a replica.
  core::Milliseconds slowStartDuration = 0;
  /// Number of requests that one replica executes concurrently. 0 if it is not set.
  int concurrentRequests = 0;
  /// Number of tokens that the prefix cache of one replica holds. 0 if it is not set.
  std::int64_t prefixCacheTokens = 0;
};

/// Limits of the HTTP server for callers. 0 if a limit is not set.
struct HttpLimits {
  std::uint32_t headerByteLimit = 0;
  std::uint64_t bodyByteLimit = 0;
  core::Milliseconds headerTimeout = 0;
  core::Milliseconds idleTimeout = 0;
  bool operator==(HttpLimits const&) const = default;
};

/// The fleet configuration: all paths, pools and tenants in one value, with a version that only increases.
struct FleetConfiguration {
  std::uint64_t version = 0;
  std::vector<Path> paths;
  std::vector<PoolSettings> pools;
  /// If there are no tenants, requests are accepted without a key.
  std::vector<Tenant> tenants;
  HttpLimits http;
  /// Names of the paths of a committed configuration that are left out of `paths`; see readCommittedFleetConfiguration.
  std::vector<std::string> ignoredPaths;
};

/// Key under which the replicated state stores the fleet configuration.
inline constexpr char const* fleetConfigurationKey = "blueprint";
/// HTTP resource at which operators read and change the fleet configuration.
inline constexpr char const* fleetConfigurationPage = "/v1/blueprint";

/// Reads and checks a fleet configuration. Throws ConfigError, also if two paths have the same prefix and spellings of
/// the same host.
FleetConfiguration readFleetConfiguration(QJsonObject const& spec);
/// Reads a committed fleet configuration, which an earlier release may have checked. Earlier releases compared hosts
/// byte by byte. Paths that readFleetConfiguration rejects for their host alone are left out, and `ignoredPaths` names
/// them: of several paths with one host and prefix, the one whose host is spelled in normal form stays, the only one
/// that those releases could select; if no host is, the first one stays. Throws ConfigError for any other violation.
FleetConfiguration readCommittedFleetConfiguration(QJsonObject const& spec);
/// Returns the fleet configuration after a patch of named items:
/// {"version", "set": {"paths": [...], "pools": [...], "tenants": [...]}, "drop": {"paths": [names], ...}}. The patch
/// may also replace "door" and "extra". The result is not checked: readFleetConfiguration does that. Throws
/// ConfigError if the patch itself is malformed.
QJsonObject patchFleetConfiguration(QJsonObject const& current, QJsonObject const& patch);

/// Limits of a configuration. `maxTextBytes` is the maximum length of a text in bytes; the others are maximum numbers
/// of items.
inline constexpr std::size_t maxTextBytes = 128;
inline constexpr std::size_t maxPools = 2000;
inline constexpr std::size_t maxPaths = 10000;
inline constexpr std::size_t maxTenants = 10000;
inline constexpr std::size_t maxTenantKeys = 1000;
inline constexpr std::size_t maxInstances = 2000;
inline constexpr std::size_t maxRenderedPaths = 100000;
/// Number of recent changes that are stored with a value, so that a change that is sent again gets the same reply.
inline constexpr std::size_t changeWindow = 64;

/// Whether a text is a valid name of a template, instance, regime or alert: 1 to 63 characters of a-z, 0-9 and '-', the
/// first of which is not '-'.
bool isValidName(std::string const& name);
/// Whether a text is a valid name of a platform's pool or zone: valid UTF-8 without control characters, 1 to
/// maxTextBytes bytes, and neither "." nor "..".
bool isValidLabel(std::string const& label);
/// Percent-encodes a label as one segment of a URL path.
std::string percentEncodeLabel(std::string const& label);
/// Decodes a segment that percentEncodeLabel has returned.
std::string percentDecodeLabel(std::string const& urlSegment);

/// Returns whether a pool of that name exists.
using IsKnownPool = std::function<bool(std::string const&)>;
/// Returns the reason why no request of the regime can be served in the pool, or an empty text if requests can be
/// served.
using RegimeFaultText = std::function<std::string(std::string const& regime, std::string const& pool)>;

/// Checks a family (a template and all its instances) as one value. Throws ConfigError at the first invalid value.
/// A family has the form {"template": {"spec", "stamp"}, "instances": {name: {"spec", "stamp"}}, "changes": [...]}.
/// Every stored value may have the fields "changes", the last accepted changes with their ids, and "taken", the digests
/// of a larger number of earlier changes.
void checkTemplateFamily(QJsonObject const& family, IsKnownPool const& known, RegimeFaultText const& regimeFault);

/// Returns a stored value without its fields "changes" and "taken".
QJsonObject removeChangeHistory(QJsonObject value);

/// Returns the paths of all instances of a family. The family must have passed checkTemplateFamily.
std::vector<Path> renderPaths(std::string const& templateName, QJsonObject const& family);

/// State of a replica in the platform's endpoint list.
enum class ReplicaState { serving, warmingUp, draining };

struct Replica {
  /// Id of this incarnation of the replica, which is never reused. Empty if the platform lists only the address.
  std::string id;
  std::string address;
  std::string zone;
  ReplicaState state = ReplicaState::serving;
};

/// Returns the name of a replica within its pool: its address, followed by the id of its incarnation if that is known.
inline std::string incarnationName(Replica const& r) {
  return r.id.empty() ? r.address : r.address + "|" + r.id;
}

/// The platform's endpoint list of one pool.
struct EndpointList {
  std::uint64_t generation = 0;
  /// Number of requests per second that a replica can take while it warms up.
  double slowStartRate = 2.0;
  std::vector<Replica> replicas;
};

/// Reads and checks a pool's endpoint list. Throws ConfigError.
EndpointList readEndpointList(QJsonObject const& value);
/// Reads and checks an endpoint list in its stored form, which also has the history of its changes.
EndpointList readStoredEndpointList(QJsonObject value);
/// Returns the endpoint list as JSON that readEndpointList accepts.
QJsonObject endpointListJson(EndpointList const& list);

}  // namespace corkward::config
