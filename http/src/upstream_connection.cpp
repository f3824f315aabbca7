#include <corkward/http/upstream_connection.h>

#include <QHostAddress>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

#include <corkward/http/upstream_pool.h>
#include <corkward/http/server.h>

#include "wire.h"

namespace corkward::http {

namespace beastHttp = boost::beast::http;

namespace {

constexpr qint64 readBuffer = 64 << 10;
constexpr std::size_t longestRest = 16U << 10;
constexpr int restMs = 500;
constexpr char const* lifePage = "/corkward/life";
constexpr char const* lifeField = "corkward-life";
/// Longest request body after which a connection is kept. A replica may answer before it has read a long body, and what
/// is sent next on that connection would wait unread behind the rest of it, in buffers that no one here sees.
constexpr std::size_t longestKeptBody = 64U << 10;
constexpr core::Tick noLimit = std::numeric_limits<core::Tick>::max();

/// Nothing waits on the connection, not even its end.
bool quiet(QTcpSocket& socket) {
  if (socket.state() != QAbstractSocket::ConnectedState || socket.bytesAvailable() > 0) return false;
  char byte = 0;
  ssize_t const got = ::recv(static_cast<int>(socket.socketDescriptor()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// How long the other side keeps an idle connection, in milliseconds.
core::Tick keepAliveOf(HeaderList const& fields) {
  std::string told = ";" + field(fields, "keep-alive");
  std::replace(told.begin(), told.end(), ',', ';');
  beastHttp::param_list const params(told);
  for (beastHttp::param_list::value_type const& p : params) {
    bool ok = false;
    if (lower(std::string(p.first)) != "timeout") continue;
    core::Tick const seconds = QString::fromStdString(std::string(p.second)).toInt(&ok);
    return ok && seconds >= 0 ? seconds * 1000 : 0;
  }
  return noLimit;
}

}  // namespace

struct UpstreamConnection::State {
  using Parser = beastHttp::response_parser<beastHttp::buffer_body>;
  std::optional<Parser> parser;
  QPointer<UpstreamPool> upstreams;
  QByteArray buffer;
  core::Tick keepAlive = noLimit;
  /// The life that the replica must name first; empty: none.
  std::string life;
  bool asking = false;
  /// This process could open no socket, which says nothing of the replica.
  bool outOfDescriptors = false;
  bool kept = false;
  bool rested = false;
  bool connected = false;
  bool sent = false;
  bool noBody = false;
  /// The request's body is longer than what a connection is kept after.
  bool longBody = false;
  bool headSeen = false;
  bool paused = false;
  bool over = false;
  bool released = false;
  /// The owner wants no event any more.
  bool stopped = false;
  std::size_t rest = 0;
  /// Second descriptor of a connection whose end is the end of the answer's body; below zero: none. The socket closes
  /// its own before it tells that the connection has ended, and does not say whether in order or by a reset.
  int witness = -1;

  ~State() { closeWitness(); }

  void closeWitness() {
    if (witness >= 0) ::close(witness);
    witness = -1;
  }

  /// The other side has closed in order: a reset leaves the connection without a peer.
  bool closedInOrder() const {
    sockaddr_storage peer{};
    socklen_t length = sizeof peer;
    return witness >= 0 && ::getpeername(witness, reinterpret_cast<sockaddr*>(&peer), &length) == 0;
  }

  void fresh() {
    parser.emplace();
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->header_limit(16U << 10);
    parser->eager(false);
    parser->skip(noBody);
  }
};

UpstreamConnection::UpstreamConnection(std::string const& address, Events events, QObject* parent)
    : UpstreamConnection(address, std::move(events), parent, nullptr, nullptr) {}

UpstreamConnection::UpstreamConnection(std::string const& address, std::string life, Events events, QObject* parent)
    : UpstreamConnection(address, std::move(events), parent) {
  state_->life = std::move(life);
}

UpstreamConnection::UpstreamConnection(std::string const& address, Events events, QObject* parent,
                                       UpstreamPool* upstreams, QTcpSocket* kept, bool rested)
    : QObject(parent), events_(std::move(events)), address_(address), socket_(kept), state_(std::make_unique<State>()) {
  state_->upstreams = upstreams;
  state_->kept = kept != nullptr;
  state_->rested = rested;
  if (kept == nullptr) {
    open();
    return;
  }
  socket_->setParent(this);
  attach();
  QMetaObject::invokeMethod(
      this, [this] { ready(); }, Qt::QueuedConnection);
}

UpstreamConnection::~UpstreamConnection() {
  if (socket_ == nullptr) return;
  socket_->disconnect(this);
  socket_->abort();
}

void UpstreamConnection::open() {
  state_->kept = false;
  if (state_->upstreams) ++state_->upstreams->opened_;
  socket_ = new QTcpSocket(this);
  socket_->setReadBufferSize(readBuffer);
  attach();
  QObject::connect(socket_, &QTcpSocket::connected, this, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QMetaObject::invokeMethod(
        this, [this] { ready(); }, Qt::QueuedConnection);
  });
  std::pair<std::string, std::uint16_t> const at = splitAddress(address_);
  socket_->connectToHost(QHostAddress(QString::fromStdString(at.first)), at.second);
}

void UpstreamConnection::attach() {
  QObject::connect(socket_, &QTcpSocket::readyRead, this, [this] { readable(); });
  QObject::connect(socket_, &QTcpSocket::disconnected, this, [this] {
    if (!state_->sent) {
      if (state_->connected || state_->asking) rejected();
      return;
    }
    if (!state_->paused) closed();
  });
  QObject::connect(socket_, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError error) {
    state_->outOfDescriptors = error == QAbstractSocket::SocketResourceError;
    if (!state_->kept && !state_->connected && !state_->asking) rejected();
  });
}

void UpstreamConnection::ready() {
  if (state_->over || state_->connected || state_->asking) return;
  if (!quiet(*socket_)) {
    bool const again = state_->kept;
    if (!again) {
      rejected();
      return;
    }
    socket_->disconnect(this);
    socket_->abort();
    socket_->deleteLater();
    if (state_->upstreams) state_->upstreams->drop(address_);
    open();
    return;
  }
  if (!state_->life.empty()) {
    askLife();
    return;
  }
  if (state_->kept && state_->upstreams) ++state_->upstreams->reused_;
  state_->connected = true;
  events_.connected();
}

void UpstreamConnection::askLife() {
  beastHttp::request<beastHttp::empty_body> message;
  message.version(11);
  message.method(beastHttp::verb::get);
  message.target(lifePage);
  message.set(beastHttp::field::host, address_);
  state_->asking = true;
  state_->fresh();
  put(*socket_, headText(message));
}

void UpstreamConnection::lifeReadable() {
  state_->buffer += socket_->readAll();
  State::Parser& parser = *state_->parser;
  boost::beast::error_code ec;
  std::size_t const used =
      parser.put(boost::asio::buffer(state_->buffer.constData(), static_cast<std::size_t>(state_->buffer.size())), ec);
  state_->buffer.remove(0, static_cast<qsizetype>(used));
  bool const more = !parser.is_header_done() && (!ec || ec == beastHttp::error::need_more);
  if (more) return;
  bool const named = parser.is_header_done() && parser.get().result_int() == 200 && parser.get().version() == 11 &&
                     parser.get().keep_alive() && parser.content_length() && *parser.content_length() == 0 &&
                     state_->buffer.isEmpty() && std::string(parser.get()[lifeField]) == state_->life;
  if (!named) {
    rejected();
    return;
  }
  state_->asking = false;
  state_->connected = true;
  events_.connected();
}

void UpstreamConnection::rejected() {
  if (state_->over) return;
  state_->over = true;
  if (state_->upstreams) state_->upstreams->drop(address_);
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (!state_->stopped) events_.rejected();
      },
      Qt::QueuedConnection);
}

