#pragma once

#include <catch2/catch.hpp>

#include <QJsonArray>
#include <QJsonObject>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/control/controller.h>

#include "rig.h"

namespace corkward::control {

/// Page of the fleet configuration.
inline constexpr char const* page = config::fleetConfigurationPage;

inline QJsonObject pathSpec(std::string const& name, std::string const& pool = "big") {
  return QJsonObject{{"name", core::toQString(name)},
                     {"host", "h"},
                     {"prefix", core::toQString("/" + name + "/")},
                     {"kind", "once"},
                     {"deadlineMs", 3000},
                     {"pool", core::toQString(pool)}};
}

inline QJsonObject spec(qint64 version, std::vector<std::string> const& paths = {"a"}, QString const& by = "") {
  QJsonArray pathSpecs;
  for (std::string const& p : paths) pathSpecs.append(pathSpec(p));
  return QJsonObject{{"version", version},
                     {"paths", pathSpecs},
                     {"pools", QJsonArray{QJsonObject{{"name", "big"}}}},
                     {"extra", QJsonObject{{"by", by}}}};
}

inline QJsonObject patchOf(qint64 version, std::vector<std::string> const& paths, QString const& by = "") {
  QJsonArray pathSpecs;
  for (std::string const& p : paths) pathSpecs.append(pathSpec(p));
  return QJsonObject{
      {"version", version}, {"set", QJsonObject{{"paths", pathSpecs}}}, {"extra", QJsonObject{{"by", by}}}};
}

/// Three members with links that lose, duplicate and delay, slow disks, and processes that are killed.
struct Membership {
  struct Member {
    std::unique_ptr<Controller> reducer;
    std::map<std::string, std::string> disk;
    std::uint64_t incarnation = 0;
    std::uint64_t lastSeenRevision = 0;
  };
  struct Event {
    std::string to;
    std::uint64_t incarnation = 0;
    std::function<ControllerCommands(Controller&)> run;
  };
  /// One change as an operator sent it.
  struct Change {
    std::string id;
    transport::OperatorCall call;
    bool valid = true;
    int status = 0;
    /// Status of the newest reply.
    int last = 0;
  };

  core::RandomGenerator rng;
  core::Milliseconds now = 1000;
  std::map<std::string, Member> members;
  std::multimap<core::Milliseconds, Event> events;
  std::map<std::string, Change> changes;
  std::map<std::uint64_t, std::string> byToken;
  std::map<std::uint64_t, qint64> reads;
  std::map<std::uint64_t, QJsonObject> chain;
  std::uint64_t token = 1;
  qint64 newestRead = 0;
  bool calm = false;

