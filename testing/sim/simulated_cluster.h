#pragma once

#include <QJsonObject>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>
#include <corkward/control/controller.h>

#include "body.h"
#include "disk.h"
#include "plan.h"

namespace corkward::testing {

/// Simulates a complete fleet with its network, disks, callers, replicas, operators and platform. The seed of the plan
/// determines the run.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(Plan plan);
  ~SimulatedCluster();
  Result run();

 private:
  struct Node {
    std::string link;
    std::string zone;
    bool alive = false;
    bool frozen = false;
    /// Powered off: connection attempts get no response, not even a refusal.
    bool poweredOff = false;
    /// Time that each event takes on a slow process, in ms; later events wait in `inbox`. 0 if the process is not slow.
    Milliseconds eventDelay = 0;
    bool processing = false;
    bool timerQueued = false;
    bool draining = false;
    std::uint64_t incarnation = 0;
    Milliseconds bootedAt = 0;
    Milliseconds offset = 0;
    double rate = 1.0;
    std::deque<std::function<void()>> inbox;
    std::unique_ptr<control::Controller> control;
    std::unique_ptr<dataplane::RequestRouter> data;
    std::unique_ptr<SimulatedDisk> disk;
    std::unique_ptr<storage::WriteAheadLog> writeAheadLog;
    std::deque<std::pair<std::vector<storage::Record>, std::vector<std::uint64_t>>> writes;
    bool writing = false;
    Milliseconds diskDelay = 2;
    bool diskStalled = false;
    /// Last time at which the disk was empty or its log was set aside as damaged.
    Milliseconds diskContentSince = 0;
    /// Revision of the newest fleet configuration that was confirmed before the process started.
    std::uint64_t confirmedAtBoot = 0;
    /// Whether the router has had a serving lease since the process started.
    bool hasServed = false;
    /// Last time at which the process was not running normally or not connected to the stable core.
    Milliseconds lastFaultAt = 0;
  };
  enum class Shape { usual, longPrompt, longAnswer };
  /// What a grey replica (one that fails a fraction of its requests) does with a request.
  enum class Grey { none, dropped, failed, cut, late };
  struct Run {
    std::string run;
    std::string id;
    std::uint64_t attempt = 0;
    std::uint64_t call = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    bool alive = true;
    bool done = false;
    bool bulk = false;
    bool hit = false;
    Shape shape = Shape::usual;
    Grey grey = Grey::none;
    /// Connection that carries the response.
    std::uint64_t connectionId = 0;
    /// Response body produced so far.
    std::string output;
    /// Whether the response is an event stream.
    bool events = false;
    /// Number of events that the caller already has.
    int from = 0;
    /// Number of the next event that the replica sends.
    int nextEvent = 1;
    /// The head of the response was sent.
    bool headSent = false;
  };
  struct Replica {
    std::string address;
    std::string zone;
    std::string pool;
    std::string state = "serving";
    bool up = true;
    bool poweredOff = false;
    bool listed = true;
    double slow = 1.0;
    /// Fraction of the requests that the replica fails. 0 if the replica works normally.
    double grey = 0;
    /// Time at which the replica began to fail requests.
    Milliseconds greySince = 0;
    std::uint64_t incarnation = 0;
    Milliseconds leavingPublishedAt = -1;
    std::vector<Milliseconds> coldHits;
    std::map<std::string, Run> runs;
    std::deque<std::string> queue;
    int running = 0;
    std::set<std::string> prefixes;
  };
  struct Caller {
    std::string id;
    std::string cls;
    std::string instance;
    std::string path;
    std::string prefix;
    std::uint64_t attempt = 0;
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t call = 0;
    bool resumable = false;
    bool earlierNotRun = true;
    bool earlierReached = false;
    /// Whether the caller sends attempt numbers and marks retries of requests that were not executed. Other callers
    /// only repeat the request id.
    bool sendsAttemptNumbers = true;
    Milliseconds firstRunAt = 0;
    /// Whether the caller retries soon after every failure, even if the response does not allow a retry.
    bool aggressive = false;
    bool open = false;
    Milliseconds startedAt = 0;
    Milliseconds attemptAt = 0;
    Milliseconds deadline = 0;
    bool firstTokenReceived = false;
    /// Whether the router has reset the response and the reset has not reached the caller yet.
    bool responseReset = false;
    bool measured = false;
    Shape shape = Shape::usual;
    int status = 0;
    std::string got;
  };
  using UpstreamEvent = std::function<dataplane::StreamSteps(dataplane::ResponseStream&)>;
  struct Forwarded {
    std::string address;
    std::string run;
    std::string caller;
    dataplane::Connect connect;
    std::uint64_t connectionId = 0;
    /// Whether the connection was open before the request.
    bool reused = false;
    /// Whether the replica has dropped the connection without the router having noticed.
    bool forgotten = false;
    /// Whether the connection was idle for at least `staleAfter`.
    bool idleForLong = false;
    /// Incarnation of the replica that accepted the connection, if the router requires a certain incarnation.
    std::uint64_t replicaIncarnation = 0;
    /// Incarnation in the audit record of the dispatch.
    std::string auditedIncarnation;
    /// Events that the replica sent and the router has not received yet, in order.
    std::deque<UpstreamEvent> inFlight;
  };
  struct Event {
    Milliseconds at;
    std::uint64_t sequence;
    std::function<void()> act;
    bool operator<(Event const& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  struct Change {
    std::string id;
    std::string key;
    std::string ifMatch;
    std::string mark;
    std::string what;
    int status = 0;
    std::uint64_t revision = 0;
    bool rolledOut = false;
    bool pending = false;
    Milliseconds sentAt = 0;
    Milliseconds answeredAt = -1;
  };

  /// A change of the fleet configuration that an operator sends.
  struct ConfigurationChange {
    std::string id;
    std::string base;
    std::string body;
    std::uint64_t version = 0;
    /// The configuration is invalid, and must not be accepted.
    bool invalid = false;
    Milliseconds sentAt = -1;
    /// Time of the first successful response, even if it was lost on the way to the operator. -1 if there is none.
    Milliseconds acknowledgedAt = -1;
    std::uint64_t revision = 0;
    int sends = 0;
    bool closed = false;
    bool reportedLate = false;
  };
  /// A power loss that is due when the next change is acknowledged or, if `afterSending` is true, some time after the
  /// change is sent.
  struct PowerLossTrigger {
    bool armed = false;
    bool afterSending = false;
    bool wipesDisk = false;
    bool includesRouters = false;
  };

  void at(Milliseconds when, std::function<void()> act);
  void after(Milliseconds delay, std::function<void()> act) { at(now_ + delay, std::move(act)); }
  /// Checks that the router has not rejected all requests for long although it could have sent one.
  void checkStalls(std::string const& link, Node const& node);
  Milliseconds local(Node const& n) const;
  Node* node(std::string const& link);
  Node const* node(std::string const& link) const;
  /// Returns whether a majority of the routers is alive and was started before the given time.
  bool majorityOfRoutersLiveSince(Milliseconds since) const;
  void deliverToNode(std::string const& link, std::uint64_t incarnation, std::function<void()> act);
  dataplane::RouterTuning routerTuning() const;
  void boot(Node& n);
  void kill(Node& n, bool power);
  void freeze(Node& n, Milliseconds duration);
  /// Lets a slow process handle the events in its inbox one after the other.
  void processNext(Node& n);
  void restoreSpeed(Node& n);
  void onTimer(Node& n);
  void scheduleTimer(std::string const& link, std::uint64_t incarnation);
  void send(std::string const& from, transport::Send const& s);
  void countTraffic(std::string const& from, transport::Send const& s);
  bool passes(std::string const& from, std::string const& to);
  void run(Node& n, control::ControllerCommands&& c);
  void run(Node& n, dataplane::RouterCommands&& c);
  void writeNext(Node& n);
  void connect(Node& n, dataplane::Connect m);
  void dispatch(Node& n, std::uint64_t call);
  void closeUpstream(Node& n, std::uint64_t call);
  void receiveRequest(Node& n, std::uint64_t incarnation, std::uint64_t call, Replica& r, dataplane::Connect const& m);
  void serveNext(Replica& r);
  void emitToken(std::string const& address, std::uint64_t incarnation, std::string const& name, int k, int tokens);
  /// Sends an event of a replica's connection to the router. Events arrive in order, are delayed by a zone partition,
  /// and are dropped if the connection is closed.
  void sendUpstreamEvent(std::string const& link, std::uint64_t incarnation, std::uint64_t call,
                         std::uint64_t connectionId, UpstreamEvent event);
  void deliverUpstreamEvents(std::string const& link, std::uint64_t incarnation, std::uint64_t call,
                             std::uint64_t connectionId);
  void processUpstreamEvent(Node& n, std::uint64_t call, UpstreamEvent const& event);
  void breakStreams(Replica& r);
  /// Returns the text of an event of the run's stream.
  static std::string eventText(Run const& run, int number, bool last);
  /// Whether the run's response has neither a length nor chunks.
  static bool endsWithConnection(Run const& run);
  void sendEnd(Run const& run, core::BodyEnd end);
  /// Sends the end of the run's complete response.
  void completeResponse(Run const& run);
  /// Breaks off the run's response as a crash of its replica does.
  void breakResponse(Run const& run);
  /// Draws what the replica does with a request. Returns Grey::none if the replica handles it normally.
  Grey drawGreyFailure(Replica const& r);
  void failRun(Replica& r, Run& run);
  /// Counts the dispatch for the check that grey replicas get fewer requests.
  void countGrey(Replica const& r);
  void resetCallers(Node& n);
  void resetReplicas(Node& n);
  void resetLinks(Node& n);
  void scaleOut();
  void powerOffZone(std::string const& zone, Milliseconds duration);
  bool plans(Fault f) const;
  void crash(Replica& r);
  Replica* replica(std::string const& address);
  void startNextRequest();
  void sendAttempt(std::string const& id);
  /// Schedules another attempt of an aggressive caller although no response allowed it. Returns whether it did.
  bool retryUnprompted(Caller& c);
  void onCallerRejected(std::string const& id, dataplane::Reject const& d);
  void onCallerConnectionLost(std::string const& id);
  void finishRequest(std::string const& id, std::string const& outcome);
  void changeTemplatePeriodically();
  /// Returns the id of the replica's incarnation in the platform's endpoint list.
  std::string incarnationName(Replica const& r) const;
  /// Returns the wall clock time of the processes, in ms since the epoch.
  std::int64_t wallClockMs() const;
  std::vector<std::string> certificateNames() const;
  QJsonObject certificateFor(std::string const& name, Milliseconds lasts) const;
  void declareRegime();
  void declareRegulated();
  void patchCertificates(std::vector<std::string> const& names, Milliseconds lasts);
  void revoke(std::string const& name);
  void changeCertificatesPeriodically();
  void watchIncarnations();
  /// Checks that the regime of the caller's tenant allows the router and replica that the request has reached, and that
  /// the dispatch has an audit record.
  void checkRegime(Caller const& caller, Node const& from, Replica const& r, Forwarded const& forwarded);
  /// Opens a connection that succeeds only if the replica reports the incarnation that the router requires.
  void identifyIncarnation(Node& n, dataplane::Connect const& m);
  /// Returns whether the bytes that the caller has received are a prefix of one run's response (or of one event
  /// stream), without a gap or a repetition.
  bool isUninterrupted(Caller const& caller) const;
  /// How an order comes to be late: its bytes are held up by a cut, its reader is suspended, or it waits on the link
  /// between two controllers.
  enum class LateBy { cut, freeze, hop };
  struct LateOrder {
    std::string zone;
    /// The late order ends an evacuation; otherwise it begins one.
    bool isFinish = false;
    /// The operator sends the order again elsewhere before it reverses it.
    bool isRepeated = false;
    LateBy by = LateBy::cut;
    Milliseconds delay = 0;
  };
  void scheduleLateOrders();
  void startLateOrder(std::string const& zone);
  void orderUntilAcknowledged(std::string const& zone, char const* method, int tries, std::function<void(bool)> then);
  void sendLateOrder(LateOrder const& order, char const* method);
  /// Returns for how long the message waits on its link.
  Milliseconds hopDelay(std::string const& from, transport::Message const& message);
  void checkAfterLateOrder(LateOrder const& order, Milliseconds sentAt);
  /// Checks that the zone is as the newest acknowledged order left it, once a controller has contact with a majority.
  void checkZone(LateOrder const& order);
  void endLateOrder(std::string const& zone);
  /// Requests to a pool and their outcomes since a time; no requests are counted while it is 0.
  struct PoolOutcomes {
    Milliseconds since = 0;
    std::size_t requests = 0;
    std::size_t served = 0;
  };
  std::map<std::string, config::EndpointList> platformLists();
  void readEndpointLists();
  void scheduleReaderPartitions();
  void partitionReader();
  /// Returns the text of a list without replicas whose generation is above that of every list so far.
  std::string uncommittedList();
  void tellRouterUncommittedList();
  /// Cuts a controller off, sends it a list and kills it before it has a majority.
  void endControllerWithUncommittedList();
  void restartLostPool();
  /// After `delay`, checks for some seconds that the requests to the lost pool are served, if the plan has no faults.
  void observeLostPool(Milliseconds delay);
  void countPoolOutcome(Caller const& caller, std::string const& outcome);
  void change(std::string const& key, std::string const& what, std::string const& method, std::string const& path,
              std::string const& body, std::string const& ifMatch, std::string const& mark,
              std::function<void(int, QJsonObject const&)> then = {});
  void putTemplate(std::string const& ifMatch, int extraPaths, std::function<void(int, QJsonObject const&)> then = {});
  void publishEndpointLists();
  /// Sends an endpoint list to a controller and to two routers, every 600 ms until a controller acknowledges it or a
  /// newer generation exists.
  void publishEndpointList(std::string const& pool, std::uint64_t generation, std::vector<std::string> const& leaving,
                           std::string const& body);
  /// Returns the message with the changes that the plan's mutation makes.
  transport::Message mutated(transport::Message const& message) const;
  void injectFault(Fault f);
  // Operators of the fleet configuration: operator_changes.cpp.
  void changeFleetConfigurationPeriodically();
  void sendNewChange(std::string const& link);
  void sendInvalidChange();
  /// Returns a new change on the newest version that the operators know. It is not sent yet.
  ConfigurationChange newChange();
  void sendConfigurationChange(std::size_t index, std::string const& link);
  void onChangeResponse(std::size_t index, std::string const& link, std::uint64_t baseAtSend, int status,
                        QJsonObject const& body);
  void checkRejection(ConfigurationChange& rejected, std::string const& link, std::uint64_t baseAtSend, int status);
  void resendLater(std::size_t index, std::string const& link, Milliseconds wait);
  void resendAcknowledgedChange();
  /// Returns the body for a resend of the change: the original body, unless the mutation alterResentBody is set.
  std::string resentBody(ConfigurationChange const& change) const;
  void readPeriodically();
  void readOnce(std::string const& link);
  void checkRead(std::string const& link, std::uint64_t confirmed, int status, QJsonObject const& body);
  void onFleetConfigurationCommitted(Node const& n);
  void checkFinalFleetConfiguration();
  std::string chooseOtherController(std::string const& link);
  /// Sends an operator call to a controller and passes the response to `then`. The status is 0 if no response arrives
  /// within `limit`.
  void sendOperatorCall(std::string const& link, transport::OperatorCall call, Milliseconds limit,
                        std::function<void(int, QJsonObject const&)> then);
  // Spellings of a host: host_spellings.cpp.
  QJsonArray respelledPaths(std::uint64_t version) const;
  /// Returns a path with the same host, spelled differently, and the same prefix as another one of the version.
  QJsonObject conflictingPath(std::uint64_t version) const;
  /// Sends a router a request for the route of its configuration's version by each spelling of the host.
  void probeHostSpellings(Node& n);
  // Processes in contact with the core, and the rules for them: contact_oracles.cpp.
  void checkContactRules();
  bool isRunning(Node const& n) const;
  bool isConnected(std::string const& a, std::string const& b) const;
  std::set<std::string> stableCore() const;
  std::string coreState() const;
  bool hasNoFaults() const;
  bool inContact(Node const& n) const;
  void checkRouterRevisions();
  /// When a router gets its first serving lease, checks that the router's fleet configuration is at least as new as the
  /// newest one that was confirmed before the router started.
  void checkFirstServing(Node& n);
  void checkMembersVote();
  void checkAcknowledgements();
  /// Returns the time from which a change made at `since` must be in effect at the process. If `Plan::fenced` is true,
  /// this time is `since`. Otherwise it is `Bounds::applied` after the latest of three times: `since`, and
  /// `Bounds::inContact` after the last fault of the process and after the last change of the core. Returns -1 if the
  /// process is not in contact.
  Milliseconds effectiveFrom(Node const& n, Milliseconds since) const;
  /// Returns the time from which a router must know that a replica is listed as leaving, or -1 if it need not. A list
  /// that a controller reads by itself reaches a router only once any router is connected with a controller.
  Milliseconds removalEffectiveFrom(Node const& n, Milliseconds listedAt) const;
  bool isAnyRouterConnected() const;
  /// Notes, from now on, when no router is connected with a controller.
  void watchRouterContact();
  // Faults of the control scenarios: control_faults.cpp.
  void injectControlFault(Fault f);
  void partitionMember(Fault f);
  std::vector<std::pair<std::string, std::string>> cutPairs(Fault f, std::vector<std::string> const& cut);
  void injectFaultDuringPartition(Fault f, std::vector<std::string> const& cut, Milliseconds duration);
  void publishToCutOff(std::vector<std::string> const& cut);
  void replaceSeeds(std::vector<std::string> const& first);
  void restartLater(std::string const& link, Milliseconds delay);
  void sendChangesTo(std::string const& link);
  void loseSecondDisk();
  void replaceNextMember(std::vector<std::string> old);
  void stopControllerAfterBurst();
  void cutPower(PowerLossTrigger const& trigger);
  std::string oldestDisk(bool oldest);
  void replaceReplica(std::string const& address);
  void heal();
  void checkPeriodically();
  void checkFinalState();
  void violation(std::string const& what);
  std::string chooseController();
  int countAlive(bool control) const;
  /// Returns whether every controller is alive, votes, and knows a membership of all controllers, so that one disk may
  /// be lost.
  bool coreComplete() const;

  Plan plan_;
  core::RandomGenerator rng_;
  Milliseconds now_ = 0;
  std::uint64_t nextSequence_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, Replica> replicas_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> zoneCuts_;
  /// Number of resets of the connection between two processes. A reset drops the messages in flight.
  std::map<std::pair<std::string, std::string>, std::uint64_t> resets_;
  struct Idle {
    Milliseconds since = 0;
    bool forgotten = false;
  };
  /// Idle connections by router and replica, if the plan contains Fault::forgetConnections.
  std::map<std::pair<std::string, std::string>, std::vector<Idle>> idle_;
  double loss_ = 0;
  double duplication_ = 0;
  Milliseconds wallJump_ = 0;
  std::map<std::pair<std::string, std::uint64_t>, Forwarded> upstreams_;
  std::map<std::pair<std::string, std::uint64_t>, dataplane::ResponseStream> streams_;
  std::map<std::string, Caller> callers_;
  std::map<std::pair<std::string, std::uint64_t>, std::string> callerOf_;
  std::uint64_t nextCall_ = 1;
  std::uint64_t nextCaller_ = 1;
  std::uint64_t nextRun_ = 1;
  std::uint64_t nextChange_ = 1;
  std::uint64_t generation_ = 0;
  bool templateChangePending_ = false;
  double currentDemand_ = 0;
  double aggressiveFraction_ = 0;
  Shape shape_ = Shape::usual;
  int scaleOuts_ = 0;
  double greyExpected_ = 0;
  double greyHits_ = 0;
  bool loadStopped_ = false;
  std::vector<Change> changes_;
  std::map<std::string, std::pair<Milliseconds, bool>> evacuations_;
  /// Generator of the late orders and of the reader's partitions.
  core::RandomGenerator lateRandom_;
  /// Controllers whose forwarded orders on a zone wait, and until when.
  std::map<std::string, std::pair<std::string, Milliseconds>> lateHops_;
  std::uint64_t unusedAddress_ = 0;
  std::uint64_t uncommittedLists_ = 0;
  PoolOutcomes lostPoolOutcomes_;
  std::map<std::pair<std::string, std::uint64_t>, std::function<void(int, QJsonObject const&)>> answers_;
  std::string lastRevision_;
  std::string lastMark_;
  std::map<std::string, std::vector<std::string>> runsByCaller_;
  std::set<std::pair<std::string, std::uint64_t>> rejectedAsNotExecuted_;
  std::set<std::pair<std::string, std::uint64_t>> executedAttempts_;
  std::deque<Milliseconds> firstDispatches_;
  std::deque<Milliseconds> repeatedDispatches_;
  std::map<std::string, int> dispatches_;
  bool faultDuringRestart_ = false;
  bool servedSinceOutage_ = true;
  int newAddresses_ = 0;
  int addedControllers_ = 0;
  bool restartAfterOutage_ = false;
  std::map<std::string, int> violationKinds_;
  std::vector<std::string> seeds_{"s1", "s2", "s3"};
  std::vector<ConfigurationChange> configurationChanges_;
  std::uint64_t nextVersion_ = 1;
  std::uint64_t knownVersion_ = 0;
  /// Version of the newest fleet configuration that was acknowledged.
  std::uint64_t confirmedVersion_ = 0;
  /// Revision of the newest fleet configuration that was acknowledged.
  std::uint64_t confirmedRevision_ = 0;
  /// Version of each revision of the fleet configuration that any controller has committed.
  std::map<std::uint64_t, std::uint64_t> committedVersions_;
  /// Change (index in configurationChanges_) of each revision of the fleet configuration that any controller has
  /// committed.
  std::map<std::uint64_t, std::size_t> changeOfRevision_;
  int burstChangesLeft_ = 0;
  PowerLossTrigger powerLossTrigger_;
  bool partitionActive_ = false;
  bool repairInProgress_ = false;
  int replacedInTurn_ = 0;
  /// Isolated controllers that receive the platform's endpoint lists before all others.
  std::vector<std::string> cutOffControllers_;
  std::string coreState_;
  /// Time of the last change of the state or the links of a controller.
  Milliseconds coreChangedAt_ = 0;
  /// Last inspection at which no router was connected with a controller.
  Milliseconds routersCutOffAt_ = -1;
  /// Time of the last fault of any link, disk or process.
  Milliseconds lastFaultAt_ = 0;
  /// Time of the last fault that concerns a controller.
  Milliseconds lastControllerFaultAt_ = 0;
  std::set<std::string> stableCore_;
  std::optional<transport::CommittedEntry> firstFleetConfiguration_;
  std::string certificateRevision_ = "0";
  /// Number of changes that were sent, by certificate.
  std::map<std::string, std::uint64_t> certificateChanges_;
  /// Certificates that are certainly no longer valid, with the time since which this is so.
  std::map<std::string, Milliseconds> invalidSince_;
  std::map<std::string, std::string> listedIncarnations_;
  std::set<std::string> everListedIncarnations_;
  std::map<std::pair<std::string, std::uint64_t>, int> resumeCounts_;
  Result result_;
};

}  // namespace corkward::testing
