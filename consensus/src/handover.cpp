#include "handover.h"

#include <algorithm>
#include <vector>

#include "context.h"
#include "replica.h"

namespace corkward::consensus {

void handOverOwnedKeys(EventContext& context) {
  std::vector<Member> const available = context.availablePeers();
  std::size_t handedOver = 0;
  for (auto& [key, keyRegister] : context.registers) {
    if (!keyRegister.proposer().isOwner() || keyRegister.proposer().proposal() || available.empty()) continue;
    Member const& successor = available[handedOver++ % available.size()];
    context.sendToPeer(successor.link, transport::Handover{key, keyRegister.proposer().ballot()});
    keyRegister.stepDown(context, StepDownReason::handedOver);
    context.heartbeats.scheduleAt(context.now);
  }
}

bool isHandoverComplete(Replica const& replica, Milliseconds now) {
  Membership const& membership = replica.membership.current();
  if (!replica.isMember() || replica.local.hasNoState()) return true;
  if (replica.registers.ownedCount() > 0 || membership.members.size() % 2 == 0) return false;
  std::vector<Member> const available = replica.detector.availablePeers(membership, replica.local.id(), now);
  auto const hasAllCommitted = [&](Member const& member) {
    return replica.detector.find(member.id)->acceptedDigest == replica.learner.digest();
  };
  return !available.empty() && std::all_of(available.begin(), available.end(), hasAllCommitted);
}

}  // namespace corkward::consensus
