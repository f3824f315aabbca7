#include <corkward/config/regimes.h>

#include <QDateTime>
#include <algorithm>
#include <set>
#include <tuple>

#include <corkward/core/json.h>

#include "checks.h"

namespace corkward::config {

namespace {

using core::toStdString;

std::string requireName(QJsonObject const& o, char const* field, std::string const& at) {
  std::string out = toStdString(o.value(QLatin1String(field)).toString());
  if (!isValidName(out))
    throw ConfigError(at + "/" + field, o.contains(QLatin1String(field)) ? "not a valid name" : "missing");
  return out;
}

std::string optionalText(QJsonObject const& o, char const* field, std::string const& at) {
  if (!o.contains(QLatin1String(field))) return "";
  std::string out = toStdString(o.value(QLatin1String(field)).toString());
  if (out.empty() || out.size() > maxTextBytes)
    throw ConfigError(at + "/" + field, "must be a text of 1 to " + std::to_string(maxTextBytes) + " bytes");
  return out;
}

void checkNote(QJsonObject const& o, std::string const& at) {
  if (o.contains("note") && !o.value("note").isString()) throw ConfigError(at + "/note", "must be a text");
}

std::int64_t requireTime(QJsonObject const& o, char const* field, std::string const& at) {
  QString const text = o.value(QLatin1String(field)).toString();
  QDateTime const t = QDateTime::fromString(text, Qt::ISODate);
  if (!t.isValid() || !text.endsWith('Z'))
    throw ConfigError(at + "/" + field,
                      o.contains(QLatin1String(field)) ? "must be a time in UTC, as 2027-01-31T00:00:00Z" : "missing");
  return t.toMSecsSinceEpoch();
}

QJsonObject requireObject(QJsonObject const& spec, char const* field, std::size_t maxItems) {
  QJsonValue const v = spec.value(QLatin1String(field));
  if (!v.isObject()) throw ConfigError(std::string("/") + field, v.isUndefined() ? "missing" : "must be an object");
  if (static_cast<std::size_t>(v.toObject().size()) > maxItems)
    throw ConfigError(std::string("/") + field, "more than " + std::to_string(maxItems));
  return v.toObject();
}

QJsonObject itemAt(QJsonObject const& part, QString const& name, std::string const& at) {
  if (!isValidName(toStdString(name))) throw ConfigError(at, "not a valid name");
  if (!part.value(name).isObject()) throw ConfigError(at, "must be an object");
  return part.value(name).toObject();
}

Regime readRegime(QJsonObject const& object, std::string const& at) {
  rejectUnknownFields(object, {"nacelles", "reserve", "note"}, at);
  checkNote(object, at);
  Regime out;
  QString const routers = object.value("nacelles").toString();
  if (routers != QLatin1String("certified") && routers != QLatin1String("any"))
    throw ConfigError(at + "/nacelles", "must be certified or any");
  out.requiresCertifiedRouters = routers == QLatin1String("certified");
  if (object.contains("reserve")) {
    out.reservedFraction = object.value("reserve").toDouble(-1);
    if (!(out.reservedFraction >= 0 && out.reservedFraction <= 1))
      throw ConfigError(at + "/reserve", "must be a number from 0 to 1");
  }
  return out;
}

Certificate readCertificate(std::string const& name, QJsonObject const& object, std::string const& at) {
  Certificate out;
  out.name = name;
  QString const carrier = object.value("carrier").toString();
  if (carrier == QLatin1String("replicas"))
    out.subject = CertificateSubject::replicas;
  else if (carrier == QLatin1String("nacelles"))
    out.subject = CertificateSubject::routers;
  else
    throw ConfigError(at + "/carrier", "must be replicas or routers");
  bool const replicas = out.subject == CertificateSubject::replicas;
  if (replicas)
    rejectUnknownFields(object, {"regime", "carrier", "pool", "zone", "address", "life", "from", "until", "note"}, at);
  else
    rejectUnknownFields(object, {"regime", "carrier", "zone", "link", "from", "until", "note"}, at);
  checkNote(object, at);
  out.regime = requireName(object, "regime", at);
  out.zone = toStdString(object.value("zone").toString());
  if (!isValidLabel(out.zone))
    throw ConfigError(at + "/zone", object.contains("zone") ? "not a valid name" : "missing");
  if (replicas) {
    out.pool = optionalText(object, "pool", at);
    if (out.pool.empty()) throw ConfigError(at + "/pool", "missing");
    out.address = optionalText(object, "address", at);
    out.incarnation = optionalText(object, "life", at);
    if (out.address.empty() && !out.incarnation.empty()) throw ConfigError(at + "/address", "missing beside life");
    if (!out.address.empty() && out.incarnation.empty())
      throw ConfigError(at + "/life", "missing beside address: an address alone carries no certificate");
  } else {
    out.link = optionalText(object, "link", at);
  }
  out.from = object.contains("from") ? requireTime(object, "from", at) : 0;
  out.until = requireTime(object, "until", at);
  if (out.until - out.from <= 2 * clockMarginMs)
    throw ConfigError(at + "/until",
                      "must be more than " + std::to_string(2 * clockMarginMs / 1000) + " s after the beginning");
  return out;
}

}  // namespace

Regimes readRegimes(QJsonObject const& spec) {
  rejectUnknownFields(spec, {"regimes", "certificates", "note"}, "");
  checkNote(spec, "");
  Regimes out;
  QJsonObject const regimes = requireObject(spec, "regimes", maxRegimes);
  for (QString const& name : regimes.keys()) {
    std::string const at = "/regimes/" + toStdString(name);
    out.regimes[toStdString(name)] = readRegime(itemAt(regimes, name, at), at);
  }
  QJsonObject const certificates = requireObject(spec, "certificates", maxCertificates);
  for (QString const& name : certificates.keys()) {
    std::string const at = "/certificates/" + toStdString(name);
    Certificate const c = readCertificate(toStdString(name), itemAt(certificates, name, at), at);
    if (out.regimes.count(c.regime) == 0) throw ConfigError(at + "/regime", "no regime named " + c.regime);
    out.certificates[c.name] = c;
  }
  return out;
}

Regimes readStoredRegimes(QJsonObject const& value) {
  return value.contains("spec") ? readRegimes(value.value("spec").toObject()) : Regimes{};
}

bool isValidAt(Certificate const& certificate, WallTime now) {
  return now && (certificate.from == 0 || *now >= certificate.from + clockMarginMs) &&
         *now < certificate.until - clockMarginMs;
}

Certificate const* findCertificate(Regimes const& regimes, std::string const& regime, std::string const& pool,
                                   Replica const& replica, WallTime now) {
  if (replica.id.empty() || regimes.regimes.count(regime) == 0) return nullptr;
  for (auto const& [name, certificate] : regimes.certificates) {
    if (certificate.subject != CertificateSubject::replicas || certificate.regime != regime ||
        certificate.pool != pool || certificate.zone != replica.zone || !isValidAt(certificate, now))
      continue;
    if (certificate.incarnation.empty() ||
        (certificate.incarnation == replica.id && certificate.address == replica.address))
      return &certificate;
  }
  return nullptr;
}

bool routerMayForward(Regimes const& regimes, std::string const& regime, std::string const& link,
                      std::string const& zone, WallTime now) {
  auto const it = regimes.regimes.find(regime);
  if (it == regimes.regimes.end() || !now) return false;
  if (!it->second.requiresCertifiedRouters) return true;
  return std::any_of(regimes.certificates.begin(), regimes.certificates.end(), [&](auto const& entry) {
    Certificate const& certificate = entry.second;
    return certificate.subject == CertificateSubject::routers && certificate.regime == regime &&
           certificate.zone == zone && (certificate.link.empty() || certificate.link == link) &&
           isValidAt(certificate, now);
  });
}

std::optional<RegimeFault> findRegimeFault(Regimes const& regimes, std::string const& regime, std::string const& pool,
                                           WallTime now) {
  auto const it = regimes.regimes.find(regime);
  if (it == regimes.regimes.end()) return RegimeFault{"/regimes/" + regime, "no regime named " + regime};
  bool replicas = false;
  bool routers = !it->second.requiresCertifiedRouters;
  for (auto const& [name, certificate] : regimes.certificates) {
    if (certificate.regime != regime || (now && *now >= certificate.until - clockMarginMs)) continue;
    replicas = replicas || (certificate.subject == CertificateSubject::replicas && certificate.pool == pool);
    routers = routers || certificate.subject == CertificateSubject::routers;
  }
  if (!replicas)
    return RegimeFault{"/certificates",
                       "regime " + regime + " has no certificate in force for replicas of pool " + pool};
  if (!routers) return RegimeFault{"/certificates", "regime " + regime + " has no certificate in force for any router"};
  return std::nullopt;
}

std::vector<RegimeRequirement> regimeRequirements(std::vector<Path> const& paths) {
  std::set<std::tuple<std::string, std::string, std::string>> reported;
  std::vector<RegimeRequirement> out;
  for (Path const& p : paths)
    if (!p.regime.empty() && reported.emplace(p.instance, p.regime, p.pool).second)
      out.push_back(RegimeRequirement{p.instance, p.regime, p.pool});
  return out;
}

}  // namespace corkward::config
