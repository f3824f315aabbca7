#include "chaos.h"

#include <QDir>
#include <QFile>
#include <QJsonArray>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QTimer>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include <corkward/core/json.h>

#include "clock.h"
#include "tap.h"

namespace corkward::testing {

namespace {

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

class Chaos {
 public:
  explicit Chaos(ChaosPlan const& plan) : plan_(plan), rng_(plan.seed), fleet_(deploymentOf(plan.deployment)) {}

  ChaosResult run() {
    tapAll();
    fleet_.startAll();
    fleet_.until("ready controllers", [&] {
      for (Node const& n : fleet_.controllers())
        if (fleet_.get(n.http, "/readyz").status != 200) return false;
      return true;
    });
    giveList();
    fleet_.until("the lists", [&] { return listDone_; });
    fleet_.loadConfigurations();
    fleet_.untilReady(fleet_.routers().size());
    traffic_ = std::make_unique<Traffic>(fleet_, plan_.seed, plan_.scale);
    traffic_->startCalling();
    began_ = programs::now();
    for (std::unique_ptr<Tap> const& t : replicaTaps_) t->harm(0.02);
    for (std::unique_ptr<Tap> const& t : callerTaps_) t->harm(0.02);
    for (int i = 0; i < plan_.events; ++i) {
      int const overlapping = 1 + static_cast<int>(rng_.below(static_cast<std::uint64_t>(plan_.overlap)));
      for (int k = 0; k < overlapping; ++k) cause();
      operatorTurn();
      std::size_t const before = served();
      fleet_.until("traffic beside the failures", [&] { return served() >= before + 60; });
    }
    heal();
    if (plan_.outage) outage();
    fleet_.untilReady(fleet_.routers().size());
    traffic_->stopCalling();
    try {
      fleet_.until(
          "the last answers", [&] { return traffic_->open() == 0 && !putting_; }, 90000);
    } catch (FleetError const& e) {
      throw FleetError(std::string(e.what()) + ": " + std::to_string(traffic_->open()) + " open, " +
                       traffic_->openText() + (putting_ ? ", a change is under way" : "") + "; " + whatLasts());
    }
    judge();
    return std::move(result_);
  }

 private:
  static Deployment const& deploymentOf(std::string const& name) {
    for (Deployment const& d : deployments)
      if (name == d.name) return d;
    throw FleetError("no deployment " + name);
  }

  void violation(std::string const& what) { result_.violations.push_back(what); }
  void logEvent(std::string const& what) {
    if (plan_.loud) std::cerr << what << std::endl;
    result_.timeline.push_back(std::to_string(began_ == 0 ? 0 : programs::now() - began_) + " " + what);
  }
  std::size_t served() { return traffic_->outcomes()["served"]; }

  void tapAll() {
    std::uint64_t seed = plan_.seed;
    for (Node& n : fleet_.replicas()) {
      replicaTaps_.push_back(std::make_unique<Tap>(n.http, n.http.substr(0, n.http.rfind(':')), ++seed));
      n.shown = replicaTaps_.back()->address();
    }
    for (Node& n : fleet_.routers()) {
      callerTaps_.push_back(std::make_unique<Tap>(n.http, n.http.substr(0, n.http.rfind(':')), ++seed));
      n.shown = callerTaps_.back()->address();
    }
    fleet_.tapLinks([&](std::string const& listen) {
      linkTaps_.push_back(std::make_unique<Tap>(listen, listen.substr(0, listen.rfind(':')), ++seed));
      return linkTaps_.back()->address();
    });
  }

