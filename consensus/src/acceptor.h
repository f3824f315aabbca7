#pragma once

/// Acceptor of one key, as in "Paxos Made Simple", section 2.2.

#include <QJsonObject>
#include <compare>
#include <cstdint>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// The position of an accepted value in the order of all accepted values of its key: by ballot, then by revision.
struct AcceptedPosition {
  Ballot ballot;
  std::uint64_t revision = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the zero in a defaulted comparison for a pointer.
  std::strong_ordering operator<=>(AcceptedPosition const&) const = default;
  bool operator==(AcceptedPosition const&) const = default;
};

/// The ballot that one member has promised and the value that it has accepted for one key. The code that uses this
/// class must write the state to disk before it sends a promise or an acceptance.
class Acceptor {
 public:
  /// Sets the state that was read from the disk.
  void restore(Ballot const& promised, AcceptedPosition const& position, QJsonObject value);

  /// Phase 1b: promises to reject every lower ballot. Returns false without a change if this ballot or a higher one was
  /// promised before.
  bool promise(Ballot const& ballot);
  /// Phase 2b: accepts the value under the position's ballot, which becomes the promised ballot.
  void accept(AcceptedPosition const& position, QJsonObject value);
  /// Stores an accepted value, for example from another member's snapshot, and leaves the promised ballot unchanged.
  void adoptAccepted(AcceptedPosition const& position, QJsonObject value);

  /// The highest ballot that was promised. It never decreases.
  Ballot const& promised() const { return promised_; }
  /// The position of the last accepted value. Its revision is 0 if no value was accepted.
  AcceptedPosition const& position() const { return position_; }
  std::uint64_t revision() const { return position_.revision; }
  bool hasAccepted() const { return position_.revision > 0; }
  QJsonObject const& value() const { return value_; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// Invariant: at least as high as every ballot that this member has promised or accepted in a reply.
  Ballot promised_;
  /// Invariant: the position of value_.
  AcceptedPosition position_;
  QJsonObject value_;
};

}  // namespace corkward::consensus
