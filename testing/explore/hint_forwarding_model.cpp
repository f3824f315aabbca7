#include "hint_forwarding_model.h"

#include <algorithm>

#include <corkward/core/types.h>

namespace corkward::explore {

namespace {

using Kind = HintForwardingModel::Kind;
using State = HintForwardingModel::State;
using Message = HintForwardingModel::Message;

constexpr core::Milliseconds tickLength = 1000;
constexpr int lifetime = gossip::removalHintLifetime / tickLength;
/// A message is held up for at most this many ticks.
constexpr int maxTransit = 2;
constexpr int maxRestarts = 1;
/// A process that has not seen the hint may get it as late as a message is held up: the other router at first, and a
/// router that was restarted.
constexpr int lastInEffect = lifetime + (1 + maxRestarts) * maxTransit;
constexpr int maxTicks = lastInEffect + 4;
constexpr std::size_t maxInFlight = 2;
constexpr gossip::CommittedListVersion committed{4, 9};
constexpr char const* pool = "model";

core::Milliseconds timeOf(State const& state) {
  return 1000 + state.ticks * tickLength;
}

transport::EndpointRemovalHint sourceHint() {
  transport::EndpointRemovalHint hint{pool, committed.generation + 1, {"a"}, {}};
  hint.source = "reader";
  hint.incarnation = 1;
  hint.sequence = 1;
  hint.baseRevision = committed.revision;
  return hint;
}

bool mustBeDelivered(State const& state) {
  return std::any_of(state.inFlight.begin(), state.inFlight.end(),
                     [&](Message const& message) { return state.ticks - message.sentAt >= maxTransit; });
}

}  // namespace

std::vector<State> HintForwardingModel::initial() {
  State state;
  state.hints[0].add(timeOf(state), sourceHint(), committed);
  return {state};
}

std::vector<HintForwardingModel::Action> HintForwardingModel::actions(State const& state) {
  std::vector<Action> possible;
  if (state.ticks < maxTicks && !mustBeDelivered(state)) possible.push_back({Kind::tick, 0});
  for (std::size_t message = 0; message < state.inFlight.size(); ++message)
    possible.push_back({Kind::deliver, message});
  for (std::size_t router = 0; router < routers; ++router) {
    bool const maySend = state.inFlight.size() < maxInFlight && !state.hints[router].toForward(timeOf(state)).empty();
    if (maySend) possible.push_back({Kind::send, router});
    if (state.restarts < maxRestarts) possible.push_back({Kind::restart, router});
  }
  return possible;
}

void HintForwardingModel::advance(State& state) const {
  ++state.ticks;
  for (gossip::RemovalHints& hints : state.hints) {
    bool const hasEnded = !hints.expire(timeOf(state)).empty();
    if (hasEnded && !rules_.remembersEnded) hints = {};
    if (state.ticks >= lastInEffect && !hints.empty()) state.broken = "a hint of a source that has ended lives on";
  }
}

State HintForwardingModel::apply(State const& before, Action const& action) const {
  State state = before;
  switch (action.kind) {
    case Kind::tick:
      advance(state);
      break;
    case Kind::send:
      state.inFlight.push_back(
          {1 - action.number, state.ticks, state.hints[action.number].toForward(timeOf(state)).front()});
      break;
    case Kind::deliver: {
      Message const message = state.inFlight[action.number];
      state.inFlight.erase(state.inFlight.begin() + static_cast<std::ptrdiff_t>(action.number));
      state.hints[message.to].add(timeOf(state), message.hint, committed);
      break;
    }
    case Kind::restart:
      ++state.restarts;
      state.hints[action.number] = {};
      break;
  }
  return state;
}

std::uint64_t HintForwardingModel::digest(State const& state) {
  std::string text = std::to_string(state.ticks) + " " + std::to_string(state.restarts);
  for (gossip::RemovalHints const& hints : state.hints) {
    std::vector<transport::EndpointRemovalHint> const sent = hints.toForward(timeOf(state));
    gossip::RemovalHints other = hints;
    bool const isRemembered =
        other.add(timeOf(state), sourceHint(), committed) == gossip::RemovalHints::Change::ignored;
    text += " " + (sent.empty() ? "none" : std::to_string(sent.front().age)) + (hints.empty() ? "-" : "+");
    text += isRemembered ? "r" : "n";
  }
  for (Message const& message : state.inFlight)
    text += " " + std::to_string(message.to) + "/" + std::to_string(message.sentAt) + "/" +
            std::to_string(message.hint.age);
  return core::stableHash(text + (state.broken.empty() ? "" : " broken"));
}

std::string HintForwardingModel::name(State const& state, Action const& action) {
  std::string const number = std::to_string(action.number);
  switch (action.kind) {
    case Kind::tick:
      return "second " + std::to_string(state.ticks + 1) + " begins";
    case Kind::send:
      return "router " + number + " sends the hint";
    case Kind::deliver:
      return "router " + std::to_string(state.inFlight[action.number].to) + " gets the hint";
    case Kind::restart:
      return "router " + number + " restarts";
  }
  return "";
}

}  // namespace corkward::explore
