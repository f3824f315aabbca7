#include "change_plan.h"

#include <QJsonArray>
#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <corkward/config/config.h>
#include <corkward/config/regimes.h>
#include <corkward/core/json.h>
#include <corkward/core/types.h>

#include "clock.h"
#include "operator_paths.h"

namespace corkward::programs {

namespace {

using core::HttpMethod;
using Declarations = std::vector<Declaration const*>;

/// Revision on which the creation of a resource is based.
constexpr qint64 noRevision = 0;

/// JSON fields of the operator interface's responses and of template families: the value, its revision and, in a
/// family, the template and its instances.
constexpr char const* specField = "spec";
constexpr char const* revisionField = "stamp";
constexpr char const* templateField = "template";
constexpr char const* instancesField = "instances";

/// Derives the change id from the change and its base revision, so that a retry of apply does not change anything
/// twice.
std::string changeIdOf(OperatorCall const& call) {
  std::string const text =
      std::string(core::name(call.method)) + " " + call.path + " " + call.revision + " " + call.body;
  constexpr int hexadecimal = 16;
  return "apply-" + QString::number(core::stableHash(text), hexadecimal).toStdString();
}

PlannedChange plannedChange(ChangeAction action, OperatorCall call) {
  call.changeId = changeIdOf(call);
  return {action, std::move(call)};
}

PlannedChange plannedPut(Declaration const& declaration, qint64 revision) {
  return plannedChange(
      revision == noRevision ? ChangeAction::create : ChangeAction::change,
      {HttpMethod::put, declaration.path(), core::jsonText(declaration.spec), std::to_string(revision)});
}

PlannedChange plannedRemoval(std::string const& path, qint64 revision) {
  return plannedChange(ChangeAction::remove, {HttpMethod::del, path, "", std::to_string(revision)});
}

void append(std::vector<PlannedChange>& out, std::vector<PlannedChange> const& more) {
  out.insert(out.end(), more.begin(), more.end());
}

/// A template with its instances, both as stored in the fleet and as declared.
struct Family {
  /// {"template": entry, "instances": {name: entry}}. Empty if the fleet does not have the template.
  QJsonObject current;
  Declarations instances;
  /// Null if the template itself is not declared.
  Declaration const* declaredTemplate = nullptr;

  QJsonObject currentTemplate() const { return current.value(templateField).toObject(); }
  QJsonObject currentInstances() const { return current.value(instancesField).toObject(); }
  /// Returns the entry that a declaration of this family replaces. Empty if there is none.
  QJsonObject currentEntry(Declaration const& declaration) const {
    return declaration.kind == Declaration::Kind::instance
               ? currentInstances().value(core::toQString(declaration.instance)).toObject()
               : currentTemplate();
  }
  bool differs(Declaration const& declaration) const {
    return currentEntry(declaration).value(specField) != QJsonValue(declaration.spec);
  }
  bool declares(QString const& instance) const {
    return std::any_of(instances.begin(), instances.end(), [&](Declaration const* declaration) {
      return core::toQString(declaration->instance) == instance;
    });
  }
  /// Returns the family as it will be after all changes.
  QJsonObject target(bool prune) const;
};

using Families = std::map<std::string, Family>;

QJsonObject Family::target(bool prune) const {
  QJsonObject out = prune ? QJsonObject{{templateField, current.value(templateField)}} : current;
  QJsonObject targetInstances = out.value(instancesField).toObject();
  if (declaredTemplate != nullptr) out.insert(templateField, QJsonObject{{specField, declaredTemplate->spec}});
  for (Declaration const* const declaration : instances)
    targetInstances.insert(core::toQString(declaration->instance), QJsonObject{{specField, declaration->spec}});
  out.insert(instancesField, targetInstances);
  return out;
}

/// The pools, regimes and time against which families are validated.
struct ValidationContext {
  config::IsKnownPool poolExists;
  config::Regimes regimes;
  config::WallTime wallTime;

