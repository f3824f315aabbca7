#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <QJsonObject>

#include "chaos.h"
#include "fault_proxy.h"

namespace corkward::testing {

using core::Milliseconds;

struct Arrival {
  Milliseconds at = 0;
  std::string kind;
  std::string run;
  std::string id;
  std::string path;
};

/// A span of time in which a replica or zone must not be used or is warming up. It has not ended while `until` is -1.
struct RestrictedSpan {
  std::string name;
  Milliseconds from = 0;
  Milliseconds until = -1;

  bool contains(Milliseconds time) const { return until < 0 || time < until; }
};

/// One run: a deployment of real processes behind fault proxies, the injected faults and the checks at the end.
class Chaos {
 public:
  explicit Chaos(ChaosPlan const& plan) : plan_(plan), rng_(plan.seed), fleet_(deploymentOf(plan.deployment)) {}

  ChaosResult run();

 private:
  static Deployment const& deploymentOf(std::string const& name);
  void violation(std::string const& what) { result_.violations.push_back(what); }
  void logFault(std::string const& what);
  std::size_t served() { return traffic_->outcomes()["served"]; }

  void startProxies();

  // The platform: sends each endpoint list to a controller and two routers until it is acknowledged or outdated.
  void publishEndpointLists();
  void sendEndpointList(std::string const& pool, std::uint64_t generation, std::string const& body,
                        std::shared_ptr<int> const& left);
  void setReplicaState(Node const& replica, std::string const& next);

  // The operator: writes templates with a unique path one after the other, sometimes two at once on the same revision.
  void changeTemplate();
  std::pair<std::string, QJsonObject> withMark(QJsonObject spec);
  void sendTemplateChange(std::string const& path, std::pair<std::string, QJsonObject> const& what,
                          std::string const& revision, std::shared_ptr<int> const& left);

  /// Sends requests for the paths of all template changes, also removed ones, to random routers.
  void requestRemovedPaths();
  /// Targets of the next fault, drawn before the kind of fault.
  struct FaultTargets {
    std::vector<Node*> routers;
    std::vector<Node*> controllers;
    Node* router = nullptr;
    Node* controller = nullptr;
    Node* model = nullptr;
    int durationMs = 0;
  };
  /// Returns the processes of the group that run and are not frozen.
  std::vector<Node*> runningNodes(std::vector<Node>& group) const;
  /// Returns std::nullopt if no router or no controller runs.
  std::optional<FaultTargets> drawTargets();
  void injectFault();
  void restartRouter(Node& router);
  void restartController(Node& controller);
  void wipeDisk(Node& controller);
  void truncateLog(Node& controller);
  /// Restarts the controller with a limit on the size of its files, and without it after `durationMs` and 4 s.
  void fillDisk(Node& controller, int durationMs);
  void crashReplica(Node& replica, int durationMs);
  /// Cuts or pauses every connection to one link address for a while.
  void breakLink(int durationMs);
  FaultProxy& proxyOf(Node const& node);

  /// Isolates a process from every other process of the fleet, in both directions.
  void isolate(Node& node, int durationMs);

  /// Partitions the controllers into two halves. Routers, callers and operators reach both.
  void partitionControllers(int durationMs);
  void healPartitions();

  /// Stops a router and a controller at the same time and restarts them after both have exited.
  void stopTogether(Node& router, Node& controller);
  void crashAndRestart(Node& node, int durationMs);
  /// Freezes all replicas of the model pool, so that they respond late.
  void freezeModels(int durationMs);
  void freezeAndResume(Node& node, int durationMs);
  bool allControllersVote();
  /// Truncates the newest file of the write-ahead log by up to 60 bytes.
  void truncateNewestFile(Node const& controller);

  /// Replaces one replica as a release does: it is listed as leaving, restarted at the same address in state cold, and
  /// then serving.
  void replaceReplica(Node& model);
  void evacuateZone();
  void endEvacuation(std::string const& zone);
  void heal();

  /// Describes the faults that have not ended and the state of each controller, for error texts.
  std::string describePendingFaults();
  void killEverything();
  std::vector<Arrival> arrivalsAt(Node const& r) const;
  /// Checks the records of callers, replicas, operators and the platform.
  void checkResult();
  /// Checks that the replica was allowed to get requests at the time of the arrival.
  void checkArrival(Node const& replica, Arrival const& arrival);

  /// Adds a violation for each router and controller that has ended although no fault ended it.
  void checkExits();

  /// Checks that every router serves requests by itself. Faults must be over.
  void checkServing();
  /// Returns whether the router serves a request within the limit.
  bool servesWithin(Node const& router, int limitMs);

  /// Checks the logs of all processes for violated guarantees and invariants.
  void checkGuarantees();
  void checkRuns();
  void checkRepeatedRun(std::string const& id, std::vector<std::pair<Milliseconds, std::string>> const& runs);

  /// Returns the revision under which the template with this path was accepted, or 0.
  qint64 revisionOf(std::string const& mark) const;
  void checkSlowStart(Node const& n);
  void checkRepeats(std::vector<std::pair<Milliseconds, std::string>> all);
  void checkChanges();

  struct TemplateChange {
    std::string mark;
    QJsonObject spec;
    std::string ifMatch;
    int status = 0;
    qint64 revision = 0;
    Milliseconds answeredAt = -1;
    bool pending = false;

    bool acknowledged() const { return status == 200 || status == 201; }
  };

  ChaosPlan plan_;
  core::RandomGenerator rng_;
  Fleet fleet_;
  std::vector<std::unique_ptr<FaultProxy>> replicaProxies_;
  std::vector<std::unique_ptr<FaultProxy>> callerProxies_;
  std::vector<std::unique_ptr<FaultProxy>> linkProxies_;
  std::unique_ptr<Traffic> traffic_;
  std::map<std::string, std::string> states_;
  std::set<std::string> frozen_;
  /// Processes whose unexpected exit was reported, so that each is reported once.
  std::set<std::string> reportedExits_;
  std::vector<RestrictedSpan> leaving_;
  std::vector<RestrictedSpan> warmingUp_;
  std::vector<RestrictedSpan> evacuatedZones_;
  std::vector<TemplateChange> templateChanges_;
  std::uint64_t generation_ = 0;
  Milliseconds startedAt_ = 0;
  /// Time of the total outage, after which no router remembers earlier request ids; see "Not yet proved" in
  /// docs/failures.md. -1 if there was none.
  Milliseconds outageAt_ = -1;
  int marks_ = 0;
  bool listDone_ = false;
  bool changePending_ = false;
  bool replacementPending_ = false;
  bool evacuationPending_ = false;
  bool partitionActive_ = false;
  ChaosResult result_;
};

}  // namespace corkward::testing
