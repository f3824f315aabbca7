#pragma once

#include <array>
#include <corkward/gossip/removal_hints.h>
#include <cstdint>
#include <string>
#include <vector>

namespace corkward::explore {

/// Mechanisms of the model that can be turned off.
struct HintForwardingRules {
  /// A process remembers a hint that has ended.
  bool remembersEnded = true;
};

/// Model of a removal hint whose list is never committed and whose source ends after it has sent it, with the
/// production class for hints at two routers. The routers send it to each other at any time, and a message may be held
/// up for some seconds. One of the routers may restart. The hint has to end everywhere within its lifetime and the time
/// for which messages are held up on its way.
class HintForwardingModel {
 public:
  static constexpr std::size_t routers = 2;
  enum class Kind : std::uint8_t { tick, send, deliver, restart };
  struct Action {
    Kind kind = Kind::tick;
    /// Number of the router that sends or restarts, or of the message that is delivered.
    std::size_t number = 0;
  };
  struct Message {
    std::size_t to = 0;
    int sentAt = 0;
    transport::EndpointRemovalHint hint;
  };
  struct State {
    /// Seconds since the source sent the hint.
    int ticks = 0;
    int restarts = 0;
    std::array<gossip::RemovalHints, routers> hints;
    std::vector<Message> inFlight;
    std::string broken;
  };

  explicit HintForwardingModel(HintForwardingRules const& rules) : rules_(rules) {}

  static std::vector<State> initial();
  static std::vector<Action> actions(State const& state);
  State apply(State const& state, Action const& action) const;
  static std::uint64_t digest(State const& state);
  static std::string name(State const& state, Action const& action);

 private:
  void advance(State& state) const;

  HintForwardingRules rules_;
};

}  // namespace corkward::explore
