#pragma once

/// Types of the consensus package's interface: tuning, members, the validator, and the commands that events cause.

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

/// An error of the control state.
class ConsensusError : public core::Error {
 public:
  using core::Error::Error;
};

/// Key under which the membership itself is replicated. Its text stands in messages and records, so it stays.
inline constexpr char const* membershipKey = "cohort";

/// Timeouts (milliseconds) and limits. The daemon's settings may change them.
struct ConsensusTuning {
  Milliseconds heartbeatEvery = 150;
  /// A peer that was silent for longer counts as unreachable, and an owner as lost.
  Milliseconds ownerTimeout = 1000;
  /// Upper bound of the random delay before an election, so that few members start one at the same time.
  Milliseconds electionSpread = 500;
  /// After a restart, with a majority voting and no owner announced: wait before an election, and its random spread.
  Milliseconds restartPause = 150;
  Milliseconds restartSpread = 250;
  Milliseconds resendEvery = 200;
  Milliseconds callTimeout = 4000;
  /// A member that was unreachable for so long may be replaced, or removed when three or more are left.
  Milliseconds replaceUnreachableAfter = 20000;
  std::size_t maxMembers = 9;
  /// A write that takes longer counts as a stalled disk.
  Milliseconds stallAfter = 800;
  /// A snapshot chunk has values of about so many bytes, or one value that is larger.
  std::size_t snapshotChunkBytes = 1U << 20;
  /// Longest wait before a member whose disk lacks chosen values requests them again.
  Milliseconds maxCatchUpBackoff = 4000;
  /// For the explorer: what a test build may turn off. Nothing is off in a daemon.
  MechanismSwitches switches;
};

/// One member: a machine with a disk.
struct Member {
  /// Never reused: a machine that was removed, or lost its disk, joins under a new id.
  std::string id;
  /// Address on which the member receives messages.
  std::string link;
};

/// The members that vote, and the revision of the membership key that says so.
struct Membership {
  /// 0 while no membership is known.
  std::uint64_t revision = 0;
  std::vector<Member> members = {};

  bool contains(std::string const& memberId) const;
  /// Whether more than half of the members are among the ids; false for an empty membership.
  bool hasMajority(std::set<std::string> const& memberIds) const;
};

/// Members that a value of the membership key lists. Malformed entries become members with empty fields.
std::vector<Member> membersFromJson(QJsonObject const& membershipValue);
/// Value of the membership key that lists the members; membersFromJson is its inverse.
QJsonObject membersToJson(std::vector<Member> const& members);

/// What the validator decides on a call.
struct Verdict {
  /// False: the call reads, and its answer waits until the owner's ownership is confirmed.
  bool change = false;
  /// The key's next value, if the call changes it.
  QJsonObject value;
  /// HTTP status and body of the answer.
  int status = 200;
  QJsonObject body;
};

/// Decides on a call, given the key's current value (revision 0: none yet). Pure.
using Validator = std::function<Verdict(std::string const& key, std::uint64_t revision, QJsonObject const& value,
                                        transport::OperatorCall const& call)>;

/// Command: write the record and sync it, then report the ticket.
struct PersistCommand {
  std::uint64_t ticket = 0;
  std::string key;
  std::string payload;
};

/// A value that a majority of the members has accepted on disk.
struct CommittedValue {
  std::string key;
  std::uint64_t revision = 0;
  QJsonObject value;
};

/// Outcome of a call that was submitted to this member.
struct CallCompleted {
  std::uint64_t token = 0;
  std::string key;
  /// Revision that the call's change was committed under; 0 when it changed nothing.
  std::uint64_t revision = 0;
  /// HTTP status and body of the answer.
  int status = 0;
  QJsonObject body;
};

/// Commands that one event caused.
struct RegisterCommands {
  std::vector<transport::Send> sends;
  std::vector<PersistCommand> persists;
  std::vector<CommittedValue> commits;
  std::vector<CallCompleted> completedCalls;
  /// Calls that were never proposed here and belong to the key's new owner.
  std::vector<std::pair<std::string, transport::OperatorCall>> rerouted;
  std::vector<core::LogEvent> logEvents;
};

}  // namespace corkward::consensus
