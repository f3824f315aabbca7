#include <algorithm>

#include <corkward/dataplane/serving_lease.h>

#include "internal.h"

namespace corkward::dataplane {

void ServingLease::onGrant(std::string const& controller, Milliseconds grantedAt, transport::Digest const& digest,
                           transport::Revisions const& revisions) {
  Grant& grant = grants_[controller];
  if (grantedAt > grant.grantedAt) grant = Grant{grantedAt, digest, revisions, grant.validAt};
}

void ServingLease::onHeartbeatReply(std::string const& from, transport::PeerHeartbeat const& reply,
                                    ConfigurationState const& configuration, Roster const& roster) {
  if (configuration.covers(reply.digest, reply.revisions))
    recordReply(from, reply, roster);
  else
    pendingReplies_[from] = reply;
}

void ServingLease::refresh(ConfigurationState const& configuration, Roster const& roster) {
  for (auto& [controller, grant] : grants_) {
    if (grant.grantedAt <= grant.validAt || !configuration.covers(grant.digest, grant.revisions)) continue;
    grant.validAt = grant.grantedAt;
    confirmedByController_ = confirmedByController_ || grant.grantedAt >= startedAt_;
  }
  std::erase_if(pendingReplies_, [&](auto const& entry) {
    auto const& [from, reply] = entry;
    bool const covered = configuration.covers(reply.digest, reply.revisions);
    if (covered) recordReply(from, reply, roster);
    return covered;
  });
}

void ServingLease::recordContact(std::string const& link, Milliseconds at) {
  Milliseconds& newest = lastContactAt_.try_emplace(link, at).first->second;
  newest = std::max(newest, at);
}

void ServingLease::recordReply(std::string const& from, transport::PeerHeartbeat const& reply, Roster const& roster) {
  if (!reply.hasSnapshot) return;
  recordContact(from, reply.sentAt);
  if (reply.rosterRevision != roster.revision() || reply.ages.size() != roster.zones().size()) return;
  std::size_t index = 0;
  for (auto const& [link, zone] : roster.zones()) {
    int const age = static_cast<unsigned char>(reply.ages[index++]);
    if (age < unknownAge && link != roster.self()) recordContact(link, reply.sentAt - age * transport::ageUnit);
  }
}

bool ServingLease::isGrantedWithin(Milliseconds now, Milliseconds age) const {
  return std::any_of(grants_.begin(), grants_.end(), [&](auto const& entry) {
    Milliseconds const validAt = entry.second.validAt;
    return validAt >= 0 && now - validAt <= age;
  });
}

bool ServingLease::hasRecentQuorumContact(Milliseconds now, Milliseconds age, Roster const& roster) const {
  std::size_t contacted = confirmedByController_ ? 1 : 0;
  for (std::string const& link : roster.others()) {
    auto const newest = lastContactAt_.find(link);
    contacted += newest != lastContactAt_.end() && now - newest->second <= age ? 1 : 0;
  }
  return contacted >= majorityOf(roster.size());
}

std::string ServingLease::encodeAges(Milliseconds now, Milliseconds maxAge, Roster const& roster) const {
  std::string ages;
  for (auto const& [link, zone] : roster.zones()) {
    auto const newest = lastContactAt_.find(link);
    Milliseconds age = newest == lastContactAt_.end() ? maxAge + 1 : now - newest->second;
    if (link == roster.self()) age = 0;
    Milliseconds const units = (age + transport::ageUnit - 1) / transport::ageUnit;
    ages += static_cast<char>(age > maxAge || units >= unknownAge ? unknownAge : units);
  }
  return ages;
}

void ServingLease::forgetBefore(Milliseconds oldest) {
  std::erase_if(grants_, [&](auto const& entry) { return entry.second.grantedAt < oldest; });
  std::erase_if(pendingReplies_, [&](auto const& entry) { return entry.second.sentAt < oldest; });
  std::erase_if(lastContactAt_, [&](auto const& entry) { return entry.second < oldest; });
}

}  // namespace corkward::dataplane
