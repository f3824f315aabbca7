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

/// Dense index of a name, given out at the HTTP edge.
using NameIndex = std::uint32_t;

/// Maps names to dense indices. An index is reused only after its name was released.
class InternedNames {
 public:
  /// Index of the name, made if it is new.
  NameIndex intern(std::string const& name);
  /// Index of the name, or none.
  static constexpr NameIndex none = ~NameIndex{0};
  NameIndex find(std::string const& name) const;
  /// Forgets a name; its index may be given to another one.
  void release(NameIndex ix);
  /// Names that are known now.
  std::size_t count() const { return byName_.size(); }
  /// Name of an index that was given out.
  std::string const& name(NameIndex ix) const;
  std::size_t size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, NameIndex> byName_;
  std::vector<std::string> names_;
  std::vector<NameIndex> free_;
};

/// Small seeded generator; the seed comes in with an event, so reducers stay pure.
class RandomGenerator {
 public:
  explicit RandomGenerator(std::uint64_t seed = 1) : s_(seed * 0x9E3779B97F4A7C15ULL + 0x1234567ULL) {}
  std::uint64_t next();
  /// Uniform in [0, bound); 0 when bound is 0.
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  /// True with the given probability.
  bool chance(double p) { return static_cast<double>(next() >> 11) * 0x1.0p-53 < p; }

 private:
  std::uint64_t s_;
};

/// Stable hash of a text, equal on every machine.
std::uint64_t stableHash(std::string const& text);

/// Throws InvariantError.
[[noreturn]] void failInvariant(char const* what, char const* file, int line);

}  // namespace corkward::core

/// Checks an invariant inside the code; a broken one stops the process.
#define CORKWARD_INVARIANT(cond)                                             \
  do {                                                                       \
    if (!(cond)) ::corkward::core::failInvariant(#cond, __FILE__, __LINE__); \
  } while (false)
