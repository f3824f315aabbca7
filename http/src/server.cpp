#include <corkward/http/server.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <unordered_map>
#include <utility>

#include "server_connection.h"

namespace corkward::http {

namespace {

constexpr int listenBacklog = 512;
/// Largest number of connections accepted in one iteration of the event loop.
constexpr int acceptsPerIteration = 16;
/// Milliseconds between an accept that failed for lack of file descriptors or memory and the next attempt.
constexpr int acceptRetryMs = 100;
/// Connections beyond ServerLimits::maxConnections receive a response up to this multiple of the limit; further ones
/// are closed without a response.
constexpr int rejectedConnectionsFactor = 2;

/// Throws the error of a failed listen().
[[noreturn]] void throwListenError(QTcpServer const& listener, std::string const& address) {
  std::string const text = "cannot listen at " + address + ": " + listener.errorString().toStdString();
  if (listener.serverError() == QAbstractSocket::AddressInUseError) throw core::ResourceBusyError(text);
  throw HttpError(text);
}

}  // namespace

/// Owns the listening sockets, the connections and the pending requests of a server.
class Server::Implementation final : public ConnectionHost {
 public:
  Implementation(QObject* context, std::vector<std::string> const& addresses, ServerLimits limits, Events events);
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

  void setLimits(ServerLimits limits) { limits_ = std::move(limits); }
  void startDraining() { draining_ = true; }
  void closeListeners();
  /// Returns the connection of a request, or null if the request is not pending.
  std::shared_ptr<ServerConnection> find(std::uint64_t id) const;
  std::string const& address(std::size_t listener) const { return addresses_.at(listener); }
  std::size_t connectionCount() const { return connections_.size(); }
  std::uint64_t malformedRequests() const { return malformedRequests_; }
  std::uint64_t failedAccepts() const { return failedAccepts_; }
  /// Returns the number of connections that satisfy the predicate.
  template <class Predicate>
  std::size_t countConnections(Predicate const& predicate) const {
    std::size_t count = 0;
    for (auto const& [key, connection] : connections_)
      if (predicate(*connection)) ++count;
    return count;
  }

 private:
  void listen(std::string const& address);
  /// Accepts up to acceptsPerIteration pending connections of a listener.
  void acceptPending(std::size_t listener);
  /// Resumes accepting after acceptRetryMs. Qt pauses a listening socket after a failed accept.
  void resumeLater(QTcpServer* listener);
  void accept(QTcpSocket* socket, std::size_t listener);
  /// Accepts all pending connections of a listener. Returns false if there were none.
  bool acceptAllPending(std::size_t listener);

  QObject* context_;
  std::vector<std::string> addresses_;
  /// Listening sockets in the order of addresses_; owned by context_.
  std::vector<QTcpServer*> listeners_;
  ServerLimits limits_;
  Events events_;
  bool draining_ = false;
  std::uint64_t nextRequestId_ = 1;
  std::uint64_t malformedRequests_ = 0;
  std::uint64_t failedAccepts_ = 0;
  std::unordered_map<ServerConnection const*, std::shared_ptr<ServerConnection>> connections_;
  /// Connections with a pending response, by the id of their request.
  std::unordered_map<std::uint64_t, std::shared_ptr<ServerConnection>> byRequest_;
};

Server::Implementation::Implementation(QObject* context, std::vector<std::string> const& addresses, ServerLimits limits,
                                       Events events)
    : context_(context), limits_(std::move(limits)), events_(std::move(events)) {
  for (std::string const& address : addresses) listen(address);
}

Server::Implementation::~Implementation() {
  auto const connections = std::exchange(connections_, {});
  for (auto const& [key, connection] : connections) connection->discard();
}

void Server::Implementation::listen(std::string const& address) {
  std::size_t const index = listeners_.size();
  auto const [host, port] = parseSocketAddress(address);
  auto* const listener = new QTcpServer(context_);
  listeners_.push_back(listener);
  listener->setListenBacklogSize(listenBacklog);
  listener->setMaxPendingConnections(acceptsPerIteration);
  if (!listener->listen(QHostAddress(QString::fromStdString(host)), port)) throwListenError(*listener, address);
  addresses_.push_back(host + ":" + std::to_string(listener->serverPort()));
  QObject::connect(
      listener, &QTcpServer::newConnection, context_, [this, index] { acceptPending(index); }, Qt::QueuedConnection);
  QObject::connect(listener, &QTcpServer::acceptError, context_, [this, listener] { resumeLater(listener); });
}

void Server::Implementation::resumeLater(QTcpServer* listener) {
  ++failedAccepts_;
  QTimer::singleShot(acceptRetryMs, listener, [listener] {
    if (listener->isListening()) listener->resumeAccepting();
  });
}

void Server::Implementation::acceptPending(std::size_t listener) {
  for (int i = 0; i < acceptsPerIteration; ++i) {
    QTcpSocket* const socket = listeners_[listener]->nextPendingConnection();
    if (socket == nullptr) return;
    accept(socket, listener);
  }
}

void Server::Implementation::accept(QTcpSocket* socket, std::size_t listener) {
  if (static_cast<int>(connections_.size()) >= rejectedConnectionsFactor * limits_.maxConnections) {
    socket->abort();
    socket->deleteLater();
    return;
  }
  auto const connection = std::make_shared<ServerConnection>(socket, listener, *this, context_);
  connections_[connection.get()] = connection;
  connection->start();
  if (static_cast<int>(connections_.size()) > limits_.maxConnections)
    connection->rejectMalformed(core::HttpStatus::serviceUnavailable, "too many connections");
  else
    connection->readRequests();
}

void Server::Implementation::closeListeners() {
  for (std::size_t listener = 0; listener < listeners_.size(); ++listener) {
    bool const listening = listeners_[listener]->isListening();
    while (listening && acceptAllPending(listener)) {
    }
    listeners_[listener]->close();
  }
}

bool Server::Implementation::acceptAllPending(std::size_t listener) {
  bool accepted = false;
  listeners_[listener]->waitForNewConnection(0);
  while (QTcpSocket* const socket = listeners_[listener]->nextPendingConnection()) {
    accept(socket, listener);
    accepted = true;
  }
  return accepted;
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

Server::Server(std::string const& address, ServerLimits limits, Events events, QObject* parent)
    : Server(std::vector<std::string>{address}, std::move(limits), std::move(events), parent) {}

Server::Server(std::vector<std::string> const& addresses, ServerLimits limits, Events events, QObject* parent)
    : QObject(parent),
      implementation_(std::make_unique<Implementation>(this, addresses, std::move(limits), std::move(events))) {}

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

}  // namespace corkward::http
