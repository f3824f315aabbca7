#pragma once

/// What the handling of one event works with.

#include <map>
#include <string>

#include <corkward/consensus/types.h>
#include <corkward/core/log_event.h>
#include "catch_up.h"
#include "failure_detector.h"
#include "heartbeats.h"
#include "learner.h"
#include "local_member.h"
#include "membership_manager.h"
#include "persistence.h"
#include "register_table.h"

namespace corkward::consensus {

struct Replica;

/// One event: its time, the commands it has caused so far, and the parts of the member that handle it. Each part owns
/// its state; the others use its public functions.
class EventContext {
 public:
  EventContext(Replica& replica, Milliseconds time);

  /// Sends a message. One to this member itself is handled at once, before the function returns.
  void send(std::string const& to, transport::Message message);
  /// Sends a message that is never for this member.
  void sendToPeer(std::string const& to, transport::Message message);
  void log(core::EventName event, std::map<std::string, std::string> fields);
  void complete(CallCompleted call) { commands.completedCalls.push_back(std::move(call)); }

  /// This member votes: it has caught up, was not removed, and its disk has not failed.
  bool isVoting() const;
  /// It votes, and its disk isn't stalled.
  bool canVoteNow() const;
  Membership const& currentMembership() const { return membership.current(); }
  /// Whether this machine is a member of the adopted membership.
  bool selfIsMember() const { return currentMembership().contains(local.id()); }
  /// Other live members that don't drain.
  std::vector<Member> availablePeers() const;

  Milliseconds const now;
  RegisterCommands commands;
  ConsensusTuning const& tuning;
  Validator const& validator;
  core::RandomGenerator& random;
  LocalMember& local;
  MembershipManager& membership;
  FailureDetector& detector;
  Heartbeats& heartbeats;
  Persistence& persistence;
  Learner& learner;
  CatchUp& catchUp;
  RegisterTable& registers;

 private:
  Replica& replica_;
};

}  // namespace corkward::consensus
