#include <corkward/quota/quota_coordinator.h>

#include <algorithm>
#include <utility>

namespace corkward::quota {

namespace {

/// Milliseconds between questions for terms, to take one and to keep it.
constexpr Tick askEvery = 200;
/// Milliseconds between questions for loans to routers that have not answered.
constexpr Tick claimEvery = 200;
/// Milliseconds after which a controller gives up seeking a part, and how long it leaves it to others then: by its
/// rank, so that two that share the members' grants don't go on to do so.
constexpr Tick seekFor = partitionLeaseDuration;
constexpr Tick restLeast = partitionLeaseDuration;
constexpr Tick restSpread = 1000;

}  // namespace

QuotaCoordinator::QuotaCoordinator(std::string link, std::uint64_t life, OverdraftAllowance const& slack)
    : link_(std::move(link)), incarnation_(life), slack_(slack) {}

void QuotaCoordinator::configure(Tick now, std::map<std::string, Limit> limits) {
  limits_ = std::move(limits);
  for (auto& [part, office] : ownedPartitions_) {
    std::erase_if(office.ledgers, [&](auto const& ledger) { return limits_.count(ledger.first) == 0; });
    for (auto& [tenant, ledger] : office.ledgers) ledger.setLimit(now, limits_.at(tenant), slack_);
  }
}

bool QuotaCoordinator::ownsPartition(Tick now, std::uint64_t part, MembershipView const& standing) const {
  return ownedPartitions_.count(part) > 0 && now < terms_.heldUntil(part, standing.members);
}

std::size_t QuotaCoordinator::ownedPartitionCount(Tick now, MembershipView const& standing) const {
  std::size_t count = 0;
  for (auto const& [part, office] : ownedPartitions_) count += ownsPartition(now, part, standing) ? 1 : 0;
  return count;
}

std::string QuotaCoordinator::holderOf(Tick now, std::uint64_t part, MembershipView const& standing) const {
  if (ownsPartition(now, part, standing)) return link_;
  std::string granted = grants_.holder(now, part);
  if (!granted.empty() && granted != link_) return granted;
  auto const told = announcedOwners_.find(part);
  return told == announcedOwners_.end() || now >= told->second.second ? "" : told->second.first;
}

bool QuotaCoordinator::firstFor(std::uint64_t part, std::vector<std::string> const& alive) const {
  return std::none_of(alive.begin(), alive.end(), [&](std::string const& other) {
    return other != link_ && rankOf(part, other) < rankOf(part, link_);
  });
}

void QuotaCoordinator::considerSeeking(Tick now, MembershipView const& standing) {
  for (std::uint64_t part = 0; part < partitionCount; ++part) {
    if (ownsPartition(now, part, standing)) continue;
    bool const sought = terms_.since(part) >= 0;
    bool const others = !holderOf(now, part, standing).empty();
    bool const resting = restUntil_.count(part) > 0 && now < restUntil_.at(part);
    bool const may = standing.mayGrant && !standing.leaving && !resting && !limits_.empty();
    if (!may || others || !firstFor(part, standing.alive)) {
      terms_.drop(part);
    } else if (sought && now - terms_.since(part) > seekFor) {
      terms_.drop(part);
      restUntil_[part] = now + restLeast + static_cast<Tick>(core::stableHash(link_) % restSpread);
    } else {
      terms_.seek(now, part, incarnation_);
    }
  }
}

void QuotaCoordinator::keepOffices(Tick now, MembershipView const& standing) {
  std::erase_if(ownedPartitions_, [&](auto const& office) {
    if (now < terms_.heldUntil(office.first, standing.members)) return false;
    terms_.drop(office.first);
    return true;
  });
  for (PartitionEpoch const& term : terms_.wanted()) {
    if (ownedPartitions_.count(term.partition) > 0 || now >= terms_.heldUntil(term.partition, standing.members))
      continue;
    OwnedPartition office;
    office.epoch = term.epoch;
    office.since = now;
    office.unknownUntil = now + allocationDuration;
    ownedPartitions_.emplace(term.partition, std::move(office));
  }
}

PartitionLeaseRequest QuotaCoordinator::termAsk(Tick now) const {
  PartitionLeaseRequest ask;
  ask.sentAt = now;
  ask.link = link_;
  ask.incarnation = incarnation_;
  ask.terms = terms_.wanted();
  return ask;
}

void QuotaCoordinator::askTerms(std::vector<Send>& out, Tick now, MembershipView const& standing) {
  PartitionLeaseRequest const ask = termAsk(now);
  if (ask.terms.empty()) return;
  for (std::string const& member : standing.members) {
    if (member == link_)
      terms_.answered(link_, grants_.onRequest(now, ask, standing.mayGrant, standing.mayRenew));
    else
      out.push_back({member, ask});
  }
}

void QuotaCoordinator::askClaims(std::vector<Send>& out, Tick now, MembershipView const& standing) {
  std::map<std::string, AllocationQuery> asks;
  for (auto& [part, office] : ownedPartitions_) {
    if (now >= office.unknownUntil) office.unheard.clear();
    if (!office.asked && standing.contact > office.since) {
      office.asked = true;
      office.unheard = standing.routers;
      for (auto& [tenant, ledger] : office.ledgers) ledger.unheard(now, office.unheard.size());
    }
    for (std::string const& router : office.unheard) asks[router].terms.push_back({part, office.epoch});
  }
  for (auto& [router, ask] : asks) out.push_back({router, std::move(ask)});
}

void QuotaCoordinator::release(std::vector<Send>& out, Tick now, MembershipView const& standing) {
  PartitionLeaseRequest ask = termAsk(now);
  if (ask.terms.empty()) return;
  ask.release = true;
  for (PartitionEpoch const& term : ask.terms) terms_.drop(term.partition);
  ownedPartitions_.clear();
  grants_.onRequest(now, ask, false, false);
  for (std::string const& member : standing.members)
    if (member != link_) out.push_back({member, ask});
}

std::vector<Send> QuotaCoordinator::clockEvent(Tick now, MembershipView const& standing) {
  std::vector<Send> out;
  if (standing.leaving) {
    release(out, now, standing);
    return out;
  }
  if (now >= askAt_) {
    askAt_ = now + askEvery;
    considerSeeking(now, standing);
    askTerms(out, now, standing);
  }
  keepOffices(now, standing);
  if (now >= claimAt_) {
    claimAt_ = now + claimEvery;
    askClaims(out, now, standing);
  }
  return out;
}

GrantTable& QuotaCoordinator::ledgerOf(Tick now, OwnedPartition& office, std::string const& tenant) {
  auto const found = office.ledgers.find(tenant);
  if (found != office.ledgers.end()) return found->second;
  GrantTable ledger(office.since, office.epoch, limits_.at(tenant), slack_, office.unknownUntil);
  if (office.asked) ledger.unheard(now, office.unheard.size());
  return office.ledgers.emplace(tenant, std::move(ledger)).first->second;
}

std::vector<Send> QuotaCoordinator::arrived(Tick now, std::string const& from, UsageReport const& message,
                                            MembershipView const& standing) {
  if (message.link != from) return {};
  bool const listed = standing.routers.count(from) > 0;
  QuotaGrants answer;
  answer.reportNumber = message.number;
  std::set<std::uint64_t> elsewhere;
  for (TenantUsage const& use : message.uses) {
    std::uint64_t const part = partitionOf(use.tenant);
    if (limits_.count(use.tenant) == 0) {
      answer.grants.push_back({use.tenant, 0, 0, 0, use.wanted, fractionUnits});
    } else if (ownsPartition(now, part, standing)) {
      GrantTable& ledger = ledgerOf(now, ownedPartitions_.at(part), use.tenant);
      answer.grants.push_back(ledger.report(now, from, message.incarnation, use, listed));
    } else if (elsewhere.insert(part).second) {
      answer.partitionOwners.push_back({part, holderOf(now, part, standing)});
    }
  }
  return {Send{from, std::move(answer)}};
}

std::vector<Send> QuotaCoordinator::arrived(Tick now, std::string const& from, PartitionLeaseRequest const& message,
                                            MembershipView const& standing) {
  bool const member = std::find(standing.members.begin(), standing.members.end(), from) != standing.members.end();
  if (message.link != from || !member) return {};
  return {Send{from, grants_.onRequest(now, message, standing.mayGrant, standing.mayRenew)}};
}

std::vector<Send> QuotaCoordinator::arrived(Tick now, std::string const& from, PartitionLeaseReply const& message,
                                            MembershipView const& standing) {
  terms_.answered(from, message);
  for (PartitionLeaseDecision const& answer : message.decisions)
    if (!answer.granted && !answer.holder.empty() && answer.holder != link_)
      announcedOwners_[answer.partition] = {answer.holder, now + partitionLeaseDuration};
  keepOffices(now, standing);
  return {};
}

std::vector<Send> QuotaCoordinator::arrived(Tick now, std::string const& from, AllocationReport const& message,
                                            MembershipView const&) {
  if (message.link != from) return {};
  for (PartitionEpoch const& term : message.terms) {
    auto const at = ownedPartitions_.find(term.partition);
    if (at == ownedPartitions_.end() || at->second.epoch != term.epoch) continue;
    OwnedPartition& office = at->second;
    if (!office.asked) continue;
    for (TenantUsage const& use : message.uses)
      if (partitionOf(use.tenant) == term.partition && limits_.count(use.tenant) > 0)
        ledgerOf(now, office, use.tenant).claim(now, from, message.incarnation, use);
    office.unheard.erase(from);
    for (auto& [tenant, ledger] : office.ledgers) ledger.unheard(now, office.unheard.size());
  }
  return {};
}

}  // namespace corkward::quota
