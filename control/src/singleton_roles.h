#pragma once

/// The HTTP endpoint by which operators' programs share singleton roles, such as the alert watch.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/control/controller_commands.h>
#include <corkward/control/lease_table.h>

namespace corkward::control {

/// What the endpoint needs to know about this member besides its leases.
struct SingletonRoleContext {
  /// True if this member has recent contact with a majority and has been running for longer than a lease lasts, so that
  /// no lease which it granted in an earlier run is still valid.
  bool mayGrant = false;
  Milliseconds leaseDuration = 0;
  std::string memberId;
  std::vector<consensus::Member> const& membership;
  std::uint64_t membershipRevision = 0;
};

/// Returns the name of the role whose endpoint has this path, or std::nullopt if it is not the path of a role.
std::optional<std::string> singletonRoleOf(std::string const& path);

/// Handles a call on a role: PUT acquires or renews the role's lease, DELETE releases it and may name a successor.
OperatorResponse singletonRoleEndpoint(Milliseconds now, LeaseTable& leases, std::string const& role,
                                       transport::OperatorCall const& call, SingletonRoleContext const& context);

}  // namespace corkward::control
