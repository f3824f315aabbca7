#pragma once

#include <QObject>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "record.h"

class QTcpSocket;
class QTimer;

namespace corkward::fuzz {

/// A caller that sends its requests one after the other on one connection, and on a new one if that was closed.
class Caller : public QObject {
 public:
  struct Events {
    std::function<CallerObservation&(std::size_t)> observation;
    /// Called when the request with this index has ended.
    std::function<void(std::size_t)> ended;
    std::function<void(std::string)> unsolicited;
    /// Mutation: callers that should disconnect leave the connection open.
    bool ignoresDisconnects = false;
  };
  Caller(std::string address, Events events);
  ~Caller() override;
  /// Sends the request when those before it have ended.
  void enqueue(std::size_t index);

 private:
  struct Open;
  void sendNext();
  void connectNow();
  void start(std::size_t index);
  void written();
  void sendSlowly();
  void readable();
  void parse();
  void responded();
  void ended();
  void failOpenRequests();
  void disconnectFromRouter();
  void onTimeout();
  void dropSocket();
  void finish(std::size_t index, bool complete);

  std::string address_;
  Events events_;
  QTcpSocket* socket_ = nullptr;
  QTimer* slowReadTimer_;
  QTimer* slowSendTimer_;
  QTimer* disconnectTimer_;
  QTimer* limit_;
  /// Requests that are not sent yet, and those sent without a complete response.
  std::deque<std::size_t> waiting_;
  std::deque<std::size_t> open_;
  std::string unsentBytes_;
  QByteArray buffer_;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  std::unique_ptr<Parser> parser_;
  bool lastOnConnection_ = false;
};

}  // namespace corkward::fuzz