  explicit Membership(std::uint64_t seed) : rng(seed) {
    for (char const* link : {"s1", "s2", "s3"}) start(link);
  }
  void start(std::string const& link) {
    Member& m = members[link];
    ++m.incarnation;
    m.lastSeenRevision = 0;
    ControllerTuning tuning;
    tuning.awaitRollout = false;
    m.reducer = std::make_unique<Controller>(Rig::contact(link, transport::controllerRole),
                                             "m" + link + std::to_string(m.incarnation), std::vector<std::string>{},
                                             std::vector<std::string>{"s1", "s2", "s3"}, rng.next(), tuning);
    apply(link, m.reducer->restore(m.disk, false, now));
  }
  /// The process is replaced by one with an empty disk.
  void wipe(std::string const& link) {
    members[link].disk.clear();
    start(link);
  }
  void run(core::Milliseconds how) {
    for (core::Milliseconds const until = now + how; now < until;) step();
  }
  /// Resends every acknowledged change, each to a random member, and returns their number.
  std::size_t resendAcknowledged() {
    std::size_t sent = 0;
    for (auto& [token, change] : changes) {
      if (change.status != 200 && change.status != 201) continue;
      change.last = 0;
      send(change);
      run(20);
      ++sent;
    }
    return sent;
  }
  void later(core::Milliseconds how, std::string const& to, std::function<ControllerCommands(Controller&)> run) {
    events.emplace(now + how, Event{to, members[to].incarnation, std::move(run)});
  }
  void apply(std::string const& link, ControllerCommands&& c) {
    Member& m = members[link];
    for (consensus::PersistCommand const& p : c.persists) {
      std::uint64_t const incarnation = m.incarnation;
      later(1 + static_cast<core::Milliseconds>(rng.below(15)), link,
            [this, link, incarnation, p](Controller& reducer) {
              members[link].disk[p.key] = p.payload;
              return reducer.onPersisted(now, p.ticket, true);
            });
    }
    for (transport::Send const& s : c.sends) {
      if (members.count(s.to) == 0) continue;
      for (int deliveries = !calm && rng.chance(0.05)   ? 0
                            : !calm && rng.chance(0.03) ? 2
                                                        : 1;
           deliveries > 0; --deliveries) {
        transport::Message const message = s.message;
        events.emplace(now + 1 + static_cast<core::Milliseconds>(rng.below(20)),
                       Event{s.to, 0, [this, link, message](Controller& reducer) {
                               return reducer.onMessage(now, link, message);
                             }});
      }
    }
    for (OperatorResponse const& a : c.responses) answered(a);
    std::map<std::string, consensus::CommittedValue> const& all = m.reducer->registers().committed();
    auto const it = all.find(config::fleetConfigurationKey);
    if (it == all.end() || it->second.revision == m.lastSeenRevision) return;
    CHECK(it->second.revision > m.lastSeenRevision);
    m.lastSeenRevision = it->second.revision;
    QJsonObject const kept = it->second.value.value("spec").toObject();
    QJsonObject const known = chain.try_emplace(m.lastSeenRevision, kept).first->second;
    CHECK(kept == known);
  }
  void answered(OperatorResponse const& a) {
    auto const it = byToken.find(a.token);
    if (it != byToken.end()) {
      Change& c = changes.at(it->second);
      c.last = a.status;
      bool const taken = c.status == 200 || c.status == 201;
      bool const now = a.status == 200 || a.status == 201;
      CHECK_FALSE((taken && a.status >= 400 && a.status < 500));
      if (now || (!taken && a.status < 500)) c.status = a.status;
    } else if (a.status == 200) {
      qint64 const version = a.body.value("version").toInteger();
      CHECK(version >= reads[a.token]);
      newestRead = std::max(newestRead, version);
    }
  }
  void send(Change const& c) {
    transport::OperatorCall call = c.call;
    call.token = token++;
    byToken[call.token] = c.id;
    auto const to = std::next(members.begin(), static_cast<std::ptrdiff_t>(rng.below(members.size())));
    apply(to->first, to->second.reducer->onOperatorCall(now, call));
  }
  void read() {
    transport::OperatorCall call;
    call.token = token++;
    call.method = "GET";
    call.path = page;
    reads[call.token] = newestRead;
    auto const to = std::next(members.begin(), static_cast<std::ptrdiff_t>(rng.below(members.size())));
    apply(to->first, to->second.reducer->onOperatorCall(now, call));
  }
  void operate() {
    if (rng.chance(0.3) && !changes.empty()) {
      send(changes.at("c" + std::to_string(rng.below(changes.size()))));
      return;
    }
    Change c;
    c.id = "c" + std::to_string(changes.size());
    qint64 const base =
        chain.empty() || rng.chance(0.1)
            ? 0
            : std::prev(chain.end(), chain.size() > 1 && rng.chance(0.2) ? 2 : 1)->second.value("version").toInteger();
    qint64 const version = base + static_cast<qint64>(rng.below(4));
    bool const whole = base == 0 || rng.chance(0.3);
    std::string const name = "p" + std::to_string(rng.below(6));
    c.valid = version > base;
    QJsonObject body =
        whole ? spec(version, {name, "q"}, core::toQString(c.id)) : patchOf(version, {name}, core::toQString(c.id));
    if (rng.chance(0.1)) {
      body.insert("surprise", 1);
      c.valid = false;
    }
    c.call.method = whole ? "PUT" : "PATCH";
    c.call.path = page;
    c.call.body = core::jsonText(body);
    c.call.ifMatch = std::to_string(base);
    c.call.changeId = c.id;
    changes[c.id] = c;
    send(c);
  }
  void step() {
    now += 5;
    while (!events.empty() && events.begin()->first <= now) {
      Event const e = std::move(events.begin()->second);
      events.erase(events.begin());
      Member& m = members[e.to];
      if (e.incarnation != 0 && e.incarnation != m.incarnation) continue;
      apply(e.to, e.run(*m.reducer));
    }
    if (now % 25 == 0)
      for (std::map<std::string, Member>::value_type& m : members) apply(m.first, m.second.reducer->onTimer(now));
  }
  std::string by(QJsonObject const& value) const {
    return core::toStdString(value.value("extra").toObject().value("by").toString());
  }
  void checkInvariants() {
    QJsonObject before;
    std::uint64_t revision = 0;
    std::map<std::string, std::string> acceptedOn;
    std::set<std::string> committedChanges;
    for (auto const& [committedRevision, configuration] : chain) {
      CHECK(committedRevision == ++revision);
      Change const& c = changes.at(by(configuration));
      qint64 const version = configuration.value("version").toInteger();
      CHECK(version > before.value("version").toInteger());
      CHECK(c.valid);
      CHECK(c.call.ifMatch == std::to_string(before.value("version").toInteger()));
      QJsonObject const said = core::parseJson(c.call.body).toObject();
      CHECK(configuration == (c.call.method == "PUT" ? said : config::patchFleetConfiguration(before, said)));
      CHECK(committedChanges.insert(c.id).second);
      before = configuration;
    }
    for (auto const& [token, change] : changes) {
      if (change.status == 200 || change.status == 201) {
        CHECK(committedChanges.count(token) == 1);
        CHECK(acceptedOn.emplace(change.call.ifMatch, token).second);
      }
      if (change.status == 412 || change.status == 422) CHECK(committedChanges.count(token) == 0);
    }
  }
};

}  // namespace corkward::control
