#include <catch2/catch.hpp>

#include <QJsonArray>
#include <set>

#include <corkward/core/json.h>
#include <corkward/rotor/plane.h>

namespace core = corkward::core;
namespace rotor = corkward::rotor;
namespace signal = corkward::signal;

namespace {

/// One node of its own seed before a pool that keeps parts of prompts.
struct Node {
  rotor::Plane plane;
  core::Tick now = 100000;
  std::uint64_t next = 1;

  static rotor::Tuning tuning() {
    rotor::Tuning t;
    t.fenced = false;
    t.youngWait = 0;
    t.figures.width = 0.005;
    t.figures.firstLimit = 1.0;
    t.figures.minLimit = 0.05;
    t.figures.maxLimit = 1000;
    t.figures.steady = 0.7;
    t.figures.ease = 0.9;
    return t;
  }

  explicit Node(int replicas, std::uint64_t seed) : plane(self(seed), {"s1"}, seed, tuning()) {
    plane.started(0);
    QJsonArray list;
    for (int i = 1; i <= replicas; ++i)
      list.append(QJsonObject{{"address", core::qstr("10.0.0." + std::to_string(i) + ":80")}, {"zone", "z1"}, {"state", "serving"}});
    QJsonObject const spec = core::parseJson(R"({"version":1,"pools":[{"name":"model","slots":24,"tokens":400000}],"paths":[
      {"name":"s","host":"h","prefix":"/p/","kind":"stream","deadlineMs":12000,"aimMs":600,"pool":"model","affine":true}]})").toObject();
    signal::News news;
    news.number = 1;
    news.whole = true;
    news.items = {{"blueprint", 1, QJsonObject{{"spec", spec}}},
                  {"pool:model", 1, QJsonObject{{"generation", 1}, {"replicas", list}}}};
    plane.arrived(now, "s1", news);
  }

  static signal::Contact self(std::uint64_t seed) {
    signal::Contact c;
    c.link = "n" + std::to_string(seed);
    c.role = "nacelle";
    c.zone = "z1";
    c.inc = 1;
    return c;
  }

  /// Address that a prompt of these parts is sent to; it stays in flight there.
  std::string ask(std::uint64_t shared, std::int64_t sharedTokens, std::int64_t own) {
    rotor::Request r;
    r.call = next++;
    r.host = "h";
    r.target = "/p/x";
    r.id = "r" + std::to_string(r.call);
    r.attempt = 1;
    r.parts = {{1, 300}, {shared, sharedTokens}, {1000000 + r.call, own}};
    for (rotor::CallCommand const& c : plane.request(now, r).calls)
      if (rotor::Connect const* const m = std::get_if<rotor::Connect>(&c)) {
        std::string const address = m->address;
        plane.connected(now, r.call);
        return address;
      }
    return "";
  }
};

}  // namespace

TEST_CASE("nodes that know nothing of each other send a shared part to the same replica from its first request on") {
  for (std::uint64_t shared = 10; shared < 40; ++shared) {
    std::set<std::string> at;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      Node node(60, seed);
      at.insert(node.ask(shared, 5000, 1000));
    }
    CHECK(at.size() == 1);
  }
}