  // The platform: shows each list to a controller and two routers until it is acknowledged or overtaken.
  void giveList() {
    ++generation_;
    listDone_ = false;
    std::shared_ptr<int> const left = std::make_shared<int>(2);
    for (std::string const& pool : {std::string("model"), std::string(fleet_.deployment().otherPool)}) {
      QJsonArray list;
      for (Node const& r : fleet_.replicas()) {
        if (r.pool != pool) continue;
        std::string const state = states_.count(r.name) > 0 ? states_.at(r.name) : "serving";
        list.append(
            QJsonObject{{"address", core::qstr(r.shown)}, {"zone", core::qstr(r.zone)}, {"state", core::qstr(state)}});
      }
      show(pool, generation_,
           core::jsonText(
               QJsonObject{{"generation", static_cast<qint64>(generation_)}, {"coldRate", 2}, {"replicas", list}}),
           left);
    }
  }

  void show(std::string const& pool, std::uint64_t generation, std::string const& body,
            std::shared_ptr<int> const& left) {
    if (generation != generation_) return;
    std::vector<Node*> to{&fleet_.controllers()[rng_.below(fleet_.controllers().size())],
                          &fleet_.routers()[rng_.below(fleet_.routers().size())],
                          &fleet_.routers()[rng_.below(fleet_.routers().size())]};
    std::shared_ptr<bool> const done = std::make_shared<bool>(false);
    for (std::size_t i = 0; i < to.size(); ++i) {
      if (!to[i]->process) continue;
      fleet_.callAsync(to[i]->http, "PUT", "/v1/platform/pools/" + pool, body, "", "", 6000,
                       [this, i, done, left, generation](Reply const& r) {
                         if (i != 0 || r.status != 200 || *done || generation != generation_) return;
                         *done = true;
                         if (--*left == 0) listDone_ = true;
                       });
    }
    QTimer::singleShot(600, &fleet_, [this, pool, generation, body, left, done] {
      if (!*done) show(pool, generation, body, left);
    });
  }

  void state(Node const& r, std::string const& next) {
    Tick const now = programs::now();
    for (std::vector<Ban>* const bans : {&leaving_, &cold_})
      for (Ban& b : *bans)
        if (b.name == r.name && b.until < 0) b.until = now;
    states_[r.name] = next;
    if (next == "leaving") leaving_.push_back(Ban{r.name, now, -1});
    if (next == "cold") cold_.push_back(Ban{r.name, now, -1});
    giveList();
  }

  // An operator who puts marked templates one after the other; now and then two at once on one revision.
  void operatorTurn() {
    if (putting_) return;
    std::string const path = std::string("/v1/templates/") + fleet_.deployment().family;
    std::vector<Node*> up;
    for (Node& n : fleet_.controllers())
      if (n.process) up.push_back(&n);
    if (up.empty()) return;
    putting_ = true;
    std::string const http = up[rng_.below(up.size())]->http;
    fleet_.callAsync(http, "GET", path, "", "", "", 4000, [this, http, path](Reply const& r) {
      if (r.status != 200) {
        putting_ = false;
        return;
      }
      QJsonObject const spec = r.body.value("spec").toObject();
      std::string const revision = std::to_string(r.body.value("stamp").toInteger());
      int const racing = rng_.chance(0.4) ? 2 : 1;
      std::shared_ptr<int> const left = std::make_shared<int>(racing);
      for (int i = 0; i < racing; ++i) put(path, marked(spec), revision, left);
    });
  }

  std::pair<std::string, QJsonObject> marked(QJsonObject spec) {
    std::string const mark = "mark-" + std::to_string(++marks_);
    QJsonArray paths;
    for (QJsonValue const p : spec.value("paths").toArray())
      if (!p.toObject().value("path").toString().startsWith("mark-")) paths.append(p);
    paths.append(QJsonObject{{"path", core::qstr(mark)}, {"pool", "model"}, {"class", "short"}});
    spec.insert("paths", paths);
    return {mark, spec};
  }

