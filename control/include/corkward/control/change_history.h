#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>

#include <corkward/transport/message.h>

namespace corkward::control {

/// What became of a call that was built on a base which is no longer the newest.
enum class PastOutcome { applied, notApplied, forgotten };

/// Identity of an order: method, path, base and content. The order of fields and white space of the body are no part of
/// it; every field is, known or not.
/// @param body the call's body as it was read
/// @param changeId part of the identity where the same base may come twice; empty: none
std::string orderDigest(transport::OperatorCall const& call, QJsonObject const& body, std::string const& changeId);

/// Digests of the changes that a key has taken, oldest first, kept within the key's agreed value. Hence every owner,
/// and every member after a failover, a restart or a copy of the state, gives the same answer to the same order.
///
/// At least `segment` changes are remembered and at most twice as many: when the newer segment is full it takes the
/// place of the older one, whose outcomes are then forgotten.
class ChangeHistory {
 public:
  /// Changes of one segment; a digest is `digestText` bytes, so a key's history stays within 32 KiB.
  static constexpr std::size_t segment = 1024;
  static constexpr std::size_t digestText = 16;
  /// Field of a kept value.
  static constexpr char const* field = "taken";

  /// @param value the key's value as kept; without a history nothing before `base` is remembered
  /// @param base newest base that a change can be built on now
  ChangeHistory(QJsonObject const& value, std::uint64_t base);

  /// Outcome of an order built on `base`, which is not the newest base.
  PastOutcome outcomeOf(std::string const& digest, std::uint64_t base) const;
  /// Changes taken since the one of that digest; it must be remembered.
  std::uint64_t changesSince(std::string const& digest) const;
  /// Adds a change that was built on `base`, the newest one.
  void append(std::string const& digest, std::uint64_t base);
  QJsonObject json() const;

 private:
  struct Segment {
    /// Base of its first change.
    std::uint64_t from = 0;
    std::string digests;
  };
  static Segment segmentOf(QJsonObject const& json);
  static QJsonObject jsonOf(Segment const& one);
  static std::size_t placeOf(Segment const& one, std::string const& digest);

  Segment older_;
  Segment newer_;
  /// Newest base; no order can have been built on a later one.
  std::uint64_t newest_ = 0;
};

}  // namespace corkward::control
