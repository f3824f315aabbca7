// Measures the memory and processor time of requests at one router.
#include <algorithm>

#include <corkward/dataplane/response_stream.h>

#include "experiments.h"

namespace corkward::testing::capacity {

namespace {

constexpr int blocks = 15;
constexpr int blockRequests = 200;
constexpr int blockChunks = 20000;
constexpr int clockBlocks = 5;
constexpr char const* eventBytes = "data: 012345678901234567890123\n\n";

/// Returns limits that never delay a request, so that the cost is measured and not the decisions of the scaler.
dataplane::RouterTuning unlimitedTuning() {
  dataplane::RouterTuning t;
  t.scalerParameters.initialSubset = 1000000;
  t.scalerParameters.initialLimit = 1e9;
  t.scalerParameters.maxLimit = 1e9;
  t.scalerParameters.bulkFraction = 1;
  t.scalerParameters.cooldown = 1000000000;
  t.nodeLimitPerReplica = 1e9;
  t.minQueueLength = 1000000;
  return t;
}

/// Sends requests to one router and ends them on demand.
class Callers {
 public:
  Callers(Fleet& fleet, Sizes const& sizes)
      : fleet_(fleet), sizes_(sizes), node_(*fleet.processes()[fleet.firstRouter()].data) {}

  /// Sends a request, reports the first byte of its response to the router, and returns the request's id.
  dataplane::CallId begin(std::int64_t tenant, std::string const& id, std::string const& prefix) {
    dataplane::Request r;
    r.call = next_++;
    r.instance = Fleet::familyOf(sizes_, tenant) + "." + Fleet::instanceOf(sizes_, tenant);
    r.path = "path1";
    r.id = id;
    r.prefix = prefix;
    if (!prefix.empty()) r.segments = {dataplane::PromptSegment{core::stableHash(prefix), 5382}};
    r.tokensOut = 338;
    bool dispatched = false;
    dataplane::RouterCommands c = node_.onRequest(fleet_.now(), r);
    for (dataplane::CallCommand const& v : c.calls)
      if (std::holds_alternative<dataplane::Connect>(v)) {
        dataplane::RouterCommands more = node_.onConnected(fleet_.now(), r.call);
        for (dataplane::CallCommand const& h : more.calls)
          dispatched = dispatched || std::holds_alternative<dataplane::SendRequest>(h);
      } else if (std::holds_alternative<dataplane::SendRequest>(v)) {
        dispatched = true;
      } else if (dataplane::Reject const* const d = std::get_if<dataplane::Reject>(&v)) {
        throw SizesError("calls: a request was rejected: " + d->reason);
      }
    if (!dispatched) throw SizesError("calls: a request was queued");
    node_.onFirstByte(fleet_.now(), r.call, true);
    return r.call;
  }
  void end(dataplane::CallId call) {
    node_.onUpstreamFinished(fleet_.now(), call, dataplane::UpstreamResult::complete);
  }
  dataplane::RequestRouter& node() { return node_; }

 private:
  Fleet& fleet_;
  Sizes sizes_;
  dataplane::RequestRouter& node_;
  dataplane::CallId next_ = 1;
};

void checkOneRouterWithTenants(Sizes const& sizes) {
  if (sizes.nodes != 1) throw SizesError("nodes: this experiment measures exactly one router");
  if (sizes.tenants == 0) throw SizesError("tenants: requests need a tenant");
}

std::string requestId(std::int64_t number) {
  return "0b9f8a52-53b5-4d0e-9a36-" + std::to_string(100000000000 + number);
}

dataplane::ResponseHead responseHead() {
  return {200, {{"corkward-run", "run-0123456789abcdef"}, {"content-type", "text/event-stream"}}, -1, false, false, {},
          {}};
}

/// Measures the growth of the heap between calls.
class HeapGrowth {
 public:
  explicit HeapGrowth(Measurements& out) : out_(out) { restart(); }

  void restart() { before_ = heapBytes(); }
  /// Adds the growth since the last measurement, minus `excluded` bytes and divided by `share`, as a measurement.
  void add(char const* measure, char const* role, double share, std::uint64_t excluded = 0) {
    std::uint64_t const now = heapBytes();
    out_.push_back({measure, role, "bytes", heap,
                    (static_cast<double>(now) - static_cast<double>(before_) - static_cast<double>(excluded)) / share});
    restart();
  }

