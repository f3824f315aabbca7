#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "simulated_cluster.h"

namespace testing = corkward::testing;
using testing::Fault;
using testing::Mutation;

namespace {

testing::Result checkPlan(testing::Plan const& plan) {
  testing::Result result = testing::SimulatedCluster(plan).run();
  for (std::string const& v : result.violations) std::cerr << "seed " << plan.seed << ": " << v << "\n";
  CHECK(result.violations.empty());
  CHECK(result.counts.at("served") > 500);
  return result;
}

/// Runs the plan of a control scenario and checks that no rule is broken, changes of the fleet configuration are
/// accepted and requests are served.
testing::Result checkControlPlan(testing::Plan const& plan) {
  testing::Result result = testing::SimulatedCluster(plan).run();
  for (std::string const& v : result.violations) std::cerr << "seed " << plan.seed << ": " << v << "\n";
  CHECK(result.violations.empty());
  CHECK(result.counts["served"] > 100);
  CHECK(result.counts["orders-taken"] > 3);
  return result;
}

enum class Fencing { on, off, both };

/// Runs the scenario for the given number of seeds: each fenced, unfenced, or both. Returns the sums of the counters.
std::map<std::string, std::size_t> runControlPlans(testing::ControlScenario point, std::uint64_t seeds,
                                                   Fencing fences = Fencing::both) {
  std::map<std::string, std::size_t> counts;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    for (bool const fenced : {true, false}) {
      if (fences != Fencing::both && fenced != (fences == Fencing::on)) continue;
      testing::Plan plan = testing::controlPlan(seed, point);
      plan.fenced = fenced;
      for (auto const& [name, count] : checkControlPlan(plan).counts) counts[name] += count;
    }
  return counts;
}

void checkCounted(std::map<std::string, std::size_t> const& counts, std::vector<char const*> const& names) {
  for (char const* const name : names) {
    INFO(name);
    CHECK(counts.count(name) > 0);
  }
}

struct RegressionCase {
  std::uint64_t seed;
  std::vector<Fault> faults;
};

}  // namespace

TEST_CASE("no rule is broken while controllers are killed, isolated, partitioned and frozen", "[control]") {
  for (Fault const f : {Fault::killControllers, Fault::killAll, Fault::freezeController, Fault::isolateMember,
                        Fault::splitFleet, Fault::partitionControllers, Fault::restartController,
                        Fault::wipeSameAddress, Fault::returnNewAddress, Fault::powerLoss})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) checkPlan(testing::only(seed, {f}));
}

TEST_CASE("the membership grows, removes members that stay unreachable and readmits members that return",
          "[membership]") {
  std::map<std::string, std::size_t> counts;
  for (Fault const f : {Fault::addController, Fault::longAbsence, Fault::wipeSameAddress, Fault::returnNewAddress,
                        Fault::killControllers, Fault::freezeController, Fault::isolateMember, Fault::splitFleet,
                        Fault::diskStall, Fault::diskDamage})
    for (int const controllers : {3, 4, 6}) {
      testing::Plan plan =
          testing::only(static_cast<std::uint64_t>(controllers), {f, Fault::addController, Fault::longAbsence});
      plan.controllers = controllers;
      plan.zones = 4;
      plan.replaceUnreachableAfter = 3000;
      plan.faultInterval = 4000;
      for (auto const& [name, count] : checkPlan(plan).counts) counts[name] += count;
    }
  for (char const* change : {"add-member", "replace-member", "member-removed", "removed-from-membership"})
    CHECK(counts[change] > 0);
  for (int const founders : {1, 2}) {
    testing::Plan plan =
        testing::only(static_cast<std::uint64_t>(founders), {Fault::killControllers, Fault::longAbsence});
    plan.founders = founders;
    plan.replaceUnreachableAfter = 3000;
    checkPlan(plan);
  }
}

TEST_CASE("no rule is broken while routers are killed, isolated, frozen and restarted", "[routers]") {
  for (Fault const f :
       {Fault::killRouter, Fault::killMany, Fault::freezeRouter, Fault::partitionZone, Fault::isolateRouter,
        Fault::oneWayPartition, Fault::lossyNetwork, Fault::restartRouter, Fault::wallClockJump})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) checkPlan(testing::only(seed, {f}));
}

TEST_CASE("no rule is broken while disks are slow, stalled, full, failing and damaged", "[disks]") {
  for (Fault const f : {Fault::diskSlow, Fault::diskStall, Fault::diskFull, Fault::diskFail, Fault::diskDamage})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) checkPlan(testing::only(seed, {f}));
}

