#pragma once

/// The context of one event, which is passed to all functions that handle the event.

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

/// One event: its time, the commands that were issued so far, and the components of the member. Each component owns its
/// state, and the other components use its public functions.
class EventContext {
 public:
  EventContext(Replica& replica, Milliseconds time);

  /// Sends a message. A message to this member itself is handled before the function returns.
  void send(std::string const& to, transport::Message message);
  /// Sends a message to another machine. The address must not be this member's own.
  void sendToPeer(std::string const& to, transport::Message message);
  void log(core::EventName event, std::map<std::string, std::string> fields);
  void complete(CallCompleted call) { commands.completedCalls.push_back(std::move(call)); }

  /// Returns true if this member votes: it has caught up, was not removed, and its disk has not failed.
  bool isVoting() const;
  /// Returns true if this member votes and its disk is not stalled.
  bool canVoteNow() const;
  Membership const& currentMembership() const { return membership.current(); }
  /// Returns true if this machine belongs to the adopted membership.
  bool selfIsMember() const { return currentMembership().contains(local.id()); }
  /// Returns the other live members that are not draining.
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
