#pragma once

#include "bounds.h"
#include "model_cluster.h"

namespace corkward::explore {

/// The membership, hop by hop: between any two hops of messages or clock events a member is lost, emptied, replaced,
/// cut off, healed, returns with its disk as it was, a newcomer joins, or a caller changes something. Messages under
/// way at one time are delivered in the order in which they were sent, or those of one kind are lost together.
///
/// A search begins with the last confirmed change on the smallest majority that there is. Of five members, two of the
/// three that have it have been silent for nearly as long as a member may be.
///
/// A disk is emptied only while the losses that are open, this one included, leave a majority that votes and has caught
/// up.
class MembershipModel {
 public:
  using State = explore::State;
  enum class Kind : std::uint8_t { goOn, longWait, kill, back, wipe, cutOff, heal, lose, change };
  struct Action {
    Kind kind = Kind::goOn;
    std::uint8_t machine = 0;
    /// Kind of the messages that are lost, by its place in the list of messages.
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
  State lagging(int members) const;

  Rules rules_;
  Bounds bounds_;
  ModelCluster cluster_;
  State start_;
};

}  // namespace corkward::explore