TEST_CASE(
    "no rule is broken while replicas crash, lose power, vanish, slow down and are replaced, and callers send bursts",
    "[replicas]") {
  for (Fault const f : {Fault::breakStreams, Fault::crashManyReplicas, Fault::replicaCrash, Fault::replicaPowerOff,
                        Fault::replicaVanish, Fault::allSlow, Fault::requestBurst, Fault::aggressiveRetries,
                        Fault::rollReplicas, Fault::coldReplicas, Fault::evacuate})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) checkPlan(testing::only(seed, {f}));
}

// Guards against routers that send nothing any more once late responses have lowered their limit below one request.
TEST_CASE("routers whose limit may fall below one request go on after all replicas were slow", "[replicas]") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    testing::Plan plan = testing::only(seed, {Fault::allSlow});
    plan.fractionalLimits = true;
    plan.fenced = seed % 2 == 0;
    checkPlan(plan);
  }
}

TEST_CASE("no rule is broken while many replicas fail at once and callers retry aggressively", "[replicas]") {
  for (Fault const f : {Fault::crashManyReplicas, Fault::breakStreams})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      testing::Plan plan = testing::only(seed, {f, Fault::aggressiveRetries});
      plan.faultInterval = 2000;
      checkPlan(plan);
    }
}

TEST_CASE("no rule is broken while operators send many, concurrent and large changes", "[changes]") {
  for (Fault const f : {Fault::changeStorm, Fault::races, Fault::bigTemplate})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) checkPlan(testing::only(seed, {f}));
  for (std::uint64_t seed = 1; seed <= 2; ++seed)
    checkPlan(testing::only(seed, {Fault::races, Fault::splitFleet, Fault::killControllers}));
}

TEST_CASE("replicas that leave get no requests while controllers are killed, isolated, partitioned or stalled",
          "[leaving]") {
  for (Fault const f : {Fault::killControllers, Fault::partitionControllers, Fault::splitFleet, Fault::isolateMember,
                        Fault::diskStall, Fault::killMany, Fault::freezeRouter, Fault::isolateRouter, Fault::killAll})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      testing::Plan plan = testing::only(seed, {f, Fault::rollReplicas, Fault::killRouter});
      plan.faultInterval = 2500;
      checkPlan(plan);
    }
}

TEST_CASE(
    "no rule is broken while replicas fail part of their requests or flap, connections are reset, processes are slow, "
    "many replicas join, a zone loses power or the lengths of requests change",
    "[grown]") {
  std::map<std::string, std::size_t> counts;
  for (Fault const f :
       {Fault::greyReplicas, Fault::flapReplicas, Fault::resetConnections, Fault::forgetConnections, Fault::slowRouter,
        Fault::slowController, Fault::scaleOut, Fault::zoneLoss, Fault::shiftLengths})
    for (std::uint64_t seed = 1; seed <= 2; ++seed)
      for (auto const& [name, count] : checkPlan(testing::only(seed, {f})).counts) counts[name] += count;
  for (char const* checkCounted :
       {"grey-fates", "replica-failed", "grey-fair", "reset-callers", "reset-streams", "forgotten-connections",
        "slowed-events", "joined", "lost-zones", "long-prompts", "long-answers"}) {
    INFO(checkCounted);
    CHECK(counts[checkCounted] > 0);
  }
}

TEST_CASE("no rule is broken under random sets of faults", "[chaos]") {
  for (std::uint64_t seed = 1; seed <= 16; ++seed) checkPlan(testing::chaos(seed));
}

TEST_CASE("routers of larger fleets keep their serving lease through their peers while controllers are unreachable",
          "[sizes]") {
  for (int const routers : {12, 24, 48, 96}) {
    testing::Plan cut = testing::only(1, {Fault::partitionControllers, Fault::killControllers});
    cut.routers = routers;
    cut.faultInterval = 4000;
    testing::Result const result = testing::SimulatedCluster(cut).run();
    for (std::string const& v : result.violations) std::cerr << routers << " routers: " << v << "\n";
    CHECK(result.violations.empty());
    CHECK(static_cast<double>(result.counts.at("standing-held")) >=
          0.99 * static_cast<double>(result.counts.at("standing-looks")));
    testing::Plan random = testing::chaos(static_cast<std::uint64_t>(routers));
    random.routers = routers;
    checkPlan(random);
  }
}

