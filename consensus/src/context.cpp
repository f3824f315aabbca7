#include "context.h"

#include <utility>

#include "replica.h"

namespace corkward::consensus {

EventContext::EventContext(Replica& replica, Milliseconds time)
    : now(time),
      tuning(replica.tuning),
      validator(replica.validator),
      random(replica.random),
      local(replica.local),
      membership(replica.membership),
      detector(replica.detector),
      heartbeats(replica.heartbeats),
      persistence(replica.persistence),
      learner(replica.learner),
      catchUp(replica.catchUp),
      registers(replica.registers),
      replica_(replica) {}

void EventContext::send(std::string const& to, transport::Message message) {
  if (to == local.link())
    replica_.onMessage(*this, to, message);
  else
    sendToPeer(to, std::move(message));
}

void EventContext::sendToPeer(std::string const& to, transport::Message message) {
  commands.sends.push_back(transport::Send{to, std::move(message)});
}

void EventContext::log(core::EventName event, std::map<std::string, std::string> fields) {
  commands.logEvents.push_back(core::LogEvent{event, std::move(fields)});
}

bool EventContext::isVoting() const {
  return replica_.isVoting();
}

bool EventContext::canVoteNow() const {
  return isVoting() && !persistence.isStalled();
}

std::vector<Member> EventContext::availablePeers() const {
  return detector.availablePeers(currentMembership(), local.id(), now);
}

}  // namespace corkward::consensus
