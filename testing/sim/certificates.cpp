#include <QDateTime>
#include <algorithm>

#include <corkward/config/regimes.h>
#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::testing {

namespace {

constexpr char const* certificatesPath = "/v1/certificates";
constexpr Milliseconds farExpiryMs = 86400000;
/// How far a synchronized clock may be behind, in ms; also after its process was frozen. Steps of the wall clock come
/// on top (maxClockStepBack).
constexpr Milliseconds maxClockErrorMs = 1000;
constexpr char const* routerCertificatePrefix = "nacelles-z";

}  // namespace

std::string SimulatedCluster::incarnationName(Replica const& r) const {
  return r.address + "/" + std::to_string(r.incarnation);
}

std::int64_t SimulatedCluster::wallClockMs() const {
  return wallBegin + now_ + wallJump_;
}

QJsonObject SimulatedCluster::certificateFor(std::string const& name, Milliseconds lasts) const {
  std::size_t const dash = name.rfind('-');
  QJsonObject out{{"regime", regime},
                  {"carrier", "nacelles"},
                  {"zone", core::toQString(name.substr(dash + 1))},
                  {"until", QDateTime::fromMSecsSinceEpoch(wallBegin + now_ + lasts, Qt::UTC).toString(Qt::ISODate)}};
  if (name.rfind(routerCertificatePrefix, 0) == 0) return out;
  out.insert("carrier", "replicas");
  out.insert("pool", core::toQString(name.substr(0, dash)));
  return out;
}

std::vector<std::string> SimulatedCluster::certificateNames() const {
  std::vector<std::string> out;
  for (char const* const pool : {"model", "other"})
    for (int z = 1; z < plan_.zones; ++z) out.push_back(std::string(pool) + "-z" + std::to_string(z));
  for (int z = 1; plan_.certifiedRouters && z < plan_.zones; ++z)
    out.push_back(routerCertificatePrefix + std::to_string(z));
  return out;
}

void SimulatedCluster::declareRegime() {
  QJsonObject all;
  for (std::string const& name : certificateNames())
    all.insert(core::toQString(name), certificateFor(name, farExpiryMs));
  QJsonObject const spec{
      {"regimes", QJsonObject{{regime, QJsonObject{{"nacelles", plan_.certifiedRouters ? "certified" : "any"}}}}},
      {"certificates", all}};
  change(config::regimesKey, core::jsonText(spec), "PUT", certificatesPath, core::jsonText(spec), "0", "",
         [this](int status, QJsonObject const& body) {
           if (status == 200 || status == 201) {
             certificateRevision_ = std::to_string(body.value("stamp").toInteger());
             changeCertificatesPeriodically();
           } else {
             after(700, [this] { declareRegime(); });
           }
         });
}

void SimulatedCluster::declareRegulated() {
  change("family:desk/nord", "", "PUT", std::string(templatePath) + "/instances/nord",
         plan_.bound ? R"({"parameters":{"site":"s"},"regime":"health"})" : R"({"parameters":{"site":"s"}})", "0", "",
         [this](int status, QJsonObject const&) {
           if (status != 200 && status != 201 && status != 412 && !loadStopped_)
             after(700, [this] { declareRegulated(); });
         });
}

void SimulatedCluster::patchCertificates(std::vector<std::string> const& names, Milliseconds lasts) {
  QJsonObject all;
  for (std::string const& name : names) {
    all.insert(core::toQString(name), certificateFor(name, lasts));
    invalidSince_.erase(name);
    ++certificateChanges_[name];
  }
  std::map<std::string, std::uint64_t> const changeNumbers = certificateChanges_;
  bool const jumps = std::find(plan_.faults.begin(), plan_.faults.end(), Fault::wallClockJump) != plan_.faults.end();
  Milliseconds const until = now_ + lasts - config::clockMarginMs + maxClockErrorMs + (jumps ? maxClockStepBack : 0);
  std::string const body = core::jsonText(QJsonObject{{"certificates", all}});
  change(config::regimesKey, "", "PATCH", certificatesPath, body, certificateRevision_, "",
         [this, names, changeNumbers, until](int status, QJsonObject const& answer) {
           if (answer.contains("stamp")) certificateRevision_ = std::to_string(answer.value("stamp").toInteger());
           if (status != 200) return;
           for (std::string const& name : names)
             at(std::max(now_, until), [this, name, changeNumber = changeNumbers.at(name)] {
               if (certificateChanges_[name] == changeNumber) invalidSince_[name] = now_;
             });
         });
}

void SimulatedCluster::revoke(std::string const& name) {
  std::uint64_t const changeNumber = ++certificateChanges_[name];
  change(config::regimesKey, "", "DELETE", std::string(certificatesPath) + "/" + name, "", "", "",
         [this, name, changeNumber](int status, QJsonObject const& answer) {
           if (status != 200 || !answer.value("inForce").toBool()) return;
           ++result_.counts["revoked"];
           certificateRevision_ = std::to_string(answer.value("stamp").toInteger());
           if (certificateChanges_[name] == changeNumber) invalidSince_[name] = now_;
         });
}

void SimulatedCluster::changeCertificatesPeriodically() {
  if (loadStopped_) return;
  after(700 + static_cast<Milliseconds>(rng_.below(1500)), [this] { changeCertificatesPeriodically(); });
  std::vector<std::string> const names = certificateNames();
  std::string const one = names[rng_.below(names.size())];
  switch (rng_.below(5)) {
    case 0:
    case 1:
      revoke(one);
      break;
    case 2:
      patchCertificates(names, farExpiryMs);
      break;
    case 3:
      patchCertificates({one}, farExpiryMs);
      patchCertificates({names[rng_.below(names.size())]}, farExpiryMs);
      break;
    default:
      patchCertificates({one}, config::clockMarginMs + 1000 + static_cast<Milliseconds>(rng_.below(6000)));
  }
}

void SimulatedCluster::watchIncarnations() {
  after(1000, [this] { watchIncarnations(); });
  for (auto const& [address, replica] : replicas_) {
    auto const it = listedIncarnations_.find(address);
    if (!replica.listed || (it != listedIncarnations_.end() && it->second == incarnationName(replica))) continue;
    publishEndpointLists();
    return;
  }
}

void SimulatedCluster::checkRegime(Caller const& caller, Node const& from, Replica const& r,
                                   Forwarded const& forwarded) {
  if (!plan_.regimes || !plan_.bound || caller.instance != regulated) return;
  ++result_.counts["regulated"];
  std::string const last = "z" + std::to_string(plan_.zones);
  if (r.zone == last) violation("a regulated request reached a replica that never had a certificate: " + r.address);
  if (plan_.certifiedRouters && from.zone == last)
    violation("a regulated request was forwarded by a router that never had a certificate: " + from.link);
  if (everListedIncarnations_.count(incarnationName(r)) == 0)
    violation("a regulated request reached an incarnation that was never on the platform's list: " +
              incarnationName(r));
  if (forwarded.auditedIncarnation != incarnationName(r))
    violation("a regulated request ran without an audit record: at " + incarnationName(r) + ", recorded for " +
              forwarded.auditedIncarnation);
  std::vector<std::string> needed{r.pool + "-" + r.zone};
  if (plan_.certifiedRouters) needed.push_back("nacelles-" + from.zone);
  for (std::string const& name : needed) {
    auto const out = invalidSince_.find(name);
    if (out != invalidSince_.end() && now_ > out->second + 5)
      violation("a regulated request reached " + r.address + " " + std::to_string(now_ - out->second) + " ms after " +
                name + " had ceased to be valid");
  }
}

}  // namespace corkward::testing
