#include "tap.h"

#include <QHostAddress>
#include <QRegularExpression>
#include <QTcpSocket>
#include <QTimer>
#include <vector>

#include <corkward/http/server.h>

namespace corkward::testing {

struct Tap::Pair {
  QTcpSocket* a = nullptr;
  QTcpSocket* b = nullptr;
  Way way = Way::pass;
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

Tap::Tap(std::string const& target, std::string const& ip, std::uint64_t seed, int darkMs)
    : target_(target), rng_(seed), darkMs_(darkMs) {
  server_.setListenBacklogSize(512);
  if (!server_.listen(QHostAddress(QString::fromStdString(ip)), 0)) throw http::HttpError("no free port at " + ip);
  address_ = ip + ":" + std::to_string(server_.serverPort());
  QObject::connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
}

Tap::~Tap() {
  std::map<Pair*, std::shared_ptr<Pair>> const all = std::move(pairs_);
  for (std::map<Pair*, std::shared_ptr<Pair>>::value_type const& p : all)
    for (QTcpSocket* const s : {p.second->a, p.second->b}) {
      s->disconnect();
      s->abort();
    }
}

void Tap::accept() {
  while (QTcpSocket* const a = server_.nextPendingConnection()) {
    if (cut_) {
      a->abort();
      a->deleteLater();
      continue;
    }
    std::shared_ptr<Pair> const p = std::make_shared<Pair>();
    p->a = a;
    p->b = new QTcpSocket(this);
    a->setParent(this);
    if (rng_.chance(share_)) {
      ++harmed_;
      p->way = static_cast<Way>(1 + rng_.below(6));
      p->left = static_cast<std::int64_t>(rng_.below(p->way == Way::cutUp ? 300 : 1500));
    }
    pairs_[p.get()] = p;
    std::weak_ptr<Pair> const weak = p;
    QObject::connect(p->a, &QTcpSocket::readyRead, this, [this, weak] {
      if (std::shared_ptr<Pair> const k = weak.lock()) pass(k, true);
    });
    QObject::connect(p->b, &QTcpSocket::readyRead, this, [this, weak] {
      if (std::shared_ptr<Pair> const k = weak.lock()) pass(k, false);
    });
    QObject::connect(p->b, &QTcpSocket::connected, this, [this, weak] {
      if (std::shared_ptr<Pair> const k = weak.lock()) pass(k, true);
    });
    QObject::connect(p->a, &QTcpSocket::disconnected, this, [this, weak] {
      if (std::shared_ptr<Pair> const k = weak.lock()) end(k, true);
    });
    QObject::connect(p->b, &QTcpSocket::disconnected, this, [this, weak] {
      std::shared_ptr<Pair> const k = weak.lock();
      if (!k) return;
      k->bClosed = true;
      pass(k, false);
      if (pairs_.count(k.get()) > 0 && !k->stalled && !held_ && k->slow.isEmpty()) end(k, false);
    });
    QObject::connect(p->b, &QTcpSocket::errorOccurred, this, [this, weak](QAbstractSocket::SocketError) {
      std::shared_ptr<Pair> const k = weak.lock();
      if (k && k->b->state() == QAbstractSocket::UnconnectedState && !k->bClosed) end(k, true);
    });
    http::SocketAddress const at = http::parseSocketAddress(target_);
    if (p->way != Way::dark) {
      p->b->connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
      continue;
    }
    ++dark_;
    QTimer::singleShot(darkMs_, p->a, [this, weak] {
      if (std::shared_ptr<Pair> const k = weak.lock()) end(k, true);
    });
  }
}

void Tap::pass(std::shared_ptr<Pair> const& p, bool up) {
  if (pairs_.count(p.get()) == 0 || held_) return;
  QTcpSocket* const from = up ? p->a : p->b;
  QTcpSocket* const to = up ? p->b : p->a;
  if (p->way == Way::dark || (up && p->b->state() != QAbstractSocket::ConnectedState) || (!up && p->stalled)) return;
  QByteArray bytes = from->readAll();
  if (bytes.isEmpty()) return;
  if (up && cutSender(*p, bytes)) {
    end(p, true);
    return;
  }
  bool const cuts = (up && p->way == Way::cutUp) || (!up && p->way == Way::cutDown);
  if (cuts && p->left < bytes.size()) {
    to->write(bytes.left(p->left));
    to->flush();
    end(p, true);
    return;
  }
  if (!up && p->way == Way::garbage) {
    to->write(QByteArray("\x01\xff garbage \r\n\r\n", 15));
    to->flush();
    end(p, false);
    return;
  }
  std::weak_ptr<Pair> const weak = p;
  if (!up && p->way == Way::stall && p->left < bytes.size()) {
    p->way = Way::pass;
    p->stalled = true;
    to->write(bytes.left(p->left));
    QByteArray const rest = bytes.mid(p->left);
    QTimer::singleShot(300 + static_cast<int>(rng_.below(9000)), this, [this, weak, rest] {
      std::shared_ptr<Pair> const k = weak.lock();
      if (!k || pairs_.count(k.get()) == 0) return;
      k->stalled = false;
      k->a->write(rest);
      pass(k, false);
      if (k->bClosed && pairs_.count(k.get()) > 0) end(k, false);
    });
    return;
  }
  p->left -= bytes.size();
  if (!up && p->way == Way::trickle) {
    bool const idle = p->slow.isEmpty();
    p->slow += bytes;
    if (!idle) return;
    QTimer* const timer = new QTimer(p->a);
    QObject::connect(timer, &QTimer::timeout, this, [this, weak, timer] {
      std::shared_ptr<Pair> const k = weak.lock();
      if (!k || pairs_.count(k.get()) == 0) return;
      k->a->write(k->slow.left(7));
      k->slow.remove(0, 7);
      if (!k->slow.isEmpty()) return;
      timer->deleteLater();
      if (k->bClosed) end(k, false);
    });
    timer->start(4);
    return;
  }
  to->write(bytes);
}

void Tap::end(std::shared_ptr<Pair> const& p, bool reset) {
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

void Tap::cut(bool on) {
  cut_ = on;
  if (!on) return;
  std::vector<std::shared_ptr<Pair>> all;
  for (std::map<Pair*, std::shared_ptr<Pair>>::value_type const& p : pairs_) all.push_back(p.second);
  for (std::shared_ptr<Pair> const& p : all) end(p, true);
}

bool Tap::cutSender(Pair& p, QByteArray const& bytes) const {
  if (p.sender.empty()) p.sender = firstAddress(bytes);
  return cutSenders_.count(p.sender) > 0;
}

void Tap::cutFrom(std::set<std::string> senders) {
  cutSenders_ = std::move(senders);
  std::vector<std::shared_ptr<Pair>> cut;
  for (std::map<Pair*, std::shared_ptr<Pair>>::value_type const& p : pairs_)
    if (cutSenders_.count(p.second->sender) > 0) cut.push_back(p.second);
  for (std::shared_ptr<Pair> const& p : cut) end(p, true);
}

void Tap::hold(bool on) {
  held_ = on;
  if (on) return;
  std::vector<std::shared_ptr<Pair>> all;
  for (std::map<Pair*, std::shared_ptr<Pair>>::value_type const& p : pairs_) all.push_back(p.second);
  for (std::shared_ptr<Pair> const& p : all) {
    pass(p, true);
    pass(p, false);
    if (p->bClosed && pairs_.count(p.get()) > 0 && !p->stalled && p->slow.isEmpty()) end(p, false);
  }
}

}  // namespace corkward::testing
