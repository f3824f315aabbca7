#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <corkward/control/controller.h>

namespace corkward::control {

/// A membership of one whose disk answers at once, with routers that send requests and acknowledge updates.
struct Rig {
  Controller reducer;
  core::Milliseconds now = 1000;
  std::map<std::uint64_t, OperatorResponse> answers;
  std::set<std::string> alive;
  std::set<std::string> deaf;
  std::map<std::string, transport::Revisions> have;
  /// Values as they were last pushed to routers, by key.
  std::map<std::string, QJsonObject> pushed;
  /// Routers whose full revisions the controller wants.
  std::set<std::string> revisionsWanted;
  /// Newest record on disk, by key.
  std::map<std::string, std::string> disk;
  std::uint64_t next = 1;

  static transport::Contact contact(std::string const& link, char const* role) {
    transport::Contact c;
    c.link = link;
    c.role = role;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }
  /// Starts with a disk that has these records.
  explicit Rig(ControllerTuning tuning = {}, std::map<std::string, std::string> records = {})
      : reducer(contact("s1", transport::controllerRole), "m1", {}, {"s1"}, 3, tuning), disk(std::move(records)) {
    apply(reducer.restore(disk, false, now));
    run(3000);
  }
  void apply(ControllerCommands&& c) {
    for (OperatorResponse const& a : c.responses) answers[a.token] = a;
    for (transport::Send const& s : c.sends) {
      transport::ConfigurationUpdate const* const update = std::get_if<transport::ConfigurationUpdate>(&s.message);
      if (transport::ServingLeaseGrant const* const c = std::get_if<transport::ServingLeaseGrant>(&s.message);
          c != nullptr) {
        if (c->wantsRevisions)
          revisionsWanted.insert(s.to);
        else
          revisionsWanted.erase(s.to);
      }
      if (update == nullptr || alive.count(s.to) == 0 || deaf.count(s.to) > 0) continue;
      for (transport::CommittedEntry const& i : update->entries) {
        have[s.to][i.key] = std::max(have[s.to][i.key], i.revision);
        pushed[i.key] = i.value;
      }
    }
    for (corkward::consensus::PersistCommand const& p : c.persists) {
      disk[p.key] = p.payload;
      apply(reducer.onPersisted(now, p.ticket, true));
    }
  }
  void run(core::Milliseconds how) {
    for (core::Milliseconds const until = now + how; now < until; now += 25) {
      apply(reducer.onTimer(now));
      if (now % 300 != 0) continue;
      for (std::string const& n : alive) {
        transport::ServingLeaseRequest request;
        request.sentAt = now;
        request.sender = contact(n, transport::routerRole);
        request.digest = transport::digestOf(have[n]);
        if (revisionsWanted.count(n) > 0) request.revisions = have[n];
        apply(reducer.onMessage(now, n, request));
      }
    }
  }
  std::uint64_t call(std::string const& method, std::string const& path, std::string const& body = "",
                     std::string const& ifMatch = "", std::string const& changeId = "") {
    transport::OperatorCall c;
    c.token = next++;
    c.method = method;
    c.path = path;
    c.body = body;
    c.ifMatch = ifMatch;
    c.changeId = changeId.empty() ? "c" + std::to_string(c.token) : changeId;
    apply(reducer.onOperatorCall(now, c));
    return c.token;
  }
  int statusOf(std::uint64_t token) const { return answers.count(token) > 0 ? answers.at(token).status : 0; }
  int evacuate(char const* zone, core::Milliseconds wait) {
    std::uint64_t const t = call("PUT", std::string("/v1/evacuations/") + zone);
    run(wait);
    return statusOf(t);
  }
};

}  // namespace corkward::control
