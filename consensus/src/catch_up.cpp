// Catching up: after each change of the membership a member copies what it lacks from others, until a majority of the
// set, itself included, has answered. Then it has every value that was chosen before, and says so in its heartbeats. A
// new member votes only from then on.
#include <corkward/consensus/replicated_registers.h>

#include <algorithm>

#include <corkward/core/json.h>
#include "records.h"

namespace corkward::consensus {

namespace {

/// Questions for copies are numbered from a random number below this one in each life.
constexpr std::uint64_t askSpace = std::uint64_t{1} << 48;

}  // namespace

void ReplicatedRegisters::persistCaughtUp(RegisterCommands& out) {
  catchUpTicket_ = nextTicket_++;
  catchUpRevision_ = membershipRevision_;
  persistMeta(out, catchUpTicket_, true, membershipRevision_);
}

void ReplicatedRegisters::catchUp(RegisterCommands& out, Tick now) {
  if (caughtUp_ == membershipRevision_) copyChosen(out, now);
  if (caughtUp_ == membershipRevision_ || catchUpTicket_ != 0 || diskFailed_ || !isMember(self_.id)) return;
  std::size_t const wanted =
      tuning_.switches.off(Mechanism::catchUpBeforeVote) ? 0 : (membership_.size() + (voting_ ? 0 : 1)) / 2;
  if (catchUpReplicas_.size() >= wanted) {
    persistCaughtUp(out);
    return;
  }
  bool const again = copyAskedAt_ >= 0;
  if (again && now - copyAskedAt_ <= tuning_.resendEvery) return;
  copyAskedAt_ = now;
  transport::ValueRequest const fetch = copyRequest("");
  for (Member const& m : membership_) {
    if (m.id == self_.id || catchUpReplicas_.count(m.id) > 0 || (!again && !peers_[m.id].voting)) continue;
    out.sends.push_back(transport::Send{m.link, fetch});
    if (!again) return;
  }
}

transport::ValueRequest ReplicatedRegisters::copyRequest(std::string const& after) {
  if (firstAsk_ == 0) {
    firstAsk_ = 1 + rng_.below(askSpace);
    lastAsk_ = firstAsk_ - 1;
  }
  transport::ValueRequest fetch{after, true, self_.id, membershipRevision_, {}, ++lastAsk_};
  for (std::map<std::string, RegisterState>::value_type const& r : registers_)
    if (after.empty() || after < r.first)
      fetch.knownSlots.push_back(
          transport::RecordSlot{r.first, r.second.promised, r.second.acceptedBallot, r.second.revision, {}});
  return fetch;
}

void ReplicatedRegisters::copyChosen(RegisterCommands& out, Tick now) {
  bool const lacking = std::any_of(committed_.begin(), committed_.end(),
                                   [&](std::map<std::string, CommittedValue>::value_type const& c) {
                                     return registerFor(c.first).revision < c.second.revision;
                                   });
  if (!lacking || !isVoting() || stalled_) {
    lackingSince_ = -1;
    copyChosenAfter_ = tuning_.resendEvery;
    return;
  }
  if (lackingSince_ < 0) lackingSince_ = now;
  std::vector<Member> const live = successors(now);
  if (now - lackingSince_ < copyChosenAfter_ || live.empty()) return;
  lackingSince_ = now;
  copyChosenAfter_ = std::min(2 * copyChosenAfter_, tuning_.maxCatchUpBackoff);
  out.sends.push_back(transport::Send{live[copyChosenTurn_++ % live.size()].link, copyRequest("")});
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const& from,
                             transport::ValueRequest const& m) {
  if (m.isCatchUp) {
    if (!isVoting() || !isMember(m.member) || m.membershipRevision != membershipRevision_) return;
    std::map<std::string, transport::RecordSlot> have;
    for (transport::RecordSlot const& s : m.knownSlots) have[s.key] = s;
    transport::SnapshotChunk copy{self_.id, membershipRevision_, {}, m.requestNumber};
    std::size_t bytes = 0;
    RegisterState newest;
    for (std::map<std::string, RegisterState>::const_iterator it = registers_.upper_bound(m.key);
         it != registers_.end(); ++it) {
      RegisterState const& r = it->second;
      transport::RecordSlot const& theirs = have[it->first];
      if (!(theirs.promised < r.promised) && !newer(r, theirs)) continue;
      if (m.requestNumber > 0 && bytes >= tuning_.snapshotChunkBytes) {
        copy.hasMore = true;
        break;
      }
      copy.slots.push_back(transport::RecordSlot{it->first, r.promised, r.acceptedBallot, r.revision, r.value});
      bytes += core::jsonText(r.value).size();
    }
    for (std::map<std::string, RegisterState>::value_type const& r : registers_)
      newest.ticket = std::max(newest.ticket, r.second.ticket);
    sendWhenSynced(out, now, newest, from, copy);
    return;
  }
  std::map<std::string, CommittedValue>::const_iterator const it = committed_.find(m.key);
  if (it != committed_.end())
    out.sends.push_back(transport::Send{
        from, transport::Commit{registerFor(m.key).promised,
                                transport::CommittedEntry{m.key, it->second.revision, it->second.value}}});
}

bool ReplicatedRegisters::takesCopy(transport::SnapshotChunk const& m) const {
  bool const ours =
      m.requestNumber == 0 || (firstAsk_ > 0 && firstAsk_ <= m.requestNumber && m.requestNumber <= lastAsk_);
  return ours && m.membershipRevision == membershipRevision_ && !diskFailed_ && isMember(self_.id) &&
         isMember(m.member);
}

void ReplicatedRegisters::takeSlots(RegisterCommands& out, Tick now, std::vector<transport::RecordSlot> const& slots) {
  for (transport::RecordSlot const& s : slots) {
    RegisterState& r = registerFor(s.key);
    bool const taken = s.revision > 0 && newer(s, r);
    if (!taken && s.promised <= r.promised) continue;
    r.promised = std::max(r.promised, s.promised);
    r.highest = std::max(r.highest, s.promised.number);
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
}

void ReplicatedRegisters::on(RegisterCommands& out, Tick now, std::string const& from,
                             transport::SnapshotChunk const& m) {
  if (!takesCopy(m)) return;
  takeSlots(out, now, m.slots);
  if (m.hasMore && !m.slots.empty()) {
    if (caughtUp_ != membershipRevision_) copyAskedAt_ = now;
    out.sends.push_back(transport::Send{from, copyRequest(m.slots.back().key)});
    return;
  }
  if (caughtUp_ == membershipRevision_ || catchUpTicket_ != 0) return;
  catchUpReplicas_.insert(m.member);
  copyAskedAt_ = -1;
  catchUp(out, now);
}

}  // namespace corkward::consensus
