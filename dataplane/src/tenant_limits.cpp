// How a request takes its amount out of its tenant's limit: at once, after a round trip to the lender, anew before a
// further run, and back when it is not used.
#include "internal.h"

namespace corkward::dataplane {

namespace {

char const* reasonOf(Admission admission) {
  switch (admission) {
    case Admission::rejectedByAllocation:
      return "the tenant is beyond its limit: share";
    case Admission::rejectedByCoordinator:
      return "the tenant is beyond its limit: nothing left";
    case Admission::rejectedWithoutCoordinator:
      return "the tenant is beyond its limit: no lender";
    case Admission::granted:
    case Admission::pending:
      break;
  }
  return "";
}

}  // namespace

Admission RequestRouter::withinQuota(RouterCommands& out, Tick now, Call& call) {
  config::Tenant const* const tenant = call.tenant.empty() ? nullptr : tenants_.byKey(call.request.key);
  if (tenant == nullptr) return Admission::granted;
  call.amount = Tenants::amountOf(*tenant, call.request.tokens);
  Admission const admission = tenants_.admit(now, call.request.call, *tenant, call.amount, out.sends);
  if (admission == Admission::granted) {
    call.quota = QuotaState::taken;
    call.quotaAt = now;
  }
  return admission;
}

bool RequestRouter::spendQuota(Tick now, Call& call) {
  if (call.tenant.empty()) return true;
  if (call.quota == QuotaState::taken && now - call.quotaAt > quota::maxDispatchDelay) giveBackQuota(now, call);
  if (call.quota != QuotaState::taken && !tenants_.take(now, call.tenant, call.amount)) return false;
  call.quota = QuotaState::used;
  return true;
}

void RequestRouter::rejectOverQuota(RouterCommands& out, Tick now, CallId id, Admission admission) {
  reject(out, now, id, 429, reasonOf(admission), true, tuning_.quotaComeBack);
}

void RequestRouter::giveBackQuota(Tick now, Call& call) {
  if (call.quota == QuotaState::taken) tenants_.giveBack(now, call.tenant, call.amount);
  call.quota = QuotaState::none;
}

void RequestRouter::decideQuota(RouterCommands& out, Tick now, std::vector<QuotaDecision> const& decisions) {
  for (QuotaDecision const& decision : decisions) {
    std::unordered_map<CallId, Call>::iterator const it = calls_.find(decision.call);
    Call* const call = it == calls_.end() || it->second.phase != Phase::counting ? nullptr : &it->second;
    if (call == nullptr) continue;
    if (decision.admission != Admission::granted) {
      rejectOverQuota(out, now, decision.call, decision.admission);
      continue;
    }
    call->quota = QuotaState::taken;
    call->quotaAt = decision.takenAt;
    place(out, now, decision.call);
  }
}

void RequestRouter::watchTenants(RouterCommands& out, Tick now) {
  tenants_.around(membershipLinks_, rosterSize());
  decideQuota(out, now, tenants_.clockEvent(now, out.sends));
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, quota::QuotaGrants const& m) {
  decideQuota(out, now, tenants_.arrived(now, from, m, out.sends));
}

void RequestRouter::on(RouterCommands& out, Tick now, std::string const& from, quota::AllocationQuery const& m) {
  out.sends.push_back(tenants_.arrived(now, from, m));
}

}  // namespace corkward::dataplane