  void put(std::string const& path, std::pair<std::string, QJsonObject> const& what, std::string const& revision,
           std::shared_ptr<int> const& left) {
    Node const& to = fleet_.controllers()[rng_.below(fleet_.controllers().size())];
    std::size_t const ix = puts_.size();
    puts_.push_back(Put{what.first, what.second, revision, 0, 0, -1});
    fleet_.callAsync(to.http, "PUT", path, core::jsonText(what.second), revision, "id-" + what.first, 14000,
                     [this, ix, left](Reply const& r) {
                       Put& p = puts_[ix];
                       p.status = r.status;
                       p.pending = r.body.value("pending").toBool();
                       p.revision = r.body.value("stamp").toInteger();
                       p.answeredAt = programs::now();
                       ++result_.changes;
                       if (--*left == 0) putting_ = false;
                       probe();
                     });
  }

  /// Asks for paths that acknowledged changes have taken away, at any router.
  void probe() {
    for (std::size_t i = 0; i < puts_.size(); ++i) {
      Node const& n = fleet_.routers()[rng_.below(fleet_.routers().size())];
      if (!n.process) continue;
      fleet_.callAsync(n.http, "POST", "/v1/" + fleet_.instances()[0] + "/" + puts_[i].mark, "{}", "", "", 8000,
                       [](Reply const&) {});
    }
  }

  void cause() {
    std::vector<Node*> routers;
    std::vector<Node*> subs;
    for (Node& n : fleet_.routers())
      if (n.process && frozen_.count(n.name) == 0) routers.push_back(&n);
    for (Node& n : fleet_.controllers())
      if (n.process && frozen_.count(n.name) == 0) subs.push_back(&n);
    if (routers.empty() || subs.empty()) return;
    bool const allSubs = subs.size() == fleet_.controllers().size();
    Node& router = *routers[rng_.below(routers.size())];
    Node& sub = *subs[rng_.below(subs.size())];
    Node& model = fleet_.replicas()[rng_.below(static_cast<std::uint64_t>(fleet_.deployment().models))];
    int const how = 500 + static_cast<int>(rng_.below(3000));
    switch (rng_.below(plan_.overlap > 1 ? 16 : 13)) {
      case 0:
        if (routers.size() * 2 > fleet_.routers().size() + 2) killed(router, how);
        break;
      case 1:
        for (Node* const s : subs) killed(*s, how);
        break;
      case 2:
        frozen(router, 2000 + how);
        break;
      case 3:
        frozen(sub, 2000 + how);
        break;
      case 4:
        logEvent("restart " + router.name);
        if (fleet_.stop(router) != 0) violation(router.name + " did not end cleanly");
        fleet_.start(router);
        break;
      case 5:
        if (!allSubs) break;
        logEvent("restart " + sub.name);
        fleet_.stop(sub);
        fleet_.start(sub);
        break;
      case 6:
        if (!allSubs || !allVote()) break;
        logEvent("wipe " + sub.name);
        fleet_.kill9(sub);
        fleet_.wipe(sub);
        fleet_.start(sub);
        break;
      case 7:
        if (!allSubs || !allVote()) break;
        logEvent("tear " + sub.name);
        fleet_.kill9(sub);
        tear(sub);
        fleet_.start(sub);
        break;
      case 8:
        if (!allSubs || !allVote()) break;
        logEvent("full " + sub.name);
        fleet_.kill9(sub);
        fleet_.start(sub, 4000);
        QTimer::singleShot(4000 + how, &fleet_, [this, &sub] {
          if (!sub.process || frozen_.count(sub.name) > 0) return;
          fleet_.kill9(sub);
          fleet_.start(sub);
        });
        break;
      case 9:
        replace(model);
        break;
      case 10: {
        logEvent("crash " + model.name);
        fleet_.kill9(model);
        QTimer::singleShot(how, &fleet_, [this, &model] {
          if (!model.process) fleet_.start(model);
        });
        break;
      }
      case 11: {
        bool const cut = rng_.chance(0.5);
        Tap* const tap = linkTaps_[rng_.below(linkTaps_.size())].get();
        logEvent(std::string(cut ? "cut" : "hold") + " a link inwards");
        cut ? tap->cut(true) : tap->hold(true);
        QTimer::singleShot(1000 + how, &fleet_, [tap, cut] { cut ? tap->cut(false) : tap->hold(false); });
        break;
      }
      case 12:
        evacuate();
        break;
      case 13:
        cutOff(sub, 2 * how);
        break;
      case 14:
        split(2 * how);
        break;
      case 15:
        stopTogether(router, sub);
        break;
    }
  }

