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
#include <corkward/dataplane/tenants.h>
#include <corkward/dataplane/wall_clock.h>
#include <corkward/dataplane/warmup_leases.h>
#include <corkward/scaling/scaling.h>
#include <corkward/gossip/partial_view.h>
#include <corkward/transport/message.h>

namespace corkward::dataplane {

using core::Milliseconds;
using core::NameIndex;

/// How much the router holds, to show that what is not needed any more is freed.
struct RouterUsage {
  std::size_t replicas = 0;
  std::size_t instances = 0;
  std::size_t queues = 0;
  /// Queues that are evaluated.
  std::size_t activeQueues = 0;
  std::size_t contacts = 0;
  std::size_t ids = 0;
  std::size_t prefixes = 0;
  std::size_t calls = 0;
};

/// The data plane of one node as a pure reducer over its events.
class RequestRouter {
 public:
  RequestRouter(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed, RouterTuning tuning = {});

  RouterCommands started(Milliseconds now);
  RouterCommands onMessage(Milliseconds now, std::string const& from, transport::Message const& message);
  RouterCommands onTimer(Milliseconds now);

  RouterCommands onRequest(Milliseconds now, Request const& request);
  /// The connection stands and no byte was handed over yet: the last check before sending.
  RouterCommands onConnected(Milliseconds now, CallId id);
  /// No connection could be had, so nothing was handed over.
  RouterCommands onConnectFailure(Milliseconds now, CallId id);
  /// This node could open no connection at all, for want of descriptors; the replica has no part in it.
  RouterCommands onLocalConnectFailure(Milliseconds now, CallId id);
  RouterCommands onFirstByte(Milliseconds now, CallId id, bool runKnown);
  /// The replica answers with a failure of its own, of which nothing was passed on yet. When the commands say Connect,
  /// another replica is tried and the answer is forgotten; else it is passed on as it comes.
  RouterCommands onUpstreamError(Milliseconds now, CallId id);
  /// The stream moves: bytes came, or the caller is the one that is slow. Called at most every second.
  RouterCommands onProgress(Milliseconds now, CallId id);
  RouterCommands onUpstreamFinished(Milliseconds now, CallId id, UpstreamResult result);
  RouterCommands onCallerDisconnected(Milliseconds now, CallId id);
  /// The platform's list as told to this node: what it takes away is out of use at once, what it adds waits for
  /// control.
  RouterCommands onEndpointList(Milliseconds now, CallId call, std::string const& pool, std::string const& body);
  /// Other figures and seeds from here on; scalers that stand keep theirs.
  void updateTuning(RouterTuning const& tuning, std::vector<std::string> seeds);
  /// No new work from here on; ids and duties go to the others.
  RouterCommands drain(Milliseconds now);
  /// Tells the wall time at that time on the boot clock, in milliseconds since 1970, with each timer event.
  void setWallTime(Milliseconds now, std::int64_t wall);
  /// Wall time at a time on the boot clock; nothing before it was told.
  config::WallTime wallTimeAt(Milliseconds now) const { return wallClock_.at(now); }
  /// Whether records can be written from here on.
  void setAuditAvailable(bool works) { tuning_.auditRecordsAvailable = works; }
  bool auditAvailable() const { return tuning_.auditRecordsAvailable; }

  /// Whether clients should be sent here.
  bool ready(Milliseconds now) const;
  /// Whether this node may hand requests over at all.
  bool servingLease(Milliseconds now) const;
  RouterUsage usage() const;
  std::size_t pendingCount() const { return calls_.size(); }
  std::string metrics(Milliseconds now) const;
  QJsonObject state(Milliseconds now) const;
  std::uint64_t revisionOf(std::string const& key) const { return configuration_.revisionOf(key); }
  /// Replicas held for a pool by each instance's part, and requests held there.
  std::vector<std::pair<std::size_t, std::size_t>> subsetSizes(std::string const& pool) const;
  /// Value in force for a key; empty when there is none.
  QJsonObject configurationValue(std::string const& key) const { return configuration_.value(key); }
  /// Bounds of the callers' HTTP edge as the whole configuration says them.
  config::HttpLimits const& httpLimits() const { return httpLimits_; }
  core::Journal const& journal() const { return journal_; }