void UpstreamConnection::send(ReplicaRequest const& request, std::string const& body) {
  if (state_->over || state_->sent) return;
  if (!quiet(*socket_)) {
    rejected();
    return;
  }
  beastHttp::request<beastHttp::empty_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (field(request.fields, "host").empty()) message.set(beastHttp::field::host, address_);
  for (HeaderList::value_type const& f : request.fields) message.insert(f.first, f.second);
  if (!state_->upstreams || state_->upstreams->kept_.perReplica == 0)
    message.set(beastHttp::field::connection, "close");
  bool const bare = body.empty() && (request.method == "GET" || request.method == "HEAD" ||
                                     request.method == "DELETE" || request.method == "OPTIONS");
  if (!bare) message.content_length(body.size());
  state_->noBody = request.method == "HEAD";
  state_->fresh();
  state_->sent = true;
  put(*socket_, headText(message));
  if (!body.empty()) put(*socket_, body);
  state_->longBody = body.size() > longestKeptBody;
}

void UpstreamConnection::pause(bool paused) {
  if (state_->paused == paused) return;
  state_->paused = paused;
  if (paused || state_->over) return;
  QMetaObject::invokeMethod(
      this,
      [this] {
        QPointer<UpstreamConnection> const alive(this);
        if (state_->paused || state_->over || socket_ == nullptr) return;
        readable();
        if (alive && !state_->paused && socket_ != nullptr && socket_->state() == QAbstractSocket::UnconnectedState)
          closed();
      },
      Qt::QueuedConnection);
}

bool UpstreamConnection::outOfDescriptors() const {
  return state_->outOfDescriptors;
}

bool UpstreamConnection::forgotten() const {
  return state_->kept && state_->rested && !state_->headSeen;
}

void UpstreamConnection::stop() {
  state_->over = true;
  state_->stopped = true;
  state_->closeWitness();
  if (socket_ == nullptr) return;
  socket_->disconnect(this);
  socket_->abort();
}

