#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

#include "simulated_cluster.h"

namespace testing = corkward::testing;
using testing::Fault;
using testing::Mutation;

namespace {

testing::Result clean(testing::Plan const& plan) {
  testing::Result result = testing::SimulatedCluster(plan).run();
  for (std::string const& v : result.violations) std::cerr << "seed " << plan.seed << ": " << v << "\n";
  CHECK(result.violations.empty());
  CHECK(result.counts.at("served") > 500);
  return result;
}

/// One of control's worst days: no rule broken, orders taken and requests served.
testing::Result worst(testing::Plan const& plan) {
  testing::Result result = testing::SimulatedCluster(plan).run();
  for (std::string const& v : result.violations) std::cerr << "seed " << plan.seed << ": " << v << "\n";
  CHECK(result.violations.empty());
  CHECK(result.counts["served"] > 100);
  CHECK(result.counts["orders-taken"] > 3);
  return result;
}

enum class Fences { on, off, both };

/// So many seeds of a point, each fenced, not fenced, or both.
std::map<std::string, std::size_t> worstDays(testing::Point point, std::uint64_t seeds, Fences fences = Fences::both) {
  std::map<std::string, std::size_t> counts;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    for (bool const fenced : {true, false}) {
      if (fences != Fences::both && fenced != (fences == Fences::on)) continue;
      testing::Plan plan = testing::worstDay(seed, point);
      plan.fenced = fenced;
      for (auto const& [name, count] : worst(plan).counts) counts[name] += count;
    }
  return counts;
}

void happened(std::map<std::string, std::size_t> const& counts, std::vector<char const*> const& names) {
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

TEST_CASE("control is killed, cut, split and frozen", "[control]") {
  for (Fault const f : {Fault::killControl, Fault::killAll, Fault::freezeController, Fault::isolateMember,
                        Fault::splitCore, Fault::partitionCore, Fault::restartController, Fault::wipeSameAddress,
                        Fault::returnNewAddress, Fault::powerLoss})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) clean(testing::only(seed, {f}));
}

TEST_CASE("the membership of disks grows, strikes off who is dark and takes back who returns", "[membership]") {
  std::map<std::string, std::size_t> counts;
  for (Fault const f :
       {Fault::growCore, Fault::longAbsence, Fault::wipeSameAddress, Fault::returnNewAddress, Fault::killControl,
        Fault::freezeController, Fault::isolateMember, Fault::splitCore, Fault::diskStall, Fault::diskDamage})
    for (int const controllers : {3, 4, 6}) {
      testing::Plan plan =
          testing::only(static_cast<std::uint64_t>(controllers), {f, Fault::growCore, Fault::longAbsence});
      plan.controllers = controllers;
      plan.zones = 4;
      plan.replaceDarkAfter = 3000;
      plan.every = 4000;
      for (auto const& [name, count] : clean(plan).counts) counts[name] += count;
    }
  for (char const* change : {"add-member", "replace-member", "member-removed", "removed-from-membership"})
    CHECK(counts[change] > 0);
  for (int const founders : {1, 2}) {
    testing::Plan plan = testing::only(static_cast<std::uint64_t>(founders), {Fault::killControl, Fault::longAbsence});
    plan.founders = founders;
    plan.replaceDarkAfter = 3000;
    clean(plan);
  }
}

TEST_CASE("routers are killed, cut, frozen and restarted", "[routers]") {
  for (Fault const f :
       {Fault::killRouter, Fault::killHerd, Fault::freezeRouter, Fault::partitionZone, Fault::isolateRouter,
        Fault::oneWayPartition, Fault::lossyNetwork, Fault::restartRouter, Fault::wallClockJump})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) clean(testing::only(seed, {f}));
}

TEST_CASE("disks are slow, stalled, full, failing and damaged", "[disks]") {
  for (Fault const f : {Fault::diskSlow, Fault::diskStall, Fault::diskFull, Fault::diskFail, Fault::diskDamage})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) clean(testing::only(seed, {f}));
}

