// Leases: who warms a cold replica, and who has a duty of the operators' programs.
#include <QJsonArray>

#include "internal.h"

namespace corkward::control {

Controller::Lease* Controller::grant(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc,
                                     Tick term, bool& ok) {
  if (!ready(now) || now - started_ < term + 500) return nullptr;
  if (joinedAt_ >= 0 && now - joinedAt_ < term + tuning_.servingLeaseDuration + 500) return nullptr;
  if (leases_.size() >= maxLeases && leases_.count(what) == 0) return nullptr;
  Lease& lease = leases_[what];
  bool const mine = lease.holder == holder && lease.inc == inc;
  bool const successor = lease.holder == holder && lease.inc == 0;
  ok = mine || successor || now >= lease.until;
  if (ok) {
    if (!mine || successor) ++lease.term;
    lease.holder = holder;
    lease.inc = inc;
    lease.until = now + term;
    lease.waiting.erase(holder);
  }
  return &lease;
}

void Controller::release(Tick now, std::string const& what, std::string const& holder, std::uint64_t inc,
                         std::string const& successor, Tick term) {
  std::map<std::string, Lease>::iterator const it = leases_.find(what);
  if (it == leases_.end() || it->second.holder != holder || it->second.inc != inc) return;
  it->second.holder = successor;
  it->second.inc = 0;
  it->second.until = successor.empty() ? now : now + term;
}

void Controller::on(ControllerCommands& out, Tick now, std::string const& from,
                    transport::WarmupLeaseRequest const& m) {
  if (m.release) {
    release(now, m.replica, m.link, m.incarnation, m.successor, tuning_.warmupLeaseDuration);
    return;
  }
  bool ok = false;
  Lease const* const lease = grant(now, m.replica, m.link, m.incarnation, tuning_.warmupLeaseDuration, ok);
  if (lease == nullptr) return;
  out.sends.push_back(transport::Send{
      from, transport::WarmupLeaseGrant{m.sentAt, m.replica, registers_.self().id, ok, lease->term, lease->holder}});
}

OperatorResponse Controller::dutyPage(Tick now, transport::OperatorCall const& call, std::string const& name) {
  if (call.method != "PUT" && call.method != "DELETE") return {call.token, 405, {{"error", "method not allowed"}}};
  QJsonObject body;
  try {
    body = core::parseJson(call.body).toObject();
  } catch (core::JsonError const& e) {
    return {call.token, 400, {{"error", "malformed"}, {"reason", e.what()}, {"pointer", "/"}}};
  }
  std::string const holder = core::toStdString(body.value("holder").toString());
  std::string const successor = core::toStdString(body.value("successor").toString());
  if (holder.empty() || holder.size() > 64 || successor.size() > 64)
    return {
        call.token,
        422,
        {{"error", "not a valid duty"}, {"reason", "holder must be a name of 1 to 64 bytes"}, {"pointer", "/holder"}}};
  std::string const what = "duty " + name;
  if (call.method == "DELETE") {
    release(now, what, holder, 1, successor, tuning_.singletonLeaseDuration);
    return {call.token, 200, {{"granted", false}}};
  }
  bool ok = false;
  Lease* const lease = grant(now, what, holder, 1, tuning_.singletonLeaseDuration, ok);
  if (lease == nullptr)
    return {call.token,
            503,
            {{"error", "not granted"},
             {"reason", "not in touch with a majority, or started too lately to know who has it"}}};
  if (!ok) lease->waiting[holder] = now;
  std::erase_if(lease->waiting, [&](std::map<std::string, Tick>::value_type const& w) {
    return now - w.second > tuning_.singletonLeaseDuration;
  });
  QJsonArray members;
  for (consensus::Member const& m : registers_.membership()) members.append(core::toQString(m.id));
  QJsonArray waiting;
  for (std::map<std::string, Tick>::value_type const& w : lease->waiting) waiting.append(core::toQString(w.first));
  return {call.token,
          200,
          {{"granted", ok},
           {"holder", core::toQString(lease->holder)},
           {"epoch", static_cast<qint64>(lease->term)},
           {"member", core::toQString(registers_.self().id)},
           {"cohort", members},
           {"waiting", waiting},
           {"cohortStamp", static_cast<qint64>(committedRevision("cohort"))}}};
}

}  // namespace corkward::control
