#include <corkward/http/upstream_pool.h>

#include <QTcpSocket>
#include <algorithm>
#include <utility>

namespace corkward::http {

namespace {

constexpr int expiryIntervalMs = 500;
/// Idle time in milliseconds from which on the replica may have closed the connection without this process having
/// noticed.
constexpr core::Milliseconds possiblyStaleAfter = 500;

void closeSocket(QTcpSocket* socket) {
  socket->disconnect();
  socket->abort();
  socket->deleteLater();
}

}  // namespace

UpstreamPool::UpstreamPool(KeepAlivePolicy policy, std::function<core::Milliseconds()> now, QObject* parent)
    : QObject(parent), policy_(policy), now_(std::move(now)) {
  QObject::connect(&expiryTimer_, &QTimer::timeout, this, [this] { closeExpired(); });
}

UpstreamPool::~UpstreamPool() {
  for (auto const& [address, connections] : idle_)
    for (IdleConnection const& connection : connections) connection.socket->disconnect();
}

UpstreamConnection* UpstreamPool::acquire(std::string const& address, bool avoidStale,
                                          UpstreamConnection::Events events, QObject* parent) {
  UpstreamConnection::ReusedSocket const reused = take(address, avoidStale);
  return new UpstreamConnection(address, std::move(events), parent, this, reused);
}

UpstreamConnection::ReusedSocket UpstreamPool::take(std::string const& address, bool avoidStale) {
  auto const found = idle_.find(address);
  if (found == idle_.end()) return {};
  core::Milliseconds const now = now_();
  std::vector<IdleConnection>& connections = found->second;
  UpstreamConnection::ReusedSocket out;
  while (!connections.empty() && out.socket == nullptr) {
    IdleConnection const youngest = connections.back();
    core::Milliseconds const idleFor = now - youngest.since;
    if (avoidStale && idleFor >= std::min(policy_.avoidStaleIdleTimeout, youngest.timeout)) break;
    connections.pop_back();
    --idleCount_;
    bool const usable = idleFor < std::min(policy_.idleTimeout, youngest.timeout) &&
                        youngest.socket->state() == QAbstractSocket::ConnectedState &&
                        youngest.socket->bytesAvailable() == 0;
    if (usable) {
      youngest.socket->disconnect(this);
      out = {youngest.socket, idleFor >= possiblyStaleAfter};
    } else {
      closeSocket(youngest.socket);
    }
  }
  if (connections.empty()) idle_.erase(found);
  return out;
}

void UpstreamPool::put(std::string const& address, QTcpSocket* socket, core::Milliseconds keepAliveTimeout) {
  socket->setParent(this);
  core::Milliseconds const timeout = std::min(policy_.idleTimeout, keepAliveTimeout / 2);
  if (timeout <= 0) {
    closeSocket(socket);
    return;
  }
  QObject::connect(socket, &QTcpSocket::readyRead, this, [this, address, socket] { remove(address, socket); });
  QObject::connect(socket, &QTcpSocket::disconnected, this, [this, address, socket] { remove(address, socket); });
  std::vector<IdleConnection>& connections = idle_[address];
  connections.push_back(IdleConnection{socket, now_(), timeout});
  ++idleCount_;
  if (connections.size() > policy_.maxIdlePerReplica) {
    closeSocket(connections.front().socket);
    connections.erase(connections.begin());
    --idleCount_;
  }
  if (!expiryTimer_.isActive()) expiryTimer_.start(expiryIntervalMs);
}

void UpstreamPool::remove(std::string const& address, QTcpSocket* socket) {
  auto const found = idle_.find(address);
  if (found == idle_.end()) return;
  idleCount_ -=
      std::erase_if(found->second, [socket](IdleConnection const& connection) { return connection.socket == socket; });
  if (found->second.empty()) idle_.erase(found);
  closeSocket(socket);
}

void UpstreamPool::closeIdle(std::string const& address) {
  auto const found = idle_.find(address);
  if (found == idle_.end()) return;
  for (IdleConnection const& connection : found->second) closeSocket(connection.socket);
  idleCount_ -= found->second.size();
  idle_.erase(found);
}

void UpstreamPool::setKeepAlive(KeepAlivePolicy policy) {
  policy_ = policy;
  if (policy.maxIdlePerReplica > 0) return;
  std::vector<std::string> addresses;
  for (auto const& [address, connections] : idle_) addresses.push_back(address);
  for (std::string const& address : addresses) closeIdle(address);
}

void UpstreamPool::closeExpired() {
  core::Milliseconds const now = now_();
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    idleCount_ -= std::erase_if(entry->second, [&](IdleConnection const& connection) {
      bool const expired = now - connection.since >= std::min(policy_.idleTimeout, connection.timeout);
      if (expired) closeSocket(connection.socket);
      return expired;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
  if (idleCount_ == 0) expiryTimer_.stop();
}

}  // namespace corkward::http
