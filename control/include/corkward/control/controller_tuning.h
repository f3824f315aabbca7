#pragma once

#include <corkward/consensus/types.h>
#include <corkward/quota/quota_coordinator.h>

namespace corkward::control {

using core::Milliseconds;

/// Parameters of the control plane, with their default values. Durations are in milliseconds.
struct ControllerTuning {
  consensus::ConsensusTuning registers;
  /// A router whose last serving lease is older than this rejects new requests; see dataplane::Tuning::confirmFor.
  Milliseconds servingLeaseDuration = 1500;
  /// Largest drift between two clocks over the duration of one lease.
  Milliseconds servingLeaseMargin = 200;
  /// A change whose rollout takes longer is answered as pending.
  Milliseconds rolloutTimeout = 4000;
  /// A call without a reply from the key's owner after this long is answered: a change as unknown, a read as not
  /// confirmed.
  Milliseconds forwardTimeout = 9000;
  /// An operator call is answered after this long if no contact with a majority of the disks has begun since the call
  /// arrived. It is below one second because operators' programs try another machine after a second.
  Milliseconds quorumConfirmationTimeout = 800;
  /// An order without a base revision is held for this long before its caller is looked for. It covers a round trip,
  /// after which the end of a connection may follow its bytes, and leaves time to answer within the operators' second.
  /// 0 carries orders out at once, whether or not their callers wait.
  Milliseconds callerConfirmationDelay = 400;
  /// A forwarded call without a reply is sent again after this long. Its change id keeps it from being applied twice.
  Milliseconds resendEvery = 1500;
  /// A configuration update without an acknowledgement is sent again after this long.
  Milliseconds repushEvery = 300;
  /// A router without contact for this long is removed from the roster.
  Milliseconds removeUnresponsiveRouterAfter = 60000;
  /// A router that is not on the roster is forgotten after this long without contact.
  Milliseconds forgetRouterAfter = 600000;
  /// Lease by which one router warms up a replica.
  Milliseconds warmupLeaseDuration = 1500;
  /// Lease of a singleton role that operators' programs share, such as the alert watch.
  Milliseconds singletonLeaseDuration = 15000;
  /// A router that an incomplete rollout waits for is probed after this long without contact.
  Milliseconds probeAfter = 400;
  /// If false, a change is answered as soon as it is on a majority of the disks, without waiting for the routers.
  bool awaitRollout = true;
  /// Interval at which controllers report the routers' status to each other while all rollouts are complete.
  Milliseconds statusReportEvery = 500;
  /// The same interval while a rollout is incomplete.
  Milliseconds statusReportDuringRollout = 100;
  /// The same interval while the newest incomplete rollout is younger than rolloutStartPeriod.
  Milliseconds statusReportAtRolloutStart = 20;
  Milliseconds rolloutStartPeriod = 400;
  /// A router without a lease request for this long is not reported as served by this controller.
  Milliseconds routerSessionTimeout = 2000;
  /// How far tenants may exceed their limits.
  quota::OverdraftAllowance quotaAllowance;
};

}  // namespace corkward::control
