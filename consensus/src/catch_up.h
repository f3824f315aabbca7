#pragma once

/// Catch-up: how a member requests snapshots of missing state, and how other members serve these requests.
///
/// After each membership change a member requests the registers that it lacks from other members. A member that votes
/// has caught up once the members that sent a complete snapshot form a majority together with it. A member that does
/// not vote yet has caught up once a majority of the other members sent a complete snapshot. Its disk then has every
/// value that was chosen before the change, and its heartbeats report the membership's revision as caught up. A new
/// member votes only after its first catch-up.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class EventContext;

/// Requests snapshots from other members and answers their requests.
class CatchUp {
 public:
  /// Sets the membership revision under which this member last caught up, as recorded on the disk.
  void restore(std::uint64_t caughtUpRevision) { caughtUpRevision_ = caughtUpRevision; }
  /// Starts the catch-up under a newly adopted membership.
  void restart();
  void resetAfterRemoval();

  /// Sends the requests that are due, or starts to record that this member has caught up.
  void advance(EventContext& context);
  /// Records that this member has every value chosen before the membership change. The member votes once the record is
  /// synced.
  void complete(EventContext& context);
  void onPersisted(EventContext& context, std::uint64_t ticket);
  void onValueRequest(EventContext& context, std::string const& from, transport::ValueRequest const& request);
  void onSnapshotChunk(EventContext& context, std::string const& from, transport::SnapshotChunk const& chunk);

  /// The revision of the membership under which this member last caught up, or 0 if it never did.
  std::uint64_t caughtUpRevision() const { return caughtUpRevision_; }
  /// Returns true while the record that this member has caught up is being written.
  bool isPersisting() const { return pendingTicket_ != 0; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  bool hasCaughtUp(EventContext const& context) const;
  void requestSnapshots(EventContext& context);
  /// Requests the committed values that this member's disk lacks from one other member, with exponential backoff.
  void requestMissingValues(EventContext& context);
  /// Returns a request with the next request number for the registers with keys greater than `afterKey`.
  transport::ValueRequest nextRequest(EventContext& context, std::string const& afterKey);
  /// Returns the registers in which this member is ahead of the requester, up to the size of one chunk.
  static transport::SnapshotChunk snapshotFor(EventContext const& context, transport::ValueRequest const& request);
  /// Returns true if the chunk belongs to a request of this process and was sent under the current membership.
  bool isExpected(EventContext const& context, transport::SnapshotChunk const& chunk) const;

  std::uint64_t caughtUpRevision_ = 0;
  /// Ticket of the pending record that this member has caught up, or 0 if no such record is being written.
  std::uint64_t pendingTicket_ = 0;
  /// Membership revision in the pending record.
  std::uint64_t pendingRevision_ = 0;
  /// Ids of the members whose complete snapshot was merged since restart().
  std::set<std::string> copiedFrom_;
  /// Time of the last request for snapshots, or -1 if none was sent since restart() or since the last complete
  /// snapshot.
  Milliseconds requestedAt_ = -1;
  /// Numbers of this process's first and latest request, or 0 before the first one. The first number is random, so that
  /// a late reply to a request of an earlier process on this machine is not mistaken for a reply to this process. That
  /// reply leaves out registers that the earlier process reported as known, which this process may lack.
  std::uint64_t firstRequest_ = 0;
  std::uint64_t lastRequest_ = 0;
  /// When committed values were first found missing on this disk, or when they were last requested. It is -1 if no
  /// value is missing.
  Milliseconds missingSince_ = -1;
  /// Time to wait before the next request for missing values.
  Milliseconds backoff_ = 0;
  /// Number of requests for missing values. It selects the members round robin.
  std::size_t missingRequests_ = 0;
};

}  // namespace corkward::consensus
