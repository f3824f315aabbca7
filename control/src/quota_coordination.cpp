#include <corkward/control/quota_coordination.h>

#include <variant>

namespace corkward::control {

std::vector<transport::Send> QuotaCoordination::sendsOf(std::vector<quota::Send>&& sends) {
  std::vector<transport::Send> out;
  for (quota::Send& send : sends)
    std::visit([&](auto& message) { out.push_back(transport::Send{send.to, std::move(message)}); }, send.message);
  return out;
}

void QuotaCoordination::configure(Milliseconds now, config::FleetConfiguration const& configuration) {
  std::map<std::string, quota::Limit> limits;
  for (config::Tenant const& tenant : configuration.tenants)
    if (tenant.ratePerSecond > 0) limits[tenant.name] = quota::Limit{tenant.ratePerSecond, tenant.burst};
  coordinator_.configure(now, std::move(limits));
}

void QuotaCoordination::refreshMembers(Milliseconds now, consensus::ReplicatedRegisters const& registers) {
  std::vector<std::string> links;
  for (consensus::Member const& member : registers.membership()) links.push_back(member.link);
  if (links == view_.members) return;
  view_.members = std::move(links);
  membersSince_ = now;
}

void QuotaCoordination::refreshRouters(Roster const& roster) {
  if (roster.revision() == rosterRevision_) return;
  rosterRevision_ = roster.revision();
  view_.routers = roster.nodes();
  view_.routers.insert(roster.previousNodes().begin(), roster.previousNodes().end());
  view_.routers.insert(roster.departed().begin(), roster.departed().end());
}

void QuotaCoordination::refreshPermissions(Milliseconds now, ClusterStatus const& status) {
  // Recent contact with a majority also implies that this controller has accepted no newer membership that it does not
  // know as chosen. So a controller that took part in removing a member does not renew a lease of that member.
  Milliseconds const wait = quota::grantDelayAfterStart;
  Milliseconds const contactAge = status.registers.quorumContactAge(now);
  bool const hasContact = contactAge >= 0 && contactAge <= status.servingLeaseDuration;
  bool const mayRenew = hasContact && now - status.startedAt > wait;
  bool const mayGrant = mayRenew && now - membersSince_ > wait;
  view_.grantPermission = mayGrant   ? quota::GrantPermission::all
                          : mayRenew ? quota::GrantPermission::renewals
                                     : quota::GrantPermission::none;
  view_.aliveMembers = status.registers.aliveLinks(now);
  view_.quorumContactSince = contactAge < 0 ? -1 : now - contactAge;
  view_.draining = status.draining;
}

std::vector<transport::Send> QuotaCoordination::onTimer(Milliseconds now, ClusterStatus const& status) {
  refreshMembers(now, status.registers);
  refreshRouters(status.roster);
  refreshPermissions(now, status);
  return sendsOf(coordinator_.clockEvent(now, view_));
}

}  // namespace corkward::control
