#include "frame.h"

#include <QtEndian>
#include <algorithm>

namespace corkward::transport {

namespace {

/// Bytes of a header that are compared; the others are reserved.
constexpr std::size_t comparedHeaderBytes = 6;
/// Allocated memory beyond what has arrived that may be resident: what the allocator rounds, and a page.
constexpr std::uint64_t untouchedSlackBytes = 16U << 10;

}  // namespace

bool hasHeader(std::string_view bytes, ProtocolHeader const& expected) {
  return bytes.size() >= protocolHeaderBytes &&
         std::equal(expected.begin(), expected.begin() + comparedHeaderBytes, bytes.begin());
}

std::string frameOf(std::string_view message) {
  std::string frame(lengthBytes, '\0');
  qToBigEndian<std::uint64_t>(message.size(), frame.data());
  frame.append(message);
  return frame;
}

FrameDecoder::Result FrameDecoder::decode(std::string_view bytes, MessageHandler const& onMessage) {
  std::string joined = std::move(incomplete_);
  incomplete_.clear();
  bool const continues = !joined.empty();
  if (continues) joined.append(bytes);
  std::string_view const all = continues ? std::string_view(joined) : bytes;
  std::size_t consumed = 0;
  Result const result = decodeMessages(all, consumed, onMessage);
  if (result == Result::invalid) return result;
  if (continues && consumed == 0)
    incomplete_ = std::move(joined);
  else
    incomplete_.assign(all.substr(consumed));
  reserveIncomplete();
  return result;
}

void FrameDecoder::reserveIncomplete() {
  if (announcedBytes() > 0) incomplete_.reserve(announcedBytes());
}

std::uint64_t FrameDecoder::incompleteBytes() const {
  if (incomplete_.empty()) return 0;
  return std::min<std::uint64_t>(incomplete_.capacity(), incomplete_.size() + untouchedSlackBytes);
}

std::uint64_t FrameDecoder::announcedBytes() const {
  if (!hasProtocolHeader_ || incomplete_.size() < lengthBytes) return 0;
  return lengthBytes + qFromBigEndian<std::uint64_t>(incomplete_.data());
}

FrameDecoder::Result FrameDecoder::decodeMessages(std::string_view bytes, std::size_t& consumed,
                                                  MessageHandler const& onMessage) {
  if (!hasProtocolHeader_) {
    if (bytes.size() < protocolHeaderBytes) return Result::ok;
    if (!hasHeader(bytes, pushHeader)) return Result::invalid;
    hasProtocolHeader_ = true;
    consumed = protocolHeaderBytes;
  }
  while (bytes.size() - consumed >= lengthBytes) {
    auto const length = qFromBigEndian<std::uint64_t>(bytes.data() + consumed);
    if (length > maxFrameBytes) return Result::invalid;
    if (bytes.size() - consumed - lengthBytes < length) break;
    onMessage(bytes.substr(consumed + lengthBytes, length));
    consumed += lengthBytes + length;
  }
  return Result::ok;
}

}  // namespace corkward::transport
