#pragma once

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/config/regimes.h>
#include <corkward/core/journal.h>
#include <corkward/dataplane/configuration_state.h>
#include <corkward/dataplane/controller_links.h>
#include <corkward/dataplane/failure_log.h>
#include <corkward/dataplane/neighbour_links.h>
#include <corkward/dataplane/regime_policy.h>
#include <corkward/dataplane/request.h>
#include <corkward/dataplane/request_id_table.h>
#include <corkward/dataplane/route_table.h>
#include <corkward/dataplane/router_commands.h>
#include <corkward/dataplane/roster.h>
#include <corkward/dataplane/router_tuning.h>
#include <corkward/dataplane/serving_lease.h>
#include <corkward/dataplane/service_times.h>
#include <corkward/dataplane/stall_detector.h>
#include <corkward/dataplane/tenants.h>
#include <corkward/dataplane/wall_clock.h>
#include <corkward/dataplane/warmup_leases.h>
#include <corkward/scaling/scaling.h>
#include <corkward/gossip/partial_view.h>
#include <corkward/gossip/removal_hints.h>
#include <corkward/transport/message.h>

namespace corkward::dataplane {

using core::Milliseconds;
using core::NameIndex;

/// Number of objects that the router stores. Tests use it to check that removed objects are freed.
struct RouterUsage {
  std::size_t replicas = 0;
  std::size_t instances = 0;
  std::size_t queues = 0;
  /// Queues that are evaluated periodically.
  std::size_t activeQueues = 0;
  std::size_t contacts = 0;
  std::size_t ids = 0;
  std::size_t prefixes = 0;
  std::size_t calls = 0;
};

/// The data plane of one router as a pure reducer: each event returns the commands to be executed.
class RequestRouter {
 public:
  RequestRouter(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed, RouterTuning tuning = {});

  RouterCommands started(Milliseconds now);
  RouterCommands onMessage(Milliseconds now, std::string const& from, transport::Message const& message);
  RouterCommands onTimer(Milliseconds now);

  RouterCommands onRequest(Milliseconds now, Request const& request);
  /// The connection to the replica is open and nothing was sent on it yet. Checks for the last time whether the request
  /// may be dispatched.
  RouterCommands onConnected(Milliseconds now, CallId id);
  /// The connection to the replica could not be opened, so nothing was sent.
  RouterCommands onConnectFailure(Milliseconds now, CallId id);
  /// This router could not open a connection because it has no free file descriptors. The replica is not at fault.
  RouterCommands onLocalConnectFailure(Milliseconds now, CallId id);
  RouterCommands onFirstByte(Milliseconds now, CallId id, bool runKnown);
  /// The replica responds with a failure, of which nothing was forwarded to the caller yet. If the commands contain
  /// Connect, the response is discarded and another replica is tried. Otherwise the response is forwarded.
  RouterCommands onUpstreamError(Milliseconds now, CallId id);
  /// The response makes progress: bytes arrived from the replica, or the transfer waits for a slow caller. Called at
  /// most once a second.
  RouterCommands onProgress(Milliseconds now, CallId id);
  RouterCommands onUpstreamFinished(Milliseconds now, CallId id, UpstreamResult result);
  RouterCommands onCallerDisconnected(Milliseconds now, CallId id);
  /// Handles an endpoint list that the platform sent to this router. Replicas that the list removes are out of use at
  /// once. Replicas that it adds are used only once the controllers have committed the list.
  RouterCommands onEndpointList(Milliseconds now, CallId call, std::string const& pool, std::string const& body);
  /// Replaces the settings and the seeds. Existing scalers keep their parameters.
  void updateTuning(RouterTuning const& tuning, std::vector<std::string> seeds);
  /// Starts a graceful shutdown: request ids and warm-up leases are handed over to the other routers.
  RouterCommands drain(Milliseconds now);
  /// Sets the wall time (milliseconds since 1970) that belongs to `now` on the boot clock. Called with each timer
  /// event.
  void setWallTime(Milliseconds now, std::int64_t wall);
  /// Wall time at a time on the boot clock. Returns std::nullopt before the first call of setWallTime.
  config::WallTime wallTimeAt(Milliseconds now) const { return wallClock_.at(now); }
  /// Sets whether audit records can be written from now on.
  void setAuditAvailable(bool available) { tuning_.auditRecordsAvailable = available; }
  bool auditAvailable() const { return tuning_.auditRecordsAvailable; }

