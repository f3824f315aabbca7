#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <corkward/core/memory_account.h>
#include <corkward/http/server.h>

namespace corkward::http {

/// What connections and their requests take of the memory of the process, as it is charged to the account. Each cost is
/// an upper bound of what is resident, including the allocator's overhead.

/// Bytes that are read from a connection before the others have a turn. The socket keeps a buffer of this size once it
/// has read something.
inline constexpr std::uint64_t readBufferBytes = 16U << 10;
/// A connection beside its request, also one that is about to be closed: its socket, timer and parser, and the blocks
/// of 16 KiB that the socket keeps for reading and for writing.
inline constexpr std::uint64_t connectionBytes = 40U << 10;
/// A pending request beside its header section and its body: what its owner keeps of it, and a connection to a replica.
inline constexpr std::uint64_t pendingRequestBytes = 40U << 10;
/// Receive buffer in the operating system of a connection for whose request no memory is reserved.
inline constexpr int idleReceiveBufferBytes = 16 << 10;
/// Receive buffer of a connection while a body is read for which memory is reserved.
inline constexpr int bodyReceiveBufferBytes = 28 << 10;
static_assert(idleReceiveBufferBytes * 2 > bodyReceiveBufferBytes, "senders wait for a timer, see setReceiveBuffer()");
inline constexpr int sendBufferBytes = 32 << 10;
/// Bytes that may wait unread in the operating system while a body is read for which memory is reserved, and as many
/// that wait for a caller who reads slowly.
inline constexpr std::uint64_t kernelBufferBytes = 48U << 10;
/// Bodies up to this length need no reservation: what is read at once.
inline constexpr std::uint64_t unreservedBodyBytes = readBufferBytes;
/// Bodies up to this length are small: more of the account is open to them than to long ones.
inline constexpr std::uint64_t smallBodyBytes = 128U << 10;
/// Part of a body that is copied while it is sent on.
inline constexpr std::uint64_t bodySliceBytes = 64U << 10;
/// Pending requests that take up to this much are tiny: all of the account is open to them.
inline constexpr std::uint64_t tinyRequestBytes = 80U << 10;

/// Returns the memory of a pending request's header fields, with what their owner derives from them.
std::uint64_t pendingHeadBytes(std::string const& target, HeaderMap const& headers);

/// Returns the memory of a pending request without its body.
std::uint64_t pendingBytesWithoutBody(Request const& request);

/// Returns the size as which a pending request with that cost is admitted.
core::HoldingSize sizeOfRequest(std::uint64_t bytes);

/// Returns the size as which a body of that length is reserved.
core::HoldingSize sizeOfBody(std::uint64_t bytes);

/// Returns how many connections may have a place, so that their fixed costs leave half of the account.
std::size_t placesWithin(std::uint64_t accountLimit);

/// Returns how many connections may exist, those that are about to be closed included.
std::size_t connectionsWithin(std::uint64_t accountLimit);

}  // namespace corkward::http
