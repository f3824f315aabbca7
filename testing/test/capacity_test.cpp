#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

#include "fleet.h"
#include "experiments.h"
#include "command_line.h"

namespace capacity = corkward::testing::capacity;
namespace core = corkward::core;
namespace transport = corkward::transport;

namespace {

struct Outcome {
  int code = 0;
  std::string out;
  std::string errors;
};

Outcome runCommand(std::vector<std::string> const& arguments) {
  std::vector<char const*> argv{"corkward-capacity"};
  for (std::string const& w : arguments) argv.push_back(w.c_str());
  std::ostringstream out;
  std::ostringstream errors;
  Outcome o;
  o.code = capacity::runCommand(static_cast<int>(argv.size()), argv.data(), out, errors);
  o.out = out.str();
  o.errors = errors.str();
  return o;
}

capacity::Sizes small() {
  capacity::Sizes s;
  s.nodes = 4;
  s.control = 3;
  s.regions = 2;
  s.zones = 4;
  s.models = 2;
  s.replicas = 8;
  s.templates = 2;
  s.tenants = 4;
  s.seconds = 2;
  return s;
}

double valueOf(capacity::Measurements const& measurements, std::string const& measure, std::string const& role,
               std::string const& unit) {
  auto const it = std::find_if(measurements.begin(), measurements.end(), [&](capacity::Measurement const& r) {
    return r.measure == measure && r.role == role && r.unit == unit;
  });
  REQUIRE(it != measurements.end());
  return it->value;
}

std::string countedRows(capacity::Measurements const& measurements) {
  std::ostringstream out;
  for (capacity::Measurement const& r : measurements)
    if (r.kind == "counted") out << r.measure << "," << r.role << "," << r.unit << "," << r.value << "\n";
  return out.str();
}

}  // namespace

TEST_CASE("a bad argument ends with exit code 2 and an error that names the argument") {
  struct Bad {
    std::vector<std::string> arguments;
    char const* name;
  };
  std::vector<Bad> bad{{{}, "part"},
                       {{"--part", "nope"}, "part"},
                       {{"--part", "rest", "--nodes", "many"}, "nodes"},
                       {{"--part", "rest", "--nodes"}, "nodes"},
                       {{"--part", "rest", "--bogus", "1"}, "bogus"},
                       {{"--part", "rest", "stray"}, "positional"},
                       {{"--part", "rest", "--sweep", "nodes"}, "sweep"},
                       {{"--part", "rest", "--sweep", "bogus=1"}, "bogus"},
                       {{"--part", "rest", "--sweep", "nodes=1,two"}, "two"},
                       {{"--part", "rest", "--sweep", "nodes=1,0"}, "nodes"},
                       {{"--part", "rest", "--zones", "1", "--regions", "2"}, "zones"},
                       {{"--part", "rest", "--replicas", "1", "--models", "2"}, "replicas"},
                       {{"--part", "rest", "--templates", "1", "--tenants", "2001"}, "tenants"},
                       {{"--part", "rest", "--templates", "1", "--tenants", "2000", "--paths", "51"}, "paths"},
                       {{"--part", "rest", "--changes", "1", "--tenants", "0"}, "changes"},
                       {{"--part", "split", "--regions", "1"}, "regions"},
                       {{"--part", "state", "--nodes", "2"}, "nodes"},
                       {{"--part", "rest", "--out", "/nonexistent/file"}, "out"}};
  for (capacity::SizeOption const& r : capacity::sizeTable) {
    bad.push_back({{"--part", "rest", std::string("--") + r.name, std::to_string(r.min - 1)}, r.name});
    bad.push_back({{"--part", "rest", std::string("--") + r.name, std::to_string(r.max + 1)}, r.name});
  }
  for (Bad const& b : bad) {
    Outcome const o = runCommand(b.arguments);
    INFO(o.errors);
    CHECK(o.code == 2);
    CHECK(o.errors.find(b.name) != std::string::npos);
  }
  CHECK(runCommand({"--help"}).code == 0);
}

TEST_CASE("the same seed gives the same counted values and another seed gives different ones") {
  for (char const* const part : {"rest", "links", "change", "outage", "split", "zone"}) {
    capacity::Sizes sizes = small();
    std::string const once = countedRows(capacity::findExperiment(part)->run(sizes));
    CHECK(once == countedRows(capacity::findExperiment(part)->run(sizes)));
    if (part != std::string("rest")) continue;
    sizes.seed = 2;
    CHECK(once != countedRows(capacity::findExperiment(part)->run(sizes)));
  }
}

TEST_CASE("a sweep prints rows for each of its sizes") {
  Outcome const o =
      runCommand({"--part", "rest", "--sweep", "nodes=2,3", "--control", "1", "--tenants", "2", "--seconds", "1"});
  REQUIRE(o.code == 0);
  CHECK(o.out.rfind("# corkward-capacity --part rest --sweep nodes=2,3", 0) == 0);
  CHECK(o.out.find("\nmeasure,role,unit,kind,of,size,value\n") != std::string::npos);
  CHECK(o.out.find("\nstanding,router,share,counted,nodes,2,1\n") != std::string::npos);
  CHECK(o.out.find("\nstanding,router,share,counted,nodes,3,1\n") != std::string::npos);
}

