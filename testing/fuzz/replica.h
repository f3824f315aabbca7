#pragma once

#include <QTcpServer>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/types.h>

#include "record.h"
#include "scripted_exchange.h"

namespace corkward::fuzz {

/// A replica on loopback that plays scripted exchanges; requests are read by Boost.Beast.
class Replica : public QObject {
 public:
  struct Events {
    /// A complete head was read: records the dispatch and gives its index in the record and its scripted exchange.
    std::function<std::pair<std::size_t, ScriptedExchange>(Dispatch, std::size_t bodyLength)> arrived;
    std::function<Dispatch&(std::size_t)> dispatch;
    /// Whether to reset the connection that has just come.
    std::function<bool()> refuses;
    /// One byte of each request's body is altered.
    bool alters = false;
  };
  Replica(std::size_t index, Events events);
  ~Replica() override;
  std::string address() const;

 private:
  struct Conn;
  void accept();
  void readable(std::shared_ptr<Conn> const& conn);
  void read(std::shared_ptr<Conn> const& conn);
  void headed(std::shared_ptr<Conn> const& conn);
  void play(std::shared_ptr<Conn> const& conn);
  void next(std::shared_ptr<Conn> const& conn);
  void over(std::shared_ptr<Conn> const& conn);
  std::size_t index_;
  Events events_;
  QTcpServer server_;
  std::vector<std::shared_ptr<Conn>> conns_;
};

/// Ends a connection with a reset.
void resetSocket(QTcpSocket& socket);

}  // namespace corkward::fuzz
