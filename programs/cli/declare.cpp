#include "declare.h"

#include <QDateTime>
#include <QDirIterator>
#include <QJsonArray>
#include <algorithm>
#include <iostream>
#include <map>

#include <corkward/config/config.h>
#include <corkward/config/regimes.h>
#include <corkward/core/json.h>
#include <corkward/core/types.h>

namespace corkward::programs {

namespace {

constexpr char const* certificatesPath = "/v1/certificates";

std::string pathOf(std::string const& templateName, std::string const& instance) {
  return "/v1/templates/" + templateName + (instance.empty() ? "" : "/instances/" + instance);
}

/// The same change on the same revision has the same id, so sending it again is harmless.
std::string changeIdOf(OperatorCall const& call) {
  return "apply-" +
         QString::number(core::stableHash(call.method + " " + call.path + " " + call.revision + " " + call.body), 16)
             .toStdString();
}

PlannedChange changeOf(std::string const& action, std::string const& method, std::string const& path,
                       QJsonObject const* spec, qint64 revision) {
  PlannedChange out;
  out.action = action;
  out.call =
      OperatorCall{method, path, spec == nullptr ? "" : core::jsonText(*spec), std::to_string(revision), "", false};
  out.call.changeId = changeIdOf(out.call);
  return out;
}

/// One family as it is in force, and as it is to be.
struct Family {
  QJsonObject now;
  std::vector<Declaration const*> instances;
  Declaration const* own = nullptr;
};

/// What stands beside the families.
struct Known {
  config::PoolKnown pool;
  config::Regimes regimes;
  config::WallTime wall;

