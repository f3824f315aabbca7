#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <corkward/core/types.h>
#include <corkward/http/headers.h>

class QTcpSocket;

namespace corkward::http {

class UpstreamPool;

/// Head of a request to a replica.
struct ReplicaRequest {
  std::string method = "POST";
  std::string target;
  HeaderList headers = {};
};

/// Head of a replica's response as it came.
struct ReplicaHead {
  int status = 0;
  std::string reason = {};
  HeaderList headers = {};
  /// Announced length of the body; below zero: none is announced.
  std::int64_t bodyLength = -1;
  /// No body follows: the response to HEAD, or a status that has none.
  bool hasNoBody = false;
};

/// One connection to one replica for one request. It is always known whether a byte of the request was handed to a
/// connected socket, and nothing is sent again without the owner. Events come from the event loop, never from within a
/// call.
class UpstreamConnection : public QObject {
 public:
  struct Events {
    /// The connection is established; nothing was sent yet.
    std::function<void()> connected;
    /// No connection, or none that may be used; nothing was sent.
    std::function<void()> connectFailed;
    std::function<void(ReplicaHead)> head;
    /// All bytes of the body that arrived together.
    std::function<void(std::string)> chunk;
    /// The response's own end was seen (true), or the connection ended before it (false). For a body without an
    /// announced end see KeepAlivePolicy::closeCompletesResponse.
    std::function<void(bool complete)> ended;
  };
  /// Opens a connection that ends with the request.
  /// @param address ip:port. Throws HttpError.
  UpstreamConnection(std::string const& address, Events events, QObject* parent);
  /// The same; it is established only when the replica has named this incarnation on it (GET /corkward/life), else it
  /// fails.
  UpstreamConnection(std::string const& address, std::string incarnation, Events events, QObject* parent);
  ~UpstreamConnection() override;
  UpstreamConnection(UpstreamConnection const&) = delete;
  UpstreamConnection& operator=(UpstreamConnection const&) = delete;
  UpstreamConnection(UpstreamConnection&&) = delete;
  UpstreamConnection& operator=(UpstreamConnection&&) = delete;
  /// Sends the request. Only once, after the event connected.
  void send(ReplicaRequest const& request, std::string const& body);
  /// Closes the connection; no event comes after.
  void close();
  /// As close, but a connection that may be kept reads the rest of a short response, goes back to its pool, and deletes
  /// this object.
  void release();
  /// The connection failed because this process could open no socket.
  bool outOfDescriptors() const;
  /// The connection was reused after a long idle time and nothing came on it: the replica may have closed it before it
  /// saw the request.
  bool isStale() const;
  /// Stops or resumes reading, for backpressure.
  void setPaused(bool paused);

 private:
  friend class UpstreamPool;
  struct State;
  /// An idle connection of the pool.
  struct ReusedSocket {
    /// Null: there is none, and a new connection is opened.
    QTcpSocket* socket = nullptr;
    /// It was idle for so long that the replica may have closed it unseen.
    bool rested = false;
  };
  UpstreamConnection(std::string const& address, Events events, QObject* parent, UpstreamPool* pool,
                     ReusedSocket reused);

  void open();
  void watchSocket();
  void onSocketReady();
  void onReadyRead();
  void onDisconnected();
  /// Asks the replica for its incarnation.
  void requestIncarnation();
  void readIncarnation();
  void establish();
  void failConnect();
  void readResponse();
  bool onHead();
  /// Passes bytes of the body on, or discards them after release, and empties the text.
  void deliver(std::string& bytes);
  /// The connection has ended, and all that came on it is to be read.
  void readToEnd();
  void finish(bool complete);
  void returnToPool();

  Events events_;
  std::string address_;
  /// Null once it was returned to the pool.
  QTcpSocket* socket_;
  std::unique_ptr<State> state_;
};

}  // namespace corkward::http
