#pragma once

/// The roster: the routers that a change must reach before its rollout is complete.

#include <QJsonObject>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>

namespace corkward::control {

using core::Milliseconds;

/// A router's entry on the roster.
struct RosterNode {
  std::string link;
  std::string httpAddress;
  std::string zone;
};

/// The roster's replicated value.
struct RosterValue {
  std::vector<RosterNode> nodes;
  /// Links on the previous revision of the roster. Their routers may serve until they have this revision.
  std::set<std::string> previousNodes;
  /// Links that an operator has declared permanently departed. No rollout waits for them.
  std::set<std::string> departed;

  static RosterValue parse(QJsonObject const& value);
  /// Returns the value as a controller proposes it. The validator adds the previous nodes.
  QJsonObject proposalJson() const;
};

/// The committed roster, with sets that are derived from it when it is committed.
class Roster {
 public:
  /// Loads a newly committed value.
  void load(Milliseconds now, std::uint64_t revision, QJsonObject const& value);

  /// Returns the committed revision, or 0 if no roster is committed.
  std::uint64_t revision() const { return revision_; }
  /// Returns when the revision was committed at this controller.
  Milliseconds committedAt() const { return committedAt_; }
  RosterValue const& value() const { return value_; }
  /// Returns the links of the routers on the roster.
  std::set<std::string> const& nodes() const { return nodes_; }
  std::set<std::string> const& previousNodes() const { return value_.previousNodes; }
  std::set<std::string> const& departed() const { return value_.departed; }
  /// Returns the sorted links of the nodes and previous nodes. A bit's position in a RouterStatusReport is the index of
  /// its router's link in this vector.
  std::vector<std::string> const& bitPositions() const { return bitPositions_; }

 private:
  RosterValue value_;
  std::set<std::string> nodes_;
  std::vector<std::string> bitPositions_;
  std::uint64_t revision_ = 0;
  Milliseconds committedAt_ = 0;
};

}  // namespace corkward::control
