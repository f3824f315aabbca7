// Catching up: after each change of the membership a member copies what it lacks from others, until a majority of the
// set, itself included, has answered. Then it has every value that was chosen before, and says so in its heartbeats. A
// new member votes only from then on.
#include <corkward/consensus/registers.h>
#include "records.h"

namespace corkward::consensus {

void Registers::persistCaughtUp(Commands& out) {
  catchUpTicket_ = nextTicket_++;
  catchUpRevision_ = membershipRevision_;
  persistMeta(out, catchUpTicket_, true, membershipRevision_);
}

void Registers::catchUp(Commands& out, Tick now) {
  if (caughtUp_ == membershipRevision_ || catchUpTicket_ != 0 || diskFailed_ || !isMember(self_.id)) return;
  std::size_t const wanted =
      tuning_.switches.off(Mechanism::copyBeforeVote) ? 0 : (membership_.size() + (voting_ ? 0 : 1)) / 2;
  if (copies_.size() >= wanted) {
    persistCaughtUp(out);
    return;
  }
  bool const again = copyAskedAt_ >= 0;
  if (again && now - copyAskedAt_ <= tuning_.resendEvery) return;
  copyAskedAt_ = now;
  transport::Fetch fetch{"", true, self_.id, membershipRevision_};
  for (std::map<std::string, Reg>::value_type const& r : regs_)
    fetch.have.push_back(transport::Slot{r.first, r.second.promised, r.second.acceptedBallot, r.second.revision, {}});
  for (Member const& m : membership_) {
    if (m.id == self_.id || copies_.count(m.id) > 0 || (!again && !others_[m.id].voting)) continue;
    out.sends.push_back(transport::Send{m.link, fetch});
    if (!again) return;
  }
}

void Registers::on(Commands& out, Tick now, std::string const& from, transport::Fetch const& m) {
  if (m.copy) {
    if (!voting() || !isMember(m.member) || m.membership != membershipRevision_) return;
    std::map<std::string, transport::Slot> have;
    for (transport::Slot const& s : m.have) have[s.key] = s;
    transport::Copy copy{self_.id, membershipRevision_, {}};
    Reg newest;
    for (std::map<std::string, Reg>::value_type const& r : regs_) {
      newest.ticket = std::max(newest.ticket, r.second.ticket);
      transport::Slot const& theirs = have[r.first];
      if (theirs.promised < r.second.promised || newer(r.second, theirs))
        copy.slots.push_back(
            transport::Slot{r.first, r.second.promised, r.second.acceptedBallot, r.second.revision, r.second.value});
    }
    sendWhenSynced(out, now, newest, from, copy);
    return;
  }
  std::map<std::string, Committed>::const_iterator const it = committed_.find(m.key);
  if (it != committed_.end())
    out.sends.push_back(transport::Send{
        from, transport::Commit{reg(m.key).promised, transport::Item{m.key, it->second.revision, it->second.value}}});
}

void Registers::on(Commands& out, Tick now, std::string const&, transport::Copy const& m) {
  if (m.membership != membershipRevision_ || caughtUp_ == membershipRevision_ || catchUpTicket_ != 0 || diskFailed_ ||
      !isMember(self_.id) || !isMember(m.member))
    return;
  copies_.insert(m.member);
  copyAskedAt_ = -1;
  for (transport::Slot const& s : m.slots) {
    Reg& r = reg(s.key);
    bool const taken = s.revision > 0 && newer(s, r);
    if (!taken && s.promised <= r.promised) continue;
    r.promised = std::max(r.promised, s.promised);
    r.highest = std::max(r.highest, s.promised.n);
    if (taken) {
      r.acceptedBallot = s.acceptedBallot;
      r.revision = s.revision;
      r.value = s.value;
      accepted(now, s.key, r);
    }
    if (r.role != Role::idle && r.mine < r.promised)
      stepDown(out, now, s.key, r, "a member has promised a higher epoch");
    if (!voting_) r.ownerHeard = now;
    persist(out, now, s.key, r);
  }
  catchUp(out, now);
}

}  // namespace corkward::consensus