  /// Returns why a tenant under the regime cannot be served from the pool. Empty if the tenant can be served.
  std::string regimeError(std::string const& regime, std::string const& pool) const {
    std::optional<config::RegimeFault> const fault = config::findRegimeFault(regimes, regime, pool, wallTime);
    return fault ? fault->reason : std::string();
  }
};

/// Applies a change to a copy of the family and checks the result. Throws config::ConfigError.
void applyAndCheck(QJsonObject& family, Declaration const& declaration, ValidationContext const& context) {
  QJsonObject const entry{{specField, declaration.spec}, {revisionField, 1}};
  if (declaration.kind == Declaration::Kind::instance) {
    QJsonObject instances = family.value(instancesField).toObject();
    instances.insert(core::toQString(declaration.instance), entry);
    family.insert(instancesField, instances);
  } else {
    family.insert(templateField, entry);
  }
  config::checkTemplateFamily(family, context.poolExists, [&](std::string const& regime, std::string const& pool) {
    return context.regimeError(regime, pool);
  });
}

/// Returns why the changes are invalid in this order, or std::nullopt if they are valid.
std::optional<std::string> orderError(Family const& family, Declarations const& order,
                                      ValidationContext const& context) {
  QJsonObject state = family.current;
  for (Declaration const* const declaration : order) {
    try {
      applyAndCheck(state, *declaration, context);
    } catch (config::ConfigError const& error) {
      return declaration->file + ": " + error.what();
    }
  }
  return std::nullopt;
}

/// Returns the changed declarations of a family. The template comes first, or last if only that order is valid.
/// Throws UsageError if neither order is valid.
Declarations orderedChanges(Family const& family, ValidationContext const& context) {
  bool const templateChanged = family.declaredTemplate != nullptr && family.differs(*family.declaredTemplate);
  Declarations changed;
  for (Declaration const* const declaration : family.instances)
    if (family.differs(*declaration)) changed.push_back(declaration);
  Declarations order = changed;
  if (templateChanged) order.insert(order.begin(), family.declaredTemplate);
  std::optional<std::string> const error = orderError(family, order, context);
  if (!error) return order;
  if (templateChanged) {
    order = changed;
    order.push_back(family.declaredTemplate);
    if (!orderError(family, order, context)) return order;
  }
  throw UsageError(*error);
}

/// Plans the removal of the family's instances and template that the fleet has and no file declares.
std::vector<PlannedChange> planRemovals(std::string const& templateName, Family const& family) {
  std::vector<PlannedChange> out;
  QJsonObject const current = family.currentInstances();
  for (QString const& instance : current.keys())
    if (!family.declares(instance))
      out.push_back(plannedRemoval(paths::ofTemplate(templateName, core::toStdString(instance)),
                                   current.value(instance).toObject().value(revisionField).toInteger()));
  bool const undeclared = family.declaredTemplate == nullptr && family.instances.empty();
  if (undeclared && !family.current.isEmpty())
    out.push_back(
        plannedRemoval(paths::ofTemplate(templateName), family.currentTemplate().value(revisionField).toInteger()));
  return out;
}

std::vector<PlannedChange> planFamilies(Families const& families, bool prune, ValidationContext const& context) {
  std::vector<PlannedChange> out;
  for (auto const& [templateName, family] : families) {
    for (Declaration const* const declaration : orderedChanges(family, context))
      out.push_back(plannedPut(*declaration, family.currentEntry(*declaration).value(revisionField).toInteger()));
    if (prune) append(out, planRemovals(templateName, family));
  }
  return out;
}

/// Returns the first tenant of the families that could not be served, with the reason. Empty if all can be served.
/// Invalid families are skipped, because orderedChanges reports their errors.
std::string unservableTenant(std::map<std::string, QJsonObject> const& families, ValidationContext const& context) {
  for (auto const& [templateName, family] : families) {
    std::vector<config::Path> routes;
    try {
      routes = config::renderPaths(templateName, family);
    } catch (config::ConfigError const&) {
      continue;
    }
    for (config::RegimeRequirement const& use : config::regimeRequirements(routes)) {
      std::string const error = context.regimeError(use.regime, use.pool);
      if (!error.empty()) return use.instance + ": " + error;
    }
  }
  return "";
}

/// Reads the fleet's configuration and plans the changes.
class ChangePlanner {
 public:
  ChangePlanner(std::vector<Declaration> const& declarations, bool prune, CallFunction const& call);
  std::vector<PlannedChange> plan();

 private:
  OperatorReply read(std::string const& path) const;
  void readPools();
  bool poolExists(std::string const& pool);
  void readFamilies();
  QJsonObject readFamily(std::string const& templateName) const;
  std::vector<PlannedChange> planWithCertificates(ValidationContext const& current, OperatorReply const& stored) const;
  std::map<std::string, QJsonObject> currentFamilies() const;
  std::map<std::string, QJsonObject> targetFamilies() const;

