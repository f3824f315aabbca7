#pragma once

/// The control plane of one machine as a pure reducer over its events. The reducer dispatches each event to the classes
/// that own the state and joins their commands; see docs/design.md. It is neither copied nor moved: its parts refer to
/// each other.

#include <map>
#include <string>
#include <vector>

#include <corkward/control/cluster_view_source.h>
#include <corkward/control/controller_commands.h>
#include <corkward/control/endpoint_lists.h>
#include <corkward/control/guarantee_checks.h>
#include <corkward/control/lease_table.h>
#include <corkward/control/linearizable_reads.h>
#include <corkward/control/pending_calls.h>
#include <corkward/control/quota_coordination.h>
#include <corkward/control/rollout_tracker.h>
#include <corkward/control/roster_reconciler.h>
#include <corkward/control/router_status_reporter.h>
#include <corkward/core/http_status.h>
#include <corkward/core/journal.h>

namespace corkward::control {

class Controller {
 public:
  Controller(transport::Contact const& self, std::string memberId, std::vector<std::string> seeds,
             std::vector<std::string> founders, std::uint64_t seed, ControllerTuning tuning = {});

  /// The first event: what the write-ahead log gave back. Damaged: nothing of it counts.
  ControllerCommands restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now);
  ControllerCommands onMessage(Tick now, std::string const& from, transport::Message const& message);
  ControllerCommands onTimer(Tick now);
  /// A write and its sync are done; see consensus::ReplicatedRegisters::onPersisted.
  ControllerCommands onPersisted(Tick now, std::uint64_t ticket, bool ok);
  /// A call at this process's HTTP edge; the response comes with the call's token, now or with a later event.
  ControllerCommands onOperatorCall(Tick now, transport::OperatorCall const& call);
  /// Result of a probe of a link address.
  ControllerCommands onProbeResult(Tick now, std::string const& link, bool refused);
  /// The platform's endpoint lists as they were just read, by pool. Lists that differ from the committed ones are
  /// proposed; the replicas that they remove are announced at once.
  ControllerCommands updateEndpointLists(Tick now, std::map<std::string, config::EndpointList> const& lists);
  /// True while this controller is the one that reads the platform's lists: it owns the roster's key.
  bool isEndpointListReader(Tick now) const;
  /// Wall time in milliseconds since 1970, by which certificates are checked when they are declared; unknown: only
  /// their names are.
  void setWallTime(std::int64_t wallTime) { clusterView_.setWallTime(wallTime); }
  void setSeeds(std::vector<std::string> seeds) { partialView_.setSeeds(std::move(seeds)); }
  /// Hands every owned key to a named successor and accepts no calls from here on.
  ControllerCommands drain(Tick now);
  /// After drain: the other members have all that this one has; see consensus::ReplicatedRegisters::handoverComplete.
  bool handoverComplete(Tick now) const { return registers_.handoverComplete(now); }

  /// True while this controller had contact with a majority of the disks within a serving lease, and does not drain.
  bool ready(Tick now) const;
  /// The fleet's page.
  QJsonObject fleet(Tick now) const;
  /// Counters folded from the journal and gauges, in Prometheus' text form.
  std::string metrics(Tick now) const;
  consensus::ReplicatedRegisters const& registers() const { return registers_; }
  /// Calls that have no reply yet.
  std::size_t pendingCount() const { return calls_.size() + rollouts_.pendingReplies().size() + reads_.size(); }

 private:
  // Registers and what they commit (controller.cpp).
  void apply(ControllerCommands& out, Tick now, consensus::RegisterCommands&& commands);
  void onCommitted(Tick now, consensus::CommittedValue const& committed);
  CommittedValues const& values() const { return registers_.committed(); }
  QuorumContact quorumContact(Tick now) const;
  RolloutInputs rolloutInputs(Tick now) const { return {now, quorumContact(now), roster_, routers_}; }

