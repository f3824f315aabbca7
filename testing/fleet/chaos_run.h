#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <QJsonObject>

#include "chaos.h"
#include "tap.h"

namespace corkward::testing {

using core::Tick;

struct Arrival {
  Tick at = 0;
  std::string what;
  std::string run;
  std::string id;
  std::string path;
};

/// A span in which a replica or a zone was not to be reached; open while `until` is below zero.
struct Ban {
  std::string name;
  Tick from = 0;
  Tick until = -1;
};

/// One run: a deployment of real processes behind relays, the failures that are begun, and what is judged at the end.
class Chaos {
 public:
  explicit Chaos(ChaosPlan const& plan) : plan_(plan), rng_(plan.seed), fleet_(deploymentOf(plan.deployment)) {}

  ChaosResult run();

 private:
  static Deployment const& deploymentOf(std::string const& name);
  void violation(std::string const& what) { result_.violations.push_back(what); }
  void logEvent(std::string const& what);
  std::size_t served() { return traffic_->outcomes()["served"]; }

  void tapAll();

  // The platform: shows each list to a controller and two routers until it is acknowledged or overtaken.
  void giveList();
  void show(std::string const& pool, std::uint64_t generation, std::string const& body,
            std::shared_ptr<int> const& left);
  void state(Node const& r, std::string const& next);

  // An operator who puts marked templates one after the other; now and then two at once on one revision.
  void operatorTurn();
  std::pair<std::string, QJsonObject> marked(QJsonObject spec);
  void put(std::string const& path, std::pair<std::string, QJsonObject> const& what, std::string const& revision,
           std::shared_ptr<int> const& left);

  /// Asks for paths that acknowledged changes have taken away, at any router.
  void probe();
  void cause();
  Tap& tapOf(Node const& node);

  /// Cuts the machine of a controller off from every other process of the fleet, both ways.
  void cutOff(Node& node, int how);

  /// Cuts the controllers into two halves; routers, callers and operators reach both.
  void split(int how);
  void joinAll();

  /// Stops a router and a controller at the same moment, and starts them again as each has ended.
  void stopTogether(Node& router, Node& controller);
  void killed(Node& n, int how);
  void frozen(Node& n, int how);
  bool allVote();
  void tear(Node const& controller);

  /// A release replaces one replica: shown leaving, stopped, back cold at the same address, then serving.
  void replace(Node& model);
  void evacuate();
  void lift(std::string const& zone);
  void heal();

  /// What keeps a run from its end, and what each controller says of itself.
  std::string whatLasts();
  void outage();
  std::vector<Arrival> arrivalsAt(Node const& r) const;
  void judge();

  /// What the processes themselves say of broken promises and invariants, in their whole logs.
  void checkPromises();
  void checkRuns();

  /// Revision under which the path is known to have been accepted.
  qint64 revisionOf(std::string const& mark) const;
  void checkCold(Node const& n);
  void checkRepeats(std::vector<std::pair<Tick, std::string>> all);
  void checkChanges();

  struct Put {
    std::string mark;
    QJsonObject spec;
    std::string ifMatch;
    int status = 0;
    qint64 revision = 0;
    Tick answeredAt = -1;
    bool pending = false;
  };

  ChaosPlan plan_;
  core::RandomGenerator rng_;
  Fleet fleet_;
  std::vector<std::unique_ptr<Tap>> replicaTaps_;
  std::vector<std::unique_ptr<Tap>> callerTaps_;
  std::vector<std::unique_ptr<Tap>> linkTaps_;
  std::unique_ptr<Traffic> traffic_;
  std::map<std::string, std::string> states_;
  std::set<std::string> frozen_;
  std::vector<Ban> leaving_;
  std::vector<Ban> cold_;
  std::vector<Ban> zones_;
  std::vector<Put> puts_;
  std::uint64_t generation_ = 0;
  Tick began_ = 0;
  /// Nobody remembers ids from before a total outage; see "Not yet proved" in docs/failures.md.
  Tick outageAt_ = -1;
  int marks_ = 0;
  bool listDone_ = false;
  bool putting_ = false;
  bool replacing_ = false;
  bool evacuating_ = false;
  bool cutting_ = false;
  ChaosResult result_;
};

}  // namespace corkward::testing
