#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <corkward/core/json.h>
#include <corkward/core/log.h>
#include <corkward/core/workers.h>
#include <corkward/door/mapping.h>
#include <corkward/door/server.h>
#include <corkward/ledger/ledger.h>
#include <corkward/signal/link.h>
#include <corkward/substation/plane.h>

#include "clock.h"
#include "process.h"
#include "settings.h"

namespace corkward::programs {

namespace {

constexpr int clockEveryMs = 25;
constexpr int probeLimitMs = 300;

/// Puts the control plane's library together with its links, its door and its disk.
class Substation : public QObject {
 public:
  explicit Substation(Settings const& s)
      : settings_(s),
        drain_(s.drainLimit),
        seed_(freshSeed()),
        folder_(ledger::openFolder(s.data)),
        log_(std::make_unique<ledger::Ledger>(*folder_)),
        plane_(contactOf(s, "substation"), freshName(), s.seeds, s.founders, seed_),
        link_(this, s.link, [this](signal::Envelope e) { run(plane_.arrived(now(), e.from, e.message)); }, s.listen),
        server_(s.http, door::Limits{.body = 2U << 20}, events()),
        disk_(1) {
    lockFolder();
    ledger::Recovered got = log_->recover();
    if (got.tornTail) core::writeLog(core::Note{"torn-tail-cut", {}});
    if (got.damaged) {
      core::writeLog(core::Note{"ledger-damaged", {{"place", got.damage}}});
      setAside();
    }
    run(plane_.restore(got.slots, got.damaged, now()));
    QObject::connect(&clock_, &QTimer::timeout, this, [this] { clockEvent(); });
    clock_.start(clockEveryMs);
    onTermination(this, [this] { drain(); });
    core::writeLog(core::Note{"started", {{"link", link_.address()}, {"http", server_.address()}, {"zone", s.zone}}});
  }

 private:
  door::Server::Events events() {
    door::Server::Events e;
    e.request = [this](door::Request request) { serve(std::move(request)); };
    return e;
  }

  void lockFolder() {
    int const fd = ::open(settings_.data.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0 || ::flock(fd, LOCK_EX | LOCK_NB) != 0) throw SettingsError("data: in use by another process: " + settings_.data);
  }

  void setAside() {
    for (std::string const& name : folder_->list())
      if (name.rfind("damaged-", 0) != 0) folder_->rename(name, "damaged-" + std::to_string(now()) + "-" + name);
    folder_->syncFolder();
    log_ = std::make_unique<ledger::Ledger>(*folder_);
    log_->recover();
  }

  void serve(door::Request request) {
    if (plainPage(server_, request, [this] { return plane_.ready(now()); },
                  [this] {
                    return plane_.metrics(now()) + "# TYPE corkward_garbage_frames_total counter\ncorkward_garbage_frames_total " +
                           std::to_string(link_.garbage()) + "\n# TYPE corkward_link_redials_total counter\ncorkward_link_redials_total " +
                           std::to_string(link_.redials()) + "\n";
                  }))
      return;
    run(plane_.operatorCall(now(), door::operatorCall(request, freshName())));
  }

  void run(substation::Commands&& commands) {
    if (!commands.persists.empty()) {
      std::vector<ledger::Record> records;
      std::vector<std::uint64_t> tickets;
      for (mooring::Persist const& p : commands.persists) {
        records.push_back(ledger::Record{p.key, p.payload});
        tickets.push_back(p.ticket);
      }
      disk_.run([this, records = std::move(records), tickets = std::move(tickets)] {
        bool ok = true;
        std::string why;
        try {
          log_->write(records);
        } catch (ledger::Error const& e) {
          ok = false;
          why = e.what();
        }
        QMetaObject::invokeMethod(
            this,
            [this, tickets, ok, why] {
              if (!ok) core::writeLog(core::Note{"write-failed", {{"error", why}}});
              for (std::uint64_t const t : tickets) run(plane_.written(now(), t, ok));
            },
            Qt::QueuedConnection);
      });
    }
    for (signal::Send const& s : commands.sends) link_.send(s.to, s.message);
    for (substation::Answer const& a : commands.answers)
      server_.answer(a.token, a.status, door::operatorFields(a.status, a.body), core::jsonText(a.body) + "\n");
    for (std::string const& p : commands.probes) probe(p);
    for (core::Note const& n : commands.notes) core::writeLog(n);
  }

  void probe(std::string const& link) {
    std::pair<std::string, std::uint16_t> const at = door::splitAddress(link);
    QTcpSocket* const socket = new QTcpSocket(this);
    QObject::connect(socket, &QTcpSocket::errorOccurred, this, [this, socket, link](QAbstractSocket::SocketError e) {
      if (e == QAbstractSocket::ConnectionRefusedError) run(plane_.probed(now(), link, true));
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

  void clockEvent() {
    run(plane_.clockEvent(now()));
    drain_.look(plane_.inHand());
  }

  void drain() {
    if (!drain_.begin()) return;
    server_.leave();
    core::writeLog(core::Note{"draining", {{"in-hand", std::to_string(plane_.inHand())}}});
    run(plane_.drain(now()));
  }

  Settings settings_;
  Drain drain_;
  std::uint64_t seed_;
  std::unique_ptr<ledger::Folder> folder_;
  std::unique_ptr<ledger::Ledger> log_;
  substation::Plane plane_;
  signal::Link link_;
  door::Server server_;
  QTimer clock_;
  core::Workers disk_;
};

}  // namespace

}  // namespace corkward::programs

int main(int argc, char** argv) {
  return corkward::programs::runProgram<corkward::programs::Substation>("corkward-substation", corkward::programs::Role::substation, argc, argv);
}
