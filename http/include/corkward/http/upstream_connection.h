#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <corkward/core/body_end.h>
#include <corkward/core/types.h>
#include <corkward/http/headers.h>

class QTcpSocket;

namespace corkward::http {

class UpstreamPool;

/// Request line and header fields of a request to a replica.
struct ReplicaRequest {
  std::string method = "POST";
  std::string target;
  HeaderList headers = {};
};

/// Status line and header fields of a replica's response as received.
struct ReplicaHead {
  int status = 0;
  std::string reason = {};
  HeaderList headers = {};
  /// Value of Content-Length; negative if the response announces no length.
  std::int64_t bodyLength = -1;
  /// The response has no body because it answers a HEAD request or has a status without a body (204 or 304).
  bool hasNoBody = false;
};

/// A connection to a replica that carries one request of its owner. Before the owner calls send() no byte of the
/// request is written, and the connection never sends a request a second time on its own; so the owner always knows
/// whether the replica may have received the request. Events are delivered from the event loop, never from within a
/// member function. What a replica may send beside a body is bounded; see ResponseParser::maxFramingBytes.
class UpstreamConnection : public QObject {
 public:
  struct Events {
    /// The connection is established, and no byte of the request was sent yet.
    std::function<void()> connected;
    /// The connection could not be established or is not usable. No byte of the request was sent.
    std::function<void()> connectFailed;
    std::function<void(ReplicaHead)> head;
    /// Bytes of the response's body.
    std::function<void(std::string)> chunk;
    /// The response has ended. BodyEnd::connectionClosed is reported only if KeepAlivePolicy::closeMayEndBody is set;
    /// otherwise a body that ends with the connection is incomplete.
    std::function<void(core::BodyEnd)> ended;
  };
  /// Opens a connection that is closed after the request. Throws HttpError if the address is malformed.
  /// @param address ip:port
  UpstreamConnection(std::string const& address, Events events, QObject* parent);
  /// Opens a connection that is closed after the request, and asks the replica for its incarnation (GET
  /// /corkward/life). The connection is established only if the replica reports the given incarnation; otherwise it
  /// fails.
  UpstreamConnection(std::string const& address, std::string incarnation, Events events, QObject* parent);
  ~UpstreamConnection() override;
  UpstreamConnection(UpstreamConnection const&) = delete;
  UpstreamConnection& operator=(UpstreamConnection const&) = delete;
  UpstreamConnection(UpstreamConnection&&) = delete;
  UpstreamConnection& operator=(UpstreamConnection&&) = delete;
  /// Sends the request. May be called once, after the event `connected`. A long body is written in slices, as the
  /// replica takes them, so that no second copy of it exists.
  void send(ReplicaRequest const& request, std::shared_ptr<std::string const> body);
  /// Sends the request with a copy of the body.
  void send(ReplicaRequest const& request, std::string const& body);
  /// Closes the connection. No event is delivered afterwards.
  void close();
  /// Gives up the response and deletes this object later. No event is delivered afterwards. If the connection can be
  /// reused, the rest of a short response is read and discarded, and the connection returns to its pool; otherwise it
  /// is closed.
  void release();
  /// Whether the connection failed because this process ran out of file descriptors or other socket resources.
  bool outOfDescriptors() const;
  /// Whether the connection was reused after a long idle time and no response head has arrived: the replica may have
  /// closed the connection before it received the request.
  bool isStale() const;
  /// Stops or resumes reading the response, to apply backpressure to the replica.
  void setPaused(bool paused);

 private:
  friend class UpstreamPool;
  struct State;
  /// An idle connection that is taken from the pool.
  struct ReusedSocket {
    /// Null if the pool has no usable connection, so that a new one is opened.
    QTcpSocket* socket = nullptr;
    /// The connection was idle for so long that the replica may have closed it without this process having noticed.
    bool mayBeStale = false;
  };
  UpstreamConnection(std::string const& address, Events events, QObject* parent, UpstreamPool* pool,
                     ReusedSocket reused);

  void open();
  void watchSocket();
  void onSocketReady();
  void onReadyRead();
  void onDisconnected();
  /// Sends the request for the replica's incarnation.
  void requestIncarnation();
  void readIncarnation();
  void establish();
  /// Writes the next slice of the body if the socket has taken the one before.
  void writeBodySlice();
  void failConnect();
  void readResponse();
  /// Reads further bytes of the response into the buffer. Returns false if there are none.
  bool readMore();
  /// Handles a complete response head. Returns false if the response must not be read further.
  bool onHead();
  /// Delivers bytes of the body to the owner, or discards them after release(). Clears the given text.
  void deliver(std::string& bytes);
  /// Reads everything that was received on a connection that has ended, then finishes the response.
  void readToEnd();
  void finish(core::BodyEnd end);
  void returnToPool();

  Events events_;
  std::string address_;
  /// Null after the socket was returned to the pool.
  QTcpSocket* socket_;
  std::unique_ptr<State> state_;
};

}  // namespace corkward::http
