// Grants the leases by which one router warms up a replica.
#include <corkward/control/controller.h>

namespace corkward::control {

namespace {

/// Margin by which a lease that was granted in an earlier run or under an earlier membership may outlast its duration.
constexpr Milliseconds grantMargin = 500;

}  // namespace

bool Controller::mayGrantLeases(Milliseconds now, Milliseconds duration) const {
  if (!ready(now) || now - startedAt_ < duration + grantMargin) return false;
  bool const votedLongEnough =
      lastWithoutVoteAt_ < 0 || now - lastWithoutVoteAt_ >= duration + tuning_.servingLeaseDuration + grantMargin;
  return votedLongEnough;
}

void Controller::on(ControllerCommands& out, Milliseconds now, std::string const& from,
                    transport::WarmupLeaseRequest const& request) {
  LeaseTable::Claim const claim{request.replica, request.link, request.incarnation, tuning_.warmupLeaseDuration};
  if (request.release) {
    leases_.release(now, claim, request.successor);
    return;
  }
  if (!mayGrantLeases(now, claim.duration)) return;
  std::optional<LeaseTable::Grant> const grant = leases_.acquire(now, claim);
  if (!grant) return;
  out.sends.push_back(
      transport::Send{from, transport::WarmupLeaseGrant{request.sentAt, request.replica, registers_.self().id,
                                                        grant->granted, grant->term, grant->holder}});
}

}  // namespace corkward::control
