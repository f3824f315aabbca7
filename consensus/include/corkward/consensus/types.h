#pragma once

/// Types of the consensus package's interface: tuning, members, the validator, and the commands that events return.

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <corkward/consensus/mechanism_switches.h>
#include <corkward/core/types.h>
#include <corkward/transport/message.h>

namespace corkward::consensus {

using core::Milliseconds;
using transport::Ballot;

/// An error of the replicated control state.
class ConsensusError : public core::Error {
 public:
  using core::Error::Error;
};

/// Key of the register that holds the membership itself. Messages and records contain this text, so it must not change.
inline constexpr char const* membershipKey = "cohort";

/// Timeouts (milliseconds) and limits. The daemon's settings can override them.
struct ConsensusTuning {
  Milliseconds heartbeatEvery = 150;
  /// A peer without contact for longer than this counts as unreachable. If the peer is an owner, other members start
  /// elections for its keys.
  Milliseconds ownerTimeout = 1000;
  /// Upper bound of the random delay before an election. The delay makes simultaneous elections rare.
  Milliseconds electionSpread = 500;
  /// Wait before an election for a key that no member has claimed since the restart, counted from the time when a
  /// majority is alive.
  Milliseconds restartPause = 150;
  /// Upper bound of the random delay that is added to restartPause.
  Milliseconds restartSpread = 250;
  Milliseconds resendEvery = 200;
  Milliseconds callTimeout = 4000;
  /// A member that was unreachable for longer than this may be replaced, or removed if at least three members remain.
  Milliseconds replaceUnreachableAfter = 20000;
  std::size_t maxMembers = 9;
  /// The disk counts as stalled while its oldest write has been pending for longer than this.
  Milliseconds stallAfter = 800;
  /// A snapshot chunk ends with the value at which the sum of its values reaches this size.
  std::size_t snapshotChunkBytes = 1U << 20;
  /// Maximum backoff between the requests of a member whose disk lacks chosen values.
  Milliseconds maxCatchUpBackoff = 4000;
  /// Mechanisms that the explorer has turned off in a test build. In a daemon all mechanisms are on.
  MechanismSwitches switches;
};

/// One member: a machine with a disk.
struct Member {
  /// Never reused. A machine that was removed or lost its disk joins again under a new id.
  std::string id;
  /// Address on which the member receives messages.
  std::string link;
};

/// A list of members, and the revision of the membership key under which this list was chosen.
struct Membership {
  /// The revision, or 0 while no membership is known.
  std::uint64_t revision = 0;
  std::vector<Member> members = {};

  bool contains(std::string const& memberId) const;
  /// Returns true if more than half of the members are among the ids. Returns false for an empty membership.
  bool hasMajority(std::set<std::string> const& memberIds) const;
};

/// Returns the members that a value of the membership key lists. Malformed entries become members with empty fields.
std::vector<Member> membersFromJson(QJsonObject const& membershipValue);
/// Returns the value of the membership key that lists the members. membersFromJson is the inverse function.
QJsonObject membersToJson(std::vector<Member> const& members);

/// The validator's decision on a call: whether it changes the key's value, and the response.
struct Verdict {
  /// False for a read, whose response is sent only after a majority has confirmed the ownership of the key.
  bool change = false;
  /// The key's next value if `change` is true.
  QJsonObject value;
  /// HTTP status and body of the response.
  int status = 200;
  QJsonObject body;
};

/// Decides on a call, given the key's current revision and value. The revision is 0 if the key has no value yet. Must
/// be a pure function.
using Validator = std::function<Verdict(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                        transport::OperatorCall const& call)>;

/// Command to write the record, sync it, and then call ReplicatedRegisters::onPersisted with the ticket.
struct PersistCommand {
  std::uint64_t ticket = 0;
  std::string key;
  std::string payload;
};

/// A value that a majority of the members has accepted and synced to disk.
struct CommittedValue {
  std::string key;
  std::uint64_t revision = 0;
  QJsonObject value;
};

/// Under which ballots of this member a submitted call may be evaluated.
enum class CallValidity : std::uint8_t {
  anyBallot,
  /// Only under the ballot with which this member owns the key when the call is submitted. A call that waits until this
  /// member is elected, or elected again, is returned in RegisterCommands::rerouted.
  currentBallot,
};

/// The outcome of a call that was submitted to this member.
struct CallCompleted {
  std::uint64_t token = 0;
  std::string key;
  /// The revision under which the call's change was committed, or 0 if the call changed nothing.
  std::uint64_t revision = 0;
  /// HTTP status and body of the response.
  int status = 0;
  QJsonObject body;
};

/// Commands that the handling of one event returns.
struct RegisterCommands {
  std::vector<transport::Send> sends;
  std::vector<PersistCommand> persists;
  std::vector<CommittedValue> commits;
  std::vector<CallCompleted> completedCalls;
  /// Calls, by key, that were not proposed by this member and must be forwarded to the key's owner, or submitted again
  /// if this member owns the key.
  std::vector<std::pair<std::string, transport::OperatorCall>> rerouted;
  std::vector<core::LogEvent> logEvents;
};

}  // namespace corkward::consensus
