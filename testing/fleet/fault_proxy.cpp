#include "fault_proxy.h"

#include <QHostAddress>
#include <QRegularExpression>
#include <QTcpSocket>
#include <QTimer>
#include <vector>

#include <corkward/http/server.h>

namespace corkward::testing {

struct FaultProxy::ConnectionPair {
  QTcpSocket* caller = nullptr;
  QTcpSocket* target = nullptr;
  ConnectionFault fault = ConnectionFault::pass;
  std::int64_t bytesUntilFault = 0;
  bool stalled = false;
  QByteArray trickleBuffer;
  bool targetIsClosed = false;
  /// Link address of the sender, once its first message has named it.
  std::string sender;
};

namespace {

/// Returns the first ip:port in the bytes, or an empty string. A message begins with its sender's address.
std::string firstAddress(QByteArray const& bytes) {
  static QRegularExpression const address(R"(\d+\.\d+\.\d+\.\d+:\d+)");
  return address.match(QString::fromLatin1(bytes)).captured().toStdString();
}

}  // namespace

FaultProxy::FaultProxy(std::string const& target, std::string const& ip, std::uint64_t seed, int unresponsiveMs)
    : target_(target), rng_(seed), unresponsiveMs_(unresponsiveMs) {
  server_.setListenBacklogSize(512);
  if (!server_.listen(QHostAddress(QString::fromStdString(ip)), 0)) throw http::HttpError("no free port at " + ip);
  address_ = ip + ":" + std::to_string(server_.serverPort());
  QObject::connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
}

FaultProxy::~FaultProxy() {
  std::map<ConnectionPair*, std::shared_ptr<ConnectionPair>> const all = std::move(pairs_);
  for (auto const& [key, pair] : all)
    for (QTcpSocket* const s : {pair->caller, pair->target}) {
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
  std::shared_ptr<ConnectionPair> const p = std::make_shared<ConnectionPair>();
  p->caller = caller;
  p->target = new QTcpSocket(this);
  caller->setParent(this);
  if (rng_.chance(faultFraction_)) {
    ++faultyConnections_;
    p->fault = static_cast<ConnectionFault>(1 + rng_.below(6));
    p->bytesUntilFault = static_cast<std::int64_t>(rng_.below(p->fault == ConnectionFault::cutUp ? 300 : 1500));
  }
  pairs_[p.get()] = p;
  connectSignals(p);
  if (p->fault != ConnectionFault::unresponsive) {
    http::SocketAddress const target = http::parseSocketAddress(target_);
    p->target->connectToHost(QHostAddress(QString::fromStdString(target.host)), target.port);
    return;
  }
  ++unresponsive_;
  std::weak_ptr<ConnectionPair> const weak = p;
  QTimer::singleShot(unresponsiveMs_, p->caller, [this, weak] {
    if (std::shared_ptr<ConnectionPair> const pair = weak.lock()) end(pair, true);
  });
}

void FaultProxy::connectSignals(std::shared_ptr<ConnectionPair> const& p) {
  std::weak_ptr<ConnectionPair> const weak = p;
  auto const whileOpen = [weak](auto action) {
    return [weak, action] {
      if (std::shared_ptr<ConnectionPair> const pair = weak.lock()) action(pair);
    };
  };
  auto const passUp = [this](std::shared_ptr<ConnectionPair> const& pair) { pass(pair, true); };
  auto const passDown = [this](std::shared_ptr<ConnectionPair> const& pair) { pass(pair, false); };
  auto const reset = [this](std::shared_ptr<ConnectionPair> const& pair) { end(pair, true); };
  QObject::connect(p->caller, &QTcpSocket::readyRead, this, whileOpen(passUp));
  QObject::connect(p->target, &QTcpSocket::readyRead, this, whileOpen(passDown));
  QObject::connect(p->target, &QTcpSocket::connected, this, whileOpen(passUp));
  QObject::connect(p->caller, &QTcpSocket::disconnected, this, whileOpen(reset));
  QObject::connect(p->target, &QTcpSocket::disconnected, this,
                   whileOpen([this](std::shared_ptr<ConnectionPair> const& pair) { onTargetClosed(pair); }));
  QObject::connect(p->target, &QTcpSocket::errorOccurred, this,
                   whileOpen([reset](std::shared_ptr<ConnectionPair> const& pair) {
                     if (pair->target->state() == QAbstractSocket::UnconnectedState && !pair->targetIsClosed)
                       reset(pair);
                   }));
}

void FaultProxy::onTargetClosed(std::shared_ptr<ConnectionPair> const& p) {
  p->targetIsClosed = true;
  pass(p, false);
  if (isOpen(p) && !p->stalled && !paused_ && p->trickleBuffer.isEmpty()) end(p, false);
}

void FaultProxy::pass(std::shared_ptr<ConnectionPair> const& p, bool up) {
  if (!isOpen(p) || paused_ || p->fault == ConnectionFault::unresponsive) return;
  bool const blocked = up ? p->target->state() != QAbstractSocket::ConnectedState : p->stalled;
  if (blocked) return;
  QByteArray const bytes = (up ? p->caller : p->target)->readAll();
  if (bytes.isEmpty()) return;
  if (!up) {
    passDown(p, bytes);
    return;
  }
  if (isCutSender(*p, bytes)) {
    end(p, true);
    return;
  }
  if (p->fault == ConnectionFault::cutUp && p->bytesUntilFault < bytes.size()) {
    cutAt(p, *p->target, bytes);
    return;
  }
  p->bytesUntilFault -= bytes.size();
  p->target->write(bytes);
}

void FaultProxy::passDown(std::shared_ptr<ConnectionPair> const& p, QByteArray const& bytes) {
  bool const reached = p->bytesUntilFault < bytes.size();
  if (p->fault == ConnectionFault::cutDown && reached) {
    cutAt(p, *p->caller, bytes);
    return;
  }
  if (p->fault == ConnectionFault::garbage) {
    p->caller->write(QByteArray("\x01\xff garbage \r\n\r\n", 15));
    p->caller->flush();
    end(p, false);
    return;
  }
  if (p->fault == ConnectionFault::stall && reached) {
    stallAt(p, bytes);
    return;
  }
  p->bytesUntilFault -= bytes.size();
  if (p->fault == ConnectionFault::trickle)
    trickle(p, bytes);
  else
    p->caller->write(bytes);
}

void FaultProxy::cutAt(std::shared_ptr<ConnectionPair> const& p, QTcpSocket& to, QByteArray const& bytes) {
  to.write(bytes.left(p->bytesUntilFault));
  to.flush();
  end(p, true);
}

void FaultProxy::stallAt(std::shared_ptr<ConnectionPair> const& p, QByteArray const& bytes) {
  p->fault = ConnectionFault::pass;
  p->stalled = true;
  p->caller->write(bytes.left(p->bytesUntilFault));
  QByteArray const rest = bytes.mid(p->bytesUntilFault);
  std::weak_ptr<ConnectionPair> const weak = p;
  QTimer::singleShot(300 + static_cast<int>(rng_.below(9000)), this,
                     [this, weak, rest] { resumeStalled(weak.lock(), rest); });
}

void FaultProxy::resumeStalled(std::shared_ptr<ConnectionPair> const& p, QByteArray const& rest) {
  if (!isOpen(p)) return;
  p->stalled = false;
  p->caller->write(rest);
  pass(p, false);
  if (p->targetIsClosed && isOpen(p)) end(p, false);
}

void FaultProxy::trickle(std::shared_ptr<ConnectionPair> const& p, QByteArray const& bytes) {
  bool const idle = p->trickleBuffer.isEmpty();
  p->trickleBuffer += bytes;
  if (!idle) return;
  auto* const timer = new QTimer(p->caller);
  std::weak_ptr<ConnectionPair> const weak = p;
  QObject::connect(timer, &QTimer::timeout, this, [this, weak, timer] {
    std::shared_ptr<ConnectionPair> const pair = weak.lock();
    if (!isOpen(pair) || !trickleStep(pair)) return;
    timer->deleteLater();
    if (pair->targetIsClosed) end(pair, false);
  });
  timer->start(4);
}

bool FaultProxy::trickleStep(std::shared_ptr<ConnectionPair> const& p) {
  p->caller->write(p->trickleBuffer.left(7));
  p->trickleBuffer.remove(0, 7);
  return p->trickleBuffer.isEmpty();
}

void FaultProxy::end(std::shared_ptr<ConnectionPair> const& p, bool reset) {
  if (pairs_.erase(p.get()) == 0) return;
  for (QTcpSocket* const s : {p->caller, p->target}) {
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
  std::vector<std::shared_ptr<ConnectionPair>> all;
  for (auto const& [key, pair] : pairs_) all.push_back(pair);
  for (std::shared_ptr<ConnectionPair> const& p : all) end(p, true);
}

bool FaultProxy::isCutSender(ConnectionPair& p, QByteArray const& bytes) const {
  if (p.sender.empty()) p.sender = firstAddress(bytes);
  return cutSenders_.count(p.sender) > 0;
}

void FaultProxy::cutSenders(std::set<std::string> senders) {
  cutSenders_ = std::move(senders);
  std::vector<std::shared_ptr<ConnectionPair>> cut;
  for (auto const& [key, pair] : pairs_)
    if (cutSenders_.count(pair->sender) > 0) cut.push_back(pair);
  for (std::shared_ptr<ConnectionPair> const& p : cut) end(p, true);
}

void FaultProxy::pause(bool on) {
  paused_ = on;
  if (on) return;
  std::vector<std::shared_ptr<ConnectionPair>> all;
  for (auto const& [key, pair] : pairs_) all.push_back(pair);
  for (std::shared_ptr<ConnectionPair> const& p : all) {
    pass(p, true);
    pass(p, false);
    if (p->targetIsClosed && pairs_.count(p.get()) > 0 && !p->stalled && p->trickleBuffer.isEmpty()) end(p, false);
  }
}

}  // namespace corkward::testing
