#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <corkward/control/controller.h>

namespace corkward::control {

/// A membership of one whose disk answers at once, with routers that ask and acknowledge as told.
struct Rig {
  Controller reducer;
  core::Tick now = 1000;
  std::map<std::uint64_t, Answer> answers;
  std::set<std::string> alive;
  std::set<std::string> deaf;
  std::map<std::string, transport::Revisions> have;
  /// Values as routers got them last, by key.
  std::map<std::string, QJsonObject> pushed;
  /// Who was asked for its revisions in full.
  std::set<std::string> named;
  /// Records as they were written last, by key.
  std::map<std::string, std::string> disk;
  std::uint64_t next = 1;

  static transport::Contact contact(std::string const& link, char const* role) {
    transport::Contact c;
    c.link = link;
    c.role = role;
    c.zone = "z1";
    c.inc = 1;
    return c;
  }
  /// Starts with a disk that has these records.
  explicit Rig(Tuning tuning = {}, std::map<std::string, std::string> records = {})
      : reducer(contact("s1", transport::controllerRole), "m1", {}, {"s1"}, 3, tuning), disk(std::move(records)) {
    take(reducer.restore(disk, false, now));
    run(3000);
  }
  void take(Commands&& c) {
    for (Answer const& a : c.answers) answers[a.token] = a;
    for (transport::Send const& s : c.sends) {
      transport::News const* const news = std::get_if<transport::News>(&s.message);
      if (transport::Confirm const* const c = std::get_if<transport::Confirm>(&s.message); c != nullptr) {
        if (c->wantRevisions)
          named.insert(s.to);
        else
          named.erase(s.to);
      }
      if (news == nullptr || alive.count(s.to) == 0 || deaf.count(s.to) > 0) continue;
      for (transport::Item const& i : news->items) {
        have[s.to][i.key] = std::max(have[s.to][i.key], i.revision);
        pushed[i.key] = i.value;
      }
    }
    for (corkward::consensus::Persist const& p : c.persists) {
      disk[p.key] = p.payload;
      take(reducer.written(now, p.ticket, true));
    }
  }
  void run(core::Tick how) {
    for (core::Tick const until = now + how; now < until; now += 25) {
      take(reducer.clockEvent(now));
      if (now % 300 != 0) continue;
      for (std::string const& n : alive) {
        transport::Ask ask;
        ask.tick = now;
        ask.self = contact(n, transport::routerRole);
        ask.digest = transport::digestOf(have[n]);
        if (named.count(n) > 0) ask.revisions = have[n];
        take(reducer.arrived(now, n, ask));
      }
    }
  }
  std::uint64_t call(std::string const& method, std::string const& path, std::string const& body = "",
                     std::string const& ifMatch = "", std::string const& changeId = "") {
    transport::Call c;
    c.token = next++;
    c.method = method;
    c.path = path;
    c.body = body;
    c.ifMatch = ifMatch;
    c.changeId = changeId.empty() ? "c" + std::to_string(c.token) : changeId;
    take(reducer.operatorCall(now, c));
    return c.token;
  }
  int statusOf(std::uint64_t token) const { return answers.count(token) > 0 ? answers.at(token).status : 0; }
  int evacuate(char const* zone, core::Tick wait) {
    std::uint64_t const t = call("PUT", std::string("/v1/evacuations/") + zone);
    run(wait);
    return statusOf(t);
  }
};

}  // namespace corkward::control
