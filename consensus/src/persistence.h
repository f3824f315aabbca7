#pragma once

/// This member's disk: writes that are pending, replies that wait for them, stalls and failures.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "acceptor.h"
#include "fingerprint.h"
#include "records.h"

namespace corkward::consensus {

class EventContext;

/// Issues the writes of one member. A reply that promises or accepts is sent only once its record is synced.
class Persistence {
 public:
  /// Writes an acceptor's state; replies can wait for the returned ticket.
  std::uint64_t writeAcceptor(EventContext& context, std::string const& key, Acceptor const& acceptor);
  std::uint64_t writeMetadata(EventContext& context, records::Metadata const& metadata);
  void writeMembership(EventContext& context, Membership const& membership);
  /// Sends the message now, or once the acceptor write with the ticket is synced.
  void sendWhenSynced(EventContext& context, std::uint64_t ticket, std::string const& to, transport::Message message);

  /// A write and its sync are complete.
  void markWritten(std::uint64_t ticket) { pendingSince_.erase(ticket); }
  /// Messages that waited for the write, which are removed.
  std::vector<transport::Send> takeDeferred(std::uint64_t ticket);
  /// Drops the messages that wait: the identity that they speak for was removed.
  void dropDeferred() { deferred_.clear(); }
  /// A write has failed: the disk is out of use, and what waits for it is dropped.
  void fail(EventContext& context);
  /// Notes whether the oldest pending write takes too long. All keys are given up when it does.
  void checkStall(EventContext& context);

  bool hasFailed() const { return failed_; }
  bool isStalled() const { return stalled_; }
  bool isPending(std::uint64_t ticket) const { return deferred_.count(ticket) > 0; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  std::uint64_t write(EventContext& context, records::Record record, Milliseconds since);

  /// Tickets start at 1; 0 stands for no write.
  std::uint64_t nextTicket_ = 1;
  /// Messages by the ticket of the acceptor write that they wait for. Has an entry for each such write that is pending.
  std::map<std::uint64_t, std::vector<transport::Send>> deferred_;
  /// Pending writes of all kinds, with the time from which a stall counts. Tickets rise, so the first is the oldest.
  std::map<std::uint64_t, Milliseconds> pendingSince_;
  /// Never reset: only a restart uses the disk again.
  bool failed_ = false;
  bool stalled_ = false;
};

}  // namespace corkward::consensus