 private:
  Measurements& out_;
  std::uint64_t before_ = 0;
};

void measureStreams(HeapGrowth& growth, Sizes const& sizes) {
  growth.restart();
  std::vector<dataplane::ResponseStream> streams(static_cast<std::size_t>(sizes.calls));
  for (dataplane::ResponseStream& stream : streams) {
    stream.onConnecting(false);
    stream.onHead(responseHead());
    stream.onChunk(eventBytes);
  }
  growth.add("streams", "router", 1);
}

/// Measures the memory of queues, calls, streams, ids and prefixes at one router.
void measureRequestState(HeapGrowth& growth, Callers& callers, Sizes const& sizes) {
  std::vector<dataplane::CallId> calls;
  calls.reserve(static_cast<std::size_t>(std::max({sizes.calls, sizes.tenants, sizes.sessions, sizes.prefixes})));
  growth.restart();
  for (std::int64_t i = 0; i < sizes.tenants; ++i) callers.end(callers.begin(i, "", ""));
  growth.add("credits", "router", 1);
  for (std::int64_t i = 0; i < sizes.calls; ++i) calls.push_back(callers.begin(i % sizes.tenants, "", ""));
  growth.add("calls", "router", 1);
  for (dataplane::CallId const call : calls) callers.end(call);
  calls.clear();
  measureStreams(growth, sizes);
  growth.restart();
  for (std::int64_t i = 0; i < sizes.sessions; ++i) callers.end(callers.begin(i % sizes.tenants, requestId(i), ""));
  growth.add("ids", "router", 1);
  for (std::int64_t i = 0; i < sizes.prefixes; ++i)
    callers.end(callers.begin(i % sizes.tenants, "", "prefix-" + std::to_string(i)));
  growth.add("prefixes", "router", 1);
}

/// Returns the processor time per request in each block, in microseconds.
std::vector<double> timeRequests(Callers& callers, Sizes const& sizes) {
  core::RandomGenerator rng(static_cast<std::uint64_t>(sizes.seed) ^ 0xC0);
  std::vector<double> out;
  std::int64_t id = 0;
  for (int block = 0; block < blocks; ++block) {
    double const from = threadUs();
    for (int i = 0; i < blockRequests; ++i) {
      auto const tenant = static_cast<std::int64_t>(rng.below(static_cast<std::uint64_t>(sizes.tenants)));
      callers.end(callers.begin(tenant, requestId(id++), "prefix-" + std::to_string(rng.below(1000))));
    }
    out.push_back((threadUs() - from) / blockRequests);
  }
  return out;
}

/// Returns the processor time per chunk of a response in each block, in microseconds.
std::vector<double> timeChunks(std::size_t& passedBytes) {
  std::vector<double> out;
  for (int block = 0; block < blocks; ++block) {
    dataplane::ResponseStream stream;
    stream.onConnecting(false);
    stream.onHead(dataplane::ResponseHead{200, {{"corkward-run", "run-0123456789abcdef"}}, -1, false, false, {}, {}});
    double const from = threadUs();
    for (int i = 0; i < blockChunks; ++i) passedBytes += stream.onChunk(eventBytes).chunk.size();
    out.push_back((threadUs() - from) / blockChunks);
  }
  return out;
}

}  // namespace

// fleet.count(true) precedes the first message, so that every message is serialized and parsed. Otherwise the processes
// would share the values in messages, and the memory of a shared value would be counted only once.
Measurements measureState(Sizes const& sizes) {
  checkOneRouterWithTenants(sizes);
  Measurements out;
  HeapGrowth growth(out);
  Fleet fleet(sizes, unlimitedTuning());
  fleet.count(true);
  startControllers(fleet);
  fleet.configure();
  fleet.run(2000);
  growth.add("configured", "controller", static_cast<double>(sizes.control), fleet.diskUsage());
  startRouters(fleet);
  fleet.run(2000);
  growth.add("configured", "router", 1);
  Callers callers(fleet, sizes);
  measureRequestState(growth, callers, sizes);
  dataplane::RouterUsage const usage = callers.node().usage();
  out.push_back(
      {"page.metrics", "operator", "bytes", counted, static_cast<double>(callers.node().metrics(fleet.now()).size())});
  out.push_back({"held.ids", "router", "ids", counted, static_cast<double>(usage.ids)});
  out.push_back({"held.prefixes", "router", "prefixes", counted, static_cast<double>(usage.prefixes)});
  out.push_back({"held.credits", "router", "credits", counted, static_cast<double>(usage.queues)});
  return out;
}

Measurements measureRequestCost(Sizes const& sizes) {
  checkOneRouterWithTenants(sizes);
  Fleet fleet(sizes, unlimitedTuning());
  startAndStabilize(fleet);
  Callers callers(fleet, sizes);
  for (std::int64_t i = 0; i < sizes.tenants; ++i) callers.end(callers.begin(i, "", ""));
  std::vector<dataplane::CallId> calls;
  for (std::int64_t i = 0; i < sizes.calls; ++i) calls.push_back(callers.begin(i % sizes.tenants, "", ""));
  std::vector<double> const requests = timeRequests(callers, sizes);
  std::size_t passedBytes = 0;
  std::vector<double> const chunks = timeChunks(passedBytes);
  Measurements out;
  out.push_back(
      {"piece.passed", "router", "bytes", counted, static_cast<double>(passedBytes) / (blocks * blockChunks)});
  out.push_back({"request", "router", "us", timed, median(requests)});
  out.push_back({"request.least", "router", "us", timed, *std::min_element(requests.begin(), requests.end())});
  out.push_back({"piece", "router", "us", timed, median(chunks)});
  std::vector<double> clocks;
  for (int block = 0; block < clockBlocks; ++block) {
    fleet.count(true);
    fleet.run(1000);
    clocks.push_back(fleet.timerUs(false));
    for (dataplane::CallId const call : calls) callers.node().onProgress(fleet.now(), call);
  }
  out.push_back({"clock", "router", "us/s", timed, median(clocks)});
  out.push_back({"in_hand", "router", "calls", counted, static_cast<double>(callers.node().pendingCount())});
  return out;
}

}  // namespace corkward::testing::capacity