TEST_CASE(
    "no rule about certificates is broken while they are declared, changed concurrently and revoked during faults",
    "[regimes]") {
  std::map<std::string, std::size_t> counts;
  for (std::vector<Fault> const& faults :
       std::vector<std::vector<Fault>>{{Fault::killControllers, Fault::powerLoss},
                                       {Fault::isolateRouter, Fault::freezeRouter, Fault::oneWayPartition},
                                       {Fault::splitFleet, Fault::partitionControllers, Fault::isolateMember},
                                       {Fault::wipeSameAddress, Fault::returnNewAddress},
                                       {Fault::rollReplicas, Fault::replicaCrash, Fault::breakStreams},
                                       {Fault::evacuate, Fault::coldReplicas},
                                       {Fault::killMany, Fault::killAll}})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      testing::Plan plan = testing::only(seed, faults);
      plan.regimes = true;
      plan.faultInterval = 3000;
      for (auto const& [name, count] : checkPlan(plan).counts) counts[name] += count;
    }
  CHECK(counts["revoked"] > 50);
  CHECK(counts["regulated"] > 500);
  CHECK(counts["certificates-read"] == 14);
}

TEST_CASE("under random sets of faults, a request under a regime runs only where certificates allow it", "[regimes]") {
  std::map<std::string, std::size_t> counts;
  for (std::uint64_t seed = 1; seed <= 24; ++seed)
    for (auto const& [name, count] : checkPlan(testing::regimes(seed)).counts) counts[name] += count;
  for (char const* checkCounted :
       {"revoked", "life-denied", "tales-resumed", "tales-served-after-resume", "closed-within-event", "change-412"}) {
    INFO(checkCounted);
    CHECK(counts[checkCounted] >= 20);
  }
  CHECK(counts["regulated"] > 10000);
  CHECK(counts["tales-served"] > 1000);
}

TEST_CASE("no rule is broken while controllers are partitioned and operators send them changes", "[cuts]") {
  checkCounted(runControlPlans(testing::ControlScenario::cuts, 8, Fencing::on),
               {"core-cuts", "meets", "reads", "late-resends", "order-resends"});
}

TEST_CASE(
    "a router of an unfenced fleet does not start serving with an old configuration after partitions or power losses",
    "[open-cuts]") {
  checkCounted(runControlPlans(testing::ControlScenario::cuts, 8, Fencing::off),
               {"core-cuts", "meets", "reads", "late-resends", "order-resends"});
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    testing::Plan plan = testing::controlPlan(seed, testing::ControlScenario::powerCuts);
    plan.faults = {Fault::massPowerLoss};
    plan.fenced = false;
    checkControlPlan(plan);
  }
}

TEST_CASE("no rule is broken while acknowledgements are lost and changes are sent again to other controllers",
          "[resends]") {
  checkCounted(runControlPlans(testing::ControlScenario::resends, 6),
               {"acks-lost", "order-resends", "late-resends", "strikes"});
}

TEST_CASE("no acknowledged change is lost when a second disk fails after a repair or every member is replaced",
          "[second-loss]") {
  // Which seeds come to a second loss depends on the machine's architecture.
  checkCounted(runControlPlans(testing::ControlScenario::secondDiskLoss, 20),
               {"second-losses", "replaced-in-turn", "strikes"});
}

TEST_CASE("no acknowledged change is lost when a controller restarts or loses its disk after hundreds of changes",
          "[many-changes]") {
  checkCounted(runControlPlans(testing::ControlScenario::manyChanges, 2), {"bursts-done", "wiped-after-burst"});
}

TEST_CASE("no acknowledged change is lost when power and file names are lost after it was sent or acknowledged",
          "[power-cuts]") {
  checkCounted(runControlPlans(testing::ControlScenario::powerCuts, 10, Fencing::on), {"strikes", "names-lost"});
}

TEST_CASE("every router finds a route by each spelling of its host, and no two paths share a host and a prefix",
          "[host-spellings]") {
  // Guards against review case 2: a route whose host has a capital letter was acknowledged and never taken.
  std::map<std::string, std::size_t> counts;
  for (testing::ControlScenario const point : {testing::ControlScenario::cuts, testing::ControlScenario::powerCuts})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      testing::Plan plan = testing::controlPlan(seed, point);
      plan.operators.hostSpellings = true;
      for (auto const& [name, count] : checkControlPlan(plan).counts) counts[name] += count;
    }
  CHECK(counts["host-spellings-probed"] > 500);
  CHECK(counts["invalid-orders-rejected"] > 10);
}