TEST_CASE("replicas crash, go dark, vanish, slow down and are replaced; callers crowd", "[replicas]") {
  for (Fault const f :
       {Fault::breakStreams, Fault::breakMany, Fault::replicaCrash, Fault::replicaDark, Fault::replicaVanish,
        Fault::allSlow, Fault::crowd, Fault::hardRetries, Fault::rollReplicas, Fault::coldReplicas, Fault::evacuate})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) clean(testing::only(seed, {f}));
}

TEST_CASE("many replicas break at once while callers retry hard", "[replicas]") {
  for (Fault const f : {Fault::breakMany, Fault::breakStreams})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      testing::Plan plan = testing::only(seed, {f, Fault::hardRetries});
      plan.every = 2000;
      clean(plan);
    }
}

TEST_CASE("changes storm, race and grow large", "[changes]") {
  for (Fault const f : {Fault::changeStorm, Fault::races, Fault::bigTemplate})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) clean(testing::only(seed, {f}));
  for (std::uint64_t seed = 1; seed <= 2; ++seed)
    clean(testing::only(seed, {Fault::races, Fault::splitCore, Fault::killControl}));
}

TEST_CASE("replicas are replaced while control is killed, cut, split or stalled", "[leaving]") {
  for (Fault const f : {Fault::killControl, Fault::partitionCore, Fault::splitCore, Fault::isolateMember,
                        Fault::diskStall, Fault::killHerd, Fault::freezeRouter, Fault::isolateRouter, Fault::killAll})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      testing::Plan plan = testing::only(seed, {f, Fault::rollReplicas, Fault::killRouter});
      plan.every = 2500;
      clean(plan);
    }
}

TEST_CASE(
    "replicas turn grey and flap, connections are reset and forgotten, machines slow down, replicas join in numbers, a "
    "zone loses power, crowds shift",
    "[grown]") {
  std::map<std::string, std::size_t> counts;
  for (Fault const f :
       {Fault::greyReplicas, Fault::flapReplicas, Fault::resetConnections, Fault::forgetConnections, Fault::slowRouter,
        Fault::slowController, Fault::scaleOut, Fault::zoneLoss, Fault::shiftLengths})
    for (std::uint64_t seed = 1; seed <= 2; ++seed)
      for (auto const& [name, count] : clean(testing::only(seed, {f})).counts) counts[name] += count;
  for (char const* happened :
       {"grey-fates", "replica-failed", "grey-fair", "reset-callers", "reset-streams", "forgotten-connections",
        "slowed-events", "joined", "lost-zones", "long-prompts", "long-answers"}) {
    INFO(happened);
    CHECK(counts[happened] > 0);
  }
}

TEST_CASE("random sets of failures together", "[chaos]") {
  for (std::uint64_t seed = 1; seed <= 16; ++seed) clean(testing::chaos(seed));
}

TEST_CASE("larger fleets stand without control on what neighbours pass on, and break no rule", "[sizes]") {
  for (int const routers : {12, 24, 48, 96}) {
    testing::Plan cut = testing::only(1, {Fault::partitionCore, Fault::killControl});
    cut.routers = routers;
    cut.every = 4000;
    testing::Result const result = testing::SimulatedCluster(cut).run();
    for (std::string const& v : result.violations) std::cerr << routers << " routers: " << v << "\n";
    CHECK(result.violations.empty());
    CHECK(static_cast<double>(result.counts.at("standing-held")) >=
          0.99 * static_cast<double>(result.counts.at("standing-looks")));
    testing::Plan random = testing::chaos(static_cast<std::uint64_t>(routers));
    random.routers = routers;
    clean(random);
  }
}

