#pragma once

#include <corkward/gossip/removal_hints.h>
#include <cstdint>
#include <string>
#include <vector>

namespace corkward::explore {

/// Mechanisms of the model that can be turned off.
struct RemovalHintRules {
  /// A hint names the committed revision that its list is to replace. Otherwise its generation, which rises with each
  /// reading, decides when it ends.
  bool namesBase = true;
};

/// Model of a reader of an endpoint list and a router, with the production class for hints. The reader reads lists and
/// announces each by a hint; a list is committed some time after it was read, in the order of the readings. Hints and
/// committed lists reach the router in any order, and hints also late. Once nothing is on its way and the list that was
/// read last is committed, no hint may be in effect.
class RemovalHintModel {
 public:
  enum class Kind : std::uint8_t { read, commit, deliverHint, deliverList };
  struct Action {
    Kind kind = Kind::read;
    /// Number of the reading whose hint is delivered.
    int reading = 0;
  };
  struct State {
    int readings = 0;
    /// Reading whose list is committed.
    int committedReading = 0;
    /// Committed list at the reader, and at the router.
    gossip::CommittedListVersion committed{1, 1};
    gossip::CommittedListVersion atRouter{1, 1};
    std::vector<transport::EndpointRemovalHint> hintsInFlight;
    gossip::RemovalHints hints;
    std::string broken;
  };

  explicit RemovalHintModel(RemovalHintRules const& rules) : rules_(rules) {}

  static std::vector<State> initial() { return {State{}}; }
  std::vector<Action> actions(State const& state) const;
  State apply(State const& state, Action const& action) const;
  static std::uint64_t digest(State const& state);
  static std::string name(State const& state, Action const& action);

 private:
  transport::EndpointRemovalHint hintOf(State const& state) const;

  RemovalHintRules rules_;
};

}  // namespace corkward::explore
