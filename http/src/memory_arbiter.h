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

/// Shares the memory of an account among the connections of a server. Bodies get it in the order in which they asked
/// for it, small ones before long ones. While some wait, or while the account is exceeded, connections that hold much
/// and move little are shed. It does nothing while memory is not short.
class MemoryArbiter {
 public:
  using Connections = std::unordered_map<ServerConnection const*, std::shared_ptr<ServerConnection>>;

  /// @param context receiver of the timer's events; must outlive the arbiter, as must the connections' container
  MemoryArbiter(QObject* context, core::MemoryAccount& account, Connections const& connections);
  ~MemoryArbiter();
  MemoryArbiter(MemoryArbiter const&) = delete;
  MemoryArbiter& operator=(MemoryArbiter const&) = delete;
  MemoryArbiter(MemoryArbiter&&) = delete;
  MemoryArbiter& operator=(MemoryArbiter&&) = delete;

  /// Asks for memory for a connection; see ConnectionHost::reserveMemory.
  bool reserve(ServerConnection& connection, MemoryRequest const& wanted);
  /// Returns whether the account has room for a complete request. Incomplete ones are shed for it, those of this server
  /// first, and what others that share the account can release.
  bool admit(std::uint64_t bytes, core::HoldingSize size);
  /// Sheds incomplete requests, and asks others that share the account, until it is well below its limit.
  void relieve();
  std::uint64_t shedCount() const { return shedCount_; }

 private:
  struct Waiting {
    std::weak_ptr<ServerConnection> connection;
    MemoryRequest wanted;
  };
  using Queue = std::deque<Waiting>;
  struct Watched {
    std::uint64_t recentBytes = 0;
    int intervals = 0;
  };
  struct Candidate {
    std::shared_ptr<ServerConnection> connection;
    Holding holding;
  };

  void onTimer();
  Queue& queueOf(core::HoldingSize size) { return size == core::HoldingSize::large ? waitingLarge_ : waitingSmall_; }
  /// Grants memory to those that wait, in their order, as far as it goes.
  void grantWaiting();
  void grantWaiting(Queue& queue);
  /// Drops those that no longer wait.
  static void dropFinished(Queue& queue);
  bool hasWaiting() const { return !waitingSmall_.empty() || !waitingLarge_.empty(); }
  /// Whether the connection is the next one of its queue to be granted memory.
  bool isNext(ServerConnection const& connection) const;
  std::uint64_t waitingBytes() const;
  /// Updates what connections moved in the last interval.
  void watch();
  std::vector<Candidate> candidates() const;
  /// Returns the connections that may be shed at once, whether they were watched before or not: those with incomplete
  /// requests.
  std::vector<Candidate> incomplete() const;
  /// The account was exceeded, by these connections or by others that share it: holders give way soon.
  void onExceeded();
  Candidate candidateOf(std::shared_ptr<ServerConnection> const& connection) const;
  /// Sheds incomplete requests until the account holds less by that much.
  void shedIncomplete(std::uint64_t bytes);
  static std::vector<Holding> holdingsOf(std::vector<Candidate> const& candidates);
  void shedStalled();
  void shedExcess();
  void shed(std::vector<Candidate> const& candidates, std::vector<std::size_t> const& selected);

  core::MemoryAccount& account_;
  Connections const& connections_;
  /// Small and long bodies that wait for memory.
  Queue waitingSmall_;
  Queue waitingLarge_;
  std::unordered_map<ServerConnection const*, Watched> watched_;
  std::uint64_t shedCount_ = 0;
  QTimer timer_;
  QTimer reliefTimer_;
};

}  // namespace corkward::http
