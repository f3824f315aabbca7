// Measures a fleet without requests: its traffic, memory, processor time and open links.
#include <map>

#include <corkward/core/json.h>
#include <corkward/transport/link.h>

#include "experiments.h"

namespace corkward::testing::capacity {

namespace {

constexpr Milliseconds dayMs = 86400000;

/// Sends the changes that are due in the next second.
void sendDueChanges(Fleet& fleet, Sizes const& sizes, core::RandomGenerator& rng, Milliseconds& dueAt) {
  if (sizes.changes == 0) return;
  Milliseconds const interval = std::max<Milliseconds>(dayMs / sizes.changes, 1);
  for (Milliseconds const end = fleet.now() + 1000; dueAt < end; dueAt += interval) {
    auto const tenant = static_cast<std::int64_t>(rng.below(static_cast<std::uint64_t>(sizes.tenants)));
    fleet.change(rng.below(static_cast<std::uint64_t>(sizes.control)), tenant);
  }
}

void addTraffic(Tally& sum, Tally const& tally) {
  sum.sent += tally.sent;
  sum.sentBytes += tally.sentBytes;
  sum.received += tally.received;
  sum.receivedBytes += tally.receivedBytes;
}

/// Adds the mean cost of one message of a kind.
void addMessageCosts(Measurements& out, Tally const& tally, char const* role) {
  auto const sent = static_cast<double>(tally.sent);
  auto const received = static_cast<double>(tally.received);
  if (tally.sent > 0) {
    out.push_back({"pack." + tally.kind, role, "us/message", timed, tally.packUs / sent});
    out.push_back({"size." + tally.kind, role, "bytes/message", counted, static_cast<double>(tally.sentBytes) / sent});
  }
  if (tally.received > 0) {
    out.push_back({"unpack." + tally.kind, role, "us/message", timed, tally.unpackUs / received});
    out.push_back({"handle." + tally.kind, role, "us/message", timed, tally.handleUs / received});
  }
}

/// Adds the rates of messages and bytes that the processes of a role send and receive for one purpose.
void addTrafficRates(Measurements& out, std::string const& purpose, Tally const& sum, char const* role, Milliseconds ms,
                     std::size_t processes) {
  auto const rate = [&](std::uint64_t total) { return perSecond(static_cast<double>(total), ms, processes); };
  out.push_back({"sent." + purpose, role, "messages/s", counted, rate(sum.sent)});
  out.push_back({"sent." + purpose, role, "bytes/s", counted, rate(sum.sentBytes)});
  out.push_back({"taken." + purpose, role, "messages/s", counted, rate(sum.received)});
  out.push_back({"taken." + purpose, role, "bytes/s", counted, rate(sum.receivedBytes)});
}

/// Adds the traffic and processor time of all processes of a role.
void addRole(Measurements& out, Fleet& fleet, bool control, Milliseconds ms) {
  char const* const role = roleName(control);
  std::size_t const processes = fleet.alive(control);
  std::map<std::string, Tally> purposes;
  Tally all;
  double processorUs = fleet.timerUs(control);
  for (Tally const& tally : fleet.tallies(control).all()) {
    addTraffic(purposes[tally.purpose], tally);
    addTraffic(all, tally);
    processorUs += processorTime(tally);
    purposes[tally.purpose].handleUs += processorTime(tally);
    addMessageCosts(out, tally, role);
  }
  purposes["all"] = all;
  purposes["all"].handleUs = processorUs;
  purposes["clock"].handleUs = fleet.timerUs(control);
  for (auto const& [purpose, sum] : purposes) {
    out.push_back({"cpu." + purpose, role, "us/s", timed, perSecond(sum.handleUs, ms, processes)});
    if (purpose != "clock") addTrafficRates(out, purpose, sum, role, ms, processes);
  }
}

/// Adds the memory of the routers and controllers. The routers are ended first to tell the two apart.
void addMemory(Measurements& out, Fleet& fleet, Sizes const& sizes, std::uint64_t empty, std::uint64_t withControl) {
  fleet.discardPendingEvents();
  auto const all = static_cast<double>(heapBytes() - empty - fleet.diskUsage());
  for (std::size_t i = fleet.firstRouter(); i < fleet.processes().size(); ++i) fleet.kill(i);
  auto const control = static_cast<double>(heapBytes() - empty - fleet.diskUsage());
  out.push_back({"state", "router", "bytes", heap, (all - control) / static_cast<double>(sizes.nodes)});
  out.push_back({"state", "controller", "bytes", heap, control / static_cast<double>(sizes.control)});
  out.push_back({"state.before_nodes", "controller", "bytes", heap,
                 static_cast<double>(withControl - empty) / static_cast<double>(sizes.control)});
}

}  // namespace

Measurements measureIdle(Sizes const& sizes) {
  std::uint64_t const empty = heapBytes();
  Fleet fleet(sizes);
  startControllers(fleet);
  fleet.configure();
  std::uint64_t const withControl = heapBytes() - fleet.diskUsage();
  startRouters(fleet);
  fleet.run(stabilizationTime);
  core::RandomGenerator rng(static_cast<std::uint64_t>(sizes.seed) ^ 0xCA);
  Milliseconds dueAt = fleet.now();
  fleet.count(true);
  for (std::int64_t s = 0; s < sizes.seconds; ++s) {
    sendDueChanges(fleet, sizes, rng, dueAt);
    fleet.run(1000);
  }
  Measurements out;
  Milliseconds const ms = fleet.countedTime();
  for (bool const control : {false, true}) addRole(out, fleet, control, ms);
  out.push_back({"disk", "controller", "bytes/s", counted,
                 perSecond(static_cast<double>(fleet.diskBytes()), ms, fleet.alive(true))});
  out.push_back({"standing", "router", "share", counted,
                 static_cast<double>(fleet.servingRouters()) / static_cast<double>(sizes.nodes)});
  out.push_back({"page.fleet", "operator", "bytes", counted,
                 static_cast<double>(core::jsonText(fleet.processes().front().control->fleet(fleet.now())).size())});
  fleet.count(false);
  addMemory(out, fleet, sizes, empty, withControl);
  return out;
}

Measurements measureLinks(Sizes const& sizes) {
  Fleet fleet(sizes);
  startAndStabilize(fleet);
  fleet.run(2 * std::chrono::milliseconds(transport::Link::idleTimeout).count());
  std::array<std::uint64_t, 2> const before{fleet.dialled(false), fleet.dialled(true)};
  Milliseconds const from = fleet.now();
  std::array<double, 2> open{};
  for (std::int64_t s = 0; s < sizes.seconds; ++s) {
    fleet.run(1000);
    for (bool const control : {false, true})
      open[control ? 1 : 0] += static_cast<double>(fleet.openLinks(control)) / static_cast<double>(sizes.seconds);
  }
  Measurements out;
  for (bool const control : {false, true}) {
    char const* const role = roleName(control);
    out.push_back(
        {"links.held", role, "links", counted, open[control ? 1 : 0] / static_cast<double>(fleet.alive(control))});
    out.push_back({"links.dialled", role, "links/s", counted,
                   perSecond(static_cast<double>(fleet.dialled(control) - before[control ? 1 : 0]), fleet.now() - from,
                             fleet.alive(control))});
  }
  return out;
}

}  // namespace corkward::testing::capacity
