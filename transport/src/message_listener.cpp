#include "message_listener.h"

#include <QTcpSocket>
#include <algorithm>
#include <vector>
#include <utility>

#include <corkward/core/descriptor_limit.h>
#include <corkward/transport/kernel_buffers.h>
#include <corkward/transport/message.h>

#include "connection_limit.h"
#include "incoming_connection.h"

namespace corkward::transport {

namespace {

/// Part of the memory account that incomplete messages may take, and that the fixed costs of connections may.
constexpr std::uint64_t incompleteParts = 4;
constexpr std::uint64_t connectionParts = 4;
/// Connections that a process with little memory still has room for.
constexpr std::uint64_t minPlaces = 64;
/// Time between searches for connections that exceed a timeout.
constexpr std::chrono::milliseconds sweepInterval{5000};

}  // namespace

MessageListener::MessageListener(SocketAddress const& address, std::size_t maxConnections, Events events,
                                 QObject* parent, std::shared_ptr<core::MemoryAccount> memory)
    : QObject(parent),
      maxConnections_(maxConnections),
      events_(std::move(events)),
      memory_(memory ? std::move(memory) : std::make_shared<core::MemoryAccount>()),
      acceptor_(address, [this](qintptr descriptor) { onAccepted(descriptor); }) {
  setReceiveBuffer(acceptor_.descriptor(), receiveBufferBytes);
  memory_->addReclaimer(this, [this](std::uint64_t bytes) { closeIncomplete(bytes); });
  QObject::connect(&sweepTimer_, &QTimer::timeout, this, [this] { closeSilent(IncomingConnection::Clock::now()); });
  sweepTimer_.start(sweepInterval);
}

MessageListener::~MessageListener() {
  memory_->removeReclaimer(this);
  acceptor_.close();
  for (auto const& [id, connection] : std::exchange(connections_, {})) delete connection;
}

void MessageListener::onAccepted(qintptr descriptor) {
  if (connections_.size() >= places() || core::isInDescriptorReserve(descriptor)) closeLongestSilent();
  ConnectionId const id = ++lastId_;
  auto* const connection = new IncomingConnection(descriptor, id, *this);
  connections_[id] = connection;
  if (!connection->isOpen()) close(id);
}

void MessageListener::read(IncomingConnection& connection) {
  ConnectionId const id = connection.id();
  QByteArray const received = connection.socket().readAll();
  if (received.isEmpty()) return;
  connection.noteReceived();
  std::string_view const bytes(received.data(), static_cast<std::size_t>(received.size()));
  FrameDecoder::Result const result =
      connection.decoder().decode(bytes, [this, id](std::string_view message) { events_.message(id, message); });
  if (result == FrameDecoder::Result::invalid) {
    events_.invalidBytes();
    close(id);
    return;
  }
  connection.chargeIncomplete();
  if (connection.decoder().isIncomplete()) boundIncomplete();
}

std::size_t MessageListener::places() const {
  std::uint64_t const bearable = std::max(memory_->limit() / connectionParts / connectionBytes, minPlaces);
  std::uint64_t const withinMemory = std::min<std::uint64_t>(maxConnections_, bearable);
  return std::min(static_cast<std::size_t>(withinMemory), connectionsWithinDescriptors());
}

std::uint64_t MessageListener::maxIncompleteBytes() const {
  return std::max(memory_->limit() / incompleteParts, maxFrameBytes + lengthBytes);
}

void MessageListener::boundIncomplete() {
  std::uint64_t sum = 0;
  for (auto const& [id, connection] : connections_) sum += connection->incompleteBytes();
  if (sum > maxIncompleteBytes()) closeIncomplete(sum - maxIncompleteBytes());
}

void MessageListener::closeIncomplete(std::uint64_t bytes) {
  std::uint64_t released = 0;
  while (released < bytes) {
    auto const longest = std::max_element(connections_.begin(), connections_.end(), [](auto const& a, auto const& b) {
      return a.second->incompleteBytes() < b.second->incompleteBytes();
    });
    if (longest == connections_.end() || longest->second->incompleteBytes() == 0) return;
    released += longest->second->incompleteBytes();
    close(longest->first);
  }
}

void MessageListener::close(ConnectionId id) {
  auto const found = connections_.find(id);
  if (found == connections_.end()) return;
  IncomingConnection* const connection = found->second;
  connections_.erase(found);
  connection->releaseCharge();
  // Freed later, since this may be called from a signal of the connection's socket.
  connection->socket().disconnect(connection);
  connection->socket().abort();
  connection->deleteLater();
}

void MessageListener::closeLongestSilent() {
  auto const longestSilent = std::min_element(
      connections_.begin(), connections_.end(),
      [](auto const& a, auto const& b) { return a.second->lastReceived() < b.second->lastReceived(); });
  if (longestSilent != connections_.end()) close(longestSilent->first);
}

void MessageListener::closeSilent(IncomingConnection::Clock::time_point now) {
  std::vector<ConnectionId> overdue;
  for (auto const& [id, connection] : connections_)
    if (connection->isOverdue(now)) overdue.push_back(id);
  for (ConnectionId const id : overdue) close(id);
}

}  // namespace corkward::transport
