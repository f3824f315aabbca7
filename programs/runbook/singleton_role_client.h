#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>

#include "operator_client.h"

namespace corkward::programs {

/// Client for a singleton role, which at most one process holds at a time. The role is a lease that a majority of the
/// consensus members, which are controllers with a disk, grants. The term increases with each holder and serves as a
/// fencing token. The client counts the lease from before the request, so the lease ends for the client before it ends
/// for any controller.
class SingletonRoleClient {
 public:
  /// @param controllers addresses of all controllers, ip:port, since the lease needs a majority
  /// @param role name of the role
  /// @param holder random id of this process
  SingletonRoleClient(std::vector<std::string> controllers, std::string role, std::string holder);
  /// Requests the lease, or its extension.
  /// @return whether this process holds the role
  bool renew();
  bool holdsRole() const;
  /// Returns the term of the lease that was granted last.
  std::uint64_t term() const { return term_; }
  /// Releases the lease and names one of the contenders, if any, as successor.
  void release();

 private:
  /// The controllers' replies to one request for the lease.
  struct Votes {
    std::set<std::string> grantedBy;
    /// Members of the newest membership in the replies.
    std::set<std::string> members;
    /// Revision of that membership.
    std::uint64_t membersRevision = 0;
    std::uint64_t term = 0;

    void add(QJsonObject const& page);
    bool isMajority() const;
  };

  OperatorReply call(std::string const& controller, core::HttpMethod method, std::string const& successor) const;

  std::vector<std::string> controllers_;
  std::string role_;
  std::string holder_;
  /// End of the lease by the boot clock; 0 if the lease is not held.
  core::Milliseconds expiresAt_ = 0;
  std::uint64_t term_ = 0;
  /// Other processes that requested the role, according to the newest replies.
  std::set<std::string> contenders_;
};

}  // namespace corkward::programs
