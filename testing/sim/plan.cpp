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
  core::Rng rng(seed ^ 0xC0);
  if (rng.chance(0.5)) {
    p.controllers = 4;
    p.others = 4;
    p.zones = 4;
  }
  for (FaultRow const& f : faultTable)
    if (f.fault < Fault::growCore && rng.chance(0.35)) p.faults.push_back(f.fault);
  if (p.faults.empty()) p.faults.push_back(Fault::killHerd);
  p.every = 2500 + static_cast<Tick>(rng.below(6000));
  if (rng.chance(0.4)) p.clockSpread = 0.045;
  for (Fault const f : {Fault::growCore, Fault::longAbsence})
    if (rng.chance(0.35)) p.faults.push_back(f);
  if (rng.chance(0.5)) p.replaceDarkAfter = 3000;
  for (FaultRow const& f : faultTable)
    if (grown && f.fault > Fault::longAbsence && f.fault != Fault::reuseAddress && rng.chance(0.35))
      p.faults.push_back(f.fault);
  return p;
}

Plan regimes(std::uint64_t seed) {
  Plan p = chaos(seed, false);
  core::Rng rng(seed ^ 0x4E);
  p.regimes = true;
  p.certifiedRouters = rng.chance(0.5);
  p.demand = 60;
  if (rng.chance(0.7)) p.faults.push_back(Fault::reuseAddress);
  if (rng.chance(0.5)) p.faults.push_back(Fault::breakStreams);
  return p;
}

}  // namespace corkward::testing
