#include "parts.h"

#include <algorithm>
#include <functional>
#include <map>

#include <corkward/core/json.h>
#include <corkward/dataplane/response_stream.h>
#include <corkward/transport/link.h>

#include "fleet.h"

namespace corkward::testing::capacity {

namespace {

constexpr char const* counted = "counted";
constexpr char const* timed = "timed";
constexpr char const* heap = "heap";
constexpr Tick settle = 12000;
constexpr Tick longest = 30000;
constexpr Tick dayMs = 86400000;
constexpr int changesTried = 12;
constexpr int blocks = 15;
constexpr int blockRequests = 200;
constexpr int blockPieces = 20000;

double perSecond(double value, Tick ms, std::size_t processes) {
  return value * 1000.0 / static_cast<double>(ms) / static_cast<double>(std::max<std::size_t>(processes, 1));
}

double middle(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void failed(std::string const& what) {
  throw SizesError(what);
}

/// A whole fleet that stands and is at rest.
void bring(Fleet& fleet) {
  if (!fleet.startControl()) failed("control: the membership was not founded within its limit");
  fleet.configure();
  if (!fleet.startNodes()) failed("nodes: not all stand within the limit");
  fleet.run(settle);
}

std::vector<std::uint64_t> changesDue(Fleet& fleet, Sizes const& sizes, core::RandomGenerator& rng, Tick& dueAt,
                                      Tick step) {
  std::vector<std::uint64_t> made;
  if (sizes.changes == 0) return made;
  Tick const every = std::max<Tick>(dayMs / sizes.changes, 1);
  for (Tick const end = fleet.now() + step; dueAt < end; dueAt += every)
    made.push_back(fleet.change(rng.below(static_cast<std::uint64_t>(sizes.control)),
                                static_cast<std::int64_t>(rng.below(static_cast<std::uint64_t>(sizes.tenants)))));
  return made;
}

/// Messages, bytes and processor time of a fleet at rest, with the changes of the sizes.
Rows rest(Sizes const& sizes) {
  std::uint64_t const empty = heapBytes();
  Fleet fleet(sizes);
  if (!fleet.startControl()) failed("control: the membership was not founded within its limit");
  fleet.configure();
  std::uint64_t const withControl = heapBytes() - fleet.disksHold();
  if (!fleet.startNodes()) failed("nodes: not all stand within the limit");
  fleet.run(settle);
  core::RandomGenerator rng(static_cast<std::uint64_t>(sizes.seed) ^ 0xCA);
  Tick dueAt = fleet.now();
  fleet.count(true);
  for (std::int64_t s = 0; s < sizes.seconds; ++s) {
    changesDue(fleet, sizes, rng, dueAt, 1000);
    fleet.run(1000);
  }
  Rows out;
  Tick const ms = fleet.counted();
  for (bool const control : {false, true}) {
    char const* const role = control ? "controller" : "router";
    std::size_t const n = fleet.alive(control);
    std::map<std::string, Tally> duties;
    Tally sum;
    double us = fleet.clockUs(control);
    for (Tally const& t : fleet.tallies(control).all()) {
      for (Tally* const to : {&duties[t.duty], &sum}) {
        to->sent += t.sent;
        to->sentBytes += t.sentBytes;
        to->taken += t.taken;
        to->takenBytes += t.takenBytes;
      }
      us += t.packUs + t.unpackUs + t.handleUs;
      duties[t.duty].handleUs += t.packUs + t.unpackUs + t.handleUs;
      if (t.sent > 0)
        out.push_back({"pack." + t.kind, role, "us/message", timed, t.packUs / static_cast<double>(t.sent)});
      if (t.sent > 0)
        out.push_back({"size." + t.kind, role, "bytes/message", counted,
                       static_cast<double>(t.sentBytes) / static_cast<double>(t.sent)});
      if (t.taken > 0)
        out.push_back({"unpack." + t.kind, role, "us/message", timed, t.unpackUs / static_cast<double>(t.taken)});
      if (t.taken > 0)
        out.push_back({"handle." + t.kind, role, "us/message", timed, t.handleUs / static_cast<double>(t.taken)});
    }
    duties["all"] = sum;
    duties["all"].handleUs = us;
    duties["clock"].handleUs = fleet.clockUs(control);
    for (std::map<std::string, Tally>::value_type const& d : duties) {
      out.push_back({"cpu." + d.first, role, "us/s", timed, perSecond(d.second.handleUs, ms, n)});
      if (d.first == "clock") continue;
      out.push_back(
          {"sent." + d.first, role, "messages/s", counted, perSecond(static_cast<double>(d.second.sent), ms, n)});
      out.push_back(
          {"sent." + d.first, role, "bytes/s", counted, perSecond(static_cast<double>(d.second.sentBytes), ms, n)});
      out.push_back(
          {"taken." + d.first, role, "messages/s", counted, perSecond(static_cast<double>(d.second.taken), ms, n)});
      out.push_back(
          {"taken." + d.first, role, "bytes/s", counted, perSecond(static_cast<double>(d.second.takenBytes), ms, n)});
    }
  }
  out.push_back({"disk", "controller", "bytes/s", counted,
                 perSecond(static_cast<double>(fleet.diskBytes()), ms, fleet.alive(true))});
  out.push_back({"standing", "router", "share", counted,
                 static_cast<double>(fleet.servingLease()) / static_cast<double>(sizes.nodes)});
  out.push_back({"page.fleet", "operator", "bytes", counted,
                 static_cast<double>(core::jsonText(fleet.processes().front().control->fleet(fleet.now())).size())});
  fleet.count(false);
  fleet.dropUnderWay();
  double const all = static_cast<double>(heapBytes() - empty - fleet.disksHold());
  for (std::size_t i = fleet.firstNode(); i < fleet.processes().size(); ++i) fleet.kill(i);
  double const control = static_cast<double>(heapBytes() - empty - fleet.disksHold());
  out.push_back({"state", "router", "bytes", heap, (all - control) / static_cast<double>(sizes.nodes)});
  out.push_back({"state", "controller", "bytes", heap, control / static_cast<double>(sizes.control)});
  out.push_back({"state.before_nodes", "controller", "bytes", heap,
                 static_cast<double>(withControl - empty) / static_cast<double>(sizes.control)});
  return out;
}

/// Ways between processes: how many each holds, and how many it dials.
Rows links(Sizes const& sizes) {
  Fleet fleet(sizes);
  bring(fleet);
  fleet.run(2 * std::chrono::milliseconds(transport::Link::idleTimeout).count());
  std::array<std::uint64_t, 2> const before{fleet.dialled(false), fleet.dialled(true)};
  Tick const from = fleet.now();
  std::array<double, 2> held{};
  for (std::int64_t s = 0; s < sizes.seconds; ++s) {
    fleet.run(1000);
    for (bool const control : {false, true})
      held[control ? 1 : 0] += static_cast<double>(fleet.waysHeld(control)) / static_cast<double>(sizes.seconds);
  }
  Rows out;
  for (bool const control : {false, true}) {
    char const* const role = control ? "controller" : "router";
    double const n = static_cast<double>(fleet.alive(control));
    out.push_back({"links.held", role, "links", counted, held[control ? 1 : 0] / n});
    out.push_back({"links.dialled", role, "links/s", counted,
                   perSecond(static_cast<double>(fleet.dialled(control) - before[control ? 1 : 0]), fleet.now() - from,
                             fleet.alive(control))});
  }
  return out;
}

/// Single changes of a tenant, one after the other: how long until each is in force, and what it costs.
Rows change(Sizes const& sizes) {
  if (sizes.tenants == 0) failed("tenants: there is no tenant to change");
  Fleet fleet(sizes);
  bring(fleet);
  core::RandomGenerator rng(static_cast<std::uint64_t>(sizes.seed) ^ 0xC4);
  std::vector<double> answers;
  std::vector<double> everywhere;
  int in = 0;
  std::map<std::string, Tally> nodeSums;
  std::map<std::string, Tally> controlSums;
  double disk = 0;
  for (int i = 0; i < changesTried; ++i) {
    std::int64_t const tenant = static_cast<std::int64_t>(rng.below(static_cast<std::uint64_t>(sizes.tenants)));
    std::uint64_t const before = fleet.revisionOfTenant(tenant);
    std::string const key = "family:" + Fleet::familyOf(sizes, tenant);
    fleet.count(true);
    Tick const from = fleet.now();
    std::uint64_t const token = fleet.change(rng.below(static_cast<std::uint64_t>(sizes.control)), tenant);
    bool const all = fleet.until(
        [&] {
          return std::all_of(fleet.processes().begin(), fleet.processes().end(),
                             [&](Process const& p) { return !p.data || p.data->revisionOf(key) > before; });
        },
        longest);
    if (all) everywhere.push_back(static_cast<double>(fleet.now() - from));
    fleet.until([&] { return fleet.answer(token).has_value(); }, longest);
    if (fleet.answer(token) && fleet.answer(token)->status == 200) {
      ++in;
      answers.push_back(static_cast<double>(fleet.answer(token)->at - from));
    }
    fleet.run(500);
    for (bool const control : {false, true})
      for (Tally const& t : fleet.tallies(control).all()) {
        Tally& to = (control ? controlSums : nodeSums)[t.duty];
        to.sent += t.sent;
        to.sentBytes += t.sentBytes;
        to.takenBytes += t.takenBytes;
        to.handleUs += t.packUs + t.unpackUs + t.handleUs;
      }
    disk += static_cast<double>(fleet.diskBytes());
    fleet.count(false);
  }
  Rows out;
  out.push_back({"answered", "operator", "share", counted, static_cast<double>(in) / changesTried});
  out.push_back({"in_force.median", "operator", "ms", counted, middle(answers)});
  out.push_back({"in_force.most", "operator", "ms", counted,
                 answers.empty() ? -1 : *std::max_element(answers.begin(), answers.end())});
  out.push_back({"everywhere.most", "router", "ms", counted,
                 everywhere.empty() ? -1 : *std::max_element(everywhere.begin(), everywhere.end())});
  for (bool const control : {false, true}) {
    char const* const role = control ? "controller" : "router";
    double const n = static_cast<double>(fleet.alive(control)) * changesTried;
    for (char const* const duty : {"news", "agreement", "operators", "holdings"}) {
      Tally const& t = (control ? controlSums : nodeSums)[duty];
      out.push_back({std::string("change.sent.") + duty, role, "messages", counted, static_cast<double>(t.sent) / n});
      out.push_back({std::string("change.sent.") + duty, role, "bytes", counted, static_cast<double>(t.sentBytes) / n});
      out.push_back(
          {std::string("change.taken.") + duty, role, "bytes", counted, static_cast<double>(t.takenBytes) / n});
      out.push_back({std::string("change.cpu.") + duty, role, "us", timed, t.handleUs / n});
    }
  }
  out.push_back(
      {"change.disk", "controller", "bytes", counted, disk / static_cast<double>(sizes.control) / changesTried});
  return out;
}

/// Founding, a start of all after an outage of all, a restart of one node, and a copy for one emptied disk.
Rows outage(Sizes const& sizes) {
  Rows out;
  Fleet fleet(sizes);
  if (!fleet.startControl()) failed("control: the membership was not founded within its limit");
  out.push_back({"found", "controller", "ms", counted, static_cast<double>(fleet.now())});
  fleet.configure();
  Tick from = fleet.now();
  if (!fleet.startNodes()) failed("nodes: not all stand within the limit");
  out.push_back({"start", "router", "ms", counted, static_cast<double>(fleet.now() - from)});
  fleet.run(settle);
  std::size_t const one = fleet.firstNode() + static_cast<std::size_t>(sizes.nodes) / 2;
  fleet.count(true);
  fleet.kill(one);
  fleet.run(1000);
  fleet.boot(one);
  from = fleet.now();
  bool ok = fleet.until([&] { return fleet.processes()[one].data->servingLease(fleet.now()); }, longest);
  out.push_back({"restart", "router", "ms", counted, ok ? static_cast<double>(fleet.now() - from) : -1});
  double bytes = 0;
  for (Tally const& t : fleet.tallies(true).all())
    if (t.duty == "news" || t.duty == "roster" || t.duty == "list") bytes += static_cast<double>(t.sentBytes);
  out.push_back({"restart.image", "controller", "bytes", counted, bytes / static_cast<double>(sizes.control)});
  fleet.count(false);
  fleet.run(settle);
  fleet.count(true);
  fleet.boot(fleet.spare());
  from = fleet.now();
  ok = fleet.until([&] { return fleet.processes()[fleet.spare()].data->servingLease(fleet.now()); }, longest);
  out.push_back({"join", "router", "ms", counted, ok ? static_cast<double>(fleet.now() - from) : -1});
  fleet.run(settle);
  for (bool const control : {false, true}) {
    double sent = 0;
    double taken = 0;
    for (Tally const& t : fleet.tallies(control).all()) {
      if (t.duty != "news" && t.duty != "roster" && t.duty != "agreement") continue;
      sent += static_cast<double>(t.sentBytes);
      taken += static_cast<double>(t.takenBytes);
    }
    double const n = static_cast<double>(fleet.alive(control));
    out.push_back({"join.sent", control ? "controller" : "router", "bytes", counted, sent / n});
    out.push_back({"join.taken", control ? "controller" : "router", "bytes", counted, taken / n});
  }
  std::size_t const last = fleet.firstNode() - 1;
  fleet.count(true);
  if (sizes.control > 1) {
    fleet.kill(last);
    fleet.wipe(last);
    fleet.run(1000);
    fleet.boot(last);
    from = fleet.now();
    ok = fleet.until([&] { return fleet.processes()[last].control->registers().isVoting(); }, longest);
    out.push_back({"copy", "controller", "ms", counted, ok ? static_cast<double>(fleet.now() - from) : -1});
    bytes = 0;
    for (Tally const& t : fleet.tallies(true).all())
      if (t.duty == "copy") bytes += static_cast<double>(t.sentBytes);
    out.push_back({"copy", "controller", "bytes in all", counted, bytes});
  }
  fleet.count(false);
  fleet.run(settle);
  for (std::size_t i = 0; i < fleet.processes().size(); ++i) fleet.kill(i);
  fleet.run(1000);
  from = fleet.now();
  fleet.count(true);
  for (std::size_t i = 0; i < fleet.processes().size(); ++i) fleet.boot(i);
  ok = fleet.until([&] { return fleet.servingLease() == static_cast<std::size_t>(sizes.nodes) + 1; }, longest);
  out.push_back({"recover", "router", "ms", counted, ok ? static_cast<double>(fleet.now() - from) : -1});
  for (bool const control : {false, true}) {
    double us = fleet.clockUs(control);
    for (Tally const& t : fleet.tallies(control).all()) us += t.packUs + t.unpackUs + t.handleUs;
    out.push_back({"recover.cpu", control ? "controller" : "router", "us", timed,
                   us / static_cast<double>(fleet.alive(control))});
  }
  return out;
}

double shareOf(Fleet const& fleet, int region) {
  return static_cast<double>(fleet.servingLease(region)) /
         static_cast<double>(std::max<std::size_t>(fleet.aliveIn(region), 1));
}

/// Regions lose each other for ten seconds; a change is tried in each.
Rows split(Sizes const& sizes) {
  if (sizes.regions < 2) failed("regions: it takes two to lose each other");
  if (sizes.tenants < 2 || sizes.control < 2) failed("tenants: two tenants and two control machines are needed");
  Fleet fleet(sizes);
  bring(fleet);
  fleet.cutRegions(true);
  Tick const from = fleet.now();
  std::map<int, std::uint64_t> tokens;
  std::map<int, std::size_t> members;
  for (std::size_t i = 0; i < fleet.firstNode(); ++i) {
    int const region = fleet.processes()[i].region;
    if (++members[region] == 1) tokens[region] = fleet.change(i, region);
  }
  fleet.run(10000);
  Rows out;
  for (std::map<int, std::uint64_t>::value_type const& t : tokens) {
    std::string const name = "region" + std::to_string(t.first + 1);
    out.push_back({"split.members." + name, "controller", "machines", counted, static_cast<double>(members[t.first])});
    out.push_back({"split.standing." + name, "router", "share", counted, shareOf(fleet, t.first)});
    bool const taken = fleet.answer(t.second) && fleet.answer(t.second)->status == 200;
    out.push_back({"split.status." + name, "operator", "status", counted,
                   fleet.answer(t.second) ? static_cast<double>(fleet.answer(t.second)->status) : 0});
    out.push_back({"split.change." + name, "operator", "ms", counted,
                   taken ? static_cast<double>(fleet.answer(t.second)->at - from) : -1});
  }
  fleet.cutRegions(false);
  Tick const joined = fleet.now();
  bool const ok = fleet.until([&] { return fleet.servingLease() == static_cast<std::size_t>(sizes.nodes); }, longest);
  out.push_back({"split.back", "router", "ms", counted, ok ? static_cast<double>(fleet.now() - joined) : -1});
  return out;
}

/// A zone goes dark with its nodes and control machines; then a change is made.
Rows zone(Sizes const& sizes) {
  if (sizes.zones < 2 || sizes.tenants == 0) failed("zones: at least two zones and a tenant are needed");
  Fleet fleet(sizes);
  bring(fleet);
  std::size_t first = 0;
  for (std::size_t i = 0; i < fleet.processes().size(); ++i) {
    if (fleet.processes()[i].zone == 0)
      fleet.kill(i, true);
    else if (i < fleet.firstNode() && first == 0)
      first = i;
  }
  Rows out;
  double least = 1;
  Tick const from = fleet.now();
  std::uint64_t const token = fleet.change(first, 0);
  for (int i = 0; i < 100; ++i) {
    fleet.run(50);
    least = std::min(least, shareOf(fleet, -1));
  }
  fleet.until([&] { return fleet.answer(token).has_value(); }, longest);
  bool const taken = fleet.answer(token) && fleet.answer(token)->status == 200;
  out.push_back({"zone.standing", "router", "least share of the rest", counted, least});
  out.push_back(
      {"zone.change", "operator", "ms", counted, taken ? static_cast<double>(fleet.answer(token)->at - from) : -1});
  std::uint64_t const next = fleet.change(first, 0);
  Tick const again = fleet.now();
  fleet.until([&] { return fleet.answer(next).has_value(); }, longest);
  bool const nextTaken = fleet.answer(next) && fleet.answer(next)->status == 200;
  out.push_back({"zone.next_change", "operator", "ms", counted,
                 nextTaken ? static_cast<double>(fleet.answer(next)->at - again) : -1});
  return out;
}

/// Bounds that never stop a request, so that what is measured is the cost and not the scaler's choice.
dataplane::RouterTuning open() {
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

/// Requests at one node, handed over and ended at once as told.
class Callers {
 public:
  Callers(Fleet& fleet, Sizes const& sizes)
      : fleet_(fleet), sizes_(sizes), node_(*fleet.processes()[fleet.firstNode()].data) {}

  /// Begins one up to its first word, and returns its name.
  dataplane::CallId begin(std::int64_t tenant, std::string const& id, std::string const& prefix) {
    dataplane::Request r;
    r.call = next_++;
    r.instance = Fleet::familyOf(sizes_, tenant) + "." + Fleet::instanceOf(sizes_, tenant);
    r.path = "path1";
    r.id = id;
    r.prefix = prefix;
    if (!prefix.empty()) r.segments = {dataplane::PromptSegment{core::stableHash(prefix), 5382}};
    r.tokensOut = 338;
    bool handed = false;
    dataplane::RouterCommands c = node_.onRequest(fleet_.now(), r);
    for (dataplane::CallCommand const& v : c.calls)
      if (std::holds_alternative<dataplane::Connect>(v)) {
        dataplane::RouterCommands more = node_.onConnected(fleet_.now(), r.call);
        for (dataplane::CallCommand const& h : more.calls)
          handed = handed || std::holds_alternative<dataplane::SendRequest>(h);
      } else if (std::holds_alternative<dataplane::SendRequest>(v)) {
        handed = true;
      } else if (dataplane::Reject const* const d = std::get_if<dataplane::Reject>(&v)) {
        failed("calls: a request was rejected: " + d->reason);
      }
    if (!handed) failed("calls: a request was held");
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

void needTenants(Sizes const& sizes) {
  if (sizes.nodes != 1) failed("nodes: this part measures one node");
  if (sizes.tenants == 0) failed("tenants: requests need a tenant");
}

/// Bytes that one node and one control machine hold: configuration, credits, calls, streams, ids, prefixes. Messages
/// are packed and unpacked from the start, since values that are handed over as they are would be shared and count
/// once.
Rows state(Sizes const& sizes) {
  needTenants(sizes);
  Rows out;
  std::uint64_t at = heapBytes();
  std::uint64_t disks = 0;
  std::function<void(char const*, char const*, double)> const grown = [&](char const* measure, char const* role,
                                                                          double share) {
    std::uint64_t const now = heapBytes();
    out.push_back({measure, role, "bytes", heap,
                   (static_cast<double>(now) - static_cast<double>(at) - static_cast<double>(disks)) / share});
    at = heapBytes();
    disks = 0;
  };
  Fleet fleet(sizes, open());
  fleet.count(true);
  if (!fleet.startControl()) failed("control: the membership was not founded within its limit");
  fleet.configure();
  fleet.run(2000);
  disks = fleet.disksHold();
  grown("configured", "controller", static_cast<double>(sizes.control));
  if (!fleet.startNodes()) failed("nodes: not all stand within the limit");
  fleet.run(2000);
  grown("configured", "router", 1);
  Callers callers(fleet, sizes);
  std::vector<dataplane::CallId> calls;
  calls.reserve(static_cast<std::size_t>(std::max({sizes.calls, sizes.tenants, sizes.sessions, sizes.prefixes})));
  at = heapBytes();
  for (std::int64_t i = 0; i < sizes.tenants; ++i) callers.end(callers.begin(i, "", ""));
  grown("credits", "router", 1);
  for (std::int64_t i = 0; i < sizes.calls; ++i) calls.push_back(callers.begin(i % sizes.tenants, "", ""));
  grown("calls", "router", 1);
  for (dataplane::CallId const c : calls) callers.end(c);
  calls.clear();
  {
    at = heapBytes();
    std::vector<dataplane::ResponseStream> streams(static_cast<std::size_t>(sizes.calls));
    for (dataplane::ResponseStream& s : streams) {
      s.connecting(false);
      s.head(dataplane::ResponseHead{200,
                                     {{"corkward-run", "run-0123456789abcdef"}, {"content-type", "text/event-stream"}},
                                     -1,
                                     false,
                                     false,
                                     {},
                                     {}});
      s.piece("data: 012345678901234567890123\n\n");
    }
    grown("streams", "router", 1);
  }
  at = heapBytes();
  for (std::int64_t i = 0; i < sizes.sessions; ++i)
    callers.end(callers.begin(i % sizes.tenants, "0b9f8a52-53b5-4d0e-9a36-" + std::to_string(100000000000 + i), ""));
  grown("ids", "router", 1);
  for (std::int64_t i = 0; i < sizes.prefixes; ++i)
    callers.end(callers.begin(i % sizes.tenants, "", "prefix-" + std::to_string(i)));
  grown("prefixes", "router", 1);
  dataplane::RouterUsage const held = callers.node().usage();
  out.push_back(
      {"page.metrics", "operator", "bytes", counted, static_cast<double>(callers.node().metrics(fleet.now()).size())});
  out.push_back({"held.ids", "router", "ids", counted, static_cast<double>(held.ids)});
  out.push_back({"held.prefixes", "router", "prefixes", counted, static_cast<double>(held.prefixes)});
  out.push_back({"held.credits", "router", "credits", counted, static_cast<double>(held.queues)});
  return out;
}

/// Processor time of one node per request, piece and clock event, with credits, calls and replicas of the sizes.
Rows cost(Sizes const& sizes) {
  needTenants(sizes);
  Fleet fleet(sizes, open());
  bring(fleet);
  Callers callers(fleet, sizes);
  for (std::int64_t i = 0; i < sizes.tenants; ++i) callers.end(callers.begin(i, "", ""));
  std::vector<dataplane::CallId> calls;
  for (std::int64_t i = 0; i < sizes.calls; ++i) calls.push_back(callers.begin(i % sizes.tenants, "", ""));
  core::RandomGenerator rng(static_cast<std::uint64_t>(sizes.seed) ^ 0xC0);
  std::vector<double> request;
  std::int64_t id = 0;
  for (int b = 0; b < blocks; ++b) {
    double const from = threadUs();
    for (int i = 0; i < blockRequests; ++i) {
      std::int64_t const tenant = static_cast<std::int64_t>(rng.below(static_cast<std::uint64_t>(sizes.tenants)));
      callers.end(callers.begin(tenant, "0b9f8a52-53b5-4d0e-9a36-" + std::to_string(100000000000 + id++),
                                "prefix-" + std::to_string(rng.below(1000))));
    }
    request.push_back((threadUs() - from) / blockRequests);
  }
  std::vector<double> piece;
  std::size_t passed = 0;
  for (int b = 0; b < blocks; ++b) {
    dataplane::ResponseStream s;
    s.connecting(false);
    s.head(dataplane::ResponseHead{200, {{"corkward-run", "run-0123456789abcdef"}}, -1, false, false, {}, {}});
    double const from = threadUs();
    for (int i = 0; i < blockPieces; ++i) passed += s.piece("data: 012345678901234567890123\n\n").chunk.size();
    piece.push_back((threadUs() - from) / blockPieces);
  }
  Rows out;
  out.push_back({"piece.passed", "router", "bytes", counted, static_cast<double>(passed) / (blocks * blockPieces)});
  out.push_back({"request", "router", "us", timed, middle(request)});
  out.push_back({"request.least", "router", "us", timed, *std::min_element(request.begin(), request.end())});
  out.push_back({"piece", "router", "us", timed, middle(piece)});
  std::vector<double> clocks;
  for (int b = 0; b < 5; ++b) {
    fleet.count(true);
    fleet.run(1000);
    clocks.push_back(fleet.clockUs(false));
    for (dataplane::CallId const c : calls) callers.node().onProgress(fleet.now(), c);
  }
  out.push_back({"clock", "router", "us/s", timed, middle(clocks)});
  out.push_back({"in_hand", "router", "calls", counted, static_cast<double>(callers.node().pendingCount())});
  return out;
}

}  // namespace

PartRow const partTable[] = {
    {"rest", rest, "messages, bytes, processor time and memory of a fleet at rest, with its changes"},
    {"links", links, "links that a process holds and dials"},
    {"change", change, "time until a change is in force, its bytes and processor time"},
    {"outage", outage, "time to found, to restart one node, to copy a member, to recover after an outage of all"},
    {"split", split, "regions lose each other"},
    {"zone", zone, "a zone goes dark"},
    {"state", state, "bytes of state at one node and one control machine"},
    {"cost", cost, "processor time of one node per request, piece and clock event"},
    {nullptr, nullptr, nullptr}};

PartRow const* findPart(std::string const& name) {
  for (PartRow const* p = partTable; p->name != nullptr; ++p)
    if (name == p->name) return p;
  return nullptr;
}

}  // namespace corkward::testing::capacity
