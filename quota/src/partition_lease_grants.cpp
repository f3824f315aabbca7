#include <corkward/quota/partition_lease_grants.h>

namespace corkward::quota {

PartitionLeaseDecision PartitionLeaseGrants::decide(Milliseconds now, PartitionLeaseRequest const& request,
                                                    PartitionTerm const& requested, GrantPermission permission) {
  Grant& grant = grants_[requested.partition];
  bool const sameLease =
      grant.holder == request.link && grant.incarnation == request.incarnation && grant.term == requested.term;
  bool const valid = now < grant.expiresAt;
  if (request.release) {
    if (sameLease) grant.expiresAt = now;
    return {requested.partition, grant.term, false, ""};
  }
  bool const renews = sameLease && valid && permission != GrantPermission::none;
  bool const acquires = permission == GrantPermission::all && !valid && requested.term > grant.term;
  bool const granted = renews || acquires;
  if (granted) grant = Grant{request.link, request.incarnation, requested.term, now + partitionLeaseDuration};
  return {requested.partition, grant.term, granted, now < grant.expiresAt ? grant.holder : ""};
}

PartitionLeaseReply PartitionLeaseGrants::onRequest(Milliseconds now, PartitionLeaseRequest const& request,
                                                    GrantPermission permission) {
  PartitionLeaseReply reply;
  reply.requestSentAt = request.sentAt;
  for (PartitionTerm const& requested : request.terms)
    reply.decisions.push_back(decide(now, request, requested, permission));
  return reply;
}

std::string PartitionLeaseGrants::holder(Milliseconds now, std::uint64_t partition) const {
  auto const found = grants_.find(partition);
  if (found == grants_.end() || now >= found->second.expiresAt) return "";
  return found->second.holder;
}

std::uint64_t PartitionLeaseGrants::term(std::uint64_t partition) const {
  auto const found = grants_.find(partition);
  return found == grants_.end() ? 0 : found->second.term;
}

}  // namespace corkward::quota
