#include <corkward/control/lease_table.h>

namespace corkward::control {

std::optional<LeaseTable::Grant> LeaseTable::acquire(Milliseconds now, Claim const& claim) {
  if (isFull(claim.name)) return std::nullopt;
  Lease& lease = leases_[claim.name];
  bool const isNamed = lease.holder == claim.holder;
  bool const isRenewal = isNamed && lease.incarnation == claim.incarnation;
  bool const isSuccessor = isNamed && lease.incarnation == 0;
  bool const granted = isRenewal || isSuccessor || now >= lease.expiresAt;
  if (granted) {
    if (!isRenewal || isSuccessor) ++lease.term;
    lease.holder = claim.holder;
    lease.incarnation = claim.incarnation;
    lease.expiresAt = now + claim.duration;
    lease.contenders.erase(claim.holder);
  }
  return Grant{granted, lease.holder, lease.term};
}

void LeaseTable::release(Milliseconds now, Claim const& claim, std::string const& successor) {
  auto const it = leases_.find(claim.name);
  if (it == leases_.end()) return;
  Lease& lease = it->second;
  if (lease.holder != claim.holder || lease.incarnation != claim.incarnation) return;
  lease.holder = successor;
  lease.incarnation = 0;
  lease.expiresAt = successor.empty() ? now : now + claim.duration;
}

void LeaseTable::addContender(Milliseconds now, Claim const& claim) {
  auto const it = leases_.find(claim.name);
  if (it != leases_.end()) it->second.contenders[claim.holder] = now;
}

std::vector<std::string> LeaseTable::contenders(Milliseconds now, Claim const& claim) {
  std::vector<std::string> names;
  auto const it = leases_.find(claim.name);
  if (it == leases_.end()) return names;
  std::map<std::string, Milliseconds>& contenders = it->second.contenders;
  std::erase_if(contenders, [&](auto const& contender) { return now - contender.second > claim.duration; });
  for (auto const& [name, deniedAt] : contenders) names.push_back(name);
  return names;
}

}  // namespace corkward::control
