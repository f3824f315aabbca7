#include "substation_program.h"

#include <QDateTime>
#include <QHostAddress>
#include <QTcpSocket>

#include <corkward/core/log.h>

#include "clock.h"

namespace corkward::programs {

namespace {

constexpr int probeLimitMs = 300;
/// How often a disk that failed is tried again.
constexpr int diskAgainMs = 1000;
constexpr char const* triedRecord = "tried";

}  // namespace

Substation::Substation(Settings const& s, substation::Tuning const& tuning, door::OperatorMapping const& mapping, SubstationSurface surface)
    : settings_(s),
      tuning_(tuning),
      mapping_(mapping),
      surface_(std::move(surface)),
      drain_(s.drainLimit),
      seed_(freshSeed()),
      folder_(ledger::openFolder(s.data)),
      lock_("data", s.data),
      log_(std::make_unique<ledger::Ledger>(*folder_)),
      plane_(std::in_place, contactOf(s, "substation"), freshName(), s.seeds, s.founders, seed_, tuning),
      link_(this, s.link, [this](signal::Envelope e) { run(plane_->arrived(now(), e.from, e.message)); }, s.listen),
      server_(surface_.http.empty() ? std::vector<std::string>{s.http} : surface_.http, surface_.limits, events()),
      disk_(1) {
  ledger::Recovered got = log_->recover();
  if (got.tornTail) core::writeLog(core::Note{"torn-tail-cut", {}});
  if (got.damaged) {
    core::writeLog(core::Note{"ledger-damaged", {{"place", got.damage}}});
    setAside();
  }
  run(plane_->restore(got.slots, got.damaged, now()));
  QObject::connect(&clock_, &QTimer::timeout, this, [this] { clockEvent(); });
  clock_.start(surface_.clockEveryMs);
  QObject::connect(&diskAgain_, &QTimer::timeout, this, [this] { tryDisk(); });
  onTermination(this, [this] { drain(); });
  core::writeLog(core::Note{"started", {{"link", link_.address()}, {"http", server_.address()}, {"zone", s.zone}}});
}

door::Server::Events Substation::events() {
  door::Server::Events e;
  e.request = [this](door::Request request) { serve(std::move(request)); };
  e.gone = [this](std::uint64_t id) { calls_.erase(id); };
  return e;
}

void Substation::platformLists(std::map<std::string, blueprint::Pool> const& lists) { run(plane_->platformLists(now(), lists)); }

bool Substation::readsLists() const { return plane_->readsLists(now()); }

void Substation::retune(std::vector<std::string> const& seeds) {
  settings_.seeds = seeds;
  plane_->setSeeds(seeds);
}

void Substation::setAside() {
  for (std::string const& name : folder_->list())
    if (name.rfind("damaged-", 0) != 0) folder_->rename(name, "damaged-" + std::to_string(now()) + "-" + name);
  folder_->syncFolder();
  log_ = std::make_unique<ledger::Ledger>(*folder_);
  log_->recover();
}

void Substation::serve(door::Request request) {
  if (surface_.pages && surface_.pages(*this, request)) return;
  if (surface_.ownPages && plainPage(server_, request, [this] { return ready(); }, [this] { return metrics(); })) return;
  door::OperatorRequest asked = mapping_.operatorCall(request, freshName());
  if (!asked.call) {
    server_.answer(request.id, asked.answer.status, asked.answer.fields, asked.answer.body);
    return;
  }
  asked.call->token = request.id;
  signal::Call const call = std::move(*asked.call);
  signal::Call& kept = calls_[call.token];
  kept.token = call.token;
  kept.method = call.method;
  kept.path = call.path;
  kept.ifMatch = call.ifMatch;
  kept.changeId = call.changeId;
  kept.dryRun = call.dryRun;
  run(plane_->operatorCall(now(), call));
}

bool Substation::ready() const { return plane_->ready(now()); }

std::string Substation::metrics() const {
  return plane_->metrics(now()) + "# TYPE corkward_garbage_frames_total counter\ncorkward_garbage_frames_total " + std::to_string(link_.garbage()) +
         "\n";
}

void Substation::answer(substation::Answer const& a) {
  std::unordered_map<std::uint64_t, signal::Call>::iterator const it = calls_.find(a.token);
  if (it == calls_.end()) return;
  door::WholeAnswer const out = mapping_.answer(it->second, a.status, a.body);
  calls_.erase(it);
  server_.answer(a.token, out.status, out.fields, out.body);
}

void Substation::run(substation::Commands&& commands) {
  if (!commands.persists.empty()) {
    std::vector<ledger::Record> records;
    std::vector<std::uint64_t> tickets;
    for (mooring::Persist const& p : commands.persists) {
      records.push_back(ledger::Record{p.key, p.payload});
      tickets.push_back(p.ticket);
    }
    disk_.run([this, life = life_, records = std::move(records), tickets = std::move(tickets)] {
      bool ok = life == diskLife_;
      std::string why;
      try {
        if (ok) log_->write(records);
      } catch (ledger::Error const& e) {
        ok = false;
        why = e.what();
      }
      QMetaObject::invokeMethod(
          this,
          [this, life, tickets, ok, why] {
            if (life != life_) return;
            if (!ok) {
              core::writeLog(core::Note{"write-failed", {{"error", why}}});
              if (!diskAgain_.isActive()) diskAgain_.start(diskAgainMs);
            }
            for (std::uint64_t const t : tickets) run(plane_->written(now(), t, ok));
          },
          Qt::QueuedConnection);
    });
  }
  for (signal::Send const& s : commands.sends) link_.send(s.to, s.message);
  for (substation::Answer const& a : commands.answers) answer(a);
  for (std::string const& p : commands.probes) probe(p);
  for (core::Note const& n : commands.notes) core::writeLog(n);
}

void Substation::tryDisk() {
  disk_.run([this, life = life_] {
    if (life != diskLife_) return;
    ledger::Recovered got;
    try {
      log_ = std::make_unique<ledger::Ledger>(*folder_);
      got = log_->recover();
      if (got.damaged) setAside();
      std::vector<ledger::Record> records{ledger::Record{triedRecord, ""}};
      if (!got.damaged)
        for (std::map<std::string, std::string>::value_type const& s : got.slots) records.push_back(ledger::Record{s.first, s.second});
      log_->write(records);
    } catch (ledger::Error const&) {
      return;
    }
    ++diskLife_;
    QMetaObject::invokeMethod(this, [this, got] { startOver(got); }, Qt::QueuedConnection);
  });
}

void Substation::startOver(ledger::Recovered const& got) {
  diskAgain_.stop();
  ++life_;
  core::writeLog(core::Note{"disk-again", {}});
  std::vector<std::uint64_t> open;
  for (std::unordered_map<std::uint64_t, signal::Call>::value_type const& c : calls_) open.push_back(c.first);
  for (std::uint64_t const token : open)
    answer(substation::Answer{token, 504, {{"error", "unknown"}, {"reason", "this machine's disk had failed; ask again"}}});
  plane_.emplace(contactOf(settings_, "substation"), freshName(), settings_.seeds, settings_.founders, freshSeed(), tuning_);
  run(plane_->restore(got.slots, got.damaged, now()));
  if (draining_) run(plane_->drain(now()));
}

void Substation::probe(std::string const& link) {
  std::pair<std::string, std::uint16_t> const at = door::splitAddress(link);
  QTcpSocket* const socket = new QTcpSocket(this);
  QObject::connect(socket, &QTcpSocket::errorOccurred, this, [this, socket, link](QAbstractSocket::SocketError e) {
    if (e == QAbstractSocket::ConnectionRefusedError) run(plane_->probed(now(), link, true));
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

void Substation::clockEvent() {
  plane_->wallTime(QDateTime::currentMSecsSinceEpoch());
  run(plane_->clockEvent(now()));
  drain_.look(server_, plane_->inHand());
}

void Substation::drain() {
  if (!drain_.begin()) return;
  draining_ = true;
  server_.leave();
  core::writeLog(core::Note{"draining", {{"in-hand", std::to_string(plane_->inHand())}}});
  run(plane_->drain(now()));
}

}  // namespace corkward::programs
