#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <corkward/core/json.h>
#include <corkward/core/guarantees.h>

#include "rig.h"

namespace config = corkward::config;
namespace core = corkward::core;
namespace transport = corkward::transport;
namespace control = corkward::control;
namespace consensus = corkward::consensus;
using corkward::control::Rig;

namespace {

constexpr core::Milliseconds messageDelay = 2;
constexpr core::Milliseconds diskDelay = 2;
constexpr core::Milliseconds clockEvery = 25;
/// After this long a caller turns to another machine.
constexpr core::Milliseconds callerWaits = 1000;

/// Three controllers on disks that answer, one of which can be partitioned from the others.
struct ThreeControllers {
  struct Member {
    std::unique_ptr<control::Controller> reducer;
  };
  core::Milliseconds now = 1000;
  std::map<std::string, Member> members;
  std::multimap<core::Milliseconds, std::function<void()>> events;
  std::map<std::uint64_t, control::OperatorResponse> answers;
  std::map<std::uint64_t, core::Milliseconds> answeredAt;
  std::string cutOff;
  /// First snapshots sent to each router.
  std::map<std::string, int> snapshots;
  /// Called with each configuration update that a controller sends to a router.
  std::function<void(transport::ConfigurationUpdate const&)> heard;
  /// Called with each reply that one controller sends to another, before it is sent.
  std::function<void(transport::OperatorCallReply&)> relayed;
  std::uint64_t token = 1;

  ThreeControllers() {
    control::ControllerTuning tuning;
    tuning.awaitRollout = false;
    std::uint64_t seed = 5;
    for (char const* link : {"s1", "s2", "s3"})
      members[link].reducer = std::make_unique<control::Controller>(
          Rig::contact(link, transport::controllerRole), std::string("m") + link, std::vector<std::string>{},
          std::vector<std::string>{"s1", "s2", "s3"}, seed++, tuning);
    for (std::map<std::string, Member>::value_type& m : members)
      apply(m.first, m.second.reducer->restore({}, false, now));
    run(4000);
    REQUIRE(members.at("s1").reducer->ready(now));
  }
  void apply(std::string const& link, control::ControllerCommands&& c) {
    for (consensus::PersistCommand const& p : c.persists)
      events.emplace(now + diskDelay, [this, link, ticket = p.ticket] {
        apply(link, members.at(link).reducer->onPersisted(now, ticket, true));
      });
    for (transport::Send& s : c.sends) {
      transport::OperatorCallReply* const response = std::get_if<transport::OperatorCallReply>(&s.message);
      if (response != nullptr && relayed) relayed(*response);
      deliver(link, s);
    }
    for (control::OperatorResponse const& a : c.responses) {
      answers[a.token] = a;
      answeredAt[a.token] = now;
    }
  }
  void deliver(std::string const& from, transport::Send const& s) {
    transport::ConfigurationUpdate const* const update = std::get_if<transport::ConfigurationUpdate>(&s.message);
    if (update != nullptr && heard) heard(*update);
    if (update != nullptr && update->isSnapshot) ++snapshots[s.to];
    if (members.count(s.to) == 0) return;
    if (from != s.to && (from == cutOff || s.to == cutOff)) return;
    events.emplace(now + messageDelay,
                   [this, from, s] { apply(s.to, members.at(s.to).reducer->onMessage(now, from, s.message)); });
  }
  void run(core::Milliseconds span) {
    for (core::Milliseconds const until = now + span; now < until; ++now) {
      while (!events.empty() && events.begin()->first <= now) {
        std::function<void()> const event = std::move(events.begin()->second);
        events.erase(events.begin());
        event();
      }
      if (now % clockEvery != 0) continue;
      for (std::map<std::string, Member>::value_type& m : members) apply(m.first, m.second.reducer->onTimer(now));
    }
  }
  std::uint64_t call(std::string const& at, std::string const& method, std::string const& path,
                     std::string const& body = "", std::string const& ifMatch = "") {
    transport::OperatorCall c;
    c.token = token++;
    c.method = method;
    c.path = path;
    c.body = body;
    c.ifMatch = ifMatch;
    c.changeId = "c" + std::to_string(c.token);
    apply(at, members.at(at).reducer->onOperatorCall(now, c));
    return c.token;
  }
  void requestLease(std::string const& at, std::uint64_t incarnation) {
    transport::ServingLeaseRequest request;
    request.sentAt = now;
    request.sender = Rig::contact("router", transport::routerRole);
    request.sender.incarnation = incarnation;
    request.wantsSnapshot = true;
    apply(at, members.at(at).reducer->onMessage(now, "router", request));
  }
  int statusOf(std::uint64_t call) const { return answers.count(call) > 0 ? answers.at(call).status : 0; }
};

std::string const configuration = R"({"version":1,"paths":[],"pools":[]})";
std::string const malformed = R"({"version":1,"surprise":1})";

/// Every kind of call whose reply depends on state, at the controller of that name.
std::vector<std::uint64_t> askAll(ThreeControllers& fleet, std::string const& at) {
  return {fleet.call(at, "GET", config::fleetConfigurationPage),
          fleet.call(at, "PUT", config::fleetConfigurationPage, configuration, "7"),
          fleet.call(at, "PUT", config::fleetConfigurationPage, malformed, "1"),
          fleet.call(at, "PATCH", config::fleetConfigurationPage, "{}", "7"),
          fleet.call(at, "PUT", "/v1/evacuations/z1"),
          fleet.call(at, "DELETE", "/v1/evacuations/z1"),
          fleet.call(at, "GET", "/v1/changes/unknown"),
          fleet.call(at, "GET", "/v1/templates")};
}

}  // namespace

