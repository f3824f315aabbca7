#pragma once

/// The identity and life cycle of this member.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"
#include "records.h"

namespace corkward::consensus {

class EventContext;

/// Holds this member's id and its state in the life cycle: empty disk, joined, voting, draining, removed.
class LocalMember {
 public:
  LocalMember(Member self, std::vector<std::string> founders);

  /// Sets the identity and state that were read from the disk.
  void restore(records::Metadata const& metadata);
  /// Adopts the id that the process was started with and writes it to the disk, which has no valid id.
  void assignInitialId(EventContext& context);
  /// Forgets the founders, so that this member no longer bootstraps a cluster.
  void forgetFounders() { founders_.clear(); }
  /// Records that a membership with this member was adopted.
  void joined() { hasNoState_ = false; }
  /// Records that a membership without this member was adopted. The next timer event drops this member's state.
  void markRemoved() { removed_ = !hasNoState_; }
  /// Returns to the state of an empty disk, under a new id that was never used.
  void resetAfterRemoval(EventContext& context);
  /// Lets this member vote, since the record that it has caught up is synced.
  void startVoting() { voting_ = true; }
  void startDraining() { draining_ = true; }
  void onPersisted(std::uint64_t ticket);

  Member const& self() const { return self_; }
  std::string const& id() const { return self_.id; }
  std::string const& link() const { return self_.link; }
  /// Link addresses of the founders. Empty if this member may not bootstrap a cluster.
  std::vector<std::string> const& founders() const { return founders_; }
  bool isFounder(std::string const& link) const;
  /// Returns true if this member has caught up under some membership. It then votes unless its disk has failed or it
  /// was removed.
  bool mayVote() const { return voting_; }
  bool hasNoState() const { return hasNoState_; }
  bool isRemoved() const { return removed_; }
  bool isDraining() const { return draining_; }
  /// Returns true once the member's id is synced to its disk. The id must not be used before that.
  bool hasDurableId() const { return idTicket_ == 0; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  void assignId(EventContext& context, std::string id);

  Member self_;
  /// The id that the process was started with. Ids after a removal are derived from it.
  std::string initialId_;
  std::uint64_t derivedIds_ = 0;
  std::vector<std::string> founders_;
  bool voting_ = false;
  bool hasNoState_ = true;
  bool removed_ = false;
  bool draining_ = false;
  /// Ticket of the pending write of a new id, or 0 if no such write is pending.
  std::uint64_t idTicket_ = 0;
};

}  // namespace corkward::consensus
