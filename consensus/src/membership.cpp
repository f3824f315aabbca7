// The set of members: founding it, changing it by one member at a time, and leaving it.
// A change is a value of the membership key. It is chosen by a majority of the old and of the new set, and the next one
// is proposed only when a majority of the set, and each live member of it, has caught up under it (see catch_up.cpp).
#include <corkward/consensus/replicated_registers.h>
#include <QJsonArray>
#include <algorithm>
#include <corkward/core/json.h>
#include "records.h"

namespace corkward::consensus {

std::vector<Member> membersOf(QJsonObject const& membershipValue) {
  std::vector<Member> out;
  for (QJsonValue const v : membershipValue.value("members").toArray()) {
    QJsonObject const o = v.toObject();
    out.push_back(Member{core::toStdString(o.value("id").toString()), core::toStdString(o.value("link").toString())});
  }
  return out;
}

QJsonObject membershipJson(std::vector<Member> const& members) {
  QJsonArray list;
  for (Member const& m : members)
    list.append(QJsonObject{{"id", core::toQString(m.id)}, {"link", core::toQString(m.link)}});
  return QJsonObject{{"members", list}};
}

void ReplicatedRegisters::resetAfterRemoval(RegisterCommands& out, Tick now) {
  out.logEvents.push_back(core::LogEvent{"struck-off", {{"member", self_.id}}});
  for (std::map<std::string, RegisterState>::value_type& r : registers_) {
    stepDown(out, now, r.first, r.second, "struck off");
    for (Pending const& p : r.second.queue)
      out.completedCalls.push_back(CallCompleted{
          p.call.token, r.first, 0, 503, {{"error", "not accepted"}, {"reason", "this member was struck off"}}});
  }
  registers_.clear();
  unconfirmedKeys_.clear();
  deferred_.clear();
  catchUpReplicas_.clear();
  founders_.clear();
  leaving_ = false;
  voting_ = false;
  hasNoState_ = true;
  catchUpTicket_ = 0;
  caughtUp_ = 0;
  assignMemberId(out, freshId_ + "." + std::to_string(++freshIds_));
}

void ReplicatedRegisters::initializeFirstMembership(RegisterCommands& out, Tick now) {
  RegisterState& r = registerFor(membershipKey);
  if (r.revision == 0) {
    r.acceptedBallot = Ballot{1, membership_.front().id};
    r.promised = std::max(r.promised, r.acceptedBallot);
    r.revision = 1;
    r.value = membershipJson(membership_);
    r.highest = std::max<std::uint64_t>(r.highest, 1);
    r.ownerHeard = now;
    r.unowned = true;
    accepted(now, membershipKey, r);
    persist(out, now, membershipKey, r);
  }
  persistCaughtUp(out);
}

void ReplicatedRegisters::adoptMembership(RegisterCommands& out, std::uint64_t revision, QJsonObject const& value,
                                          Tick now) {
  std::vector<Member> const members = membersOf(value);
  if (revision <= membershipRevision_ || members.empty()) return;
  membershipRevision_ = revision;
  membership_ = members;
  catchUpReplicas_.clear();
  copyAskedAt_ = -1;
  std::erase_if(peers_, [&](std::map<std::string, PeerState>::value_type const& o) { return !isMember(o.first); });
  for (Member const& m : membership_) {
    PeerState& o = peers_[m.id];
    o.link = m.link;
    if (o.heard == 0) o.heard = now;
  }
  if (!isMember(self_.id)) {
    leaving_ = !hasNoState_;
    return;
  }
  hasNoState_ = false;
  std::uint64_t const ticket = nextTicket_++;
  out.persists.push_back(
      PersistCommand{ticket, configRecord,
                     core::jsonText(QJsonObject{
                         {"s", static_cast<qint64>(revision)}, {"v", value}, {"i", core::toQString(self_.id)}})});
  writing_[ticket] = now;
  if (revision == 1 && !voting_ && catchUpTicket_ == 0) initializeFirstMembership(out, now);
}

void ReplicatedRegisters::found(RegisterCommands& out, Tick now) {
  std::set<std::string> links(founders_.begin(), founders_.end());
  for (std::string const& link : noDisk_) links.erase(link);
  if (nameTicket_ != 0 || diskFailed_ || membershipRevision_ > 0 || links.count(self_.link) == 0) return;
  std::vector<Member> members;
  for (std::string const& link : links) {
    Member seen = link == self_.link ? self_ : Member{};
    for (std::map<std::string, Newcomer>::value_type const& n : newcomers_)
      if (n.second.link == link && n.second.empty && now - n.second.heard < 3 * tuning_.heartbeatEvery)
        seen = Member{n.first, link};
    if (seen.id.empty()) return;
    members.push_back(seen);
  }
  out.logEvents.push_back(core::LogEvent{"found-cohort", {{"members", std::to_string(members.size())}}});
  adoptMembership(out, 1, membershipJson(members), now);
  heartbeatAt_ = 0;
}

Tick ReplicatedRegisters::darkFor(Member const& m, Tick now) const {
  std::map<std::string, PeerState>::const_iterator const it = peers_.find(m.id);
  return m.id == self_.id || it == peers_.end() ? 0 : now - std::max(it->second.heard, wokeAt_);
}

void ReplicatedRegisters::considerMembership(RegisterCommands& out, Tick now) {
  std::map<std::string, RegisterState>::iterator const it = registers_.find(membershipKey);
  if (it == registers_.end() || it->second.role != Role::owner || it->second.proposal || !it->second.queue.empty())
    return;
  std::map<std::string, CommittedValue>::const_iterator const have = committed_.find(membershipKey);
  if (have == committed_.end() || have->second.revision != membershipRevision_) return;
  std::set<std::string> ready;
  for (Member const& m : membership_) {
    PeerState const& o = peers_[m.id];
    bool const always = tuning_.switches.off(Mechanism::catchUpFirst);
    if (m.id == self_.id ? caughtUp_ == membershipRevision_ || always
                         : o.voting && (o.caughtUp == membershipRevision_ || always))
      ready.insert(m.id);
    else if (darkFor(m, now) < tuning_.ownerTimeout)
      return;
  }
  if (!isMajority(ready, membership_)) return;
  core::LogEvent logEvent;
  std::vector<Member> const next = nextMembership(ready, now, logEvent);
  if (next.empty()) return;
  out.logEvents.push_back(logEvent);
  Proposal p;
  p.revision = membershipRevision_ + 1;
  p.value = membershipJson(next);
  propose(out, now, membershipKey, it->second, std::move(p));
}

std::vector<Member> ReplicatedRegisters::nextMembership(std::set<std::string> const& caughtUp, Tick now,
                                                        core::LogEvent& logEvent) const {
  Member const* darkest = nullptr;
  for (Member const& m : membership_)
    if (darkFor(m, now) > tuning_.replaceUnreachableAfter &&
        (darkest == nullptr || darkFor(*darkest, now) < darkFor(m, now)))
      darkest = &m;
  bool const longDark = darkest != nullptr;
  Member const* const leaver = parting(now);
  if (darkest == nullptr) darkest = leaver;
  std::optional<Member> come;
  Member const* gone = nullptr;
  for (std::map<std::string, Newcomer>::value_type const& n : newcomers_) {
    if (!n.second.empty || isMember(n.first)) continue;
    std::vector<Member>::const_iterator const there =
        std::find_if(membership_.begin(), membership_.end(), [&](Member const& m) { return m.link == n.second.link; });
    if (there != membership_.end() && darkFor(*there, now) <= tuning_.ownerTimeout) continue;
    if (there == membership_.end() && come) continue;
    come = Member{n.first, n.second.link};
    gone = there == membership_.end() ? darkest : &*there;
    if (there != membership_.end()) break;
  }
  std::vector<Member> next;
  if (come && gone != nullptr) {
    logEvent = core::LogEvent{"replace-member", {{"old", gone->id}, {"new", come->id}, {"link", come->link}}};
    for (Member const& m : membership_) next.push_back(m.id == gone->id ? *come : m);
  } else if (come && membership_.size() < tuning_.maxMembers) {
    logEvent = core::LogEvent{"add-member", {{"new", come->id}, {"link", come->link}}};
    next = membership_;
    next.push_back(*come);
  } else if (darkest != nullptr && (longDark ? membership_.size() > 3 : membership_.size() % 2 == 0)) {
    logEvent = core::LogEvent{"strike-member", {{"old", darkest->id}, {"link", darkest->link}}};
    for (Member const& m : membership_) {
      if (m.id == darkest->id) continue;
      if (caughtUp.count(m.id) == 0 || darkFor(m, now) > tuning_.ownerTimeout) return {};
      next.push_back(m);
    }
  }
  return next;
}

std::vector<Member> ReplicatedRegisters::successors(Tick now) const {
  std::vector<Member> live;
  for (Member const& m : membership_) {
    std::map<std::string, PeerState>::const_iterator const it = peers_.find(m.id);
    if (m.id != self_.id && it != peers_.end() && it->second.voting && !drains(m) &&
        now - it->second.heard < tuning_.ownerTimeout)
      live.push_back(m);
  }
  return live;
}

bool ReplicatedRegisters::drains(Member const& m) const {
  std::map<std::string, PeerState>::const_iterator const it = peers_.find(m.id);
  return it != peers_.end() && it->second.leaving;
}

Member const* ReplicatedRegisters::parting(Tick now) const {
  for (Member const& m : membership_) {
    if (m.id == self_.id || !drains(m)) continue;
    PeerState const& o = peers_.at(m.id);
    if ((o.saidOwned && o.owned.empty()) || darkFor(m, now) > tuning_.ownerTimeout) return &m;
  }
  return nullptr;
}

RegisterCommands ReplicatedRegisters::startHandover(Tick now) {
  RegisterCommands out;
  draining_ = true;
  heartbeatAt_ = now;
  handOverOwned(out, now);
  return out;
}

void ReplicatedRegisters::handOverOwned(RegisterCommands& out, Tick now) {
  std::vector<Member> const live = successors(now);
  std::size_t turn = 0;
  for (std::map<std::string, RegisterState>::value_type& r : registers_) {
    if (r.second.role != Role::owner || r.second.proposal || live.empty()) continue;
    out.sends.push_back(transport::Send{live[turn++ % live.size()].link, transport::Handover{r.first, r.second.mine}});
    stepDown(out, now, r.first, r.second, "handed over");
    heartbeatAt_ = now;
  }
}

bool ReplicatedRegisters::handoverComplete(Tick now) const {
  if (!isMember(self_.id) || hasNoState_) return true;
  if (ownedCount() > 0 || membership_.size() % 2 == 0) return false;
  std::vector<Member> const live = successors(now);
  return !live.empty() &&
         std::all_of(live.begin(), live.end(), [&](Member const& m) { return peers_.at(m.id).accepted == known_; });
}

void ReplicatedRegisters::on(RegisterCommands&, Tick, std::string const& from, transport::NotAVotingMember const&) {
  if (std::find(founders_.begin(), founders_.end(), from) != founders_.end()) noDisk_.insert(from);
}

void ReplicatedRegisters::assignMemberId(RegisterCommands& out, std::string id) {
  self_.id = std::move(id);
  nameTicket_ = nextTicket_++;
  persistMeta(out, nameTicket_, false, 0);
}

}  // namespace corkward::consensus