TEST_CASE("a partitioned controller answers within a second, serves nothing and rejects nothing") {
  for (core::Milliseconds const since : {0, 5, 150, 700, 1300, 1600, 5000, 20000}) {
    ThreeControllers fleet;
    std::uint64_t const base = fleet.call("s1", "PUT", config::fleetConfigurationPage, configuration, "0");
    fleet.run(2000);
    REQUIRE((fleet.statusOf(base) == 200 || fleet.statusOf(base) == 201));
    fleet.cutOff = "s1";
    fleet.run(since);
    core::Milliseconds const sentAt = fleet.now;
    std::vector<std::uint64_t> const reads = askAll(fleet, "s1");
    fleet.run(callerWaits);
    for (std::uint64_t const read : reads) {
      INFO("question " << read << ", " << since << " ms after the cut, answered " << fleet.statusOf(read));
      CHECK((fleet.statusOf(read) == 503 || fleet.statusOf(read) == 504));
      CHECK(fleet.answeredAt[read] - sentAt < callerWaits);
    }
  }
}

TEST_CASE("after the partition the same controller answers again, from what was committed meanwhile") {
  ThreeControllers fleet;
  fleet.call("s1", "PUT", config::fleetConfigurationPage, configuration, "0");
  fleet.run(2000);
  fleet.cutOff = "s1";
  fleet.run(3000);
  std::uint64_t const other =
      fleet.call("s2", "PUT", config::fleetConfigurationPage, R"({"version":2,"paths":[],"pools":[]})", "1");
  fleet.run(17000);
  REQUIRE((fleet.statusOf(other) == 200 || fleet.statusOf(other) == 201));
  std::string const changeId = "c" + std::to_string(other);
  fleet.cutOff.clear();
  std::uint64_t const change = fleet.call("s1", "GET", "/v1/changes/" + changeId);
  fleet.run(callerWaits);
  CHECK((fleet.statusOf(change) == 200 || fleet.statusOf(change) == 503));
  std::uint64_t const read = fleet.call("s1", "GET", config::fleetConfigurationPage);
  std::uint64_t const again = fleet.call("s1", "GET", "/v1/changes/" + changeId);
  fleet.run(callerWaits);
  CHECK(fleet.statusOf(read) == 200);
  CHECK(fleet.answers.at(read).body.value("version").toInteger() == 2);
  CHECK(fleet.statusOf(again) == 200);
}

TEST_CASE("a router that starts beside a partitioned controller gets no first snapshot from it") {
  ThreeControllers fleet;
  fleet.call("s1", "PUT", config::fleetConfigurationPage, configuration, "0");
  fleet.run(2000);
  fleet.cutOff = "s1";
  fleet.run(200);
  for (core::Milliseconds since = 0; since < 20000; since += 50) {
    fleet.requestLease("s1", 1);
    fleet.run(50);
  }
  CHECK(fleet.snapshots["router"] == 0);
  fleet.cutOff.clear();
  fleet.run(callerWaits);
  CHECK(fleet.snapshots["router"] == 1);
}

TEST_CASE("a restarted router requests its snapshot anew, whatever its former incarnation requested") {
  ThreeControllers fleet;
  fleet.call("s1", "PUT", config::fleetConfigurationPage, configuration, "0");
  fleet.run(2000);
  fleet.cutOff = "s1";
  fleet.run(30);
  fleet.requestLease("s1", 1);
  fleet.run(100);
  REQUIRE(fleet.snapshots["router"] == 0);
  fleet.cutOff.clear();
  fleet.run(1);
  fleet.requestLease("s1", 2);
  CHECK(fleet.snapshots["router"] == 0);
  fleet.run(callerWaits);
  CHECK(fleet.snapshots["router"] == 1);
}