  Tap& tapOf(Node const& node) {
    for (std::unique_ptr<Tap> const& tap : linkTaps_)
      if (tap->address() == node.link) return *tap;
    throw FleetError("no tap of " + node.name);
  }

  /// Cuts the machine of a controller off from every other process of the fleet, both ways.
  void cutOff(Node& node, int how) {
    if (cutting_) return;
    cutting_ = true;
    logEvent("cut off " + node.name);
    Tap* const own = &tapOf(node);
    own->cut(true);
    for (std::unique_ptr<Tap> const& tap : linkTaps_)
      if (tap.get() != own) tap->cutFrom({node.link});
    QTimer::singleShot(how, &fleet_, [this, own] {
      own->cut(false);
      joinAll();
    });
  }

  /// Cuts the controllers into two halves; routers, callers and operators reach both.
  void split(int how) {
    if (cutting_) return;
    cutting_ = true;
    std::vector<Node>& all = fleet_.controllers();
    std::size_t const begin = rng_.below(all.size());
    std::set<std::string> halves[2];
    for (std::size_t i = 0; i < all.size(); ++i)
      halves[i < all.size() / 2 ? 0 : 1].insert(all[(begin + i) % all.size()].link);
    logEvent("split the controllers");
    for (Node const& node : all) tapOf(node).cutFrom(halves[halves[0].count(node.link) > 0 ? 1 : 0]);
    QTimer::singleShot(how, &fleet_, [this] { joinAll(); });
  }

  void joinAll() {
    for (std::unique_ptr<Tap> const& tap : linkTaps_) tap->cutFrom({});
    cutting_ = false;
  }

  /// Stops a router and a controller at the same moment, and starts them again as each has ended.
  void stopTogether(Node& router, Node& controller) {
    if (cutting_ || !allVote()) return;
    logEvent("stop " + router.name + " and " + controller.name);
    router.process->terminate();
    if (fleet_.stop(controller) != 0) violation(controller.name + " did not end cleanly");
    if (fleet_.stop(router) != 0) violation(router.name + " did not end cleanly");
    fleet_.start(controller);
    fleet_.start(router);
  }

  void killed(Node& n, int how) {
    logEvent("kill " + n.name);
    fleet_.kill9(n);
    QTimer::singleShot(how, &fleet_, [this, &n] {
      if (!n.process) fleet_.start(n);
    });
  }

  void frozen(Node& n, int how) {
    logEvent("freeze " + n.name);
    fleet_.freeze(n);
    frozen_.insert(n.name);
    QTimer::singleShot(how, &fleet_, [this, &n] {
      frozen_.erase(n.name);
      if (n.process) fleet_.wake(n);
    });
  }

  bool allVote() {
    for (Node const& s : fleet_.controllers())
      if (!fleet_.get(s.http, "/v1/fleet").body.value("voting").toBool()) return false;
    return true;
  }

  void tear(Node const& sub) {
    QDir const dir(core::qstr(sub.data));
    QStringList const files = dir.entryList({"*log*", "*segment*"}, QDir::Files, QDir::Time);
    if (files.isEmpty()) return;
    QFile file(dir.filePath(files.first()));
    file.resize(std::max<qint64>(0, file.size() - 1 - static_cast<qint64>(rng_.below(60))));
  }

