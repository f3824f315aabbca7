#include "fleet.h"

#include <QJsonArray>
#include <algorithm>

#include <corkward/core/json.h>
#include <corkward/transport/link.h>

namespace corkward::testing::capacity {

namespace {

constexpr Milliseconds routerTimerInterval = 20;
constexpr Milliseconds controllerTimerInterval = 25;
constexpr Milliseconds pollInterval = 10;
constexpr Milliseconds sameRegionDelay = 1;
constexpr Milliseconds syncDuration = 2;
constexpr Milliseconds responseTimeout = 60000;
constexpr Milliseconds linkIdleTimeout = std::chrono::milliseconds(transport::Link::idleTimeout).count();

std::string address(int net, std::size_t ix, int port) {
  return "10." + std::to_string(net) + "." + std::to_string(ix / 250) + "." + std::to_string(ix % 250 + 1) + ":" +
         std::to_string(port);
}

std::string zoneName(int zone) {
  return "z" + std::to_string(zone + 1);
}

std::string templateName(std::int64_t ix) {
  return "desk" + std::to_string(ix + 1);
}

std::string modelName(std::int64_t ix) {
  return "model" + std::to_string(ix + 1);
}

}  // namespace

std::string Fleet::familyOf(Sizes const& sizes, std::int64_t tenant) {
  return templateName(tenant % sizes.templates);
}

std::string Fleet::instanceOf(Sizes const& sizes, std::int64_t tenant) {
  return "tenant" + std::to_string(tenant / sizes.templates + 1);
}

Fleet::Fleet(Sizes const& sizes, dataplane::RouterTuning const& tuning)
    : sizes_(sizes), tuning_(tuning), rng_(static_cast<std::uint64_t>(sizes.seed)) {
  for (std::int64_t i = 0; i < sizes.control + sizes.nodes + 1; ++i) {
    bool const control = i < sizes.control;
    std::int64_t const ix = control ? i : i - sizes.control;
    Process p;
    p.zone = static_cast<int>(ix % sizes.zones);
    p.region = static_cast<int>(p.zone % sizes.regions);
    p.link = address(control ? 1 : 2, static_cast<std::size_t>(ix), 7400);
    if (control) p.disk = std::make_unique<SimulatedDisk>();
    byLink_[p.link] = processes_.size();
    processes_.push_back(std::move(p));
    poweredOff_.push_back(false);
    linkLastUsed_.emplace_back();
  }
}

void Fleet::push(Event event) {
  event.sequence = nextSequence_++;
  events_.push(std::move(event));
}

void Fleet::boot(std::size_t ix) {
  Process& p = processes_[ix];
  p.alive = true;
  poweredOff_[ix] = false;
  ++p.incarnation;
  transport::Contact self;
  self.link = p.link;
  self.httpAddress = p.link.substr(0, p.link.find(':')) + ":7401";
  self.zone = zoneName(p.zone);
  self.incarnation = 1764640000000ULL + static_cast<std::uint64_t>(now_);
  std::vector<std::string> seeds;
  std::vector<std::string> founders;
  for (std::size_t i = 0; i < firstRouter(); ++i) {
    if (i < 3) seeds.push_back(processes_[i].link);
    founders.push_back(processes_[i].link);
  }
  if (p.disk) {
    self.role = transport::controllerRole;
    p.control =
        std::make_unique<control::Controller>(self, "m" + std::to_string(rng_.next()), seeds, founders, rng_.next());
    p.writeAheadLog = std::make_unique<storage::WriteAheadLog>(*p.disk);
    storage::RecoveredState const got = p.writeAheadLog->recover();
    p.diskFree = now_;
    applyCommands(ix, p.control->restore(got.slots, got.damaged, now_));
  } else {
    self.role = transport::routerRole;
    p.data = std::make_unique<dataplane::RequestRouter>(self, seeds, rng_.next(), tuning_);
    applyCommands(ix, p.data->started(now_));
  }
  Event e;
  e.at = now_ + static_cast<Milliseconds>(rng_.below(p.disk ? controllerTimerInterval : routerTimerInterval));
  e.to = ix;
  e.incarnation = p.incarnation;
  push(std::move(e));
}

void Fleet::kill(std::size_t ix, bool poweredOff) {
  Process& p = processes_[ix];
  p.alive = false;
  poweredOff_[ix] = poweredOff;
  p.control.reset();
  p.data.reset();
  p.writeAheadLog.reset();
}

bool Fleet::startControllers() {
  for (std::size_t i = 0; i < firstRouter(); ++i) boot(i);
  return until(
      [this] {
        return std::all_of(processes_.begin(), processes_.begin() + static_cast<std::ptrdiff_t>(firstRouter()),
                           [this](Process const& p) { return p.control->ready(now_); });
      },
      responseTimeout);
}

bool Fleet::startRouters() {
  for (std::size_t i = firstRouter(); i < spare(); ++i) boot(i);
  return until([this] { return servingRouters() == static_cast<std::size_t>(sizes_.nodes); }, responseTimeout);
}

void Fleet::configure() {
  std::vector<std::uint64_t> pending;
  auto const waitForResponses = [&] {
    bool const all = until(
        [&] {
          return std::all_of(pending.begin(), pending.end(), [&](std::uint64_t t) { return response(t).has_value(); });
        },
        responseTimeout);
    for (std::uint64_t const t : pending)
      if (!all || response(t)->status > 201)
        throw SizesError("tenants: the controllers did not accept the configuration");
    pending.clear();
  };
  for (std::int64_t m = 0; m < sizes_.models; ++m) {
    QJsonArray list;
    for (std::int64_t r = m; r < sizes_.replicas; r += sizes_.models)
      list.append(QJsonObject{{"address", core::toQString(address(9, static_cast<std::size_t>(r), 8000))},
                              {"zone", core::toQString(zoneName(static_cast<int>(r % sizes_.zones)))},
                              {"state", "serving"}});
    pending.push_back(call(0, "PUT", "/v1/platform/pools/" + modelName(m),
                           core::jsonText(QJsonObject{{"generation", 1}, {"coldRate", 2}, {"replicas", list}}), ""));
  }
  waitForResponses();
  for (std::int64_t t = 0; t < sizes_.templates; ++t) {
    QJsonArray paths;
    for (std::int64_t i = 0; i < sizes_.paths; ++i)
      paths.append(QJsonObject{{"path", core::toQString("path" + std::to_string(i + 1))},
                               {"pool", core::toQString(modelName(t % sizes_.models))},
                               {"class", "short"}});
    QJsonObject const site{{"type", "string"}};
    pending.push_back(call(0, "PUT", "/v1/templates/" + templateName(t),
                           core::jsonText(QJsonObject{{"parameters", QJsonObject{{"site", site}}}, {"paths", paths}}),
                           "0"));
  }
  waitForResponses();
  for (std::int64_t i = 0; i < sizes_.tenants; ++i) {
    pending.push_back(call(0, "PUT", "/v1/templates/" + familyOf(sizes_, i) + "/instances/" + instanceOf(sizes_, i),
                           R"({"parameters":{"site":"lagos-west"}})", "0"));
    if (i % sizes_.templates == sizes_.templates - 1) waitForResponses();
  }
  waitForResponses();
}

std::uint64_t Fleet::call(std::size_t at, std::string const& method, std::string const& path, std::string const& body,
                          std::string const& ifMatch) {
  transport::OperatorCall c;
  c.token = nextToken_++;
  c.method = method;
  c.path = path;
  c.body = body;
  c.ifMatch = ifMatch;
  c.changeId = "change-" + std::to_string(sizes_.seed) + "-" + std::to_string(c.token);
  applyCommands(at, processes_[at].control->onOperatorCall(now_, c));
  return c.token;
}

std::optional<ReceivedResponse> Fleet::response(std::uint64_t token) const {
  auto const it = responses_.find(token);
  return it == responses_.end() ? std::nullopt : std::optional<ReceivedResponse>(it->second);
}

std::uint64_t Fleet::change(std::size_t at, std::int64_t tenant) {
  std::string const path = "/v1/templates/" + familyOf(sizes_, tenant) + "/instances/" + instanceOf(sizes_, tenant);
  std::map<std::string, consensus::CommittedValue> const& committed = processes_[at].control->registers().committed();
  auto const it = committed.find("family:" + familyOf(sizes_, tenant));
  qint64 revision = 0;
  if (it != committed.end())
    revision = it->second.value.value("instances")
                   .toObject()
                   .value(core::toQString(instanceOf(sizes_, tenant)))
                   .toObject()
                   .value("stamp")
                   .toInteger();
  return call(at, "PATCH", path, R"({"parameters":{"site":"site-)" + std::to_string(nextNote_++) + R"("}})",
              std::to_string(revision));
}

std::uint64_t Fleet::revisionOfTenant(std::int64_t tenant) const {
  std::uint64_t newest = 0;
  for (Process const& p : processes_) {
    if (!p.control) continue;
    auto const it = p.control->registers().committed().find("family:" + familyOf(sizes_, tenant));
    if (it != p.control->registers().committed().end()) newest = std::max(newest, it->second.revision);
  }
  return newest;
}

std::size_t Fleet::alive(bool control) const {
  return static_cast<std::size_t>(std::count_if(processes_.begin(), processes_.end(), [&](Process const& p) {
    return p.alive && (p.disk != nullptr) == control;
  }));
}

std::size_t Fleet::aliveRouters(int region) const {
  return static_cast<std::size_t>(std::count_if(processes_.begin(), processes_.end(), [&](Process const& p) {
    return p.alive && p.data && (region < 0 || p.region == region);
  }));
}

std::size_t Fleet::servingRouters(int region) const {
  return static_cast<std::size_t>(std::count_if(processes_.begin(), processes_.end(), [&](Process const& p) {
    return p.alive && p.data && (region < 0 || p.region == region) && p.data->servingLease(now_);
  }));
}

void Fleet::run(Milliseconds duration) {
  Milliseconds const end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    Event e = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = e.at;
    act(e);
  }
  now_ = end;
}

