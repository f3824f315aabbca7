#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <corkward/substation/plane.h>

namespace corkward::substation {

/// A cohort of one whose disk answers at once, with nacelles that ask and acknowledge as told.
struct Rig {
  Plane plane;
  core::Tick now = 1000;
  std::map<std::uint64_t, Answer> answers;
  std::set<std::string> alive;
  std::set<std::string> deaf;
  std::map<std::string, signal::Stamps> have;
  /// Who was asked for its stamps in full.
  std::set<std::string> named;
  std::uint64_t next = 1;

  static signal::Contact contact(std::string const& link, char const* role) {
    signal::Contact c;
    c.link = link;
    c.role = role;
    c.zone = "z1";
    c.inc = 1;
    return c;
  }
  explicit Rig(Tuning tuning = {}) : plane(contact("s1", "substation"), "m1", {}, {"s1"}, 3, tuning) {
    take(plane.restore({}, false, now));
    run(3000);
  }
  void take(Commands&& c) {
    for (Answer const& a : c.answers) answers[a.token] = a;
    for (signal::Send const& s : c.sends) {
      signal::News const* const news = std::get_if<signal::News>(&s.message);
      if (signal::Confirm const* const c = std::get_if<signal::Confirm>(&s.message); c != nullptr) {
        if (c->wantStamps)
          named.insert(s.to);
        else
          named.erase(s.to);
      }
      if (news == nullptr || alive.count(s.to) == 0 || deaf.count(s.to) > 0) continue;
      for (signal::Item const& i : news->items) have[s.to][i.key] = std::max(have[s.to][i.key], i.stamp);
    }
    for (corkward::mooring::Persist const& p : c.persists) take(plane.written(now, p.ticket, true));
  }
  void run(core::Tick how) {
    for (core::Tick const until = now + how; now < until; now += 25) {
      take(plane.clockEvent(now));
      if (now % 300 != 0) continue;
      for (std::string const& n : alive) {
        signal::Ask ask;
        ask.tick = now;
        ask.self = contact(n, "nacelle");
        ask.digest = signal::digestOf(have[n]);
        if (named.count(n) > 0) ask.stamps = have[n];
        take(plane.arrived(now, n, ask));
      }
    }
  }
  std::uint64_t call(std::string const& method, std::string const& path, std::string const& body = "", std::string const& ifMatch = "",
                     std::string const& changeId = "") {
    signal::Call c;
    c.token = next++;
    c.method = method;
    c.path = path;
    c.body = body;
    c.ifMatch = ifMatch;
    c.changeId = changeId.empty() ? "c" + std::to_string(c.token) : changeId;
    take(plane.operatorCall(now, c));
    return c.token;
  }
  int statusOf(std::uint64_t token) const { return answers.count(token) > 0 ? answers.at(token).status : 0; }
  int evacuate(char const* zone, core::Tick wait) {
    std::uint64_t const t = call("PUT", std::string("/v1/evacuations/") + zone);
    run(wait);
    return statusOf(t);
  }
};

}  // namespace corkward::substation
