#pragma once

#include "measurements.h"
#include "sizes.h"

/// The experiments of corkward-capacity, one for each kind of cost.
namespace corkward::testing::capacity {

/// Measures messages, bytes, processor time and memory of a fleet without requests, with the configuration changes that
/// `sizes` sets.
Measurements measureIdle(Sizes const& sizes);
/// Measures the open links of each process and how many it opens per second.
Measurements measureLinks(Sizes const& sizes);
/// Makes single changes of a tenant one after the other, and measures the time until each is in effect and its cost.
Measurements measureChanges(Sizes const& sizes);
/// Measures the bootstrap, the restart of one router, the start of an additional router, the recovery of an empty disk
/// from a snapshot, and the recovery from a total outage.
Measurements measureOutage(Sizes const& sizes);
/// Partitions the regions for ten seconds and tries a change in each.
Measurements measurePartition(Sizes const& sizes);
/// Powers off a zone with its routers and controllers, then makes two changes.
Measurements measureZoneLoss(Sizes const& sizes);
/// Measures the memory of one router and one controller: configuration, queues, calls, streams, ids and prefixes.
Measurements measureState(Sizes const& sizes);
/// Measures the processor time of one router per request, chunk and timer event at the given sizes.
Measurements measureRequestCost(Sizes const& sizes);

/// An experiment and its name on the command line.
struct Experiment {
  char const* name;
  Measurements (*run)(Sizes const&);
  char const* description;
};

inline constexpr Experiment experiments[] = {
    {"rest", measureIdle, "messages, bytes, processor time and memory of a fleet without requests"},
    {"links", measureLinks, "links that a process keeps open and opens per second"},
    {"change", measureChanges, "time until a change is in effect, its bytes and processor time"},
    {"outage", measureOutage,
     "times of the bootstrap, a router's restart, a member's copy and the recovery from a total outage"},
    {"split", measurePartition, "partition between the regions"},
    {"zone", measureZoneLoss, "power loss of a zone"},
    {"state", measureState, "memory of one router and one controller"},
    {"cost", measureRequestCost, "processor time of one router per request, chunk and timer event"}};

/// Returns the experiment with this name, or null if there is none.
Experiment const* findExperiment(std::string const& name);

}  // namespace corkward::testing::capacity
