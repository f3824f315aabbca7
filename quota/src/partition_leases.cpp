#include <corkward/quota/partition_leases.h>

#include <algorithm>

namespace corkward::quota {

PartitionLeaseDecision PartitionLeaseGrants::answer(Tick now, PartitionLeaseRequest const& ask,
                                                    PartitionEpoch const& wanted, bool may, bool mayRenew) {
  Grant& grant = grants_[wanted.partition];
  bool const mine = grant.holder == ask.link && grant.incarnation == ask.incarnation && grant.epoch == wanted.epoch;
  bool const running = now < grant.until;
  if (ask.release) {
    if (mine) grant.until = now;
    return {wanted.partition, grant.epoch, false, ""};
  }
  bool const renews = mine && running && mayRenew;
  bool const takes = may && !running && wanted.epoch > grant.epoch;
  if (renews || takes) grant = Grant{ask.link, ask.incarnation, wanted.epoch, now + partitionLeaseDuration};
  return {wanted.partition, grant.epoch, renews || takes, now < grant.until ? grant.holder : ""};
}

PartitionLeaseReply PartitionLeaseGrants::onRequest(Tick now, PartitionLeaseRequest const& ask, bool may,
                                                    bool mayRenew) {
  PartitionLeaseReply out;
  out.requestSentAt = ask.sentAt;
  for (PartitionEpoch const& wanted : ask.terms) out.decisions.push_back(answer(now, ask, wanted, may, mayRenew));
  return out;
}

std::string PartitionLeaseGrants::holder(Tick now, std::uint64_t part) const {
  auto const it = grants_.find(part);
  return it == grants_.end() || now >= it->second.until ? "" : it->second.holder;
}

std::uint64_t PartitionLeaseGrants::epoch(std::uint64_t part) const {
  auto const it = grants_.find(part);
  return it == grants_.end() ? 0 : it->second.epoch;
}

void PartitionLeases::seek(Tick now, std::uint64_t part, std::uint64_t least) {
  bool const begins = terms_.count(part) == 0;
  Term& term = terms_[part];
  if (begins) term.since = now;
  if (!begins && !term.outbid) return;
  term.epoch = std::max(highest_[part] + 1, least);
  term.outbid = false;
  term.granted.clear();
}

Tick PartitionLeases::since(std::uint64_t part) const {
  auto const it = terms_.find(part);
  return it == terms_.end() ? -1 : it->second.since;
}

void PartitionLeases::drop(std::uint64_t part) {
  terms_.erase(part);
}

void PartitionLeases::answered(std::string const& member, PartitionLeaseReply const& grant) {
  for (PartitionLeaseDecision const& answer : grant.decisions) {
    std::uint64_t& highest = highest_[answer.partition];
    highest = std::max(highest, answer.epoch);
    auto const it = terms_.find(answer.partition);
    if (it == terms_.end()) continue;
    Term& term = it->second;
    if (answer.granted && answer.epoch == term.epoch) {
      Tick& at = term.granted[member];
      at = std::max(at, grant.requestSentAt);
    }
    if (!answer.granted && answer.epoch >= term.epoch) term.outbid = true;
  }
}

Tick PartitionLeases::heldUntil(std::uint64_t part, std::vector<std::string> const& members) const {
  auto const it = terms_.find(part);
  if (it == terms_.end() || members.empty()) return 0;
  std::vector<Tick> granted;
  for (std::string const& member : members) {
    auto const at = it->second.granted.find(member);
    granted.push_back(at == it->second.granted.end() ? -partitionLeaseDuration : at->second);
  }
  std::sort(granted.rbegin(), granted.rend());
  return granted[members.size() / 2] + partitionLeaseDuration;
}

std::vector<PartitionEpoch> PartitionLeases::wanted() const {
  std::vector<PartitionEpoch> out;
  for (auto const& [part, term] : terms_) out.push_back({part, term.epoch});
  return out;
}

std::uint64_t PartitionLeases::epoch(std::uint64_t part) const {
  auto const it = terms_.find(part);
  return it == terms_.end() ? 0 : it->second.epoch;
}

}  // namespace corkward::quota