  // Operators' calls (operator_calls.cpp).
  void startRead(ControllerCommands& out, Tick now, transport::OperatorCall const& call);
  OperatorResponse respondToRole(Tick now, transport::OperatorCall const& call, std::string const& role);
  std::optional<OperatorResponse> rejectCall(Tick now, transport::OperatorCall const& call,
                                             std::optional<Target> const& target) const;
  void startCall(ControllerCommands& out, Tick now, transport::OperatorCall const& call, Target const& target);
  void announceList(ControllerCommands& out, Tick now, transport::OperatorCall const& call, std::string const& pool);
  void route(ControllerCommands& out, Tick now, std::uint64_t id);
  void onCallCompleted(ControllerCommands& out, Tick now, consensus::CallCompleted const& completed);
  void finish(ControllerCommands& out, Tick now, std::uint64_t id, core::HttpStatus status, QJsonObject const& body);
  void finish(ControllerCommands& out, Tick now, std::uint64_t id, int status, QJsonObject body);
  core::LogEvent callLogEvent(Tick now, PendingCall const& call, int status, QJsonObject const& body) const;
  void finishWithoutOutcome(ControllerCommands& out, Tick now, std::uint64_t id, char const* reason);
  void resumeCalls(ControllerCommands& out, Tick now);
  std::vector<std::uint64_t> callsToRoute(Tick now) const;
  void completeReads(ControllerCommands& out, Tick now);
  void rejectCallsWithoutQuorum(ControllerCommands& out, Tick now);
  void completeRolloutReplies(ControllerCommands& out, Tick now);

  // Routers and their configuration (configuration_push.cpp).
  void pushConfiguration(ControllerCommands& out, Tick now, std::string const& link);
  void pushConfigurationToAll(ControllerCommands& out, Tick now);
  bool updateKnownRevisions(RouterRegistry::Router& router, transport::ServingLeaseRequest const& request);
  transport::ServingLeaseGrant servingLeaseGrant(Tick now, transport::ServingLeaseRequest const& request,
                                                 bool revisionsKnown);
  void recordUpToDate(std::string const& link, RouterRegistry::Router& router);
  void recordReport(Tick now, transport::RouterStatusReport const& report);
  void broadcastRouterStatus(ControllerCommands& out, Tick now);
  void startProbes(ControllerCommands& out, Tick now);

  // The roster, leases and endpoint lists (roster_proposal.cpp, warmup_leases.cpp, endpoint_list_updates.cpp).
  void reconcileRoster(ControllerCommands& out, Tick now);
  bool isRosterProposer(Tick now) const;
  bool isRosterRolledOut(Tick now) const;
  void proposeRoster(ControllerCommands& out, Tick now, RosterValue const& next);
  bool mayGrantLeases(Tick now, Tick duration) const;
  void proposeEndpointList(ControllerCommands& out, Tick now, std::string const& pool,
                           config::EndpointList const& list);

  // Messages that are not the registers' own.
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::GossipShuffle const& shuffle);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::OperatorCall const& call);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::OperatorCallReply const& reply);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::ConfigurationAck const& ack);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::RouterStatusReport const& report);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::ServingLeaseRequest const& request);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::WarmupLeaseRequest const& request);
  void on(ControllerCommands& out, Tick now, std::string const& from, transport::EndpointRemovalHint const& hint);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::UsageReport const& report);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::AllocationReport const& report);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::PartitionLeaseRequest const& request);
  void on(ControllerCommands& out, Tick now, std::string const& from, quota::PartitionLeaseReply const& reply);

  ControllerTuning tuning_;
  gossip::PartialView partialView_;
  consensus::ReplicatedRegisters registers_;
  ClusterViewSource clusterView_;
  core::Journal journal_;
  PendingCalls calls_;
  LinearizableReads reads_;
  Roster roster_;
  RouterRegistry routers_;
  RolloutTracker rollouts_;
  RouterStatusReporter statusReporter_;
  RosterReconciler rosterReconciler_;
  EndpointLists endpointLists_;
  QuotaCoordination quotas_;
  LeaseTable leases_;
  GuaranteeChecks guarantees_;
  /// When this process started, and when it last had no vote; -1: it has always had one.
  Tick startedAt_ = 0;
  Tick lastWithoutVoteAt_ = -1;
  bool draining_ = false;
};

}  // namespace corkward::control