TEST_CASE("received bytes equal sent bytes and the purposes add up to the total") {
  capacity::Sizes sizes = small();
  sizes.changes = 86400;
  sizes.interRegionDelay = 0;
  sizes.seconds = 5;
  capacity::Measurements const measurements = capacity::findExperiment("rest")->run(sizes);
  double sent = 0;
  double received = 0;
  for (char const* const role : {"router", "controller"}) {
    auto const n = static_cast<double>(role == std::string("router") ? sizes.nodes : sizes.control);
    double const all = valueOf(measurements, "sent.all", role, "bytes/s");
    double purposeSum = 0;
    for (capacity::Measurement const& r : measurements)
      if (r.role == role && r.unit == "bytes/s" && r.measure.rfind("sent.", 0) == 0 && r.measure != "sent.all")
        purposeSum += r.value;
    CHECK(purposeSum == Approx(all));
    sent += n * all;
    received += n * valueOf(measurements, "taken.all", role, "bytes/s");
  }
  CHECK(sent > 0);
  CHECK(received == Approx(sent).epsilon(0.02));
  CHECK(valueOf(measurements, "disk", "controller", "bytes/s") > 0);
  CHECK(valueOf(measurements, "sent.news", "controller", "bytes/s") > 0);
}

TEST_CASE("a router's open links stop growing with the size of the fleet") {
  capacity::Sizes sizes = small();
  sizes.regions = 1;
  sizes.seconds = 30;
  std::map<std::int64_t, double> openLinks;
  for (std::int64_t const nodes : {16, 64, 128}) {
    sizes.nodes = nodes;
    openLinks[nodes] = valueOf(capacity::findExperiment("links")->run(sizes), "links.held", "router", "links");
  }
  CAPTURE(openLinks[16], openLinks[64], openLinks[128]);
  CHECK(openLinks[16] < 18);
  CHECK(openLinks[64] < 64);
  CHECK(openLinks[128] < 1.2 * openLinks[64]);
}

TEST_CASE("every acknowledged change reaches every router") {
  capacity::Measurements const measurements = capacity::findExperiment("change")->run(small());
  CHECK(valueOf(measurements, "answered", "operator", "share") == 1);
  CHECK(valueOf(measurements, "in_force.most", "operator", "ms") > 0);
  CHECK(valueOf(measurements, "everywhere.most", "router", "ms") > 0);
}

TEST_CASE("a simulated fleet acknowledges no change at once and loses readiness without a majority") {
  capacity::Sizes sizes = small();
  sizes.zones = 2;
  capacity::Fleet fleet(sizes);
  REQUIRE(fleet.startControllers());
  fleet.configure();
  REQUIRE(fleet.startRouters());
  fleet.run(4000);
  REQUIRE(fleet.servingRouters() == 4);
  for (std::size_t i = fleet.firstRouter(); i < fleet.processes().size(); ++i) fleet.kill(i);
  CHECK(fleet.servingRouters() == 0);
  CHECK(fleet.alive(false) == 0);
  std::uint64_t const token = fleet.change(0, 0);
  CHECK_FALSE(fleet.response(token).has_value());
  CHECK(fleet.until([&] { return fleet.response(token).has_value(); }, 10000));
  for (std::size_t i = 1; i < fleet.firstRouter(); ++i) fleet.kill(i, true);
  fleet.run(3000);
  CHECK_FALSE(fleet.processes().front().control->ready(fleet.now()));
}

TEST_CASE("a message is counted for its purpose") {
  CHECK(capacity::purposeOf(transport::GossipShuffle{}) == "shuffles");
  CHECK(capacity::purposeOf(transport::Heartbeat{}) == "beats");
  CHECK(capacity::purposeOf(transport::RouterStatusReport{}) == "holdings");
  transport::ConfigurationUpdate update;
  CHECK(capacity::purposeOf(update) == "news");
  update.entries.push_back(transport::CommittedEntry{"family:desk", 1, {}});
  CHECK(capacity::purposeOf(update) == "news");
  update.entries.front().key = "roster";
  CHECK(capacity::purposeOf(update) == "roster");
  update.entries.front().key = "pool:model1";
  CHECK(capacity::purposeOf(update) == "list");
}

TEST_CASE("heapBytes grows by the allocated bytes and shrinks when they are freed") {
  std::uint64_t const before = capacity::heapBytes();
  std::vector<std::string> blocks(100, std::string(10000, 'x'));
  std::uint64_t const with = capacity::heapBytes();
  CHECK(with - before >= 1000000);
  CHECK(with - before < 1100000);
  blocks = {};
  CHECK(capacity::heapBytes() < before + 10000);
}

TEST_CASE("the state left by requests matches their number and pending calls are counted") {
  capacity::Sizes sizes = small();
  sizes.nodes = 1;
  sizes.control = 1;
  sizes.calls = 200;
  sizes.sessions = 300;
  sizes.prefixes = 400;
  capacity::Measurements const measurements = capacity::findExperiment("state")->run(sizes);
  CHECK(valueOf(measurements, "held.ids", "router", "ids") == 300);
  CHECK(valueOf(measurements, "held.credits", "router", "credits") == 4);
  CHECK(valueOf(measurements, "held.prefixes", "router", "prefixes") == 400);
  CHECK(valueOf(measurements, "calls", "router", "bytes") > 200 * 100);
  sizes.calls = 5;
  capacity::Measurements const costs = capacity::findExperiment("cost")->run(sizes);
  CHECK(valueOf(costs, "in_hand", "router", "calls") == 5);
  CHECK(valueOf(costs, "request", "router", "us") > 0);
  CHECK(valueOf(costs, "piece.passed", "router", "bytes") == 32);
}
