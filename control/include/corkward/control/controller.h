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
  ControllerCommands restore(std::map<std::string, std::string> const& slots, bool damaged, Milliseconds now);
  ControllerCommands onMessage(Milliseconds now, std::string const& from, transport::Message const& message);
  ControllerCommands onTimer(Milliseconds now);
  /// A write and its sync are done; see consensus::ReplicatedRegisters::onPersisted.
  ControllerCommands onPersisted(Milliseconds now, std::uint64_t ticket, bool ok);
  /// A call at this process's HTTP edge; the response comes with the call's token, now or with a later event.
  ControllerCommands onOperatorCall(Milliseconds now, transport::OperatorCall const& call);
  /// Result of a probe of a link address.
  ControllerCommands onProbeResult(Milliseconds now, std::string const& link, bool refused);
  /// The platform's endpoint lists as they were just read, by pool. Lists that differ from the committed ones are
  /// proposed; the replicas that they remove are announced at once.
  ControllerCommands updateEndpointLists(Milliseconds now, std::map<std::string, config::EndpointList> const& lists);
  /// True while this controller is the one that reads the platform's lists: it owns the roster's key.
  bool isEndpointListReader(Milliseconds now) const;
  /// Wall time in milliseconds since 1970, by which certificates are checked when they are declared; unknown: only
  /// their names are.
  void setWallTime(std::int64_t wallTime) { clusterView_.setWallTime(wallTime); }
  void setSeeds(std::vector<std::string> seeds) { partialView_.setSeeds(std::move(seeds)); }
  /// Hands every owned key to a named successor and accepts no calls from here on.
  ControllerCommands drain(Milliseconds now);
  /// After drain: the other members have all that this one has; see consensus::ReplicatedRegisters::handoverComplete.
  bool handoverComplete(Milliseconds now) const { return registers_.handoverComplete(now); }

  /// True while this controller had contact with a majority of the disks within a serving lease, and does not drain.
  bool ready(Milliseconds now) const;
  /// The fleet's page.
  QJsonObject fleet(Milliseconds now) const;
  /// Counters folded from the journal and gauges, in Prometheus' text form.
  std::string metrics(Milliseconds now) const;
  consensus::ReplicatedRegisters const& registers() const { return registers_; }
  /// Calls that have no reply yet.
  std::size_t pendingCount() const { return calls_.size() + rollouts_.pendingReplies().size() + reads_.size(); }

 private:
  // Registers and what they commit (controller.cpp).
  void apply(ControllerCommands& out, Milliseconds now, consensus::RegisterCommands&& commands);
  void onCommitted(Milliseconds now, consensus::CommittedValue const& committed);
  CommittedValues const& values() const { return registers_.committed(); }
  QuorumContact quorumContact(Milliseconds now) const;
  RolloutInputs rolloutInputs(Milliseconds now) const { return {now, quorumContact(now), roster_, routers_}; }

  // Operators' calls (operator_calls.cpp).
  void startRead(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call);
  OperatorResponse respondToRole(Milliseconds now, transport::OperatorCall const& call, std::string const& role);
  std::optional<OperatorResponse> rejectCall(Milliseconds now, transport::OperatorCall const& call,
                                             std::optional<Target> const& target) const;
  void startCall(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call, Target const& target);
  void announceList(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call,
                    std::string const& pool);
  void route(ControllerCommands& out, Milliseconds now, std::uint64_t id);
  void onCallCompleted(ControllerCommands& out, Milliseconds now, consensus::CallCompleted const& completed);
  void finish(ControllerCommands& out, Milliseconds now, std::uint64_t id, core::HttpStatus status,
              QJsonObject const& body);
  void finish(ControllerCommands& out, Milliseconds now, std::uint64_t id, int status, QJsonObject body);
  core::LogEvent callLogEvent(Milliseconds now, PendingCall const& call, int status, QJsonObject const& body) const;
  void finishWithoutOutcome(ControllerCommands& out, Milliseconds now, std::uint64_t id, char const* reason);
  void resumeCalls(ControllerCommands& out, Milliseconds now);
  std::vector<std::uint64_t> callsToRoute(Milliseconds now) const;
  void completeReads(ControllerCommands& out, Milliseconds now);
  void rejectCallsWithoutQuorum(ControllerCommands& out, Milliseconds now);
  void completeRolloutReplies(ControllerCommands& out, Milliseconds now);

  // Routers and their configuration (configuration_push.cpp).
  void pushConfiguration(ControllerCommands& out, Milliseconds now, std::string const& link);
  void pushConfigurationToAll(ControllerCommands& out, Milliseconds now);
  bool updateKnownRevisions(RouterRegistry::Router& router, transport::ServingLeaseRequest const& request);
  transport::ServingLeaseGrant servingLeaseGrant(Milliseconds now, transport::ServingLeaseRequest const& request,
                                                 bool revisionsKnown);
  void recordUpToDate(std::string const& link, RouterRegistry::Router& router);
  void recordReport(Milliseconds now, transport::RouterStatusReport const& report);
  void broadcastRouterStatus(ControllerCommands& out, Milliseconds now);
  void startProbes(ControllerCommands& out, Milliseconds now);

  // The roster, leases and endpoint lists (roster_proposal.cpp, warmup_leases.cpp, endpoint_list_updates.cpp).
  void reconcileRoster(ControllerCommands& out, Milliseconds now);
  bool isRosterProposer(Milliseconds now) const;
  bool isRosterRolledOut(Milliseconds now) const;
  void proposeRoster(ControllerCommands& out, Milliseconds now, RosterValue const& next);
  bool mayGrantLeases(Milliseconds now, Milliseconds duration) const;
  void proposeEndpointList(ControllerCommands& out, Milliseconds now, std::string const& pool,
                           config::EndpointList const& list);

  // Messages that are not the registers' own.
  void on(ControllerCommands& out, Milliseconds now, std::string const& from, transport::GossipShuffle const& shuffle);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from, transport::OperatorCall const& call);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from,
          transport::OperatorCallReply const& reply);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from, transport::ConfigurationAck const& ack);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from,
          transport::RouterStatusReport const& report);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from,
          transport::ServingLeaseRequest const& request);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from,
          transport::WarmupLeaseRequest const& request);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from,
          transport::EndpointRemovalHint const& hint);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from, quota::UsageReport const& report);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from, quota::AllocationReport const& report);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from,
          quota::PartitionLeaseRequest const& request);
  void on(ControllerCommands& out, Milliseconds now, std::string const& from, quota::PartitionLeaseReply const& reply);

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
  Milliseconds startedAt_ = 0;
  Milliseconds lastWithoutVoteAt_ = -1;
  bool draining_ = false;
};

}  // namespace corkward::control