  /// Whether callers should be routed to this router.
  bool ready(Milliseconds now) const;
  /// Whether this router may dispatch requests to replicas at all.
  bool servingLease(Milliseconds now) const;
  RouterUsage usage() const;
  std::size_t pendingCount() const { return calls_.size(); }
  std::string metrics(Milliseconds now) const;
  QJsonObject state(Milliseconds now) const;
  std::uint64_t revisionOf(std::string const& key) const { return configuration_.revisionOf(key); }
  /// For each instance that uses the pool: the number of replicas in its subset, and of requests in its queue.
  std::vector<std::pair<std::size_t, std::size_t>> subsetSizes(std::string const& pool) const;
  /// Value in effect for a key. Empty if the key has no entry.
  QJsonObject configurationValue(std::string const& key) const { return configuration_.value(key); }
  /// Limits on callers' HTTP requests, from the fleet configuration.
  config::HttpLimits const& httpLimits() const { return httpLimits_; }
  core::Journal const& journal() const { return journal_; }

 private:
  enum class Phase { queryingRequestId, awaitingQuota, queued, connecting, dispatched, streaming };
  /// State of a call's amount of its tenant's limit: not acquired or not needed, acquired, or used by a dispatch.
  enum class QuotaState { none, acquired, used };
  static char const* phaseName(Phase phase);
  struct Call {
    Request request;
    NameIndex path = 0;
    /// Revision of the routes with which `path` was found. 0 if no path was found.
    std::uint64_t pathRevision = 0;
    NameIndex pool = 0;
    /// Replicas to which the request was dispatched, including the current one.
    std::vector<NameIndex> dispatchedTo;
    Phase phase = Phase::queued;
    Milliseconds arrived = 0;
    Milliseconds deadline = 0;
    Milliseconds phaseSince = 0;
    Milliseconds dispatchedAt = 0;
    NameIndex replica = 0;
    bool holdsSlot = false;
    /// Tokens of this call that are included in Replica::prefillTokens.
    std::int64_t prefillTokens = 0;
    /// Another attempt with this id was seen before. Such a call does not count as demand when its queue is evaluated.
    bool isRepeatedAttempt = false;
    /// The execution can be resumed, as reported by the first byte.
    bool runKnown = false;
    /// The outcome of the newest dispatch was recorded in its replica's reliability.
    bool outcomeRecorded = false;
    bool dispatched = false;
    /// An earlier attempt with this id may have reached a replica.
    bool reachedReplica = false;
    /// An earlier dispatch, which was given up, may have been executed, so that no rejection may state "not executed".
    /// Only for instances' paths, not for paths of the fleet configuration.
    bool mayHaveRun = false;
    /// The request was dispatched, and the dispatch was neither undone nor rejected as not executed.
    bool outstanding = false;
    int resumes = 0;
    std::uint64_t prefix = 0;
    /// Routers that have not replied to the query for the request id yet.
    std::set<std::string> awaitedPeers;
    /// Router processes that queried an id without attempt number before. They must confirm that they did not execute
    /// it.
    std::set<std::string> earlierClaimants;
    /// Router processes that knew the id and confirmed that they did not execute it.
    std::set<std::string> clearedByPeers;
    /// Milliseconds for which the peers remember ids, for each peer that confirmed that it did not execute the request.
    std::vector<Milliseconds> peerMemorySpans;
    /// A peer replied that the request may have been executed there.
    bool mayHaveRunOnPeer = false;
    /// Tenant that sends the request. Empty if it has none.
    std::string tenant;
    /// Amount that the request uses of its tenant's limit.
    double amount = 0;
    QuotaState quotaState = QuotaState::none;
    /// Earliest time at which the amount may have been taken out of the limit.
    Milliseconds quotaAcquiredAt = 0;
    /// Urgency of the tenant if it has its own, otherwise of the path.
    int urgency = 5;
  };
  struct Replica {
    NameIndex pool = 0;
    std::string address;
    /// Name of the replica's incarnation. Empty if the platform does not state it.
    std::string id;
    std::string zone;
    std::uint64_t hash = 0;
    config::ReplicaState state = config::ReplicaState::draining;
    /// The replica is in the pool's current endpoint list.
    bool listed = false;
    /// The replica is reserved for prompts that are too long for the latency target.
    bool isolated = false;
    /// Uncached prompt tokens of this router's requests at the replica that have not had their first byte yet.
    std::int64_t prefillTokens = 0;
    /// An endpoint list that is newer than the current one does not contain the replica any more, as a removal hint
    /// says.
    bool unreachable = false;
    Milliseconds backoffUntil = 0;
    /// Requests of this router that are connecting to the replica or in progress on it.
    int inFlight = 0;
    scaling::CircuitBreaker reliability;
    /// Excluded from the choice because it fails more often than others of its pool; see ejectOutliers.
    bool ejected = false;
  };
  struct PoolView {
    std::uint64_t listGeneration = 0;
    double slowStartRate = 0;
    std::vector<NameIndex> replicas;
    /// Settings of the pool in the fleet configuration, if it contains the pool.
    std::optional<config::PoolSettings> settings;
    /// Replicas that may be chosen, by regime. The key is empty for requests without a regime.
    std::map<std::string, scaling::Candidates> candidates;
    /// The regimes of instances may have changed since the candidates were computed.
    bool bindingsChanged = false;
    /// The state of a replica may have changed since the candidates were computed.
    bool changed = true;
    /// Time at which the candidates may change without an event, for example when a backoff ends.
    Milliseconds changesAt = 0;
  };
  /// The requests of one instance to one pool: their limit, their subset of replicas, and those that wait.
  struct AdmissionQueue {
    scaling::Scaler scaler;
    /// Queued calls by priority class.
    std::array<std::list<CallId>, 3> waiting;
    /// Counts the attempts to dispatch from the queue. In every eighth one the classes are tried in reverse order, so
    /// that bulk requests are not starved.
    unsigned classTurn = 0;
    scaling::CompletionRate completions;
    StallDetector stall;
    std::size_t queuedCount() const { return waiting[0].size() + waiting[1].size() + waiting[2].size(); }
  };
  /// Whether this router may work for a regime. An empty string means that there is no such reason.
  struct RegimeStatus {
    /// Why the regime's running requests must stop.
    std::string stopReason;
    /// Why no request of the regime may start.
    std::string rejectionReason;
  };
  using QueueKey = std::pair<NameIndex, NameIndex>;

