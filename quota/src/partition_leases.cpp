#include <corkward/quota/partition_leases.h>

#include <algorithm>

namespace corkward::quota {

void PartitionLeases::contend(Milliseconds now, std::uint64_t partition, std::uint64_t minTerm) {
  auto const [found, isNew] = candidacies_.try_emplace(partition);
  Candidacy& candidacy = found->second;
  if (isNew) candidacy.since = now;
  if (!isNew && !candidacy.superseded) return;
  candidacy.term = std::max(highestTerms_[partition] + 1, minTerm);
  candidacy.superseded = false;
  candidacy.grantRequestedAt.clear();
}

Milliseconds PartitionLeases::contendingSince(std::uint64_t partition) const {
  auto const found = candidacies_.find(partition);
  return found == candidacies_.end() ? -1 : found->second.since;
}

void PartitionLeases::abandon(std::uint64_t partition) {
  candidacies_.erase(partition);
}

void PartitionLeases::onReply(std::string const& member, PartitionLeaseReply const& reply) {
  for (PartitionLeaseDecision const& decision : reply.decisions) {
    std::uint64_t& highest = highestTerms_[decision.partition];
    highest = std::max(highest, decision.term);
    auto const found = candidacies_.find(decision.partition);
    if (found == candidacies_.end()) continue;
    Candidacy& candidacy = found->second;
    if (decision.granted && decision.term == candidacy.term) {
      Milliseconds& requestedAt = candidacy.grantRequestedAt[member];
      requestedAt = std::max(requestedAt, reply.requestSentAt);
    }
    if (!decision.granted && decision.term >= candidacy.term) candidacy.superseded = true;
  }
}

Milliseconds PartitionLeases::validUntil(std::uint64_t partition, std::vector<std::string> const& members) const {
  auto const found = candidacies_.find(partition);
  if (found == candidacies_.end() || members.empty()) return 0;
  std::map<std::string, Milliseconds> const& grants = found->second.grantRequestedAt;
  std::vector<Milliseconds> requestedAt;
  for (std::string const& member : members) {
    auto const grant = grants.find(member);
    requestedAt.push_back(grant == grants.end() ? -partitionLeaseDuration : grant->second);
  }
  std::sort(requestedAt.rbegin(), requestedAt.rend());
  Milliseconds const majorityRequestedAt = requestedAt[members.size() / 2];
  return majorityRequestedAt + partitionLeaseDuration;
}

std::vector<PartitionTerm> PartitionLeases::requestedTerms() const {
  std::vector<PartitionTerm> terms;
  for (auto const& [partition, candidacy] : candidacies_) terms.push_back({partition, candidacy.term});
  return terms;
}

std::uint64_t PartitionLeases::term(std::uint64_t partition) const {
  auto const found = candidacies_.find(partition);
  return found == candidacies_.end() ? 0 : found->second.term;
}

}  // namespace corkward::quota
