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

/// The warm-up leases of one router. A lease lets one router alone send requests to a replica that is warming up, at a
/// limited rate. A router holds a lease once a majority of the controllers granted the same request for it.
class WarmupLeases {
 public:
  bool holds(Milliseconds now, NameIndex replica) const;
  /// When this router's newest lease on the replica expires. Negative if there is none.
  Milliseconds expiresAt(NameIndex replica) const;

  /// Gives up the lease because the replica does not need it any more. Returns true if the router held it.
  bool withdraw(Milliseconds now, NameIndex replica);
  /// Called while the replica needs a lease. Returns true if the lease is to be requested now: at once to renew a held
  /// lease, or after `delay` milliseconds if no router holds it, so that routers do not compete.
  bool shouldRequest(Milliseconds now, NameIndex replica, Milliseconds delay);
  /// Records that another router holds the lease until `until` at the latest.
  void deny(NameIndex replica, Milliseconds until);
  /// Records that a member granted the request that was sent at `requestSentAt`. Returns true if the router acquired
  /// the lease by this grant; a renewal returns false.
  bool grant(Milliseconds now, NameIndex replica, Milliseconds requestSentAt, std::string const& member,
             std::vector<std::string> const& members, Milliseconds duration);

  /// The router holds the lease, and the rate (requests per second) allows another request now.
  bool hasToken(Milliseconds now, NameIndex replica, double rate) const;
  /// Takes a token for a request. Returns false if there is none. The replica must have an entry here.
  bool takeToken(Milliseconds now, NameIndex replica, double rate);

  /// Releases all leases. Returns the replicas whose lease was held, in ascending order.
  std::vector<NameIndex> releaseAll(Milliseconds now);
  void forget(NameIndex replica) { leases_.erase(replica); }

 private:
  struct Lease {
    /// This router holds the lease before this time.
    Milliseconds until = -1;
    /// Another router may hold the lease before this time.
    Milliseconds heldByOtherUntil = 0;
    /// Since when the replica has needed the lease without interruption. Negative if it does not need it.
    Milliseconds wantedSince = -1;
    /// Members that granted each request, by the time at which the request was sent. Bounded.
    std::map<Milliseconds, std::set<std::string>> grants;
    /// Replaced by a new bucket whenever the router acquires the lease.
    scaling::SlowStartBucket bucket;
  };

  std::map<NameIndex, Lease> leases_;
};

}  // namespace corkward::dataplane
