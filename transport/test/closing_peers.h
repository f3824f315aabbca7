#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace corkward::transport::testing {

/// How ClosingPeers serve their connections.
struct ClosingPeersOptions {
  std::size_t peers = 3;
  /// Threads that serve the connections; each thread serves one connection at a time.
  std::size_t threads = 4;
  std::size_t fewestReads = 2;
  std::size_t mostReads = 9;
  /// Most bytes of one read.
  std::size_t bytesPerRead = 256;
  /// Milliseconds after which a read that gets no bytes is given up.
  int readTimeoutMs = 100;
  /// Ends every second connection with FIN and the others with RST; false ends all of them with RST.
  bool finAndReset = true;
};

/// Raw listeners at loopback addresses. Each accepts connections as the pull side of a Link does, reads a little and
/// ends the connection, again and again.
class ClosingPeers {
 public:
  explicit ClosingPeers(ClosingPeersOptions options);
  ~ClosingPeers();
  ClosingPeers(ClosingPeers const&) = delete;
  ClosingPeers& operator=(ClosingPeers const&) = delete;
  ClosingPeers(ClosingPeers&&) = delete;
  ClosingPeers& operator=(ClosingPeers&&) = delete;

  std::vector<std::string> const& addresses() const { return addresses_; }
  /// Number of connections that were accepted.
  int connectionCount() const { return connections_; }
  /// Number of bytes that were read.
  std::size_t bytesRead() const { return bytesRead_; }

 private:
  void listen();
  /// Accepts and serves connections until the object is destroyed.
  void run();
  void serve(int connection);

  ClosingPeersOptions options_;
  std::vector<int> listeners_;
  std::vector<std::string> addresses_;
  std::atomic<int> connections_{0};
  std::atomic<std::size_t> bytesRead_{0};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace corkward::transport::testing
