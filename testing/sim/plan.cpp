#include "plan.h"

namespace corkward::testing {

Plan only(std::uint64_t seed, std::vector<Fault> faults) {
  Plan p;
  p.seed = seed;
  p.faults = std::move(faults);
  return p;
}

Plan chaos(std::uint64_t seed, bool grown) {
  Plan p;
  p.seed = seed;
  core::RandomGenerator rng(seed ^ 0xC0);
  if (rng.chance(0.5)) {
    p.controllers = 4;
    p.others = 4;
    p.zones = 4;
  }
  for (FaultName const& f : faultTable)
    if (f.fault < Fault::growCore && rng.chance(0.35)) p.faults.push_back(f.fault);
  if (p.faults.empty()) p.faults.push_back(Fault::killHerd);
  p.every = 2500 + static_cast<Milliseconds>(rng.below(6000));
  if (rng.chance(0.4)) p.clockSpread = 0.045;
  for (Fault const f : {Fault::growCore, Fault::longAbsence})
    if (rng.chance(0.35)) p.faults.push_back(f);
  if (rng.chance(0.5)) p.replaceDarkAfter = 3000;
  for (FaultName const& f : faultTable)
    if (grown && f.fault > Fault::longAbsence && f.fault < Fault::reuseAddress && rng.chance(0.35))
      p.faults.push_back(f.fault);
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

std::vector<Fault> faultsOf(Point point) {
  switch (point) {
    case Point::cuts:
      return {Fault::partitionMember,
              Fault::partitionMemberAll,
              Fault::partitionMemberNear,
              Fault::partitionMemberOldest,
              Fault::partitionMemberAsymmetric,
              Fault::partitionMemberBoth,
              Fault::partitionMemberSeeds,
              Fault::partitionMemberLure,
              Fault::killRouter,
              Fault::evacuate,
              Fault::rollReplicas};
    case Point::resends:
      return {Fault::powerLossAtTime,  Fault::partitionMemberAll, Fault::partitionMemberAsymmetric,
              Fault::isolateMember,    Fault::restartController,  Fault::killControl,
              Fault::freezeController, Fault::diskStall};
    case Point::secondLoss:
      return {Fault::secondLoss, Fault::replaceInTurn, Fault::wipeAtAcknowledgement, Fault::restartController,
              Fault::wipeSameAddress};
    case Point::manyChanges:
      return {Fault::manyChanges, Fault::restartController, Fault::wipeSameAddress, Fault::powerLoss};
    case Point::powerCuts:
      return {Fault::powerLossAtAcknowledgement,
              Fault::powerLossAtTime,
              Fault::wipeAtAcknowledgement,
              Fault::massPower,
              Fault::diskFull,
              Fault::diskFail,
              Fault::powerLoss,
              Fault::diskSlow};
  }
  return {};
}

}  // namespace

Plan worstDay(std::uint64_t seed, Point point) {
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
  p.every = 5000 + static_cast<Milliseconds>(rng.below(5000));
  p.replaceDarkAfter = 3000;
  p.fenced = rng.chance(0.5);
  p.looseNames = point == Point::powerCuts || rng.chance(0.3);
  p.operators.any = true;
  p.operators.ackLost = point == Point::resends ? 0.7 : rng.chance(0.5) ? 0.2 : 0.0;
  p.operators.race = rng.chance(0.5) ? 0.4 : 0.0;
  p.operators.meet = rng.chance(0.6);
  p.operators.hard = rng.chance(0.4);
  std::vector<Fault> const all = faultsOf(point);
  for (Fault const f : all)
    if (rng.chance(0.4)) p.faults.push_back(f);
  if (p.faults.empty()) p.faults.push_back(all[rng.below(all.size())]);
  if (point == Point::manyChanges) p.faults.push_back(Fault::manyChanges);
  return p;
}

}  // namespace corkward::testing
