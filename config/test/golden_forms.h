#pragma once

#include <QJsonObject>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/config/regimes.h>
#include <corkward/core/json.h>

#include "testing/golden/golden.h"

/// Writes parsed configurations as text with one line for each field, to compare them with golden files.
namespace corkward::config::golden_forms {

inline std::string const folder = "config/test/golden/";

inline QJsonObject object(std::string const& text) {
  return core::parseJson(text).toObject();
}

inline std::string field(char const* name, std::string const& value) {
  return std::string("  ") + name + " " + value + "\n";
}

template <typename Number>
std::string number(char const* name, Number value) {
  return field(name, std::to_string(value));
}

/// A number as JSON writes it: with the fewest digits that identify it.
inline std::string decimal(char const* name, double value) {
  return field(name, core::jsonText(QJsonValue(value)));
}

inline char const* classText(RequestClass requestClass) {
  return requestClass == RequestClass::urgent ? "urgent" : requestClass == RequestClass::quick ? "short" : "long";
}

inline std::string formOf(Path const& path) {
  std::string out = "path\n" + field("instance", path.instance) + field("path", path.path);
  out += field("host", path.host.text()) + field("prefix", path.prefix) + field("pool", path.pool);
  for (WeightedPool const& weighted : path.weightedPools)
    out += field("share", weighted.pool + " " + std::to_string(weighted.weight));
  out += field("class", classText(path.requestClass));
  out += number("aim", path.latencyTarget) + number("deadline", path.deadline) + number("gap aim", path.eventGapTarget);
  out += number("resumable", path.resumable) + number("repeatable", path.idempotent) + number("stream", path.stream);
  out += number("tries", path.maxAttempts) + number("urgency", path.urgency);
  return out + field("regime", path.regime) + number("open", path.isPublic);
}

inline std::string formOf(std::vector<Path> const& paths) {
  std::string out;
  for (Path const& path : paths) out += formOf(path);
  return out;
}

inline std::string formOf(PoolSettings const& pool) {
  std::string out = "pool terms\n" + field("name", pool.name) + number("connections", pool.maxConnections);
  out += decimal("cold rate", pool.slowStartRate) + number("cold for", pool.slowStartDuration);
  return out + number("slots", pool.concurrentRequests) + number("tokens", pool.prefixCacheTokens);
}

inline std::string formOf(Tenant const& tenant) {
  std::string out = "tenant\n" + field("name", tenant.name);
  for (std::string const& key : tenant.keys) out += field("key", key);
  out +=
      number("urgency", tenant.urgency) + decimal("per second", tenant.ratePerSecond) + decimal("burst", tenant.burst);
  return out + number("in tokens", tenant.inTokens) + number("plain tokens", tenant.defaultTokens);
}

inline std::string formOf(HttpLimits const& http) {
  return "http\n" + number("head bytes", http.headerByteLimit) + number("body bytes", http.bodyByteLimit) +
         number("head ms", http.headerTimeout) + number("idle ms", http.idleTimeout);
}

inline std::string formOf(FleetConfiguration const& configuration) {
  std::string out = "version " + std::to_string(configuration.version) + "\n" + formOf(configuration.paths);
  for (PoolSettings const& pool : configuration.pools) out += formOf(pool);
  for (Tenant const& tenant : configuration.tenants) out += formOf(tenant);
  return out + formOf(configuration.http);
}

inline char const* stateText(ReplicaState state) {
  return state == ReplicaState::serving ? "serving" : state == ReplicaState::warmingUp ? "cold" : "leaving";
}

inline std::string formOf(EndpointList const& pool) {
  std::string out = "pool\n" + number("generation", pool.generation) + decimal("cold rate", pool.slowStartRate);
  for (Replica const& replica : pool.replicas) {
    out += "replica\n" + field("id", replica.id) + field("address", replica.address) + field("zone", replica.zone);
    out += field("state", stateText(replica.state)) + field("name", incarnationName(replica));
  }
  return out;
}

inline std::string formOf(Certificate const& certificate) {
  std::string out = field("name", certificate.name) + field("regime", certificate.regime);
  out += field("carrier", certificate.subject == CertificateSubject::replicas ? "replicas" : "routers");
  out += field("zone", certificate.zone) + field("pool", certificate.pool) + field("address", certificate.address);
  out += field("life", certificate.incarnation) + field("link", certificate.link);
  return out + number("from", certificate.from) + number("until", certificate.until);
}

inline std::string formOf(Regimes const& regimes) {
  std::string out;
  for (auto const& [name, regime] : regimes.regimes)
    out += "regime " + name + "\n" + number("certified routers", regime.requiresCertifiedRouters) +
           decimal("reserve", regime.reservedFraction);
  for (auto const& [name, certificate] : regimes.certificates)
    out += "certificate " + name + "\n" + formOf(certificate);
  return out;
}

/// Returns the result of a function that reads a configuration, or the error as operators see it.
template <typename Read>
std::string outcome(Read const& read) {
  try {
    return read();
  } catch (ConfigError const& error) {
    CHECK(error.what() == error.pointer() + ": " + error.reason());
    return "error at " + error.pointer() + ": " + error.reason() + "\n";
  } catch (core::JsonError const& error) {
    return std::string("no JSON: ") + error.what() + "\n";
  }
}

/// Returns the outcomes for all lines of a file of inputs, each after the number of its line.
template <typename Read>
std::string outcomes(std::string const& inputs, Read const& read) {
  std::string out;
  int line = 0;
  for (std::string const& input : golden::lines(golden::read(folder + inputs)))
    out += "input " + std::to_string(++line) + "\n" + outcome([&] { return read(input); });
  return out;
}

/// Checks a family against these regimes and the pools "model", "gateway" and "study", and writes its paths as text.
inline std::string familyForm(std::string const& name, QJsonObject const& family, Regimes const& regimes) {
  /// 2026-03-01T00:00:00Z, in milliseconds since 1970.
  constexpr std::int64_t evaluationTime = 1772323200000;
  auto const isKnownPool = [](std::string const& pool) {
    return pool == "model" || pool == "gateway" || pool == "study";
  };
  auto const regimeFault = [&](std::string const& regime, std::string const& pool) {
    auto const fault = findRegimeFault(regimes, regime, pool, evaluationTime);
    return fault ? fault->reason : std::string();
  };
  checkTemplateFamily(family, isKnownPool, regimeFault);
  std::string out = formOf(renderPaths(name, family));
  for (RegimeRequirement const& requirement : regimeRequirements(renderPaths(name, family)))
    out += "regime use " + requirement.instance + " " + requirement.regime + " " + requirement.pool + "\n";
  return out + "accepted\n";
}

}  // namespace corkward::config::golden_forms
