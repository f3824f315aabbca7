#pragma once

/// How far the newest revision of each key has reached the routers, and the replies that wait for it.
///
/// A rollout is complete when every router of the roster has the revision, has departed or is unreachable; or when a
/// majority of the roster, and of the previous one while it may still serve, has had it for longer than a serving
/// lease: the routers that lack it are then fenced, since a router that does not know what a majority knows gets no
/// lease.

#include <QJsonObject>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/control/committed_values.h>
#include <corkward/control/controller_tuning.h>
#include <corkward/control/roster.h>
#include <corkward/control/router_registry.h>

namespace corkward::control {

enum class RolloutState { incomplete, majority, complete };

/// A reply to an operator's change that is sent when its rollout is complete.
struct PendingRolloutReply {
  /// Id of the call among the pending calls.
  std::uint64_t call = 0;
  std::string key;
  std::uint64_t revision = 0;
  Milliseconds since = 0;
  /// When a majority was first seen to have the revision; -1: not yet.
  Milliseconds majorityAt = -1;
  int status = 0;
  QJsonObject body = {};
};

/// The inputs by which the tracker evaluates rollouts.
struct RolloutInputs {
  Milliseconds now = 0;
  QuorumContact quorumContact;
  Roster const& roster;
  RouterRegistry const& routers;
};

class RolloutTracker {
 public:
  /// The newest revision of a key being rolled out to the routers.
  struct Rollout {
    std::uint64_t revision = 0;
    /// When it was committed here.
    Milliseconds since = 0;
    /// When a majority was first seen to have it; -1: not yet.
    Milliseconds majorityAt = -1;
    bool complete = false;
    /// Newest revision that each router is known to have; dropped when the rollout is complete, but for the roster's.
    transport::Revisions acknowledged = {};
  };

  explicit RolloutTracker(ControllerTuning const& tuning) : tuning_(tuning) {}

  /// The rollout of the key's newest revision, or null.
  Rollout const* find(std::string const& key) const;
  /// Keys whose newest revision is not known to have reached the routers.
  std::set<std::string> const& incomplete() const { return incompleteRollouts_; }
  std::vector<PendingRolloutReply> const& pendingReplies() const { return pendingReplies_; }

  /// A revision of the key was committed.
  void start(Milliseconds now, std::string const& key, std::uint64_t revision);
  void recordAcknowledged(std::string const& link, std::string const& key, std::uint64_t revision);
  /// The router has the newest revision of all keys whose rollout is incomplete.
  void recordIncompleteAcknowledged(std::string const& link);

  RolloutState stateOf(RolloutInputs const& inputs, std::string const& key, std::uint64_t revision,
                       Milliseconds since) const;
  /// True when the key's newest revision is known to have reached the routers, or those that lack it are fenced.
  bool isComplete(RolloutInputs const& inputs, std::string const& key) const;
  /// Judges the incomplete rollouts anew.
  void updateRollouts(RolloutInputs const& inputs);

  void awaitRollout(PendingRolloutReply reply) { pendingReplies_.push_back(std::move(reply)); }
  /// Takes out the replies that are due: those whose rollout is complete, and those that have waited too long, which
  /// say so.
  std::vector<PendingRolloutReply> takeDueReplies(RolloutInputs const& inputs);
  bool awaitsReply(std::uint64_t call) const;
  /// True when a reply waits for this router among others.
  bool awaitsRouter(std::string const& link) const;
  /// How many incomplete rollouts the router is not known to have.
  std::size_t missingAt(std::string const& link) const;

 private:
  /// How many routers of a roster are known to have a revision.
  struct Progress {
    std::size_t routers = 0;
    std::size_t acknowledged = 0;
    /// Those that have the newest roster.
    std::size_t onRoster = 0;
  };
  Progress progressOf(RolloutInputs const& inputs, std::set<std::string> const& links, Rollout const& rollout,
                      std::uint64_t revision, Milliseconds since) const;
  bool mayStillServe(RolloutInputs const& inputs, Progress const& previousNodes) const;
  /// True when the serving leases of routers that lack the revision have run out.
  bool isFenced(Milliseconds now, Milliseconds majorityAt) const;
  /// Marks the reply with its outcome when it is due.
  bool isDue(RolloutInputs const& inputs, PendingRolloutReply& reply) const;

  ControllerTuning tuning_;
  std::map<std::string, Rollout> rollouts_;
  /// Keys of rollouts_ that are not complete.
  std::set<std::string> incompleteRollouts_;
  std::vector<PendingRolloutReply> pendingReplies_;
};

/// Reply to a change that is committed while its rollout is not known to be complete. It has status 504: no script must
/// count it as a success.
QJsonObject pendingRolloutBody(QJsonObject body, std::uint64_t revision);

}  // namespace corkward::control
