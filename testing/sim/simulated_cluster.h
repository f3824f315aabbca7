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

/// A complete fleet, its network, disks, callers, replicas, operators and platform, from one seed.
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
    /// Without power: it does not even refuse.
    bool dark = false;
    /// What each event takes on a slow machine; events wait for one another.
    Milliseconds step = 0;
    bool turning = false;
    bool clockWaits = false;
    bool draining = false;
    std::uint64_t incarnation = 0;
    Milliseconds bootedAt = 0;
    Milliseconds offset = 0;
    double rate = 1.0;
    std::deque<std::function<void()>> inbox;
    std::unique_ptr<control::Controller> control;
    std::unique_ptr<dataplane::RequestRouter> data;
    std::unique_ptr<SimDisk> disk;
    std::unique_ptr<storage::WriteAheadLog> writeAheadLog;
    std::deque<std::pair<std::vector<storage::Record>, std::vector<std::uint64_t>>> writes;
    bool writing = false;
    Milliseconds diskDelay = 2;
    bool diskStalled = false;
    /// Since when its disk holds what it holds.
    Milliseconds diskSince = 0;
    /// Newest fleet configuration that was confirmed before it started, and whether it has served since.
    std::uint64_t confirmedBefore = 0;
    bool begun = false;
    /// Last moment at which it was not healthy, running and joined to the core.
    Milliseconds troubledAt = 0;
  };
  enum class Shape { usual, longPrompt, longAnswer };
  /// What a grey replica does with a request.
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
    /// Connection over which it is answered.
    std::uint64_t turn = 0;
    /// What the replica has made so far.
    std::string made;
    /// A row of events that goes on after so many of them.
    bool events = false;
    int from = 0;
  };
  struct Replica {
    std::string address;
    std::string zone;
    std::string pool;
    std::string state = "serving";
    bool up = true;
    bool dark = false;
    bool listed = true;
    double slow = 1.0;
    /// Share of the requests that it fails, and since when.
    double grey = 0;
    Milliseconds greySince = 0;
    std::uint64_t incarnation = 0;
    Milliseconds shownLeaving = -1;
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
    /// Says attempt numbers and ages; the others send the same id again and say no more.
    bool numbered = true;
    Milliseconds ranAt = 0;
    bool hard = false;
    bool open = false;
    Milliseconds began = 0;
    Milliseconds attemptAt = 0;
    Milliseconds deadline = 0;
    bool firstTokenReceived = false;
    /// Its node has broken its answer off; that is under way.
    bool brokenOff = false;
    bool counted = false;
    Shape shape = Shape::usual;
    int status = 0;
    std::string got;
  };
  using Fed = std::function<dataplane::StreamSteps(dataplane::ResponseStream&)>;
  struct Forwarded {
    std::string address;
    std::string run;
    std::string caller;
    dataplane::Connect connect;
    std::uint64_t turn = 0;
    /// On a kept connection, which the replica has forgotten, and which was idle for long.
    bool reused = false;
    bool dead = false;
    bool rested = false;
    /// Life of the process at the other end, where it was asked for.
    std::uint64_t process = 0;
    /// Life that was written down for the next hand-over.
    std::string recorded;
    /// What the replica sent and the node has not had yet, in order.
    std::deque<Fed> inFlight;
  };
  struct Event {
    Milliseconds at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(Event const& o) const { return at != o.at ? at > o.at : order > o.order; }
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

  /// One change that an operator makes to the fleet configuration.
  struct Order {
    std::string id;
    std::string base;
    std::string body;
    std::uint64_t version = 0;
    Milliseconds sentAt = -1;
    /// First success that a controller answered, whether the operator got it or not.
    Milliseconds acknowledgedAt = -1;
    std::uint64_t revision = 0;
    int sends = 0;
    bool closed = false;
    bool judgedLate = false;
  };
  /// What is to happen at an order's acknowledgement, or some time after it was sent.
  struct Strike {
    bool set = false;
    bool timed = false;
    bool wipe = false;
    bool everyone = false;
  };

  void at(Milliseconds when, std::function<void()> act);
  void after(Milliseconds delay, std::function<void()> act) { at(now_ + delay, std::move(act)); }
  Milliseconds local(Node const& n) const;
  Node* node(std::string const& link);
  Node const* node(std::string const& link) const;
  /// Whether a majority of the routers has run without a break since before that time.
  bool mostLiveSince(Milliseconds since) const;
  void toNode(std::string const& link, std::uint64_t incarnation, std::function<void()> act);
  dataplane::RouterTuning routerTuning() const;
  void boot(Node& n);
  void kill(Node& n, bool power);
  void freeze(Node& n, Milliseconds how);
  /// A slow machine takes what waits for it, one event after the other.
  void turn(Node& n);
  void unslow(Node& n);
  void tick(Node& n);
  void clock(std::string const& link, std::uint64_t incarnation);
  void send(std::string const& from, transport::Send const& s);
  void tally(std::string const& from, transport::Send const& s);
  bool passes(std::string const& from, std::string const& to);
  void run(Node& n, control::ControllerCommands&& c);
  void run(Node& n, dataplane::RouterCommands&& c);
  void disk(Node& n);
  void connect(Node& n, dataplane::Connect m);
  void handOver(Node& n, std::uint64_t call);
  void abandon(Node& n, std::uint64_t call);
  void reach(Node& n, std::uint64_t incarnation, std::uint64_t call, Replica& r, dataplane::Connect const& m);
  void serveNext(Replica& r);
  void emit(std::string const& address, std::uint64_t incarnation, std::string const& name, int k, int tokens);
  /// An event of a replica's connection on its way to the node: in order, late across a cut, never for a closed
  /// connection.
  void wire(std::string const& link, std::uint64_t incarnation, std::uint64_t call, std::uint64_t turn, Fed event);
  void arrive(std::string const& link, std::uint64_t incarnation, std::uint64_t call, std::uint64_t turn);
  void fed(Node& n, std::uint64_t call, Fed const& event);
  void breakStreams(Replica& r);
  /// How a request fares at a replica that is grey.
  Grey greyFate(Replica const& r);
  void greyRun(Replica& r, Run& run);
  /// Counts the hand-over for the check of grey replicas.
  void countGrey(Replica const& r);
  void resetCallers(Node& n);
  void resetReplicas(Node& n);
  void resetLinks(Node& n);
  void scaleOut();
  void loseZone(std::string const& zone, Milliseconds how);
  bool plans(Fault f) const;
  void crash(Replica& r);
  Replica* replica(std::string const& address);
  void callerArrives();
  void callerSends(std::string const& id);
  /// A caller that retries hard comes back although no answer asked for it.
  bool again(Caller& c);
  void callerRejected(std::string const& id, dataplane::Reject const& d);
  void callerCut(std::string const& id);
  void callerEnds(std::string const& id, std::string const& outcome);
  void operatorTurn();
  /// Name of a replica's incarnation on the platform's list.
  std::string incarnationName(Replica const& r) const;
  /// Wall time as machines read it.
  std::int64_t wall() const;
  std::vector<std::string> certificateNames() const;
  QJsonObject certificateFor(std::string const& name, Milliseconds lasts) const;
  void declareRegime();
  void declareRegulated();
  void patchCertificates(std::vector<std::string> const& names, Milliseconds lasts);
  void revoke(std::string const& name);
  void certificateTurn();
  void watchIncarnations();
  /// A request of that instance has reached the replica: may it?
  void checkRegime(Caller const& caller, Node const& from, Replica const& r, Forwarded const& forwarded);
  /// Opens a connection that stands once the replica has named its incarnation.
  void identifyIncarnation(Node& n, dataplane::Connect const& m);
  /// Whether what the caller has so far is one run's, or one row of events, from the first on without gap or repeat.
  bool oneBody(Caller const& caller) const;
  void change(std::string const& key, std::string const& what, std::string const& method, std::string const& path,
              std::string const& body, std::string const& ifMatch, std::string const& mark,
              std::function<void(int, QJsonObject const&)> then = {});
  void putTemplate(std::string const& ifMatch, int extraPaths, std::function<void(int, QJsonObject const&)> then = {});
  void platform();
  /// Shows a list to a controller and to two routers, again and again until it is acknowledged or overtaken.
  void showList(std::string const& pool, std::uint64_t generation, std::vector<std::string> const& leaving,
                std::string const& body);
  /// The message as the plan's mutation leaves it.
  transport::Message mutated(transport::Message const& message) const;
  void cause(Fault f);
  // Operators of the fleet configuration: operator_changes.cpp.
  void ordersTurn();
  void orderAnew(std::string const& link);
  void sendOrder(std::size_t order, std::string const& link);
  void orderAnswered(std::size_t order, std::string const& link, std::uint64_t baseAtSend, int status,
                     QJsonObject const& body);
  void orderRefused(Order& order, std::string const& link, std::uint64_t baseAtSend, int status);
  void orderAgain(std::size_t order, std::string const& link, Milliseconds wait);
  void lateResend();
  /// Body of an order that is sent again: as it was, but for a mutation.
  std::string resentBody(Order const& order) const;
  void readsTurn();
  void readOnce(std::string const& link);
  void checkRead(std::string const& link, std::uint64_t confirmed, int status, QJsonObject const& body);
  void onFleetConfigurationCommitted(Node const& n);
  void finalOrders();
  std::string otherController(std::string const& link);
  /// Sends a call of an operator to a controller and hands on its answer, status 0 for none after so long.
  void sendOperatorCall(std::string const& link, transport::OperatorCall call, Milliseconds limit,
                        std::function<void(int, QJsonObject const&)> then);
  // Machines in contact, and what holds for them: contact_oracles.cpp.
  void inspect();
  bool running(Node const& n) const;
  bool joined(std::string const& a, std::string const& b) const;
  std::set<std::string> stableCore() const;
  std::string coreState() const;
  bool calm() const;
  bool inContact(Node const& n) const;
  void inspectRouters();
  /// A router serves from here on: not with less than was confirmed before it started.
  void inspectBeginning(Node& n);
  void inspectMembers();
  void inspectOrders();
  /// Since when a rule with a bound holds for the machine: the moment itself where the fleet is fenced, else not before
  /// the machine was in touch. Less than zero: it does not hold.
  Milliseconds boundFrom(Node const& n, Milliseconds since) const;
  // Failures of control: control_faults.cpp.
  void causeOfControl(Fault f);
  void partitionMember(Fault f);
  std::vector<std::pair<std::string, std::string>> cutPairs(Fault f, std::vector<std::string> const& cut);
  void cutExtras(Fault f, std::vector<std::string> const& cut, Milliseconds how);
  void lure(std::vector<std::string> const& cut);
  void newSeeds(std::vector<std::string> const& first);
  void restartLater(std::string const& link, Milliseconds delay);
  void meetOrders(std::string const& link);
  void loseSecond();
  void replaceNext(std::vector<std::string> old);
  void afterBurst();
  void strike(Strike const& strike);
  std::string oldestDisk(bool oldest);
  void replaceReplica(std::string const& address);
  void heal();
  void watch();
  void finalChecks();
  void violation(std::string const& what);
  std::string someController();
  int live(bool control) const;
  /// Every disk is up, votes, and knows a membership of all of them: one may be lost.
  bool coreComplete() const;

  Plan plan_;
  core::RandomGenerator rng_;
  Milliseconds now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, Replica> replicas_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> zoneCuts_;
  /// How often the link between two was reset; what was under way before is lost.
  std::map<std::pair<std::string, std::string>, std::uint64_t> resets_;
  struct Idle {
    Milliseconds since = 0;
    bool dead = false;
  };
  /// Kept connections by node and replica, when the plan has replicas that forget them.
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
  bool operatorBusy_ = false;
  double demandNow_ = 0;
  double hardShare_ = 0;
  Shape shape_ = Shape::usual;
  int scaledOut_ = 0;
  double greyFair_ = 0;
  double greyHits_ = 0;
  bool quiet_ = false;
  std::vector<Change> changes_;
  std::map<std::string, std::pair<Milliseconds, bool>> zoneShown_;
  std::map<std::pair<std::string, std::uint64_t>, std::function<void(int, QJsonObject const&)>> answers_;
  std::string lastRevision_;
  std::string lastMark_;
  std::map<std::string, std::vector<std::string>> runsOf_;
  std::set<std::pair<std::string, std::uint64_t>> rejectedNotRun_;
  std::set<std::pair<std::string, std::uint64_t>> ranAttempts_;
  std::deque<Milliseconds> firsts_;
  std::deque<Milliseconds> repeats_;
  std::map<std::string, int> handOvers_;
  bool returnHit_ = false;
  bool servedSince_ = true;
  int newAddresses_ = 0;
  int grown_ = 0;
  bool totalOutage_ = false;
  std::map<std::string, int> violationKinds_;
  std::vector<std::string> seeds_{"s1", "s2", "s3"};
  std::vector<Order> orders_;
  std::uint64_t nextVersion_ = 1;
  std::uint64_t knownVersion_ = 0;
  /// Newest fleet configuration that an operator was notified of, and its revision.
  std::uint64_t confirmedVersion_ = 0;
  std::uint64_t confirmedRevision_ = 0;
  /// Version and order of each revision of the fleet configuration that was committed anywhere.
  std::map<std::uint64_t, std::uint64_t> committedVersions_;
  std::map<std::uint64_t, std::size_t> orderOf_;
  int burstLeft_ = 0;
  Strike strike_;
  bool coreCut_ = false;
  bool repairing_ = false;
  int replacedInTurn_ = 0;
  /// Machines that are shown the platform's list first.
  std::vector<std::string> luredBy_;
  std::string coreState_;
  /// When anything last happened to the core, and when any link or disk was last in trouble.
  Milliseconds coreChangedAt_ = 0;
  Milliseconds troubledAt_ = 0;
  Milliseconds memberTroubledAt_ = 0;
  std::set<std::string> stableCore_;
  std::optional<transport::CommittedEntry> firstFleetConfiguration_;
  std::string certificateRevision_ = "0";
  /// Changes of each certificate, as they were sent.
  std::map<std::string, std::uint64_t> certificateTurns_;
  /// Certificates that are out of force for certain, since when.
  std::map<std::string, Milliseconds> outSince_;
  std::map<std::string, std::string> listedIncarnations_;
  std::set<std::string> everListed_;
  std::map<std::pair<std::string, std::uint64_t>, int> resumesOf_;
  Result result_;
};

}  // namespace corkward::testing
