#pragma once

/// Acceptor of one key, as in "Paxos Made Simple", section 2.2.

#include <QJsonObject>
#include <compare>
#include <cstdint>

#include <corkward/consensus/types.h>
#include "fingerprint.h"

namespace corkward::consensus {

/// Where an accepted value stands in the order of all accepted values of its key.
struct AcceptedPosition {
  Ballot ballot;
  std::uint64_t revision = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero inside a defaulted comparison for a pointer.
  std::strong_ordering operator<=>(AcceptedPosition const&) const = default;
  bool operator==(AcceptedPosition const&) const = default;
};

/// What one member has promised and accepted of one key. The caller writes it to disk before it replies.
class Acceptor {
 public:
  /// State that the disk returned.
  void restore(Ballot const& promised, AcceptedPosition const& position, QJsonObject value);

  /// Phase 1b: promises to reject every lower ballot. Returns false, and changes nothing, when that was promised
  /// before.
  bool promise(Ballot const& ballot);
  /// Phase 2b: accepts the value under the ballot, which becomes the promised one.
  void accept(AcceptedPosition const& position, QJsonObject value);
  /// Takes over a value from another member's snapshot, without a promise.
  void adoptAccepted(AcceptedPosition const& position, QJsonObject value);

  /// Highest ballot that was promised. Never falls.
  Ballot const& promised() const { return promised_; }
  /// Of the value that was accepted last; revision 0: none.
  AcceptedPosition const& position() const { return position_; }
  std::uint64_t revision() const { return position_.revision; }
  bool hasAccepted() const { return position_.revision > 0; }
  QJsonObject const& value() const { return value_; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  /// Invariant: never lower than a ballot that this member replied to with a promise or an acceptance.
  Ballot promised_;
  /// Invariant: belongs to value_.
  AcceptedPosition position_;
  QJsonObject value_;
};

}  // namespace corkward::consensus
