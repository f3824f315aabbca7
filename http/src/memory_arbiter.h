#pragma once

#include <QTimer>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <corkward/core/memory_account.h>

#include "server_connection.h"
#include "shedding.h"

namespace corkward::http {

/// Shares the memory of an account among the connections of a server. Long bodies get it in the order in which they
/// asked for it. While some wait, or while the account is exceeded, connections that hold much and move little are
/// shed. It does nothing while memory is not short.
class MemoryArbiter {
 public:
  using Connections = std::unordered_map<ServerConnection const*, std::shared_ptr<ServerConnection>>;

  /// @param context receiver of the timer's events; must outlive the arbiter, as must the connections' container
  MemoryArbiter(QObject* context, core::MemoryAccount& account, Connections const& connections);

  /// Asks for memory for a connection; see ConnectionHost::reserveMemory.
  bool reserve(ServerConnection& connection, std::uint64_t bytes);
  /// The account is exceeded: connections give way in the next iteration of the event loop.
  void onExceeded();
  std::uint64_t shedCount() const { return shedCount_; }

 private:
  struct Waiting {
    std::weak_ptr<ServerConnection> connection;
    std::uint64_t bytes = 0;
  };
  struct Watched {
    std::uint64_t recentBytes = 0;
    int intervals = 0;
  };
  struct Candidate {
    std::shared_ptr<ServerConnection> connection;
    Holding holding;
  };

  void onTimer();
  /// Grants memory to those that wait, in their order, as far as it goes.
  void grantWaiting();
  /// Drops those that no longer wait from the front of the queue.
  void dropFinishedWaiting();
  std::uint64_t waitingBytes() const;
  /// Updates what connections moved in the last interval.
  void watch();
  std::vector<Candidate> candidates() const;
  static std::vector<Holding> holdingsOf(std::vector<Candidate> const& candidates);
  void shedStalled();
  void shedExcess();
  void shed(std::vector<Candidate> const& candidates, std::vector<std::size_t> const& selected);

  core::MemoryAccount& account_;
  Connections const& connections_;
  std::deque<Waiting> waiting_;
  std::unordered_map<ServerConnection const*, Watched> watched_;
  std::uint64_t shedCount_ = 0;
  QTimer timer_;
};

}  // namespace corkward::http