TEST_CASE("no order that is read or forwarded late undoes one that was acknowledged after it", "[late-orders]") {
  // Guards against review/5: an order that a cut had held up was carried out after it was acknowledged and reversed.
  std::map<std::string, std::size_t> counts;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    testing::Plan plan;
    plan.seed = seed;
    plan.demand = 10;
    plan.fenced = seed % 2 == 0;
    plan.lateOrders = true;
    for (auto const& [name, count] : checkPlan(plan).counts) counts[name] += count;
  }
  CHECK(counts["late-orders-checked"] > 12);
}

TEST_CASE("replicas that start after the reader of the lists was cut off are used", "[list-reader]") {
  // Guards against review/4: hints of a reader without a majority outlived the lists that were committed later, and
  // hints of lists that were never committed did not end at all.
  std::map<std::string, std::size_t> counts;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    testing::Plan plan;
    plan.seed = seed;
    plan.fenced = seed % 2 == 0;
    plan.listReader = true;
    for (auto const& [name, count] : checkPlan(plan).counts) counts[name] += count;
  }
  CHECK(counts["lost-pools-checked"] > 6);
  CHECK(counts["uncommitted-lists"] > 2);
}

TEST_CASE("a valid template change is accepted after a power loss of the complete fleet", "[proper]") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    testing::Plan plan = testing::controlPlan(seed, testing::ControlScenario::powerCuts);
    plan.faults = {Fault::massPowerLoss};
    plan.fenced = true;
    plan.operators.rejectionsChecked = true;
    checkControlPlan(plan);
  }
}

TEST_CASE("a simulated disk loses unsynced name changes independently and keeps synced names", "[disks]") {
  std::size_t lost = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    corkward::core::RandomGenerator rng(seed);
    testing::SimulatedDisk disk;
    disk.namesLostSeparately = true;
    disk.append("kept", "a");
    disk.sync("kept");
    disk.syncDirectory();
    disk.append("new", "b");
    disk.sync("new");
    disk.rename("kept", "moved");
    disk.powerLoss(rng);
    std::vector<std::string> const names = disk.list();
    CHECK(std::count(names.begin(), names.end(), "kept") + std::count(names.begin(), names.end(), "moved") == 1);
    lost += disk.lostNameChanges();
  }
  CHECK(lost > 20);
  CHECK(lost < 60);
}

TEST_CASE("the log keeps acknowledged records when the previous process stopped between any two disk operations",
          "[disk-names]") {
  for (int operations = 0; operations < 4; ++operations)
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      corkward::core::RandomGenerator rng(seed);
      testing::SimulatedDisk disk;
      disk.namesLostSeparately = true;
      corkward::storage::WriteAheadLog first(disk, 20000);
      first.recover();
      disk.stopAfter(operations);
      try {
        first.write({corkward::storage::Record{"a", "1"}});
      } catch (corkward::storage::StorageError const&) {
      }
      disk.stopAfter(-1);
      corkward::storage::WriteAheadLog second(disk, 20000);
      second.recover();
      second.write({corkward::storage::Record{"b", "2"}});
      disk.powerLoss(rng);
      INFO(operations << " operations, seed " << seed);
      CHECK(corkward::storage::WriteAheadLog(disk, 20000).recover().slots.count("b") == 1);
    }
}

