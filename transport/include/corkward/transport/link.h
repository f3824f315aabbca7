#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <corkward/core/memory_account.h>
#include <corkward/transport/connection_health.h>
#include <corkward/transport/message.h>

namespace corkward::transport {

class MessageListener;
class OutgoingConnection;

/// Persistent TCP connections between the fleet's own processes. Each process listens for messages and dials each peer
/// that it sends to, so that two processes which talk to each other have two connections, one for each direction. All
/// work is done in the event loop of the thread that creates the link, which alone may use and destroy it. A message
/// that cannot be queued is dropped, since every protocol above repeats its messages. After a network interruption or a
/// power failure of the peer, a connection or a dial may hang for as long again as the fault lasted; ConnectionHealth
/// decides when it is closed and dialled again.
class Link {
 public:
  /// Listens for messages. Throws core::ResourceBusyError if another process listens at the address, and TransportError
  /// if listening fails for another reason.
  /// @param name ip:port at which other processes reach this one; without `listen` also the address to listen at, where
  ///   port 0 chooses a free port
  /// @param onMessage receives each message; must not destroy the link
  /// @param listen ip:port to listen at if it differs from `name`; empty if it does not
  /// @param memory the process's account, to which messages that have arrived in part are charged; null for none
  Link(std::string const& name, std::function<void(Envelope)> onMessage, std::string const& listen = "",
       std::shared_ptr<core::MemoryAccount> memory = nullptr);
  ~Link();
  Link(Link const&) = delete;
  Link& operator=(Link const&) = delete;
  Link(Link&&) = delete;
  Link& operator=(Link&&) = delete;

  /// Address at which other processes reach this one.
  std::string const& address() const { return address_; }
  /// Queues a message to the process at a link address. Never blocks.
  void send(std::string const& to, Message const& message);
  /// Number of received frames that were not a valid envelope.
  std::uint64_t malformedFrames() const { return malformedFrames_; }
  /// Number of connections that were closed and dialled again.
  std::uint64_t redials() const { return redials_; }
  /// Number of connections to other processes that exist now, were dialled by this one and are kept.
  std::size_t connectionCount() const { return connections_.size(); }
  /// Number of connections that other processes have dialled and that exist now.
  std::size_t incomingCount() const;
  /// Closes and removes the connections to addresses without a sent or received message for this long.
  void closeIdle(std::chrono::milliseconds idle);
  /// How long a connection without a sent or received message is kept. Gossip reaches other contacts all the time, so
  /// the number of connections grows with this timeout. It stops growing with the fleet once the fleet is larger than
  /// the number of contacts that are reached within the timeout.
  static constexpr std::chrono::seconds idleTimeout{20};

 private:
  using Clock = std::chrono::steady_clock;
  struct Connection {
    std::unique_ptr<OutgoingConnection> socket;
    /// When a message was last sent or received.
    Clock::time_point used;
    ConnectionHealth health;
  };
  using Connections = std::map<std::string, Connection>;
  /// Returns the connection to an address, dialled now if there was none; end() if the address is invalid.
  Connections::iterator connectionTo(std::string const& to);
  /// Closes the connection that was used longest ago.
  void closeLeastRecentlyUsed();
  /// Closes the connection and dials again.
  void redial(Connection& connection);
  /// Decodes a message and passes it to the handler.
  void onFrame(std::uint32_t pipe, std::string_view bytes);
  void onReceived(std::string const& from, std::uint64_t run, std::uint32_t pipe);

  std::string address_;
  std::function<void(Envelope)> onMessage_;
  /// Random number that identifies this run of the process.
  std::uint64_t run_ = 0;
  Connections connections_;
  Clock::time_point lastIdleSweep_;
  std::uint64_t redials_ = 0;
  std::uint64_t malformedFrames_ = 0;
  std::unique_ptr<MessageListener> listener_;
};

}  // namespace corkward::transport
