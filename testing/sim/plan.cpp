#include "plan.h"

namespace corkward::testing {

namespace {

/// Draws the workloads that have a generator of their own, so that they leave the other draws of a seed as they are.
void drawLateOrdersAndReaders(Plan& plan) {
  core::RandomGenerator rng(plan.seed ^ 0x1A7E);
  plan.lateOrders = rng.chance(0.5);
  plan.listReader = rng.chance(0.35);
}

void drawFractionalLimits(Plan& plan) {
  core::RandomGenerator rng(plan.seed ^ 0xF7AC);
  plan.fractionalLimits = rng.chance(0.4);
}

}  // namespace

Plan only(std::uint64_t seed, std::vector<Fault> faults) {
  Plan p;
  p.seed = seed;
  p.faults = std::move(faults);
  return p;
}

Plan chaos(std::uint64_t seed, bool withLaterFaults) {
  Plan p;
  p.seed = seed;
  core::RandomGenerator rng(seed ^ 0xC0);
  if (rng.chance(0.5)) {
    p.controllers = 4;
    p.others = 4;
    p.zones = 4;
  }
  for (FaultName const& f : faultTable)
    if (f.fault < Fault::addController && rng.chance(0.35)) p.faults.push_back(f.fault);
  if (p.faults.empty()) p.faults.push_back(Fault::killMany);
  p.faultInterval = 2500 + static_cast<Milliseconds>(rng.below(6000));
  if (rng.chance(0.4)) p.clockSpread = 0.045;
  for (Fault const f : {Fault::addController, Fault::longAbsence})
    if (rng.chance(0.35)) p.faults.push_back(f);
  if (rng.chance(0.5)) p.replaceUnreachableAfter = 3000;
  for (FaultName const& f : faultTable)
    if (withLaterFaults && f.fault > Fault::longAbsence && f.fault < Fault::reuseAddress && rng.chance(0.35))
      p.faults.push_back(f.fault);
  if (withLaterFaults) {
    drawLateOrdersAndReaders(p);
    drawFractionalLimits(p);
  }
  return p;
}

Plan regimes(std::uint64_t seed) {
  Plan p = chaos(seed, false);
  core::RandomGenerator rng(seed ^ 0x4E);
  p.regimes = true;
  p.certifiedRouters = rng.chance(0.5);
  p.demand = 60;
  if (rng.chance(0.7)) p.faults.push_back(Fault::reuseAddress);
  if (rng.chance(0.5)) p.faults.push_back(Fault::breakStreams);
  return p;
}

namespace {

std::vector<Fault> faultsOfScenario(ControlScenario point) {
  switch (point) {
    case ControlScenario::cuts:
      return {Fault::partitionMember,
              Fault::partitionMemberFromAll,
              Fault::partitionMemberFromOtherZones,
              Fault::partitionMemberOldest,
              Fault::partitionMemberAsymmetric,
              Fault::partitionMemberRestart,
              Fault::partitionMemberNewSeeds,
              Fault::partitionMemberEndpointChange,
              Fault::killRouter,
              Fault::evacuate,
              Fault::rollReplicas};
    case ControlScenario::resends:
      return {Fault::powerLossAtTime,           Fault::partitionMemberFromAll,
              Fault::partitionMemberAsymmetric, Fault::isolateMember,
              Fault::restartController,         Fault::killControllers,
              Fault::freezeController,          Fault::diskStall};
    case ControlScenario::secondDiskLoss:
      return {Fault::secondDiskLoss, Fault::replaceMembersInTurn, Fault::wipeAtAcknowledgement,
              Fault::restartController, Fault::wipeSameAddress};
    case ControlScenario::manyChanges:
      return {Fault::manyChanges, Fault::restartController, Fault::wipeSameAddress, Fault::powerLoss};
    case ControlScenario::powerCuts:
      return {Fault::powerLossAtAcknowledgement,
              Fault::powerLossAtTime,
              Fault::wipeAtAcknowledgement,
              Fault::massPowerLoss,
              Fault::diskFull,
              Fault::diskFail,
              Fault::powerLoss,
              Fault::diskSlow};
  }
  return {};
}

}  // namespace

Plan controlPlan(std::uint64_t seed, ControlScenario point) {
  core::RandomGenerator rng(seed ^ (0xDA00 + static_cast<std::uint64_t>(point)));
  Plan p;
  p.seed = seed;
  p.controllers = 3 + static_cast<int>(rng.below(3));
  p.zones = 3 + static_cast<int>(rng.below(2));
  p.routers = 5;
  p.models = 5;
  p.others = 3;
  p.demand = 10;
  p.length = 40000;
  p.faultInterval = 5000 + static_cast<Milliseconds>(rng.below(5000));
  p.replaceUnreachableAfter = 3000;
  p.fenced = rng.chance(0.5);
  p.namesLostSeparately = point == ControlScenario::powerCuts || rng.chance(0.3);
  p.operators.enabled = true;
  p.operators.ackLossFraction = point == ControlScenario::resends ? 0.7 : rng.chance(0.5) ? 0.2 : 0.0;
  p.operators.raceFraction = rng.chance(0.5) ? 0.4 : 0.0;
  p.operators.sendToIsolated = rng.chance(0.6);
  p.operators.retryImmediately = rng.chance(0.4);
  std::vector<Fault> const all = faultsOfScenario(point);
  for (Fault const f : all)
    if (rng.chance(0.4)) p.faults.push_back(f);
  if (p.faults.empty()) p.faults.push_back(all[rng.below(all.size())]);
  if (point == ControlScenario::manyChanges) p.faults.push_back(Fault::manyChanges);
  drawLateOrdersAndReaders(p);
  return p;
}

}  // namespace corkward::testing
