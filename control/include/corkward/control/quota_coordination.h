#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/consensus/replicated_registers.h>
#include <corkward/control/roster.h>
#include <corkward/quota/quota_coordinator.h>
#include <corkward/transport/message.h>

namespace corkward::control {

/// Joins the quota coordinator with what this controller knows of the members and the routers.
class QuotaCoordination {
 public:
  /// What the membership view is built from.
  struct ClusterStatus {
    consensus::ReplicatedRegisters const& registers;
    Roster const& roster;
    /// When this process started.
    Milliseconds startedAt = 0;
    Milliseconds servingLeaseDuration = 0;
    bool draining = false;
  };

  QuotaCoordination(std::string link, std::uint64_t incarnation, quota::OverdraftAllowance const& allowance)
      : coordinator_(std::move(link), incarnation, allowance) {}

  /// Takes the tenants' limits from a newly committed configuration.
  void configure(Milliseconds now, config::FleetConfiguration const& configuration);
  /// Brings the membership view up to date and lets the coordinator act.
  std::vector<transport::Send> onTimer(Milliseconds now, ClusterStatus const& status);
  /// A message of the quota protocol.
  template <class Message>
  std::vector<transport::Send> onMessage(Milliseconds now, std::string const& from, Message const& message) {
    return sendsOf(coordinator_.onMessage(now, from, message, view_));
  }
  /// Partitions of the limits that this controller coordinates.
  std::size_t ownedPartitionCount(Milliseconds now) const { return coordinator_.ownedPartitionCount(now, view_); }

 private:
  static std::vector<transport::Send> sendsOf(std::vector<quota::Send>&& sends);
  void refreshMembers(Milliseconds now, consensus::ReplicatedRegisters const& registers);
  void refreshRouters(Roster const& roster);
  void refreshPermissions(Milliseconds now, ClusterStatus const& status);

  quota::QuotaCoordinator coordinator_;
  /// As of the last timer event.
  quota::MembershipView view_;
  /// Since when the members are those of the view.
  Milliseconds membersSince_ = 0;
  /// Revision of the roster whose routers the view has.
  std::uint64_t rosterRevision_ = 0;
};

}  // namespace corkward::control
