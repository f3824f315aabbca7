#include "control_daemon.h"

#include <QDateTime>
#include <QHostAddress>
#include <QTcpSocket>

#include <corkward/core/log.h>
#include <corkward/core/guarantees.h>

#include "clock.h"

namespace corkward::programs {

namespace {

constexpr int probeLimitMs = 300;
/// How often a disk that failed is tried again.
constexpr int diskAgainMs = 1000;
constexpr char const* triedRecord = "tried";

}  // namespace

ControlDaemon::ControlDaemon(Settings const& s, control::ControllerTuning const& tuning,
                             http::OperatorMapping const& mapping, ControllerSurface surface)
    : settings_(s),
      tuning_(tuning),
      mapping_(mapping),
      surface_(std::move(surface)),
      drain_(s.drainLimitMs),
      seed_(freshSeed()),
      folder_(storage::openDirectory(s.data)),
      lock_("data", s.data),
      log_(std::make_unique<storage::WriteAheadLog>(*folder_)),
      reducer_(std::in_place, contactOf(s, transport::controllerRole), freshName(), s.seeds, s.founders, seed_, tuning),
      link_(
          this, s.link, [this](transport::Envelope e) { run(reducer_->onMessage(now(), e.from, e.message)); },
          s.listen),
      server_(surface_.http.empty() ? std::vector<std::string>{s.http} : surface_.http, surface_.limits, events()),
      disk_(1) {
  storage::RecoveredState const got = recoverAtStart();
  run(reducer_->restore(got.slots, got.damaged, now()));
  QObject::connect(&clock_, &QTimer::timeout, this, [this] { clockEvent(); });
  clock_.start(surface_.clockEveryMs);
  QObject::connect(&diskAgain_, &QTimer::timeout, this, [this] { tryDisk(); });
  onTermination(this, [this] { drain(); });
  core::writeLog(core::LogEvent{"started", {{"link", link_.address()}, {"http", server_.address()}, {"zone", s.zone}}});
}

storage::RecoveredState ControlDaemon::recoverAtStart() {
  storage::RecoveredState got;
  try {
    got = log_->recover();
    if (got.tornTail) core::writeLog(core::LogEvent{"torn-tail-cut", {}});
    if (got.damaged) {
      core::writeLog(core::LogEvent{"ledger-damaged", {{"place", got.damage}}});
      setAside();
    }
  } catch (storage::StorageError const& e) {
    // The log refuses the first write, of a fresh id, so nothing is announced until the disk was tried again and read.
    core::writeLog(core::LogEvent{"read-failed", {{"error", e.what()}}});
    got = storage::RecoveredState{};
    got.damaged = true;
  }
  return got;
}

http::Server::Events ControlDaemon::events() {
  http::Server::Events e;
  e.request = [this](http::Request request) { serve(std::move(request)); };
  e.disconnected = [this](std::uint64_t id) { calls_.erase(id); };
  return e;
}

void ControlDaemon::platformLists(std::map<std::string, config::EndpointList> const& lists) {
  run(reducer_->updateEndpointLists(now(), lists));
}

bool ControlDaemon::readsLists() const {
  return reducer_->isEndpointListReader(now());
}

void ControlDaemon::retune(std::vector<std::string> const& seeds) {
  settings_.seeds = seeds;
  reducer_->setSeeds(seeds);
}

void ControlDaemon::setAside() {
  storage::quarantine(*folder_, std::to_string(now()));
  log_ = std::make_unique<storage::WriteAheadLog>(*folder_);
  log_->recover();
}

void ControlDaemon::serve(http::Request request) {
  if (surface_.pages && surface_.pages(*this, request)) return;
  if (surface_.ownPages && plainPage(
                               server_, request, [this] { return ready(); }, [this] { return metrics(); }))
    return;
  http::OperatorRequest asked = mapping_.operatorCall(request, freshName());
  if (!asked.call) {
    server_.answer(request.id, asked.answer.status, asked.answer.fields, asked.answer.body);
    return;
  }
  asked.call->token = request.id;
  transport::OperatorCall const call = std::move(*asked.call);
  transport::OperatorCall& kept = calls_[call.token];
  kept.token = call.token;
  kept.method = call.method;
  kept.path = call.path;
  kept.ifMatch = call.ifMatch;
  kept.changeId = call.changeId;
  kept.dryRun = call.dryRun;
  run(reducer_->onOperatorCall(now(), call));
}

bool ControlDaemon::ready() const {
  return reducer_->ready(now());
}

std::string ControlDaemon::metrics() const {
  return reducer_->metrics(now()) + "# TYPE corkward_garbage_frames_total counter\ncorkward_garbage_frames_total " +
         std::to_string(link_.malformedFrames()) + "\n" + core::guaranteeMetrics();
}

void ControlDaemon::answer(control::OperatorResponse const& a) {
  std::unordered_map<std::uint64_t, transport::OperatorCall>::iterator const it = calls_.find(a.token);
  if (it == calls_.end()) return;
  http::Response const out = mapping_.answer(it->second, a.status, a.body);
  calls_.erase(it);
  server_.answer(a.token, out.status, out.fields, out.body);
}

void ControlDaemon::run(control::ControllerCommands&& commands) {
  if (!commands.persists.empty()) {
    std::vector<storage::Record> records;
    std::vector<std::uint64_t> tickets;
    for (consensus::PersistCommand const& p : commands.persists) {
      records.push_back(storage::Record{p.key, p.payload});
      tickets.push_back(p.ticket);
    }
    disk_.run([this, life = life_, records = std::move(records), tickets = std::move(tickets)] {
      bool ok = life == diskLife_;
      std::string why;
      try {
        if (ok) log_->write(records);
      } catch (storage::StorageError const& e) {
        ok = false;
        why = e.what();
      }
      QMetaObject::invokeMethod(
          this,
          [this, life, tickets, ok, why] {
            if (life != life_) return;
            if (!ok) {
              core::writeLog(core::LogEvent{"write-failed", {{"error", why}}});
              if (!diskAgain_.isActive()) diskAgain_.start(diskAgainMs);
            }
            for (std::uint64_t const t : tickets) run(reducer_->onPersisted(now(), t, ok));
          },
          Qt::QueuedConnection);
    });
  }
  for (transport::Send const& s : commands.sends) link_.send(s.to, s.message);
  for (control::OperatorResponse const& a : commands.responses) answer(a);
  for (std::string const& p : commands.probes) probe(p);
  for (core::LogEvent const& n : commands.logEvents) core::writeLog(n);
}

void ControlDaemon::tryDisk() {
  disk_.run([this, life = life_] {
    if (life != diskLife_) return;
    storage::RecoveredState got;
    try {
      log_ = std::make_unique<storage::WriteAheadLog>(*folder_);
      got = log_->recover();
      if (got.damaged) setAside();
      std::vector<storage::Record> records{storage::Record{triedRecord, ""}};
      if (!got.damaged)
        for (std::map<std::string, std::string>::value_type const& s : got.slots)
          records.push_back(storage::Record{s.first, s.second});
      log_->write(records);
    } catch (storage::StorageError const&) {
      return;
    }
    ++diskLife_;
    QMetaObject::invokeMethod(
        this, [this, got] { startOver(got); }, Qt::QueuedConnection);
  });
}

void ControlDaemon::startOver(storage::RecoveredState const& got) {
  diskAgain_.stop();
  ++life_;
  core::writeLog(core::LogEvent{"disk-again", {}});
  std::vector<std::uint64_t> open;
  for (std::unordered_map<std::uint64_t, transport::OperatorCall>::value_type const& c : calls_)
    open.push_back(c.first);
  for (std::uint64_t const token : open)
    answer(control::OperatorResponse{
        token, 504, {{"error", "unknown"}, {"reason", "this machine's disk had failed; ask again"}}});
  reducer_.emplace(contactOf(settings_, transport::controllerRole), freshName(), settings_.seeds, settings_.founders,
                   freshSeed(), tuning_);
  run(reducer_->restore(got.slots, got.damaged, now()));
  if (draining_) run(reducer_->drain(now()));
}

void ControlDaemon::probe(std::string const& link) {
  std::pair<std::string, std::uint16_t> const at = http::splitAddress(link);
  QTcpSocket* const socket = new QTcpSocket(this);
  QObject::connect(socket, &QTcpSocket::errorOccurred, this, [this, socket, link](QAbstractSocket::SocketError e) {
    if (e == QAbstractSocket::ConnectionRefusedError) run(reducer_->onProbeResult(now(), link, true));
    socket->deleteLater();
  });
  QObject::connect(socket, &QTcpSocket::connected, this, [socket] {
    socket->abort();
    socket->deleteLater();
  });
  QTimer::singleShot(probeLimitMs, socket, [socket] {
    socket->abort();
    socket->deleteLater();
  });
  socket->connectToHost(QHostAddress(QString::fromStdString(at.first)), at.second);
}

void ControlDaemon::clockEvent() {
  reducer_->setWallTime(QDateTime::currentMSecsSinceEpoch());
  run(reducer_->onTimer(now()));
  std::size_t const stillHeld = draining_ && !reducer_->handoverComplete(now()) ? 1 : 0;
  drain_.look(server_, reducer_->pendingCount() + stillHeld);
}

void ControlDaemon::drain() {
  if (!drain_.begin()) return;
  draining_ = true;
  server_.startDraining();
  core::writeLog(core::LogEvent{"draining", {{"in-hand", std::to_string(reducer_->pendingCount())}}});
  run(reducer_->drain(now()));
}

}  // namespace corkward::programs
