#include <corkward/http/server.h>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <sys/socket.h>

#include <corkward/core/guarantees.h>

#include "wire.h"

namespace corkward::http {

namespace beastHttp = boost::beast::http;

namespace {

constexpr qint64 readBuffer = 64 << 10;
constexpr int lingerMs = 1000;

constexpr int acceptAtOnce = 16;
/// Wait after an accept that failed, for want of descriptors or memory, until the next one.
constexpr int acceptAgainMs = 100;

bool bodilessStatus(int status) {
  return status < 200 || status == 204 || status == 304;
}

}  // namespace

std::pair<std::string, std::uint16_t> splitAddress(std::string const& address) {
  std::size_t const colon = address.rfind(':');
  QHostAddress host;
  bool ok = colon != std::string::npos && host.setAddress(QString::fromStdString(address.substr(0, colon)));
  int port = 0;
  if (ok) port = QString::fromStdString(address.substr(colon + 1)).toInt(&ok);
  if (!ok || port < 0 || port > 65535) throw HttpError("not an ip:port address: " + address);
  return {address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

struct Server::Conn {
  using Parser = beastHttp::request_parser<beastHttp::string_body>;
  QTcpSocket* socket = nullptr;
  QTimer* timer = nullptr;
  QByteArray buffer;
  std::unique_ptr<Parser> parser;
  /// Since the first byte of the request that is read.
  QElapsedTimer firstByte;
  std::uint64_t id = 0;
  std::size_t at = 0;
  bool keep = true;
  bool asked = false;
  bool begun = false;
  bool chunked = false;
  bool headAsked = false;
  bool bodiless = false;
  bool told = false;
  bool lingers = false;
  bool moved = false;
  bool continued = false;
  bool dropped = false;
  bool faulted = false;
  /// Bytes of the body that the answer's head has told of and that were not passed on yet; below zero: not told.
  std::int64_t untold = -1;
};

Server::Server(std::string const& address, ServerLimits limits, Events events, QObject* parent)
    : Server(std::vector<std::string>{address}, std::move(limits), std::move(events), parent) {}

Server::Server(std::vector<std::string> const& addresses, ServerLimits limits, Events events, QObject* parent)
    : QObject(parent), limits_(std::move(limits)), events_(std::move(events)) {
  for (std::string const& address : addresses) {
    std::size_t const index = servers_.size();
    std::pair<std::string, std::uint16_t> const at = splitAddress(address);
    QTcpServer* const server = new QTcpServer(this);
    servers_.push_back(server);
    server->setListenBacklogSize(512);
    server->setMaxPendingConnections(acceptAtOnce);
    if (!server->listen(QHostAddress(QString::fromStdString(at.first)), at.second))
      throw HttpError("listen at " + address + ": " + server->errorString().toStdString());
    addresses_.push_back(at.first + ":" + std::to_string(server->serverPort()));
    QObject::connect(
        server, &QTcpServer::newConnection, this, [this, index] { accept(index); }, Qt::QueuedConnection);
    QObject::connect(server, &QTcpServer::acceptError, this, [this, server] { acceptAgain(server); });
  }
}

Server::~Server() {
  std::unordered_map<Conn const*, std::shared_ptr<Conn>> const all = std::move(conns_);
  conns_.clear();
  for (std::unordered_map<Conn const*, std::shared_ptr<Conn>>::value_type const& c : all) {
    c.second->socket->disconnect();
    c.second->socket->abort();
  }
}

void Server::acceptAgain(QTcpServer* server) {
  ++acceptsFailed_;
  QTimer::singleShot(acceptAgainMs, server, [server] {
    if (server->isListening()) server->resumeAccepting();
  });
}

void Server::accept(std::size_t at) {
  for (int i = 0; i < acceptAtOnce; ++i) {
    QTcpSocket* const socket = servers_[at]->nextPendingConnection();
    if (socket == nullptr) return;
    welcome(socket, at);
  }
}

void Server::welcome(QTcpSocket* socket, std::size_t at) {
  if (static_cast<int>(conns_.size()) >= 2 * limits_.connections) {
    socket->abort();
    socket->deleteLater();
    return;
  }
  std::shared_ptr<Conn> const conn = std::make_shared<Conn>();
  conn->socket = socket;
  conn->at = at;
  socket->setParent(this);
  socket->setReadBufferSize(readBuffer);
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  conn->timer = new QTimer(socket);
  conn->timer->setSingleShot(true);
  conns_[conn.get()] = conn;
  std::weak_ptr<Conn> const weak = conn;
  QObject::connect(conn->timer, &QTimer::timeout, this, [this, weak] {
    if (std::shared_ptr<Conn> const c = weak.lock())
      if (c->id == 0) {
        if (c->moved && c->socket->bytesToWrite() > 0)
          c->timer->start(limits_.idleMs);
        else
          drop(c);
        c->moved = false;
      }
  });
  QObject::connect(socket, &QTcpSocket::readyRead, this, [this, weak] {
    if (std::shared_ptr<Conn> const c = weak.lock()) readable(c);
  });
  QObject::connect(socket, &QTcpSocket::disconnected, this, [this, weak] {
    if (std::shared_ptr<Conn> const c = weak.lock()) drop(c);
  });
  QObject::connect(socket, &QTcpSocket::bytesWritten, this, [this, weak](qint64) {
    std::shared_ptr<Conn> const c = weak.lock();
    if (!c) return;
    c->moved = true;
    if (c->lingers) linger(c);
    if (c->id != 0 && c->begun && events_.writable) events_.writable(c->id);
  });
  conn->timer->start(limits_.headMs);
  if (static_cast<int>(conns_.size()) > limits_.connections)
    fault(conn, 503, "too many connections");
  else
    readable(conn);
}

void Server::readable(std::shared_ptr<Conn> const& conn) {
  if (conn->dropped || conn->id != 0) return;
  if (conn->faulted || conn->lingers) {
    conn->socket->readAll();
    return;
  }
  conn->buffer += conn->socket->readAll();
  while (!conn->buffer.isEmpty() && conn->id == 0 && !conn->dropped) {
    if (!conn->parser) {
      conn->parser = std::make_unique<Conn::Parser>();
      conn->parser->header_limit(limits_.head);
      conn->parser->body_limit(limits_.body);
      conn->parser->eager(true);
      conn->continued = false;
      conn->firstByte.start();
      conn->timer->start(limits_.headMs);
    }
    boost::beast::error_code ec;
    std::size_t const used = conn->parser->put(
        boost::asio::buffer(conn->buffer.constData(), static_cast<std::size_t>(conn->buffer.size())), ec);
    conn->buffer.remove(0, static_cast<qsizetype>(used));
    if (ec && ec != beastHttp::error::need_more) {
      int const status = ec == beastHttp::error::body_limit ? 413 : ec == beastHttp::error::header_limit ? 431 : 400;
      fault(conn, status, ec.message());
      return;
    }
    if (conn->parser->is_header_done() && !conn->continued &&
        lower(std::string(conn->parser->get()[beastHttp::field::expect])) == "100-continue") {
      conn->continued = true;
      conn->socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!conn->parser->is_done()) {
      if (conn->buffer.size() > static_cast<qsizetype>(limits_.head)) fault(conn, 431, "head too large");
      return;
    }
    beastHttp::request<beastHttp::string_body> message = conn->parser->release();
    conn->parser.reset();
    conn->timer->stop();
    if (message.version() != 11) {
      fault(conn, 505, "HTTP/1.1 is needed: only there can a cut body be told from a whole one");
      return;
    }
    Request request;
    request.at = conn->at;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (beastHttp::request<beastHttp::string_body>::value_type const& f : message) {
      std::string const name = lower(std::string(f.name_string()));
      std::pair<HeaderMap::iterator, bool> const at = request.fields.emplace(name, std::string(f.value()));
      if (!at.second)
        at.first->second.append(name == "cookie" ? "; " : ", ").append(f.value().data(), f.value().size());
    }
    conn->keep = message.keep_alive();
    conn->headAsked = message.method() == beastHttp::verb::head;
    request.body = std::move(message.body());
    request.readFor = conn->firstByte.elapsed();
    conn->asked = true;
    conn->id = next_++;
    request.id = conn->id;
    conn->begun = false;
    byId_[conn->id] = conn;
    events_.request(std::move(request));
  }
}

void Server::fault(std::shared_ptr<Conn> const& conn, int status, std::string const& reason) {
  ++malformed_;
  std::string const body = "{\"error\":\"malformed\",\"reason\":\"" + reason + "\"}";
  HeaderList fields = limits_.faultFields;
  fields.emplace_back("Content-Type", "application/json");
  if (status == 503) fields.emplace_back("Retry-After", "1");
  conn->buffer.clear();
  conn->faulted = true;
  conn->keep = false;
  conn->headAsked = false;
  put(*conn->socket, headOf(*conn, status, fields, static_cast<std::int64_t>(body.size()), {}) + body);
  conn->timer->start(lingerMs);
}

std::string Server::headOf(Conn& conn, int status, HeaderList const& fields, std::int64_t length,
                           std::string const& reason) {
  beastHttp::response<beastHttp::empty_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(status));
  if (!reason.empty()) message.reason(reason);
  for (HeaderList::value_type const& f : fields) message.insert(f.first, f.second);
  if (limits_.named) message.set(beastHttp::field::server, "corkward");
  conn.bodiless = conn.headAsked || bodilessStatus(status);
  conn.chunked = length < 0 && !conn.bodiless;
  conn.told = !conn.keep || leaving_;
  if (conn.chunked) message.chunked(true);
  if (length >= 0 && !(bodilessStatus(status) && status != 304))
    message.content_length(static_cast<std::uint64_t>(length));
  if (conn.told) message.set(beastHttp::field::connection, "close");
  return headText(message);
}

Server::Conn* Server::find(std::uint64_t id) const {
  std::unordered_map<std::uint64_t, std::shared_ptr<Conn>>::const_iterator const it = byId_.find(id);
  return it == byId_.end() ? nullptr : it->second.get();
}

void Server::answer(std::uint64_t id, int status, HeaderList const& fields, std::string const& body) {
  Conn* const conn = find(id);
  if (conn == nullptr) return;
  CORKWARD_GUARANTEE(core::Guarantee::singleResponse, !conn->begun,
                     "an answer after a head, status " + std::to_string(status));
  if (conn->begun) {
    abort(id);
    return;
  }
  std::int64_t const length = status == 304 && body.empty() ? -1 : static_cast<std::int64_t>(body.size());
  put(*conn->socket, headOf(*conn, status, fields, length, {}));
  if (!conn->bodiless && !body.empty()) put(*conn->socket, body);
  done(byId_.at(id));
}

void Server::begin(std::uint64_t id, int status, HeaderList const& fields, std::int64_t length,
                   std::string const& reason) {
  Conn* const conn = find(id);
  if (conn == nullptr) return;
  CORKWARD_GUARANTEE(core::Guarantee::singleResponse, !conn->begun, "a second head, status " + std::to_string(status));
  if (conn->begun) {
    abort(id);
    return;
  }
  conn->begun = true;
  put(*conn->socket, headOf(*conn, status, fields, length, reason));
  conn->untold = conn->bodiless ? -1 : length;
}

void Server::writeChunk(std::uint64_t id, std::string const& bytes) {
  Conn* const conn = find(id);
  if (conn == nullptr || bytes.empty() || conn->bodiless) return;
  if (!conn->chunked) {
    conn->untold -= conn->untold < 0 ? 0 : static_cast<std::int64_t>(bytes.size());
    put(*conn->socket, bytes);
    return;
  }
  std::string text;
  text.reserve(bytes.size() + 24);
  append(text, beastHttp::make_chunk(boost::asio::buffer(bytes)));
  put(*conn->socket, text);
}

void Server::finish(std::uint64_t id) {
  Conn* const conn = find(id);
  if (conn == nullptr) return;
  bool const whole = conn->untold <= 0;
  CORKWARD_GUARANTEE(core::Guarantee::completeResponses, whole, std::to_string(conn->untold) + " bytes are missing");
  if (!whole) {
    abort(id);
    return;
  }
  if (conn->chunked) {
    std::string text;
    append(text, beastHttp::make_chunk_last());
    put(*conn->socket, text);
  }
  done(byId_.at(id));
}

void Server::done(std::shared_ptr<Conn> conn) {
  byId_.erase(conn->id);
  conn->id = 0;
  conn->begun = false;
  if (conn->told) {
    conn->lingers = true;
    conn->buffer.clear();
    conn->timer->start(limits_.idleMs);
    linger(conn);
    return;
  }
  conn->timer->start(limits_.idleMs);
  std::weak_ptr<Conn> const weak = conn;
  QTimer::singleShot(0, this, [this, weak] {
    if (std::shared_ptr<Conn> const c = weak.lock()) readable(c);
  });
}

void Server::linger(std::shared_ptr<Conn> const& conn) {
  if (conn->dropped || conn->socket->bytesToWrite() > 0) return;
  ::shutdown(static_cast<int>(conn->socket->socketDescriptor()), SHUT_WR);
  conn->socket->readAll();
  conn->timer->start(lingerMs);
}

void Server::close() {
  for (std::size_t at = 0; at < servers_.size(); ++at) {
    bool took = servers_[at]->isListening();
    while (took) {
      servers_[at]->waitForNewConnection(0);
      took = false;
      while (QTcpSocket* const socket = servers_[at]->nextPendingConnection()) {
        welcome(socket, at);
        took = true;
      }
    }
    servers_[at]->close();
  }
}

std::size_t Server::expecting() const {
  std::size_t out = 0;
  for (std::unordered_map<Conn const*, std::shared_ptr<Conn>>::value_type const& c : conns_) {
    Conn const& conn = *c.second;
    if (conn.id != 0 || conn.faulted || conn.lingers) continue;
    char byte = 0;
    bool const sent = !conn.buffer.isEmpty() || conn.parser || conn.socket->bytesAvailable() > 0 ||
                      ::recv(static_cast<int>(conn.socket->socketDescriptor()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    if (sent || !conn.asked) ++out;
  }
  return out;
}

std::size_t Server::pendingCount() const {
  std::size_t out = 0;
  for (std::unordered_map<Conn const*, std::shared_ptr<Conn>>::value_type const& c : conns_)
    if (c.second->id != 0 || c.second->socket->bytesToWrite() > 0) ++out;
  return out;
}

void Server::abort(std::uint64_t id) {
  std::unordered_map<std::uint64_t, std::shared_ptr<Conn>>::iterator const it = byId_.find(id);
  if (it == byId_.end()) return;
  std::shared_ptr<Conn> const conn = it->second;
  byId_.erase(it);
  conn->id = 0;
  drop(conn);
}

void Server::drop(std::shared_ptr<Conn> const& conn) {
  if (conn->dropped) return;
  conn->dropped = true;
  std::uint64_t const id = conn->id;
  conn->id = 0;
  if (id != 0) byId_.erase(id);
  conns_.erase(conn.get());
  conn->socket->disconnect(this);
  conn->socket->abort();
  conn->socket->deleteLater();
  if (id != 0 && events_.disconnected) events_.disconnected(id);
}

bool Server::isDisconnected(std::uint64_t id) const {
  Conn const* const conn = find(id);
  if (conn == nullptr) return true;
  char byte = 0;
  ssize_t const got = ::recv(static_cast<int>(conn->socket->socketDescriptor()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::int64_t Server::bufferedBytes(std::uint64_t id) const {
  Conn const* const conn = find(id);
  return conn == nullptr ? 0 : conn->socket->bytesToWrite();
}

}  // namespace corkward::http
