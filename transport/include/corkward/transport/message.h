#pragma once

/// All messages between the fleet's processes as one type, with their envelope and wire format.

#include <cstdint>
#include <string>
#include <variant>

#include <corkward/core/error.h>
#include <corkward/quota/messages.h>
#include <corkward/transport/request_id_messages.h>
#include <corkward/transport/consensus_messages.h>
#include <corkward/transport/contact_messages.h>
#include <corkward/transport/configuration_messages.h>
#include <corkward/transport/operator_messages.h>
#include <corkward/transport/values.h>
#include <corkward/transport/warmup_messages.h>

namespace corkward::transport {

/// An error of a link or of the wire format.
class TransportError : public core::Error {
 public:
  using core::Error::Error;
};

/// The position of a kind in this list is its number on the wire, so the order must not change.
using Message =
    std::variant<GossipShuffle, Prepare, Promise, Accept, Accepted, Commit, Handover, Heartbeat, HeartbeatReply,
                 ValueRequest, SnapshotChunk, OperatorCall, OperatorCallReply, ConfigurationUpdate, ConfigurationAck,
                 RouterStatusReport, ServingLeaseRequest, ServingLeaseGrant, EndpointRemovalHint, PeerHeartbeat,
                 RequestIdQuery, RequestIdReply, RequestIdHandover, WarmupLeaseRequest, WarmupLeaseGrant,
                 NotAVotingMember, quota::UsageReport, quota::QuotaGrants, quota::AllocationQuery,
                 quota::AllocationReport, quota::PartitionLeaseRequest, quota::PartitionLeaseReply>;

/// Command to send a message to the process at a link address.
struct Send {
  std::string to;
  Message message;
};

/// A message with its sender's link address, as it is sent on the wire.
struct Envelope {
  std::string from;
  Message message;
  /// Random number that identifies the run of the sending process.
  std::uint64_t run = 0;
};

/// Returns the wire format (CBOR) of an envelope.
std::string pack(Envelope const& envelope);
/// Reads an envelope. Throws TransportError if the bytes are not a complete envelope whose fields have the right types.
Envelope unpack(std::string const& bytes);

/// Returns the name of a message's kind, for logs.
char const* kindName(Message const& message);

}  // namespace corkward::transport
