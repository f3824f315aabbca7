#pragma once

/// Every message between our processes as one type, its envelope and its wire form.

#include <cstdint>
#include <string>
#include <variant>

#include <corkward/core/error.h>
#include <corkward/quota/messages.h>
#include <corkward/transport/attempt_messages.h>
#include <corkward/transport/consensus_messages.h>
#include <corkward/transport/contact_messages.h>
#include <corkward/transport/news_messages.h>
#include <corkward/transport/operator_messages.h>
#include <corkward/transport/values.h>
#include <corkward/transport/warming_messages.h>

namespace corkward::transport {

/// An error of the links and their framing.
class Error : public core::Error {
 public:
  using core::Error::Error;
};

using Message = std::variant<Shuffle, Prepare, Promise, Accept, Accepted, Commit, Handover, Heartbeat, HeartbeatEcho,
                             Fetch, Copy, Call, CallResponse, News, NewsAck, Holding, Ask, Confirm, Hint, Touch,
                             SeenAsk, SeenEcho, SeenLeft, WarmAsk, WarmGrant, NoDisk, quota::Report, quota::Loans,
                             quota::ClaimAsk, quota::Claims, quota::TermAsk, quota::TermGrant>;

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
char const* kind(Message const& message);

}  // namespace corkward::transport
