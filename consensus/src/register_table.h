#pragma once

/// The registers of all keys of one member.

#include <cstdint>
#include <map>
#include <string>

#include <corkward/consensus/types.h>
#include "register.h"

namespace corkward::consensus {

class EventContext;

/// Registers by key, and what is done to all of them.
class RegisterTable {
 public:
  using Map = std::map<std::string, Register>;

  /// The key's register, which is created at first use. References stay valid until resetAfterRemoval.
  Register& at(std::string const& key);
  /// nullptr: none was used yet.
  Register const* find(std::string const& key) const;
  Register* find(std::string const& key);

  void onTimer(EventContext& context);
  /// Gives up every key that this member owns or prepares.
  void stepDownAll(EventContext& context, StepDownReason reason);
  /// Gives up every key, fails the queued calls and forgets all registers.
  void resetAfterRemoval(EventContext& context);
  /// A member has replied to a heartbeat of `heartbeatSentAt`. It confirms the ownership of all keys but those for
  /// which it has promised a higher ballot.
  void confirmReads(EventContext& context, std::string const& memberId, Milliseconds heartbeatSentAt,
                    transport::Revisions const& higherBallots);
  /// Oldest membership revision from which ballots on the key are allowed. Members compare it in phases 1 and 2, so
  /// that no majority of an older membership can choose a value beside the present one.
  std::uint64_t oldestMembershipAllowed(EventContext const& context, std::string const& key);

  std::size_t ownedCount() const;
  /// Owned keys with their ballot numbers.
  transport::Revisions ownedKeys() const;
  /// Keys with an accepted value and its revision.
  transport::Revisions acceptedRevisions() const;
  /// Ticket of the newest acceptor write.
  std::uint64_t newestTicket() const;

  Map::iterator begin() { return registers_.begin(); }
  Map::iterator end() { return registers_.end(); }
  Map::const_iterator begin() const { return registers_.begin(); }
  Map::const_iterator end() const { return registers_.end(); }
  /// First register with a greater key.
  Map::const_iterator after(std::string const& key) const { return registers_.upper_bound(key); }
  void addTo(Fingerprint& fingerprint, Persistence const& persistence) const;

 private:
  Map registers_;
};

}  // namespace corkward::consensus
