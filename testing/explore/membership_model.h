#pragma once

#include "bounds.h"
#include "model_cluster.h"

namespace corkward::explore {

/// Model of the membership. In each step all messages in flight are delivered, or all timers fire. Between two steps a
/// member may be killed, wiped, isolated or reconnected, may restart with its disk unchanged, or an operator may change
/// a value. Messages in flight at the same time are delivered in the order in which they were sent, or all messages of
/// one kind are lost together.
///
/// In the initial state only the smallest possible majority has the last confirmed change. With five members, two of
/// the three that have it have been unresponsive for nearly as long as a member may be before it is replaced.
///
/// A disk is wiped only if, including this loss, a majority remains that votes and has caught up.
class MembershipModel {
 public:
  using State = explore::State;
  enum class Kind : std::uint8_t { advance, longWait, kill, restart, wipe, isolate, heal, loseMessages, change };
  struct Action {
    Kind kind = Kind::advance;
    std::uint8_t machine = 0;
    /// Kind of the messages that are lost: the index of its type in transport::Message.
    std::uint8_t message = 0;
  };

  MembershipModel(Rules rules, Bounds bounds);

  std::vector<State> initial() const { return {start_}; }
  std::vector<Action> actions(State const& s) const;
  State apply(State const& s, Action const& action) const;
  std::uint64_t digest(State const& s) const { return cluster_.digest(s); }
  std::string name(State const& s, Action const& action) const;

 private:
  void act(State& s, Action const& action) const;
  State stateOnSmallestMajority(int members) const;

  Rules rules_;
  Bounds bounds_;
  ModelCluster cluster_;
  State start_;
};

}  // namespace corkward::explore
