// Lending of tenants' limits: what the lender is told of this controller, and its messages.
#include "internal.h"

namespace corkward::control {

namespace {

template <class Sends>
void append(ControllerCommands& out, Sends&& sends) {
  for (quota::Send& send : sends)
    std::visit([&](auto& message) { out.sends.push_back(transport::Send{send.to, std::move(message)}); }, send.message);
}

}  // namespace

void Controller::refreshStanding(Tick now) {
  std::vector<std::string> links;
  for (consensus::Member const& m : registers_.membership()) links.push_back(m.link);
  if (links != standing_.members) {
    standing_.members = std::move(links);
    membersSince_ = now;
  }
  if (std::uint64_t const roster = committedRevision(rosterKey); roster != standingRoster_) {
    standingRoster_ = roster;
    standing_.routers = roster_.nodes;
    standing_.routers.insert(roster_.previous.begin(), roster_.previous.end());
    standing_.routers.insert(roster_.gone.begin(), roster_.gone.end());
  }
  // Contact with a majority also says that no newer membership was accepted here without being known as chosen: a
  // member that may have been struck off is not renewed by one that took part in striking it off.
  Tick const wait = quota::grantDelayAfterStart;
  Tick const age = registers_.quorumContactAge(now);
  bool const inTouch = age >= 0 && age <= tuning_.servingLeaseDuration;
  bool const mayRenew = inTouch && now - started_ > wait;
  bool const mayGrant = mayRenew && now - membersSince_ > wait;
  standing_.grantPermission = mayGrant   ? quota::GrantPermission::all
                              : mayRenew ? quota::GrantPermission::renewals
                                         : quota::GrantPermission::none;
  standing_.aliveMembers = registers_.aliveLinks(now);
  standing_.quorumContactSince = age < 0 ? -1 : now - age;
  standing_.draining = draining_;
}

void Controller::lendLimits(ControllerCommands& out, Tick now) {
  refreshStanding(now);
  append(out, lender_.clockEvent(now, standing_));
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from, quota::UsageReport const& m) {
  append(out, lender_.onMessage(now, from, m, standing_));
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from, quota::AllocationReport const& m) {
  append(out, lender_.onMessage(now, from, m, standing_));
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from, quota::PartitionLeaseRequest const& m) {
  append(out, lender_.onMessage(now, from, m, standing_));
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from, quota::PartitionLeaseReply const& m) {
  append(out, lender_.onMessage(now, from, m, standing_));
}

}  // namespace corkward::control
