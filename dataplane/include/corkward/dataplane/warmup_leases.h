#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/scaling/scaling.h>

namespace corkward::dataplane {

using core::Milliseconds;
using core::NameIndex;

/// The warm-up leases of one router: which warming replicas it alone may send requests to, and how fast. A lease is
/// held once a majority of the controllers granted the same request for it.
class WarmupLeases {
 public:
  bool holds(Milliseconds now, NameIndex replica) const;
  /// When the newest lease of the replica ends; below zero: there is none.
  Milliseconds expiresAt(NameIndex replica) const;

  /// The replica needs no lease of this router. True when it held one.
  bool withdraw(Milliseconds now, NameIndex replica);
  /// The replica needs a lease. True when it is to be requested now: one that is held is renewed, one that is free is
  /// requested after a delay (milliseconds), so that the routers do not compete.
  bool shouldRequest(Milliseconds now, NameIndex replica, Milliseconds delay);
  /// Another router holds the lease until this time at the latest.
  void deny(NameIndex replica, Milliseconds until);
  /// A member granted the request that was sent at that time. True when the router holds the lease from now on and did
  /// not before.
  bool grant(Milliseconds now, NameIndex replica, Milliseconds requestSentAt, std::string const& member,
             std::vector<std::string> const& members, Milliseconds duration);

  /// The lease is held and its rate (requests per second) leaves room for a request.
  bool hasToken(Milliseconds now, NameIndex replica, double rate) const;
  /// Takes the room for a request; false when there is none. The replica must be known here.
  bool takeToken(Milliseconds now, NameIndex replica, double rate);

  /// Ends all leases; which of them were held, in order.
  std::vector<NameIndex> releaseAll(Milliseconds now);
  void forget(NameIndex replica) { leases_.erase(replica); }

 private:
  struct Lease {
    /// The lease is held before this time.
    Milliseconds until = -1;
    /// Another router may hold the lease before this time.
    Milliseconds heldElsewhereUntil = 0;
    /// Since when the replica needs the lease without a break; below zero: it does not.
    Milliseconds wantedSince = -1;
    /// Members that granted a request, by the time at which it was sent; bounded.
    std::map<Milliseconds, std::set<std::string>> grants;
    /// Starts anew with each lease.
    scaling::SlowStartBucket bucket;
  };

  std::map<NameIndex, Lease> leases_;
};

}  // namespace corkward::dataplane
