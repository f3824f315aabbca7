#pragma once

/// The page by which operators' programs share singleton roles, such as the alert watch.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/control/controller_commands.h>
#include <corkward/control/lease_table.h>

namespace corkward::control {

/// What the page shows of this member beside the lease.
struct SingletonRoleContext {
  /// This member is in contact with a majority, and has been up for long enough to know of each lease that it granted.
  bool mayGrant = false;
  Milliseconds leaseDuration = 0;
  std::string memberId;
  std::vector<consensus::Member> const& membership;
  std::uint64_t membershipRevision = 0;
};

/// Name of the role that a path is the page of; nothing: it is none.
std::optional<std::string> singletonRoleOf(std::string const& path);

/// PUT takes or renews the role's lease, DELETE gives it up and may name a successor.
OperatorResponse singletonRoleEndpoint(Milliseconds now, LeaseTable& leases, std::string const& role,
                                       transport::OperatorCall const& call, SingletonRoleContext const& context);

}  // namespace corkward::control