namespace {

constexpr int poolCount = 12;
constexpr core::Milliseconds readEvery = 500;

/// The platform's lists: of each pool the replica that is always there, one that comes, and one that leaves.
std::map<std::string, config::EndpointList> listsOf(bool come, bool leaves) {
  std::map<std::string, config::EndpointList> out;
  for (int i = 0; i < poolCount; ++i) {
    auto const replica = [](std::string const& address, config::ReplicaState state) {
      config::Replica r;
      r.address = address;
      r.zone = "z1";
      r.state = state;
      return r;
    };
    config::EndpointList& pool = out["p" + std::to_string(i)];
    pool.replicas = {replica("10.0.0.1:80", config::ReplicaState::serving),
                     replica("10.0.0.2:80", leaves ? config::ReplicaState::draining : config::ReplicaState::serving)};
    if (come) pool.replicas.push_back(replica("10.0.0.3:80", config::ReplicaState::serving));
  }
  return out;
}

/// Each controller that is the endpoint list reader gets the platform's lists.
void readLists(ThreeControllers& fleet, core::Milliseconds span,
               std::map<std::string, config::EndpointList> const& lists) {
  for (core::Milliseconds const until = fleet.now + span; fleet.now < until;) {
    for (std::map<std::string, ThreeControllers::Member>::value_type& m : fleet.members)
      if (m.second.reducer->isEndpointListReader(fleet.now))
        fleet.apply(m.first, m.second.reducer->updateEndpointLists(fleet.now, lists));
    fleet.run(readEvery);
  }
}

/// Lists without the leaving replica that replaced one in which it leaves, after a controller was partitioned.
std::vector<std::string> listsThatCameBack(char const* cutOff, core::Milliseconds leavesAfter) {
  ThreeControllers fleet;
  fleet.requestLease("s1", 1);
  readLists(fleet, 4 * readEvery, listsOf(false, false));
  fleet.cutOff = cutOff;
  readLists(fleet, leavesAfter, listsOf(true, false));
  readLists(fleet, 6 * readEvery, listsOf(true, true));
  std::map<std::string, std::uint64_t> left;
  std::vector<std::string> back;
  fleet.heard = [&](transport::ConfigurationUpdate const& update) {
    for (transport::CommittedEntry const& item : update.entries) {
      if (item.key.rfind("pool:", 0) != 0) continue;
      bool const leaving = core::jsonText(item.value).find("leaving") != std::string::npos;
      if (leaving)
        left[item.key] = std::max(left[item.key], item.revision);
      else if (left.count(item.key) > 0 && item.revision > left.at(item.key))
        back.push_back(item.key + " under revision " + std::to_string(item.revision));
    }
  };
  for (char const* const controller : {"s1", "s2", "s3"}) fleet.requestLease(controller, 2);
  fleet.cutOff.clear();
  readLists(fleet, 8 * readEvery, listsOf(true, true));
  CHECK(left.size() == poolCount);
  return back;
}

}  // namespace

TEST_CASE("after a partition no endpoint list of the partitioned controller replaces a newer one") {
  // How long after the cut the replica leaves decides how old the call is that the controller then has in hand.
  for (core::Milliseconds leavesAfter = 8000; leavesAfter <= 12000; leavesAfter += readEvery)
    for (char const* const cutOff : {"s1", "s2", "s3"}) {
      INFO("cut off: " << cutOff << ", the replica leaves after " << leavesAfter << " ms");
      CHECK(listsThatCameBack(cutOff, leavesAfter) == std::vector<std::string>());
    }
}

TEST_CASE("a reply older than what was committed when the read arrived violates a guarantee") {
  ThreeControllers fleet;
  std::string const name = "/v1/templates/desk";
  std::string const desk = R"({"paths":[{"path":"a","pool":"big","class":"short"}]})";
  for (int change = 0; change < 2; ++change) {
    std::string const version = std::to_string(change + 1);
    std::string const configuration = R"({"version":)" + version + R"(,"paths":[],"pools":[{"name":"big"}]})";
    std::uint64_t const first =
        fleet.call("s1", "PUT", config::fleetConfigurationPage, configuration, std::to_string(change));
    fleet.run(2000);
    REQUIRE(fleet.statusOf(first) < 300);
  }
  std::uint64_t const ordered = fleet.call("s1", "PUT", "/v1/evacuations/z1");
  std::uint64_t const made = fleet.call("s1", "PUT", name, desk, "0");
  fleet.run(2000);
  REQUIRE(fleet.statusOf(ordered) < 300);
  REQUIRE(fleet.statusOf(made) == 201);
  core::GuaranteeCounts::ofThread().takeNewViolations();
  int altered = 0;
  bool older = false;
  fleet.relayed = [&](transport::OperatorCallReply& response) {
    if (!response.body.contains("stamp")) return;
    ++altered;
    if (older) response.body.insert("stamp", response.body.value("stamp").toInteger() - 1);
  };
  for (std::string const& page :
       {std::string(config::fleetConfigurationPage), std::string("/v1/evacuations/z1"), name}) {
    INFO(page);
    for (bool const tamper : {false, true}) {
      altered = 0;
      older = tamper;
      for (char const* const link : {"s1", "s2", "s3"}) {
        std::uint64_t const read = fleet.call(link, "GET", page);
        fleet.run(500);
        CHECK(fleet.statusOf(read) == 200);
      }
      CHECK(altered == 2);
      std::vector<std::string> const broken = core::GuaranteeCounts::ofThread().takeNewViolations();
      REQUIRE(broken.size() == (tamper ? 1 : 0));
      if (tamper) CHECK_THAT(broken.front(), Catch::Contains("current-when-served violated 2 times"));
    }
  }
}
