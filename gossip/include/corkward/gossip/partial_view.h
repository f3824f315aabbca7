#pragma once

/// Gossip membership: each process knows some other processes and exchanges random contacts with them.

#include <map>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/message.h>

namespace corkward::gossip {

using core::Milliseconds;

/// Interval between shuffles while the view has fewer than `smallViewSize` contacts, in milliseconds.
inline constexpr Milliseconds initialShuffleInterval = 400;
/// Interval between shuffles once the view has at least `smallViewSize` contacts, in milliseconds.
inline constexpr Milliseconds shuffleInterval = 1200;
inline constexpr std::size_t smallViewSize = 6;
/// A process is suspected to have failed when the last contact with it is older than this, in milliseconds.
inline constexpr Milliseconds suspectTimeout = 7500;
/// A contact is removed from the view when the last contact with it is older than this, in milliseconds.
inline constexpr Milliseconds removalTimeout = 120000;
/// Greatest number of contacts in the view.
inline constexpr std::size_t maxViewSize = 48;
/// Greatest number of contacts of the view that one shuffle carries.
inline constexpr std::size_t sampleSize = 8;

/// Returns the contacts of the routers that the value of a roster lists.
std::vector<transport::Contact> rosterContacts(QJsonObject const& roster);

/// What the view says about a process: its last contact is recent, its last contact is too old, or it is not in the
/// view.
enum class Liveness { alive, suspected, unknown };

/// A partial view of the other processes of the fleet. At each interval it exchanges a random sample of contacts with a
/// random process of the view (a shuffle). Seeds are configured addresses through which a process enters the fleet; a
/// few later shuffles go to them as well.
class PartialView {
 public:
  PartialView(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed);

  /// Merges the contacts of a shuffle from another process. Returns the reply if the shuffle requests one.
  std::vector<transport::Send> onShuffle(Milliseconds now, std::string const& from,
                                         transport::GossipShuffle const& shuffle);
  /// Starts a shuffle if its interval is over, and removes old contacts.
  std::vector<transport::Send> clockEvent(Milliseconds now);
  /// Merges a contact that the process itself has sent. If a newer incarnation is known at its address, the contact is
  /// ignored and the returned message corrects the process, which then takes a still newer incarnation.
  std::vector<transport::Send> onDirectContact(Milliseconds now, transport::Contact const& contact);

  transport::Contact const& self() const { return self_; }
  void setSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
  std::vector<std::string> const& seeds() const { return seeds_; }
  /// Sets the routers of the roster of that revision. Processes with the same roster leave out of their shuffles what
  /// the roster already says about a contact.
  void setRoster(std::uint64_t revision, std::vector<transport::Contact> routers);
  void setDraining() { self_.draining = true; }
  /// Returns the known contacts of a role, with their ages as of now.
  std::vector<transport::Contact> ofRole(std::string const& role, Milliseconds now) const;
  Liveness liveness(std::string const& link, Milliseconds now) const;
  /// Returns the time since the process last had contact, with this process or with one that reported it; -1 if the
  /// process is not in the view.
  Milliseconds age(std::string const& link, Milliseconds now) const;
  std::size_t size() const { return view_.size(); }

 private:
  struct KnownContact {
    transport::Contact contact;
    /// Time of the last contact with the process, by this process or by one that reported it.
    Milliseconds lastContactAt = 0;
  };
  /// Adds or updates a contact, unless what is known about it is newer. At the bound, the oldest contact is removed.
  void merge(Milliseconds now, transport::Contact const& contact);
  /// Returns a shuffle with a random sample of the view and this process's own contact.
  /// @param wantsReply whether the receiver shall reply with a shuffle
  /// @param compact whether contacts that agree with the roster are sent by their position in the roster
  transport::GossipShuffle sample(Milliseconds now, bool wantsReply, bool compact);
  /// Returns the position in the roster of a contact that differs from the roster's entry only by incarnation and age,
  /// or -1 if there is no such entry.
  std::ptrdiff_t rosterPosition(transport::Contact const& contact) const;
  transport::Contact self_;
  std::vector<std::string> seeds_;
  core::RandomGenerator rng_;
  std::map<std::string, KnownContact> view_;
  Milliseconds nextShuffleAt_ = 0;
  std::uint64_t rosterRevision_ = 0;
  /// Sorted by link address.
  std::vector<transport::Contact> roster_;
  /// True if the process that sent the last shuffle has the roster of the same revision.
  bool lastPeerHasSameRoster_ = false;
};

}  // namespace corkward::gossip
