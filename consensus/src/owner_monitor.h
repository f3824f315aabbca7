#pragma once

/// Tracks which member owns a key and when this member should start an election for it.

#include <optional>
#include <string>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// The owner of one key as known to this member, with the election timer.
class OwnerMonitor {
 public:
  /// Starts the timeout for a key whose value was loaded from the disk and that no member has claimed since this
  /// member's start.
  void startUnclaimed(Milliseconds now);
  /// Records that a heartbeat of the owner lists the key.
  void ownerAnnounced(std::string const& memberId, Milliseconds now);
  /// Records that this member accepted a value from the owner.
  void ownerAccepted(std::string const& memberId, Milliseconds now);
  /// Records that a candidate prepares a ballot, so the key is no longer unclaimed.
  void candidateObserved() { unclaimed_ = false; }
  /// Restarts the timeout of the owner or candidate.
  void restartTimeout(Milliseconds now) { lastContactAt_ = now; }
  /// Records that this member starts an election.
  void electionStarted();
  void setOwner(std::string const& memberId) { owner_ = memberId; }
  /// Records that this member gave up the key.
  void steppedDown(Milliseconds now);

  void scheduleElection(Milliseconds at) { electionAt_ = at; }
  /// Returns the time of the scheduled election, or std::nullopt if none is scheduled.
  std::optional<Milliseconds> electionAt() const;
  /// Returns true if no member has claimed the key since this member started.
  bool isUnclaimed() const { return unclaimed_; }
  bool timedOut(Milliseconds now, Milliseconds timeout) const { return now - lastContactAt_ > timeout; }
  /// Id of the last known owner, which may be unreachable by now. Empty if no owner is known.
  std::string const& owner() const { return owner_; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  std::string owner_;
  /// Time of the last contact with the owner or with a candidate whose ballot was promised. Before the first contact,
  /// the time when this member started.
  Milliseconds lastContactAt_ = 0;
  /// Time of the scheduled election, or 0 if none is scheduled.
  Milliseconds electionAt_ = 0;
  bool unclaimed_ = false;
};

}  // namespace corkward::consensus
