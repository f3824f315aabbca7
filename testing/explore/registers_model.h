#pragma once

#include "bounds.h"
#include "model_cluster.h"

namespace corkward::explore {

/// The registers message by message: any order of deliveries, with losses (a message that is never delivered), crashes
/// before, in the middle of and after a write, wiped disks, late syncs, messages delivered twice, elections and clock
/// events at any time. A cut or a frozen member is one whose messages are delivered late or never.
///
/// Of messages that can change nothing any more, answers to a past ballot and commits that the member has, none is
/// kept: such a commit that outlives its receiver's restart counts as lost. Clock events come to owners and to members
/// without a vote. Messages on the membership's own register are lost throughout; the membership has a model of its
/// own.
class RegistersModel {
 public:
  using State = explore::State;
  enum class Kind : std::uint8_t {
    deliver,
    deliverTwice,
    deliverSlow,
    deliverCrash,
    sync,
    crash,
    wipe,
    election,
    change,
    read,
    clock
  };
  struct Action {
    Kind kind = Kind::deliver;
    std::uint8_t machine = 0;
    std::uint16_t packet = 0;
    /// Records that reach the disk before a crash.
    std::uint8_t persistedRecords = 0;
  };

  RegistersModel(Rules rules, Bounds bounds);

  std::vector<State> initial() const { return {start_}; }
  std::vector<Action> actions(State const& s) const;
  State apply(State const& s, Action const& action) const;
  std::uint64_t digest(State const& s) const { return cluster_.digest(s); }
  std::string name(State const& s, Action const& action) const;

 private:
  void actionsOf(std::vector<Action>& out, State const& s, std::uint8_t machine) const;
  void act(State& s, Action const& action) const;
  void deliver(State& s, Action const& action) const;
  /// Drops the messages that can change nothing any more.
  void prune(State& s) const;

  Bounds bounds_;
  ModelCluster cluster_;
  State start_;
};

}  // namespace corkward::explore