  /// A release replaces one replica: shown leaving, stopped, back cold at the same address, then serving.
  void replace(Node& model) {
    if (replacing_) return;
    replacing_ = true;
    logEvent("replace " + model.name);
    state(model, "leaving");
    QTimer::singleShot(4000, &fleet_, [this, &model] {
      fleet_.kill9(model);
      fleet_.start(model);
      state(model, "cold");
      QTimer::singleShot(5000, &fleet_, [this, &model] {
        state(model, "serving");
        replacing_ = false;
      });
    });
  }

  void evacuate() {
    if (evacuating_) return;
    evacuating_ = true;
    std::string const zone = "z2";
    logEvent("evacuate " + zone);
    Node const& to = fleet_.controllers()[rng_.below(fleet_.controllers().size())];
    fleet_.callAsync(to.http, "PUT", "/v1/evacuations/" + zone, "", "", "", 14000, [this, zone](Reply const& r) {
      if (r.status == 200) zones_.push_back(Ban{zone, programs::now(), -1});
      QTimer::singleShot(7000, &fleet_, [this, zone] { lift(zone); });
    });
  }

  void lift(std::string const& zone) {
    for (Ban& b : zones_)
      if (b.until < 0) b.until = programs::now();
    Node const& to = fleet_.controllers()[rng_.below(fleet_.controllers().size())];
    fleet_.callAsync(to.http, "DELETE", "/v1/evacuations/" + zone, "", "", "", 14000, [this, zone](Reply const& r) {
      if (r.status == 200)
        evacuating_ = false;
      else
        QTimer::singleShot(500, &fleet_, [this, zone] { lift(zone); });
    });
  }

  void heal() {
    logEvent("heal");
    for (std::vector<std::unique_ptr<Tap>>* const taps : {&replicaTaps_, &callerTaps_})
      for (std::unique_ptr<Tap> const& t : *taps) t->harm(0);
    try {
      fleet_.until("what was begun to end",
                   [&] { return frozen_.empty() && !replacing_ && !evacuating_ && !cutting_; });
    } catch (FleetError const& e) {
      throw FleetError(std::string(e.what()) + ": " + whatLasts());
    }
    for (std::vector<Node>* const group : {&fleet_.controllers(), &fleet_.routers(), &fleet_.replicas()})
      for (Node& n : *group)
        if (!n.process) fleet_.start(n);
    for (std::unique_ptr<Tap> const& t : linkTaps_) {
      t->cut(false);
      t->hold(false);
    }
    fleet_.until("every member to vote", [&] { return allVote(); });
  }

  /// What keeps a run from its end, and what each controller says of itself.
  std::string whatLasts() {
    std::string out = std::to_string(frozen_.size()) + " frozen";
    if (replacing_) out += ", a replica is replaced";
    if (evacuating_) out += ", a zone is evacuated";
    if (cutting_) out += ", a cut lasts";
    for (Node const& node : fleet_.controllers()) {
      out += "\n  " + node.name + (node.process ? "" : " is not running");
      if (!node.process) continue;
      Reply const reply = fleet_.get(node.http, "/v1/fleet");
      QJsonObject body = reply.body;
      for (char const* const unneeded : {"nacelles", "stamps"}) body.remove(QLatin1String(unneeded));
      out += " " + std::to_string(reply.status) + " " + core::jsonText(body) + "\n" + fleet_.logTail(node);
    }
    return out;
  }

  void outage() {
    logEvent("kill everything");
    for (std::vector<Node>* const group : {&fleet_.routers(), &fleet_.controllers(), &fleet_.replicas()})
      for (Node& n : *group) fleet_.kill9(n);
    Tick const start = programs::now();
    outageAt_ = start - began_;
    std::size_t const before = served();
    fleet_.startAll();
    fleet_.until("service after the outage", [&] { return served() >= before + 20; });
    result_.back = programs::now() - start;
    if (plan_.timed && result_.back > 12000)
      violation("service was back only " + std::to_string(result_.back) + " ms after a total outage");
  }

