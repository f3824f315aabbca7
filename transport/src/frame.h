#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

/// Framing of messages on a connection: the TCP mapping of the Scalability Protocols, version 1, pattern "pipeline".
/// Each side first sends a header of 8 bytes that names its own end of the pattern. Each message of the push side then
/// follows its length, an unsigned number of 8 bytes in network byte order. All releases use this framing, so that
/// processes of different releases talk to each other.
namespace corkward::transport {

inline constexpr std::size_t protocolHeaderBytes = 8;
inline constexpr std::size_t lengthBytes = 8;
/// Longest message. A peer that announces a longer one is disconnected.
inline constexpr std::uint64_t maxFrameBytes = 16U << 20;

using ProtocolHeader = std::array<char, protocolHeaderBytes>;

/// Header of the side that dials and sends messages.
inline constexpr ProtocolHeader pushHeader{0, 'S', 'P', 0, 0, 0x50, 0, 0};
/// Header of the side that listens and receives messages.
inline constexpr ProtocolHeader pullHeader{0, 'S', 'P', 0, 0, 0x51, 0, 0};

/// Returns whether the bytes begin with the header of that side. The last two bytes of a header are reserved and not
/// compared.
bool hasHeader(std::string_view bytes, ProtocolHeader const& expected);

/// Returns the frame of a message: its length and its bytes.
std::string frameOf(std::string_view message);

/// Splits what a push side sends into messages.
class FrameDecoder {
 public:
  enum class Result {
    /// All complete messages were delivered.
    ok,
    /// The bytes are no valid header, or announce a message of more than maxFrameBytes. The connection cannot be used.
    invalid,
  };
  using MessageHandler = std::function<void(std::string_view message)>;

  /// Appends received bytes and delivers the messages that are complete. The handler must not destroy the decoder.
  Result decode(std::string_view bytes, MessageHandler const& onMessage);
  /// Returns whether the peer's header has arrived.
  bool hasProtocolHeader() const { return hasProtocolHeader_; }
  /// Returns the memory that a header or message takes that has arrived only in part. What is allocated for the rest of
  /// a long one takes none until it is written.
  std::uint64_t incompleteBytes() const;
  /// Returns the length of the frame that has arrived only in part, as announced; 0 if there is none.
  std::uint64_t announcedBytes() const;
  /// Returns whether a header or message has arrived only in part.
  bool isIncomplete() const { return !hasProtocolHeader_ || !incomplete_.empty(); }

 private:
  /// Delivers the complete messages at the beginning of the bytes and adds their length to `consumed`.
  Result decodeMessages(std::string_view bytes, std::size_t& consumed, MessageHandler const& onMessage);

  /// Allocates memory for all of a message that has begun.
  void reserveIncomplete();

  bool hasProtocolHeader_ = false;
  /// Received bytes of a header or message that is not complete.
  std::string incomplete_;
};

}  // namespace corkward::transport