  void applyEntries(RouterCommands& out, Milliseconds now, std::vector<transport::CommittedEntry> const& entries);
  void applyEntry(RouterCommands& out, Milliseconds now, transport::CommittedEntry const& entry);
  void refreshCandidates(RouterCommands& out, Milliseconds now);
  void refreshPool(Milliseconds now, NameIndex pool);
  void activate(Milliseconds now, QueueKey const& key);
  void backOff(NameIndex replica, Milliseconds until);
  /// Marks the pool's replicas that a removal hint takes out of use.
  void refreshUnreachable(NameIndex pool);
  /// Applies a hint. Returns true if it says something new.
  bool applyRemovalHint(RouterCommands& out, Milliseconds now, transport::EndpointRemovalHint const& hint);
  /// Ends the hints that their sources have not renewed.
  void expireRemovalHints(RouterCommands& out, Milliseconds now);
  gossip::CommittedListVersion committedList(std::string const& poolName) const;
  bool usable(Milliseconds now, NameIndex replica) const;
  double slowStartRate(NameIndex pool) const;
  NameIndex choosePool(Milliseconds now, Route const& route, CallId id) const;
  NameIndex poolIndex(std::string const& name);
  /// Frees removed routes that no call uses any more, if RouteTable::needsCompaction.
  void compactRoutes();
  /// Applies the value of one configuration entry. Throws core::Error if the value is not valid.
  void applyValue(RouterCommands& out, Milliseconds now, transport::CommittedEntry const& entry);
  void applyEndpointList(std::string const& poolName, std::uint64_t revision, config::EndpointList const& list);
  void applyMembership(QJsonObject const& value);
  void applyFleetConfiguration(RouterCommands& out, Milliseconds now, QJsonObject const& value);
  void addRoute(std::string const& owner, RouteKey const& key, config::Path const& path, std::string const& instance);
  SendRequest dispatch(Milliseconds now, CallId id);
  // Steps of onConnected.
  void dispatchResume(RouterCommands& out, Milliseconds now, CallId id);
  void rejectConnected(RouterCommands& out, Milliseconds now, CallId id, int status, std::string reason,
                       double retryAfter);
  /// Returns true if the call's route is still active. Otherwise rejects the call or admits it by its new route.
  bool confirmRoute(RouterCommands& out, Milliseconds now, CallId id);
  /// Returns true if the call may be dispatched to its replica now. Otherwise rejects it or retries it on another
  /// replica.
  bool confirmDispatch(RouterCommands& out, Milliseconds now, CallId id);
  void recordDispatch(Milliseconds now, Call& call);
  // Steps of onUpstreamFinished.
  /// Records the result for the replica, the quota and the audit. Returns the result, with connectionLost in place of
  /// staleConnection.
  UpstreamResult recordUpstreamResult(RouterCommands& out, Milliseconds now, Call& call, UpstreamResult result);
  /// The call was dispatched, no byte of its response has arrived, and it was not resumed.
  static bool isFirstRun(Call const& call);
  /// The call may not be resumed again, because calls of a regime are resumed only once.
  bool isResumeSpent(Call const& call) const;
  /// Takes a retry from the budget for a call that may be retried from the start or resumed on another replica. Returns
  /// false if the call may not be retried or no retry is left.
  bool tryStreamRetry(Milliseconds now, Call const& call, UpstreamResult result);
  void recoverStream(RouterCommands& out, Milliseconds now, CallId id, UpstreamResult result);
  void retryNotExecuted(RouterCommands& out, Milliseconds now, CallId id);
  /// Takes a retry from the budget for a call that may be resumed on its replica. Returns false if the call may not be
  /// resumed or no retry is left.
  bool trySameReplicaResume(Milliseconds now, Call const& call, UpstreamResult result);
  void resumeOnSameReplica(RouterCommands& out, Milliseconds now, CallId id);
  void failUpstream(RouterCommands& out, Milliseconds now, CallId id);
  /// Suspends a replica for a short time after it replied "not executed".
  void backOffOverloaded(Milliseconds now, NameIndex replica);
  /// Whether a new request of the path would probably be aborted by the end of the drain.
  bool outlastsDrain(Milliseconds now, config::Path const& path) const;
  void checkDispatch(Milliseconds now, Call const& call, Milliseconds remainingMs) const;
  /// Records a request that ends without a complete response, for the log and the metrics.
  void recordFailure(RouterCommands& out, Milliseconds now, Call const& call, int status, std::string const& reason);
  /// Tokens of the prompt's shared segments that the replica probably does not have in its prefix cache.
  std::int64_t uncachedPrefillTokens(Call const& call, NameIndex replica, NameIndex affinityReplica) const;
  void finishPrefill(Call& call);
  bool mayRetry(Milliseconds now, Call const& call) const;
  /// Records the outcome of the newest dispatch in its replica's reliability, at most once per dispatch.
  void recordOutcome(RouterCommands& out, Milliseconds now, Call& call, bool bad);
  /// Ejects the pool's replicas that are not trusted: at most a third of the usable ones, and none if more than half of
  /// them are not trusted.
  void ejectOutliers(Milliseconds now, NameIndex pool);
  /// Whether the first byte took so long that it counts against the replica.
  bool isOverdue(Call const& call, Milliseconds took) const;
  /// Undoes the last dispatch of a call, because the request could not be written to its connection.
  void undoDispatch(RouterCommands& out, Milliseconds now, CallId id);
  // Steps of onTimer.
  void requestLeases(RouterCommands& out, Milliseconds now);
  bool isExpired(Milliseconds now, Call const& call) const;
  void expireCalls(RouterCommands& out, Milliseconds now);
  void expireCall(RouterCommands& out, Milliseconds now, CallId id);
  void evaluateQueues(RouterCommands& out, Milliseconds now);
  /// Whether a stream of a fleet configuration path has exceeded its deadline and the grace period.
  bool isPastDeadline(Milliseconds now, Call const& call) const;
  void connectTo(RouterCommands& out, Milliseconds now, CallId id, NameIndex replica);
  /// All usable serving replicas of the pool, including those outside the queue's subset.
  std::vector<scaling::Candidate> candidatesBeyondSubset(Milliseconds now, NameIndex pool) const;
  bool resumeOnOtherReplica(RouterCommands& out, Milliseconds now, CallId id);
  std::int64_t chooseReplica(Milliseconds now, Call const& call, std::vector<scaling::Candidate> const& all) const;
  /// Replica that all routers prefer for the shared segments of the prompt, so that its prefix cache contains them.
  NameIndex affinityReplica(Call const& call) const;
  bool isAffinityCandidate(NameIndex replica) const;
  /// Whether the prompt is too long for the path's latency target and the pool has replicas reserved for such prompts.
  bool needsIsolatedReplica(Call const& call) const;
  /// Chooses the replicas that are reserved for too long prompts.
  void isolateReplicas(PoolView const& view);
  bool isEvacuated(std::string const& zone) const;
  bool hasRecentQuorumContact(Milliseconds now) const;
  /// Accepts the neighbours' snapshot as complete once this router has recent quorum contact.
  void adoptSnapshot(RouterCommands& out, Milliseconds now, std::string const& from);
  void chooseControllers(Milliseconds now);
  void sendLeaseRequest(RouterCommands& out, Milliseconds now, std::string const& to);
  NeighbourLinks::Peers neighbourCandidates(Milliseconds now) const;
  void sendHeartbeats(RouterCommands& out, Milliseconds now);
  void replyToHeartbeat(RouterCommands& out, Milliseconds now, std::string const& from,
                        transport::PeerHeartbeat const& heartbeat);
  void onHeartbeatReply(RouterCommands& out, Milliseconds now, std::string const& from,
                        transport::PeerHeartbeat const& reply);
  void requestNewerValues(RouterCommands& out, Milliseconds now, std::string const& from,
                          transport::Revisions const& revisions);
  void sendMissing(RouterCommands& out, std::string const& to, transport::Revisions const& have) const;
  std::vector<std::string> const& otherRouters() const { return roster_.others(); }
  std::size_t rosterSize() const { return roster_.size(); }
  void loadRoster(Milliseconds now, std::uint64_t revision, QJsonObject const& value);
  /// Whether this router still remembers all request ids that were used within the last `age` milliseconds, with a
  /// margin.
  bool remembersSince(Milliseconds now, Milliseconds age) const;
  /// Records how long this process handled no event, if it was notably long.
  void recordLag(Milliseconds now);
  /// Queries all other routers for the call's request id.
  void queryPeers(RouterCommands& out, Milliseconds now, CallId id);
  /// Admits or rejects a call without attempt number, if the peers' replies suffice for it.
  /// @param timedOut true if no further replies are awaited.
  void decideRequestId(RouterCommands& out, Milliseconds now, CallId id, bool timedOut);
  std::vector<std::string> controllers(Milliseconds now) const;
  AdmissionQueue& queueFor(RouterCommands& out, Milliseconds now, QueueKey const& key);
  /// Whether the limits of the queue and of the pool allow one more request, or a probe beyond the queue's limit is
  /// due.
  bool mayAttempt(Milliseconds now, AdmissionQueue& queue, QueueKey key, Call const& call) const;
  /// Replicas of the queue's subset that may get a request now.
  /// @param hasCapacity whether the limits allow a request. Replicas that are warming up have a limit of their own.
  std::vector<scaling::Candidate> usableCandidates(Milliseconds now, AdmissionQueue const& queue,
                                                   bool hasCapacity) const;
  void admit(RouterCommands& out, Milliseconds now, CallId id);
  bool attemptConnect(RouterCommands& out, Milliseconds now, CallId id);
  /// Connects the call to a replica at once, or puts it at the front of its queue.
  void connectOrQueueFirst(RouterCommands& out, Milliseconds now, CallId id);
  void dispatchQueued(RouterCommands& out, Milliseconds now, QueueKey key);
  /// Lets the queue's scaler adjust the limit and the subset of replicas.
  /// @param unqueued a call that is being admitted and is in no queue yet. 0 if there is none.
  void evaluateQueue(RouterCommands& out, Milliseconds now, QueueKey key, CallId unqueued = 0);
  void releaseSlot(RouterCommands& out, Milliseconds now, Call& call);
  void reject(RouterCommands& out, Milliseconds now, CallId id, int status, std::string reason, bool notExecuted,
              double retryAfter);
  /// Rejects a call that its queue has no capacity for, and logs if the queue is stalled.
  void rejectForCapacity(RouterCommands& out, Milliseconds now, CallId id, std::string reason);
  void removeCall(Milliseconds now, CallId id);
  void dropCall(RouterCommands& out, Milliseconds now, CallId id);
  std::string const& addressOf(NameIndex replica) const;
  void abortStream(RouterCommands& out, Milliseconds now, CallId id, std::string const& why = "the connection broke");
  /// Sets the call's tenant and urgency by its key. Returns false if the path needs a tenant and no tenant has the key.
  bool identifyTenant(Call& call, config::Path const& path) const;
  // Tenants' limits (tenant_limits.cpp).
  /// Takes the call's amount out of its tenant's limit, or sends a request for the amount to the partition owner.
  Admission admitByQuota(RouterCommands& out, Milliseconds now, Call& call);
  /// Marks the call's amount as used, right before the call is dispatched. An amount that was taken more than
  /// quota::maxDispatchDelay ago is returned and taken again. Returns false if no amount is available at once.
  bool spendQuota(Milliseconds now, Call& call);
  void rejectOverQuota(RouterCommands& out, Milliseconds now, CallId id, Admission admission);
  /// Returns the call's amount to its tenant's limit, since the call ends without having been dispatched.
  void returnQuota(Milliseconds now, Call& call);
  void applyQuotaDecisions(RouterCommands& out, Milliseconds now, std::vector<QuotaDecision> const& decisions);
  void updateTenants(RouterCommands& out, Milliseconds now);
  /// Claims the call's request id and, if need be, queries the other routers for it. Then admits the call.
  void admitOrQueue(RouterCommands& out, Milliseconds now, CallId id);
  /// Makes the call the active one of its request id. Returns false if the call was rejected instead.
  bool claimRequestId(RouterCommands& out, Milliseconds now, CallId id);
  /// Returns true if an earlier attempt with the id does not prevent this one. Otherwise rejects the call.
  bool mayReplaceEarlier(RouterCommands& out, Milliseconds now, CallId id, RequestIdRecord const& earlier);
  void admitLaterAttempt(RouterCommands& out, Milliseconds now, CallId id);
  void dequeue(CallId id);
  void retry(RouterCommands& out, Milliseconds now, CallId id, char const* why);
  /// Seconds after which a rejected caller should retry.
  double retryAfter(AdmissionQueue const& queue, config::RequestClass cls) const;
  /// Time until the requests of the same and of higher priority classes in the queue are served.
  Milliseconds expectedWait(AdmissionQueue const& queue, config::RequestClass cls) const;
  bool needsWarmupLease(Replica const& replica) const;
  /// How long this router waits before it requests an unowned lease. The delay grows with the router's rank by hash, so
  /// that the routers request the lease one after another.
  Milliseconds warmupRequestDelay(std::string const& replica) const;
  void updateWarmupLeases(RouterCommands& out, Milliseconds now);
  /// Releases all warm-up leases of this router and suggests a successor for each to the controllers.
  void releaseWarmupLeases(RouterCommands& out, Milliseconds now);
  std::string const& regimeOf(Call const& call) const;
  /// Why running requests of the regime must stop at this router. Empty if they may go on.
  std::string regimeStopReason(Milliseconds now, std::string const& regime) const;
  /// Why this router may start no request of the regime. Empty if it may.
  std::string regimeRejectionReason(Milliseconds now, std::string const& regime) const;
  config::Certificate const* certificate(Milliseconds now, std::string const& regime, NameIndex replica) const;
  /// The call's regime, if it has one, allows this router to dispatch the call to its replica now.
  bool allowedByRegime(Milliseconds now, Call const& call) const;
  /// The call may be sent to the replica: a regime's call if the replica is certified, any other call if enough of the
  /// replica's capacity is left for regimes.
  bool certifiedFor(Milliseconds now, Call const& call, NameIndex replica) const;
  void refreshCertified(Milliseconds now);
  static scaling::Candidates candidatesOf(PoolView const& view, std::string const& regime);
  void recordAudit(RouterCommands& out, Milliseconds now, Call const& call, AuditOutcome outcome,
                   std::string reason = {});
  /// Calls of regimes that have been admitted, in ascending order.
  std::vector<CallId> callsOfRegimes() const;
  /// Stops, moves or rejects calls of regimes that this router or their replica may not serve any more.
  void enforceRegimes(RouterCommands& out, Milliseconds now);
  void enforceRegime(RouterCommands& out, Milliseconds now, CallId id, RegimeStatus const& status);
  void enforceWhileQueued(RouterCommands& out, Milliseconds now, CallId id, RegimeStatus const& status);
  void enforceWhileConnecting(RouterCommands& out, Milliseconds now, CallId id, RegimeStatus const& status,
                              bool certified);
  /// The call is to be resumed on another replica and was not dispatched to it yet.
  static bool isResumeUnsent(Call const& call);
  /// Withdraws the call from its replica, and resumes, retries, aborts or rejects it.
  void abandonForRegime(RouterCommands& out, Milliseconds now, CallId id, std::string const& reason);
  void expireRequestIds(Milliseconds now) {
    requestIds_.expire(now, tuning_.requestIdRetention, tuning_.maxRequestIds);
  }
  void releaseRemoved(Milliseconds now);
  void logEvent(RouterCommands& out, Milliseconds now, core::EventName event,
                std::map<std::string, std::string> fields = {});
  void countMetric(Milliseconds now, std::string const& what, std::string const& about = "");
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::GossipShuffle const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::ConfigurationUpdate const& update);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::ServingLeaseGrant const& grant);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::EndpointRemovalHint const& hint);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::PeerHeartbeat const& heartbeat);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::ValueRequest const& request);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::RequestIdQuery const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::RequestIdReply const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::RequestIdHandover const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::WarmupLeaseGrant const& grant);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, quota::QuotaGrants const& grants);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, quota::AllocationQuery const& query);

  RouterTuning tuning_;
  std::uint64_t seed_;
  /// Name of this incarnation of the process among the claimants of request ids.
  std::string processName_;
  gossip::PartialView partialView_;
  core::Journal journal_;
  FailureLog failures_;
  ServiceTimes serviceTimes_;
  Milliseconds startedAt_ = 0;
  bool draining_ = false;
  Milliseconds drainedAt_ = 0;
  bool snapshotApplied_ = false;
  ConfigurationState configuration_;
  core::InternedNames instanceNames_;
  core::InternedNames poolNames_;
  core::InternedNames replicaNames_;
  std::vector<Replica> replicas_;
  std::vector<PoolView> pools_;
  gossip::RemovalHints removalHints_;
  RouteTable routes_;
  config::HttpLimits httpLimits_;
  Tenants tenants_;
  std::set<std::string> evacuated_;
  ServingLease servingLease_;
  ControllerLinks controllerLinks_;
  NeighbourLinks neighbourLinks_;
  std::map<std::string, Milliseconds> valueRequestedAt_;
  /// A complete snapshot has arrived from a controller or a neighbour.
  bool snapshotSeen_ = false;
  core::RandomGenerator rng_;
  std::map<QueueKey, AdmissionQueue> queues_;
  /// Queues that an evaluation may change. All others are idle.
  std::set<QueueKey> activeQueues_;
  WarmupLeases warmupLeases_;
  scaling::PrefixCacheIndex prefixes_;
  scaling::PrefixCacheEstimate prefixCache_;
  scaling::RetryBudgets retryBudgets_;
  std::unordered_map<CallId, Call> calls_;
  RequestIdTable requestIds_;
  Milliseconds lastEvent_ = 0;
  /// Duration of the latest pause without an event. A request that was read after the pause may be that much older than
  /// the age that its caller states.
  Milliseconds eventLag_ = 0;
  /// End of that pause. Negative if there was none.
  Milliseconds eventLagAt_ = -1;
  Roster roster_;
  std::vector<std::string> membershipIds_;
  std::vector<std::string> membershipLinks_;
  Milliseconds nextLeaseRequestAt_ = 0;
  Milliseconds lastHeartbeatAt_ = 0;
  Milliseconds nextWarmupRequestAt_ = 0;
  Milliseconds nextEvaluationAt_ = 0;
  Milliseconds nextReleaseAt_ = 0;
  bool dispatching_ = false;
  RegimePolicy regimePolicy_;
  WallClock wallClock_;
};

}  // namespace corkward::dataplane
