#include "removal_hint_model.h"

#include <corkward/core/types.h>

namespace corkward::explore {

namespace {

using Kind = RemovalHintModel::Kind;
using State = RemovalHintModel::State;

constexpr int maxReadings = 4;
constexpr char const* pool = "model";
/// The clock stands still: a hint has to end without its age, too.
constexpr core::Milliseconds now = 1000;

bool isSettled(State const& state) {
  bool const lastIsCommitted = state.committedReading == state.readings;
  bool const routerHasIt = state.atRouter.revision == state.committed.revision;
  return lastIsCommitted && routerHasIt && state.hintsInFlight.empty();
}

}  // namespace

std::vector<RemovalHintModel::Action> RemovalHintModel::actions(State const& state) const {
  std::vector<Action> possible;
  if (state.readings < maxReadings) possible.push_back({Kind::read, 0});
  if (state.committedReading < state.readings) possible.push_back({Kind::commit, 0});
  for (std::size_t i = 0; i < state.hintsInFlight.size(); ++i)
    possible.push_back({Kind::deliverHint, static_cast<int>(i)});
  if (state.atRouter.revision < state.committed.revision) possible.push_back({Kind::deliverList, 0});
  return possible;
}

transport::EndpointRemovalHint RemovalHintModel::hintOf(State const& state) const {
  transport::EndpointRemovalHint hint{pool, state.committed.generation + 1, {}, {}};
  hint.serving = {"replica" + std::to_string(state.readings)};
  if (!rules_.namesBase) {
    hint.generation = static_cast<std::uint64_t>(state.readings) + 1;
    return hint;
  }
  hint.source = "reader";
  hint.incarnation = 1;
  hint.sequence = static_cast<std::uint64_t>(state.readings);
  hint.baseRevision = state.committed.revision;
  return hint;
}

State RemovalHintModel::apply(State const& before, Action const& action) const {
  State state = before;
  switch (action.kind) {
    case Kind::read:
      ++state.readings;
      state.hintsInFlight.push_back(hintOf(state));
      break;
    case Kind::commit:
      // The reader proposes the list that it read last.
      state.committedReading = state.readings;
      ++state.committed.revision;
      ++state.committed.generation;
      break;
    case Kind::deliverHint:
      state.hints.add(now, state.hintsInFlight[static_cast<std::size_t>(action.reading)], state.atRouter);
      state.hintsInFlight.erase(state.hintsInFlight.begin() + action.reading);
      break;
    case Kind::deliverList:
      state.atRouter = state.committed;
      state.hints.onListCommitted(pool, state.atRouter);
      break;
  }
  if (isSettled(state) && !state.hints.empty()) state.broken = "a hint outlives the list that was read last";
  return state;
}

std::uint64_t RemovalHintModel::digest(State const& state) {
  std::string text = std::to_string(state.readings) + " " + std::to_string(state.committedReading) + " " +
                     std::to_string(state.committed.revision) + " " + std::to_string(state.atRouter.revision);
  auto const describe = [&](transport::EndpointRemovalHint const& hint) {
    text +=
        " " + hint.serving.front() + "/" + std::to_string(hint.generation) + "/" + std::to_string(hint.baseRevision);
  };
  for (transport::EndpointRemovalHint const& hint : state.hintsInFlight) describe(hint);
  text += " |";
  for (transport::EndpointRemovalHint const* const hint : state.hints.ofPool(pool)) describe(*hint);
  return core::stableHash(text + (state.broken.empty() ? "" : " broken"));
}

std::string RemovalHintModel::name(State const& state, Action const& action) {
  switch (action.kind) {
    case Kind::read:
      return "the reader reads list " + std::to_string(state.readings + 1);
    case Kind::commit:
      return "list " + std::to_string(state.readings) + " is committed";
    case Kind::deliverHint:
      return "the router gets the hint of " +
             state.hintsInFlight[static_cast<std::size_t>(action.reading)].serving.front();
    case Kind::deliverList:
      return "the router gets the committed list";
  }
  return "";
}

}  // namespace corkward::explore
