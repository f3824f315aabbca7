#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>

#include <corkward/transport/message.h>

namespace corkward::control {

/// Outcome of a call that was built on a base which is no longer the newest.
enum class PastOutcome { applied, notApplied, forgotten };

/// Digest of a change by its content: method, path, base and body. The order of fields and white space of the body are
/// no part of it; every field is, known or not.
/// @param body the call's body as it was parsed
/// @param changeId part of the digest where the same base may come twice; empty: none
std::string contentDigest(transport::OperatorCall const& call, QJsonObject const& body, std::string const& changeId);

/// Digests of the changes that a key has accepted, oldest first, stored within the key's replicated value. Hence every
/// owner, and every member after a failover, a restart or a transfer of the state, gives the same reply to the same
/// change.
///
/// At least `segmentChanges` changes are remembered and at most twice as many: when the newer segment is full it
/// replaces the older one, whose outcomes are then forgotten.
class ChangeHistory {
 public:
  /// Changes of one segment. With `digestBytes` bytes each, a key's history stays within 32 KiB.
  static constexpr std::size_t segmentChanges = 1024;
  /// Bytes of a digest as text.
  static constexpr std::size_t digestBytes = 16;
  /// Field of the stored value that has the history; bytes on disk.
  static constexpr char const* storedField = "taken";

  /// @param value the key's value as stored; without a history nothing before `base` is remembered
  /// @param base newest base that a change can be built on now
  ChangeHistory(QJsonObject const& value, std::uint64_t base);

  /// Outcome of a change built on `base`, which is not the newest base.
  PastOutcome outcomeOf(std::string const& digest, std::uint64_t base) const;
  /// Changes accepted since the one of that digest, which must be remembered.
  std::uint64_t changesSince(std::string const& digest) const;
  /// Adds a change that was built on `base`, the newest one.
  void append(std::string const& digest, std::uint64_t base);
  /// As it is stored.
  QJsonObject json() const;

 private:
  struct Segment {
    /// Base of its first change.
    std::uint64_t firstBase = 0;
    /// Digests one behind the other.
    std::string digests;
  };
  static Segment parseSegment(QJsonObject const& json);
  static QJsonObject segmentJson(Segment const& segment);
  /// Offset of the digest in the segment, or std::string::npos.
  static std::size_t offsetOf(Segment const& segment, std::string const& digest);

  Segment older_;
  Segment newer_;
  /// Newest base; no change can have been built on a later one.
  std::uint64_t newestBase_ = 0;
};

}  // namespace corkward::control