 private:
  enum class Phase { queryingRequestId, awaitingQuota, queued, connecting, dispatched, streaming };
  /// A call's amount of its tenant's limit: not taken or not needed, taken, or used by a run.
  enum class QuotaState { none, taken, used };
  static char const* phaseName(Phase phase);
  struct Call {
    Request request;
    NameIndex path = 0;
    /// Configuration under which the path was found.
    std::uint64_t pathRevision = 0;
    NameIndex pool = 0;
    /// Replicas that it was handed to, the last one included.
    std::vector<NameIndex> dispatchedTo;
    Phase phase = Phase::queued;
    Milliseconds arrived = 0;
    Milliseconds deadline = 0;
    Milliseconds phaseSince = 0;
    Milliseconds dispatchedAt = 0;
    NameIndex replica = 0;
    bool holdsSlot = false;
    /// Tokens counted in Replica::reading.
    std::int64_t prefillTokens = 0;
    bool pendingEcho = false;
    bool runKnown = false;
    /// The outcome of the newest dispatch was counted for or against its replica.
    bool outcomeRecorded = false;
    bool dispatched = false;
    /// Some attempt of this id may have reached a replica before.
    bool reachedReplica = false;
    /// Some replica may have run it and is not asked any more, so that no rejection may say "not run"; on the product's
    /// own surface.
    bool mayHaveRun = false;
    /// It was handed over, and that was neither taken back nor answered "not run".
    bool outstanding = false;
    int resumes = 0;
    std::uint64_t prefix = 0;
    std::set<std::string> awaitedPeers;
    /// Who asked for an unnumbered id before, and must say that it did not run there.
    std::set<std::string> earlierClaimants;
    std::set<std::string> clearedByPeers;
    /// How far back those remember that said clear.
    std::vector<Milliseconds> peerMemoryStarts;
    bool executedElsewhere = false;
    /// Who sends it, what it counts as against that tenant's limit, and the rank of its path or tenant.
    std::string tenant;
    double amount = 0;
    QuotaState quotaState = QuotaState::none;
    /// When the amount was taken out of the limit, at the earliest.
    Milliseconds quotaTakenAt = 0;
    int urgency = 5;
  };
  struct Replica {
    NameIndex pool = 0;
    std::string address;
    /// Name of its life; empty when the platform tells none.
    std::string id;
    std::string zone;
    std::uint64_t hash = 0;
    config::ReplicaState state = config::ReplicaState::draining;
    bool listed = false;
    /// It is among those that read the pool's too long prompts.
    bool isolated = false;
    /// Tokens that this node has sent and that are not read yet, as far as it knows.
    std::int64_t prefillTokens = 0;
    /// Taken away by a list that is newer than the one in force.
    bool unreachable = false;
    Milliseconds backoffUntil = 0;
    /// Own requests that it has in hand.
    int inFlight = 0;
    scaling::CircuitBreaker reliability;
    /// Among the replicas of its pool that the pick may do without; see avoidWorst.
    bool ejected = false;
  };
  struct PoolView {
    std::uint64_t listGeneration = 0;
    double slowStartRate = 0;
    std::vector<NameIndex> replicas;
    transport::EndpointRemovalHint hint;
    /// What the whole configuration says of the pool, if it names it.
    std::optional<config::PoolSettings> settings;
    /// Those that may be drawn from, what they are made of has changed since, and when it next changes with time alone.
    /// By regime; empty: work of none.
    std::map<std::string, scaling::Candidates> candidates;
    /// What binds the instances may have changed.
    bool bindingsChanged = false;
    bool changed = true;
    Milliseconds changesAt = 0;
  };
  struct AdmissionQueue {
    scaling::Scaler scaler;
    std::array<std::list<CallId>, 3> waiting;
    unsigned classTurn = 0;
    scaling::CompletionRate completions;
    std::size_t queuedCount() const { return waiting[0].size() + waiting[1].size() + waiting[2].size(); }
  };
  /// Why a regime's running requests must stop, and why none may start; empty: no reason.
  struct RegimeStanding {
    std::string uncertainty;
    std::string rejection;
  };
  using QueueKey = std::pair<NameIndex, NameIndex>;

