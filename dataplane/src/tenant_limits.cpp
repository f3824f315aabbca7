// Applies tenants' limits to requests: takes a request's amount at once or after a round trip to the quota coordinator,
// takes it again before a retry, and returns it if the request is not dispatched.
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

Admission RequestRouter::admitByQuota(RouterCommands& out, Milliseconds now, Call& call) {
  config::Tenant const* const tenant = call.tenant.empty() ? nullptr : tenants_.byKey(call.request.tenantKey);
  if (tenant == nullptr) return Admission::granted;
  call.amount = Tenants::amountOf(*tenant, call.request.tokens);
  Admission const admission = tenants_.admit(now, call.request.call, *tenant, call.amount, out.sends);
  if (admission == Admission::granted) {
    call.quotaState = QuotaState::acquired;
    call.quotaAcquiredAt = now;
  }
  return admission;
}

bool RequestRouter::spendQuota(Milliseconds now, Call& call) {
  if (call.tenant.empty()) return true;
  if (call.quotaState == QuotaState::acquired && now - call.quotaAcquiredAt > quota::maxDispatchDelay)
    returnQuota(now, call);
  if (call.quotaState != QuotaState::acquired && !tenants_.takeAmount(now, call.tenant, call.amount)) return false;
  call.quotaState = QuotaState::used;
  return true;
}

void RequestRouter::rejectOverQuota(RouterCommands& out, Milliseconds now, CallId id, Admission admission) {
  reject(out, now, id, 429, reasonOf(admission), true, tuning_.quotaRetryAfter);
}

void RequestRouter::returnQuota(Milliseconds now, Call& call) {
  if (call.quotaState == QuotaState::acquired) tenants_.returnAmount(now, call.tenant, call.amount);
  call.quotaState = QuotaState::none;
}

void RequestRouter::applyQuotaDecisions(RouterCommands& out, Milliseconds now,
                                        std::vector<QuotaDecision> const& decisions) {
  for (QuotaDecision const& decision : decisions) {
    auto const it = calls_.find(decision.call);
    Call* const call = it == calls_.end() || it->second.phase != Phase::awaitingQuota ? nullptr : &it->second;
    if (call == nullptr) continue;
    if (decision.admission != Admission::granted) {
      rejectOverQuota(out, now, decision.call, decision.admission);
      continue;
    }
    call->quotaState = QuotaState::acquired;
    call->quotaAcquiredAt = decision.amountTakenAt;
    admitOrQueue(out, now, decision.call);
  }
}

void RequestRouter::updateTenants(RouterCommands& out, Milliseconds now) {
  tenants_.setMembers(membershipLinks_, rosterSize());
  applyQuotaDecisions(out, now, tenants_.onTimer(now, out.sends));
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       quota::QuotaGrants const& grants) {
  applyQuotaDecisions(out, now, tenants_.onMessage(now, from, grants, out.sends));
}

void RequestRouter::on(RouterCommands& out, Milliseconds now, std::string const& from,
                       quota::AllocationQuery const& query) {
  out.sends.push_back(tenants_.onMessage(now, from, query));
}

}  // namespace corkward::dataplane
