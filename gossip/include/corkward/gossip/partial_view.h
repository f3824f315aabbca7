#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/message.h>

namespace corkward::gossip {

using core::Milliseconds;

/// Starting values of the membership.
/// How often contacts are shuffled while few are known, and then.
inline constexpr Milliseconds shuffleAtFirst = 400;
inline constexpr Milliseconds shuffleEvery = 1200;
inline constexpr std::size_t fewContacts = 6;
inline constexpr Milliseconds suspectAfter = 7500;
inline constexpr Milliseconds dropAfter = 120000;
inline constexpr std::size_t viewBound = 48;
inline constexpr std::size_t sampleSize = 8;

/// The routers that a roster's value names.
std::vector<transport::Contact> rosterContacts(QJsonObject const& roster);

enum class ServingLease { alive, suspected, unknown };

/// A partial view of the other processes, shuffled between neighbours; seeds serve only to enter.
class PartialView {
 public:
  PartialView(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed);

  std::vector<transport::Send> arrived(Milliseconds now, std::string const& from,
                                       transport::GossipShuffle const& shuffle);
  std::vector<transport::Send> clockEvent(Milliseconds now);
  /// First-hand word of a process. Returns a correction for it when we know a newer incarnation at its address.
  std::vector<transport::Send> heard(Milliseconds now, transport::Contact const& contact);

  transport::Contact const& self() const { return self_; }
  void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  std::vector<std::string> const& seeds() const { return seeds_; }
  /// The routers that the roster of that revision names. What it says of them is left out between processes that go by
  /// it.
  void setRoster(std::uint64_t revision, std::vector<transport::Contact> nodes);
  void setDraining() { self_.draining = true; }
  /// Contacts of a role, ages as of now.
  std::vector<transport::Contact> ofRole(std::string const& role, Milliseconds now) const;
  ServingLease servingLease(std::string const& link, Milliseconds now) const;
  /// Age of the last word of it, first- or second-hand; -1 when it is not in the view.
  Milliseconds age(std::string const& link, Milliseconds now) const;
  std::size_t size() const { return view_.size(); }

 private:
  struct KnownContact {
    transport::Contact contact;
    Milliseconds lastSeenAt = 0;
  };
  void merge(Milliseconds now, transport::Contact const& contact);
  transport::GossipShuffle sample(Milliseconds now, bool reply, bool brief);
  /// Place on the roster of a contact that differs from what is said there by incarnation and age alone; -1: none.
  std::ptrdiff_t rosterPosition(transport::Contact const& contact) const;
  transport::Contact self_;
  std::vector<std::string> seeds_;
  core::RandomGenerator rng_;
  std::map<std::string, KnownContact> view_;
  Milliseconds shuffleAt_ = 0;
  std::uint64_t rosterRevision_ = 0;
  /// In the order of their links.
  std::vector<transport::Contact> roster_;
  /// The last one heard of goes by the same roster.
  bool alike_ = false;
};

}  // namespace corkward::gossip
