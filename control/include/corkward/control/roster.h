#pragma once

/// The roster: which routers a change must have reached before its rollout is complete.

#include <QJsonObject>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::control {

using core::Milliseconds;

/// One router as the roster names it.
struct RosterNode {
  std::string link;
  std::string httpAddress;
  std::string zone;
};

/// The roster's replicated value.
struct RosterValue {
  std::vector<RosterNode> nodes;
  /// Links of the revision before this one, whose routers may serve until they know this one.
  std::set<std::string> previousNodes;
  /// Links that an operator has declared departed for good: no rollout waits for them.
  std::set<std::string> departed;

  static RosterValue parse(QJsonObject const& value);
  /// What a controller proposes as the next roster; the validator adds the previous nodes.
  QJsonObject proposalJson() const;
};

/// The committed roster and what is derived from it once at its commit.
class Roster {
 public:
  /// Takes a newly committed value.
  void load(Milliseconds now, std::uint64_t revision, QJsonObject const& value);

  /// 0: no roster is committed.
  std::uint64_t revision() const { return revision_; }
  /// When the revision was committed here.
  Milliseconds committedAt() const { return committedAt_; }
  RosterValue const& value() const { return value_; }
  /// Links of the nodes.
  std::set<std::string> const& nodes() const { return nodes_; }
  std::set<std::string> const& previousNodes() const { return value_.previousNodes; }
  std::set<std::string> const& departed() const { return value_.departed; }
  /// Nodes and previous nodes, sorted: the link that each bit of a RouterStatusReport stands for.
  std::vector<std::string> const& bitPositions() const { return bitPositions_; }

 private:
  RosterValue value_;
  std::set<std::string> nodes_;
  std::vector<std::string> bitPositions_;
  std::uint64_t revision_ = 0;
  Milliseconds committedAt_ = 0;
};

}  // namespace corkward::control
