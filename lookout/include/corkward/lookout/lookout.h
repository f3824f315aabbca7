#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/signal/message.h>

namespace corkward::lookout {

using core::Tick;

/// Starting values of the membership.
/// How often contacts are shuffled while few are known, and then.
inline constexpr Tick shuffleAtFirst = 400;
inline constexpr Tick shuffleEvery = 1200;
inline constexpr std::size_t fewContacts = 6;
inline constexpr Tick suspectAfter = 7500;
inline constexpr Tick dropAfter = 120000;
inline constexpr std::size_t viewBound = 48;
inline constexpr std::size_t sampleSize = 8;

/// The nacelles that a roster's value names.
std::vector<signal::Contact> rosterContacts(QJsonObject const& roster);

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
  void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  std::vector<std::string> const& seeds() const { return seeds_; }
  /// The nacelles that the roster of that stamp names. What it says of them is left out between processes that go by it.
  void setRoster(std::uint64_t stamp, std::vector<signal::Contact> nodes);
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
  signal::Shuffle sample(Tick now, bool reply, bool brief);
  /// Place on the roster of a contact that differs from what is said there by incarnation and age alone; -1: none.
  std::ptrdiff_t place(signal::Contact const& contact) const;
  signal::Contact self_;
  std::vector<std::string> seeds_;
  core::Rng rng_;
  std::map<std::string, Seen> view_;
  Tick shuffleAt_ = 0;
  std::uint64_t rosterStamp_ = 0;
  /// In the order of their links.
  std::vector<signal::Contact> roster_;
  /// The last one heard of goes by the same roster.
  bool alike_ = false;
};

}  // namespace corkward::lookout