void UpstreamConnection::release() {
  bool const may = !state_->over && socket_ != nullptr && state_->upstreams &&
                   state_->upstreams->kept_.perReplica > 0 && state_->headSeen;
  if (!may) {
    stop();
    deleteLater();
    return;
  }
  state_->released = true;
  state_->paused = false;
  setParent(state_->upstreams);
  QTimer::singleShot(restMs, this, [this] {
    stop();
    deleteLater();
  });
  QMetaObject::invokeMethod(
      this,
      [this] {
        if (!state_->over) readable();
      },
      Qt::QueuedConnection);
}

void UpstreamConnection::closed() {
  QPointer<UpstreamConnection> const alive(this);
  readable();
  if (!alive || state_->over || state_->paused) return;
  over(state_->buffer.isEmpty() && state_->closedInOrder());
}

void UpstreamConnection::over(bool whole) {
  if (state_->over) return;
  state_->over = true;
  if (whole) {
    giveBack();
  } else if (state_->upstreams) {
    state_->upstreams->drop(address_);
  }
  if (state_->released) deleteLater();
  if (!state_->released) events_.ended(whole);
}

void UpstreamConnection::giveBack() {
  bool const may = state_->upstreams && state_->upstreams->kept_.perReplica > 0 && !state_->longBody &&
                   state_->parser->get().version() == 11 && state_->parser->keep_alive() && state_->buffer.isEmpty() &&
                   socket_->bytesToWrite() == 0 && quiet(*socket_);
  if (!may) return;
  QTcpSocket* const socket = std::exchange(socket_, nullptr);
  socket->disconnect(this);
  state_->upstreams->put(address_, socket, state_->keepAlive);
}

void UpstreamConnection::readable() {
  if (state_->asking && !state_->over) {
    lifeReadable();
    return;
  }
  if (!state_->sent) return;
  QPointer<UpstreamConnection> const alive(this);
  std::array<char, 32768> part;
  std::string gathered;
  std::function<void()> const pass = [&] {
    if (gathered.empty()) return;
    if (state_->released) {
      state_->rest += gathered.size();
      if (state_->rest > longestRest) over(false);
    } else {
      events_.piece(std::move(gathered));
    }
    gathered.clear();
  };
  while (alive && !state_->over && !state_->paused) {
    if (state_->buffer.isEmpty()) state_->buffer = socket_->read(readBuffer);
    if (state_->buffer.isEmpty()) {
      pass();
      return;
    }
    State::Parser& parser = *state_->parser;
    boost::beast::error_code ec;
    if (state_->headSeen) {
      parser.get().body().data = part.data();
      parser.get().body().size = part.size();
    }
    std::size_t const used = parser.put(
        boost::asio::buffer(state_->buffer.constData(), static_cast<std::size_t>(state_->buffer.size())), ec);
    state_->buffer.remove(0, static_cast<qsizetype>(used));
    if (state_->headSeen) gathered.append(part.data(), part.size() - parser.get().body().size);
    if (ec && ec != beastHttp::error::need_more && ec != beastHttp::error::need_buffer) {
      pass();
      if (alive) over(false);
      return;
    }
    if (!state_->headSeen && parser.is_header_done()) {
      int const status = static_cast<int>(parser.get().result_int());
      if (status < 200 && status != 101 && status >= 100) {
        state_->fresh();
        continue;
      }
      ReplicaHead head;
      head.status = status;
      head.reason = std::string(parser.get().reason());
      for (beastHttp::fields::value_type const& f : parser.get())
        head.fields.emplace_back(std::string(f.name_string()), std::string(f.value()));
      head.bodiless = state_->noBody || status == 204 || status == 304;
      std::string const coding = lower(field(head.fields, "content-encoding"));
      bool const coded = status / 100 == 2 && !coding.empty() && coding != "identity";
      if (status == 101 || coded) {
        over(false);
        return;
      }
      state_->headSeen = true;
      state_->keepAlive = keepAliveOf(head.fields);
      parser.eager(true);
      bool const endsWithConnection = !head.bodiless && !parser.content_length() && !parser.chunked() &&
                                      state_->upstreams && state_->upstreams->kept_.closeEndsAnswer;
      if (endsWithConnection)
        state_->witness = ::fcntl(static_cast<int>(socket_->socketDescriptor()), F_DUPFD_CLOEXEC, 0);
      if (!head.bodiless && parser.content_length()) head.length = static_cast<std::int64_t>(*parser.content_length());
      if (head.bodiless) {
        std::string const told = field(head.fields, "content-length");
        bool ok = false;
        std::int64_t const length = QString::fromStdString(told).toLongLong(&ok);
        if (ok) head.length = length;
      }
      events_.head(std::move(head));
      if (!alive || state_->over) return;
    }
    if (state_->headSeen && parser.is_done()) {
      pass();
      if (alive) over(true);
      return;
    }
    if (used == 0 && ec == beastHttp::error::need_more) {
      QByteArray const more = socket_->read(readBuffer);
      if (more.isEmpty()) {
        pass();
        return;
      }
      state_->buffer += more;
    }
    if (gathered.size() >= static_cast<std::size_t>(readBuffer)) pass();
  }
}

}  // namespace corkward::http
