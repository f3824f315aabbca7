#include <corkward/http/server.h>

#include <QElapsedTimer>
#include <QTcpSocket>
#include <unistd.h>
#include <unordered_map>
#include <utility>

#include <corkward/core/descriptor_limit.h>
#include <corkward/http/descriptor_places.h>
#include <corkward/transport/acceptor.h>
#include <corkward/transport/kernel_buffers.h>
#include <corkward/transport/message.h>

#include "memory_arbiter.h"
#include "memory_cost.h"
#include "server_connection.h"

namespace corkward::http {

namespace {

/// Connections beyond ServerLimits::maxConnections receive a response up to this multiple of the limit; further ones
/// are closed without a response.
constexpr int rejectedConnectionsFactor = 2;

/// Time without a complete request after which a connection gives way to a new one.
constexpr std::chrono::milliseconds placeHoldTime{1000};
/// While more connections than this are refused within a period, connections give way before that time, too.
constexpr int toleratedRefusals = 8;
constexpr qint64 refusalPeriodMs = 1000;

}  // namespace

/// Owns the listening sockets, the connections and the pending requests of a server.
class Server::Implementation final : public ConnectionHost {
 public:
  Implementation(QObject* context, std::vector<std::string> const& addresses, ServerLimits limits, Events events,
                 std::shared_ptr<core::MemoryAccount> memory);
  ~Implementation() override;
  Implementation(Implementation const&) = delete;
  Implementation& operator=(Implementation const&) = delete;
  Implementation(Implementation&&) = delete;
  Implementation& operator=(Implementation&&) = delete;

  ServerLimits const& limits() const override { return limits_; }
  bool isDraining() const override { return draining_; }
  std::uint64_t addRequest(std::shared_ptr<ServerConnection> const& connection) override;
  void dispatch(Request request) override { events_.request(std::move(request)); }
  void removeRequest(std::uint64_t id) override { byRequest_.erase(id); }
  void onWritable(std::uint64_t id) override;
  void onMalformed() override { ++malformedRequests_; }
  void onClosed(ServerConnection& connection, std::uint64_t id) override;
  std::shared_ptr<core::MemoryAccount> const& memory() const override { return memory_; }
  bool reserveMemory(ServerConnection& connection, MemoryRequest const& wanted) override {
    return arbiter_.reserve(connection, wanted);
  }
  bool admitRequest(std::uint64_t bytes, core::HoldingSize size) override { return arbiter_.admit(bytes, size); }
  void relieveMemory() override { arbiter_.relieve(); }

  void setLimits(ServerLimits limits) { limits_ = std::move(limits); }
  void startDraining() { draining_ = true; }
  void closeListeners();
  /// Returns the connection of a request, or null if the request is not pending.
  std::shared_ptr<ServerConnection> find(std::uint64_t id) const;
  std::string const& address(std::size_t listener) const { return addresses_.at(listener); }
  std::size_t connectionCount() const { return connections_.size(); }
  std::uint64_t malformedRequests() const { return malformedRequests_; }
  std::uint64_t failedAccepts() const;
  std::uint64_t shedForMemory() const { return arbiter_.shedCount(); }
  std::uint64_t displacedConnections() const { return displacedConnections_; }
  /// Returns the number of connections that satisfy the predicate.
  template <class Predicate>
  std::size_t countConnections(Predicate const& predicate) const {
    std::size_t count = 0;
    for (auto const& [key, connection] : connections_)
      if (predicate(*connection)) ++count;
    return count;
  }

 private:
  /// Returns how many connections may be open: the limit, or fewer if the account has no room for their fixed cost or
  /// the process has too few descriptors.
  int places() const;
  void listen(std::string const& address);
  /// Takes the descriptor of a connection that a listener has accepted.
  void onAccepted(qintptr descriptor, std::size_t listener);
  void addConnection(QTcpSocket* socket, std::size_t listener);
  /// Whether more connections were refused lately than a short burst explains.
  bool refusesMany();
  void countRefusal();
  /// Closes the connection that has been without a complete request for longest, if that is long enough or many
  /// connections are refused.
  void displaceUnfinished();
  /// Closes the oldest connection that is closing anyway. Returns false if there is none.
  bool abortClosing();

