#include "fault_proxy.h"

#include <QHostAddress>
#include <QRegularExpression>
#include <QTcpSocket>
#include <QTimer>
#include <vector>

#include <corkward/http/server.h>

namespace corkward::testing {

struct FaultProxy::Pair {
  QTcpSocket* a = nullptr;
  QTcpSocket* b = nullptr;
  ConnectionFault fault = ConnectionFault::pass;
  std::int64_t left = 0;
  bool stalled = false;
  QByteArray slow;
  bool bClosed = false;
  /// Link address of the sender, once its first message has named it.
  std::string sender;
};

namespace {

/// The first ip:port that the bytes hold as text; empty: none. A message begins with its sender's.
std::string firstAddress(QByteArray const& bytes) {
  static QRegularExpression const address(R"(\d+\.\d+\.\d+\.\d+:\d+)");
  return address.match(QString::fromLatin1(bytes)).captured().toStdString();
}

}  // namespace

FaultProxy::FaultProxy(std::string const& target, std::string const& ip, std::uint64_t seed, int darkMs)
    : target_(target), rng_(seed), darkMs_(darkMs) {
  server_.setListenBacklogSize(512);
  if (!server_.listen(QHostAddress(QString::fromStdString(ip)), 0)) throw http::HttpError("no free port at " + ip);
  address_ = ip + ":" + std::to_string(server_.serverPort());
  QObject::connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
}

FaultProxy::~FaultProxy() {
  std::map<Pair*, std::shared_ptr<Pair>> const all = std::move(pairs_);
  for (auto const& [key, pair] : all)
    for (QTcpSocket* const s : {pair->a, pair->b}) {
      s->disconnect();
      s->abort();
    }
}

void FaultProxy::accept() {
  while (QTcpSocket* const caller = server_.nextPendingConnection()) {
    if (!cut_) {
      openPair(caller);
      continue;
    }
    caller->abort();
    caller->deleteLater();
  }
}

void FaultProxy::openPair(QTcpSocket* caller) {
  std::shared_ptr<Pair> const p = std::make_shared<Pair>();
  p->a = caller;
  p->b = new QTcpSocket(this);
  caller->setParent(this);
  if (rng_.chance(share_)) {
    ++harmed_;
    p->fault = static_cast<ConnectionFault>(1 + rng_.below(6));
    p->left = static_cast<std::int64_t>(rng_.below(p->fault == ConnectionFault::cutUp ? 300 : 1500));
  }
  pairs_[p.get()] = p;
  connectSignals(p);
  if (p->fault != ConnectionFault::dark) {
    http::SocketAddress const target = http::parseSocketAddress(target_);
    p->b->connectToHost(QHostAddress(QString::fromStdString(target.host)), target.port);
    return;
  }
  ++dark_;
  std::weak_ptr<Pair> const weak = p;
  QTimer::singleShot(darkMs_, p->a, [this, weak] {
    if (std::shared_ptr<Pair> const pair = weak.lock()) end(pair, true);
  });
}

void FaultProxy::connectSignals(std::shared_ptr<Pair> const& p) {
  std::weak_ptr<Pair> const weak = p;
  auto const whileOpen = [weak](auto action) {
    return [weak, action] {
      if (std::shared_ptr<Pair> const pair = weak.lock()) action(pair);
    };
  };
  auto const passUp = [this](std::shared_ptr<Pair> const& pair) { pass(pair, true); };
  auto const passDown = [this](std::shared_ptr<Pair> const& pair) { pass(pair, false); };
  auto const reset = [this](std::shared_ptr<Pair> const& pair) { end(pair, true); };
  QObject::connect(p->a, &QTcpSocket::readyRead, this, whileOpen(passUp));
  QObject::connect(p->b, &QTcpSocket::readyRead, this, whileOpen(passDown));
  QObject::connect(p->b, &QTcpSocket::connected, this, whileOpen(passUp));
  QObject::connect(p->a, &QTcpSocket::disconnected, this, whileOpen(reset));
  QObject::connect(p->b, &QTcpSocket::disconnected, this,
                   whileOpen([this](std::shared_ptr<Pair> const& pair) { targetClosed(pair); }));
  QObject::connect(p->b, &QTcpSocket::errorOccurred, this, whileOpen([reset](std::shared_ptr<Pair> const& pair) {
                     if (pair->b->state() == QAbstractSocket::UnconnectedState && !pair->bClosed) reset(pair);
                   }));
}

void FaultProxy::targetClosed(std::shared_ptr<Pair> const& p) {
  p->bClosed = true;
  pass(p, false);
  if (isOpen(p) && !p->stalled && !paused_ && p->slow.isEmpty()) end(p, false);
}

void FaultProxy::pass(std::shared_ptr<Pair> const& p, bool up) {
  if (!isOpen(p) || paused_ || p->fault == ConnectionFault::dark) return;
  bool const blocked = up ? p->b->state() != QAbstractSocket::ConnectedState : p->stalled;
  if (blocked) return;
  QByteArray const bytes = (up ? p->a : p->b)->readAll();
  if (bytes.isEmpty()) return;
  if (!up) {
    passDown(p, bytes);
    return;
  }
  if (cutSender(*p, bytes)) {
    end(p, true);
    return;
  }
  if (p->fault == ConnectionFault::cutUp && p->left < bytes.size()) {
    cutAt(p, *p->b, bytes);
    return;
  }
  p->left -= bytes.size();
  p->b->write(bytes);
}

void FaultProxy::passDown(std::shared_ptr<Pair> const& p, QByteArray const& bytes) {
  bool const reached = p->left < bytes.size();
  if (p->fault == ConnectionFault::cutDown && reached) {
    cutAt(p, *p->a, bytes);
    return;
  }
  if (p->fault == ConnectionFault::garbage) {
    p->a->write(QByteArray("\x01\xff garbage \r\n\r\n", 15));
    p->a->flush();
    end(p, false);
    return;
  }
  if (p->fault == ConnectionFault::stall && reached) {
    stallAt(p, bytes);
    return;
  }
  p->left -= bytes.size();
  if (p->fault == ConnectionFault::trickle)
    trickle(p, bytes);
  else
    p->a->write(bytes);
}

void FaultProxy::cutAt(std::shared_ptr<Pair> const& p, QTcpSocket& to, QByteArray const& bytes) {
  to.write(bytes.left(p->left));
  to.flush();
  end(p, true);
}

void FaultProxy::stallAt(std::shared_ptr<Pair> const& p, QByteArray const& bytes) {
  p->fault = ConnectionFault::pass;
  p->stalled = true;
  p->a->write(bytes.left(p->left));
  QByteArray const rest = bytes.mid(p->left);
  std::weak_ptr<Pair> const weak = p;
  QTimer::singleShot(300 + static_cast<int>(rng_.below(9000)), this,
                     [this, weak, rest] { resumeStalled(weak.lock(), rest); });
}

void FaultProxy::resumeStalled(std::shared_ptr<Pair> const& p, QByteArray const& rest) {
  if (!isOpen(p)) return;
  p->stalled = false;
  p->a->write(rest);
  pass(p, false);
  if (p->bClosed && isOpen(p)) end(p, false);
}

void FaultProxy::trickle(std::shared_ptr<Pair> const& p, QByteArray const& bytes) {
  bool const idle = p->slow.isEmpty();
  p->slow += bytes;
  if (!idle) return;
  auto* const timer = new QTimer(p->a);
  std::weak_ptr<Pair> const weak = p;
  QObject::connect(timer, &QTimer::timeout, this, [this, weak, timer] {
    std::shared_ptr<Pair> const pair = weak.lock();
    if (!isOpen(pair) || !trickleStep(pair)) return;
    timer->deleteLater();
    if (pair->bClosed) end(pair, false);
  });
  timer->start(4);
}

bool FaultProxy::trickleStep(std::shared_ptr<Pair> const& p) {
  p->a->write(p->slow.left(7));
  p->slow.remove(0, 7);
  return p->slow.isEmpty();
}

void FaultProxy::end(std::shared_ptr<Pair> const& p, bool reset) {
  if (pairs_.erase(p.get()) == 0) return;
  for (QTcpSocket* const s : {p->a, p->b}) {
    s->disconnect(this);
    QObject::connect(s, &QTcpSocket::disconnected, s, &QObject::deleteLater);
    bool const open = s->state() != QAbstractSocket::UnconnectedState;
    if (reset)
      s->abort();
    else
      s->disconnectFromHost();
    if (!open || reset) s->deleteLater();
  }
}

void FaultProxy::cut(bool on) {
  cut_ = on;
  if (!on) return;
  std::vector<std::shared_ptr<Pair>> all;
  for (auto const& [key, pair] : pairs_) all.push_back(pair);
  for (std::shared_ptr<Pair> const& p : all) end(p, true);
}

bool FaultProxy::cutSender(Pair& p, QByteArray const& bytes) const {
  if (p.sender.empty()) p.sender = firstAddress(bytes);
  return cutSenders_.count(p.sender) > 0;
}

void FaultProxy::cutFrom(std::set<std::string> senders) {
  cutSenders_ = std::move(senders);
  std::vector<std::shared_ptr<Pair>> cut;
  for (auto const& [key, pair] : pairs_)
    if (cutSenders_.count(pair->sender) > 0) cut.push_back(pair);
  for (std::shared_ptr<Pair> const& p : cut) end(p, true);
}

void FaultProxy::hold(bool on) {
  paused_ = on;
  if (on) return;
  std::vector<std::shared_ptr<Pair>> all;
  for (auto const& [key, pair] : pairs_) all.push_back(pair);
  for (std::shared_ptr<Pair> const& p : all) {
    pass(p, true);
    pass(p, false);
    if (p->bClosed && pairs_.count(p.get()) > 0 && !p->stalled && p->slow.isEmpty()) end(p, false);
  }
}

}  // namespace corkward::testing
