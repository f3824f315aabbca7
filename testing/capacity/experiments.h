#pragma once

#include "measurements.h"
#include "sizes.h"

/// The experiments that the rig can run, one for each kind of cost.
namespace corkward::testing::capacity {

/// Messages, bytes, processor time and memory of a fleet at rest, with the changes of the sizes.
Measurements measureIdle(Sizes const& sizes);
/// Links between processes: how many each holds, and how many it dials.
Measurements measureLinks(Sizes const& sizes);
/// Single changes of a tenant, one after the other: how long until each is in force, and what it costs.
Measurements measureChanges(Sizes const& sizes);
/// Bootstrap, a start of all after an outage of all, a restart of one node, and a snapshot for one emptied disk.
Measurements measureOutage(Sizes const& sizes);
/// Regions lose each other for ten seconds; a change is tried in each.
Measurements measurePartition(Sizes const& sizes);
/// A zone goes dark with its nodes and control machines; then a change is made.
Measurements measureZoneLoss(Sizes const& sizes);
/// Bytes that one node and one control machine hold: configuration, queues, calls, streams, ids, prefixes.
Measurements measureState(Sizes const& sizes);
/// Processor time of one node per request, chunk and clock event, with queues, calls and replicas of the sizes.
Measurements measureRequestCost(Sizes const& sizes);

/// One experiment by the name that the command line knows.
struct Experiment {
  char const* name;
  Measurements (*run)(Sizes const&);
  char const* description;
};

inline constexpr Experiment experiments[] = {
    {"rest", measureIdle, "messages, bytes, processor time and memory of a fleet at rest, with its changes"},
    {"links", measureLinks, "links that a process holds and dials"},
    {"change", measureChanges, "time until a change is in force, its bytes and processor time"},
    {"outage", measureOutage,
     "time to found, to restart one node, to copy a member, to recover after an outage of all"},
    {"split", measurePartition, "regions lose each other"},
    {"zone", measureZoneLoss, "a zone goes dark"},
    {"state", measureState, "bytes of state at one node and one control machine"},
    {"cost", measureRequestCost, "processor time of one node per request, piece and clock event"}};

/// The experiment of a name, or null.
Experiment const* findExperiment(std::string const& name);

}  // namespace corkward::testing::capacity
