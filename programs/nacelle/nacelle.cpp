#include "nacelle.h"

#include <QDateTime>
#include <algorithm>

#include <corkward/blueprint/blueprint.h>
#include <corkward/core/json.h>
#include <corkward/core/log.h>

#include "clock.h"

namespace corkward::programs {

namespace {

constexpr std::int64_t callerBuffer = 256 << 10;
constexpr char const* listPath = "/v1/platform/pools/";
constexpr core::Tick movingEvery = 1000;
constexpr core::Tick callerStall = 60000;

}  // namespace

Nacelle::Nacelle(Settings const& s, rotor::Tuning const& tuning, door::Mapping const& mapping, NacelleSurface surface)
    : settings_(s),
      mapping_(mapping),
      surface_(std::move(surface)),
      drain_(s.drainLimit, tuning.drainServe),
      plane_(contactOf(s, "nacelle"), s.seeds, freshSeed(), tuning),
      records_(this, s, [this](bool works) { plane_.recording(works); }),
      link_(this, s.link, [this](signal::Envelope e) { run(plane_.arrived(now(), e.from, e.message)); }, s.listen),
      relays_(surface_.kept, [] { return now(); }),
      server_(surface_.http.empty() ? std::vector<std::string>{s.http} : surface_.http, surface_.limits, events()) {
  run(plane_.started(now()));
  QObject::connect(&clock_, &QTimer::timeout, this, [this] { clockEvent(); });
  clock_.start(surface_.clockEveryMs);
  onTermination(this, [this] { drain(); });
}

door::Server::Events Nacelle::events() {
  door::Server::Events e;
  e.request = [this](door::Request request) { serve(std::move(request)); };
  e.gone = [this](std::uint64_t id) { gone(id); };
  e.room = [this](std::uint64_t id) {
    std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
    if (it == calls_.end() || it->second.pausedSince == 0 || it->second.relay == nullptr || server_.waiting(id) >= callerBuffer / 2) return;
    it->second.pausedSince = 0;
    it->second.relay->pause(false);
  };
  return e;
}

bool Nacelle::ready() const { return plane_.ready(now()); }

std::string Nacelle::metrics() const {
  return plane_.metrics(now()) + "# TYPE corkward_garbage_frames_total counter\ncorkward_garbage_frames_total " + std::to_string(link_.garbage()) +
         "\n# TYPE corkward_replica_connections_total counter\ncorkward_replica_connections_total " + std::to_string(relays_.opened()) +
         "\n# TYPE corkward_replica_connections_reused_total counter\ncorkward_replica_connections_reused_total " +
         std::to_string(relays_.reused()) + "\n";
}

bool Nacelle::ownPage(door::Request const& request) {
  if (plainPage(server_, request, [this] { return ready(); }, [this] { return metrics(); })) return true;
  std::string const path = pathOf(request);
  if (path == "/v1/state" && request.method == "GET") {
    QJsonObject state = plane_.state(now());
    if (std::optional<QJsonObject> const head = records_.head()) state.insert("audit", *head);
    server_.answer(request.id, 200, {{"content-type", "application/json"}}, core::jsonText(state) + "\n");
  } else if (path.rfind(listPath, 0) == 0 && request.method == "PUT") {
    run(plane_.platformList(now(), request.id, blueprint::labelOf(path.substr(std::string(listPath).size())), request.body));
  } else {
    return false;
  }
  return true;
}

void Nacelle::serve(door::Request request) {
  if (surface_.pages && surface_.pages(*this, request)) return;
  if (surface_.ownPages && ownPage(request)) return;
  door::CallerRequest caller = mapping_.callerRequest(request);
  if (!caller.request) {
    rotor::Deny const deny{request.id, caller.status, caller.reason, true, 0};
    server_.answer(request.id, caller.status, mapping_.denyFields(deny), mapping_.denyBody(deny));
    return;
  }
  std::uint64_t const id = request.id;
  Call& call = calls_[id];
  if (caller.events)
    call.stream.asEvents(std::move(caller.lastEvent));
  else
    call.lastEvent = std::move(caller.lastEvent);
  call.request = std::move(request);
  call.caller = std::move(*caller.request);
  rotor::Request const asked = call.caller;
  run(plane_.request(now(), asked));
}

void Nacelle::retune(rotor::Tuning const& tuning, std::vector<std::string> const& seeds) {
  bool const records = plane_.recording();
  plane_.retune(tuning, seeds);
  plane_.recording(records);
}

void Nacelle::platformList(std::string const& pool, std::string const& body) { run(plane_.platformList(now(), 0, pool, body)); }

void Nacelle::run(rotor::Commands&& commands) {
  if (surface_.limitsUnder && plane_.doorTerms() != doorTerms_) {
    doorTerms_ = plane_.doorTerms();
    server_.setLimits(surface_.limitsUnder(doorTerms_));
  }
  for (signal::Send const& s : commands.sends) link_.send(s.to, s.message);
  for (core::Note const& n : commands.notes) core::writeLog(n);
  for (rotor::CallCommand const& c : commands.calls)
    std::visit([this](auto const& m) { this->act(m); }, c);
}

void Nacelle::act(rotor::Connect const& m) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(m.call);
  if (it == calls_.end()) return;
  abandon(m.call);
  std::uint64_t const id = m.call;
  it->second.path = m.path;
  it->second.pausedSince = 0;
  if (m.events && !it->second.connected) it->second.stream.asEvents(std::move(it->second.lastEvent));
  it->second.connected = true;
  it->second.stream.connecting(m.resume);
  door::Relay::Events e;
  e.connected = [this, id] { run(plane_.connected(now(), id)); };
  e.denied = [this, id] { run(plane_.connectDenied(now(), id)); };
  e.head = [this, id](door::ReplicaHead const& head) { replicaHead(id, head); };
  e.piece = [this, id](std::string bytes) { replicaPiece(id, std::move(bytes)); };
  e.ended = [this, id](bool whole) { replicaEnded(id, whole); };
  it->second.relay = m.life.empty() ? relays_.lend(m.address, m.fresh, std::move(e), this) : new door::Relay(m.address, m.life, std::move(e), this);
}