TEST_CASE("every oracle of the control scenarios reports its injected defect", "[control-mutation]") {
  struct Case {
    Mutation mutation;
    testing::ControlScenario point;
    std::vector<Fault> faults;
    char const* says;
    bool fenced = true;
  };
  using testing::ControlScenario;
  std::vector<Case> const cases{
      {Mutation::staleRead, ControlScenario::cuts, {Fault::partitionMemberFromAll}, "a read at"},
      {Mutation::staleRead, ControlScenario::powerCuts, {Fault::massPowerLoss}, "a read was rejected"},
      {Mutation::rejectValidChange, ControlScenario::cuts, {Fault::requestBurst}, "a valid change was rejected"},
      {Mutation::alterResentBody, ControlScenario::resends, {Fault::isolateMember}, "a resend of an accepted change"},
      {Mutation::rebaseResends,
       ControlScenario::cuts,
       {Fault::requestBurst},
       "two changes of the fleet configuration on version"},
      {Mutation::rebaseResends, ControlScenario::cuts, {Fault::requestBurst}, "follows version"},
      {Mutation::diskSkipsSync, ControlScenario::powerCuts, {Fault::massPowerLoss}, "could not be read back"},
      {Mutation::foreignBody, ControlScenario::cuts, {Fault::requestBurst}, "two fleet configurations under revision"},
      {Mutation::directorySkipsSync,
       ControlScenario::powerCuts,
       {Fault::massPowerLoss},
       "acknowledged fleet configuration lost"},
      {Mutation::dropConfigurationUpdates,
       ControlScenario::cuts,
       {Fault::requestBurst},
       "configuration out of date despite contact",
       false},
      {Mutation::startWithOldConfiguration,
       ControlScenario::cuts,
       {Fault::killRouter},
       "a router started serving with an old configuration",
       false},
      {Mutation::dropSnapshotChunks,
       ControlScenario::secondDiskLoss,
       {Fault::wipeSameAddress},
       "does not vote in time"},
      {Mutation::delayResponses, ControlScenario::cuts, {Fault::requestBurst}, "no acknowledgement in"},
      {Mutation::distinctHosts, ControlScenario::cuts, {Fault::requestBurst}, "has no route for a spelling"},
      {Mutation::distinctHosts, ControlScenario::cuts, {Fault::requestBurst}, "an invalid change"}};
  for (Case const& testCase : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 16 && !found; ++seed) {
      testing::Plan plan = testing::controlPlan(seed, testCase.point);
      plan.faults = testCase.faults;
      plan.fenced = testCase.fenced;
      plan.mutation = testCase.mutation;
      plan.operators.raceFraction = 0.5;
      plan.operators.hostSpellings = testCase.mutation == Mutation::distinctHosts;
      for (std::string const& v : testing::SimulatedCluster(plan).run().violations)
        found = found || v.find(testCase.says) != std::string::npos;
    }
    INFO(testCase.says << " under mutation " << static_cast<int>(testCase.mutation));
    CHECK(found);
  }
}

TEST_CASE("every oracle of regimes reports its injected defect", "[mutation]") {
  struct Case {
    Mutation mutation;
    std::vector<Fault> faults;
    char const* says;
  };
  std::vector<Case> const cases{
      {Mutation::noFencing, {Fault::isolateRouter, Fault::freezeRouter}, "older certificates in force"},
      {Mutation::noFencing, {Fault::isolateRouter, Fault::freezeRouter}, "had ceased to be valid"},
      {Mutation::acknowledgeEarly,
       {Fault::isolateRouter, Fault::freezeRouter, Fault::oneWayPartition},
       "older certificates in force"},
      {Mutation::ignoreExpiry, {Fault::requestBurst}, "had ceased to be valid"},
      {Mutation::skipIncarnationCheck, {Fault::reuseAddress}, "never had a certificate"},
      {Mutation::skipIncarnationCheck, {Fault::reuseAddress}, "never on the platform's list"},
      {Mutation::resumeAnywhere, {Fault::breakStreams}, "never had a certificate"},
      {Mutation::resumeTwice, {Fault::breakStreams}, "resumed more than once"},
      {Mutation::eventGap, {Fault::breakStreams}, "an event stream has a gap"},
      {Mutation::truncationLooksComplete, {Fault::breakStreams}, "a truncated event stream looks complete"},
      {Mutation::omitAuditRecord, {Fault::requestBurst}, "without an audit record"}};
  for (Case const& testCase : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 24 && !found; ++seed) {
      testing::Plan plan = testing::only(seed, testCase.faults);
      plan.regimes = true;
      plan.mutation = testCase.mutation;
      plan.faultInterval = 2000;
      plan.demand = 80;
      for (std::string const& v : testing::SimulatedCluster(plan).run().violations)
        found = found || v.find(testCase.says) != std::string::npos;
    }
    INFO(testCase.says << " under mutation " << static_cast<int>(testCase.mutation));
    CHECK(found);
  }
}

