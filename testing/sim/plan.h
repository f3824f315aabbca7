#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/scaling/scaling.h>

/// The plan of a simulated run (sizes, faults and the rules broken on purpose) and its result.
namespace corkward::testing {

using core::Milliseconds;

/// Faults that a run may cause. `faultTable` gives the name of each on the command line.
/// The core is the set of controllers, which store the replicated state on their disks.
enum class Fault {
  killRouter,
  killMany,
  killControllers,
  killAll,
  freezeRouter,
  freezeController,
  isolateMember,
  splitFleet,
  partitionControllers,
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
  crashManyReplicas,
  replicaPowerOff,
  replicaVanish,
  allSlow,
  requestBurst,
  aggressiveRetries,
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
  addController,
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
  partitionMemberFromAll,
  partitionMemberFromOtherZones,
  partitionMemberOldest,
  partitionMemberAsymmetric,
  partitionMemberRestart,
  partitionMemberNewSeeds,
  partitionMemberEndpointChange,
  secondDiskLoss,
  replaceMembersInTurn,
  manyChanges,
  powerLossAtAcknowledgement,
  powerLossAtTime,
  wipeAtAcknowledgement,
  massPowerLoss
};

/// First fault of the control scenarios (see ControlScenario); they are handled by causeControlFault.
inline constexpr Fault firstControlFault = Fault::partitionMember;

struct FaultName {
  Fault fault;
  char const* name;
};

inline constexpr FaultName faultTable[] = {{Fault::killRouter, "kill-router"},
                                           {Fault::killMany, "kill-herd"},
                                           {Fault::killControllers, "kill-control"},
                                           {Fault::killAll, "kill-all"},
                                           {Fault::freezeRouter, "freeze-router"},
                                           {Fault::freezeController, "freeze-controller"},
                                           {Fault::isolateMember, "isolate-member"},
                                           {Fault::splitFleet, "split-core"},
                                           {Fault::partitionControllers, "cut-core"},
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
                                           {Fault::crashManyReplicas, "break-many"},
                                           {Fault::replicaPowerOff, "replica-dark"},
                                           {Fault::replicaVanish, "replica-vanish"},
                                           {Fault::allSlow, "all-slow"},
                                           {Fault::requestBurst, "crowd"},
                                           {Fault::aggressiveRetries, "hard-retries"},
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
                                           {Fault::addController, "grow-core"},
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
                                           {Fault::partitionMemberFromAll, "cut-member-all"},
                                           {Fault::partitionMemberFromOtherZones, "cut-member-near"},
                                           {Fault::partitionMemberOldest, "cut-member-oldest"},
                                           {Fault::partitionMemberAsymmetric, "cut-member-one-way"},
                                           {Fault::partitionMemberRestart, "cut-member-both"},
                                           {Fault::partitionMemberNewSeeds, "cut-member-seeds"},
                                           {Fault::partitionMemberEndpointChange, "cut-member-lure"},
                                           {Fault::secondDiskLoss, "second-loss"},
                                           {Fault::replaceMembersInTurn, "replace-in-turn"},
                                           {Fault::manyChanges, "many-changes"},
                                           {Fault::powerLossAtAcknowledgement, "power-at-taken"},
                                           {Fault::powerLossAtTime, "power-at-timed"},
                                           {Fault::wipeAtAcknowledgement, "wipe-at-taken"},
                                           {Fault::massPowerLoss, "mass-power"}};

/// Defects injected on purpose, to show that the oracle of each rule can fail.
enum class Mutation {
  none,
  noFencing,
  acknowledgeEarly,
  confirmNotExecutedTooSoon,
  reportNotExecuted,
  extraRetries,
  overlongWarmupLease,
  diskSkipsSync,
  rewriteIfMatch,
  rejectAccepted,
  dropOnRestart,
  controllersStayDown,
  noFencingOnRemoval,
  zeroAges,
  dropRemovalHints,
  resumeGap,
  resumeRepeat,
  resumeOtherRun,
  truncationLooksComplete,
  foreignBody,
  fixedMembership,
  ignoreFailures,
  skipIncarnationCheck,
  ignoreExpiry,
  resumeAnywhere,
  resumeTwice,
  eventGap,
  omitAuditRecord,
  staleRead,
  rejectValidChange,
  alterResentBody,
  rebaseResends,
  dropConfigurationUpdates,
  startWithOldConfiguration,
  dropSnapshotChunks,
  delayResponses,
  directorySkipsSync,
  distinctHosts,
  noProbes
};

/// Behaviour of the operators of the fleet configuration. They send one change at a time, each based on the newest
/// version that they know. A change without a conclusive response within one second is sent again, unchanged, to
/// another controller.
struct Operators {
  /// If false, there are no such operators and none of the rules about them is checked.
  bool enabled = false;
  /// Mean time between two changes.
  Milliseconds meanInterval = 1200;
  /// Fraction of the acknowledgements that are lost on the way back to the operator.
  double ackLossFraction = 0;
  /// Fraction of the changes that are sent together with a second change based on the same version.
  double raceFraction = 0;
  /// A change is sent to the isolated controller during a partition and when the partition ends. With probability
  /// `raceFraction`, a second change is sent too.
  bool sendToIsolated = false;
  /// A change without a response is sent again after 20 ms, possibly to the same controller.
  bool retryImmediately = false;
  /// Report a violation if a valid template change is rejected as invalid (400, 422) or unknown (404).
  bool rejectionsChecked = false;
  /// Each configuration spells its host in other ways. Some changes give one host and prefix to two paths, with
  /// different spellings of the host, and must be rejected.
  bool hostSpellings = false;
  /// Minimum and maximum number of changes in one burst.
  int burstMin = 200;
  int burstMax = 200;
};

/// Time limits of the rules about controllers, in milliseconds.
struct Bounds {
  /// A process counts as in contact after this time without a fault.
  Milliseconds inContact = 3000;
  /// Time after the acknowledgement of a change by which every router in contact has applied it.
  Milliseconds applied = 2000;
  /// Time within which a valid change is acknowledged while the core is stable.
  Milliseconds acknowledged = 4000;
  /// Time after a controller's return or repair by which every controller votes again.
  Milliseconds catchUp = 4000;
};

/// Sizes and faults of one run; everything else follows from the seed.
struct Plan {
  std::uint64_t seed = 1;
  int controllers = 3;
  /// The first `founders` controllers create the membership at their first start. Later starts get no list of founders.
  int founders = 3;
  /// See consensus::ConsensusTuning::replaceUnreachableAfter.
  Milliseconds replaceUnreachableAfter = 20000;
  int routers = 8;
  int models = 9;
  int others = 3;
  int zones = 3;
  double demand = 40;
  /// Factor on the demand in the middle third of the run.
  double surge = 1.0;
  Milliseconds length = 60000;
  std::vector<Fault> faults;
  /// Mean time between two faults.
  Milliseconds faultInterval = 6000;
  Mutation mutation = Mutation::none;
  /// If true, each router uses every replica of a pool and never shrinks its subset. Used for comparisons.
  bool plain = false;
  scaling::ScalerParameters scalerParameters = scaling::defaultScalerParameters;
  int prefixes = 40;
  /// Largest relative deviation of a clock's rate from the true rate. The rates of two clocks differ by up to twice as
  /// much.
  double clockSpread = 0.002;
  /// Times to first byte of requests that begin earlier than this after the first request are not measured.
  Milliseconds skip = 0;
  /// The tenant `nord` is subject to a regime, and operators declare, revoke and replace certificates throughout the
  /// run. The last zone never has a certificate.
  bool regimes = false;
  /// If false, the tenant is subject to no regime, but certificates still change. Used for comparisons.
  bool bound = true;
  /// Whether routers need certificates too. Routers in the last zone never have a certificate.
  bool certifiedRouters = false;
  /// If true, routers serve only under a lease. If false, routers serve without a lease and a change is acknowledged
  /// once a majority of the controllers has stored it, as on a platform that limits the age of a configuration itself.
  bool fenced = true;
  /// Power loss drops each unsynced change of a file name independently, and a killed controller may stop between any
  /// two disk operations.
  bool namesLostSeparately = false;
  Operators operators;
  /// Orders on zones are read, or reach the key's owner, after their operators have left.
  bool lateOrders = false;
  /// A controller reads the endpoint lists from the platform, and is cut off from the others now and then.
  bool listReader = false;
  /// A router's limit of requests in flight at a replica may fall below one, as where many routers share few replicas.
  bool fractionalLimits = false;
  Bounds bounds;
  /// Serializes each message, and counts messages and bytes by kind and by role of the sender. This makes the run
  /// slower.
  bool traffic = false;
};

/// Result of a run.
struct Result {
  std::vector<std::string> violations;
  /// Time and name of each fault that was caused.
  std::vector<std::string> timeline;
  std::map<std::string, std::size_t> counts;
  /// Times to first byte by priority class, measured from the caller's first attempt.
  std::map<std::string, std::vector<Milliseconds>> firstTokenTimes;
  /// Times to first byte by priority class, measured from the attempt that was served.
  std::map<std::string, std::vector<Milliseconds>> servedTokenTimes;
  std::vector<Milliseconds> ackTimes;
  /// Number of messages and number of bytes sent, by role of the sender and kind of message. The first 10 s of the
  /// requests and the recovery after the last fault are not counted.
  std::map<std::pair<std::string, std::string>, std::pair<std::size_t, std::size_t>> traffic;
  /// Sum of the sampled sizes of the routers' replica subsets.
  double subsetSum = 0;
  /// Number of the samples in `subsetSum`.
  std::size_t subsetSamples = 0;
};

/// Returns a plan with a random set of faults, for sweeps.
/// @param withLaterFaults also draws the faults after `longAbsence`. Without them a seed gives the same plan as before
/// these faults were added.
Plan chaos(std::uint64_t seed, bool withLaterFaults = true);

/// Returns a plan with a random set of faults, a tenant under a regime, certificates that change throughout the run,
/// and possibly replica addresses that are reused in a zone without certificates.
Plan regimes(std::uint64_t seed);

/// Scenarios in which controllers fail: partitions, repeated requests, loss of a second disk, bursts of changes, power
/// loss.
enum class ControlScenario { cuts, resends, secondDiskLoss, manyChanges, powerCuts };

struct ScenarioName {
  ControlScenario point;
  char const* name;
};

inline constexpr ScenarioName scenarioTable[] = {{ControlScenario::cuts, "cuts"},
                                                 {ControlScenario::resends, "resends"},
                                                 {ControlScenario::secondDiskLoss, "second-loss"},
                                                 {ControlScenario::manyChanges, "many-changes"},
                                                 {ControlScenario::powerCuts, "power-cuts"}};

/// Returns a plan of a small fleet with operators of the fleet configuration and a random set of the scenario's faults.
/// For half of the seeds, `Plan::fenced` is true.
Plan controlPlan(std::uint64_t seed, ControlScenario point);

/// Returns a plan that causes only the given faults.
Plan only(std::uint64_t seed, std::vector<Fault> faults);

}  // namespace corkward::testing
