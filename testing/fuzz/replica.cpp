#include "replica.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>

#include "clock.h"
#include "socket_reset.h"

namespace corkward::fuzz {

namespace beastHttp = boost::beast::http;
using platform::test::resetSocket;

namespace {

constexpr int smallWindow = 4096;
constexpr qint64 readBuffer = 32 << 10;
constexpr qint64 slowReadBytes = 8192;
constexpr int slowReadMs = 2;
constexpr std::uint64_t longestBody = 16U << 20;

}  // namespace

struct Replica::Connection {
  using Parser = beastHttp::request_parser<beastHttp::string_body>;
  QTcpSocket* socket = nullptr;
  QTimer* timer = nullptr;
  QTimer* slow = nullptr;
  QByteArray buffer;
  std::unique_ptr<Parser> parser = {};
  bool headComplete = false;
  bool bodyComplete = false;
  bool responded = false;
  bool over = false;
  std::size_t dispatch = 0;
  ScriptedExchange exchange = {};
  std::size_t step = 0;
};

Replica::Replica(std::size_t index, Events events) : index_(index), events_(std::move(events)) {
  if (!server_.listen(QHostAddress::LocalHost, 0)) throw PlanError("no port for a replica");
  ::setsockopt(static_cast<int>(server_.socketDescriptor()), SOL_SOCKET, SO_RCVBUF, &smallWindow, sizeof smallWindow);
  QObject::connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
}

Replica::~Replica() {
  for (std::shared_ptr<Connection> const& c : connections_) {
    c->socket->disconnect(this);
    c->socket->abort();
  }
}

std::string Replica::address() const {
  return "127.0.0.1:" + std::to_string(server_.serverPort());
}

void Replica::accept() {
  while (QTcpSocket* const socket = server_.nextPendingConnection()) {
    if (events_.refuses()) {
      resetSocket(*socket);
      socket->deleteLater();
      continue;
    }
    std::shared_ptr<Connection> const conn = std::make_shared<Connection>();
    conn->socket = socket;
    socket->setReadBufferSize(readBuffer);
    conn->timer = new QTimer(socket);
    conn->timer->setSingleShot(true);
    conn->slow = new QTimer(socket);
    connections_.push_back(conn);
    std::weak_ptr<Connection> const weak = conn;
    QObject::connect(socket, &QTcpSocket::readyRead, this, [this, weak] {
      if (std::shared_ptr<Connection> const c = weak.lock()) readable(c);
    });
    QObject::connect(socket, &QTcpSocket::disconnected, this, [this, weak] {
      if (std::shared_ptr<Connection> const c = weak.lock()) onClosed(c);
    });
    QObject::connect(conn->timer, &QTimer::timeout, this, [this, weak] {
      if (std::shared_ptr<Connection> const c = weak.lock()) runScript(c);
    });
    QObject::connect(conn->slow, &QTimer::timeout, this, [this, weak] {
      if (std::shared_ptr<Connection> const c = weak.lock()) read(c);
    });
    readable(conn);
  }
}

void Replica::readable(std::shared_ptr<Connection> const& conn) {
  if (!conn->slow->isActive()) read(conn);
}

void Replica::read(std::shared_ptr<Connection> const& conn) {
  if (conn->over || !conn->socket->isReadable()) return;
  conn->buffer += conn->socket->read(conn->slow->isActive() ? slowReadBytes : readBuffer);
  while (!conn->over && !conn->buffer.isEmpty() && !conn->bodyComplete) {
    if (!conn->parser) {
      conn->parser = std::make_unique<Connection::Parser>();
      conn->parser->body_limit(longestBody);
      conn->parser->header_limit(1U << 20);
    }
    conn->parser->eager(conn->headComplete);
    boost::beast::error_code ec;
    std::size_t const used = conn->parser->put(
        boost::asio::buffer(conn->buffer.constData(), static_cast<std::size_t>(conn->buffer.size())), ec);
    conn->buffer.remove(0, static_cast<qsizetype>(used));
    if (conn->headComplete) events_.dispatch(conn->dispatch).lastByteAt = programs::now();
    if (ec && ec != beastHttp::error::need_more) {
      resetSocket(*conn->socket);
      return;
    }
    if (!conn->headComplete && conn->parser->is_header_done()) onHead(conn);
    if (conn->over || !conn->headComplete) return;
    if (conn->parser->is_done()) {
      conn->bodyComplete = true;
      Dispatch& d = events_.dispatch(conn->dispatch);
      d.bodyComplete = true;
      d.body = conn->parser->get().body();
      if (events_.alters && !d.body.empty()) d.body[d.body.size() / 2] ^= 1;
    } else if (ec == beastHttp::error::need_more) {
      break;
    }
  }
  if (conn->headComplete && !conn->over) runScript(conn);
  if (conn->responded && conn->bodyComplete) next(conn);
}

void Replica::onHead(std::shared_ptr<Connection> const& conn) {
  conn->headComplete = true;
  beastHttp::request<beastHttp::string_body> const& head = conn->parser->get();
  Dispatch d;
  d.replica = index_;
  d.at = programs::now();
  d.lastByteAt = d.at;
  d.method = std::string(head.method_string());
  d.target = std::string(head.target());
  for (auto const& f : head) d.fields[http::toLower(std::string(f.name_string()))] = std::string(f.value());
  std::size_t const length = conn->parser->content_length() ? *conn->parser->content_length() : 0;
  std::pair<std::size_t, ScriptedExchange> noted = events_.arrived(std::move(d), length);
  conn->dispatch = noted.first;
  conn->exchange = std::move(noted.second);
  conn->step = 0;
  if (conn->exchange.slowReading && length > 0) conn->slow->start(slowReadMs);
}

void Replica::runScript(std::shared_ptr<Connection> const& conn) {
  while (!conn->over && !conn->responded && !conn->timer->isActive()) {
    Step const& step = conn->exchange.steps[conn->step];
    switch (step.kind) {
      case Step::Kind::awaitBody:
        if (!conn->bodyComplete) return;
        break;
      case Step::Kind::awaitBytes:
        if (!conn->bodyComplete && conn->parser->get().body().size() < step.count) return;
        break;
      case Step::Kind::write:
        conn->socket->write(step.bytes.data(), static_cast<qint64>(step.bytes.size()));
        break;
      case Step::Kind::pause:
        conn->timer->start(step.ms);
        break;
      case Step::Kind::close:
        events_.dispatch(conn->dispatch).respondedAt = programs::now();
        conn->slow->stop();
        conn->responded = true;
        conn->socket->disconnectFromHost();
        return;
      case Step::Kind::reset:
        events_.dispatch(conn->dispatch).respondedAt = programs::now();
        conn->socket->flush();
        resetSocket(*conn->socket);
        return;
      case Step::Kind::hold:
        return;
      case Step::Kind::done:
        events_.dispatch(conn->dispatch).respondedAt = programs::now();
        conn->responded = true;
        return;
    }
    ++conn->step;
  }
  if (conn->responded && conn->bodyComplete) next(conn);
}

void Replica::next(std::shared_ptr<Connection> const& conn) {
  if (conn->over || !conn->responded || !conn->bodyComplete) return;
  conn->parser.reset();
  conn->headComplete = false;
  conn->bodyComplete = false;
  conn->responded = false;
  conn->slow->stop();
  QMetaObject::invokeMethod(
      conn->socket, [this, conn] { read(conn); }, Qt::QueuedConnection);
}

void Replica::onClosed(std::shared_ptr<Connection> const& conn) {
  if (conn->over) return;
  conn->over = true;
  if (conn->headComplete) events_.dispatch(conn->dispatch).closedAt = programs::now();
  conn->timer->stop();
  conn->slow->stop();
  conn->socket->deleteLater();
  std::erase(connections_, conn);
}

}  // namespace corkward::fuzz
