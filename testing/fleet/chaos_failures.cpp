// What is done to the processes and to the links between them.
#include <QDir>
#include <QFile>
#include <QTimer>
#include <algorithm>

#include <corkward/core/json.h>

#include "chaos_run.h"
#include "clock.h"

namespace corkward::testing {

void Chaos::cause() {
  std::vector<Node*> routers;
  std::vector<Node*> controllers;
  for (Node& n : fleet_.routers())
    if (n.process && frozen_.count(n.name) == 0) routers.push_back(&n);
  for (Node& n : fleet_.controllers())
    if (n.process && frozen_.count(n.name) == 0) controllers.push_back(&n);
  if (routers.empty() || controllers.empty()) return;
  bool const allRun = controllers.size() == fleet_.controllers().size();
  Node& router = *routers[rng_.below(routers.size())];
  Node& controller = *controllers[rng_.below(controllers.size())];
  Node& model = fleet_.replicas()[rng_.below(static_cast<std::uint64_t>(fleet_.deployment().models))];
  int const how = 500 + static_cast<int>(rng_.below(3000));
  switch (rng_.below(plan_.overlap > 1 ? 16 : 13)) {
    case 0:
      if (routers.size() * 2 > fleet_.routers().size() + 2) killed(router, how);
      break;
    case 1:
      for (Node* const s : controllers) killed(*s, how);
      break;
    case 2:
      frozen(router, 2000 + how);
      break;
    case 3:
      frozen(controller, 2000 + how);
      break;
    case 4:
      logEvent("restart " + router.name);
      if (fleet_.stop(router) != 0) violation(router.name + " did not end cleanly");
      fleet_.start(router);
      break;
    case 5:
      if (!allRun) break;
      logEvent("restart " + controller.name);
      fleet_.stop(controller);
      fleet_.start(controller);
      break;
    case 6:
      if (!allRun || !allVote()) break;
      logEvent("wipe " + controller.name);
      fleet_.kill9(controller);
      fleet_.wipe(controller);
      fleet_.start(controller);
      break;
    case 7:
      if (!allRun || !allVote()) break;
      logEvent("tear " + controller.name);
      fleet_.kill9(controller);
      tear(controller);
      fleet_.start(controller);
      break;
    case 8:
      if (!allRun || !allVote()) break;
      logEvent("full " + controller.name);
      fleet_.kill9(controller);
      fleet_.start(controller, 4000);
      QTimer::singleShot(4000 + how, &fleet_, [this, &controller] {
        if (!controller.process || frozen_.count(controller.name) > 0) return;
        fleet_.kill9(controller);
        fleet_.start(controller);
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
      cutOff(controller, 2 * how);
      break;
    case 14:
      split(2 * how);
      break;
    case 15:
      stopTogether(router, controller);
      break;
  }
}

Tap& Chaos::tapOf(Node const& node) {
  for (std::unique_ptr<Tap> const& tap : linkTaps_)
    if (tap->address() == node.link) return *tap;
  throw FleetError("no tap of " + node.name);
}

void Chaos::cutOff(Node& node, int how) {
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

void Chaos::split(int how) {
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

void Chaos::joinAll() {
  for (std::unique_ptr<Tap> const& tap : linkTaps_) tap->cutFrom({});
  cutting_ = false;
}

void Chaos::stopTogether(Node& router, Node& controller) {
  if (cutting_ || !allVote()) return;
  logEvent("stop " + router.name + " and " + controller.name);
  router.process->terminate();
  if (fleet_.stop(controller) != 0) violation(controller.name + " did not end cleanly");
  if (fleet_.stop(router) != 0) violation(router.name + " did not end cleanly");
  fleet_.start(controller);
  fleet_.start(router);
}

void Chaos::killed(Node& n, int how) {
  logEvent("kill " + n.name);
  fleet_.kill9(n);
  QTimer::singleShot(how, &fleet_, [this, &n] {
    if (!n.process) fleet_.start(n);
  });
}

void Chaos::frozen(Node& n, int how) {
  logEvent("freeze " + n.name);
  fleet_.freeze(n);
  frozen_.insert(n.name);
  QTimer::singleShot(how, &fleet_, [this, &n] {
    frozen_.erase(n.name);
    if (n.process) fleet_.wake(n);
  });
}

void Chaos::tear(Node const& controller) {
  QDir const dir(core::toQString(controller.data));
  QStringList const files = dir.entryList({"*log*", "*segment*"}, QDir::Files, QDir::Time);
  if (files.isEmpty()) return;
  QFile file(dir.filePath(files.first()));
  file.resize(std::max<qint64>(0, file.size() - 1 - static_cast<qint64>(rng_.below(60))));
}

void Chaos::replace(Node& model) {
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

void Chaos::evacuate() {
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

void Chaos::lift(std::string const& zone) {
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

}  // namespace corkward::testing
