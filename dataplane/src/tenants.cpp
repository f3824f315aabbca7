#include <corkward/dataplane/tenants.h>

#include <algorithm>
#include <utility>

namespace corkward::dataplane {

namespace {

/// Milliseconds between looks for reports that are due.
constexpr Tick reportEvery = 50;
/// A report without an answer for this long shows that its lender is silent, which is passed over for that long then.
constexpr Tick answerWithin = 400;
constexpr Tick passOverFor = 2000;
/// Milliseconds that a request waits for its amount. Amounts that come later are void, see
/// quota::QuotaLimiter::onGrant.
constexpr Tick waitAtMost = quota::maxDispatchDelay / 2;
/// Milliseconds for which no amount is asked for after a lender had too little, or nobody lent.
constexpr Tick scarceFor = 30;
constexpr Tick nobodyFor = 150;
/// A request is sent on to another lender so often.
constexpr int mostAsks = 3;
/// Gates of tenants that send nothing are freed once so many are kept.
constexpr std::size_t gatesKept = 4096;

}  // namespace

Tenants::Tenants(std::string link, std::uint64_t life, std::uint64_t seed, quota::OverdraftAllowance const& slack)
    : link_(std::move(link)), life_(life), rng_(seed), slack_(slack) {}

void Tenants::configure(std::vector<config::Tenant> tenants) {
  tenants_ = std::move(tenants);
  byKey_.clear();
  std::set<std::string> limitedNames;
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    config::Tenant const& tenant = tenants_[i];
    for (std::string const& key : tenant.keys) byKey_[key] = i;
    if (tenant.ratePerSecond <= 0) continue;
    limitedNames.insert(tenant.name);
    gates_[tenant.name].limit = {tenant.ratePerSecond, tenant.burst};
  }
  std::erase_if(gates_, [&](auto const& gate) { return limitedNames.count(gate.first) == 0; });
}

config::Tenant const* Tenants::byKey(std::string const& key) const {
  auto const it = byKey_.find(key);
  return it == byKey_.end() ? nullptr : &tenants_[it->second];
}

void Tenants::around(std::vector<std::string> const& controllers, std::size_t routers) {
  if (controllers_ != controllers) controllers_ = controllers;
  crowd_.routers = std::max(crowd_.routers, routers);
}

double Tenants::amountOf(config::Tenant const& tenant, std::optional<std::int64_t> tokens) {
  if (!tenant.inTokens) return 1.0;
  return static_cast<double>(tokens.value_or(tenant.defaultTokens));
}

Tenants::Limited* Tenants::limited(std::string const& tenant) {
  auto const it = gates_.find(tenant);
  return it == gates_.end() ? nullptr : &it->second;
}

double Tenants::draw() {
  return static_cast<double>(rng_.next() >> 11) * 0x1.0p-53;
}

Admission Tenants::admit(Tick now, std::uint64_t call, config::Tenant const& tenant, double amount,
                         std::vector<transport::Send>& out) {
  Limited* const limit = limited(tenant.name);
  if (limit == nullptr) return Admission::granted;
  if (!limit->gate.onRequest(now, amount, draw())) return Admission::rejectedByAllocation;
  if (limit->gate.tryAcquire(now, limit->limit, slack_, amount)) return Admission::granted;
  Waiting const waiting{call, tenant.name, amount, now, 0};
  if (now < limit->scarceUntil) return Admission::rejectedByCoordinator;
  if (ask(now, waiting, out)) return Admission::pending;
  return withoutLender(now, waiting).admission;
}

bool Tenants::take(Tick now, std::string const& tenant, double amount) {
  Limited* const limit = limited(tenant);
  return limit == nullptr || limit->gate.tryAcquire(now, limit->limit, slack_, amount);
}

void Tenants::giveBack(Tick now, std::string const& tenant, double amount) {
  Limited* const limit = limited(tenant);
  if (limit != nullptr) limit->gate.refund(now, limit->limit, slack_, amount);
}

QuotaDecision Tenants::withoutLender(Tick now, Waiting const& waiting) {
  Limited* const limit = limited(waiting.tenant);
  bool const granted = limit == nullptr || limit->gate.tryAcquire(now, limit->limit, slack_, waiting.amount) ||
                       limit->gate.tryAcquireUnallocated(now, limit->limit, slack_, waiting.amount, crowd_, draw());
  return {waiting.call, granted ? Admission::granted : Admission::rejectedWithoutCoordinator, now};
}

void Tenants::findSilent(Tick now) {
  for (auto& entry : lenders_) {
    Lender& lender = entry.second;
    if (lender.unanswered < 0 || now - lender.unanswered <= answerWithin) continue;
    lender.silentAt = now;
    lender.unanswered = -1;
    std::erase_if(told_, [&](auto const& told) { return told.second == entry.first; });
  }
}

bool Tenants::silent(Tick now, std::string const& link) const {
  auto const it = lenders_.find(link);
  return it != lenders_.end() && it->second.silentAt >= 0 && now - it->second.silentAt < passOverFor;
}

std::string Tenants::lenderOf(Tick now, std::uint64_t part) const {
  auto const nobody = nobodyUntil_.find(part);
  if (nobody != nobodyUntil_.end() && now < nobody->second) return {};
  auto const told = told_.find(part);
  if (told != told_.end() && !silent(now, told->second)) return told->second;
  std::string best;
  for (std::string const& link : controllers_) {
    if (silent(now, link)) continue;
    if (best.empty() || quota::ownerRank(part, link) < quota::ownerRank(part, best)) best = link;
  }
  return best;
}