bool Fleet::until(std::function<bool()> const& done, Milliseconds limit) {
  for (Milliseconds const end = now_ + limit; now_ < end;) {
    if (done()) return true;
    run(pollInterval);
  }
  return done();
}

void Fleet::count(bool on) {
  counting_ = on;
  if (!on) return;
  countFrom_ = now_;
  controllerTallies_.clear();
  routerTallies_.clear();
  controllerTimerUs_ = 0;
  routerTimerUs_ = 0;
  diskBytes_ = 0;
}

std::uint64_t Fleet::diskUsage() const {
  std::uint64_t sum = 0;
  for (Process const& p : processes_)
    if (p.disk)
      for (std::string const& name : p.disk->list()) sum += p.disk->read(name).capacity();
  return sum;
}

void Fleet::discardPendingEvents() {
  events_ = {};
}

void Fleet::act(Event& event) {
  Process const& p = processes_[event.to];
  if (!p.alive || p.incarnation != event.incarnation) return;
  switch (event.kind) {
    case EventKind::clock:
      clock(event.to);
      break;
    case EventKind::message:
      deliver(event);
      break;
    case EventKind::written:
      onWritten(event);
      break;
  }
}

void Fleet::clock(std::size_t ix) {
  Process& p = processes_[ix];
  double const from = counting_ ? threadUs() : 0;
  if (p.control) {
    control::ControllerCommands c = p.control->onTimer(now_);
    if (counting_) controllerTimerUs_ += threadUs() - from;
    applyCommands(ix, std::move(c));
  } else {
    dataplane::RouterCommands c = p.data->onTimer(now_);
    if (counting_) routerTimerUs_ += threadUs() - from;
    applyCommands(ix, std::move(c));
  }
  Event e;
  e.at = now_ + (p.disk ? controllerTimerInterval : routerTimerInterval);
  e.to = ix;
  e.incarnation = p.incarnation;
  push(std::move(e));
}