  std::vector<Arrival> arrivalsAt(Node const& r) const {
    std::vector<Arrival> out;
    std::ifstream file(r.record);
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream in(line);
      Arrival a;
      std::string more;
      in >> a.at >> a.what >> a.run >> a.id >> more;
      if (a.what != "run" && a.what != "resume" && a.what != "not-run") continue;
      std::size_t const slash = more.find('/');
      if (slash != std::string::npos) a.path = more.substr(slash + 1, more.rfind('/') - slash - 1);
      out.push_back(a);
    }
    return out;
  }

  void judge() {
    result_.report = traffic_->report();
    for (std::vector<std::unique_ptr<Tap>>* const taps : {&replicaTaps_, &callerTaps_})
      for (std::unique_ptr<Tap> const& t : *taps) result_.harmed += t->harmed();
    Report const& r = result_.report;
    checkRuns();
    if (r.badBodies > 0) violation(std::to_string(r.badBodies) + " bodies looked whole or joined and were not");
    if (r.rejectedButRan > 0)
      violation(std::to_string(r.rejectedButRan) + " requests were rejected as not run and ran");
    std::vector<std::pair<Tick, std::string>> all;
    for (Node const& n : fleet_.replicas())
      for (Arrival const& a : arrivalsAt(n)) {
        if (a.id != "-") all.emplace_back(a.at, a.id);
        if (!plan_.timed) continue;
        for (Ban const& b : leaving_)
          if (b.name == n.name && a.at > b.from + 3000 && (b.until < 0 || a.at < b.until))
            violation(n.name + " was reached " + std::to_string(a.at - b.from) + " ms after it was shown leaving");
        for (Ban const& b : zones_)
          if (b.name == n.zone && a.at > b.from + 5000 && (b.until < 0 || a.at < b.until))
            violation(n.name + " was reached " + std::to_string(a.at - b.from) +
                      " ms after its zone's evacuation was acknowledged");
        for (Put const& p : puts_)
          if ((p.status == 200 || p.status == 201) && a.at > p.answeredAt + 2000 && revisionOf(a.path) > 0 &&
              revisionOf(a.path) < p.revision)
            violation(a.path + " reached a replica " + std::to_string(a.at - p.answeredAt) + " ms after " + p.mark +
                      " was in force");
      }
    for (Node const& n : fleet_.replicas()) checkCold(n);
    checkRepeats(all);
    checkChanges();
    checkPromises();
    if (r.outcomes.count("served") == 0) violation("nothing was served");
  }

  /// What the processes themselves say of broken promises and invariants, in their whole logs.
  void checkPromises() {
    for (std::vector<Node>* const group : {&fleet_.controllers(), &fleet_.routers()})
      for (Node const& node : *group) {
        std::ifstream log(fleet_.folder() + "/" + node.name + ".log");
        std::string line;
        while (std::getline(log, line))
          for (char const* const bad : {"promise-broken", "broken invariant", "terminate called", "panic"})
            if (line.find(bad) != std::string::npos) violation(node.name + ": " + line.substr(0, 300));
      }
  }

  void checkRuns() {
    std::map<std::string, std::vector<std::pair<Tick, std::string>>> runs;
    for (Node const& n : fleet_.replicas())
      for (Arrival const& a : arrivalsAt(n))
        if (a.what == "run" && a.id != "-") runs[a.id].emplace_back(a.at - began_, a.run);
    for (std::map<std::string, std::vector<std::pair<Tick, std::string>>>::value_type const& r : runs) {
      if (r.second.size() < 2) continue;
      std::vector<CallerRecord> const& records = traffic_->records();
      std::vector<CallerRecord>::const_iterator const caller =
          std::find_if(records.begin(), records.end(), [&](CallerRecord const& c) { return c.id == r.first; });
      bool const numbered = caller != records.end() && caller->numbered;
      Tick const first = std::min_element(r.second.begin(), r.second.end())->first;
      if (!numbered && outageAt_ >= 0 && first < outageAt_) continue;
      std::string text = "request " + r.first + " ran twice:";
      for (std::pair<Tick, std::string> const& k : r.second) text += " " + k.second + " at " + std::to_string(k.first);
      violation(text + (numbered ? ", numbered" : ", unnumbered"));
    }
  }