void Nacelle::act(rotor::HandOver const& m) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(m.call);
  if (it == calls_.end() || it->second.relay == nullptr) return;
  Call& call = it->second;
  if (!m.regime.empty() && call.unrecorded) {
    abandon(m.call);
    run(plane_.ended(now(), m.call, rotor::End::notRun));
    return;
  }
  rotor::Resume const resume = call.stream.resume();
  call.relay->send(mapping_.replicaRequest(door::Dispatch{call.request, call.caller, call.path, m, resume}), call.request.body);
}

void Nacelle::act(rotor::Abandon const& m) { abandon(m.call); }

void Nacelle::act(rotor::Record const& m) {
  bool const written = records_.write(m);
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(m.call);
  if (it != calls_.end()) it->second.unrecorded = !written;
}

void Nacelle::act(rotor::Deny const& m) {
  abandon(m.call);
  calls_.erase(m.call);
  server_.answer(m.call, m.status, mapping_.denyFields(m), mapping_.denyBody(m));
}

void Nacelle::act(rotor::Answer const& m) {
  if (m.call == 0) return;
  door::WholeAnswer const a = ownOperators_.answer({}, m.status, m.body);
  server_.answer(m.call, a.status, a.fields, a.body);
}

void Nacelle::act(rotor::Abort const& m) {
  abandon(m.call);
  calls_.erase(m.call);
  server_.abort(m.call);
}

void Nacelle::abandon(std::uint64_t id, bool readRest) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end() || it->second.relay == nullptr) return;
  door::Relay* const relay = std::exchange(it->second.relay, nullptr);
  if (readRest) {
    relay->release();
    return;
  }
  relay->stop();
  relay->deleteLater();
}

void Nacelle::replicaHead(std::uint64_t id, door::ReplicaHead const& head) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
  if (it != calls_.end()) steps(id, it->second.stream.head(mapping_.head(head, it->second.request)));
}

void Nacelle::replicaEnded(std::uint64_t id, bool whole) {
  std::unordered_map<std::uint64_t, Call>::iterator const it = calls_.find(id);
  if (it == calls_.end()) return;
  bool const forgotten = !whole && it->second.relay != nullptr && it->second.relay->forgotten();
  rotor::StreamSteps out = it->second.stream.ended(whole);
  if (forgotten && out.ended == rotor::End::broken) out.ended = rotor::End::forgotten;
  steps(id, std::move(out));
}

void Nacelle::steps(std::uint64_t id, rotor::StreamSteps&& out) {
  if (out.failed) run(plane_.failed(now(), id));
  if (out.begin) server_.begin(id, out.begin->status, out.begin->fields, out.begin->length, out.begin->reason);
  if (!out.piece.empty()) server_.piece(id, out.piece);
  if (out.firstWord) run(plane_.firstWord(now(), id, *out.firstWord));
  if (out.abandon) abandon(id, out.ended == rotor::End::notRun);
  if (out.finish) {
    calls_.erase(id);
    server_.finish(id);
  }
  if (out.ended) run(plane_.ended(now(), id, *out.ended));
}

void Nacelle::replicaPiece(std::uint64_t id, std::string bytes) {
  std::unordered_map<std::uint64_t, Call>::iterator it = calls_.find(id);
  if (it == calls_.end()) return;
  steps(id, it->second.stream.piece(std::move(bytes)));
  it = calls_.find(id);
  if (it == calls_.end()) return;
  if (now() - it->second.movedAt >= movingEvery) {
    it->second.movedAt = now();
    run(plane_.moving(now(), id));
  }
  it = calls_.find(id);
  if (it == calls_.end() || server_.waiting(id) <= callerBuffer || it->second.relay == nullptr || it->second.pausedSince != 0) return;
  it->second.pausedSince = now();
  it->second.relay->pause(true);
}

void Nacelle::watchPaused() {
  if (now() < pausedLookAt_) return;
  pausedLookAt_ = now() + movingEvery;
  std::vector<std::uint64_t> stalled;
  for (std::unordered_map<std::uint64_t, Call>::value_type& c : calls_) {
    if (c.second.pausedSince == 0) continue;
    run(plane_.moving(now(), c.first));
    if (now() - c.second.pausedSince > callerStall) stalled.push_back(c.first);
  }
  for (std::uint64_t const id : stalled) {
    server_.abort(id);
    gone(id);
  }
}

void Nacelle::gone(std::uint64_t id) {
  run(plane_.callerGone(now(), id));
  abandon(id);
  calls_.erase(id);
}

void Nacelle::clockEvent() {
  watchPaused();
  plane_.wallTime(now(), QDateTime::currentMSecsSinceEpoch());
  run(plane_.clockEvent(now()));
  records_.clockEvent();
  drain_.look(server_, plane_.inHand());
}

void Nacelle::drain() {
  if (!drain_.begin()) return;
  server_.leave();
  run(plane_.drain(now()));
}

}  // namespace corkward::programs