void Fleet::deliver(Event& event) {
  Process& p = processes_[event.to];
  auto const lastUsed = linkLastUsed_[event.to].find(event.from);
  if (lastUsed != linkLastUsed_[event.to].end() && now_ - lastUsed->second < linkIdleTimeout) lastUsed->second = now_;
  std::string const from = processes_[event.from].link;
  transport::Envelope envelope;
  double start = 0;
  double unpacked = 0;
  if (!event.bytes.empty()) {
    start = threadUs();
    envelope = transport::unpack(event.bytes);
    unpacked = threadUs();
  }
  transport::Message const& message = event.bytes.empty() ? *event.message : envelope.message;
  control::ControllerCommands control;
  dataplane::RouterCommands data;
  if (p.control)
    control = p.control->onMessage(now_, from, message);
  else
    data = p.data->onMessage(now_, from, message);
  if (counting_ && !event.bytes.empty()) {
    double const handled = threadUs();
    Tally& t = (p.control ? controllerTallies_ : routerTallies_).of(message);
    ++t.received;
    t.receivedBytes += event.bytes.size();
    t.unpackUs += unpacked - start;
    t.handleUs += handled - unpacked;
  }
  if (p.control)
    applyCommands(event.to, std::move(control));
  else
    applyCommands(event.to, std::move(data));
}