TEST_CASE("certificates are declared, raced and revoked while everything fails", "[regimes]") {
  std::map<std::string, std::size_t> counts;
  for (std::vector<Fault> const& faults :
       std::vector<std::vector<Fault>>{{Fault::killControl, Fault::powerLoss},
                                       {Fault::isolateRouter, Fault::freezeRouter, Fault::oneWayPartition},
                                       {Fault::splitCore, Fault::partitionCore, Fault::isolateMember},
                                       {Fault::wipeSameAddress, Fault::returnNewAddress},
                                       {Fault::rollReplicas, Fault::replicaCrash, Fault::breakStreams},
                                       {Fault::evacuate, Fault::coldReplicas},
                                       {Fault::killHerd, Fault::killAll}})
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      testing::Plan plan = testing::only(seed, faults);
      plan.regimes = true;
      plan.every = 3000;
      for (auto const& [name, count] : clean(plan).counts) counts[name] += count;
    }
  CHECK(counts["revoked"] > 50);
  CHECK(counts["regulated"] > 500);
  CHECK(counts["certificates-read"] == 14);
}

TEST_CASE("no request of a regime runs where it may not while everything fails together", "[regimes]") {
  std::map<std::string, std::size_t> counts;
  for (std::uint64_t seed = 1; seed <= 24; ++seed)
    for (auto const& [name, count] : clean(testing::regimes(seed)).counts) counts[name] += count;
  for (char const* happened : {"revoked", "life-denied", "tales-resumed", "tales-served-after-resume", "change-412"}) {
    INFO(happened);
    CHECK(counts[happened] >= 20);
  }
  CHECK(counts["regulated"] > 10000);
  CHECK(counts["tales-served"] > 1000);
}

TEST_CASE("members are cut off in every way while orders are sent to them", "[cuts]") {
  happened(worstDays(testing::Point::cuts, 8, Fences::on),
           {"core-cuts", "meets", "reads", "late-resends", "order-resends"});
}

TEST_CASE(
    "an unfenced fleet whose members are cut off or lose power gives no router an old configuration to begin with",
    "[open-cuts]") {
  happened(worstDays(testing::Point::cuts, 8, Fences::off),
           {"core-cuts", "meets", "reads", "late-resends", "order-resends"});
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    testing::Plan plan = testing::worstDay(seed, testing::Point::powerCuts);
    plan.faults = {Fault::massPower};
    plan.fenced = false;
    worst(plan);
  }
}

TEST_CASE("acknowledgements are lost and the same orders are sent to other machines", "[resends]") {
  happened(worstDays(testing::Point::resends, 6), {"acks-lost", "order-resends", "late-resends", "strikes"});
}

TEST_CASE("a second disk is lost right after a repair, and each member is replaced in turn", "[second-loss]") {
  happened(worstDays(testing::Point::secondLoss, 8), {"second-losses", "replaced-in-turn", "strikes"});
}

TEST_CASE("hundreds of changes come before a restart or an emptied disk", "[many-changes]") {
  happened(worstDays(testing::Point::manyChanges, 2), {"bursts-done", "wiped-after-burst"});
}

TEST_CASE("power goes right after an order was taken, or some time after it was sent, and names are lost",
          "[power-cuts]") {
  happened(worstDays(testing::Point::powerCuts, 10, Fences::on), {"strikes", "names-lost"});
}

TEST_CASE("no proper change of a template is refused after all lost power", "[proper]") {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    testing::Plan plan = testing::worstDay(seed, testing::Point::powerCuts);
    plan.faults = {Fault::massPower};
    plan.fenced = true;
    plan.operators.proper = true;
    worst(plan);
  }
}

TEST_CASE("a simulated disk loses names that were not synced, each by itself, and no others", "[disks]") {
  std::size_t lost = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    corkward::core::RandomGenerator rng(seed);
    testing::SimDisk disk;
    disk.looseNames = true;
    disk.append("kept", "a");
    disk.sync("kept");
    disk.syncDirectory();
    disk.append("new", "b");
    disk.sync("new");
    disk.rename("kept", "moved");
    disk.powerLoss(rng);
    std::vector<std::string> const names = disk.list();
    CHECK(std::count(names.begin(), names.end(), "kept") + std::count(names.begin(), names.end(), "moved") == 1);
    lost += disk.lostNames();
  }
  CHECK(lost > 20);
  CHECK(lost < 60);
}

