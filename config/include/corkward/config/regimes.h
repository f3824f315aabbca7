#pragma once

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <corkward/config/config.h>

namespace corkward::config {

/// Milliseconds of wall time since 1970, UTC; nothing: not known, and then nothing is certified.
using WallTime = std::optional<std::int64_t>;

/// What the carriers of a certificate are.
enum class CertificateSubject { replicas, routers };

/// A certificate for one regime. Of replicas: for each life that the platform lists in that zone of that pool, or for
/// one life alone. Of routers: for each in that zone, or for the one with that link in that zone. An address alone
/// carries none.
struct Certificate {
  std::string name;
  std::string regime;
  CertificateSubject subject = CertificateSubject::replicas;
  std::string zone;
  std::string pool;
  /// Address and life go together; both empty: each life in that zone of the pool.
  std::string address;
  std::string incarnation;
  /// Empty: each router in the zone.
  std::string link;
  std::int64_t from = 0;
  std::int64_t until = 0;
};

/// What a regime demands.
struct Regime {
  /// Only certified routers may forward its requests.
  bool requiresCertifiedRouters = true;
  /// Fraction of a certified replica's capacity that work of no regime leaves free; 1: it never goes there.
  double reservedFraction = 0.5;
};

/// Regimes and certificates: one value under one key.
struct Regimes {
  std::map<std::string, Regime> regimes;
  std::map<std::string, Certificate> certificates;
};

/// Key of regimes and certificates.
inline constexpr char const* regimesKey = "certificates";
/// A certificate counts from this long after its beginning until this long before its end, so that clocks may differ by
/// it.
inline constexpr std::int64_t clockMarginMs = 60000;
inline constexpr std::size_t maxRegimes = 64;
inline constexpr std::size_t maxCertificates = 4096;

/// Reads and checks {"regimes": {...}, "certificates": {...}}; throws Error.
Regimes readRegimes(QJsonObject const& spec);
/// The same from a value as it is kept; none when there is no such value.
Regimes readStoredRegimes(QJsonObject const& value);

/// Whether it is valid at that moment, with clockMarginMs to spare on both sides; never without a time.
bool isValidAt(Certificate const& certificate, WallTime now);
/// The certificate under which this replica may have requests of the regime now; null: none, or in doubt. A replica
/// whose incarnation is unknown has none.
Certificate const* findCertificate(Regimes const& regimes, std::string const& regime, std::string const& pool,
                                   Replica const& replica, WallTime now);
/// Whether this router may forward requests of the regime now.
bool routerMayForward(Regimes const& regimes, std::string const& regime, std::string const& link,
                      std::string const& zone, WallTime now);

/// Why no request of the regime could be served in the pool, as a JSON pointer into the regimes and a reason; nothing:
/// it can. Without a time only what has no certificate at all is a fault.
struct RegimeFault {
  std::string pointer;
  std::string reason;
};
std::optional<RegimeFault> findRegimeFault(Regimes const& regimes, std::string const& regime, std::string const& pool,
                                           WallTime now);

/// A tenant's path that wants a regime.
struct RegimeRequirement {
  std::string instance;
  std::string regime;
  std::string pool;
};
/// What the paths want of regimes, each once.
std::vector<RegimeRequirement> regimeRequirements(std::vector<Path> const& paths);

}  // namespace corkward::config
