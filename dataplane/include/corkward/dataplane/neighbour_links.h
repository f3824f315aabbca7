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
  std::vector<std::string> choose(Milliseconds now, std::size_t count, Milliseconds interval, Peers const& peers,
                                  RouterTuning const& tuning, core::RandomGenerator& random);
  void onHeartbeatSent(Milliseconds now, std::string const& link);
  void onReply(std::string const& link);

  /// Forgets which routers did not answer before that time.
  void forgetBefore(Milliseconds oldest);
  /// Links and unresponsive routers that are remembered.
  std::size_t size() const { return links_.size() + unresponsiveSince_.size(); }

 private:
  struct Link {
    /// When it became a neighbour; earlier for some, so that they are not replaced all at once.
    Milliseconds openedAt = 0;
    /// First heartbeat that has had no reply; below zero: none.
    Milliseconds firstUnansweredAt = -1;
  };

  /// Drops those that do not answer, that were neighbours for long, and that are not known any more.
  void dropStale(Milliseconds now, Milliseconds interval, Peers const& peers, RouterTuning const& tuning);
  /// Those that are no neighbours, in random order, the unresponsive last.
  std::vector<std::string> shuffledOthers(Milliseconds now, Peers const& peers, RouterTuning const& tuning,
                                          core::RandomGenerator& random) const;
  /// Adds one of these, and removes it from them.
  void addOneOf(std::vector<std::string>& others, Milliseconds now, bool sameZone, Peers const& peers,
                RouterTuning const& tuning, core::RandomGenerator& random);
  bool isUnresponsive(Milliseconds now, std::string const& link, Milliseconds timeout) const;

  /// Each was among the known routers at the newest choice.
  std::map<std::string, Link> links_;
  /// When a router that did not answer was dropped.
  std::map<std::string, Milliseconds> unresponsiveSince_;
};

}  // namespace corkward::dataplane
