#pragma once

/// The control plane of one machine as a pure reducer: it maps each event to commands and performs no I/O itself. It
/// dispatches each event to the classes that own the state and concatenates their commands; see docs/design.md. A
/// controller cannot be copied or moved because its members refer to each other.

#include <map>
#include <string>
#include <vector>

#include <corkward/control/cluster_view_source.h>
#include <corkward/control/controller_commands.h>
#include <corkward/control/endpoint_lists.h>
#include <corkward/control/guarantee_checks.h>
#include <corkward/control/lease_table.h>
#include <corkward/control/linearizable_reads.h>
#include <corkward/control/order_confirmation.h>
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

  /// Handles the first event: the records that were read from the write-ahead log.
  /// @param damaged true if the log is damaged; then none of its records is used
  ControllerCommands restore(std::map<std::string, std::string> const& slots, bool damaged, Milliseconds now);
  ControllerCommands onMessage(Milliseconds now, std::string const& from, transport::Message const& message);
  ControllerCommands onTimer(Milliseconds now);
  /// Handles the completion of a write and its sync; see consensus::ReplicatedRegisters::onPersisted.
  ControllerCommands onPersisted(Milliseconds now, std::uint64_t ticket, bool ok);
  /// Handles an operator's HTTP request to this process. The response carries the call's token and is among the
  /// commands of this event or of a later one.
  ControllerCommands onOperatorCall(Milliseconds now, transport::OperatorCall const& call);
  /// Handles the result of looking for the caller of a call; see ControllerCommands::callerChecks.
  /// @param waiting true if the caller's connection is open
  ControllerCommands onCallerChecked(Milliseconds now, std::uint64_t token, bool waiting);
  /// Handles the end of a caller's connection before its call was answered.
  ControllerCommands onCallerDisconnected(Milliseconds now, std::uint64_t token);
  /// Handles the result of probing a link address.
  /// @param refused true if nothing listens at that address
  ControllerCommands onProbeResult(Milliseconds now, std::string const& link, bool refused);
  /// Handles the endpoint lists that were just read from the platform. Lists that differ from the committed ones are
  /// proposed; the replicas that they remove are announced to the routers at once.
  /// @param lists endpoint lists by pool
  ControllerCommands updateEndpointLists(Milliseconds now, std::map<std::string, config::EndpointList> const& lists);
  /// Returns true if this controller is the one that reads the platform's endpoint lists. That is the owner of the
  /// roster's key, or the first member while the key has no owner.
  bool isEndpointListReader(Milliseconds now) const;
  /// Sets the wall time in milliseconds since 1970, by which the validity periods of declared certificates are checked.
  /// Until it is set, only the names in certificates are checked.
  void setWallTime(std::int64_t wallTime) { clusterView_.setWallTime(wallTime); }
  void setSeeds(std::vector<std::string> seeds) { partialView_.setSeeds(std::move(seeds)); }
  /// Starts to hand each owned key over to a successor. The controller accepts no operator calls from then on.
  ControllerCommands drain(Milliseconds now);
  /// Returns true if, after drain(), the other members have all values that this member has; see
  /// consensus::ReplicatedRegisters::handoverComplete.
  bool handoverComplete(Milliseconds now) const { return registers_.handoverComplete(now); }

  /// Returns true if the last contact with a majority of the disks is no older than a serving lease and this controller
  /// is not draining.
  bool ready(Milliseconds now) const;
  /// Returns the body of the HTTP resource /v1/fleet.
  QJsonObject fleet(Milliseconds now) const;
  /// Returns the counters aggregated from the journal and the gauges in the Prometheus text format.
  std::string metrics(Milliseconds now) const;
  consensus::ReplicatedRegisters const& registers() const { return registers_; }
  /// Returns how many calls have no reply yet.
  std::size_t pendingCount() const {
    return calls_.size() + rollouts_.pendingReplies().size() + reads_.size() + unconfirmedOrders_.size();
  }

 private:
  // Replicated registers and their committed values (controller.cpp).
  void apply(ControllerCommands& out, Milliseconds now, consensus::RegisterCommands&& commands);
  void onCommitted(Milliseconds now, consensus::CommittedValue const& committed);
  CommittedValues const& values() const { return registers_.committed(); }
  QuorumContact quorumContact(Milliseconds now) const;
  RolloutInputs rolloutInputs(Milliseconds now) const { return {now, quorumContact(now), roster_, routers_}; }

  // Operator calls (operator_calls.cpp).
  void startRead(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call);
  OperatorResponse respondToRole(Milliseconds now, transport::OperatorCall const& call, std::string const& role);
  std::optional<OperatorResponse> rejectCall(Milliseconds now, transport::OperatorCall const& call,
                                             std::optional<Target> const& target) const;
  void startCall(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call, Target const& target);
  void announceRemovals(ControllerCommands& out, Milliseconds now, transport::OperatorCall const& call,
                        std::string const& pool);
  void addCall(ControllerCommands& out, Milliseconds now, PendingCall pending);
  void route(ControllerCommands& out, Milliseconds now, std::uint64_t id);
  void forward(ControllerCommands& out, Milliseconds now, PendingCall& pending, std::string const& owner);
  void submit(ControllerCommands& out, Milliseconds now, PendingCall const& pending);

  // Orders without a base revision (unconditional_orders.cpp).
  /// Returns true if the call names no base revision, so that nothing in it tells a copy that is read late from a new
  /// order.
  bool needsCaller(Target const& target, transport::OperatorCall const& call) const;
  void checkCallers(ControllerCommands& out, Milliseconds now);
  void startConfirmedOrder(ControllerCommands& out, Milliseconds now, UnconfirmedOrder order);
  void abandonOrder(ControllerCommands& out, Milliseconds now, std::uint64_t token);
  void replyWithReservation(ControllerCommands& out, Milliseconds now, std::string const& from, std::string const& key,
                            std::uint64_t token);
  bool isReserved(Milliseconds now, std::string const& from, std::string const& key,
                  transport::OperatorCall const& call);
  /// Routes a call that the registers have returned without proposing it. If it needs its caller, the caller is looked
  /// for again, by the controller to which it is connected.
  void resume(ControllerCommands& out, Milliseconds now, std::uint64_t id);

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

  // Routers and their configuration updates (configuration_push.cpp).
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
  /// Announces the list that this controller has read last if the one that was just committed is an older one.
  void announceNewerList(ControllerCommands& out, Milliseconds now, consensus::CallCompleted const& completed);

  // Messages other than those of the replicated registers.
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
  UnconfirmedOrders unconfirmedOrders_;
  OrderReservations reservations_;
  Roster roster_;
  RouterRegistry routers_;
  RolloutTracker rollouts_;
  RouterStatusReporter statusReporter_;
  RosterReconciler rosterReconciler_;
  EndpointLists endpointLists_;
  QuotaCoordination quotas_;
  LeaseTable leases_;
  GuaranteeChecks guarantees_;
  /// When this process started.
  Milliseconds startedAt_ = 0;
  /// When this process was last not a voting member, or -1 if it has been one at every timer event.
  Milliseconds lastWithoutVoteAt_ = -1;
  bool draining_ = false;
};

}  // namespace corkward::control
