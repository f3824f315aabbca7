#pragma once

#include <QJsonObject>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include <corkward/transport/message.h>

namespace corkward::consensus {

/// One member of the membership: per-key registers with an owner each, synced on a majority before an answer.
class ReplicatedRegisters {
 public:
  /// The member's id is a name that was never used before; a disk that has one keeps it, and a member that was struck
  /// off makes its next one from it. Founders are link addresses, this member's own among them when it may found; they
  /// count at the first start of an empty disk, which keeps them until the membership is founded. A founder that says
  /// it has no disk does not count.
  ReplicatedRegisters(Member self, std::vector<std::string> founders, Validator validator, std::uint64_t seed,
                      ConsensusTuning tuning = {});

  /// Takes what the write-ahead log gave back. Damaged: nothing of it counts, and this machine joins anew under a fresh
  /// id.
  RegisterCommands restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now);

  RegisterCommands onMessage(Tick now, std::string const& from, transport::Message const& message);
  RegisterCommands onTimer(Tick now);
  /// A write and its sync are done; not ok: this member's disk is out of use from now on.
  RegisterCommands onPersisted(Tick now, std::uint64_t ticket, bool ok);
  /// Queues a call on a key; the outcome comes as CallCompleted. Rejected at once when no majority can be had.
  RegisterCommands submit(Tick now, std::string const& key, transport::OperatorCall const& call);
  /// This member drains: it hands every owned key to a named successor, now and whenever its proposals end, starts no
  /// election while another can, and is taken out of a membership of even size.
  RegisterCommands startHandover(Tick now);
  /// After handOver: it owns nothing, is out of a set of even size, and every live member has on its disk whatever this
  /// one knows as chosen, so nothing is lost with it.
  bool handoverComplete(Tick now) const;
  /// True while this machine is no member or hears no majority of the members: it then asks others for its membership.
  bool discovering() const { return !isMember(self_.id) || quorumAt_ < 0; }
  /// Link addresses to ask while seeking.
  void setDiscoveryPeers(std::vector<std::string> links) { neighbours_ = std::move(links); }

  /// Link of the member that owns the key, empty when none is known to be alive.
  std::string ownerLink(std::string const& key, Tick now) const;
  bool owns(std::string const& key) const;
  /// Links of the members that vote and were heard of late, this one included if it votes.
  std::vector<std::string> aliveLinks(Tick now) const;
  /// Keys with a committed value and their values.
  std::map<std::string, CommittedValue> const& committed() const { return committed_; }
  /// A member has accepted a value of the key, which need not be known as committed here, as after a restart of all.
  bool mayHaveAcceptedValue(std::string const& key) const;
  /// Age of the last contact with a majority whose accepted changes this member knows; -1: none yet.
  Tick quorumContactAge(Tick now) const;
  bool isVoting() const { return voting_ && !diskFailed_ && !leaving_; }
  bool isDiskHealthy() const { return !diskFailed_ && !stalled_; }
  bool hasNoState() const { return hasNoState_; }
  std::vector<Member> const& membership() const { return membership_; }
  Member const& self() const { return self_; }
  std::size_t ownedCount() const;
  /// For the explorer: hash of the whole state, equal for states that differ only in how long ago everything was.
  /// Spans over `cap` milliseconds count as `cap`.
  std::uint64_t fingerprint(Tick now, Tick cap) const;

