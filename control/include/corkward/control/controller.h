#pragma once

#include <QJsonObject>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/core/journal.h>
#include <corkward/gossip/partial_view.h>
#include <corkward/consensus/replicated_registers.h>
#include <corkward/control/validator.h>
#include <corkward/quota/quota_coordinator.h>

namespace corkward::control {

using core::Tick;

/// Starting values of the control plane.
struct ControllerTuning {
  consensus::ConsensusTuning registers;
  /// A router without a confirmation this fresh rejects new work; see dataplane::Tuning::confirmFor.
  Tick servingLeaseDuration = 1500;
  Tick servingLeaseMargin = 200;
  Tick rolloutTimeout = 4000;
  Tick forwardTimeout = 9000;
  /// An operator's question is answered after this long at the latest when no contact with a majority began since it
  /// came: callers go on to another machine after a second.
  Tick quorumConfirmationTimeout = 800;
  /// A relayed call is sent again after this long; its change id keeps it from counting twice.
  Tick resendEvery = 1500;
  Tick repushEvery = 300;
  Tick removeSilentRouterAfter = 60000;
  /// After this long nothing is kept of a silent router that is not on the roster.
  Tick forgetAfter = 600000;
  Tick warmupLeaseDuration = 1500;
  /// Lease of a duty that processes outside ask for, such as the alert watch.
  Tick singletonLeaseDuration = 15000;
  Tick probeAfter = 400;
  /// False: a change is answered as soon as it is on a majority of the disks.
  bool awaitRollout = true;
  /// How often controllers tell each other which routers they hear; how often while a change is not in force yet, and
  /// how often as long as it is younger than that.
  Tick statusReportEvery = 500;
  Tick statusReportDuringRollout = 100;
  Tick statusReportAtRolloutStart = 20;
  Tick rolloutStartPeriod = 400;
  /// A router that has not asked here for this long is not held here.
  Tick routerSessionTimeout = 2000;
  /// What tenants may send beyond their limits.
  quota::OverdraftAllowance quotaAllowance;
};

/// Answers an operator's call that came in at this process's own HTTP edge.
struct OperatorResponse {
  std::uint64_t token = 0;
  int status = 0;
  QJsonObject body;
};

/// Commands of one event.
struct ControllerCommands {
  std::vector<transport::Send> sends;
  std::vector<consensus::PersistCommand> persists;
  std::vector<OperatorResponse> responses;
  /// Link addresses to knock at: is anything listening there?
  std::vector<std::string> probes;
  std::vector<core::LogEvent> logEvents;
};

/// The control plane of one machine as a pure reducer over its events.
class Controller {
 public:
  Controller(transport::Contact self, std::string memberId, std::vector<std::string> seeds,
             std::vector<std::string> founders, std::uint64_t seed, ControllerTuning tuning = {});

  ControllerCommands restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now);
  ControllerCommands onMessage(Tick now, std::string const& from, transport::Message const& message);
  ControllerCommands onTimer(Tick now);
  ControllerCommands onPersisted(Tick now, std::uint64_t ticket, bool ok);
  /// A call at this process's HTTP edge; the answer comes with the call's token.
  ControllerCommands onOperatorCall(Tick now, transport::OperatorCall const& call);
  /// What knocking at a link address showed.
  ControllerCommands onProbeResult(Tick now, std::string const& link, bool refused);
  /// The platform's lists as they were just read, by pool. What they change becomes a change of the pool's key; what
  /// they take away is told at once.
  ControllerCommands updateEndpointLists(Tick now, std::map<std::string, config::EndpointList> const& lists);
  /// True while this controller is to read the platform's list on behalf of all: the duty goes with the roster's key.
  bool isEndpointListReader(Tick now) const;
  /// Wall time, by which certificates are checked when they are declared; unknown, only their names are.
  void setWallTime(std::int64_t wall) { wall_ = wall; }
  void setSeeds(std::vector<std::string> seeds) { partialView_.setSeeds(std::move(seeds)); }
  /// Hands every owned key to a named successor and takes no calls from here on.
  ControllerCommands drain(Tick now);

