#pragma once

/// Every message between our processes as one type, its envelope and its wire form.

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

/// An error of the links and their framing.
class TransportError : public core::Error {
 public:
  using core::Error::Error;
};

using Message =
    std::variant<GossipShuffle, Prepare, Promise, Accept, Accepted, Commit, Handover, Heartbeat, HeartbeatReply,
                 ValueRequest, SnapshotChunk, OperatorCall, OperatorCallReply, ConfigurationUpdate, ConfigurationAck,
                 RouterStatusReport, ServingLeaseRequest, ServingLeaseGrant, EndpointRemovalHint, PeerHeartbeat,
                 RequestIdQuery, RequestIdReply, RequestIdHandover, WarmupLeaseRequest, WarmupLeaseGrant,
                 NotAVotingMember, quota::UsageReport, quota::QuotaGrants, quota::AllocationQuery,
                 quota::AllocationReport, quota::PartitionLeaseRequest, quota::PartitionLeaseReply>;

/// Command: send a message to the process that listens at the link address.
struct Send {
  std::string to;
  Message message;
};

/// A message with its sender's link address, as it stands on the wire.
struct Envelope {
  std::string from;
  Message message;
  /// Name of the sending process's run.
  std::uint64_t run = 0;
};

/// Wire form (CBOR). Throws transport::Error on anything that is not a whole, well-typed envelope.
std::string pack(Envelope const& envelope);
Envelope unpack(std::string const& bytes);

/// Name of a message's kind, for logs.
char const* kindName(Message const& message);

}  // namespace corkward::transport
