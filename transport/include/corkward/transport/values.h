#pragma once

/// Values that messages of several topics carry: ballots, revisions with their digests, sets of places, and items.

#include <QJsonObject>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace corkward::transport {

/// Rising number of an ownership; the member's id breaks ties.
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

/// Key -> newest revision.
using Revisions = std::map<std::string, std::uint64_t>;

/// Stands for a set of keys with their revisions: the sum of one 64-bit hash for each pair, and how many there are.
struct Digest {
  std::uint64_t sum = 0;
  std::uint64_t count = 0;
  /// Puts the key under its newer revision; revision 0 stands for no such key.
  void replace(std::string const& key, std::uint64_t before, std::uint64_t after);
  bool operator==(Digest const&) const = default;
};

/// Digest of a set.
Digest digestOf(Revisions const& revisions);

/// One bit for each place of an agreed list, eight to a byte.
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

/// One key with its value as it was accepted on a majority of the disks.
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