 private:
  struct Pending {
    transport::OperatorCall call;
    Tick since = 0;
  };
  struct Read {
    std::uint64_t token = 0;
    Tick since = 0;
    int status = 0;
    QJsonObject body;
    std::set<std::string> seen;
  };
  struct Proposal {
    std::uint64_t token = 0;
    std::uint64_t revision = 0;
    QJsonObject value;
    QJsonObject body;
    int status = 200;
    Tick since = 0;
    Tick sentAt = 0;
    std::set<std::string> acceptedBy;
  };
  enum class Role { idle, preparing, owner };
  struct RegisterState {
    Ballot promised;
    Ballot acceptedBallot;
    std::uint64_t revision = 0;
    QJsonObject value;
    std::uint64_t ticket = 0;
    Role role = Role::idle;
    Ballot mine;
    Tick sentAt = 0;
    Tick roleSince = 0;
    std::map<std::string, transport::Promise> promises;
    std::optional<Proposal> proposal;
    std::deque<Pending> queue;
    std::vector<Read> reads;
    std::uint64_t highest = 0;
    std::string owner;
    Tick ownerHeard = 0;
    Tick electionAt = 0;
    Tick fetchedAt = 0;
    bool unowned = false;
  };
  struct PeerState {
    Tick heard = 0;
    Tick echoTick = -1;
    transport::Revisions echoRevisions;
    Tick goodTick = -1;
    bool voting = false;
    std::uint64_t caughtUp = 0;
    std::string link;
    std::uint64_t membership = 0;
    transport::Revisions owned;
    /// Its heartbeats in this life have said in full which keys it owns.
    bool saidOwned = false;
    /// It said that it drains, and not that it is back.
    bool leaving = false;
    /// What it last said to have accepted.
    transport::Digest accepted;
  };

  RegisterState& registerFor(std::string const& key);
  /// Oldest membership whose ballots on the key are taken.
  std::uint64_t oldestTaken(std::string const& key);
  /// A newer ballot was promised.
  bool isOld(Ballot const& ballot, RegisterState const& r) const;
  bool isMember(std::string const& id) const;
  bool isMajority(std::set<std::string> const& yes, std::vector<Member> const& of) const;
  /// Sends a message; one to this member itself is handled at once.
  void send(RegisterCommands& out, Tick now, std::string const& to, transport::Message message);
  void expireCalls(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);

  // Records on disk (persistence.cpp).
  void persist(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  void persistMeta(RegisterCommands& out, std::uint64_t ticket, bool voting, std::uint64_t caughtUp);
  /// Sends once the register's newest record is synced.
  void sendWhenSynced(RegisterCommands& out, Tick now, RegisterState const& r, std::string const& to,
                      transport::Message message);
  void watchDisk(RegisterCommands& out, Tick now);

  // Elections and proposals (proposals.cpp).
  void startElection(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  void stepDown(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r, char const* why);
  void becomeOwner(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  void propose(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r, Proposal proposal);
  void sendProposal(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  /// Judges queued calls, until one is being proposed.
  void work(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  void chosen(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  void commit(RegisterCommands& out, Tick now, transport::CommittedEntry const& item);
  void resend(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  void considerElection(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  /// Asks for the committed value of a key that others have a newer one of.
  void fetchNewer(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r);
  bool allSaidOwned() const;
  /// No other voting member that was heard of late comes before this one in the key's order.
  bool firstFor(std::string const& key, Tick now) const;
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::Prepare const& m);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::Promise const& m);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::Accept const& m);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::Accepted const& m);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::Commit const& m);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::Handover const& m);

  // Heartbeats and contact with a majority (heartbeats.cpp).
  transport::Heartbeat ownHeartbeat(Tick now) const;
  void heartbeat(RegisterCommands& out, Tick now);
  void watchQuorum(Tick now);
  /// Notes a key whose newest accepted value is not known to be committed.
  void accepted(Tick now, std::string const& key, RegisterState const& r);
  void readsAnswered(RegisterCommands& out, Tick now, std::string const& member, Tick tick,
                     transport::Revisions const& higher);
  void refreshContact(PeerState& o);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::Heartbeat const& m);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::HeartbeatReply const& m);

