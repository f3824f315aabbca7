#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/dataplane/router_tuning.h>

namespace corkward::dataplane {

/// The neighbours: a few randomly chosen routers that this router sends heartbeats to, a third of them in its own zone
/// if possible. A neighbour is replaced when it becomes unresponsive and after RouterTuning::neighbourRotationPeriod.
class NeighbourLinks {
 public:
  /// The known other routers.
  struct Peers {
    /// Sorted and without duplicates.
    std::vector<std::string> links;
    /// Routers in this router's zone.
    std::set<std::string> sameZone;
  };

  /// Chooses up to `count` neighbours and returns their links, sorted.
  /// @param interval milliseconds between heartbeats; a neighbour that has not replied for 1.5 intervals is replaced
  std::vector<std::string> choose(Milliseconds now, std::size_t count, Milliseconds interval, Peers const& peers,
                                  RouterTuning const& tuning, core::RandomGenerator& random);
  void onHeartbeatSent(Milliseconds now, std::string const& link);
  void onReply(std::string const& link);

  /// Removes records of routers that became unresponsive before `oldest`.
  void forgetBefore(Milliseconds oldest);
  /// Number of neighbours and of routers recorded as unresponsive.
  std::size_t size() const { return links_.size() + unresponsiveSince_.size(); }

 private:
  struct Link {
    /// When the router became a neighbour, moved back by a random time so that neighbours are not all replaced at once.
    Milliseconds openedAt = 0;
    /// When the first unanswered heartbeat was sent. Negative if there is none.
    Milliseconds firstUnansweredAt = -1;
  };

  /// Removes neighbours that are unresponsive, due for rotation, or not among the known routers any more.
  void dropStale(Milliseconds now, Milliseconds interval, Peers const& peers, RouterTuning const& tuning);
  /// Known routers that are not neighbours, in random order, with unresponsive ones last.
  std::vector<std::string> shuffledOthers(Milliseconds now, Peers const& peers, RouterTuning const& tuning,
                                          core::RandomGenerator& random) const;
  /// Makes one of `others` a neighbour and removes it from `others`. Prefers a responsive router in this router's zone
  /// if `sameZone`, or in another zone if not.
  void addOneOf(std::vector<std::string>& others, Milliseconds now, bool sameZone, Peers const& peers,
                RouterTuning const& tuning, core::RandomGenerator& random);
  bool isUnresponsive(Milliseconds now, std::string const& link, Milliseconds timeout) const;

  /// The neighbours. Each was among the known routers when neighbours were last chosen.
  std::map<std::string, Link> links_;
  /// When each unresponsive router was removed from the neighbours.
  std::map<std::string, Milliseconds> unresponsiveSince_;
};

}  // namespace corkward::dataplane
