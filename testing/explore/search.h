#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace corkward::explore {

/// Limits at which a search stops early.
struct Limits {
  /// Longest trace, in actions.
  int depth = 1000;
  /// Seconds on the wall clock.
  double seconds = 600;
  /// Memory of the whole process, in MB.
  std::size_t memoryMb = 2048;
};

/// Result of a search.
struct Outcome {
  std::uint64_t states = 0;
  /// Transitions tried, including those to states already visited.
  std::uint64_t steps = 0;
  /// Number of actions from the initial state to the farthest state found.
  int depth = 0;
  double seconds = 0;
  /// The limit that ended the search. Empty if every state within the model's bounds was visited.
  std::string stoppedBy;
  /// The invariant that was broken and the shortest trace to it. Empty if none was.
  std::string broken;
  std::vector<std::string> trace;
};

/// Returns the resident memory of this process, in MB.
std::size_t residentMb();

/// Breadth-first search over a model's states, deduplicated by a 64-bit hash. The first broken invariant found has the
/// shortest trace.
/// A model has `State` (with a text `broken`), `Action`, `initial()`, `actions(state)`, `apply(state, action)`,
/// `digest(state)` and `name(state, action)`. None of the functions has side effects.
template <class Model>
class Search {
 public:
  Search(Model const& model, Limits const& limits) : model_(model), limits_(limits) {}

  Outcome run() {
    for (typename Model::State const& s : model_.initial()) visit(s, none, {});
    while (!level_.empty() && out_.broken.empty() && out_.stoppedBy.empty()) {
      if (out_.depth >= limits_.depth) {
        out_.stoppedBy = "depth";
        break;
      }
      expandLevel();
    }
    out_.states = nodes_.size();
    out_.seconds = seconds();
    return out_;
  }

 private:
  static constexpr std::uint32_t none = 0xFFFFFFFFU;
  struct Node {
    std::uint32_t parent = none;
    typename Model::Action action;
  };
  struct QueuedState {
    std::uint32_t node;
    typename Model::State state;
  };

  void expandLevel() {
    std::vector<QueuedState> const level = std::move(level_);
    level_.clear();
    ++out_.depth;
    for (QueuedState const& w : level) {
      for (typename Model::Action const& action : model_.actions(w.state)) {
        ++out_.steps;
        visit(model_.apply(w.state, action), w.node, action);
        if (!out_.broken.empty()) return;
      }
      if (out_.steps >= checkAt_ && limitReached()) return;
    }
    if (level_.empty()) --out_.depth;
  }

  void visit(typename Model::State&& state, std::uint32_t parent, typename Model::Action const& action) {
    if (!visited_.insert(model_.digest(state)).second) return;
    nodes_.push_back(Node{parent, action});
    auto const node = static_cast<std::uint32_t>(nodes_.size() - 1);
    if (!state.broken.empty()) {
      out_.broken = state.broken;
      replayTrace(node);
    }
    level_.push_back(QueuedState{node, std::move(state)});
  }
  void visit(typename Model::State const& state, std::uint32_t parent, typename Model::Action const& action) {
    visit(typename Model::State(state), parent, action);
  }

  /// Repeats the trace that leads to a node, to name its actions.
  void replayTrace(std::uint32_t node) {
    std::vector<typename Model::Action> actions;
    std::uint32_t at = node;
    for (; nodes_[at].parent != none; at = nodes_[at].parent) actions.push_back(nodes_[at].action);
    typename Model::State state = model_.initial().at(at);
    for (std::size_t i = actions.size(); i-- > 0;) {
      out_.trace.push_back(model_.name(state, actions[i]));
      state = model_.apply(state, actions[i]);
    }
    if (state.broken != out_.broken) out_.broken += " (not reproduced when the trace is repeated)";
  }

  bool limitReached() {
    checkAt_ = out_.steps + 256;
    if (seconds() > limits_.seconds) out_.stoppedBy = "seconds";
    if (residentMb() > limits_.memoryMb) out_.stoppedBy = "memory";
    return !out_.stoppedBy.empty();
  }
  double seconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt_).count();
  }

  Model const& model_;
  Limits limits_;
  Outcome out_;
  std::vector<Node> nodes_;
  std::vector<QueuedState> level_;
  std::unordered_set<std::uint64_t> visited_;
  std::uint64_t checkAt_ = 0;
  std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
};

}  // namespace corkward::explore