  QObject* context_;
  std::vector<std::string> addresses_;
  /// Listening sockets in the order of addresses_; owned by context_.
  std::vector<transport::Acceptor*> listeners_;
  ServerLimits limits_;
  Events events_;
  std::shared_ptr<core::MemoryAccount> memory_;
  std::uint64_t displacedConnections_ = 0;
  /// Time since the first refusal of the current period, and the number of refusals in it.
  QElapsedTimer refusalPeriod_;
  int refusals_ = 0;
  bool draining_ = false;
  std::uint64_t nextRequestId_ = 1;
  std::uint64_t malformedRequests_ = 0;
  MemoryArbiter::Connections connections_;
  /// Connections with a pending response, by the id of their request.
  std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>> byRequest_;
  MemoryArbiter arbiter_;
};

Server::Implementation::Implementation(QObject* context, std::vector<std::string> const& addresses, ServerLimits limits,
                                       Events events, std::shared_ptr<core::MemoryAccount> memory)
    : context_(context),
      limits_(std::move(limits)),
      events_(std::move(events)),
      memory_(memory ? std::move(memory) : std::make_shared<core::MemoryAccount>()),
      arbiter_(context, *memory_, connections_) {
  for (std::string const& address : addresses) listen(address);
}

Server::Implementation::~Implementation() {
  auto const connections = std::exchange(connections_, {});
  for (auto const& [key, connection] : connections) connection->discard();
}

void Server::Implementation::listen(std::string const& address) {
  std::size_t const index = listeners_.size();
  SocketAddress const at = parseSocketAddress(address);
  try {
    listeners_.push_back(new transport::Acceptor(
        at, [this, index](qintptr descriptor) { onAccepted(descriptor, index); }, context_));
  } catch (transport::TransportError const& error) {
    throw HttpError(error.what());
  }
  transport::Acceptor const& listener = *listeners_.back();
  transport::setReceiveBuffer(listener.descriptor(), idleReceiveBufferBytes);
  transport::setSendBuffer(listener.descriptor(), sendBufferBytes);
  addresses_.push_back(at.host + ":" + std::to_string(listener.port()));
}

void Server::Implementation::onAccepted(qintptr descriptor, std::size_t listener) {
  auto* const socket = new QTcpSocket(context_);
  if (socket->setSocketDescriptor(descriptor)) {
    addConnection(socket, listener);
    return;
  }
  ::close(static_cast<int>(descriptor));
  socket->deleteLater();
}

std::uint64_t Server::Implementation::failedAccepts() const {
  std::uint64_t failed = 0;
  for (transport::Acceptor const* const listener : listeners_) failed += listener->failedAccepts();
  return failed;
}

int Server::Implementation::places() const {
  int const withinMemory = std::min(limits_.maxConnections, static_cast<int>(placesWithin(memory_->limit())));
  return std::min(withinMemory, clientPlaces(core::descriptorLimits().inForce, withinMemory));
}

void Server::Implementation::addConnection(QTcpSocket* socket, std::size_t listener) {
  int const limit = places();
  int const most = std::min(rejectedConnectionsFactor * limit, static_cast<int>(connectionsWithin(memory_->limit())));
  bool const isShort = core::isInDescriptorReserve(socket->socketDescriptor());
  bool const isFull = isShort || static_cast<int>(connections_.size()) >= most;
  if (isFull && !abortClosing()) {
    // The next connection gets the place of one that is closing.
    if (isShort) displaceUnfinished();
    socket->abort();
    socket->deleteLater();
    return;
  }
  if (static_cast<int>(connections_.size()) >= limit) displaceUnfinished();
  auto const connection = std::make_shared<ServerConnection>(socket, listener, *this, context_);
  connections_[connection.get()] = connection;
  connection->start();
  bool const exceeds = static_cast<int>(connections_.size()) > limit;
  auto const isOpen = [](ServerConnection const& each) { return each.isOpen(); };
  if (!exceeds || static_cast<int>(countConnections(isOpen)) <= limit) {
    connection->readRequests();
    return;
  }
  countRefusal();
  connection->rejectMalformed(core::HttpStatus::serviceUnavailable, "too many connections");
}

bool Server::Implementation::refusesMany() {
  return refusals_ > toleratedRefusals && refusalPeriod_.isValid() && refusalPeriod_.elapsed() < refusalPeriodMs;
}

void Server::Implementation::countRefusal() {
  if (!refusalPeriod_.isValid() || refusalPeriod_.elapsed() >= refusalPeriodMs) {
    refusalPeriod_.start();
    refusals_ = 0;
  }
  ++refusals_;
}

void Server::Implementation::displaceUnfinished() {
  std::shared_ptr<ServerConnection> oldest;
  auto const givesWayBefore = [](ServerConnection const& a, ServerConnection const& b) {
    return std::pair(a.isIdle(), a.unfinishedSince()) < std::pair(b.isIdle(), b.unfinishedSince());
  };
  for (auto const& [key, connection] : connections_)
    if (connection->mayGiveWay() && (!oldest || givesWayBefore(*connection, *oldest))) oldest = connection;
  if (!oldest) return;
  bool const heldLong = ServerConnection::Clock::now() - oldest->unfinishedSince() >= placeHoldTime;
  if (!heldLong && !refusesMany()) return;
  ++displacedConnections_;
  countRefusal();
  oldest->giveWay();
}

bool Server::Implementation::abortClosing() {
  std::shared_ptr<ServerConnection> oldest;
  for (auto const& [key, connection] : connections_)
    if (!connection->isOpen() && (!oldest || connection->unfinishedSince() < oldest->unfinishedSince()))
      oldest = connection;
  if (oldest) oldest->close();
  return oldest != nullptr;
}

void Server::Implementation::closeListeners() {
  for (transport::Acceptor* const listener : listeners_) {
    listener->acceptAll();
    listener->close();
  }
}

std::uint64_t Server::Implementation::addRequest(std::shared_ptr<ServerConnection> const& connection) {
  std::uint64_t const id = nextRequestId_++;
  byRequest_[id] = connection;
  return id;
}

void Server::Implementation::onWritable(std::uint64_t id) {
  if (events_.writable) events_.writable(id);
}

void Server::Implementation::onClosed(ServerConnection& connection, std::uint64_t id) {
  connections_.erase(&connection);
  if (id != ServerConnection::noRequest && events_.disconnected) events_.disconnected(id);
}

std::shared_ptr<ServerConnection> Server::Implementation::find(std::uint64_t id) const {
  auto const found = byRequest_.find(id);
  return found == byRequest_.end() ? nullptr : found->second;
}

Server::Server(std::string const& address, ServerLimits limits, Events events, QObject* parent,
               std::shared_ptr<core::MemoryAccount> memory)
    : Server(std::vector<std::string>{address}, std::move(limits), std::move(events), parent, std::move(memory)) {}

Server::Server(std::vector<std::string> const& addresses, ServerLimits limits, Events events, QObject* parent,
               std::shared_ptr<core::MemoryAccount> memory)
    : QObject(parent),
      implementation_(
          std::make_unique<Implementation>(this, addresses, std::move(limits), std::move(events), std::move(memory))) {}

Server::~Server() = default;

std::string const& Server::address(std::size_t listener) const {
  return implementation_->address(listener);
}

void Server::setLimits(ServerLimits limits) {
  implementation_->setLimits(std::move(limits));
}

void Server::respond(std::uint64_t id, int status, HeaderList const& headers, std::string const& body) {
  if (auto const connection = implementation_->find(id)) connection->respond(status, headers, body);
}

void Server::beginResponse(std::uint64_t id, int status, HeaderList const& headers, std::int64_t bodyLength,
                           std::string const& reason) {
  if (auto const connection = implementation_->find(id)) connection->beginResponse(status, headers, bodyLength, reason);
}

void Server::writeChunk(std::uint64_t id, std::string const& bytes) {
  if (auto const connection = implementation_->find(id)) connection->writeChunk(bytes);
}

void Server::finishResponse(std::uint64_t id) {
  if (auto const connection = implementation_->find(id)) connection->finishResponse();
}

void Server::abort(std::uint64_t id) {
  if (auto const connection = implementation_->find(id)) connection->abortRequest();
}

std::int64_t Server::bufferedBytes(std::uint64_t id) const {
  auto const connection = implementation_->find(id);
  return connection ? connection->bufferedBytes() : 0;
}

bool Server::isDisconnected(std::uint64_t id) const {
  auto const connection = implementation_->find(id);
  return !connection || connection->isDisconnected();
}

void Server::startDraining() {
  implementation_->startDraining();
}

void Server::closeListeners() {
  implementation_->closeListeners();
}

std::size_t Server::expectedRequests() const {
  return implementation_->countConnections(
      [](ServerConnection const& connection) { return connection.expectsRequest(); });
}

std::size_t Server::pendingCount() const {
  return implementation_->countConnections(
      [](ServerConnection const& connection) { return connection.hasRequest() || connection.hasBufferedBytes(); });
}

std::size_t Server::connectionCount() const {
  return implementation_->connectionCount();
}

std::uint64_t Server::malformedRequests() const {
  return implementation_->malformedRequests();
}

std::uint64_t Server::failedAccepts() const {
  return implementation_->failedAccepts();
}

std::uint64_t Server::shedForMemory() const {
  return implementation_->shedForMemory();
}

std::uint64_t Server::displacedConnections() const {
  return implementation_->displacedConnections();
}

core::MemoryAccount& Server::memory() const {
  return *implementation_->memory();
}

}  // namespace corkward::http
