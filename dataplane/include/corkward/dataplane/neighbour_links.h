#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/dataplane/router_tuning.h>

namespace corkward::dataplane {

/// The other routers that this one exchanges heartbeats with: a random few, a third of them of its own zone, replaced
/// when they do not answer and now and then otherwise.
class NeighbourLinks {
 public:
  /// Routers that are known.
  struct Peers {
    /// Sorted, each once.
    std::vector<std::string> links;
    /// Those of this router's zone.
    std::set<std::string> sameZone;
  };

  /// Chooses whom to send the heartbeats of this interval (milliseconds) to; sorted.
  std::vector<std::string> choose(Tick now, std::size_t count, Tick interval, Peers const& peers,
                                  RouterTuning const& tuning, core::RandomGenerator& random);
  void onHeartbeatSent(Tick now, std::string const& link);
  void onReply(std::string const& link);

  /// Forgets which routers did not answer before that tick.
  void forgetBefore(Tick oldest);
  /// Links and unresponsive routers that are remembered.
  std::size_t size() const { return links_.size() + unresponsiveSince_.size(); }

 private:
  struct Link {
    /// When it became a neighbour; earlier for some, so that they are not replaced all at once.
    Tick openedAt = 0;
    /// First heartbeat that has had no reply; below zero: none.
    Tick firstUnansweredAt = -1;
  };

  /// Drops those that do not answer, that were neighbours for long, and that are not known any more.
  void dropStale(Tick now, Tick interval, Peers const& peers, RouterTuning const& tuning);
  /// Those that are no neighbours, in random order, the unresponsive last.
  std::vector<std::string> shuffledOthers(Tick now, Peers const& peers, RouterTuning const& tuning,
                                          core::RandomGenerator& random) const;
  /// Adds one of these, and removes it from them.
  void addOneOf(std::vector<std::string>& others, Tick now, bool sameZone, Peers const& peers,
                RouterTuning const& tuning, core::RandomGenerator& random);
  bool isUnresponsive(Tick now, std::string const& link, Tick timeout) const;

  /// Each was among the known routers at the newest choice.
  std::map<std::string, Link> links_;
  /// When a router that did not answer was dropped.
  std::map<std::string, Tick> unresponsiveSince_;
};

}  // namespace corkward::dataplane
