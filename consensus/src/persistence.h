#pragma once

/// This member's disk: pending writes, replies that wait for them, stalls and failures.

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

/// Issues the writes of this member. A promise or an acceptance is sent only after its acceptor record is synced.
class Persistence {
 public:
  /// Writes an acceptor's state. Replies can wait for the returned ticket.
  std::uint64_t writeAcceptor(EventContext& context, std::string const& key, Acceptor const& acceptor);
  std::uint64_t writeMetadata(EventContext& context, records::Metadata const& metadata);
  void writeMembership(EventContext& context, Membership const& membership);
  /// Sends the message once the acceptor write with the ticket is synced, or at once if that write is not pending.
  void sendWhenSynced(EventContext& context, std::uint64_t ticket, std::string const& to, transport::Message message);

  /// Records that the write with this ticket is synced.
  void markWritten(std::uint64_t ticket) { pendingSince_.erase(ticket); }
  /// Removes and returns the messages that waited for this write.
  std::vector<transport::Send> takeDeferred(std::uint64_t ticket);
  /// Drops the waiting messages, because they carry the id of this member from before its removal.
  void dropDeferred() { deferred_.clear(); }
  /// Handles a failed write: this member gives up all keys, drops the waiting messages and no longer uses the disk.
  void fail(EventContext& context);
  /// Checks whether the oldest pending write takes longer than ConsensusTuning::stallAfter. Gives up all keys when a
  /// stall begins.
  void checkStall(EventContext& context);

  bool hasFailed() const { return failed_; }
  bool isStalled() const { return stalled_; }
  bool isPending(std::uint64_t ticket) const { return deferred_.count(ticket) > 0; }
  void addTo(Fingerprint& fingerprint) const;

 private:
  std::uint64_t write(EventContext& context, records::Record record, Milliseconds since);

  /// Tickets start at 1. A ticket of 0 means that there is no write.
  std::uint64_t nextTicket_ = 1;
  /// Waiting messages by the ticket of the acceptor write that they wait for. Has an entry for each pending acceptor
  /// write, also if no message waits for it.
  std::map<std::uint64_t, std::vector<transport::Send>> deferred_;
  /// Pending writes of all kinds, with the time from which a stall is measured. Tickets increase, so the first entry is
  /// the oldest write.
  std::map<std::uint64_t, Milliseconds> pendingSince_;
  /// Never reset: the disk is used again only after a restart of the process.
  bool failed_ = false;
  bool stalled_ = false;
};

}  // namespace corkward::consensus