  /// Revision under which the path is known to have been accepted.
  qint64 revisionOf(std::string const& mark) const {
    for (Put const& p : puts_)
      if (p.mark == mark && (p.pending || p.status == 200 || p.status == 201)) return p.revision;
    return 0;
  }

  void checkCold(Node const& n) {
    if (!plan_.timed) return;
    for (Ban const& b : cold_) {
      if (b.name != n.name) continue;
      std::vector<Tick> hits;
      for (Arrival const& a : arrivalsAt(n))
        if (a.at >= b.from && (b.until < 0 || a.at < b.until)) hits.push_back(a.at);
      for (std::size_t i = 0; i + 7 < hits.size(); ++i)
        if (hits[i + 7] - hits[i] < 3000)
          violation(n.name + " was cold and had 8 requests in " + std::to_string(hits[i + 7] - hits[i]) + " ms");
    }
  }

  void checkRepeats(std::vector<std::pair<Tick, std::string>> all) {
    std::sort(all.begin(), all.end());
    std::set<std::string> seen;
    std::vector<Tick> firsts;
    std::vector<Tick> repeats;
    for (std::pair<Tick, std::string> const& a : all)
      (seen.insert(a.second).second ? firsts : repeats).push_back(a.first);
    result_.repeats = repeats.size();
    for (Tick const end : repeats) {
      std::function<std::size_t(std::vector<Tick> const&)> const in = [end](std::vector<Tick> const& v) {
        return static_cast<std::size_t>(std::upper_bound(v.begin(), v.end(), end) -
                                        std::lower_bound(v.begin(), v.end(), end - 10000));
      };
      if (static_cast<double>(in(repeats)) > 0.2 * static_cast<double>(in(firsts)) + 20.0)
        violation(std::to_string(in(repeats)) + " repeats over " + std::to_string(in(firsts)) +
                  " first hand-overs in 10 s");
    }
  }

  void checkChanges() {
    std::map<std::string, int> accepted;
    qint64 newest = 0;
    for (Put const& p : puts_) {
      bool const yes = p.status == 200 || p.status == 201 || p.pending;
      if (yes && ++accepted[p.ifMatch] > 1)
        violation("two changes built on revision " + p.ifMatch + " were both accepted");
      if (yes) newest = std::max(newest, p.revision);
    }
    Reply const now =
        fleet_.call(fleet_.firstController(), "GET", std::string("/v1/templates/") + fleet_.deployment().family);
    qint64 const revision = now.body.value("stamp").toInteger();
    if (now.status != 200) violation("the configuration could not be read back: " + std::to_string(now.status));
    if (revision < newest)
      violation("an acknowledged change is lost: revision " + std::to_string(revision) + " of " +
                std::to_string(newest));
    bool told = newest == 0 || revision == 1;
    for (Put const& p : puts_) {
      bool const same = now.body.value("spec").toObject() == p.spec;
      bool const rejected = p.status >= 400 && p.status < 500;
      if (same && rejected) violation("a rejected change is what stands at the end: " + p.mark);
      told = told ||
             (same && !rejected && (revision > newest ? !(p.status >= 200 && p.status < 300) : p.revision == revision));
    }
    if (!told) violation("what stands at the end is no change that was acknowledged or left unknown");
  }

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
  core::Rng rng_;
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

}  // namespace

ChaosResult chaos(ChaosPlan const& plan) {
  return Chaos(plan).run();
}

}  // namespace corkward::testing