void Fleet::onWritten(Event& event) {
  Process& p = processes_[event.to];
  bool ok = true;
  try {
    p.writeAheadLog->write(event.records);
  } catch (storage::StorageError const&) {
    ok = false;
  }
  if (counting_)
    for (storage::Record const& r : event.records) diskBytes_ += storage::frame(r).size();
  for (std::uint64_t const t : event.tickets) applyCommands(event.to, p.control->onPersisted(now_, t, ok));
}

void Fleet::applyCommands(std::size_t ix, control::ControllerCommands&& commands) {
  Process& p = processes_[ix];
  if (!commands.persists.empty()) {
    Event e;
    p.diskFree = std::max(p.diskFree, now_) + syncDuration;
    e.at = p.diskFree;
    e.kind = EventKind::written;
    e.to = ix;
    e.incarnation = p.incarnation;
    for (consensus::PersistCommand const& m : commands.persists) {
      e.records.push_back(storage::Record{m.key, m.payload});
      e.tickets.push_back(m.ticket);
    }
    push(std::move(e));
  }
  for (transport::Send const& s : commands.sends) send(ix, s);
  for (std::uint64_t const token : commands.callerChecks)
    applyCommands(ix, p.control->onCallerChecked(now_, token, true));
  for (control::OperatorResponse const& a : commands.responses)
    responses_[a.token] = ReceivedResponse{a.status, a.body, now_};
  for (std::string const& link : commands.probes) {
    auto const it = byLink_.find(link);
    if (it == byLink_.end() || processes_[it->second].alive || poweredOff_[it->second]) continue;
    if (regionsCut_ && processes_[it->second].region != p.region) continue;
    applyCommands(ix, p.control->onProbeResult(now_, link, true));
  }
}

void Fleet::applyCommands(std::size_t ix, dataplane::RouterCommands&& commands) {
  for (transport::Send const& s : commands.sends) send(ix, s);
}

std::size_t Fleet::openLinks(bool control) const {
  std::size_t out = 0;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (!processes_[i].alive || (processes_[i].disk != nullptr) != control) continue;
    for (auto const& [peer, lastUsedAt] : linkLastUsed_[i]) out += now_ - lastUsedAt < linkIdleTimeout ? 1 : 0;
  }
  return out;
}

Milliseconds Fleet::delay(Process const& a, Process const& b) const {
  return a.region == b.region ? sameRegionDelay : sameRegionDelay + sizes_.interRegionDelay;
}

void Fleet::send(std::size_t from, transport::Send const& send) {
  Process const& p = processes_[from];
  Event e;
  if (counting_) {
    double const start = threadUs();
    e.bytes = transport::pack(transport::Envelope{p.link, send.message});
    double const packed = threadUs();
    Tally& t = (p.disk ? controllerTallies_ : routerTallies_).of(send.message);
    ++t.sent;
    t.sentBytes += e.bytes.size();
    t.packUs += packed - start;
  }
  auto const it = byLink_.find(send.to);
  if (it == byLink_.end()) return;
  auto const [lastUsed, opened] = linkLastUsed_[from].try_emplace(it->second, now_);
  if (opened || now_ - lastUsed->second >= linkIdleTimeout) ++dialled_[p.disk ? 1 : 0];
  lastUsed->second = now_;
  Process const& to = processes_[it->second];
  if (!to.alive || (regionsCut_ && to.region != p.region)) return;
  if (!counting_) e.message = std::make_shared<transport::Message const>(send.message);
  e.at = now_ + delay(p, to);
  e.kind = EventKind::message;
  e.to = it->second;
  e.incarnation = to.incarnation;
  e.from = from;
  push(std::move(e));
}

}  // namespace corkward::testing::capacity
