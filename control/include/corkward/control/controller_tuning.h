#pragma once

#include <corkward/consensus/types.h>
#include <corkward/quota/quota_coordinator.h>

namespace corkward::control {

using core::Milliseconds;

/// Starting values of the control plane; times in milliseconds.
struct ControllerTuning {
  consensus::ConsensusTuning registers;
  /// A router without a serving lease this fresh rejects new work; see dataplane::Tuning::confirmFor.
  Milliseconds servingLeaseDuration = 1500;
  /// What clocks may differ by over one lease.
  Milliseconds servingLeaseMargin = 200;
  /// A change whose rollout is not complete by then is answered as pending.
  Milliseconds rolloutTimeout = 4000;
  /// A call that its key's owner has not answered by then is answered as unknown.
  Milliseconds forwardTimeout = 9000;
  /// A read is answered after this long at the latest when no contact with a majority began since it arrived: callers
  /// go on to another machine after a second.
  Milliseconds quorumConfirmationTimeout = 800;
  /// A forwarded call is sent again after this long; its change id keeps it from being applied twice.
  Milliseconds resendEvery = 1500;
  /// A configuration update that is not acknowledged is sent again after this long.
  Milliseconds repushEvery = 300;
  /// A router of the roster that is not heard for this long is removed from it.
  Milliseconds removeSilentRouterAfter = 60000;
  /// After this long nothing is stored of a silent router that is not on the roster.
  Milliseconds forgetAfter = 600000;
  Milliseconds warmupLeaseDuration = 1500;
  /// Lease of a singleton role of the operators' programs, such as the alert watch.
  Milliseconds singletonLeaseDuration = 15000;
  /// A router that an incomplete rollout waits for is probed after so long a silence.
  Milliseconds probeAfter = 400;
  /// False: a change is answered as soon as it is on a majority of the disks.
  bool awaitRollout = true;
  /// How often controllers report the routers' status to each other: ordinarily, while a rollout is incomplete, and
  /// while the newest incomplete rollout is younger than rolloutStartPeriod.
  Milliseconds statusReportEvery = 500;
  Milliseconds statusReportDuringRollout = 100;
  Milliseconds statusReportAtRolloutStart = 20;
  Milliseconds rolloutStartPeriod = 400;
  /// A router that has sent no request here for this long is not reported as served from here.
  Milliseconds routerSessionTimeout = 2000;
  /// What tenants may send beyond their limits.
  quota::OverdraftAllowance quotaAllowance;
};

}  // namespace corkward::control
