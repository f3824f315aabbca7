#pragma once

/// Identity and life cycle of this member.

#include <cstdint>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "fingerprint.h"
#include "records.h"

namespace corkward::consensus {

class EventContext;

/// Who this member is, and how far it is on its path from an empty disk to a voting member and to its removal.
class LocalMember {
 public:
  LocalMember(Member self, std::vector<std::string> founders);

  /// Identity and state that the disk returned.
  void restore(records::Metadata const& metadata);
  /// Takes an id that was never used, since this member's disk has none that counts, and writes it.
  void assignInitialId(EventContext& context);
  /// This member may not bootstrap a cluster any more.
  void forgetFounders() { founders_.clear(); }
  /// A membership that contains this member was adopted.
  void joined() { hasNoState_ = false; }
  /// A membership without this member was adopted: its state is dropped with the next timer event.
  void markRemoved() { removed_ = !hasNoState_; }
  /// Back to the state of an empty disk, under an id that was never used.
  void resetAfterRemoval(EventContext& context);
  /// This member has caught up, and that is on its disk.
  void startVoting() { voting_ = true; }
  void startDraining() { draining_ = true; }
  void onPersisted(std::uint64_t ticket);

  Member const& self() const { return self_; }
  std::string const& id() const { return self_.id; }
  std::string const& link() const { return self_.link; }
  /// Link addresses of the founders; empty unless this member may bootstrap a cluster.
  std::vector<std::string> const& founders() const { return founders_; }
  bool isFounder(std::string const& link) const;
  /// Has caught up under some membership. It votes unless its disk fails or it was removed.
  bool mayVote() const { return voting_; }
  bool hasNoState() const { return hasNoState_; }
  bool isRemoved() const { return removed_; }
  bool isDraining() const { return draining_; }
  /// The member's id is on its disk. Before that it must not be used.
  bool hasDurableId() const { return idTicket_ == 0; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  void assignId(EventContext& context, std::string id);

  Member self_;
  /// Id that the process was started with; ids after a removal are derived from it.
  std::string initialId_;
  std::uint64_t derivedIds_ = 0;
  std::vector<std::string> founders_;
  bool voting_ = false;
  bool hasNoState_ = true;
  bool removed_ = false;
  bool draining_ = false;
  /// Ticket of the write of a new id; 0: none is pending.
  std::uint64_t idTicket_ = 0;
};

}  // namespace corkward::consensus
