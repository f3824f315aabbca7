#include <corkward/door/server.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <optional>
#include <sstream>

namespace corkward::door {

namespace http = boost::beast::http;

namespace {

constexpr qint64 readBuffer = 64 << 10;
constexpr int lingerMs = 1000;

std::string lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

template <class Message>
void setFields(Message& message, Fields const& fields) {
  for (Fields::value_type const& f : fields) message.set(f.first, f.second);
  message.set(http::field::server, "corkward");
}

}  // namespace

std::pair<std::string, std::uint16_t> splitAddress(std::string const& address) {
  std::size_t const colon = address.rfind(':');
  QHostAddress host;
  bool ok = colon != std::string::npos && host.setAddress(QString::fromStdString(address.substr(0, colon)));
  int port = 0;
  if (ok) port = QString::fromStdString(address.substr(colon + 1)).toInt(&ok);
  if (!ok || port < 0 || port > 65535) throw Error("not an ip:port address: " + address);
  return {address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

struct Server::Conn {
  using Parser = http::request_parser<http::string_body>;
  QTcpSocket* socket = nullptr;
  QTimer* timer = nullptr;
  QByteArray buffer;
  std::unique_ptr<Parser> parser;
  std::uint64_t id = 0;
  bool keep = true;
  bool begun = false;
  bool chunked = false;
  bool continued = false;
  bool dropped = false;
  bool faulted = false;
};

Server::Server(std::string const& address, Limits limits, Events events, QObject* parent)
    : QObject(parent), limits_(limits), events_(std::move(events)), server_(new QTcpServer(this)) {
  std::pair<std::string, std::uint16_t> const at = splitAddress(address);
  server_->setListenBacklogSize(512);
  if (!server_->listen(QHostAddress(QString::fromStdString(at.first)), at.second))
    throw Error("listen at " + address + ": " + server_->errorString().toStdString());
  address_ = at.first + ":" + std::to_string(server_->serverPort());
  QObject::connect(server_, &QTcpServer::newConnection, this, [this] { accept(); });
}

Server::~Server() {
  std::map<Conn const*, std::shared_ptr<Conn>> const all = std::move(conns_);
  conns_.clear();
  for (std::map<Conn const*, std::shared_ptr<Conn>>::value_type const& c : all) {
    c.second->socket->disconnect();
    c.second->socket->abort();
  }
}

void Server::accept() {
  while (QTcpSocket* const socket = server_->nextPendingConnection()) {
    if (static_cast<int>(conns_.size()) >= 2 * limits_.connections) {
      socket->abort();
      socket->deleteLater();
      continue;
    }
    std::shared_ptr<Conn> const conn = std::make_shared<Conn>();
    conn->socket = socket;
    socket->setParent(this);
    socket->setReadBufferSize(readBuffer);
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    conn->timer = new QTimer(socket);
    conn->timer->setSingleShot(true);
    conns_[conn.get()] = conn;
    std::weak_ptr<Conn> const weak = conn;
    QObject::connect(conn->timer, &QTimer::timeout, this, [this, weak] {
      if (std::shared_ptr<Conn> const c = weak.lock())
        if (c->id == 0) drop(c);
    });
    QObject::connect(socket, &QTcpSocket::readyRead, this, [this, weak] {
      if (std::shared_ptr<Conn> const c = weak.lock()) readable(c);
    });
    QObject::connect(socket, &QTcpSocket::disconnected, this, [this, weak] {
      if (std::shared_ptr<Conn> const c = weak.lock()) drop(c);
    });
    QObject::connect(socket, &QTcpSocket::bytesWritten, this, [this, weak](qint64) {
      std::shared_ptr<Conn> const c = weak.lock();
      if (c && c->id != 0 && c->begun && events_.room) events_.room(c->id);
    });
    conn->timer->start(limits_.headMs);
    if (static_cast<int>(conns_.size()) > limits_.connections)
      fault(conn, 503, "too many connections");
    else
      readable(conn);
  }
}

void Server::readable(std::shared_ptr<Conn> const& conn) {
  if (conn->dropped || conn->id != 0) return;
  if (conn->faulted) {
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
      conn->timer->start(limits_.headMs);
    }
    boost::beast::error_code ec;
    std::size_t const used =
        conn->parser->put(boost::asio::buffer(conn->buffer.constData(), static_cast<std::size_t>(conn->buffer.size())), ec);
    conn->buffer.remove(0, static_cast<qsizetype>(used));
    if (ec && ec != http::error::need_more) {
      int const status = ec == http::error::body_limit ? 413 : ec == http::error::header_limit ? 431 : 400;
      fault(conn, status, ec.message());
      return;
    }
    if (conn->parser->is_header_done() && !conn->continued &&
        lower(std::string(conn->parser->get()[http::field::expect])) == "100-continue") {
      conn->continued = true;
      conn->socket->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!conn->parser->is_done()) {
      if (conn->buffer.size() > static_cast<qsizetype>(limits_.head)) fault(conn, 431, "head too large");
      return;
    }
    http::request<http::string_body> message = conn->parser->release();
    conn->parser.reset();
    conn->timer->stop();
    if (message.version() != 11) {
      fault(conn, 505, "HTTP/1.1 is needed: only there can a cut body be told from a whole one");
      return;
    }
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (http::request<http::string_body>::value_type const& f : message)
      request.fields[lower(std::string(f.name_string()))] = std::string(f.value());
    conn->keep = message.keep_alive();
    request.body = std::move(message.body());
    conn->id = next_++;
    request.id = conn->id;
    conn->begun = false;
    byId_[conn->id] = conn;
    events_.request(std::move(request));
  }
}

void Server::fault(std::shared_ptr<Conn> const& conn, int status, std::string const& reason) {
  ++malformed_;
  http::response<http::string_body> message{static_cast<http::status>(status), 11};
  message.body() = "{\"error\":\"malformed\",\"reason\":\"" + reason + "\"}";
  message.set(http::field::content_type, "application/json");
  message.set(http::field::connection, "close");
  setFields(message, {{"corkward-outcome", "not-run"}});
  if (status == 503) message.set(http::field::retry_after, "1");
  message.prepare_payload();
  std::ostringstream text;
  text << message;
  conn->buffer.clear();
  conn->faulted = true;
  conn->socket->write(QByteArray::fromStdString(text.str()));
  conn->timer->start(lingerMs);
}

Server::Conn* Server::find(std::uint64_t id) const {
  std::map<std::uint64_t, std::shared_ptr<Conn>>::const_iterator const it = byId_.find(id);
  return it == byId_.end() ? nullptr : it->second.get();
}

void Server::answer(std::uint64_t id, int status, Fields const& fields, std::string const& body) {
  Conn* const conn = find(id);
  if (conn == nullptr) return;
  http::response<http::string_body> message{static_cast<http::status>(status), 11};
  setFields(message, fields);
  message.body() = body;
  message.prepare_payload();
  if (!conn->keep || leaving_) message.set(http::field::connection, "close");
  std::ostringstream text;
  text << message;
  conn->socket->write(QByteArray::fromStdString(text.str()));
  done(byId_.at(id));
}

void Server::begin(std::uint64_t id, int status, Fields const& fields, std::int64_t length) {
  Conn* const conn = find(id);
  if (conn == nullptr) return;
  http::response<http::empty_body> message{static_cast<http::status>(status), 11};
  setFields(message, fields);
  conn->begun = true;
  conn->chunked = length < 0;
  if (conn->chunked)
    message.chunked(true);
  else
    message.content_length(static_cast<std::uint64_t>(length));
  if (!conn->keep || leaving_) message.set(http::field::connection, "close");
  std::ostringstream text;
  text << message.base();
  conn->socket->write(QByteArray::fromStdString(text.str()));
}

void Server::piece(std::uint64_t id, std::string const& bytes) {
  Conn* const conn = find(id);
  if (conn == nullptr || bytes.empty()) return;
  if (conn->chunked)
    conn->socket->write(QByteArray::fromStdString(boost::beast::buffers_to_string(http::make_chunk(boost::asio::buffer(bytes)))));
  else
    conn->socket->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void Server::finish(std::uint64_t id) {
  Conn* const conn = find(id);
  if (conn == nullptr) return;
  if (conn->chunked) conn->socket->write(QByteArray::fromStdString(boost::beast::buffers_to_string(http::make_chunk_last())));
  done(byId_.at(id));
}

void Server::done(std::shared_ptr<Conn> conn) {
  byId_.erase(conn->id);
  conn->id = 0;
  conn->begun = false;
  if (!conn->keep || leaving_) {
    conn->socket->disconnectFromHost();
    return;
  }
  conn->timer->start(limits_.idleMs);
  std::weak_ptr<Conn> const weak = conn;
  QTimer::singleShot(0, this, [this, weak] {
    if (std::shared_ptr<Conn> const c = weak.lock()) readable(c);
  });
}

void Server::abort(std::uint64_t id) {
  std::map<std::uint64_t, std::shared_ptr<Conn>>::iterator const it = byId_.find(id);
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
  if (id != 0 && events_.gone) events_.gone(id);
}

std::int64_t Server::waiting(std::uint64_t id) const {
  Conn const* const conn = find(id);
  return conn == nullptr ? 0 : conn->socket->bytesToWrite();
}

}  // namespace corkward::door
