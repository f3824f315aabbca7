#pragma once

/// Messages about warmup leases: the router that holds the lease of a replica may send requests to it while it warms
/// up.

#include <cstdint>
#include <string>

#include <corkward/core/types.h>

namespace corkward::transport {

/// Sent by a router to the controllers to acquire, renew or release the warmup lease of a replica. The reply is
/// WarmupLeaseGrant, unless the lease is released or the controller may not grant leases at present.
struct WarmupLeaseRequest {
  /// Time on the sender's clock.
  core::Milliseconds sentAt = 0;
  std::string replica;
  /// Link address of the sender, and the incarnation of that process.
  std::string link;
  std::uint64_t incarnation = 0;
  /// True if the sender releases the lease.
  bool release = false;
  /// With `release`: link address of the router that should get the lease next; empty if there is none.
  std::string successor;
  template <class F>
  void each(F& f) {
    f("t", sentAt);
    f("r", replica);
    f("l", link);
    f("i", incarnation);
    f("e", release);
    f("s", successor);
  }
};

/// Sent by a member in reply to a WarmupLeaseRequest. A router holds the lease if a majority of the members has granted
/// it.
struct WarmupLeaseGrant {
  /// WarmupLeaseRequest::sentAt of the request.
  core::Milliseconds requestSentAt = 0;
  std::string replica;
  /// Id of the member that replies.
  std::string member;
  bool granted = false;
  /// Number of the lease, which rises with each new holder.
  std::uint64_t term = 0;
  /// Link address of the router that holds the lease by this member's grant.
  std::string holder;
  template <class F>
  void each(F& f) {
    f("t", requestSentAt);
    f("r", replica);
    f("m", member);
    f("o", granted);
    f("e", term);
    f("h", holder);
  }
};

}  // namespace corkward::transport