TEST_CASE("no rule is broken with seeds that failed before", "[kept]") {
  for (RegressionCase const& k : std::vector<RegressionCase>{{2, {Fault::splitFleet}},
                                                             {8, {Fault::splitFleet}},
                                                             {3, {Fault::partitionZone}},
                                                             {5, {Fault::partitionZone}},
                                                             {6, {Fault::killMany}}})
    checkPlan(testing::only(k.seed, k.faults));
  for (std::uint64_t const seed : {89, 107, 126, 1534}) checkPlan(testing::chaos(seed, false));
  // All routers are cut off from the controllers while one of these reads that a replica is leaving.
  checkPlan(testing::chaos(3113));
  for (std::uint64_t const seed : {541, 913}) {
    testing::Plan plan = testing::chaos(seed);
    // As these seeds were when they found their failures.
    plan.lateOrders = false;
    plan.listReader = false;
    checkPlan(plan);
  }
}

TEST_CASE("every oracle of requests and changes reports its injected defect", "[mutation]") {
  struct Case {
    Mutation mutation;
    std::vector<Fault> faults;
    char const* says;
    corkward::core::Milliseconds faultInterval = 3000;
    double demand = 40;
    bool listReader = false;
  };
  std::vector<Case> const cases{
      {Mutation::noFencing, {Fault::isolateRouter, Fault::freezeRouter}, "older configuration served"},
      {Mutation::acknowledgeEarly,
       {Fault::isolateRouter, Fault::freezeRouter, Fault::oneWayPartition},
       "older configuration served"},
      {Mutation::noFencingOnRemoval,
       {Fault::isolateRouter, Fault::rollReplicas},
       "after it was listed as leaving",
       1200,
       80},
      {Mutation::noFencingOnRemoval,
       {Fault::isolateRouter, Fault::rollReplicas},
       "after it was listed as leaving",
       1200,
       80,
       true},
      {Mutation::noFencingOnRemoval, {Fault::isolateRouter, Fault::evacuate}, "after its evacuation was acknowledged"},
      {Mutation::zeroAges, {Fault::partitionZone}, "older configuration served"},
      {Mutation::dropRemovalHints,
       {Fault::killControllers, Fault::rollReplicas},
       "after it was listed as leaving",
       1200,
       80},
      {Mutation::resumeGap, {Fault::breakStreams}, "a gap, a repetition or parts of different runs", 1500, 80},
      {Mutation::resumeRepeat, {Fault::breakStreams}, "a gap, a repetition or parts of different runs", 1500, 80},
      {Mutation::resumeOtherRun, {Fault::breakStreams}, "a gap, a repetition or parts of different runs", 1500, 80},
      {Mutation::truncationLooksComplete, {Fault::breakStreams}, "a truncated body looks complete"},
      {Mutation::foreignBody, {Fault::requestBurst}, "a body of another request"},
      {Mutation::confirmNotExecutedTooSoon, {Fault::killRouter}, "run twice"},
      {Mutation::reportNotExecuted, {Fault::replicaCrash}, "rejected as not run, but ran"},
      {Mutation::extraRetries, {Fault::requestBurst}, "over first dispatches"},
      {Mutation::overlongWarmupLease, {Fault::coldReplicas, Fault::isolateRouter, Fault::requestBurst}, "cold replica"},
      {Mutation::diskSkipsSync, {Fault::powerLoss, Fault::killAll}, "acknowledged change lost"},
      {Mutation::rewriteIfMatch, {Fault::races}, "both accepted"},
      {Mutation::rejectAccepted, {Fault::killRouter}, "a rejected change is in effect"},
      {Mutation::dropOnRestart, {Fault::restartRouter}, "a planned restart dropped"},
      {Mutation::controllersStayDown, {Fault::killAll}, "service was not back"},
      {Mutation::fixedMembership, {Fault::addController}, "disks vote after all was healed"},
      {Mutation::ignoreFailures, {Fault::greyReplicas}, "grey replicas still received requests"},
      {Mutation::noProbes, {Fault::allSlow}, "rejects every request with nothing in flight"}};
  for (Case const& testCase : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 24 && !found; ++seed) {
      testing::Plan plan = testing::only(seed, testCase.faults);
      plan.mutation = testCase.mutation;
      plan.fractionalLimits = testCase.mutation == Mutation::noProbes;
      plan.listReader = testCase.listReader;
      plan.faultInterval = testCase.faultInterval;
      plan.demand = testCase.demand;
      std::vector<std::string> violations;
      try {
        violations = testing::SimulatedCluster(plan).run().violations;
      } catch (corkward::core::InvariantError const& e) {
        violations.push_back(e.what());
      }
      for (std::string const& v : violations) found = found || v.find(testCase.says) != std::string::npos;
    }
    INFO(testCase.says);
    CHECK(found);
  }
}
