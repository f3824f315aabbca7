#pragma once

#include "bounds.h"
#include "model_cluster.h"

namespace corkward::explore {

/// Model of the registers, message by message: any order of deliveries, lost messages (never delivered), crashes
/// before, during and after a write, wiped disks, late syncs, duplicated messages, and elections and timer events at
/// any time. An isolated or frozen member is one whose messages are delivered late or never.
///
/// Messages that can no longer have an effect (replies to an old ballot, commits that the member already has) are
/// dropped. If the receiver of a dropped commit restarts later, the commit therefore counts as lost. Only owners and
/// members without a vote get timer events. All messages about the membership register are lost, because the membership
/// has its own model.
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
    /// Number of pending records that reach the disk before a crash.
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
  /// Drops messages that can no longer have an effect.
  void prune(State& s) const;

  Bounds bounds_;
  ModelCluster cluster_;
  State start_;
};

}  // namespace corkward::explore