  /// True while this controller is in fresh touch with a majority of the disks.
  bool ready(Tick now) const;
  QJsonObject fleet(Tick now) const;
  /// Counters folded from the journal and gauges, in Prometheus' text form.
  std::string metrics(Tick now) const;
  consensus::ReplicatedRegisters const& registers() const { return registers_; }
  /// Calls that are waiting for their answer.
  std::size_t pendingCount() const { return calls_.size() + forces_.size() + questions_.size(); }
  /// After drain: the other members have what this one holds; see consensus::ReplicatedRegisters::handoverComplete.
  bool handoverComplete(Tick now) const { return registers_.handoverComplete(now); }

 private:
  struct CallState {
    std::string from;
    std::uint64_t token = 0;
    std::string key;
    transport::OperatorCall call;
    Tick since = 0;
    Tick sentAt = 0;
    bool forwarded = false;
    /// Stamp that a read of the page would have told when the call came, by what was committed here; 0: none.
    std::uint64_t knownWhenAsked = 0;
  };
  /// A question that this controller answers from what it knows, once that is confirmed.
  struct Question {
    transport::OperatorCall call;
    Tick since = 0;
  };
  struct Force {
    std::uint64_t call = 0;
    std::string key;
    std::uint64_t revision = 0;
    Tick since = 0;
    Tick majorityAt = -1;
    int status = 0;
    QJsonObject body;
  };
  /// How far the newest revision of a key is on its way to be in force.
  struct Settling {
    std::uint64_t revision = 0;
    Tick since = 0;
    Tick majorityAt = -1;
    bool inForce = false;
    /// Newest revision that each router is known to have; dropped when all is in force, but for the roster's.
    transport::Revisions has;
  };
  /// What the roster says, folded once when it is committed.
  struct RosterView {
    std::set<std::string> nodes;
    std::set<std::string> previous;
    std::set<std::string> gone;
    /// Nodes and those before, sorted: the positions of the bits in RouterStatusReport.
    std::vector<std::string> places;
  };
  struct Router {
    transport::Contact contact;
    /// Last word of it, here or at another controller, and last question here.
    Tick heard = -1;
    Tick asked = -1;
    /// All that it lacks is in behind.
    bool known = false;
    /// Keys that it is not known to have as committed, with the newest revision that it is known to have of each.
    transport::Revisions behind;
    std::map<std::string, std::pair<std::uint64_t, Tick>> pushed;
    std::uint64_t number = 0;
    Tick refusedAt = -1;
    Tick probedAt = -1;
    Tick wantWhole = -1;
  };
  struct Lease {
    std::string holder;
    std::uint64_t inc = 0;
    std::uint64_t term = 0;
    Tick until = 0;
    /// Who asked in vain, and when.
    std::map<std::string, Tick> waiting;
  };

