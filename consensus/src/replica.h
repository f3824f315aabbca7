#pragma once

/// The components of one member, and the dispatch of events to them.

#include <map>
#include <string>
#include <vector>

#include <corkward/consensus/types.h>
#include "catch_up.h"
#include "context.h"
#include "failure_detector.h"
#include "heartbeats.h"
#include "learner.h"
#include "local_member.h"
#include "membership_manager.h"
#include "persistence.h"
#include "register_table.h"

namespace corkward::consensus {

/// The state of one member. The explorer copies it as a value.
struct Replica {
  Replica(Member self, std::vector<std::string> founders, Validator callValidator, std::uint64_t seed,
          ConsensusTuning const& settings);

  void restore(EventContext& context, std::map<std::string, std::string> const& recordMap, bool damaged);
  void onMessage(EventContext& context, std::string const& from, transport::Message const& message);
  void onTimer(EventContext& context);
  void onPersisted(EventContext& context, std::uint64_t ticket, bool succeeded);
  void submit(EventContext& context, std::string const& key, transport::OperatorCall const& call,
              CallValidity validity);

  bool isVoting() const;
  bool isMember() const { return membership.current().contains(local.id()); }

  ConsensusTuning tuning;
  Validator validator;
  core::RandomGenerator random;
  LocalMember local;
  MembershipManager membership;
  FailureDetector detector;
  Heartbeats heartbeats;
  Persistence persistence;
  Learner learner;
  CatchUp catchUp;
  RegisterTable registers;

 private:
  /// Drops all state after a removal. This machine then joins again under a new id.
  void resetAfterRemoval(EventContext& context);

  void handle(EventContext& context, std::string const& from, transport::Prepare const& prepare);
  void handle(EventContext& context, std::string const& from, transport::Promise const& promise);
  void handle(EventContext& context, std::string const& from, transport::Accept const& accept);
  void handle(EventContext& context, std::string const& from, transport::Accepted const& accepted);
  void handle(EventContext& context, std::string const& from, transport::Commit const& commit);
  void handle(EventContext& context, std::string const& from, transport::Handover const& handover);
  void handle(EventContext& context, std::string const& from, transport::Heartbeat const& heartbeat);
  void handle(EventContext& context, std::string const& from, transport::HeartbeatReply const& reply);
  void handle(EventContext& context, std::string const& from, transport::ValueRequest const& request);
  void handle(EventContext& context, std::string const& from, transport::SnapshotChunk const& chunk);
  void handle(EventContext& context, std::string const& from, transport::NotAVotingMember const& notice);
};

}  // namespace corkward::consensus