  bool prune_;
  CallFunction const& call_;
  Families families_;
  /// Null if certificates are not declared.
  Declaration const* certificates_ = nullptr;
  /// Whether a pool exists, for each pool that was looked up so far.
  std::map<std::string, bool> pools_;
};

ChangePlanner::ChangePlanner(std::vector<Declaration> const& declarations, bool prune, CallFunction const& call)
    : prune_(prune), call_(call) {
  for (Declaration const& declaration : declarations) {
    switch (declaration.kind) {
      case Declaration::Kind::certificates:
        certificates_ = &declaration;
        break;
      case Declaration::Kind::templateSpec:
        families_[declaration.templateName].declaredTemplate = &declaration;
        break;
      case Declaration::Kind::instance:
        families_[declaration.templateName].instances.push_back(&declaration);
        break;
    }
  }
}

OperatorReply ChangePlanner::read(std::string const& path) const {
  OperatorReply reply = call_({HttpMethod::get, path});
  if (reply.is(core::HttpStatus::ok) || reply.is(core::HttpStatus::notFound)) return reply;
  throw core::Error("cannot read " + path + ": " +
                    (reply.answered() ? "status " + std::to_string(reply.status) : "no response: " + reply.error));
}

void ChangePlanner::readPools() {
  QJsonObject const configuration = read(config::fleetConfigurationPage).body.value(specField).toObject();
  for (QJsonValue const pool : configuration.value("pools").toArray())
    pools_[core::toStdString(pool.toObject().value("name").toString())] = true;
}

bool ChangePlanner::poolExists(std::string const& pool) {
  auto const known = pools_.find(pool);
  if (known != pools_.end()) return known->second;
  bool const exists = read(paths::ofPool(pool)).is(core::HttpStatus::ok);
  pools_[pool] = exists;
  return exists;
}

QJsonObject ChangePlanner::readFamily(std::string const& templateName) const {
  auto const entryOf = [](OperatorReply const& reply) {
    return QJsonObject{{specField, reply.body.value(specField)}, {revisionField, reply.body.value(revisionField)}};
  };
  OperatorReply const stored = read(paths::ofTemplate(templateName));
  if (stored.is(core::HttpStatus::notFound)) return {};
  QJsonObject instances;
  for (QJsonValue const instance : stored.body.value(instancesField).toArray()) {
    OperatorReply const reply = read(paths::ofTemplate(templateName, core::toStdString(instance.toString())));
    if (reply.is(core::HttpStatus::ok)) instances.insert(instance.toString(), entryOf(reply));
  }
  return QJsonObject{{templateField, entryOf(stored)}, {instancesField, instances}};
}

void ChangePlanner::readFamilies() {
  for (auto& [templateName, family] : families_) {
    family.current = readFamily(templateName);
    bool const orphaned = family.current.isEmpty() && family.declaredTemplate == nullptr && !family.instances.empty();
    if (orphaned)
      throw UsageError(family.instances.front()->file + ": /template: " + templateName +
                       " is neither declared nor present in the fleet");
  }
}

std::map<std::string, QJsonObject> ChangePlanner::currentFamilies() const {
  std::map<std::string, QJsonObject> out;
  for (auto const& [templateName, family] : families_) out.emplace(templateName, family.current);
  return out;
}

std::map<std::string, QJsonObject> ChangePlanner::targetFamilies() const {
  std::map<std::string, QJsonObject> out;
  for (auto const& [templateName, family] : families_) out.emplace(templateName, family.target(prune_));
  return out;
}

std::vector<PlannedChange> ChangePlanner::plan() {
  if (prune_)
    for (QJsonValue const name : read(paths::templates).body.value("templates").toArray())
      families_.try_emplace(core::toStdString(name.toString()));
  readPools();
  OperatorReply const storedCertificates = read(paths::certificates);
  ValidationContext const context{[this](std::string const& pool) { return poolExists(pool); },
                                  config::readStoredRegimes(storedCertificates.body), wallClock()};
  readFamilies();
  bool const certificatesChange =
      certificates_ != nullptr && storedCertificates.body.value(specField) != QJsonValue(certificates_->spec);
  if (!certificatesChange) return planFamilies(families_, prune_, context);
  return planWithCertificates(context, storedCertificates);
}

/// Plans the certificates before the families. If current tenants still need the stored certificates, plans the
/// families first, so that these tenants are changed before the certificates.
std::vector<PlannedChange> ChangePlanner::planWithCertificates(ValidationContext const& current,
                                                               OperatorReply const& stored) const {
  ValidationContext declared = current;
  try {
    declared.regimes = config::readRegimes(certificates_->spec);
  } catch (config::ConfigError const& error) {
    throw UsageError(certificates_->file + ": " + error.what());
  }
  OperatorCall const call{HttpMethod::put, paths::certificates, core::jsonText(certificates_->spec),
                          std::to_string(stored.body.value(revisionField).toInteger())};
  PlannedChange const certificatesChange =
      plannedChange(stored.is(core::HttpStatus::notFound) ? ChangeAction::create : ChangeAction::change, call);
  std::string const before = unservableTenant(currentFamilies(), declared);
  std::string const after = unservableTenant(targetFamilies(), declared);
  if (!after.empty()) throw UsageError(certificates_->file + ": /certificates: " + after);
  if (before.empty()) {
    std::vector<PlannedChange> out{certificatesChange};
    append(out, planFamilies(families_, prune_, declared));
    return out;
  }
  try {
    std::vector<PlannedChange> out = planFamilies(families_, prune_, current);
    out.push_back(certificatesChange);
    return out;
  } catch (UsageError const& error) {
    throw UsageError(std::string(error.what()) + "; if the declared certificates are applied first: " + before +
                     "; split the change into two steps, each with its own apply");
  }
}

}  // namespace

char const* name(ChangeAction action) {
  switch (action) {
    case ChangeAction::create:
      return "create";
    case ChangeAction::change:
      return "change";
    case ChangeAction::remove:
      return "remove";
  }
  return "";
}

std::vector<PlannedChange> planChanges(std::vector<Declaration> const& declarations, bool prune,
                                       CallFunction const& call) {
  return ChangePlanner(declarations, prune, call).plan();
}

}  // namespace corkward::programs
