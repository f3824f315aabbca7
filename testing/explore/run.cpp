#include <corkward/core/error.h>

#include "run.h"

#include <algorithm>
#include <fstream>
#include <unistd.h>

#include "hint_forwarding_model.h"
#include "late_order_model.h"
#include "membership_model.h"
#include "registers_model.h"
#include "removal_hint_model.h"

namespace corkward::explore {

namespace {

using consensus::Mechanism;

/// A mechanism of the registers and its name on the command line.
struct NamedMechanism {
  char const* name;
  Mechanism mechanism;
};

constexpr NamedMechanism registerMechanisms[] = {{"promise-check", Mechanism::promiseCheck},
                                                 {"newest-accepted", Mechanism::newestAccepted},
                                                 {"sync-before-answer", Mechanism::syncBeforeReply},
                                                 {"read-confirmation", Mechanism::readConfirmation}};
constexpr NamedMechanism membershipMechanisms[] = {{"catch-up-first", Mechanism::catchUpFirst},
                                                   {"copy-before-vote", Mechanism::catchUpBeforeVote},
                                                   {"both-majorities", Mechanism::jointQuorum},
                                                   {"membership-guard", Mechanism::membershipGuard}};
constexpr char const* freshIdName = "fresh-id";
constexpr char const* compareBaseName = "compare-base";
constexpr char const* lateOrdersName = "late-orders";
constexpr char const* holdOrdersName = "hold-orders";
constexpr char const* reserveOrdersName = "reserve-orders";
constexpr char const* bindBallotName = "bind-ballot";
constexpr char const* removalHintsName = "removal-hints";
constexpr char const* nameBaseName = "name-base";
constexpr char const* hintForwardingName = "hint-forwarding";
constexpr char const* rememberEndedName = "remember-ended";

Rules rulesWithout(std::string const& without) {
  Rules rules;
  for (NamedMechanism const& n : registerMechanisms)
    if (without == n.name) rules.tuning.switches.turnOff(n.mechanism);
  for (NamedMechanism const& n : membershipMechanisms)
    if (without == n.name) rules.tuning.switches.turnOff(n.mechanism);
  rules.freshIds = without != freshIdName;
  rules.compareBase = without != compareBaseName;
  return rules;
}

template <class Model>
Outcome searchModel(Run const& run, Limits const& limits) {
  Model const model(rulesWithout(run.without), run.bounds);
  return Search<Model>(model, limits).run();
}

Outcome searchLateOrders(Run const& run, Limits const& limits) {
  LateOrderRules rules;
  rules.holdsOrders = run.without != holdOrdersName;
  rules.reservesOrders = run.without != reserveOrdersName;
  rules.bindsBallot = run.without != bindBallotName;
  LateOrderModel const model(rules);
  return Search<LateOrderModel>(model, limits).run();
}

Outcome searchRemovalHints(Run const& run, Limits const& limits) {
  RemovalHintModel const model({run.without != nameBaseName});
  return Search<RemovalHintModel>(model, limits).run();
}

Outcome searchHintForwarding(Run const& run, Limits const& limits) {
  HintForwardingModel const model({run.without != rememberEndedName});
  return Search<HintForwardingModel>(model, limits).run();
}

}  // namespace

std::size_t residentMb() {
  std::ifstream in("/proc/self/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / (1U << 20);
}

std::vector<std::string> models() {
  return {"registers", "membership", lateOrdersName, removalHintsName, hintForwardingName};
}

std::vector<std::string> mechanisms(std::string const& model) {
  std::vector<std::string> out;
  if (model == "registers") {
    for (NamedMechanism const& n : registerMechanisms) out.push_back(n.name);
    out.push_back(freshIdName);
    out.push_back(compareBaseName);
  }
  if (model == "membership")
    for (NamedMechanism const& n : membershipMechanisms) out.push_back(n.name);
  if (model == removalHintsName) out = {nameBaseName};
  if (model == hintForwardingName) out = {rememberEndedName};
  if (model == lateOrdersName) out = {holdOrdersName, reserveOrdersName, bindBallotName};
  return out;
}

Outcome search(Run const& run, Limits const& limits) {
  std::vector<std::string> const known = mechanisms(run.model);
  if (!run.without.empty() && std::count(known.begin(), known.end(), run.without) == 0)
    throw UnknownName("model " + run.model + " has no mechanism " + run.without);
  if (run.model == "registers") return searchModel<RegistersModel>(run, limits);
  if (run.model == "membership") return searchModel<MembershipModel>(run, limits);
  if (run.model == lateOrdersName) return searchLateOrders(run, limits);
  if (run.model == removalHintsName) return searchRemovalHints(run, limits);
  if (run.model == hintForwardingName) return searchHintForwarding(run, limits);
  throw UnknownName("no such model: " + run.model);
}

std::vector<Run> tableRuns() {
  Bounds const calls{3, 2, 0, 1, 0, 0};
  Bounds const faults{3, 1, 0, 1, 0, 1};
  Bounds const reads{3, 1, 1, 1, 0, 0};
  Bounds const ids{3, 1, 0, 0, 2, 1};
  Bounds const three{3, 0, 0, 0, 0, 1};
  return {{"registers", "", calls},
          {"registers", "", faults},
          {"registers", "", reads},
          {"registers", "promise-check", calls},
          {"registers", "newest-accepted", calls},
          {"registers", "sync-before-answer", faults},
          {"registers", "read-confirmation", reads},
          {"registers", "fresh-id", ids},
          {"registers", "compare-base", calls},
          {"membership", "", three},
          {"membership", "copy-before-vote", three},
          {lateOrdersName, "", {}},
          {lateOrdersName, holdOrdersName, {}},
          {lateOrdersName, reserveOrdersName, {}},
          {lateOrdersName, bindBallotName, {}},
          {removalHintsName, "", {}},
          {removalHintsName, nameBaseName, {}},
          {hintForwardingName, "", {}},
          {hintForwardingName, rememberEndedName, {}}};
}

bool asExpected(Run const& run, Outcome const& outcome) {
  return run.without.empty() == outcome.broken.empty();
}

}  // namespace corkward::explore