void Tenants::send(Tick now, std::string const& lender, std::vector<quota::TenantUsage> uses,
                   std::vector<Waiting> waiting, std::vector<transport::Send>& out) {
  Lender& known = lenders_[lender];
  if (known.unanswered < 0) known.unanswered = now;
  std::uint64_t const number = nextReport_++;
  asked_[number] = Asked{now, lender, std::move(waiting)};
  out.push_back(transport::Send{lender, quota::UsageReport{link_, life_, number, std::move(uses)}});
}

bool Tenants::ask(Tick now, Waiting waiting, std::vector<transport::Send>& out) {
  Limited* const limit = limited(waiting.tenant);
  std::string const lender = lenderOf(now, quota::partitionOf(waiting.tenant));
  if (limit == nullptr || lender.empty() || waiting.asked >= mostAsks) return false;
  ++waiting.asked;
  quota::TenantUsage use = limit->gate.takeReport(now, limit->limit, slack_, waiting.amount);
  use.tenant = waiting.tenant;
  send(now, lender, {std::move(use)}, {std::move(waiting)}, out);
  return true;
}

void Tenants::report(Tick now, std::vector<transport::Send>& out) {
  std::map<std::string, std::vector<quota::TenantUsage>> uses;
  for (auto& [name, limit] : gates_) {
    if (!limit.gate.reportDue(now)) continue;
    std::string const lender = lenderOf(now, quota::partitionOf(name));
    if (lender.empty()) continue;
    quota::TenantUsage use = limit.gate.takeReport(now, limit.limit, slack_, 0);
    use.tenant = name;
    uses[lender].push_back(std::move(use));
  }
  for (auto& [lender, some] : uses) send(now, lender, std::move(some), {}, out);
}

std::vector<QuotaDecision> Tenants::clockEvent(Tick now, std::vector<transport::Send>& out) {
  std::vector<QuotaDecision> decisions;
  for (auto& [number, asked] : asked_) {
    std::erase_if(asked.waiting, [&](Waiting const& waiting) {
      if (now - waiting.since < waitAtMost) return false;
      decisions.push_back(withoutLender(now, waiting));
      return true;
    });
  }
  std::erase_if(asked_, [&](auto const& asked) { return now - asked.second.at > passOverFor; });
  if (now < reportAt_) return decisions;
  reportAt_ = now + reportEvery;
  findSilent(now);
  report(now, out);
  if (gates_.size() > gatesKept)
    for (auto& [name, limit] : gates_)
      if (limit.gate.idle(now)) limit.gate = quota::QuotaLimiter();
  return decisions;
}

std::vector<QuotaDecision> Tenants::arrived(Tick now, std::string const& from, quota::QuotaGrants const& message,
                                            std::vector<transport::Send>& out) {
  std::vector<QuotaDecision> decisions;
  auto const at = asked_.find(message.reportNumber);
  if (at == asked_.end() || at->second.lender != from) return decisions;
  Asked const asked = std::move(at->second);
  asked_.erase(at);
  lenders_[from].unanswered = -1;
  for (quota::PartitionOwner const& elsewhere : message.partitionOwners) {
    told_[elsewhere.partition] = elsewhere.coordinator;
    if (elsewhere.coordinator.empty()) {
      told_.erase(elsewhere.partition);
      nobodyUntil_[elsewhere.partition] = now + nobodyFor;
    }
  }
  for (quota::QuotaGrant const& loan : message.grants) {
    std::uint64_t const part = quota::partitionOf(loan.tenant);
    Limited* const limit = limited(loan.tenant);
    if (limit == nullptr || message.reportNumber < countsFrom_[part]) continue;
    told_[part] = from;
    limit->gate.onGrant(now, limit->limit, slack_, asked.at, loan);
  }
  for (Waiting const& waiting : asked.waiting) {
    Limited* const limit = limited(waiting.tenant);
    bool const lent = std::any_of(message.grants.begin(), message.grants.end(),
                                  [&](quota::QuotaGrant const& loan) { return loan.tenant == waiting.tenant; });
    if (limit == nullptr || limit->gate.tryAcquire(now, limit->limit, slack_, waiting.amount)) {
      decisions.push_back({waiting.call, Admission::granted, asked.at});
    } else if (lent) {
      limit->scarceUntil = now + scarceFor;
      decisions.push_back({waiting.call, Admission::rejectedByCoordinator, now});
    } else if (!ask(now, waiting, out)) {
      decisions.push_back(withoutLender(now, waiting));
    }
  }
  for (quota::QuotaGrant const& loan : message.grants)
    if (Limited* const limit = limited(loan.tenant)) limit->gate.trim(now, limit->limit, slack_);
  return decisions;
}

transport::Send Tenants::arrived(Tick now, std::string const& from, quota::AllocationQuery const& message) {
  quota::AllocationReport claims;
  claims.link = link_;
  claims.incarnation = life_;
  claims.terms = message.terms;
  for (quota::PartitionTerm const& term : message.terms) {
    countsFrom_[term.partition] = nextReport_;
    told_[term.partition] = from;
    nobodyUntil_.erase(term.partition);
  }
  for (auto const& [name, limit] : gates_) {
    std::uint64_t const part = quota::partitionOf(name);
    bool const asked = std::any_of(message.terms.begin(), message.terms.end(),
                                   [&](quota::PartitionTerm const& term) { return term.partition == part; });
    if (!asked || !limit.gate.hasAllocation(now)) continue;
    quota::TenantUsage use = limit.gate.currentUsage(now, limit.limit, slack_);
    use.tenant = name;
    claims.usages.push_back(std::move(use));
  }
  return {from, std::move(claims)};
}

}  // namespace corkward::dataplane
