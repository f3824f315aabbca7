#include <corkward/transport/link.h>

#include <QRandomGenerator>
#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

#include "connection_limit.h"
#include "frame.h"
#include "message_listener.h"
#include "outgoing_connection.h"

namespace corkward::transport {

namespace {

/// Time between searches for idle connections.
constexpr std::chrono::seconds idleSweepInterval{5};
core::Milliseconds clockNow() {
  std::chrono::steady_clock::duration const since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

SocketAddress addressOf(std::string const& text) {
  std::optional<SocketAddress> address = socketAddressOf(text);
  if (!address) throw TransportError("not an ip:port address: " + text);
  return *std::move(address);
}

}  // namespace

Link::Link(std::string const& name, std::function<void(Envelope)> onMessage, std::string const& listen,
           std::shared_ptr<core::MemoryAccount> memory)
    : address_(name),
      onMessage_(std::move(onMessage)),
      run_(QRandomGenerator::system()->generate()),
      lastIdleSweep_(Clock::now()) {
  MessageListener::Events events;
  events.message = [this](std::uint32_t pipe, std::string_view bytes) { onFrame(pipe, bytes); };
  events.invalidBytes = [this] { ++malformedFrames_; };
  SocketAddress const address = addressOf(listen.empty() ? name : listen);
  listener_ =
      std::make_unique<MessageListener>(address, mostConnections, std::move(events), nullptr, std::move(memory));
  if (listen.empty()) address_ = address.host + ":" + std::to_string(listener_->serverPort());
}

Link::~Link() = default;

std::size_t Link::incomingCount() const {
  return listener_->connectionCount();
}

void Link::onFrame(std::uint32_t pipe, std::string_view bytes) {
  std::optional<Envelope> envelope;
  try {
    envelope = unpack(std::string(bytes));
  } catch (std::exception const&) {
    ++malformedFrames_;
    return;
  }
  onReceived(envelope->from, envelope->run, pipe);
  onMessage_(*std::move(envelope));
}

Link::Connections::iterator Link::connectionTo(std::string const& to) {
  auto const found = connections_.find(to);
  if (found != connections_.end()) return found;
  std::optional<SocketAddress> const address = socketAddressOf(to);
  if (!address) return connections_.end();
  if (connections_.size() >= connectionsWithinDescriptors()) closeLeastRecentlyUsed();
  Connection connection;
  connection.socket = std::make_unique<OutgoingConnection>(*address);
  connection.health.dialled(clockNow());
  return connections_.emplace(to, std::move(connection)).first;
}

void Link::closeLeastRecentlyUsed() {
  auto const oldest = std::min_element(connections_.begin(), connections_.end(),
                                       [](auto const& a, auto const& b) { return a.second.used < b.second.used; });
  if (oldest != connections_.end()) connections_.erase(oldest);
}

void Link::redial(Connection& connection) {
  ++redials_;
  connection.health.dialled(clockNow());
  connection.socket->redial();
}

void Link::onReceived(std::string const& from, std::uint64_t run, std::uint32_t pipe) {
  auto const it = connections_.find(from);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  connection.used = Clock::now();
  OutgoingConnection const& socket = *connection.socket;
  bool const isStale = connection.health.staleOnReceive(clockNow(), socket.connected(), socket.connects(), run, pipe);
  if (isStale) redial(connection);
}

void Link::closeIdle(std::chrono::milliseconds idle) {
  lastIdleSweep_ = Clock::now();
  std::erase_if(connections_, [&](auto const& entry) { return lastIdleSweep_ - entry.second.used >= idle; });
}

void Link::send(std::string const& to, Message const& message) {
  Clock::time_point const now = Clock::now();
  if (now - lastIdleSweep_ > idleSweepInterval) closeIdle(idleTimeout);
  auto const it = connectionTo(to);
  if (it == connections_.end()) return;
  Connection& connection = it->second;
  if (connection.health.staleOnSend(clockNow(), connection.socket->connected())) redial(connection);
  connection.used = now;
  std::string frame = frameOf(pack(Envelope{address_, message, run_}));
  std::size_t const bytes = frame.size() - lengthBytes;
  if (connection.socket->send(std::move(frame))) connection.health.sent(clockNow(), expectsReply(message), bytes);
}

}  // namespace corkward::transport
