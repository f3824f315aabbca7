// Measures how long the fleet takes to recover from the loss of processes, regions and zones.
#include <algorithm>
#include <map>

#include "experiments.h"

namespace corkward::testing::capacity {

namespace {

/// Returns the bytes of the messages sent for the given purposes by all processes of a role.
double sentBytes(Fleet const& fleet, bool control, std::vector<std::string> const& purposes) {
  double out = 0;
  for (Tally const& tally : fleet.tallies(control).all())
    if (std::find(purposes.begin(), purposes.end(), tally.purpose) != purposes.end())
      out += static_cast<double>(tally.sentBytes);
  return out;
}

double receivedBytes(Fleet const& fleet, bool control, std::vector<std::string> const& purposes) {
  double out = 0;
  for (Tally const& tally : fleet.tallies(control).all())
    if (std::find(purposes.begin(), purposes.end(), tally.purpose) != purposes.end())
      out += static_cast<double>(tally.receivedBytes);
  return out;
}

/// Waits until a router has a serving lease. Returns the time in milliseconds, or -1 if it takes too long.
double untilServing(Fleet& fleet, std::size_t node) {
  Milliseconds const from = fleet.now();
  bool const serves = fleet.until([&] { return fleet.processes()[node].data->servingLease(fleet.now()); }, longestWait);
  return elapsed(fleet, serves, from);
}

void bootstrap(Measurements& out, Fleet& fleet) {
  startControllers(fleet);
  out.push_back({"found", "controller", "ms", counted, static_cast<double>(fleet.now())});
  fleet.configure();
  Milliseconds const from = fleet.now();
  startRouters(fleet);
  out.push_back({"start", "router", "ms", counted, static_cast<double>(fleet.now() - from)});
  fleet.run(stabilizationTime);
}

void restartRouter(Measurements& out, Fleet& fleet, Sizes const& sizes) {
  std::size_t const node = fleet.firstRouter() + static_cast<std::size_t>(sizes.nodes) / 2;
  fleet.count(true);
  fleet.kill(node);
  fleet.run(1000);
  fleet.boot(node);
  out.push_back({"restart", "router", "ms", counted, untilServing(fleet, node)});
  out.push_back({"restart.image", "controller", "bytes", counted,
                 sentBytes(fleet, true, {"news", "roster", "list"}) / static_cast<double>(sizes.control)});
  fleet.count(false);
  fleet.run(stabilizationTime);
}

void joinSpare(Measurements& out, Fleet& fleet) {
  std::vector<std::string> const purposes{"news", "roster", "agreement"};
  fleet.count(true);
  fleet.boot(fleet.spare());
  out.push_back({"join", "router", "ms", counted, untilServing(fleet, fleet.spare())});
  fleet.run(stabilizationTime);
  for (bool const control : {false, true}) {
    auto const processes = static_cast<double>(fleet.alive(control));
    out.push_back({"join.sent", roleName(control), "bytes", counted, sentBytes(fleet, control, purposes) / processes});
    out.push_back(
        {"join.taken", roleName(control), "bytes", counted, receivedBytes(fleet, control, purposes) / processes});
  }
}

/// Restarts a controller with an empty disk, which catches up from a snapshot.
void restoreDisk(Measurements& out, Fleet& fleet) {
  std::size_t const last = fleet.firstRouter() - 1;
  fleet.kill(last);
  fleet.wipe(last);
  fleet.run(1000);
  fleet.boot(last);
  Milliseconds const from = fleet.now();
  bool const voting = fleet.until([&] { return fleet.processes()[last].control->registers().isVoting(); }, longestWait);
  out.push_back({"copy", "controller", "ms", counted, elapsed(fleet, voting, from)});
  out.push_back({"copy", "controller", "bytes in all", counted, sentBytes(fleet, true, {"copy"})});
}

void recoverFromTotalOutage(Measurements& out, Fleet& fleet, Sizes const& sizes) {
  for (std::size_t i = 0; i < fleet.processes().size(); ++i) fleet.kill(i);
  fleet.run(1000);
  Milliseconds const from = fleet.now();
  fleet.count(true);
  for (std::size_t i = 0; i < fleet.processes().size(); ++i) fleet.boot(i);
  bool const recovered =
      fleet.until([&] { return fleet.servingRouters() == static_cast<std::size_t>(sizes.nodes) + 1; }, longestWait);
  out.push_back({"recover", "router", "ms", counted, elapsed(fleet, recovered, from)});
  for (bool const control : {false, true}) {
    double processorUs = fleet.timerUs(control);
    for (Tally const& tally : fleet.tallies(control).all()) processorUs += processorTime(tally);
    out.push_back(
        {"recover.cpu", roleName(control), "us", timed, processorUs / static_cast<double>(fleet.alive(control))});
  }
}

double servingShare(Fleet const& fleet, int region) {
  return static_cast<double>(fleet.servingRouters(region)) /
         static_cast<double>(std::max<std::size_t>(fleet.aliveRouters(region), 1));
}

}  // namespace

Measurements measureOutage(Sizes const& sizes) {
  Measurements out;
  Fleet fleet(sizes);
  bootstrap(out, fleet);
  restartRouter(out, fleet, sizes);
  joinSpare(out, fleet);
  fleet.count(true);
  if (sizes.control > 1) restoreDisk(out, fleet);
  fleet.count(false);
  fleet.run(stabilizationTime);
  recoverFromTotalOutage(out, fleet, sizes);
  return out;
}

Measurements measurePartition(Sizes const& sizes) {
  if (sizes.regions < 2) throw SizesError("regions: a partition needs at least two regions");
  if (sizes.tenants < 2 || sizes.control < 2)
    throw SizesError("tenants: at least two tenants and two controllers are needed");
  Fleet fleet(sizes);
  startAndStabilize(fleet);
  fleet.cutRegions(true);
  Milliseconds const from = fleet.now();
  std::map<int, std::uint64_t> tokens;
  std::map<int, std::size_t> members;
  for (std::size_t i = 0; i < fleet.firstRouter(); ++i) {
    int const region = fleet.processes()[i].region;
    if (++members[region] == 1) tokens[region] = fleet.change(i, region);
  }
  fleet.run(10000);
  Measurements out;
  for (auto const& [region, token] : tokens) {
    std::string const name = "region" + std::to_string(region + 1);
    out.push_back({"split.members." + name, "controller", "machines", counted, static_cast<double>(members[region])});
    out.push_back({"split.standing." + name, "router", "share", counted, servingShare(fleet, region)});
    bool const acknowledged = fleet.response(token) && fleet.response(token)->status == 200;
    out.push_back({"split.status." + name, "operator", "status", counted,
                   fleet.response(token) ? static_cast<double>(fleet.response(token)->status) : 0});
    out.push_back({"split.change." + name, "operator", "ms", counted,
                   acknowledged ? static_cast<double>(fleet.response(token)->at - from) : -1});
  }
  fleet.cutRegions(false);
  Milliseconds const joined = fleet.now();
  bool const ok =
      fleet.until([&] { return fleet.servingRouters() == static_cast<std::size_t>(sizes.nodes); }, longestWait);
  out.push_back({"split.back", "router", "ms", counted, elapsed(fleet, ok, joined)});
  return out;
}

Measurements measureZoneLoss(Sizes const& sizes) {
  if (sizes.zones < 2 || sizes.tenants == 0) throw SizesError("zones: at least two zones and a tenant are needed");
  Fleet fleet(sizes);
  startAndStabilize(fleet);
  std::size_t first = 0;
  for (std::size_t i = 0; i < fleet.processes().size(); ++i) {
    if (fleet.processes()[i].zone == 0)
      fleet.kill(i, true);
    else if (i < fleet.firstRouter() && first == 0)
      first = i;
  }
  Measurements out;
  double min = 1;
  Milliseconds const from = fleet.now();
  std::uint64_t const token = fleet.change(first, 0);
  for (int i = 0; i < 100; ++i) {
    fleet.run(50);
    min = std::min(min, servingShare(fleet, -1));
  }
  fleet.until([&] { return fleet.response(token).has_value(); }, longestWait);
  bool const acknowledged = fleet.response(token) && fleet.response(token)->status == 200;
  out.push_back({"zone.standing", "router", "least share of the rest", counted, min});
  out.push_back({"zone.change", "operator", "ms", counted,
                 acknowledged ? static_cast<double>(fleet.response(token)->at - from) : -1});
  std::uint64_t const next = fleet.change(first, 0);
  Milliseconds const again = fleet.now();
  fleet.until([&] { return fleet.response(next).has_value(); }, longestWait);
  bool const nextAcknowledged = fleet.response(next) && fleet.response(next)->status == 200;
  out.push_back({"zone.next_change", "operator", "ms", counted,
                 nextAcknowledged ? static_cast<double>(fleet.response(next)->at - again) : -1});
  return out;
}

}  // namespace corkward::testing::capacity
