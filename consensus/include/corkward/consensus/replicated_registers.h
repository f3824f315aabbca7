#pragma once

/// Replicated registers: one value for each key, agreed on by the members (Lamport, "Paxos Made Simple", 2001).

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

/// One member as a pure reducer. Each key is a Paxos register of its own with one owner (the distinguished proposer); a
/// change is synced on a majority before it is acknowledged. The class dispatches events to the parts of the member
/// and joins the commands that these cause.
class ReplicatedRegisters {
 public:
  /// @param self id and link address. The id must never have been used before. A disk that has an id keeps that one,
  ///     and a member that was removed derives its next id from this one.
  /// @param founders link addresses of the first members, this member's own among them if it may bootstrap a cluster.
  ///     They count at the first start of an empty disk, which records them until the cluster is bootstrapped. A
  ///     founder that reports to have no disk does not count.
  ReplicatedRegisters(Member self, std::vector<std::string> founders, Validator validator, std::uint64_t seed,
                      ConsensusTuning tuning = {});
  ReplicatedRegisters(ReplicatedRegisters const& other);
  ReplicatedRegisters(ReplicatedRegisters&& other) noexcept;
  ReplicatedRegisters& operator=(ReplicatedRegisters const& other);
  ReplicatedRegisters& operator=(ReplicatedRegisters&& other) noexcept;
  ~ReplicatedRegisters();

  /// Loads the records that the write-ahead log returned. When the log is damaged, none of them counts, and this
  /// machine joins as a new member.
  RegisterCommands restore(std::map<std::string, std::string> const& records, bool damaged, Milliseconds now);

  /// Handles a message from the link address `from`. Messages of other packages are ignored.
  RegisterCommands onMessage(Milliseconds now, std::string const& from, transport::Message const& message);
  RegisterCommands onTimer(Milliseconds now);
  /// A write and its sync are complete; not succeeded: this member's disk is out of use from now on.
  RegisterCommands onPersisted(Milliseconds now, std::uint64_t ticket, bool succeeded);
  /// Queues a call on a key; the outcome comes as CallCompleted. Rejected at once when this member can't vote.
  RegisterCommands submit(Milliseconds now, std::string const& key, transport::OperatorCall const& call);
  /// This member drains: it hands every owned key over to another member, now and whenever a proposal completes, starts
  /// no election while another member can, and is removed from a membership of even size.
  RegisterCommands startHandover(Milliseconds now);

  /// After startHandover: this member owns nothing, the membership is of odd size, and every live member has on its
  /// disk all that this one knows as committed, so that nothing is lost with it.
  bool handoverComplete(Milliseconds now) const;
  /// True while this machine is no member or has no contact with a majority: it then sends heartbeats to the discovery
  /// peers to learn of a membership.
  bool discovering() const;
  /// Link addresses to contact while discovering.
  void setDiscoveryPeers(std::vector<std::string> links);

  /// Link of the member that owns the key, empty when none is known to be alive.
  std::string ownerLink(std::string const& key, Milliseconds now) const;
  bool owns(std::string const& key) const;
  std::size_t ownedCount() const;
  /// Links of the members that vote and were heard within the owner timeout, this one included if it votes.
  std::vector<std::string> aliveLinks(Milliseconds now) const;
  /// Committed values that this member knows, by key.
  std::map<std::string, CommittedValue> const& committed() const;
  /// A member has accepted a value of the key, which this one need not know as committed, as after a restart of all.
  bool mayHaveAcceptedValue(std::string const& key) const;
  /// Milliseconds since the last contact with a majority whose accepted changes this member knows; -1: none yet.
  Milliseconds quorumContactAge(Milliseconds now) const;
  bool isVoting() const;
  bool isDiskHealthy() const;
  /// True until this machine has adopted a membership that contains it.
  bool hasNoState() const;
  std::vector<Member> const& membership() const;
  Member const& self() const;
  /// For the explorer: hash of the state that decides what happens next, equal for states that differ only in how long
  /// ago everything was. Spans over `cap` milliseconds count as `cap`.
  std::uint64_t fingerprint(Milliseconds now, Milliseconds cap) const;

 private:
  /// Runs the action with the context of one event, and returns the commands that it causes.
  template <class Action>
  RegisterCommands handle(Milliseconds now, Action const& action);

  std::unique_ptr<Replica> replica_;
};

}  // namespace corkward::consensus
