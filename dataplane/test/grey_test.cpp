#include <catch2/catch.hpp>

#include <QJsonArray>
#include <algorithm>
#include <functional>
#include <map>
#include <set>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/dataplane/request_router.h>
#include <corkward/dataplane/response_stream.h>

namespace config = corkward::config;
namespace core = corkward::core;
namespace dataplane = corkward::dataplane;
namespace transport = corkward::transport;

namespace {

enum class Fate { complete, broken, failed, rejected, slow, forgotten };

std::string addressOf(int replica) {
  return "10.0.0." + std::to_string(replica) + ":80";
}

/// One node whose requests to one pool end as the fates say.
struct Load {
  dataplane::RequestRouter reducer;
  core::RandomGenerator rng;
  core::Milliseconds now = 100000;
  std::uint64_t next = 1;
  std::function<Fate(std::string const&)> fate;
  std::multimap<core::Milliseconds, std::function<void()>> due;
  std::map<std::uint64_t, std::string> at;
  std::map<std::string, int> reached;
  std::map<std::string, int> connects;
  std::vector<dataplane::Reject> rejected;
  int passedOn = 0;
  std::size_t distrusts = 0;
  char const* path = "/once/";

  static dataplane::RouterTuning tuning(int replicas) {
    dataplane::RouterTuning t;
    t.leaseRequired = false;
    t.startupGracePeriod = 0;
    t.scalerParameters.initialSubset = static_cast<std::size_t>(replicas);
    t.scalerParameters.cooldown = 100000000;
    t.scalerParameters.minLimit = 4;
    return t;
  }

  static transport::Contact self() {
    transport::Contact c;
    c.link = "n1";
    c.role = transport::routerRole;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }

  Load(int replicas, std::uint64_t seed) : Load(replicas, seed, tuning(replicas)) {}
  Load(int replicas, std::uint64_t seed, dataplane::RouterTuning const& t)
      : reducer(self(), {"s1"}, seed, t), rng(seed) {
    reducer.started(0);
    QJsonArray list;
    for (int i = 1; i <= replicas; ++i)
      list.append(QJsonObject{{"address", core::toQString(addressOf(i))}, {"zone", "z1"}, {"state", "serving"}});
    QJsonObject const spec = core::parseJson(R"({"version":1,"pools":[{"name":"model"}],"paths":[
      {"name":"o","host":"h","prefix":"/once/","kind":"once","deadlineMs":3000,"aimMs":200,"pool":"model"},
      {"name":"r","host":"h","prefix":"/again/","kind":"repeatable","deadlineMs":3000,"aimMs":200,"tries":2,"pool":"model"}]})")
                                 .toObject();
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {{config::fleetConfigurationKey, 1, QJsonObject{{"spec", spec}}},
                      {"pool:model", 1, QJsonObject{{"generation", 1}, {"replicas", list}}}};
    run(reducer.onMessage(now, "s1", update));
  }

  void after(core::Milliseconds wait, std::function<void()> what) { due.emplace(now + wait, std::move(what)); }

  std::uint64_t sendRequest() {
    dataplane::Request r;
    r.call = next++;
    r.host = "h";
    r.target = std::string(path) + "x";
    run(reducer.onRequest(now, r));
    return r.call;
  }
  void run(dataplane::RouterCommands const& c) {
    for (core::LogEvent const& n : c.logEvents) distrusts += n.event == "replica-distrusted" ? 1 : 0;
    for (dataplane::CallCommand const& v : c.calls) std::visit([this](auto const& m) { this->act(m); }, v);
  }
  void act(dataplane::Connect const& m) {
    ++connects[m.address];
    at[m.call] = m.address;
    bool const refuse = fate(m.address) == Fate::rejected;
    after(1, [this, call = m.call, refuse] {
      run(refuse ? reducer.onConnectFailure(now, call) : reducer.onConnected(now, call));
    });
  }
  void act(dataplane::SendRequest const& m) {
    std::string const address = at.at(m.call);
    ++reached[address];
    Fate const f = fate(address);
    core::Milliseconds const took = f == Fate::slow ? 1500 : 20;
    after(took, [this, f, address, call = m.call] {
      if (f == Fate::broken || f == Fate::forgotten) {
        run(reducer.onUpstreamFinished(now, call,
                                       f == Fate::broken ? dataplane::UpstreamResult::connectionLost
                                                         : dataplane::UpstreamResult::staleConnection));
        return;
      }
      if (f == Fate::failed) {
        dataplane::RouterCommands const c = reducer.onUpstreamError(now, call);
        run(c);
        for (dataplane::CallCommand const& v : c.calls)
          if (dataplane::Connect const* const again = std::get_if<dataplane::Connect>(&v);
              again != nullptr && again->call == call)
            return;
        ++passedOn;
      }
      run(reducer.onFirstByte(now, call, false));
      run(reducer.onUpstreamFinished(now, call, dataplane::UpstreamResult::complete));
    });
  }
  void act(dataplane::CloseUpstream const&) {}
  void act(dataplane::Reject const& m) { rejected.push_back(m); }
  void act(dataplane::ResetDownstream const&) {}
  void act(dataplane::EndpointListResponse const&) {}
  void act(dataplane::WriteAuditRecord const&) {}

  /// Time goes on up to then, with a request each so many milliseconds.
  void go(core::Milliseconds duration, core::Milliseconds every) {
    core::Milliseconds const end = now + duration;
    for (; now < end; ++now) {
      while (!due.empty() && due.begin()->first <= now) {
        std::function<void()> const what = std::move(due.begin()->second);
        due.erase(due.begin());
        what();
      }
      if (now % 20 == 0) run(reducer.onTimer(now));
      if (every > 0 && now % every == 0) sendRequest();
    }
  }
  int total() const {
    int out = 0;
    for (std::map<std::string, int>::value_type const& r : reached) out += r.second;
    return out;
  }
  double share(int replica) const {
    std::map<std::string, int>::const_iterator const it = reached.find(addressOf(replica));
    return it == reached.end() ? 0 : static_cast<double>(it->second) / static_cast<double>(total());
  }
};

}  // namespace

