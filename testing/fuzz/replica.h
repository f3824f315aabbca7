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

/// A replica on loopback that executes scripted exchanges. Boost.Beast parses the requests.
class Replica : public QObject {
 public:
  struct Events {
    /// Called when a complete head was read. Records the dispatch and returns its index in the record and its scripted
    /// exchange.
    std::function<std::pair<std::size_t, ScriptedExchange>(Dispatch, std::size_t bodyLength)> arrived;
    std::function<Dispatch&(std::size_t)> dispatch;
    /// Returns whether to reset a new connection.
    std::function<bool()> refuses;
    /// Mutation: alters one byte of each request's body.
    bool alters = false;
  };
  Replica(std::size_t index, Events events);
  ~Replica() override;
  std::string address() const;

 private:
  struct Connection;
  void accept();
  void readable(std::shared_ptr<Connection> const& conn);
  void read(std::shared_ptr<Connection> const& conn);
  void onHead(std::shared_ptr<Connection> const& conn);
  void runScript(std::shared_ptr<Connection> const& conn);
  void next(std::shared_ptr<Connection> const& conn);
  void onClosed(std::shared_ptr<Connection> const& conn);
  std::size_t index_;
  Events events_;
  QTcpServer server_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace corkward::fuzz