TEST_CASE("what was acknowledged is kept when the process before stopped between any two operations", "[disk-names]") {
  for (int operations = 0; operations < 4; ++operations)
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      corkward::core::RandomGenerator rng(seed);
      testing::SimDisk disk;
      disk.looseNames = true;
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

TEST_CASE("every oracle of control's worst days can fail", "[control-mutation]") {
  struct Case {
    Mutation mutation;
    testing::Point point;
    std::vector<Fault> faults;
    char const* says;
    bool fenced = true;
  };
  using testing::Point;
  std::vector<Case> const cases{
      {Mutation::staleRead, Point::cuts, {Fault::partitionMemberAll}, "a read at"},
      {Mutation::staleRead, Point::powerCuts, {Fault::massPower}, "a read was refused"},
      {Mutation::refuseProper, Point::cuts, {Fault::crowd}, "a proper order was refused"},
      {Mutation::alteredResends, Point::resends, {Fault::isolateMember}, "a resend of what was taken"},
      {Mutation::rebaseOrders, Point::cuts, {Fault::crowd}, "two orders on version"},
      {Mutation::rebaseOrders, Point::cuts, {Fault::crowd}, "follows version"},
      {Mutation::lyingDisk, Point::powerCuts, {Fault::massPower}, "could not be read back"},
      {Mutation::foreignBody, Point::cuts, {Fault::crowd}, "two whole configurations under revision"},
      {Mutation::lyingNames, Point::powerCuts, {Fault::massPower}, "acknowledged order lost"},
      {Mutation::deafRouter, Point::cuts, {Fault::crowd}, "out of date though in touch", false},
      {Mutation::oldImage, Point::cuts, {Fault::killRouter}, "a router began with an old configuration", false},
      {Mutation::lateDuplicates, Point::secondLoss, {Fault::wipeSameAddress}, "does not vote in time"},
      {Mutation::lateAnswers, Point::cuts, {Fault::crowd}, "no acknowledgement in"}};
  for (Case const& testCase : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 16 && !found; ++seed) {
      testing::Plan plan = testing::worstDay(seed, testCase.point);
      plan.faults = testCase.faults;
      plan.fenced = testCase.fenced;
      plan.mutation = testCase.mutation;
      plan.operators.race = 0.5;
      for (std::string const& v : testing::SimulatedCluster(plan).run().violations)
        found = found || v.find(testCase.says) != std::string::npos;
    }
    INFO(testCase.says << " under mutation " << static_cast<int>(testCase.mutation));
    CHECK(found);
  }
}

TEST_CASE("every oracle of regimes can fail", "[mutation]") {
  struct Case {
    Mutation mutation;
    std::vector<Fault> faults;
    char const* says;
  };
  std::vector<Case> const cases{
      {Mutation::noFencing, {Fault::isolateRouter, Fault::freezeRouter}, "older certificates in force"},
      {Mutation::noFencing, {Fault::isolateRouter, Fault::freezeRouter}, "was out of force"},
      {Mutation::earlyAck,
       {Fault::isolateRouter, Fault::freezeRouter, Fault::oneWayPartition},
       "older certificates in force"},
      {Mutation::ignoreExpiry, {Fault::crowd}, "was out of force"},
      {Mutation::skipIncarnationCheck, {Fault::reuseAddress}, "never had a certificate"},
      {Mutation::skipIncarnationCheck, {Fault::reuseAddress}, "never on the platform's list"},
      {Mutation::resumeAnywhere, {Fault::breakStreams}, "never had a certificate"},
      {Mutation::resumeTwice, {Fault::breakStreams}, "resumed more than once"},
      {Mutation::eventGap, {Fault::breakStreams}, "a row of events has a gap"},
      {Mutation::truncationLooksComplete, {Fault::breakStreams}, "a cut row of events looks whole"},
      {Mutation::unrecorded, {Fault::crowd}, "without a record"}};
  for (Case const& testCase : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 24 && !found; ++seed) {
      testing::Plan plan = testing::only(seed, testCase.faults);
      plan.regimes = true;
      plan.mutation = testCase.mutation;
      plan.every = 2000;
      plan.demand = 80;
      for (std::string const& v : testing::SimulatedCluster(plan).run().violations)
        found = found || v.find(testCase.says) != std::string::npos;
    }
    INFO(testCase.says << " under mutation " << static_cast<int>(testCase.mutation));
    CHECK(found);
  }
}

