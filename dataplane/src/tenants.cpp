#include <corkward/dataplane/tenants.h>

#include <algorithm>
#include <set>
#include <utility>

namespace corkward::dataplane {

namespace {

constexpr Tick reportEvery = 100;
/// A report without an answer for this long shows that its keeper is silent, which is passed over for that long then.
constexpr Tick answerWithin = 400;
constexpr Tick passOverFor = 2000;
/// Gates of tenants that may send without limit or are no more are freed once so many are kept.
constexpr std::size_t gatesKept = 4096;

scaling::QuotaLimit limitOf(config::Tenant const& tenant) {
  return {tenant.perSecond, tenant.burst};
}

}  // namespace

Tenants::Tenants(std::string link, std::uint64_t seed) : link_(std::move(link)), rng_(seed) {}

void Tenants::configure(std::vector<config::Tenant> tenants) {
  tenants_ = std::move(tenants);
  byKey_.clear();
  std::set<std::string> names;
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    names.insert(tenants_[i].name);
    for (std::string const& key : tenants_[i].keys) byKey_[key] = i;
  }
  std::erase_if(gates_, [&](auto const& gate) { return names.count(gate.first) == 0; });
}

config::Tenant const* Tenants::byKey(std::string const& key) const {
  auto const it = byKey_.find(key);
  return it == byKey_.end() ? nullptr : &tenants_[it->second];
}

double Tenants::amountOf(config::Tenant const& tenant, std::optional<std::int64_t> tokens) {
  if (!tenant.inTokens) return 1.0;
  return static_cast<double>(tokens.value_or(tenant.plainTokens));
}

bool Tenants::admit(Tick now, config::Tenant const& tenant, double amount) {
  if (tenant.perSecond <= 0) return true;
  double const draw = static_cast<double>(rng_.next() >> 11) * 0x1.0p-53;
  return gates_[tenant.name].admit(now, limitOf(tenant), amount, draw);
}

void Tenants::used(std::string const& tenant, double amount) {
  auto const it = gates_.find(tenant);
  if (it != gates_.end()) it->second.used(amount);
}

void Tenants::findSilent(Tick now) {
  for (auto& [link, keeper] : keepers_) {
    if (keeper.unanswered < 0 || now - keeper.unanswered <= answerWithin) continue;
    keeper.silentAt = now;
    keeper.unanswered = -1;
  }
}

bool Tenants::silent(Tick now, std::string const& link) const {
  auto const it = keepers_.find(link);
  return it != keepers_.end() && it->second.silentAt >= 0 && now - it->second.silentAt < passOverFor;
}

std::string Tenants::keeperOf(Tick now, std::string const& tenant, std::vector<std::string> const& controllers) const {
  std::string best;
  std::pair<bool, std::uint64_t> bestRank{true, 0};
  for (std::string const& link : controllers) {
    std::pair<bool, std::uint64_t> const rank{silent(now, link), core::stableHash(tenant + "|" + link)};
    if (!best.empty() && rank >= bestRank) continue;
    best = link;
    bestRank = rank;
  }
  return best;
}

std::vector<transport::Send> Tenants::clockEvent(Tick now, std::vector<std::string> const& controllers) {
  std::vector<transport::Send> out;
  if (now < reportAt_ || controllers.empty()) return out;
  reportAt_ = now + reportEvery;
  findSilent(now);
  std::map<std::string, transport::QuotaReport> reports;
  for (auto& [name, gate] : gates_) {
    if (!gate.hasReport()) continue;
    scaling::QuotaGate::Report const use = gate.takeReport(now);
    reports[keeperOf(now, name, controllers)].uses.push_back({name, use.demanded, use.admitted});
  }
  for (auto& [link, report] : reports) {
    Keeper& keeper = keepers_[link];
    if (keeper.unanswered < 0) keeper.unanswered = now;
    report.link = link_;
    out.push_back(transport::Send{link, std::move(report)});
  }
  if (gates_.size() > gatesKept) std::erase_if(gates_, [&](auto const& gate) { return gate.second.idle(now); });
  return out;
}

void Tenants::arrived(Tick now, std::string const& from, transport::QuotaShares const& message) {
  auto const keeper = keepers_.find(from);
  if (keeper == keepers_.end()) return;
  keeper->second.unanswered = -1;
  if (silent(now, from)) return;
  for (transport::QuotaShare const& s : message.shares) {
    auto const gate = gates_.find(s.tenant);
    if (gate == gates_.end()) continue;
    gate->second.share(now, static_cast<double>(s.share) / static_cast<double>(transport::wholeShare),
                       static_cast<double>(s.demand));
  }
}

}  // namespace corkward::dataplane