  Lease* grant(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc, Tick lease, bool& ok);
  void release(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc,
               std::string const& successor, Tick lease);
  OperatorResponse dutyPage(Tick now, transport::OperatorCall const& call, std::string const& name);
  ClusterView around() const;
  void take(ControllerCommands& out, Tick now, consensus::RegisterCommands&& from);
  void decided(ControllerCommands& out, Tick now, consensus::CallCompleted const& d);
  /// What the log says of an operator's call that changed something or failed.
  core::LogEvent callLine(Tick now, CallState const& state, int status, QJsonObject const& body) const;
  void finish(ControllerCommands& out, Tick now, std::uint64_t call, int status, QJsonObject body);
  void route(ControllerCommands& out, Tick now, std::uint64_t call);
  void push(ControllerCommands& out, Tick now, std::string const& link, Router& n);
  Router* heardFrom(Tick now, std::string const& link, std::uint64_t inc);
  void learned(std::string const& link, std::string const& key, std::uint64_t revision);
  void learnedAll(std::string const& link, Router& n);
  bool hasAll(std::string const& link, Router& n, transport::Digest const& digest);
  void committed(Tick now, consensus::CommittedValue const& c);
  /// The checks of core::Promise that this reducer can make; see promise_checks.cpp.
  void checkCommitted(consensus::CommittedValue const& c) const;
  void checkConfirmed(consensus::CallCompleted const& d, transport::OperatorCall const& call);
  void checkServed(CallState const& state, int status, QJsonObject const& body) const;
  void foldRoster(QJsonObject const& value);
  transport::RouterStatusReport holding(Tick now) const;
  void tellHolding(ControllerCommands& out, Tick now);
  void checkForces(ControllerCommands& out, Tick now);
  bool isInForce(Tick now, std::string const& key, Settling const& s) const;
  void watchSettling(Tick now);
  bool rosterInForce() const;
  enum class InForce { yes, majority, no };
  InForce inForce(Tick now, std::string const& key, std::uint64_t revision, Tick since) const;
  void considerRoster(ControllerCommands& out, Tick now);
  bool rosterSettled(Tick now) const;
  std::uint64_t committedRevision(std::string const& key) const;
  /// Stamp that a read of the target would tell by what is committed here: its own in a family, else its key's
  /// revision; 0: there is none.
  std::uint64_t committedStamp(Target const& target) const;
  std::uint64_t generationOf(std::string const& pool) const;
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::EndpointRemovalHint const& m);
  void hint(ControllerCommands& out, Tick now, std::string const& pool, config::EndpointList const& list);
  /// True when a contact with a majority of the disks began at that moment or later: what is committed here is then no
  /// older than that moment.
  bool contactBeganAfter(Tick now, Tick moment) const;
  void answerQuestions(ControllerCommands& out, Tick now);
  /// Answers the calls of this HTTP edge that came longer than the limit ago and since when no majority was reached.
  void answerOutOfContact(ControllerCommands& out, Tick now);
  OperatorResponse changePage(Tick now, transport::OperatorCall const& call) const;
  OperatorResponse templatesPage(transport::OperatorCall const& call) const;
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::GossipShuffle const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::OperatorCall const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::OperatorCallReply const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::ConfigurationAck const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::RouterStatusReport const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::ServingLeaseRequest const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::WarmupLeaseRequest const& m);
  // Lending of tenants' limits (lending.cpp).
  /// Brings standing_ up to date.
  void refreshStanding(Tick now);
  void lendLimits(ControllerCommands& out, Tick now);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::UsageReport const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::AllocationReport const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::PartitionLeaseRequest const& m);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::PartitionLeaseReply const& m);

  ControllerTuning tuning_;
  gossip::PartialView partialView_;
  consensus::ReplicatedRegisters registers_;
  core::Journal journal_;
  /// Calls by which lists that were read are on their way to the disks, by pool.
  std::map<std::string, std::uint64_t> listCalls_;
  std::uint64_t nextCall_;
  std::map<std::uint64_t, CallState> calls_;
  std::vector<Force> forces_;
  std::vector<Question> questions_;
  std::map<std::string, Settling> settling_;
  /// Newest changes that were confirmed here, by key: the revision named as their base, and the one that they became.
  std::map<std::string, std::deque<std::pair<std::string, std::uint64_t>>> confirmed_;
  /// Keys whose newest change is not known to be in force.
  std::set<std::string> unsettled_;
  transport::Digest digest_;
  RosterView roster_;
  Tick holdingAt_ = 0;
  std::map<std::string, transport::EndpointRemovalHint> hints_;
  std::map<std::string, Router> routers_;
  /// Pools of the whole configuration in place.
  std::set<std::string> wholePools_;
  quota::QuotaCoordinator lender_;
  /// What the lender was told last, since when the members are these, and by which roster.
  quota::MembershipView standing_;
  Tick membersSince_ = 0;
  std::uint64_t standingRoster_ = 0;
  config::WallTime wall_;
  std::map<std::string, Lease> leases_;
  Tick started_ = 0;
  Tick joinedAt_ = -1;
  Tick rosterAt_ = 0;
  Tick rosterCommittedAt_ = 0;
  bool rosterCalling_ = false;
  bool draining_ = false;
};

}  // namespace corkward::control
