#pragma once

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/config/config.h>

namespace corkward::config {

/// Wall time in milliseconds since 1970, UTC. std::nullopt if the time is unknown; then no certificate is valid.
using WallTime = std::optional<std::int64_t>;

/// Kind of the processes that a certificate applies to.
enum class CertificateSubject { replicas, routers };

/// A certificate for one regime. A certificate for replicas applies to every replica incarnation that the platform
/// lists in the given zone and pool, or to a single incarnation. A certificate for routers applies to every router in
/// the given zone, or to the one router in it with the given link address. A replica whose incarnation is unknown is
/// never certified: an address alone does not identify it.
struct Certificate {
  std::string name;
  std::string regime;
  CertificateSubject subject = CertificateSubject::replicas;
  std::string zone;
  std::string pool;
  /// Address and incarnation of the only replica that is certified. Either both are set or both are empty; if they are
  /// empty, every incarnation in the zone and pool is certified.
  std::string address;
  std::string incarnation;
  /// Link address of the only router that is certified. Empty if every router in the zone is certified.
  std::string link;
  /// Start and end of the validity in milliseconds since 1970, UTC. `from` is 0 if there is no start.
  std::int64_t from = 0;
  std::int64_t until = 0;
};

/// Requirements of a regime.
struct Regime {
  /// Whether only certified routers may forward the regime's requests.
  bool requiresCertifiedRouters = true;
  /// Fraction of a certified replica's capacity that is reserved for requests of regimes. If it is 1, requests without
  /// a regime never use the replica.
  double reservedFraction = 0.5;
};

/// All regimes and certificates, which are stored as one value under `regimesKey`.
struct Regimes {
  std::map<std::string, Regime> regimes;
  std::map<std::string, Certificate> certificates;
};

/// Key under which the replicated state stores regimes and certificates.
inline constexpr char const* regimesKey = "certificates";
/// A certificate becomes valid this many milliseconds after its start and stops being valid this many milliseconds
/// before its end, so that the clocks of two machines may differ by this much.
inline constexpr std::int64_t clockMarginMs = 60000;
inline constexpr std::size_t maxRegimes = 64;
inline constexpr std::size_t maxCertificates = 4096;

/// Reads and checks {"regimes": {...}, "certificates": {...}}. Throws ConfigError.
Regimes readRegimes(QJsonObject const& spec);
/// Reads regimes and certificates from a stored value, which holds them in its field "spec". Returns an empty result if
/// the value has no such field.
Regimes readStoredRegimes(QJsonObject const& value);

/// Whether the certificate is valid at the given time, with a margin of clockMarginMs at its start and its end. Returns
/// false if the time is unknown.
bool isValidAt(Certificate const& certificate, WallTime now);
/// Returns a certificate that allows the replica to serve requests of the regime at the given time. Returns nullptr if
/// there is none, if the time is unknown or if the incarnation of the replica is unknown.
Certificate const* findCertificate(Regimes const& regimes, std::string const& regime, std::string const& pool,
                                   Replica const& replica, WallTime now);
/// Whether the router with the given link address and zone may forward requests of the regime at the given time.
bool routerMayForward(Regimes const& regimes, std::string const& regime, std::string const& link,
                      std::string const& zone, WallTime now);

/// Reason why no request of a regime can be served in a pool, with a JSON pointer into the declaration of regimes.
struct RegimeFault {
  std::string pointer;
  std::string reason;
};
/// Returns the reason why no request of the regime can be served in the pool, or std::nullopt if requests can be
/// served. A certificate that is not valid yet counts as valid here, and so does an expired one if the time is unknown.
std::optional<RegimeFault> findRegimeFault(Regimes const& regimes, std::string const& regime, std::string const& pool,
                                           WallTime now);

/// A regime that the paths of an instance require in a pool.
struct RegimeRequirement {
  std::string instance;
  std::string regime;
  std::string pool;
};
/// Returns the regimes that the paths require, without duplicates.
std::vector<RegimeRequirement> regimeRequirements(std::vector<Path> const& paths);

}  // namespace corkward::config
