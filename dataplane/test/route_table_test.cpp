#include <catch2/catch.hpp>

#include <corkward/dataplane/route_table.h>

namespace core = corkward::core;
using corkward::dataplane::Request;
using corkward::dataplane::Route;
using corkward::dataplane::RouteKey;
using corkward::dataplane::RouteTable;

namespace {

Route routeOfInstance(core::NameIndex instance) {
  Route route;
  route.instance = instance;
  return route;
}

Request requestToInstance(std::string const& instance, std::string const& path) {
  Request request;
  request.instance = instance;
  request.path = path;
  return request;
}

Request requestToHost(std::string const& host, std::string const& target) {
  Request request;
  request.host = core::HostName(host);
  request.target = target;
  return request;
}

}  // namespace

TEST_CASE("a request that names an instance is routed by instance and path") {
  RouteTable routes;
  routes.add("family:f", RouteKey::ofInstance("a", "chat"), routeOfInstance(1));
  CHECK(routes[routes.find(requestToInstance("a", "chat"))].instance == 1);
  CHECK(routes.find(requestToInstance("a", "other")) == core::InternedNames::none);
  CHECK(routes.find(requestToInstance("b", "chat")) == core::InternedNames::none);
}

TEST_CASE("a request without an instance is routed by the longest prefix of its target") {
  RouteTable routes;
  routes.add("fleet", RouteKey::ofHost(core::HostName("host"), "/"), routeOfInstance(1));
  routes.add("fleet", RouteKey::ofHost(core::HostName("host"), "/v1/"), routeOfInstance(2));
  CHECK(routes[routes.find(requestToHost("host", "/v1/chat?x=/v2/"))].instance == 2);
  CHECK(routes[routes.find(requestToHost("host", "/v1"))].instance == 1);
  CHECK(routes[routes.find(requestToHost("host", "/v2/chat"))].instance == 1);
  CHECK(routes.find(requestToHost("other", "/v1/chat")) == core::InternedNames::none);
}

TEST_CASE("a host and a prefix do not meet another host and prefix whose joined text is the same") {
  RouteTable routes;
  routes.add("fleet", RouteKey::ofHost(core::HostName("night.example"), "/x/y/"), routeOfInstance(1));
  routes.add("fleet", RouteKey::ofHost(core::HostName("night.example/x"), "/y/"), routeOfInstance(2));
  CHECK(routes[routes.find(requestToHost("night.example", "/x/y/7"))].instance == 1);
  CHECK(routes[routes.find(requestToHost("night.example/x", "/y/7"))].instance == 2);
  CHECK(routes.find(requestToHost("night.example/x/y", "/7")) == core::InternedNames::none);
}

TEST_CASE("a request that names an instance does not meet the route of a host of the same name") {
  RouteTable routes;
  routes.add("fleet", RouteKey::ofHost(core::HostName("desk"), "/x/"), routeOfInstance(1));
  routes.add("family:f", RouteKey::ofInstance("desk", "chat"), routeOfInstance(2));
  CHECK(routes.find(requestToInstance("desk", "/x/")) == core::InternedNames::none);
  CHECK(routes.find(requestToInstance("desk", "x/")) == core::InternedNames::none);
  CHECK(routes.find(requestToHost("desk", "/chat")) == core::InternedNames::none);
  CHECK(routes.find(requestToHost("desk", "chat")) == core::InternedNames::none);
}

TEST_CASE("a target without a slash before its query matches no prefix") {
  RouteTable routes;
  routes.add("fleet", RouteKey::ofHost(core::HostName("host"), "/"), routeOfInstance(1));
  for (char const* const target : {"", "*", "?/", "host:80", "#/"}) {
    INFO(target);
    CHECK(routes.find(requestToHost("host", target)) == core::InternedNames::none);
  }
  CHECK(routes.find(requestToHost("host", "/?/x/")) != core::InternedNames::none);
}

TEST_CASE("a removed route is not found any more but keeps its index") {
  RouteTable routes;
  routes.add("family:f", RouteKey::ofInstance("a", "chat"), routeOfInstance(1));
  routes.add("family:g", RouteKey::ofInstance("b", "chat"), routeOfInstance(2));
  std::uint64_t const before = routes.revision();
  core::NameIndex const removed = routes.find(requestToInstance("a", "chat"));
  routes.remove("family:f");
  CHECK(routes.revision() > before);
  CHECK(routes.find(requestToInstance("a", "chat")) == core::InternedNames::none);
  CHECK(routes[removed].instance == 1);
  CHECK(routes.instances() == std::set<core::NameIndex>{2});
}

TEST_CASE("compaction keeps the active routes and those in use, in their order") {
  RouteTable routes;
  for (core::NameIndex instance = 0; instance < 1023; ++instance) {
    routes.remove("family:f");
    routes.add("family:f", RouteKey::ofInstance("a", "chat"), routeOfInstance(instance));
  }
  CHECK_FALSE(routes.needsCompaction());
  routes.add("family:g", RouteKey::ofInstance("b", "chat"), routeOfInstance(5000));
  CHECK(routes.needsCompaction());
  std::vector<core::NameIndex> const newIndices = routes.compact({7});
  CHECK(routes.size() == 3);
  CHECK(newIndices[7] == 0);
  CHECK(routes[0].instance == 7);
  CHECK(routes[routes.find(requestToInstance("a", "chat"))].instance == 1022);
  CHECK(routes[routes.find(requestToInstance("b", "chat"))].instance == 5000);
  CHECK_FALSE(routes.needsCompaction());
}
