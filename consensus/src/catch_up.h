#pragma once

/// Catching up, on the side of the member that lacks state and on that of the one that has it.
///
/// After each membership change a member copies what it lacks from others, until a majority of the membership, itself
/// included, has sent its snapshot. Then its disk has every value that was chosen before; it reports that in its
/// heartbeats. A new member votes only from then on.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

class EventContext;

/// Snapshots that this member requests and sends.
class CatchUp {
 public:
  /// The disk has a record that this member caught up under the membership of that revision.
  void restore(std::uint64_t caughtUpRevision) { caughtUpRevision_ = caughtUpRevision; }
  /// A membership was adopted: this member has to catch up under it.
  void restart();
  void resetAfterRemoval();

  /// Requests snapshots, or records that this member has caught up, as far as that is due.
  void advance(EventContext& context);
  /// This member has all that was chosen: it writes that down, and votes once that is synced.
  void complete(EventContext& context);
  void onPersisted(EventContext& context, std::uint64_t ticket);
  void onValueRequest(EventContext& context, std::string const& from, transport::ValueRequest const& request);
  void onSnapshotChunk(EventContext& context, std::string const& from, transport::SnapshotChunk const& chunk);

  /// Revision of the membership under which this member caught up last; 0: none.
  std::uint64_t caughtUpRevision() const { return caughtUpRevision_; }
  /// The record that this member has caught up is being written.
  bool isPersisting() const { return pendingTicket_ != 0; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  bool hasCaughtUp(EventContext const& context) const;
  void requestSnapshots(EventContext& context);
  /// Requests chosen values that this member's disk lacks from one other member, with exponential backoff.
  void requestMissingValues(EventContext& context);
  /// A request, under the next number, for the registers with keys after `afterKey`.
  transport::ValueRequest nextRequest(EventContext& context, std::string const& afterKey);
  /// The newer registers of this member, up to the size of one chunk.
  static transport::SnapshotChunk snapshotFor(EventContext const& context, transport::ValueRequest const& request);
  /// Whether the chunk answers a request of this process, under the present membership.
  bool isExpected(EventContext const& context, transport::SnapshotChunk const& chunk) const;

  std::uint64_t caughtUpRevision_ = 0;
  /// Ticket of the record that this member has caught up, and the membership's revision in it; 0: none is being
  /// written.
  std::uint64_t pendingTicket_ = 0;
  std::uint64_t pendingRevision_ = 0;
  /// Ids of the members whose whole snapshot was merged since restart().
  std::set<std::string> copiedFrom_;
  /// When snapshots were requested last; -1: not since restart() or since the last whole snapshot.
  Milliseconds requestedAt_ = -1;
  /// Numbers of this process's first and newest request, 0 before the first. A late reply to a request of an earlier
  /// process, which may have lost what it reported to have, must not count; so the first is random.
  std::uint64_t firstRequest_ = 0;
  std::uint64_t lastRequest_ = 0;
  /// Since when chosen values are missing on this disk, or when they were requested last; -1: none are missing.
  Milliseconds missingSince_ = -1;
  /// Wait until missing values are requested.
  Milliseconds backoff_ = 0;
  /// Counts requests for missing values, so that they go to the members in turn.
  std::size_t missingRequests_ = 0;
};

}  // namespace corkward::consensus
