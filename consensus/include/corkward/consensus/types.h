#pragma once

#include <QJsonObject>
#include <functional>
#include <string>
#include <vector>

#include <corkward/consensus/switches.h>
#include <corkward/core/types.h>
#include <corkward/transport/message.h>

namespace corkward::consensus {

using core::Tick;
using transport::Ballot;

/// An error of the control state.
class ConsensusError : public core::Error {
 public:
  using core::Error::Error;
};

/// Key under which the membership of disks itself is kept.
inline constexpr char const* membershipKey = "cohort";

/// Starting values; the daemon's settings may change them.
struct ConsensusTuning {
  Tick heartbeatEvery = 150;
  Tick ownerTimeout = 1000;
  Tick electionSpread = 500;
  /// After a restart, with a majority voting and no claim of a key: wait before it is campaigned for, and its spread.
  Tick restartPause = 150;
  Tick restartSpread = 250;
  Tick resendEvery = 200;
  Tick callTimeout = 4000;
  /// A member that has been silent for so long may be replaced, or struck off when three or more are left.
  Tick replaceUnreachableAfter = 20000;
  std::size_t maxMembers = 9;
  Tick stallAfter = 800;
  /// A message of a copy holds values of about so many bytes, or one value that is larger.
  std::size_t snapshotChunkBytes = 1U << 20;
  /// Longest wait before a member that lacks chosen values on its disk asks for them again.
  Tick maxCatchUpBackoff = 4000;
  /// For the explorer: what a test build may turn off. Nothing is off in a daemon.
  Switches switches;
};

/// One machine of the membership.
struct Member {
  std::string id;
  std::string link;
};

/// What a judge says of a call against the current value.
struct Verdict {
  bool change = false;
  QJsonObject value;
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

/// A value is on a majority of the disks.
struct CommittedValue {
  std::string key;
  std::uint64_t revision = 0;
  QJsonObject value;
};

/// What became of a call that this member's queue held.
struct CallCompleted {
  std::uint64_t token = 0;
  std::string key;
  /// Revision that the call's change was committed under; 0 when it changed nothing.
  std::uint64_t revision = 0;
  int status = 0;
  QJsonObject body;
};

/// Commands that one event brought about.
struct RegisterCommands {
  std::vector<transport::Send> sends;
  std::vector<PersistCommand> persists;
  std::vector<CommittedValue> commits;
  std::vector<CallCompleted> completedCalls;
  /// Calls that were never proposed here and belong to the key's new owner.
  std::vector<std::pair<std::string, transport::OperatorCall>> rerouted;
  std::vector<core::LogEvent> logEvents;
};

/// Members named in a membership value.
std::vector<Member> membersOf(QJsonObject const& membershipValue);

}  // namespace corkward::consensus
