#pragma once

/// Tracks which routers have the newest revision of each key, and the replies that wait for them.
///
/// A rollout is complete in one of two cases. First: each router of the roster has the revision, has departed or is
/// unreachable. Second: a majority of the roster's routers has had the revision for longer than a serving lease. If
/// routers of the previous roster may still serve, a majority of the previous roster must have had it for as long. The
/// routers that lack the revision are then fenced, because a router that lacks a revision known to a majority gets no
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

/// A reply to an operator's change that is sent when the change's rollout is complete.
struct PendingRolloutReply {
  /// Id of the call among the pending calls.
  std::uint64_t call = 0;
  std::string key;
  std::uint64_t revision = 0;
  Milliseconds since = 0;
  /// When a majority of the routers was first known to have the revision, or -1 if that is not known yet.
  Milliseconds majorityAt = -1;
  int status = 0;
  QJsonObject body = {};
};

/// The state by which the tracker evaluates rollouts.
struct RolloutInputs {
  Milliseconds now = 0;
  QuorumContact quorumContact;
  Roster const& roster;
  RouterRegistry const& routers;
};

class RolloutTracker {
 public:
  /// The rollout of a key's newest revision to the routers.
  struct Rollout {
    std::uint64_t revision = 0;
    /// When the revision was committed at this controller.
    Milliseconds since = 0;
    /// When a majority of the routers was first known to have the revision, or -1 if that is not known yet.
    Milliseconds majorityAt = -1;
    bool complete = false;
    /// Newest revision that each router is known to have. It is cleared when the rollout is complete, except for the
    /// roster's key.
    transport::Revisions acknowledged = {};
  };

  explicit RolloutTracker(ControllerTuning const& tuning) : tuning_(tuning) {}

  /// Returns the rollout of the key's newest revision, or null if the key has no value.
  Rollout const* find(std::string const& key) const;
  /// Returns the keys whose newest revision is not known to have reached the routers.
  std::set<std::string> const& incomplete() const { return incompleteRollouts_; }
  std::vector<PendingRolloutReply> const& pendingReplies() const { return pendingReplies_; }

  /// Starts the rollout of a newly committed revision of the key.
  void start(Milliseconds now, std::string const& key, std::uint64_t revision);
  void recordAcknowledged(std::string const& link, std::string const& key, std::uint64_t revision);
  /// Records that the router has the newest revision of all keys whose rollout is incomplete.
  void recordUpToDate(std::string const& link);

  RolloutState stateOf(RolloutInputs const& inputs, std::string const& key, std::uint64_t revision,
                       Milliseconds since) const;
  /// Returns true if all routers are known to have the key's newest revision, or if those that lack it are fenced.
  bool isComplete(RolloutInputs const& inputs, std::string const& key) const;
  /// Re-evaluates the incomplete rollouts.
  void updateRollouts(RolloutInputs const& inputs);

  void awaitRollout(PendingRolloutReply reply) { pendingReplies_.push_back(std::move(reply)); }
  /// Removes and returns the replies that are due: those whose rollout is complete and those that have timed out. A
  /// timed-out reply has the body of pendingRolloutBody().
  std::vector<PendingRolloutReply> takeDueReplies(RolloutInputs const& inputs);
  bool awaitsReply(std::uint64_t call) const;
  /// Returns true if a pending reply waits for this router.
  bool awaitsRouter(std::string const& link) const;
  /// Returns in how many incomplete rollouts the router is not known to have the newest revision.
  std::size_t missingRevisionCount(std::string const& link) const;

 private:
  /// Progress of a revision among the routers of one roster.
  struct Progress {
    std::size_t routers = 0;
    /// Number of routers that have the revision, have departed or are unreachable.
    std::size_t acknowledged = 0;
    /// Number of routers that have the newest roster, have departed or are unreachable.
    std::size_t onNewestRoster = 0;
  };
  Progress progressOf(RolloutInputs const& inputs, std::set<std::string> const& links, Rollout const& rollout,
                      std::uint64_t revision, Milliseconds since) const;
  bool mayStillServe(RolloutInputs const& inputs, Progress const& previousNodes) const;
  /// Returns true if the serving leases of all routers that lack the revision have expired.
  bool isFenced(Milliseconds now, Milliseconds majorityAt) const;
  /// Returns true if the reply is due, and then sets its outcome.
  bool isDue(RolloutInputs const& inputs, PendingRolloutReply& reply) const;

  ControllerTuning tuning_;
  std::map<std::string, Rollout> rollouts_;
  /// Keys of the incomplete rollouts in rollouts_.
  std::set<std::string> incompleteRollouts_;
  std::vector<PendingRolloutReply> pendingReplies_;
};

/// Returns the reply's body for a change that is committed while its rollout is not known to be complete. Such a reply
/// has status 504, so that no script counts it as a success.
QJsonObject pendingRolloutBody(QJsonObject body, std::uint64_t revision);

}  // namespace corkward::control
