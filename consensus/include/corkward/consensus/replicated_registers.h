#pragma once

/// Replicated registers: the members agree on one value for each key (Lamport, "Paxos Made Simple", 2001).

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/transport/message.h>

namespace corkward::consensus {

class EventContext;
struct Replica;

/// One member of the cluster as a deterministic state machine: each public event function updates the state and returns
/// the commands to execute, and performs no I/O itself. Each key is a separate Paxos register with one owner (the
/// distinguished proposer). A change is synced on a majority of the disks before it is acknowledged.
class ReplicatedRegisters {
 public:
  /// @param self id and link address. The id must never have been used before. If the disk already records an id, that
  ///     recorded id is used instead. After a removal this member derives its next id from `self.id`.
  /// @param founders link addresses of the first members, which include this member's own address if it may bootstrap a
  ///     cluster. They are recorded when the disk is empty, so that a restart does not interrupt the bootstrap, and are
  ///     ignored if the disk has a record without founders. A founder that reports that it has no disk is left out of
  ///     the first membership.
  ReplicatedRegisters(Member self, std::vector<std::string> founders, Validator validator, std::uint64_t seed,
                      ConsensusTuning tuning = {});
  ReplicatedRegisters(ReplicatedRegisters const& other);
  ReplicatedRegisters(ReplicatedRegisters&& other) noexcept;
  ReplicatedRegisters& operator=(ReplicatedRegisters const& other);
  ReplicatedRegisters& operator=(ReplicatedRegisters&& other) noexcept;
  ~ReplicatedRegisters();

  /// Loads the records that were read from the write-ahead log. If the log is damaged, all records are ignored and this
  /// machine joins as a new member.
  RegisterCommands restore(std::map<std::string, std::string> const& records, bool damaged, Milliseconds now);

  /// Handles a message from the link address `from`. Ignores message types that belong to other packages.
  RegisterCommands onMessage(Milliseconds now, std::string const& from, transport::Message const& message);
  RegisterCommands onTimer(Milliseconds now);
  /// Reports that the write of the PersistCommand with this ticket has ended. If it did not succeed, this member stops
  /// using its disk and no longer votes.
  RegisterCommands onPersisted(Milliseconds now, std::uint64_t ticket, bool succeeded);
  /// Queues a call on a key. The outcome is reported as CallCompleted, at once with an error if this member cannot
  /// vote.
  RegisterCommands submit(Milliseconds now, std::string const& key, transport::OperatorCall const& call,
                          CallValidity validity = CallValidity::anyBallot);
  /// Removes a submitted call that still waits in the queue of its key, because its caller no longer waits. It is not
  /// reported as completed. Has no effect on a call that is evaluated already.
  void cancel(std::string const& key, std::uint64_t token);
  /// Starts draining this member. It hands each owned key over to another member as soon as the key has no proposal in
  /// progress, starts no election while another member is available, and is removed if the membership has an even size.
  RegisterCommands startHandover(Milliseconds now);

  /// Returns true once this draining member can end without loss: it owns no key, the membership has an odd size, and
  /// every other live member that is not draining has accepted all values that this member knows as committed.
  /// Returns true also if this machine is not a member.
  bool handoverComplete(Milliseconds now) const;
  /// Returns true while this machine is not a member or has no contact with a majority. It then also sends heartbeats
  /// to the discovery peers, whose replies contain the membership.
  bool discovering() const;
  /// Link addresses to contact while discovering.
  void setDiscoveryPeers(std::vector<std::string> links);

  /// Returns the link address of the member that owns the key, or an empty string if no live owner is known.
  std::string ownerLink(std::string const& key, Milliseconds now) const;
  bool owns(std::string const& key) const;
  /// Returns the number of the ballot with which this member owns the key, or 0 if it does not own it.
  std::uint64_t ownedBallot(std::string const& key) const;
  std::size_t ownedCount() const;
  /// Returns the link addresses of the voting members with a contact within the owner timeout, including this member if
  /// it votes.
  std::vector<std::string> aliveLinks(Milliseconds now) const;
  /// The committed values that this member knows, by key.
  std::map<std::string, CommittedValue> const& committed() const;
  /// Returns true if this member knows that some member has accepted a value of the key, even if it is not known to be
  /// committed, as after a restart of all members.
  bool mayHaveAcceptedValue(std::string const& key) const;
  /// Returns the milliseconds since the last contact with a majority whose accepted changes this member knows as
  /// committed, or -1 if there was no such contact or this member cannot vote.
  Milliseconds quorumContactAge(Milliseconds now) const;
  bool isVoting() const;
  bool isDiskHealthy() const;
  /// Returns true until this machine has adopted a membership that contains it.
  bool hasNoState() const;
  std::vector<Member> const& membership() const;
  Member const& self() const;
  /// Returns a hash of the state that determines future behaviour. The explorer uses it to recognise visited states.
  /// Points in time are hashed relative to `now`, so states that differ only by a time shift have equal hashes.
  /// Durations longer than `cap` milliseconds are hashed as `cap`.
  std::uint64_t fingerprint(Milliseconds now, Milliseconds cap) const;

 private:
  /// Runs the action with the context of one event and returns the commands that the action issues.
  template <class Action>
  RegisterCommands handle(Milliseconds now, Action const& action);

  std::unique_ptr<Replica> replica_;
};

}  // namespace corkward::consensus
