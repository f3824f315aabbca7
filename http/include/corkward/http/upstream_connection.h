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
  HeaderList fields = {};
};

/// Head of a replica's answer as it came.
struct ReplicaHead {
  int status = 0;
  std::string reason = {};
  HeaderList fields = {};
  /// Length of the body as it is told; below zero: not told.
  std::int64_t length = -1;
  /// No body follows: the answer to HEAD, or a status that has none.
  bool bodiless = false;
};

/// One connection to one replica for one request: it is always known whether a byte of the request was handed to a
/// connected socket, and nothing is ever sent again unseen. Events come from the event loop alone, never from a call.
class UpstreamConnection : public QObject {
 public:
  struct Events {
    std::function<void()> connected;
    /// No connection, or none that may be used; nothing was handed over.
    std::function<void()> rejected;
    std::function<void(ReplicaHead)> head;
    /// All of the body that came together.
    std::function<void(std::string)> piece;
    /// The body's own end was seen (true), or the connection ended before it (false). A body of no told length: see
    /// KeepAlivePolicy::closeEndsAnswer.
    std::function<void(bool whole)> ended;
  };
  /// Opens a connection of its own, which ends with the request.
  UpstreamConnection(std::string const& address, Events events, QObject* parent);
  /// The same; it stands only once the replica has named this life on it (GET /corkward/life), else it is rejected.
  UpstreamConnection(std::string const& address, std::string life, Events events, QObject* parent);
  ~UpstreamConnection() override;
  /// Hands the request over. Only after connected, and once.
  void send(ReplicaRequest const& request, std::string const& body);
  /// Closes the connection; no event comes after.
  void stop();
  /// As stop, but a connection that may be kept reads the rest of a short answer, and then goes back and the relay is
  /// gone. The owner forgets the relay.
  void release();
  /// The connection was rejected because this process could open no socket.
  bool outOfDescriptors() const;
  /// The connection was kept and long idle, and nothing came on it: the replica may have forgotten it.
  bool forgotten() const;
  /// Stops or goes on reading, for backpressure.
  void pause(bool paused);

 private:
  friend class UpstreamPool;
  struct State;
  UpstreamConnection(std::string const& address, Events events, QObject* parent, UpstreamPool* upstreams,
                     QTcpSocket* kept, bool rested = false);
  void open();
  void attach();
  void ready();
  void askLife();
  void lifeReadable();
  void rejected();
  void readable();
  /// The connection has ended, and all that came on it was read.
  void closed();
  void over(bool whole);
  void giveBack();
  Events events_;
  std::string address_;
  QTcpSocket* socket_;
  std::unique_ptr<State> state_;
};

}  // namespace corkward::http
