#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/signal/message.h>

namespace corkward::lookout {

using core::Tick;

/// Starting values of the membership.
inline constexpr Tick shuffleEvery = 400;
inline constexpr Tick suspectAfter = 2500;
inline constexpr Tick dropAfter = 120000;
inline constexpr std::size_t viewBound = 48;
inline constexpr std::size_t sampleSize = 12;

enum class Standing { alive, suspected, unknown };

/// A partial view of the other processes, shuffled between neighbours; seeds serve only to enter.
class Lookout {
 public:
  Lookout(signal::Contact self, std::vector<std::string> seeds, std::uint64_t seed);

  std::vector<signal::Send> arrived(Tick now, std::string const& from, signal::Shuffle const& shuffle);
  std::vector<signal::Send> clockEvent(Tick now);
  /// First-hand word of a process. Returns a correction for it when we know a newer incarnation at its address.
  std::vector<signal::Send> heard(Tick now, signal::Contact const& contact);

  signal::Contact const& self() const { return self_; }
  std::vector<std::string> const& seeds() const { return seeds_; }
  void setDraining() { self_.draining = true; }
  /// Contacts of a role, ages as of now.
  std::vector<signal::Contact> ofRole(std::string const& role, Tick now) const;
  Standing standing(std::string const& link, Tick now) const;
  /// Age of the last word of it, first- or second-hand; -1 when it is not in the view.
  Tick age(std::string const& link, Tick now) const;
  std::size_t size() const { return view_.size(); }

 private:
  struct Seen {
    signal::Contact contact;
    Tick at = 0;
  };
  void merge(Tick now, signal::Contact const& contact);
  std::vector<signal::Contact> sample(Tick now);
  signal::Contact self_;
  std::vector<std::string> seeds_;
  core::Rng rng_;
  std::map<std::string, Seen> view_;
  Tick shuffleAt_ = 0;
};

}  // namespace corkward::lookout
