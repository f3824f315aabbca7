#pragma once

/// Which member owns a key, as far as this one knows, and when this one should start an election.

#include <optional>
#include <string>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// Owner of one key as seen by one member, with the election timer.
class OwnerMonitor {
 public:
  /// The disk has a value of the key, and nobody has claimed it since the start.
  void startUnclaimed(Milliseconds now);
  /// A heartbeat of the owner names the key.
  void ownerAnnounced(std::string const& memberId, Milliseconds now);
  /// The owner had this member accept a value.
  void ownerAccepted(std::string const& memberId, Milliseconds now);
  /// A candidate prepares a ballot: some member claims the key.
  void candidateHeard() { unclaimed_ = false; }
  /// Gives the owner or candidate a full timeout from now on.
  void restartTimeout(Milliseconds now) { lastHeardAt_ = now; }
  /// This member starts an election.
  void electionStarted();
  void setOwner(std::string const& memberId) { owner_ = memberId; }
  /// This member gave up the key.
  void steppedDown(Milliseconds now);

  void scheduleElection(Milliseconds at) { electionAt_ = at; }
  /// Time of the scheduled election, if there is one.
  std::optional<Milliseconds> electionAt() const;
  /// No member has claimed the key since this one started.
  bool isUnclaimed() const { return unclaimed_; }
  bool timedOut(Milliseconds now, Milliseconds timeout) const { return now - lastHeardAt_ > timeout; }
  /// Id of the last known owner, which may be silent by now; empty: none.
  std::string const& owner() const { return owner_; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  std::string owner_;
  /// When the owner, or a candidate that was promised, was heard last; at first when this member started.
  Milliseconds lastHeardAt_ = 0;
  /// 0: none is scheduled.
  Milliseconds electionAt_ = 0;
  bool unclaimed_ = false;
};

}  // namespace corkward::consensus