TEST_CASE("seeds that once failed", "[kept]") {
  for (RegressionCase const& k : std::vector<RegressionCase>{{2, {Fault::splitCore}},
                                                             {8, {Fault::splitCore}},
                                                             {3, {Fault::partitionZone}},
                                                             {5, {Fault::partitionZone}},
                                                             {6, {Fault::killHerd}}})
    clean(testing::only(k.seed, k.faults));
  for (std::uint64_t const seed : {89, 107, 126, 1534}) clean(testing::chaos(seed, false));
  for (std::uint64_t const seed : {541, 913}) clean(testing::chaos(seed));
}

TEST_CASE("every oracle can fail", "[mutation]") {
  struct Case {
    Mutation mutation;
    std::vector<Fault> faults;
    char const* says;
    corkward::core::Milliseconds every = 3000;
    double demand = 40;
  };
  std::vector<Case> const cases{
      {Mutation::noFencing, {Fault::isolateRouter, Fault::freezeRouter}, "older configuration served"},
      {Mutation::earlyAck,
       {Fault::isolateRouter, Fault::freezeRouter, Fault::oneWayPartition},
       "older configuration served"},
      {Mutation::forgetLeaving, {Fault::isolateRouter, Fault::rollReplicas}, "after it was shown leaving", 1200, 80},
      {Mutation::forgetLeaving, {Fault::isolateRouter, Fault::evacuate}, "after its evacuation was acknowledged"},
      {Mutation::youngAges, {Fault::partitionZone}, "older configuration served"},
      {Mutation::forgetHints, {Fault::killControl, Fault::rollReplicas}, "after it was shown leaving", 1200, 80},
      {Mutation::resumeGap, {Fault::breakStreams}, "a gap, a repeat or a join", 1500, 80},
      {Mutation::resumeRepeat, {Fault::breakStreams}, "a gap, a repeat or a join", 1500, 80},
      {Mutation::resumeOther, {Fault::breakStreams}, "a gap, a repeat or a join", 1500, 80},
      {Mutation::truncationLooksComplete, {Fault::breakStreams}, "a cut body looks whole"},
      {Mutation::foreignBody, {Fault::crowd}, "a body of somebody else"},
      {Mutation::vouchTooSoon, {Fault::killRouter}, "run twice"},
      {Mutation::sayNotRun, {Fault::replicaCrash}, "rejected as not run, but ran"},
      {Mutation::resendUnseen, {Fault::crowd}, "over first hand-overs"},
      {Mutation::warmForever, {Fault::coldReplicas, Fault::isolateRouter, Fault::crowd}, "cold replica"},
      {Mutation::lyingDisk, {Fault::powerLoss, Fault::killAll}, "acknowledged change lost"},
      {Mutation::rewriteIfMatch, {Fault::races}, "both accepted"},
      {Mutation::rejectAccepted, {Fault::killRouter}, "a rejected change is in force"},
      {Mutation::dropOnRestart, {Fault::restartRouter}, "a planned restart dropped"},
      {Mutation::noReturn, {Fault::killAll}, "service was not back"},
      {Mutation::neverGrow, {Fault::growCore}, "disks vote after all was healed"},
      {Mutation::blindTrust, {Fault::greyReplicas}, "grey replicas went on drawing work"}};
  for (Case const& testCase : cases) {
    bool found = false;
    for (std::uint64_t seed = 1; seed <= 24 && !found; ++seed) {
      testing::Plan plan = testing::only(seed, testCase.faults);
      plan.mutation = testCase.mutation;
      plan.every = testCase.every;
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
