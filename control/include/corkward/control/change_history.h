#pragma once

#include <QJsonObject>
#include <cstdint>
#include <string>

#include <corkward/transport/message.h>

namespace corkward::control {

/// What a key's history says about a change that names a base which is no longer the newest one.
enum class PastOutcome { applied, notApplied, forgotten };

/// Returns the digest of a change's content: its method, path, base and body. All fields of the body count, also
/// unknown ones; their order and the white space between them do not.
/// @param body the call's parsed body
/// @param changeId added to the digest for keys where two different changes may name the same base; empty if no id is
/// added
std::string contentDigest(transport::OperatorCall const& call, QJsonObject const& body, std::string const& changeId);

/// The digests of the changes that a key has accepted, oldest first. They are stored within the key's replicated value,
/// so that each owner of the key gives the same reply to the same change, also after a failover, a restart or a
/// transfer of the state.
///
/// The history has two segments. When the newer one is full, it replaces the older one, whose changes are then
/// forgotten. Once enough changes were accepted, at least `segmentChanges` and at most twice as many are remembered.
class ChangeHistory {
 public:
  /// Largest number of changes in one segment. With `digestBytes` bytes per change, a key's history stays within 32
  /// KiB.
  static constexpr std::size_t segmentChanges = 1024;
  /// Length of a digest's text in bytes.
  static constexpr std::size_t digestBytes = 16;
  /// Name of the field that contains the history in the stored value. It is part of the storage format.
  static constexpr char const* storedField = "taken";

  /// @param value the key's stored value; if it has no history, no change before `base` is remembered
  /// @param base newest base that a change can name now
  ChangeHistory(QJsonObject const& value, std::uint64_t base);

  /// Returns the outcome of a change that names `base`, which is not the newest base.
  PastOutcome outcomeOf(std::string const& digest, std::uint64_t base) const;
  /// Returns how many changes were accepted after the one with this digest, which must be remembered.
  std::uint64_t changesSince(std::string const& digest) const;
  /// Adds a change that names `base`, the newest base.
  void append(std::string const& digest, std::uint64_t base);
  /// Returns the history in its storage format.
  QJsonObject json() const;

 private:
  struct Segment {
    /// Base that the first change of the segment names.
    std::uint64_t firstBase = 0;
    /// Concatenated digests of `digestBytes` bytes each.
    std::string digests;
  };
  static Segment parseSegment(QJsonObject const& json);
  static QJsonObject segmentJson(Segment const& segment);
  /// Returns the digest's offset in the segment, or std::string::npos if the segment does not contain it.
  static std::size_t offsetOf(Segment const& segment, std::string const& digest);

  Segment older_;
  Segment newer_;
  /// Newest base. No accepted change names a later one.
  std::uint64_t newestBase_ = 0;
};

}  // namespace corkward::control