TEST_CASE("a replica that fails a third of its requests soon gets under a tenth of its share") {
  for (Fate const how : {Fate::broken, Fate::failed, Fate::slow})
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      CAPTURE(static_cast<int>(how), seed);
      Load load(10, seed);
      load.fate = [&](std::string const& a) {
        return a == addressOf(3) && load.rng.chance(0.3) ? how : Fate::complete;
      };
      load.go(20000, 5);
      load.reached.clear();
      load.go(60000, 5);
      CHECK(load.share(3) < 0.1 * 0.1);
      CHECK(load.distrusts > 0);
    }
}

TEST_CASE("a replica that is well again is trusted again") {
  Load load(10, 3);
  bool failing = true;
  load.fate = [&](std::string const& a) { return failing && a == addressOf(3) ? Fate::broken : Fate::complete; };
  load.go(20000, 5);
  failing = false;
  load.go(20000, 5);
  load.reached.clear();
  load.go(20000, 5);
  CHECK(load.share(3) > 0.08);
}

TEST_CASE("replicas that fail one request in fifty are left out for under a hundredth of their requests") {
  std::size_t distrusts = 0;
  int requests = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Load load(10, seed);
    load.fate = [&](std::string const&) { return load.rng.chance(0.02) ? Fate::broken : Fate::complete; };
    load.go(100000, 5);
    distrusts += load.distrusts;
    requests += load.total();
    for (int r = 1; r <= 10; ++r) CHECK(load.share(r) > 0.08);
  }
  CAPTURE(distrusts, requests);
  CHECK(distrusts * 5000 < static_cast<std::size_t>(requests));
}

TEST_CASE("a replica that goes down and up by turns is tried less and less often") {
  Load load(10, 5);
  load.fate = [&](std::string const& a) {
    return a == addressOf(3) && (load.now / 700) % 2 == 0 ? Fate::rejected : Fate::complete;
  };
  load.go(30000, 5);
  load.reached.clear();
  load.connects.clear();
  load.go(60000, 5);
  int const refused = load.connects[addressOf(3)] - load.reached[addressOf(3)];
  CAPTURE(refused, load.reached[addressOf(3)]);
  CHECK(refused <= 20);
}

TEST_CASE("when all replicas fail alike, all are used") {
  Load load(9, 6);
  load.fate = [&](std::string const&) { return load.rng.chance(0.7) ? Fate::broken : Fate::complete; };
  load.go(10000, 5);
  load.reached.clear();
  load.go(20000, 5);
  CHECK(load.distrusts > 9);
  CHECK(std::all_of(load.rejected.begin(), load.rejected.end(),
                    [](dataplane::Reject const& d) { return d.status == 502; }));
  for (int r = 1; r <= 9; ++r) CHECK(load.share(r) > 0.5 / 9);
}

TEST_CASE("at most a third of a pool's replicas are left out at once") {
  Load load(10, 7);
  std::set<std::string> const failing{addressOf(1), addressOf(2), addressOf(3), addressOf(4), addressOf(5)};
  load.fate = [&](std::string const& a) { return failing.count(a) > 0 ? Fate::broken : Fate::complete; };
  load.go(20000, 5);
  int used = 0;
  for (int i = 0; i < 40; ++i) {
    load.reached.clear();
    load.go(500, 5);
    used = std::max(used, static_cast<int>(load.reached.size()));
    CHECK(load.reached.size() >= 7);
  }
  CHECK(used <= 10);
  for (int replicas = 1; replicas <= 2; ++replicas) {
    Load few(replicas, 8);
    few.fate = [&](std::string const& a) { return a == addressOf(1) ? Fate::broken : Fate::complete; };
    few.go(20000, 5);
    few.reached.clear();
    few.go(2000, 5);
    CHECK(few.share(1) > 0.3);
  }
}

