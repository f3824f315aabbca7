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

/// Connects the quota coordinator to what this controller knows about the members and the routers.
class QuotaCoordination {
 public:
  /// Input from which the membership view is built.
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

  /// Updates the tenants' limits from a newly committed fleet configuration.
  void configure(Milliseconds now, config::FleetConfiguration const& configuration);
  /// Updates the membership view and runs the coordinator's timer.
  std::vector<transport::Send> onTimer(Milliseconds now, ClusterStatus const& status);
  /// Handles a message of the quota protocol.
  template <class Message>
  std::vector<transport::Send> onMessage(Milliseconds now, std::string const& from, Message const& message) {
    return sendsOf(coordinator_.onMessage(now, from, message, view_));
  }
  /// Returns how many partitions of the tenants' limits this controller coordinates.
  std::size_t ownedPartitionCount(Milliseconds now) const { return coordinator_.ownedPartitionCount(now, view_); }

 private:
  static std::vector<transport::Send> sendsOf(std::vector<quota::Send>&& sends);
  void refreshMembers(Milliseconds now, consensus::ReplicatedRegisters const& registers);
  void refreshRouters(Roster const& roster);
  void refreshPermissions(Milliseconds now, ClusterStatus const& status);

  quota::QuotaCoordinator coordinator_;
  /// As of the last timer event.
  quota::MembershipView view_;
  /// When the view's set of members last changed.
  Milliseconds membersSince_ = 0;
  /// Revision of the roster from which the view's routers were taken.
  std::uint64_t rosterRevision_ = 0;
};

}  // namespace corkward::control
