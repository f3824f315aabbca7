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

using core::Milliseconds;

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
  partitionCore,
  partitionZone,
  isolateRouter,
  oneWayPartition,
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
  reuseAddress,
  partitionMember,
  partitionMemberAll,
  partitionMemberNear,
  partitionMemberOldest,
  partitionMemberAsymmetric,
  partitionMemberBoth,
  partitionMemberSeeds,
  partitionMemberLure,
  secondLoss,
  replaceInTurn,
  manyChanges,
  powerLossAtAcknowledgement,
  powerLossAtTime,
  wipeAtAcknowledgement,
  massPower
};

/// The first failure of those that belong to control's worst days.
inline constexpr Fault firstOfControl = Fault::partitionMember;

struct FaultName {
  Fault fault;
  char const* name;
};

inline constexpr FaultName faultTable[] = {{Fault::killRouter, "kill-router"},
                                           {Fault::killHerd, "kill-herd"},
                                           {Fault::killControl, "kill-control"},
                                           {Fault::killAll, "kill-all"},
                                           {Fault::freezeRouter, "freeze-router"},
                                           {Fault::freezeController, "freeze-controller"},
                                           {Fault::isolateMember, "isolate-member"},
                                           {Fault::splitCore, "split-core"},
                                           {Fault::partitionCore, "cut-core"},
                                           {Fault::partitionZone, "cut-zone"},
                                           {Fault::isolateRouter, "isolate-router"},
                                           {Fault::oneWayPartition, "one-way-cut"},
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
                                           {Fault::reuseAddress, "reuse-address"},
                                           {Fault::partitionMember, "cut-member"},
                                           {Fault::partitionMemberAll, "cut-member-all"},
                                           {Fault::partitionMemberNear, "cut-member-near"},
                                           {Fault::partitionMemberOldest, "cut-member-oldest"},
                                           {Fault::partitionMemberAsymmetric, "cut-member-one-way"},
                                           {Fault::partitionMemberBoth, "cut-member-both"},
                                           {Fault::partitionMemberSeeds, "cut-member-seeds"},
                                           {Fault::partitionMemberLure, "cut-member-lure"},
                                           {Fault::secondLoss, "second-loss"},
                                           {Fault::replaceInTurn, "replace-in-turn"},
                                           {Fault::manyChanges, "many-changes"},
                                           {Fault::powerLossAtAcknowledgement, "power-at-taken"},
                                           {Fault::powerLossAtTime, "power-at-timed"},
                                           {Fault::wipeAtAcknowledgement, "wipe-at-taken"},
                                           {Fault::massPower, "mass-power"}};

/// Switches that break a rule on purpose, to show that its oracle can fail.
enum class Mutation {
  none,
  noFencing,
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
  truncationLooksComplete,
  foreignBody,
  neverGrow,
  blindTrust,
  skipIncarnationCheck,
  ignoreExpiry,
  resumeAnywhere,
  resumeTwice,
  eventGap,
  unrecorded,
  staleRead,
  refuseProper,
  alteredResends,
  rebaseOrders,
  deafRouter,
  oldImage,
  lateDuplicates,
  lateAnswers,
  lyingNames
};

/// How operators of the fleet configuration behave. They send one order after the other, each on the version that they
/// know; what gets no clear answer within a second is sent again unchanged to another machine.
struct Operators {
  /// False: there are none, and none of the rules about them is checked.
  bool any = false;
  /// Mean time between orders.
  Milliseconds every = 1200;
  /// Share of the acknowledgements that are lost on their way back.
  double ackLost = 0;
  /// Two orders at once on the same version, this share of the time.
  double race = 0;
  /// During a cut and as it heals an order is sent to the machine that is cut off; with race, two.
  bool meet = false;
  /// What has no answer is sent again at once, and not to other machines only.
  bool hard = false;
  /// A proper change of a template is never refused as invalid or unknown.
  bool proper = false;
  /// Orders of one burst, at the least and at the most.
  int burstLeast = 200;
  int burstMost = 200;
};

/// Bounds of the rules about control, in ms.
struct Bounds {
  /// A machine without trouble for so long is in touch.
  Milliseconds inContact = 3000;
  /// So long after its acknowledgement every router in touch has a change.
  Milliseconds applied = 2000;
  /// A proper order is acknowledged in this time while the core is settled.
  Milliseconds acknowledged = 4000;
  /// So long after a return or a repair every disk votes.
  Milliseconds catchUp = 4000;
};

/// Sizes and failures of one run; everything else follows from the seed.
struct Plan {
  std::uint64_t seed = 1;
  int controllers = 3;
  /// The first so many controllers found the membership at their first start; nobody learns of founders later.
  int founders = 3;
  /// See consensus::Tuning.
  Milliseconds replaceDarkAfter = 20000;
  int routers = 8;
  int models = 9;
  int others = 3;
  int zones = 3;
  double demand = 40;
  /// Times the demand between a third and two thirds of the run.
  double surge = 1.0;
  Milliseconds length = 60000;
  std::vector<Fault> faults;
  /// Mean time between failures.
  Milliseconds every = 6000;
  Mutation mutation = Mutation::none;
  /// Whole pool, fewest in flight: the plain variant for comparisons.
  bool plain = false;
  scaling::ScalerParameters figures = scaling::defaultScalerParameters;
  int prefixes = 40;
  /// How far a clock's rate may be from the true one; two clocks differ by up to twice as much.
  double clockSpread = 0.002;
  /// First words count only for callers that began so long after the first one.
  Milliseconds skip = 0;
  /// The tenant nord is of a regime; operators declare, revoke and exchange certificates all the time. The last zone
  /// has none, ever.
  bool regimes = false;
  /// False: all of that but the tenant's regime, for comparisons.
  bool bound = true;
  /// Routers need certificates, too; those in the last zone have none, ever.
  bool certifiedRouters = false;
  /// False: as on a platform whose own rules bound how old a configuration may be; routers serve without confirmations,
  /// and an order is acknowledged once a majority has it.
  bool fenced = true;
  /// At a loss of power names of files are lost each by itself, and a killed process stops between any two operations.
  bool looseNames = false;
  Operators operators;
  Bounds bounds;
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
  std::map<std::string, std::vector<Milliseconds>> firstTokenTimes;
  std::map<std::string, std::vector<Milliseconds>> servedTokenTimes;
  std::vector<Milliseconds> ackTimes;
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

/// What control's worst days are of.
enum class Point { cuts, resends, secondLoss, manyChanges, powerCuts };

struct PointName {
  Point point;
  char const* name;
};

inline constexpr PointName pointTable[] = {{Point::cuts, "cuts"},
                                           {Point::resends, "resends"},
                                           {Point::secondLoss, "second-loss"},
                                           {Point::manyChanges, "many-changes"},
                                           {Point::powerCuts, "power-cuts"}};

/// One of control's worst days: a small fleet, operators of the fleet configuration and a random set of the point's
/// failures. One in two is fenced.
Plan worstDay(std::uint64_t seed, Point point);

/// A plan that causes the named failures alone.
Plan only(std::uint64_t seed, std::vector<Fault> faults);

}  // namespace corkward::testing
