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
  std::string what;
  std::string run;
  std::string id;
  std::string path;
};

/// A span in which a replica or a zone was not to be reached; open while `until` is below zero.
struct Ban {
  std::string name;
  Milliseconds from = 0;
  Milliseconds until = -1;

  bool holdsAt(Milliseconds time) const { return until < 0 || time < until; }
};

/// One run: a deployment of real processes behind relays, the failures that are begun, and what is checked at the end.
class Chaos {
 public:
  explicit Chaos(ChaosPlan const& plan) : plan_(plan), rng_(plan.seed), fleet_(deploymentOf(plan.deployment)) {}

  ChaosResult run();

 private:
  static Deployment const& deploymentOf(std::string const& name);
  void violation(std::string const& what) { result_.violations.push_back(what); }
  void logEvent(std::string const& what);
  std::size_t served() { return traffic_->outcomes()["served"]; }

  void startProxies();

  // The platform: shows each list to a controller and two routers until it is acknowledged or overtaken.
  void publishEndpointLists();
  void show(std::string const& pool, std::uint64_t generation, std::string const& body,
            std::shared_ptr<int> const& left);
  void setReplicaState(Node const& replica, std::string const& next);

  // An operator who puts marked templates one after the other; now and then two at once on one revision.
  void operatorTurn();
  std::pair<std::string, QJsonObject> marked(QJsonObject spec);
  void put(std::string const& path, std::pair<std::string, QJsonObject> const& what, std::string const& revision,
           std::shared_ptr<int> const& left);

  /// Asks for paths that acknowledged changes have taken away, at any router.
  void probe();
  /// What the faults of one turn may strike, drawn before the fault is.
  struct FaultTargets {
    std::vector<Node*> routers;
    std::vector<Node*> controllers;
    Node* router = nullptr;
    Node* controller = nullptr;
    Node* model = nullptr;
    int durationMs = 0;
  };
  /// Processes of the group that run and aren't frozen.
  std::vector<Node*> runningNodes(std::vector<Node>& group) const;
  /// Nothing when no router or no controller runs.
  std::optional<FaultTargets> drawTargets();
  void injectFault();
  void restartRouter(Node& router);
  void restartController(Node& controller);
  void wipeDisk(Node& controller);
  void truncateLog(Node& controller);
  /// For a while the controller runs with a limit on the size of its files.
  void fillDisk(Node& controller, int durationMs);
  void crashReplica(Node& replica, int durationMs);
  /// Cuts or holds every connection to one link address for a while.
  void breakLink(int durationMs);
  FaultProxy& proxyOf(Node const& node);

  /// Cuts the machine of a controller off from every other process of the fleet, both ways.
  void isolate(Node& node, int durationMs);

  /// Cuts the controllers into two halves; routers, callers and operators reach both.
  void partitionControllers(int durationMs);
  void healPartitions();

  /// Stops a router and a controller at the same moment, and starts them again as each has ended.
  void stopTogether(Node& router, Node& controller);
  void crashAndRestart(Node& node, int durationMs);
  void freezeAndResume(Node& node, int durationMs);
  bool allVote();
  /// Cuts bytes off the end of the newest file of the write-ahead log.
  void truncateNewestFile(Node const& controller);

  /// A release replaces one replica: shown leaving, stopped, back cold at the same address, then serving.
  void replaceReplica(Node& model);
  void evacuateZone();
  void endEvacuation(std::string const& zone);
  void heal();

  /// What keeps a run from its end, and what each controller says of itself.
  std::string whatLasts();
  void outage();
  std::vector<Arrival> arrivalsAt(Node const& r) const;
  /// Checks the records of callers, replicas, operators and the platform.
  void checkResult();
  /// Checks that a request reached the replica at a time at which it might be used.
  void checkArrival(Node const& replica, Arrival const& arrival);

  /// What the processes themselves say of broken guarantees and invariants, in their complete logs.
  void checkGuarantees();
  void checkRuns();
  void checkRepeatedRun(std::string const& id, std::vector<std::pair<Milliseconds, std::string>> const& runs);

  /// Revision under which the path is known to have been accepted.
  qint64 revisionOf(std::string const& mark) const;
  void checkCold(Node const& n);
  void checkRepeats(std::vector<std::pair<Milliseconds, std::string>> all);
  void checkChanges();

  struct Put {
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
  std::vector<Ban> leaving_;
  std::vector<Ban> cold_;
  std::vector<Ban> zones_;
  std::vector<Put> puts_;
  std::uint64_t generation_ = 0;
  Milliseconds began_ = 0;
  /// Nobody remembers ids from before a total outage; see "Not yet proved" in docs/failures.md.
  Milliseconds outageAt_ = -1;
  int marks_ = 0;
  bool listDone_ = false;
  bool putting_ = false;
  bool replacing_ = false;
  bool evacuating_ = false;
  bool cutting_ = false;
  ChaosResult result_;
};

}  // namespace corkward::testing