  // Membership (membership.cpp).
  void found(RegisterCommands& out, Tick now);
  void initializeFirstMembership(RegisterCommands& out, Tick now);
  void adoptMembership(RegisterCommands& out, std::uint64_t revision, QJsonObject const& value, Tick now);
  /// Proposes the next change, if one is due and the set has caught up.
  void considerMembership(RegisterCommands& out, Tick now);
  std::vector<Member> nextMembership(std::set<std::string> const& caughtUp, Tick now, core::LogEvent& logEvent) const;
  /// How long a member has been silent, less the time this machine slept, in milliseconds.
  Tick darkFor(Member const& m, Tick now) const;
  /// The other members that vote and were heard of late, without those that drain.
  std::vector<Member> successors(Tick now) const;
  /// Whether a member said that it drains and did not come back since.
  bool drains(Member const& m) const;
  /// A member other than this one that drains and holds no key any more.
  Member const* parting(Tick now) const;
  void handOverOwned(RegisterCommands& out, Tick now);
  /// Drops all state after this member was struck off, and takes a fresh id.
  void resetAfterRemoval(RegisterCommands& out, Tick now);
  void assignMemberId(RegisterCommands& out, std::string id);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::NotAVotingMember const& m);

  // Catching up (catch_up.cpp).
  void catchUp(RegisterCommands& out, Tick now);
  void persistCaughtUp(RegisterCommands& out);
  /// Asks one other member for chosen values that are not on this one's disk, if there are any.
  void copyChosen(RegisterCommands& out, Tick now);
  /// Numbers a question for the slots behind a key.
  transport::ValueRequest copyRequest(std::string const& after);
  void takeSlots(RegisterCommands& out, Tick now, std::vector<transport::RecordSlot> const& slots);
  bool takesCopy(transport::SnapshotChunk const& m) const;
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::ValueRequest const& m);
  void on(RegisterCommands& out, Tick now, std::string const& from, transport::SnapshotChunk const& m);

  Member self_;
  std::string freshId_;
  std::uint64_t freshIds_ = 0;
  std::vector<std::string> founders_;
  /// Founders that said they have no disk.
  std::set<std::string> noDisk_;
  std::vector<std::string> neighbours_;
  Validator validator_;
  ConsensusTuning tuning_;
  core::RandomGenerator rng_;
  bool hasNoState_ = true;
  bool voting_ = false;
  /// Struck off; the state is dropped at the next clock event.
  bool leaving_ = false;
  /// The process is to end; see handOver.
  bool draining_ = false;
  bool diskFailed_ = false;
  bool stalled_ = false;
  Tick heartbeatAt_ = 0;
  /// When a read was asked last. Echoes of heartbeats of that millisecond don't confirm it: one may have been sent
  /// before.
  Tick newestRead_ = -1;
  Tick copyAskedAt_ = 0;
  Tick lastClock_ = 0;
  Tick wokeAt_ = 0;
  Tick quorumAt_ = -1;
  std::uint64_t nextTicket_ = 1;
  std::uint64_t membershipRevision_ = 0;
  std::vector<Member> membership_;
  std::map<std::string, RegisterState> registers_;
  std::map<std::string, CommittedValue> committed_;
  /// Digest of what is committed, and those it had before in this life, newest last.
  transport::Digest known_;
  std::deque<transport::Digest> had_;
  /// Owned keys as they were beaten last, and for how many more heartbeats they are named in full.
  transport::Digest owns_;
  int nameOwned_ = 0;
  std::map<std::string, PeerState> peers_;
  std::map<std::uint64_t, std::vector<transport::Send>> deferred_;
  std::map<std::uint64_t, Tick> writing_;
  std::uint64_t nameTicket_ = 0;
  std::uint64_t catchUpTicket_ = 0;
  std::uint64_t catchUpRevision_ = 0;
  std::uint64_t caughtUp_ = 0;
  /// Keys whose newest accepted value is not known to be committed, and since when.
  std::map<std::string, Tick> unconfirmedKeys_;
  struct Newcomer {
    std::string link;
    Tick heard = 0;
    bool empty = false;
  };
  std::map<std::string, Newcomer> newcomers_;
  std::set<std::string> catchUpReplicas_;
  /// Number of this life's first question for a copy and of its newest. A late answer to an earlier life, which may
  /// have lost what it said to have, counts for nothing.
  std::uint64_t firstAsk_ = 0;
  std::uint64_t lastAsk_ = 0;
  /// Since when, in turns, chosen values are missing on this disk (negative: none are), and the wait until it asks.
  Tick lackingSince_ = -1;
  Tick copyChosenAfter_ = 0;
  std::size_t copyChosenTurn_ = 0;
};

}  // namespace corkward::consensus
