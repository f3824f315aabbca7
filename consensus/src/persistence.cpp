// The records on this member's disk: what is written, what waits until it is synced, and what a restart takes back.
#include <corkward/consensus/replicated_registers.h>
#include <QJsonArray>
#include <corkward/core/json.h>
#include "records.h"

namespace corkward::consensus {

namespace {

constexpr char const* metaRecord = "meta";
constexpr char const* slotPrefix = "slot:";

QJsonObject ballotJson(Ballot const& e) {
  return QJsonObject{{"n", static_cast<qint64>(e.number)}, {"m", core::toQString(e.member)}};
}

Ballot ballotOf(QJsonValue const& v) {
  QJsonObject const o = v.toObject();
  return Ballot{static_cast<std::uint64_t>(o.value("n").toInteger()), core::toStdString(o.value("m").toString())};
}

QJsonObject recordOf(std::map<std::string, std::string> const& slots, char const* name) {
  std::map<std::string, std::string>::const_iterator const it = slots.find(name);
  return it == slots.end() ? QJsonObject() : core::parseJson(it->second).toObject();
}

}  // namespace

RegisterCommands ReplicatedRegisters::restore(std::map<std::string, std::string> const& slots, bool damaged, Tick now) {
  RegisterCommands out;
  lastClock_ = now;
  wokeAt_ = now;
  QJsonObject const meta = recordOf(slots, metaRecord);
  if (damaged) founders_.clear();
  if (damaged || meta.isEmpty()) {
    assignMemberId(out, freshId_);
    return out;
  }
  self_.id = core::toStdString(meta.value("id").toString());
  voting_ = meta.value("voting").toBool();
  caughtUp_ = static_cast<std::uint64_t>(meta.value("settled").toInteger());
  QJsonArray const kept = meta.value("founders").toArray();
  if (kept.isEmpty()) founders_.clear();
  if (founders_.empty())
    for (QJsonValue const f : kept) founders_.push_back(core::toStdString(f.toString()));
  for (std::map<std::string, std::string>::value_type const& s : slots) {
    if (s.first.rfind(slotPrefix, 0) != 0) continue;
    QJsonObject const o = core::parseJson(s.second).toObject();
    if (o.value("i").toString() != core::toQString(self_.id)) continue;
    std::string const key = s.first.substr(std::string(slotPrefix).size());
    RegisterState& r = registerFor(key);
    r.promised = ballotOf(o.value("p"));
    r.acceptedBallot = ballotOf(o.value("a"));
    r.revision = static_cast<std::uint64_t>(o.value("s").toInteger());
    r.value = o.value("v").toObject();
    r.highest = r.promised.number;
    r.ownerHeard = now;
    r.unowned = true;
    accepted(now, key, r);
  }
  QJsonObject const config = recordOf(slots, configRecord);
  if (config.value("i").toString() == core::toQString(self_.id))
    adoptMembership(out, static_cast<std::uint64_t>(config.value("s").toInteger()), config.value("v").toObject(), now);
  return out;
}

void ReplicatedRegisters::persist(RegisterCommands& out, Tick now, std::string const& key, RegisterState& r) {
  r.ticket = nextTicket_++;
  QJsonObject const o{{"p", ballotJson(r.promised)},
                      {"a", ballotJson(r.acceptedBallot)},
                      {"s", static_cast<qint64>(r.revision)},
                      {"v", r.value},
                      {"i", core::toQString(self_.id)}};
  out.persists.push_back(PersistCommand{r.ticket, slotPrefix + key, core::jsonText(o)});
  deferred_[r.ticket];
  writing_[r.ticket] = now;
}

void ReplicatedRegisters::persistMeta(RegisterCommands& out, std::uint64_t ticket, bool voting,
                                      std::uint64_t caughtUp) {
  QJsonArray founders;
  for (std::string const& f : founders_) founders.append(core::toQString(f));
  out.persists.push_back(PersistCommand{ticket, metaRecord,
                                        core::jsonText(QJsonObject{{"id", core::toQString(self_.id)},
                                                                   {"voting", voting},
                                                                   {"settled", static_cast<qint64>(caughtUp)},
                                                                   {"founders", founders}})});
  writing_[ticket] = lastClock_;
}

void ReplicatedRegisters::watchDisk(RegisterCommands& out, Tick now) {
  bool const stalled = !writing_.empty() && now - writing_.begin()->second > tuning_.stallAfter;
  if (stalled == stalled_) return;
  stalled_ = stalled;
  out.logEvents.push_back(core::LogEvent{"disk-stalled", {{"stalled", stalled ? "yes" : "no"}}});
  if (stalled)
    for (std::map<std::string, RegisterState>::value_type& r : registers_)
      stepDown(out, now, r.first, r.second, "disk stalled");
}

void ReplicatedRegisters::sendWhenSynced(RegisterCommands& out, Tick now, RegisterState const& r, std::string const& to,
                                         transport::Message message) {
  std::map<std::uint64_t, std::vector<transport::Send>>::iterator const it = deferred_.find(r.ticket);
  if (it != deferred_.end() && !tuning_.switches.off(Mechanism::syncBeforeAnswer))
    it->second.push_back(transport::Send{to, std::move(message)});
  else
    send(out, now, to, std::move(message));
}

RegisterCommands ReplicatedRegisters::onPersisted(Tick now, std::uint64_t ticket, bool ok) {
  RegisterCommands out;
  if (!ok && !diskFailed_) {
    diskFailed_ = true;
    out.logEvents.push_back(core::LogEvent{"disk-failed", {}});
    for (std::map<std::string, RegisterState>::value_type& r : registers_)
      stepDown(out, now, r.first, r.second, "disk failed");
  }
  if (diskFailed_) {
    deferred_.clear();
    writing_.clear();
    return out;
  }
  writing_.erase(ticket);
  if (ticket == nameTicket_) nameTicket_ = 0;
  if (ticket == catchUpTicket_) {
    catchUpTicket_ = 0;
    caughtUp_ = catchUpRevision_;
    heartbeatAt_ = 0;
    if (!voting_) out.logEvents.push_back(core::LogEvent{"member-votes", {{"member", self_.id}}});
    voting_ = true;
  }
  watchDisk(out, now);
  std::map<std::uint64_t, std::vector<transport::Send>>::iterator const it = deferred_.find(ticket);
  if (it == deferred_.end()) return out;
  std::vector<transport::Send> const sends = std::move(it->second);
  deferred_.erase(it);
  if (leaving_) return out;
  for (transport::Send const& s : sends) send(out, now, s.to, s.message);
  return out;
}

}  // namespace corkward::consensus