  std::string regimeFault(std::string const& regime, std::string const& in) const {
    std::optional<config::RegimeFault> const fault = config::faultOf(regimes, regime, in, wall);
    return fault ? fault->reason : std::string();
  }
};

OperatorOutcome read(Ask const& ask, std::string const& path) {
  OperatorOutcome const out = ask(OperatorCall{"GET", path, "", "", "", false});
  if (out.status != 200 && out.status != 404)
    throw core::Error("cannot read " + path + ": " +
                      (out.status == 0 ? "no answer: " + out.error : "status " + std::to_string(out.status)));
  return out;
}

QJsonObject entryOf(OperatorOutcome const& out) {
  return QJsonObject{{"spec", out.body.value("spec")}, {"stamp", out.body.value("stamp")}};
}

QJsonObject familyInForce(Ask const& ask, std::string const& name) {
  OperatorOutcome const t = read(ask, pathOf(name, ""));
  if (t.status == 404) return {};
  QJsonObject instances;
  for (QJsonValue const v : t.body.value("instances").toArray()) {
    OperatorOutcome const i = read(ask, pathOf(name, core::toStdString(v.toString())));
    if (i.status == 200) instances.insert(v.toString(), entryOf(i));
  }
  return QJsonObject{{"template", entryOf(t)}, {"instances", instances}};
}

/// Carries a planned change out on a copy of the family and checks the result.
void step(QJsonObject& family, Declaration const& d, Known const& known) {
  QJsonObject const entry{{"spec", d.spec}, {"stamp", 1}};
  if (d.instance.empty()) {
    family.insert("template", entry);
  } else {
    QJsonObject all = family.value("instances").toObject();
    all.insert(core::toQString(d.instance), entry);
    family.insert("instances", all);
  }
  config::checkFamily(family, known.pool, [&](std::string const& regime, std::string const& pool) {
    return known.regimeFault(regime, pool);
  });
}

std::vector<PlannedChange> planFamily(std::string const& name, Family const& f, bool prune, Known const& known) {
  std::vector<Declaration const*> changed;
  QJsonObject const have = f.now.value("instances").toObject();
  bool const ownChanged =
      f.own != nullptr && f.now.value("template").toObject().value("spec") != QJsonValue(f.own->spec);
  for (Declaration const* const d : f.instances)
    if (have.value(core::toQString(d->instance)).toObject().value("spec") != QJsonValue(d->spec)) changed.push_back(d);
  std::vector<Declaration const*> order = changed;
  if (ownChanged) order.insert(order.begin(), f.own);
  std::string fault;
  std::string firstFault;
  for (int turn = 0; turn < 2; ++turn) {
    QJsonObject family = f.now;
    fault.clear();
    Declaration const* at = nullptr;
    try {
      for (Declaration const* const d : order) {
        at = d;
        step(family, *d, known);
      }
      break;
    } catch (config::ConfigError const& e) {
      fault = at->file + ": " + e.what();
      if (firstFault.empty()) firstFault = fault;
    }
    if (!ownChanged || turn == 1) break;
    order = changed;
    order.push_back(f.own);
  }
  if (!fault.empty()) throw UsageError(firstFault);
  std::vector<PlannedChange> out;
  for (Declaration const* const d : order) {
    QJsonObject const entry =
        d->instance.empty() ? f.now.value("template").toObject() : have.value(core::toQString(d->instance)).toObject();
    qint64 const revision = entry.value("stamp").toInteger();
    out.push_back(changeOf(revision == 0 ? "create" : "change", "PUT", d->path(), &d->spec, revision));
  }
  if (!prune) return out;
  for (QString const& i : have.keys()) {
    bool const kept = std::any_of(f.instances.begin(), f.instances.end(),
                                  [&](Declaration const* d) { return core::toQString(d->instance) == i; });
    if (!kept)
      out.push_back(changeOf("remove", "DELETE", pathOf(name, core::toStdString(i)), nullptr,
                             have.value(i).toObject().value("stamp").toInteger()));
  }
  if (f.own == nullptr && f.instances.empty() && !f.now.isEmpty())
    out.push_back(changeOf("remove", "DELETE", pathOf(name, ""), nullptr,
                           f.now.value("template").toObject().value("stamp").toInteger()));
  return out;
}

std::vector<PlannedChange> planFamilies(std::map<std::string, Family> const& families, bool prune, Known const& known) {
  std::vector<PlannedChange> out;
  for (std::map<std::string, Family>::value_type const& f : families) {
    std::vector<PlannedChange> const part = planFamily(f.first, f.second, prune, known);
    out.insert(out.end(), part.begin(), part.end());
  }
  return out;
}

/// The family as it will be.
QJsonObject familyToCome(Family const& f, bool prune) {
  QJsonObject out = prune ? QJsonObject{{"template", f.now.value("template")}} : f.now;
  QJsonObject instances = out.value("instances").toObject();
  if (f.own != nullptr) out.insert("template", QJsonObject{{"spec", f.own->spec}});
  for (Declaration const* const d : f.instances)
    instances.insert(core::toQString(d->instance), QJsonObject{{"spec", d->spec}});
  out.insert("instances", instances);
  return out;
}

/// First tenant that could not be served, of those in force or of those to come, and why.
std::string uncovered(std::map<std::string, Family> const& families, bool toCome, bool prune, Known const& known) {
  for (std::map<std::string, Family>::value_type const& f : families) {
    std::vector<config::Path> paths;
    try {
      paths = config::render(f.first, toCome ? familyToCome(f.second, prune) : f.second.now);
    } catch (config::ConfigError const&) {
      continue;
    }
    for (config::RegimeUse const& use : config::regimeUses(paths)) {
      std::string const fault = known.regimeFault(use.regime, use.pool);
      if (!fault.empty()) return use.instance + ": " + fault;
    }
  }
  return "";
}

void say(std::vector<PlannedChange> const& plan, std::string const& head) {
  std::cout << head << "\n";
  for (PlannedChange const& c : plan)
    std::cout << "  " << c.action << " " << c.call.path << " (stamp " << c.call.revision << ")\n";
}

}  // namespace

std::string Declaration::path() const {
  return templateName.empty() ? certificatesPath : pathOf(templateName, instance);
}

std::vector<Declaration> readFolder(std::string const& folder) {
  if (!QDir(core::toQString(folder)).exists()) throw UsageError("no such folder: " + folder);
  std::vector<std::string> files;
  QDirIterator it(core::toQString(folder), {"*.json"}, QDir::Files, QDirIterator::Subdirectories);
  while (it.hasNext()) files.push_back(core::toStdString(it.next()));
  std::sort(files.begin(), files.end());
  if (files.empty()) throw UsageError(folder + ": no *.json file in it");
  std::vector<Declaration> out;
  std::map<std::string, std::string> seen;
  for (std::string const& file : files) {
    Declaration d;
    d.file = file;
    QJsonValue v;
    try {
      v = core::parseJson(readFile(file));
    } catch (core::JsonError const& e) {
      throw UsageError(file + ": " + e.what());
    }
    if (!v.isObject()) throw UsageError(file + ": /: must be an object");
    QJsonObject const o = v.toObject();
    if (o.contains("regimes")) {
      d.spec = o;
      out.push_back(d);
      if (!seen.emplace(d.path(), file).second)
        throw UsageError(file + ": /regimes: regimes stand in " + seen.at(d.path()) + " already");
      continue;
    }
    for (QString const& k : o.keys())
      if (k != "template" && k != "instance" && k != "spec")
        throw UsageError(file + ": /" + core::toStdString(k) + ": unknown field");
    d.templateName = core::toStdString(o.value("template").toString());
    if (!config::validName(d.templateName)) throw UsageError(file + ": /template: must be a name");
    d.instance = core::toStdString(o.value("instance").toString());
    if (o.contains("instance") && !config::validName(d.instance))
      throw UsageError(file + ": /instance: must be a name");
    if (!o.value("spec").isObject()) throw UsageError(file + ": /spec: must be an object");
    d.spec = o.value("spec").toObject();
    std::string const before = seen.try_emplace(d.path(), file).first->second;
    if (before != file) throw UsageError(file + ": " + d.path() + " is declared in " + before + " too");
    out.push_back(std::move(d));
  }
  return out;
}

std::vector<PlannedChange> planChanges(std::vector<Declaration> const& declared, bool prune, Ask const& ask) {
  std::map<std::string, Family> families;
  Declaration const* certificates = nullptr;
  for (Declaration const& d : declared) {
    if (d.templateName.empty()) {
      certificates = &d;
      continue;
    }
    Family& f = families[d.templateName];
    if (d.instance.empty())
      f.own = &d;
    else
      f.instances.push_back(&d);
  }
  if (prune)
    for (QJsonValue const v : read(ask, "/v1/templates").body.value("templates").toArray())
      families.try_emplace(core::toStdString(v.toString()));
  std::map<std::string, bool> pools;
  for (QJsonValue const p :
       read(ask, config::fleetConfigurationPage).body.value("spec").toObject().value("pools").toArray())
    pools[core::toStdString(p.toObject().value("name").toString())] = true;
  OperatorOutcome const inForce = read(ask, certificatesPath);
  Known known{[&](std::string const& pool) {
                std::map<std::string, bool>::const_iterator const it = pools.find(pool);
                return it != pools.end()
                           ? it->second
                           : (pools[pool] = read(ask, "/v1/platform/pools/" + config::addressPart(pool)).status == 200);
              },
              config::storedRegimes(inForce.body), QDateTime::currentMSecsSinceEpoch()};
  for (std::map<std::string, Family>::value_type& f : families) {
    f.second.now = familyInForce(ask, f.first);
    if (f.second.now.isEmpty() && f.second.own == nullptr && !f.second.instances.empty())
      throw UsageError(f.second.instances.front()->file + ": /template: " + f.first +
                       " is neither declared nor in force");
  }
  if (certificates == nullptr || inForce.body.value("spec") == QJsonValue(certificates->spec))
    return planFamilies(families, prune, known);
  Known next = known;
  try {
    next.regimes = config::readRegimes(certificates->spec);
  } catch (config::ConfigError const& e) {
    throw UsageError(certificates->file + ": " + e.what());
  }
  PlannedChange const own = changeOf(inForce.status == 404 ? "create" : "change", "PUT", certificatesPath,
                                     &certificates->spec, inForce.body.value("stamp").toInteger());
  std::string const before = uncovered(families, false, prune, next);
  std::string const after = uncovered(families, true, prune, next);
  if (!after.empty()) throw UsageError(certificates->file + ": /certificates: " + after);
  if (before.empty()) {
    std::vector<PlannedChange> out = planFamilies(families, prune, next);
    out.insert(out.begin(), own);
    return out;
  }
  try {
    std::vector<PlannedChange> out = planFamilies(families, prune, known);
    out.push_back(own);
    return out;
  } catch (UsageError const& e) {
    throw UsageError(std::string(e.what()) + "; with the declared certificates first: " + before +
                     "; declare this in two steps");
  }
}

int declare(std::vector<std::string> const& controllers, ApplyConnections const& ways,
            std::function<int(int)> const& exitCode) {
  std::vector<Declaration> const declared = readFolder(ways.folder);
  std::vector<PlannedChange> plan;
  try {
    plan = planChanges(declared, ways.prune,
                       [&](OperatorCall const& c) { return callOperator(controllers, c, ways.limitSeconds); });
  } catch (UsageError const&) {
    throw;
  } catch (core::Error const& e) {
    std::cerr << "corkward: " << e.what() << "; nothing was changed\n";
    return 7;
  }
  bool const send = ways.apply && !ways.dryRun;
  if (!ways.json) say(plan, plan.empty() ? "nothing to change" : std::to_string(plan.size()) + " to change");
  QJsonArray account;
  int code = !ways.apply && !plan.empty() ? 1 : 0;
  std::size_t done = 0;
  for (PlannedChange const& c : plan) {
    QJsonObject row{{"action", core::toQString(c.action)},
                    {"path", core::toQString(c.call.path)},
                    {"stamp", core::toQString(c.call.revision).toLongLong()},
                    {"changeId", core::toQString(c.call.changeId)}};
    if (send && code == 0) {
      OperatorOutcome out = callOperator(controllers, c.call, ways.limitSeconds);
      out = waitInForce(controllers, c.call, out, ways.limitSeconds, ways.waitSeconds);
      bool const ok = out.status == 200 || out.status == 201;
      if (!ok) code = out.body.value("pending").toBool() ? 8 : out.status == 0 ? 7 : exitCode(out.status);
      done += ok ? 1 : 0;
      row.insert("status", out.status);
      if (!ok) row.insert("outcome", out.body);
      if (!ways.json)
        std::cout << (ok ? "done " : "stopped at ") << c.call.path << ": status " << out.status
                  << (ok ? ""
                         : " " + core::toStdString(out.body.value("pointer").toString()) + " " +
                               core::toStdString(out.body.value("reason").toString()))
                  << "\n";
    }
    account.append(row);
  }
  if (ways.json)
    std::cout << core::jsonText(QJsonObject{{"changes", account}, {"done", static_cast<qint64>(done)}, {"code", code}})
              << "\n";
  if (!ways.json && send && !plan.empty()) std::cout << done << " of " << plan.size() << " done\n";
  return code;
}

}  // namespace corkward::programs