TEST_CASE("a replica that is left out is replaced in the part, which neither widens nor is given back") {
  dataplane::RouterTuning tuning = Load::tuning(3);
  Load load(10, 9, tuning);
  load.fate = [&](std::string const&) { return Fate::complete; };
  load.go(1000, 40);
  REQUIRE(load.reducer.subsetSizes("model").at(0).first == 3);
  std::string const failing = load.reached.begin()->first;
  load.fate = [&](std::string const& a) { return a == failing ? Fate::broken : Fate::complete; };
  load.go(3000, 40);
  CHECK(load.distrusts == 1);
  CHECK(load.reducer.subsetSizes("model").at(0).first == 3);
  load.reached.clear();
  load.go(5000, 40);
  CHECK(load.reached.count(failing) == 0);
  CHECK(load.reached.size() == 3);
}

TEST_CASE("slow answers count against a replica only where others are quicker") {
  Load load(9, 10);
  load.fate = [&](std::string const&) { return Fate::slow; };
  load.go(20000, 100);
  CHECK(load.total() > 100);
  CHECK(load.distrusts <= 1);
}

TEST_CASE("a kept connection that was forgotten says nothing of its replica") {
  Load load(10, 11);
  load.fate = [&](std::string const& a) {
    return a == addressOf(3) && load.rng.chance(0.5) ? Fate::forgotten : Fate::complete;
  };
  load.path = "/again/";
  load.go(20000, 5);
  CHECK(load.distrusts == 0);
  CHECK(load.share(3) > 0.08);
}

TEST_CASE("a repeatable request that a replica failed at is tried elsewhere, and the last failure is passed on") {
  Load load(4, 12);
  bool allFailing = false;
  std::set<std::string> first;
  load.fate = [&](std::string const& a) {
    if (first.empty()) first.insert(a);
    return allFailing || first.count(a) > 0 ? Fate::failed : Fate::complete;
  };
  SECTION("elsewhere") {
    load.path = "/again/";
    load.sendRequest();
    load.go(200, 0);
    CHECK(load.passedOn == 0);
    CHECK(load.total() == 2);
    CHECK(load.reached.size() == 2);
  }
  SECTION("no try left") {
    allFailing = true;
    load.path = "/again/";
    load.sendRequest();
    load.go(200, 0);
    CHECK(load.passedOn == 1);
    CHECK(load.total() == 2);
  }
  SECTION("a request that may run once") {
    load.sendRequest();
    load.go(200, 0);
    CHECK(load.passedOn == 1);
    CHECK(load.total() == 1);
  }
  CHECK(load.rejected.empty());
  CHECK(load.reducer.pendingCount() == 0);
}

TEST_CASE("a part of one replica tries a failed request at another one of the pool") {
  dataplane::RouterTuning tuning = Load::tuning(1);
  Load load(4, 13, tuning);
  std::set<std::string> first;
  load.fate = [&](std::string const& a) {
    if (first.empty()) first.insert(a);
    return first.count(a) > 0 ? Fate::failed : Fate::complete;
  };
  load.path = "/again/";
  load.sendRequest();
  load.go(200, 0);
  CHECK(load.passedOn == 0);
  CHECK(load.reached.size() == 2);
}

TEST_CASE("a stream tells of a failure before it passes any of it on, and starts over elsewhere") {
  dataplane::ResponseStream s;
  s.connecting(false);
  dataplane::StreamSteps const failed = s.head({.status = 502, .length = 3, .failed = true});
  CHECK(failed.failed);
  CHECK_FALSE(failed.begin);
  SECTION("passed on as it came") {
    dataplane::StreamSteps const piece = s.piece("bad");
    REQUIRE(piece.begin);
    CHECK(piece.begin->status == 502);
    CHECK(piece.chunk == "bad");
    CHECK(s.ended(true).finish);
  }
  SECTION("tried elsewhere") {
    s.connecting(false);
    CHECK_FALSE(s.head({.status = 200, .length = 2}).failed);
    dataplane::StreamSteps const piece = s.piece("ok");
    REQUIRE(piece.begin);
    CHECK(piece.begin->status == 200);
    CHECK(s.ended(true).finish);
  }
}

TEST_CASE("a row that is asked to go on where a replica fails goes on at another one") {
  dataplane::ResponseStream s;
  s.asEvents("");
  s.connecting(false);
  s.head({.status = 200, .events = true});
  REQUIRE(s.piece("id: 1\ndata: a\n\n").begin);
  s.ended(false);
  s.connecting(true);
  CHECK(s.head({.status = 500, .failed = true}).ended == dataplane::UpstreamResult::connectionLost);
}
