#include <corkward/http/upstream_pool.h>

#include <QTcpSocket>
#include <algorithm>

namespace corkward::http {

namespace {

constexpr int sweepEveryMs = 500;
constexpr core::Tick restedAfter = 500;

void closeSocket(QTcpSocket* socket) {
  socket->disconnect();
  socket->abort();
  socket->deleteLater();
}

}  // namespace

UpstreamPool::UpstreamPool(KeepAlivePolicy kept, std::function<core::Tick()> now, QObject* parent)
    : QObject(parent), kept_(kept), now_(std::move(now)) {
  QObject::connect(&sweep_, &QTimer::timeout, this, [this] { sweep(); });
}

UpstreamPool::~UpstreamPool() {
  for (std::unordered_map<std::string, std::vector<Idle>>::value_type const& a : idle_)
    for (Idle const& i : a.second) i.socket->disconnect();
}

UpstreamConnection* UpstreamPool::acquire(std::string const& address, bool fresh, UpstreamConnection::Events events,
                                          QObject* parent) {
  core::Tick const now = now_();
  QTcpSocket* socket = nullptr;
  bool rested = false;
  std::unordered_map<std::string, std::vector<Idle>>::iterator const it = idle_.find(address);
  while (it != idle_.end() && !it->second.empty() && socket == nullptr) {
    Idle const last = it->second.back();
    if (fresh && now - last.since >= std::min(kept_.freshIdleLimit, last.limit)) break;
    it->second.pop_back();
    --count_;
    if (now - last.since < std::min(kept_.idleLimit, last.limit) &&
        last.socket->state() == QAbstractSocket::ConnectedState && last.socket->bytesAvailable() == 0) {
      last.socket->disconnect(this);
      socket = last.socket;
      rested = now - last.since >= restedAfter;
    } else {
      closeSocket(last.socket);
    }
  }
  if (it != idle_.end() && it->second.empty()) idle_.erase(it);
  return new UpstreamConnection(address, std::move(events), parent, this, socket, rested);
}

void UpstreamPool::put(std::string const& address, QTcpSocket* socket, core::Tick keepAlive) {
  socket->setParent(this);
  core::Tick const limit = std::min(kept_.idleLimit, keepAlive / 2);
  if (limit <= 0) {
    closeSocket(socket);
    return;
  }
  QObject::connect(socket, &QTcpSocket::readyRead, this, [this, address, socket] { forget(address, socket); });
  QObject::connect(socket, &QTcpSocket::disconnected, this, [this, address, socket] { forget(address, socket); });
  std::vector<Idle>& all = idle_[address];
  all.push_back(Idle{socket, now_(), limit});
  ++count_;
  if (all.size() > kept_.perReplica) {
    closeSocket(all.front().socket);
    all.erase(all.begin());
    --count_;
  }
  if (!sweep_.isActive()) sweep_.start(sweepEveryMs);
}

void UpstreamPool::forget(std::string const& address, QTcpSocket* socket) {
  std::unordered_map<std::string, std::vector<Idle>>::iterator const it = idle_.find(address);
  if (it == idle_.end()) return;
  count_ -= std::erase_if(it->second, [socket](Idle const& i) { return i.socket == socket; });
  if (it->second.empty()) idle_.erase(it);
  closeSocket(socket);
}

void UpstreamPool::drop(std::string const& address) {
  std::unordered_map<std::string, std::vector<Idle>>::iterator const it = idle_.find(address);
  if (it == idle_.end()) return;
  for (Idle const& i : it->second) closeSocket(i.socket);
  count_ -= it->second.size();
  idle_.erase(it);
}

void UpstreamPool::setKept(KeepAlivePolicy kept) {
  kept_ = kept;
  std::vector<std::string> all;
  if (kept.perReplica == 0)
    for (std::unordered_map<std::string, std::vector<Idle>>::value_type const& a : idle_) all.push_back(a.first);
  for (std::string const& a : all) drop(a);
}

void UpstreamPool::sweep() {
  core::Tick const now = now_();
  for (std::unordered_map<std::string, std::vector<Idle>>::iterator it = idle_.begin(); it != idle_.end();) {
    count_ -= std::erase_if(it->second, [&](Idle const& i) {
      bool const old = now - i.since >= std::min(kept_.idleLimit, i.limit);
      if (old) closeSocket(i.socket);
      return old;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  if (count_ == 0) sweep_.stop();
}

}  // namespace corkward::http
