// Measures the duration and cost of single configuration changes.
#include <algorithm>
#include <array>
#include <map>

#include "experiments.h"

namespace corkward::testing::capacity {

namespace {

constexpr int changesTried = 12;

/// Costs and durations of the changes so far.
struct ChangeCosts {
  int acknowledged = 0;
  /// Milliseconds until the operator got the acknowledgement, and until every router had the change.
  std::vector<double> acknowledgeTimes;
  std::vector<double> applyTimes;
  /// Sums by purpose, of routers and of controllers.
  std::array<std::map<std::string, Tally>, 2> sums;
  double diskBytes = 0;
};

double maximum(std::vector<double> const& values) {
  return values.empty() ? -1 : *std::max_element(values.begin(), values.end());
}

void addTallies(ChangeCosts& costs, Fleet const& fleet) {
  for (bool const control : {false, true})
    for (Tally const& tally : fleet.tallies(control).all()) {
      Tally& sum = costs.sums[control ? 1 : 0][tally.purpose];
      sum.sent += tally.sent;
      sum.sentBytes += tally.sentBytes;
      sum.receivedBytes += tally.receivedBytes;
      sum.handleUs += processorTime(tally);
    }
  costs.diskBytes += static_cast<double>(fleet.diskBytes());
}

/// Makes one change and waits until it is acknowledged and every router has it.
void tryChange(ChangeCosts& costs, Fleet& fleet, Sizes const& sizes, core::RandomGenerator& rng) {
  auto const tenant = static_cast<std::int64_t>(rng.below(static_cast<std::uint64_t>(sizes.tenants)));
  std::uint64_t const before = fleet.revisionOfTenant(tenant);
  std::string const key = "family:" + Fleet::familyOf(sizes, tenant);
  fleet.count(true);
  Milliseconds const from = fleet.now();
  std::uint64_t const token = fleet.change(rng.below(static_cast<std::uint64_t>(sizes.control)), tenant);
  auto const isApplied = [&](Process const& p) { return !p.data || p.data->revisionOf(key) > before; };
  bool const applied = fleet.until(
      [&] { return std::all_of(fleet.processes().begin(), fleet.processes().end(), isApplied); }, longestWait);
  if (applied) costs.applyTimes.push_back(static_cast<double>(fleet.now() - from));
  fleet.until([&] { return fleet.response(token).has_value(); }, longestWait);
  if (fleet.response(token) && fleet.response(token)->status == 200) {
    ++costs.acknowledged;
    costs.acknowledgeTimes.push_back(static_cast<double>(fleet.response(token)->at - from));
  }
  fleet.run(500);
  addTallies(costs, fleet);
  fleet.count(false);
}

/// Adds the mean messages, bytes and processor time of one change at one process of a role.
void addCosts(Measurements& out, ChangeCosts& costs, Fleet const& fleet, bool control) {
  char const* const role = roleName(control);
  double const n = static_cast<double>(fleet.alive(control)) * changesTried;
  for (std::string const purpose : {"news", "agreement", "operators", "holdings"}) {
    Tally const& sum = costs.sums[control ? 1 : 0][purpose];
    out.push_back({"change.sent." + purpose, role, "messages", counted, static_cast<double>(sum.sent) / n});
    out.push_back({"change.sent." + purpose, role, "bytes", counted, static_cast<double>(sum.sentBytes) / n});
    out.push_back({"change.taken." + purpose, role, "bytes", counted, static_cast<double>(sum.receivedBytes) / n});
    out.push_back({"change.cpu." + purpose, role, "us", timed, sum.handleUs / n});
  }
}

}  // namespace

Measurements measureChanges(Sizes const& sizes) {
  if (sizes.tenants == 0) throw SizesError("tenants: there is no tenant to change");
  Fleet fleet(sizes);
  startAndStabilize(fleet);
  core::RandomGenerator rng(static_cast<std::uint64_t>(sizes.seed) ^ 0xC4);
  ChangeCosts costs;
  for (int i = 0; i < changesTried; ++i) tryChange(costs, fleet, sizes, rng);
  Measurements out;
  out.push_back({"answered", "operator", "share", counted, static_cast<double>(costs.acknowledged) / changesTried});
  out.push_back({"in_force.median", "operator", "ms", counted, median(costs.acknowledgeTimes)});
  out.push_back({"in_force.most", "operator", "ms", counted, maximum(costs.acknowledgeTimes)});
  out.push_back({"everywhere.most", "router", "ms", counted, maximum(costs.applyTimes)});
  for (bool const control : {false, true}) addCosts(out, costs, fleet, control);
  out.push_back({"change.disk", "controller", "bytes", counted,
                 costs.diskBytes / static_cast<double>(sizes.control) / changesTried});
  return out;
}

}  // namespace corkward::testing::capacity
