// Validator of templates and their instances. One replicated value, a family, contains a template with all its
// instances.
#include <QJsonArray>

#include <corkward/control/change_history.h>

#include "call_method.h"
#include "change_request.h"
#include "json_fields.h"
#include "validators.h"

namespace corkward::control {

namespace {

/// Largest family as text, in bytes. A family may be larger than the body of a single call on it.
constexpr std::size_t maxFamilyBytes = 4 * maxCallBodyBytes;

/// The entry of a family that a call refers to: its template or one of its instances.
class FamilyEntry {
 public:
  FamilyEntry(QJsonObject family, Target const& target)
      : family_(std::move(family)),
        isInstance_(!target.entry.empty()),
        name_(core::toQString(target.entry)),
        instances_(family_.value(fields::instances).toObject()),
        current_(isInstance_ ? instances_.value(name_).toObject() : family_.value(fields::templateSpec).toObject()) {}

  /// Returns the revision of the entry, or 0 if the entry does not exist.
  std::uint64_t revision() const { return static_cast<std::uint64_t>(current_.value(fields::revision).toInteger()); }
  bool exists() const { return revision() != 0; }
  bool lacksTemplate() const { return isInstance_ && !family_.contains(fields::templateSpec); }
  QJsonValue spec() const { return current_.value(fields::spec); }
  Rejection notFound() const {
    return Rejection{RejectionReason::notFound, isInstance_ ? "no such instance" : "no such template"};
  }

  Page page() const {
    QJsonObject body{{fields::spec, spec()}, {fields::revision, static_cast<qint64>(revision())}};
    if (!isInstance_) body.insert(fields::instances, QJsonArray::fromStringList(instances_.keys()));
    return Page{body};
  }
  /// Returns the family with a new spec of this entry.
  QJsonObject familyWith(QJsonValue const& spec, std::uint64_t revision) const {
    QJsonObject const entry{{fields::spec, spec}, {fields::revision, static_cast<qint64>(revision)}};
    QJsonObject changed = family_;
    if (!isInstance_) {
      changed.insert(fields::templateSpec, entry);
      return changed;
    }
    QJsonObject instances = instances_;
    instances.insert(name_, entry);
    changed.insert(fields::instances, instances);
    return changed;
  }
  QJsonObject familyWithout() const {
    QJsonObject changed = family_;
    if (!isInstance_) {
      changed.remove(fields::templateSpec);
      return changed;
    }
    QJsonObject instances = instances_;
    instances.remove(name_);
    changed.insert(fields::instances, instances);
    return changed;
  }

 private:
  QJsonObject family_;
  bool isInstance_;
  QString name_;
  QJsonObject instances_;
  QJsonObject current_;
};

/// Returns the family after the call's change.
QJsonObject changedFamily(FamilyEntry const& entry, CallMethod method, QJsonObject const& body,
                          std::uint64_t nextRevision) {
  switch (method) {
    case CallMethod::put:
      return entry.familyWith(body, nextRevision);
    case CallMethod::patch:
      return entry.familyWith(core::mergePatch(entry.spec(), body), nextRevision);
    case CallMethod::remove:
      return entry.familyWithout();
    default:
      return entry.familyWith(QJsonValue(), nextRevision);
  }
}

/// Checks the family against the known pools and regimes. Returns a rejection if a pool that it names may not be
/// recovered yet, and std::nullopt if the family is valid.
/// @throws config::ConfigError if the family is invalid
std::optional<Rejection> checkFamily(QJsonObject const& family, ClusterView const& clusterView) {
  bool namesUnconfirmedPool = false;
  auto const poolKnown = [&](std::string const& pool) {
    bool const known = clusterView.poolKnown(pool);
    if (!known && clusterView.poolUnconfirmed(pool)) namesUnconfirmedPool = true;
    return known;
  };
  auto const regimeFault = [&](std::string const& regime, std::string const& pool) {
    std::optional<config::RegimeFault> const fault = clusterView.regimeFault(clusterView.regimes(), regime, pool);
    return fault ? fault->reason : std::string();
  };
  try {
    config::checkTemplateFamily(family, poolKnown, regimeFault);
  } catch (config::ConfigError const& error) {
    if (!namesUnconfirmedPool) throw;
    return Rejection{RejectionReason::unconfirmed, "the pools are still being recovered; send it again"};
  }
  return std::nullopt;
}

/// Returns a rejection if the change refers to an entry or a template that does not exist, otherwise std::nullopt.
std::optional<Rejection> missingEntry(FamilyEntry const& entry, CallMethod method) {
  if (method != CallMethod::put && !entry.exists()) return entry.notFound();
  if (entry.lacksTemplate()) return Rejection{RejectionReason::notFound, "no such template"};
  return std::nullopt;
}

ValidationResult validateChange(ValidationRequest const& request, FamilyEntry const& entry,
                                ClusterView const& clusterView) {
  auto const& [revision, value, call] = request;
  CallMethod const method = methodOf(call.method);
  QJsonObject const body = changeBody(call);
  std::string const digest = contentDigest(call, body, call.changeId);
  bool const isCurrent = isBuiltOn(call, entry.revision());
  std::optional<ValidationResult> past = resultFromHistory(revision, revision, call, digest, value);
  if (past && (std::holds_alternative<Replay>(*past) || !isCurrent)) return *std::move(past);
  if (!isCurrent) return staleRevision(call, entry.revision());
  if (std::optional<Rejection> missing = missingEntry(entry, method)) return *std::move(missing);
  QJsonObject next = changedFamily(entry, method, body, request.nextRevision());
  if (std::optional<Rejection> fault = checkFamily(next, clusterView)) return *std::move(fault);
  if (core::jsonText(next).size() > maxFamilyBytes)
    return Rejection{RejectionReason::tooLarge, "the family would pass its limit"};
  next.insert(QLatin1String(ChangeHistory::storedField), historyWith(value, revision, digest));
  AcceptedChange accepted{next};
  accepted.status = method == CallMethod::put && !entry.exists() ? core::HttpStatus::created : core::HttpStatus::ok;
  accepted.revision = request.nextRevision();
  accepted.marksDryRun = true;
  return accepted;
}

}  // namespace

ValidationResult validateFamily(ValidationRequest const& request, ClusterView const& clusterView) {
  FamilyEntry const entry(config::removeChangeHistory(request.value), *targetOf(request.call.path));
  if (methodOf(request.call.method) == CallMethod::get) {
    if (!entry.exists()) return entry.notFound();
    return entry.page();
  }
  if (request.call.ifMatch.empty())
    return Rejection{RejectionReason::revisionMissing,
                     "say If-Match with the revision the change was built on, 0 to make a new one"};
  return rejectingErrors(RejectionReason::invalidConfiguration,
                         [&] { return validateChange(request, entry, clusterView); });
}

}  // namespace corkward::control
