#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/scaling/scaling.h>

/// What a simulated run is of: its sizes, its failures, the rules that it breaks on purpose, and what it showed.
namespace corkward::testing {

using core::Tick;

/// Failures of the brief that a run may cause.
enum class Fault {
  killRouter,
  killHerd,
  killControl,
  killAll,
  freezeRouter,
  freezeController,
  isolateMember,
  splitCore,
  cutCore,
  cutZone,
  isolateRouter,
  oneWayCut,
  diskSlow,
  diskStall,
  diskFull,
  diskFail,
  diskDamage,
  powerLoss,
  wipeSameAddress,
  returnNewAddress,
  replicaCrash,
  breakStreams,
  breakMany,
  replicaDark,
  replicaVanish,
  allSlow,
  crowd,
  hardRetries,
  rollReplicas,
  coldReplicas,
  restartRouter,
  restartController,
  changeStorm,
  races,
  bigTemplate,
  evacuate,
  wallClockJump,
  lossyNetwork,
  growCore,
  longAbsence,
  greyReplicas,
  flapReplicas,
  resetConnections,
  forgetConnections,
  slowRouter,
  slowController,
  scaleOut,
  zoneLoss,
  shiftLengths,
  reuseAddress
};

struct FaultRow {
  Fault fault;
  char const* name;
};

inline constexpr FaultRow faultTable[] = {{Fault::killRouter, "kill-router"},
                                          {Fault::killHerd, "kill-herd"},
                                          {Fault::killControl, "kill-control"},
                                          {Fault::killAll, "kill-all"},
                                          {Fault::freezeRouter, "freeze-router"},
                                          {Fault::freezeController, "freeze-controller"},
                                          {Fault::isolateMember, "isolate-member"},
                                          {Fault::splitCore, "split-core"},
                                          {Fault::cutCore, "cut-core"},
                                          {Fault::cutZone, "cut-zone"},
                                          {Fault::isolateRouter, "isolate-router"},
                                          {Fault::oneWayCut, "one-way-cut"},
                                          {Fault::diskSlow, "disk-slow"},
                                          {Fault::diskStall, "disk-stall"},
                                          {Fault::diskFull, "disk-full"},
                                          {Fault::diskFail, "disk-fail"},
                                          {Fault::diskDamage, "disk-damage"},
                                          {Fault::powerLoss, "power-loss"},
                                          {Fault::wipeSameAddress, "wipe-same-address"},
                                          {Fault::returnNewAddress, "return-new-address"},
                                          {Fault::replicaCrash, "replica-crash"},
                                          {Fault::breakStreams, "break-streams"},
                                          {Fault::breakMany, "break-many"},
                                          {Fault::replicaDark, "replica-dark"},
                                          {Fault::replicaVanish, "replica-vanish"},
                                          {Fault::allSlow, "all-slow"},
                                          {Fault::crowd, "crowd"},
                                          {Fault::hardRetries, "hard-retries"},
                                          {Fault::rollReplicas, "roll-replicas"},
                                          {Fault::coldReplicas, "cold-replicas"},
                                          {Fault::restartRouter, "restart-router"},
                                          {Fault::restartController, "restart-controller"},
                                          {Fault::changeStorm, "change-storm"},
                                          {Fault::races, "races"},
                                          {Fault::bigTemplate, "big-template"},
                                          {Fault::evacuate, "evacuate"},
                                          {Fault::wallClockJump, "wall-clock-jump"},
                                          {Fault::lossyNetwork, "lossy-network"},
                                          {Fault::growCore, "grow-core"},
                                          {Fault::longAbsence, "long-absence"},
                                          {Fault::greyReplicas, "grey-replicas"},
                                          {Fault::flapReplicas, "flap-replicas"},
                                          {Fault::resetConnections, "reset-connections"},
                                          {Fault::forgetConnections, "forget-connections"},
                                          {Fault::slowRouter, "slow-router"},
                                          {Fault::slowController, "slow-controller"},
                                          {Fault::scaleOut, "scale-out"},
                                          {Fault::zoneLoss, "zone-loss"},
                                          {Fault::shiftLengths, "shift-lengths"},
                                          {Fault::reuseAddress, "reuse-address"}};

/// Switches that break a rule on purpose, to show that its oracle can fail.
enum class Mutation {
  none,
  noFence,
  earlyAck,
  vouchTooSoon,
  sayNotRun,
  resendUnseen,
  warmForever,
  lyingDisk,
  rewriteIfMatch,
  rejectAccepted,
  dropOnRestart,
  noReturn,
  forgetLeaving,
  youngAges,
  forgetHints,
  resumeGap,
  resumeRepeat,
  resumeOther,
  cutLooksWhole,
  foreignBody,
  neverGrow,
  blindTrust,
  skipLife,
  ignoreExpiry,
  resumeAnywhere,
  resumeTwice,
  eventGap,
  unrecorded
};

/// Sizes and failures of one run; everything else follows from the seed.
struct Plan {
  std::uint64_t seed = 1;
  int controllers = 3;
  /// The first so many controllers found the membership at their first start; nobody is told of founders later.
  int founders = 3;
  /// See consensus::Tuning.
  Tick replaceDarkAfter = 20000;
  int routers = 8;
  int models = 9;
  int others = 3;
  int zones = 3;
  double demand = 40;
  /// Times the demand between a third and two thirds of the run.
  double surge = 1.0;
  Tick length = 60000;
  std::vector<Fault> faults;
  /// Mean time between failures.
  Tick every = 6000;
  Mutation mutation = Mutation::none;
  /// Whole pool, fewest in flight: the plain variant for comparisons.
  bool plain = false;
  scaling::Figures figures = scaling::figures;
  int prefixes = 40;
  /// How far a clock's rate may be from the true one; two clocks differ by up to twice as much.
  double clockSpread = 0.002;
  /// First words count only for callers that began so long after the first one.
  Tick skip = 0;
  /// The tenant nord is of a regime; operators declare, revoke and exchange certificates all the time. The last zone
  /// has none, ever.
  bool regimes = false;
  /// False: all of that but the tenant's regime, for comparisons.
  bool bound = true;
  /// Routers need certificates, too; those in the last zone have none, ever.
  bool certifiedRouters = false;
  /// Messages are packed and counted, by kind and by the role of the sender; costs time.
  bool traffic = false;
};

/// What a run showed.
struct Result {
  std::vector<std::string> violations;
  /// Which failure was caused when.
  std::vector<std::string> timeline;
  std::map<std::string, std::size_t> counts;
  /// From the caller's first attempt, and from the attempt that was served.
  std::map<std::string, std::vector<Tick>> firstWords;
  std::map<std::string, std::vector<Tick>> servedWords;
  std::vector<Tick> ackTimes;
  /// Messages and bytes sent while failures last and the first 10 s are over, by the sender's role and the kind.
  std::map<std::pair<std::string, std::string>, std::pair<std::size_t, std::size_t>> traffic;
  double partSum = 0;
  std::size_t partSamples = 0;
};

/// A plan with every kind of failure, for sweeps.
/// @param grown with those that came later; without them a seed stays the plan that it was
Plan chaos(std::uint64_t seed, bool grown = true);

/// The same with a tenant of a regime, certificates that change all the time and addresses that are used again.
Plan regimes(std::uint64_t seed);

/// A plan that causes the named failures alone.
Plan only(std::uint64_t seed, std::vector<Fault> faults);

}  // namespace corkward::testing
