#pragma once

/// The registers of all keys of one member.

#include <cstdint>
#include <map>
#include <string>

#include <corkward/consensus/types.h>
#include "register.h"

namespace corkward::consensus {

class EventContext;

/// Holds the registers by key, with the operations on all of them.
class RegisterTable {
 public:
  using Map = std::map<std::string, Register>;

  /// Returns the key's register, which is created at first use. References stay valid until resetAfterRemoval.
  Register& at(std::string const& key);
  /// Returns nullptr if the key's register was not created yet.
  Register const* find(std::string const& key) const;
  Register* find(std::string const& key);

  void onTimer(EventContext& context);
  /// Gives up every key that this member owns or is a candidate for.
  void stepDownAll(EventContext& context, StepDownReason reason);
  /// Gives up every key, fails the queued calls and deletes all registers.
  void resetAfterRemoval(EventContext& context);
  /// Records a member's reply to the heartbeat sent at `heartbeatSentAt`. The reply confirms the ownership of all keys
  /// except those in `higherBallots`, for which the member has promised a higher ballot.
  void confirmReads(EventContext& context, std::string const& memberId, Milliseconds heartbeatSentAt,
                    transport::Revisions const& higherBallots);
  /// Returns the oldest membership revision from which prepare and accept requests for the key are allowed. Members
  /// check it in phases 1 and 2, so that a majority of an older membership cannot choose a value concurrently with a
  /// majority of the current one.
  std::uint64_t oldestMembershipAllowed(EventContext const& context, std::string const& key);

  std::size_t ownedCount() const;
  /// Returns the owned keys with their ballot numbers.
  transport::Revisions ownedKeys() const;
  /// Returns the keys that have an accepted value, with its revision.
  transport::Revisions acceptedRevisions() const;
  /// Returns the ticket of the latest write of an acceptor's state.
  std::uint64_t newestTicket() const;

  Map::iterator begin() { return registers_.begin(); }
  Map::iterator end() { return registers_.end(); }
  Map::const_iterator begin() const { return registers_.begin(); }
  Map::const_iterator end() const { return registers_.end(); }
  /// Returns the first register with a key greater than the given one.
  Map::const_iterator after(std::string const& key) const { return registers_.upper_bound(key); }
  void addTo(Fingerprint& fingerprint, Persistence const& persistence) const;

 private:
  Map registers_;
};

}  // namespace corkward::consensus
