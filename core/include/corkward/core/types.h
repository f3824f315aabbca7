#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/core/log_event.h>

namespace corkward::core {

/// A time on the boot clock, or a duration, in milliseconds. The boot clock is monotonic and goes on counting while the
/// machine is suspended.
using Milliseconds = std::int64_t;

/// Dense index of a name such as a tenant, pool or replica. InternedNames assigns it.
using NameIndex = std::uint32_t;

/// Maps names to dense indices and back. An index is reused only after its name was released.
class InternedNames {
 public:
  /// Returns the index of the name, and assigns one if the name is new.
  NameIndex intern(std::string const& name);
  /// Returned by find() for a name without an index.
  static constexpr NameIndex none = ~NameIndex{0};
  /// Returns the index of the name, or `none`.
  NameIndex find(std::string const& name) const;
  /// Removes a name. Its index may be assigned to another name.
  void release(NameIndex index);
  /// Number of names that have an index.
  std::size_t count() const { return byName_.size(); }
  /// Returns the name of an assigned index.
  std::string const& name(NameIndex index) const;
  /// Number of indices that were ever assigned, which is greater than every assigned index.
  std::size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, NameIndex> byName_;
  std::vector<std::string> names_;
  std::vector<NameIndex> free_;
};

/// Pseudo-random generator (SplitMix64). Reducers get the seed from outside, so that they stay deterministic.
class RandomGenerator {
 public:
  explicit RandomGenerator(std::uint64_t seed = 1) : s_(seed * 0x9E3779B97F4A7C15ULL + 0x1234567ULL) {}
  /// Returns 64 random bits.
  std::uint64_t next();
  /// Returns a uniformly distributed number below `bound`, or 0 if `bound` is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  /// Returns true with the given probability, from 0 to 1.
  bool chance(double p) { return static_cast<double>(next() >> 11) * 0x1.0p-53 < p; }

 private:
  std::uint64_t s_;
};

/// Returns a hash of the text that is the same on every machine.
std::uint64_t stableHash(std::string const& text);

/// Throws an InvariantError that names the condition and the source line.
[[noreturn]] void failInvariant(char const* condition, char const* file, int line);

}  // namespace corkward::core

/// Checks an invariant of the code. A violation throws InvariantError, which ends the process.
#define CORKWARD_INVARIANT(cond)                                             \
  do {                                                                       \
    if (!(cond)) ::corkward::core::failInvariant(#cond, __FILE__, __LINE__); \
  } while (false)
