#pragma once

/// Values that several kinds of messages use: ballots, revisions with their digests, bit sets, and committed entries.

#include <QJsonObject>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace corkward::transport {

/// Ballot number of a key's consensus. It rises with each change of the key's owner. The member's id breaks ties.
struct Ballot {
  std::uint64_t number = 0;
  std::string member;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the zero inside a defaulted comparison for a pointer.
  std::strong_ordering operator<=>(Ballot const&) const = default;
  bool operator==(Ballot const&) const = default;
  template <class F>
  void each(F& f) {
    f("n", number);
    f("m", member);
  }
};

/// Newest revision by key.
using Revisions = std::map<std::string, std::uint64_t>;

/// Digest of a set of keys with their revisions: the sum of a 64-bit hash of each pair, and the number of pairs.
struct Digest {
  std::uint64_t sum = 0;
  std::uint64_t count = 0;
  /// Replaces the revision of a key. Revision 0 means that the set does not contain the key.
  void replace(std::string const& key, std::uint64_t before, std::uint64_t after);
  bool operator==(Digest const&) const = default;
};

/// Returns the digest of a set of revisions.
Digest digestOf(Revisions const& revisions);

/// One bit for each position of a list that sender and receiver agree on, eight bits per byte.
class BitSet {
 public:
  void set(std::size_t position);
  bool test(std::size_t position) const {
    return position / 8 < bytes_.size() &&
           (static_cast<unsigned char>(bytes_[position / 8]) >> (position % 8) & 1U) != 0;
  }
  template <class F>
  void each(F& f) {
    f("b", bytes_);
  }

 private:
  std::string bytes_;
};

/// A key with a value that is on a majority of the disks.
struct CommittedEntry {
  std::string key;
  std::uint64_t revision = 0;
  QJsonObject value;
  template <class F>
  void each(F& f) {
    f("k", key);
    f("s", revision);
    f("v", value);
  }
};

}  // namespace corkward::transport