  void applyEntries(RouterCommands& out, Milliseconds now, std::vector<transport::CommittedEntry> const& items);
  void applyEntry(RouterCommands& out, Milliseconds now, transport::CommittedEntry const& item);
  void refreshCandidates(RouterCommands& out, Milliseconds now);
  void refreshPool(Milliseconds now, NameIndex pool);
  void activate(Milliseconds now, QueueKey const& key);
  void backOff(NameIndex replica, Milliseconds until);
  void refreshRemovalHint(PoolView& view);
  bool applyRemovalHint(RouterCommands& out, Milliseconds now, transport::EndpointRemovalHint const& hint);
  std::vector<transport::EndpointRemovalHint> removalHints() const;
  bool usable(Milliseconds now, NameIndex replica) const;
  double slowStartRate(NameIndex pool) const;
  NameIndex choosePool(Milliseconds now, Route const& route, CallId id) const;
  NameIndex poolIndex(std::string const& name);
  /// Drops the routes that are not needed any more, once they are many.
  void compactRoutes();
  /// Throws core::Error when the value is not valid.
  void applyValue(Milliseconds now, transport::CommittedEntry const& item);
  void applyEndpointList(std::string const& poolName, config::EndpointList const& list);
  void applyMembership(QJsonObject const& value);
  void applyFleetConfiguration(QJsonObject const& value);
  void addRoute(std::string const& owner, std::string const& key, config::Path const& path,
                std::string const& instance);
  SendRequest dispatch(Milliseconds now, CallId id);
  // Steps of onConnected.
  void dispatchResume(RouterCommands& out, Milliseconds now, CallId id);
  void rejectConnected(RouterCommands& out, Milliseconds now, CallId id, int status, std::string reason,
                       double retryAfter);
  /// The call's route is still in force; else it is rejected, or admitted anew by the route that is.
  bool confirmRoute(RouterCommands& out, Milliseconds now, CallId id);
  /// The call may be sent to its replica now; else it is rejected or tried elsewhere.
  bool confirmDispatch(RouterCommands& out, Milliseconds now, CallId id);
  void recordDispatch(Milliseconds now, Call& call);
  // Steps of onUpstreamFinished.
  /// Notes the result for the replica, the quota and the audit; a stale connection counts as one that was lost.
  UpstreamResult recordUpstreamResult(RouterCommands& out, Milliseconds now, Call& call, UpstreamResult result);
  /// The call was sent, no byte came back and it was not resumed.
  static bool isFirstRun(Call const& call);
  /// Calls of a regime are resumed once.
  bool isResumeSpent(Call const& call) const;
  /// Takes a retry from the budget for a call whose path may be retried from the start or resumed elsewhere.
  bool takeStreamRetry(Milliseconds now, Call const& call, UpstreamResult result);
  void recoverStream(RouterCommands& out, Milliseconds now, CallId id, UpstreamResult result);
  void retryNotExecuted(RouterCommands& out, Milliseconds now, CallId id);
  /// Takes a retry from the budget for a call that may be resumed on its replica.
  bool takeResume(Milliseconds now, Call const& call, UpstreamResult result);
  void resumeOnSameReplica(RouterCommands& out, Milliseconds now, CallId id);
  void failUpstream(RouterCommands& out, Milliseconds now, CallId id);
  /// The replica answered "not executed".
  void backOffOverloaded(Milliseconds now, NameIndex replica);
  /// A request of the path that comes now could be cut by the end of the drain.
  bool outlastsDrain(Milliseconds now, config::Path const& path) const;
  void checkDispatch(Milliseconds now, Call const& call, Milliseconds left) const;
  /// Notes a request that ends without its whole answer, for the log and the counters.
  void recordFailure(RouterCommands& out, Milliseconds now, Call const& call, int status, std::string const& reason);
  std::int64_t uncachedPrefillTokens(Call const& call, NameIndex replica, NameIndex home) const;
  void finishPrefill(Call& call);
  bool mayRetry(Milliseconds now, Call const& call) const;
  /// Counts the outcome of the newest dispatch for or against its replica, once.
  void recordOutcome(RouterCommands& out, Milliseconds now, Call& call, bool bad);
  void ejectOutliers(Milliseconds now, NameIndex pool);
  bool isOverdue(Call const& call, Milliseconds took) const;
  /// Undoes the last hand-over of a call whose connection could not be written to.
  void undoDispatch(RouterCommands& out, Milliseconds now, CallId id);
  // Steps of onTimer.
  void requestLeases(RouterCommands& out, Milliseconds now);
  bool isExpired(Milliseconds now, Call const& call) const;
  void expireCalls(RouterCommands& out, Milliseconds now);
  void expireCall(RouterCommands& out, Milliseconds now, CallId id);
  void evaluateQueues(RouterCommands& out, Milliseconds now);
  /// A stream that a path of the whole configuration bounds runs past its deadline.
  bool isPastDeadline(Milliseconds now, Call const& call) const;
  void connectTo(RouterCommands& out, Milliseconds now, CallId id, NameIndex replica);
  /// All serving replicas of the pool, whatever the part is.
  std::vector<scaling::Candidate> candidatesBeyondSubset(Milliseconds now, NameIndex pool) const;
  bool resumeOnOtherReplica(RouterCommands& out, Milliseconds now, CallId id);
  std::int64_t chooseReplica(Milliseconds now, Call const& call, std::vector<scaling::Candidate> const& all) const;
  NameIndex homeReplica(Call const& call) const;
  bool isHomeCandidate(NameIndex replica) const;
  /// The prompt cannot be read within its aim, and the pool has replicas that read such ones.
  bool needsIsolatedReplica(Call const& call) const;
  void isolateReplicas(PoolView const& view);
  bool isEvacuated(std::string const& zone) const;
  bool hasHeardMajority(Milliseconds now) const;
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
  bool remembersSince(Milliseconds now, Milliseconds age) const;
  void recordLag(Milliseconds now);
  void queryPeers(RouterCommands& out, Milliseconds now, CallId id);
  void decideRequestId(RouterCommands& out, Milliseconds now, CallId id, bool over);
  std::vector<std::string> controllers(Milliseconds now) const;
  AdmissionQueue& queueFor(RouterCommands& out, Milliseconds now, QueueKey const& key);
  bool mayAttempt(Milliseconds now, AdmissionQueue& c, QueueKey key, Call const& call) const;
  std::vector<scaling::Candidate> usableCandidates(Milliseconds now, AdmissionQueue const& c, bool hasRoom) const;
  void admit(RouterCommands& out, Milliseconds now, CallId id);
  bool attemptConnect(RouterCommands& out, Milliseconds now, CallId id);
  /// Connects at once, or puts the call first in its queue.
  void connectOrQueueFirst(RouterCommands& out, Milliseconds now, CallId id);
  void dispatchQueued(RouterCommands& out, Milliseconds now, QueueKey key);
  void evaluateQueue(RouterCommands& out, Milliseconds now, QueueKey key, CallId unplaced = 0);
  void releaseSlot(RouterCommands& out, Milliseconds now, Call& call);
  void reject(RouterCommands& out, Milliseconds now, CallId id, int status, std::string reason, bool notRun,
              double retryAfter);
  void removeCall(Milliseconds now, CallId id);
  void dropCall(RouterCommands& out, Milliseconds now, CallId id);
  std::string const& addressOf(NameIndex replica) const;
  void abortStream(RouterCommands& out, Milliseconds now, CallId id, std::string const& why = "the connection broke");
  /// Finds the call's tenant by its key under the configuration in force; false: it needs one and has none.
  bool identifyTenant(Call& call, config::Path const& path) const;
  // Tenants' limits (tenant_limits.cpp).
  /// What the limit of the call's tenant says of it; what it asks for is sent.
  Admission admitByQuota(RouterCommands& out, Milliseconds now, Call& call);
  /// Before a hand-over: the call's amount is taken and was taken lately, or can be taken at once.
  bool spendQuota(Milliseconds now, Call& call);
  void rejectOverQuota(RouterCommands& out, Milliseconds now, CallId id, Admission admission);
  /// The call goes without having used its amount.
  void returnQuota(Milliseconds now, Call& call);
  void applyQuotaDecisions(RouterCommands& out, Milliseconds now, std::vector<QuotaDecision> const& decisions);
  void updateTenants(RouterCommands& out, Milliseconds now);
  /// A request that may be served goes on: its id is looked up, then it is admitted.
  void admitOrQueue(RouterCommands& out, Milliseconds now, CallId id);
  /// The call has its request id in hand from now on; else it was rejected.
  bool claimRequestId(RouterCommands& out, Milliseconds now, CallId id);
  /// An earlier attempt with the id does not stand in the way; else the call was rejected.
  bool mayReplaceEarlier(RouterCommands& out, Milliseconds now, CallId id, RequestIdRecord const& earlier);
  void admitLaterAttempt(RouterCommands& out, Milliseconds now, CallId id);
  void dequeue(CallId id);
  void retry(RouterCommands& out, Milliseconds now, CallId id, char const* why);
  double retryAfter(AdmissionQueue const& c, config::RequestClass cls) const;
  Milliseconds expectedWait(AdmissionQueue const& c, config::RequestClass cls) const;
  bool needsWarmupLease(Replica const& replica) const;
  /// How long this router waits before it requests a lease that is free: the routers come in an order by hash.
  Milliseconds warmupRequestDelay(std::string const& replica) const;
  void updateWarmupLeases(RouterCommands& out, Milliseconds now);
  /// Ends the leases that are held, and names the controllers a successor for each.
  void releaseWarmupLeases(RouterCommands& out, Milliseconds now);
  std::string const& regimeOf(Call const& call) const;
  std::string regimeUncertainty(Milliseconds now, std::string const& regime) const;
  std::string regimeRejection(Milliseconds now, std::string const& regime) const;
  config::Certificate const* certificate(Milliseconds now, std::string const& regime, NameIndex replica) const;
  bool allowedByRegime(Milliseconds now, Call const& call) const;
  bool certifiedFor(Milliseconds now, Call const& call, NameIndex replica) const;
  void refreshCertified(Milliseconds now);
  static scaling::Candidates candidatesOf(PoolView const& view, std::string const& regime);
  void recordAudit(RouterCommands& out, Milliseconds now, Call const& call, AuditOutcome happened,
                   std::string reason = {});
  /// Calls of regimes that are past admission, sorted.
  std::vector<CallId> callsOfRegimes() const;
  void enforceRegimes(RouterCommands& out, Milliseconds now);
  void enforceRegime(RouterCommands& out, Milliseconds now, CallId id, RegimeStanding const& standing);
  void enforceWhileQueued(RouterCommands& out, Milliseconds now, CallId id, RegimeStanding const& standing);
  void enforceWhileConnecting(RouterCommands& out, Milliseconds now, CallId id, RegimeStanding const& standing,
                              bool certified);
  /// The call is to be resumed on another replica and was not sent there yet.
  static bool isResumeUnsent(Call const& call);
  void abandonForRegime(RouterCommands& out, Milliseconds now, CallId id, std::string const& why);
  void expireRequestIds(Milliseconds now) {
    requestIds_.expire(now, tuning_.requestIdRetention, tuning_.maxRequestIds);
  }
  void releaseRemoved(Milliseconds now);
  void logEvent(RouterCommands& out, Milliseconds now, core::EventName event,
                std::map<std::string, std::string> fields = {});
  void countMetric(Milliseconds now, std::string const& what, std::string const& about = "");
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::GossipShuffle const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::ConfigurationUpdate const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::ServingLeaseGrant const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::EndpointRemovalHint const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::PeerHeartbeat const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::ValueRequest const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::RequestIdQuery const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::RequestIdReply const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::RequestIdHandover const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, transport::WarmupLeaseGrant const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, quota::QuotaGrants const& m);
  void on(RouterCommands& out, Milliseconds now, std::string const& from, quota::AllocationQuery const& m);

  RouterTuning tuning_;
  std::uint64_t seed_;
  /// Name of this run of the process among claimants of ids.
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
  RouteTable routes_;
  config::HttpLimits httpLimits_;
  Tenants tenants_;
  std::set<std::string> evacuated_;
  ServingLease servingLease_;
  ControllerLinks controllerLinks_;
  NeighbourLinks neighbourLinks_;
  std::map<std::string, Milliseconds> valueRequestedAt_;
  /// A whole snapshot has arrived, which a neighbour may have sent.
  bool snapshotSeen_ = false;
  core::RandomGenerator rng_;
  std::map<QueueKey, AdmissionQueue> queues_;
  /// Queues that an evaluation may change: all others are at rest.
  std::set<QueueKey> activeQueues_;
  WarmupLeases warmupLeases_;
  scaling::PrefixCacheIndex prefixes_;
  scaling::PrefixCacheEstimate prefixCache_;
  scaling::RetryBudgets retryBudgets_;
  std::unordered_map<CallId, Call> calls_;
  RequestIdTable requestIds_;
  Milliseconds lastEvent_ = 0;
  /// Longest time without an event of late: what was read after it may be that much older than it says.
  Milliseconds eventLag_ = 0;
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
