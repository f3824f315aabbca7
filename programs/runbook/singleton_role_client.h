#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>

#include "operator_client.h"

namespace corkward::programs {

/// Competes for a role that one process holds at a time, as a lease granted by a majority of the controllers with a
/// disk. Terms rise with each holder (a fencing token). The lease counts from before it was requested, so it ends here
/// before any controller takes it for ended.
class SingletonRoleClient {
 public:
  /// @param controllers all of them, ip:port: the lease needs a majority
  /// @param role name of the role
  /// @param holder random id of this process
  SingletonRoleClient(std::vector<std::string> controllers, std::string role, std::string holder);
  /// Requests the lease, or its extension.
  /// @return whether this process holds it
  bool renew();
  bool holdsRole() const;
  /// Term of the lease that was granted last.
  std::uint64_t term() const { return term_; }
  /// Hands the lease to one of the contenders.
  void release();

 private:
  /// What the controllers answered to one request for the lease.
  struct Votes {
    std::set<std::string> grantedBy;
    /// Members by the newest membership that was seen, and its revision.
    std::set<std::string> members;
    std::uint64_t membersRevision = 0;
    std::uint64_t term = 0;

    void add(QJsonObject const& page);
    bool isMajority() const;
  };

  OperatorReply call(std::string const& controller, core::HttpMethod method, std::string const& successor) const;

  std::vector<std::string> controllers_;
  std::string role_;
  std::string holder_;
  /// End of the lease by the boot clock; 0: not held.
  core::Milliseconds expiresAt_ = 0;
  std::uint64_t term_ = 0;
  /// Others that requested the role, by the newest answers.
  std::set<std::string> contenders_;
};

}  // namespace corkward::programs
