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

/// One lane of a caller: requests go one after the other on one connection while it lasts, and on a new one else.
class Caller : public QObject {
 public:
  struct Events {
    std::function<CallerObservation&(std::size_t)> observation;
    /// The request with that place has come to its end.
    std::function<void(std::size_t)> over;
    std::function<void(std::string)> unsolicited;
    /// Callers that leave only pretend to.
    bool staysOpen = false;
  };
  Caller(std::string address, Events events);
  ~Caller() override;
  /// Takes the request up now, or once those before it have ended.
  void enqueue(std::size_t index);

 private:
  struct Open;
  void turn();
  void connectNow();
  void start(std::size_t index);
  void written();
  void drip();
  void readable();
  void parse();
  void answered();
  void ended();
  void loseOpen();
  void leave();
  void giveUp();
  void dropSocket();
  void finish(std::size_t index, bool complete);

  std::string address_;
  Events events_;
  QTcpSocket* socket_ = nullptr;
  QTimer* slow_;
  QTimer* drips_;
  QTimer* leaves_;
  QTimer* limit_;
  /// Waiting, and sent without their complete answer.
  std::deque<std::size_t> waiting_;
  std::deque<std::size_t> open_;
  std::string toDrip_;
  QByteArray buffer_;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  std::unique_ptr<Parser> parser_;
  bool lastOnConnection_ = false;
};

}  // namespace corkward::fuzz
