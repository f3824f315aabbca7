#include <corkward/consensus/replicated_registers.h>

#include <algorithm>

namespace corkward::consensus {

namespace {

/// Running hash of a sequence of values.
class Hash {
 public:
  Hash(Tick now, Tick cap) : now_(now), cap_(cap) {}
  void add(std::uint64_t v) {
    h_ ^= v + 0x9E3779B97F4A7C15ULL + (h_ << 6) + (h_ >> 2);
    h_ *= 0xFF51AFD7ED558CCDULL;
    h_ ^= h_ >> 33;
  }
  void add(std::string const& text) { add(core::stableHash(text)); }
  void add(QJsonObject const& value) { add(static_cast<std::uint64_t>(qHash(value, std::size_t{0}))); }
  void add(Ballot const& b) {
    add(b.number);
    add(b.member);
  }
  void add(transport::Digest const& d) {
    add(d.sum);
    add(d.count);
  }
  void add(transport::Revisions const& revisions) {
    add(revisions.size());
    for (transport::Revisions::value_type const& r : revisions) {
      add(r.first);
      add(r.second);
    }
  }
  void add(std::set<std::string> const& names) {
    add(names.size());
    for (std::string const& n : names) add(n);
  }
  /// A point in time, as the span since then or until then.
  void time(Tick t) { add(static_cast<std::uint64_t>(std::clamp(now_ - t, -cap_, cap_) + cap_)); }
  std::uint64_t value() const { return h_; }

 private:
  std::uint64_t h_ = 0x243F6A8885A308D3ULL;
  Tick now_;
  Tick cap_;
};

}  // namespace

std::uint64_t ReplicatedRegisters::fingerprint(Tick now, Tick cap) const {
  Hash h(now, cap);
  h.add(self_.id);
  h.add((hasNoState_ ? 1U : 0U) | (voting_ ? 2U : 0U) | (leaving_ ? 4U : 0U) | (diskFailed_ ? 8U : 0U) |
        (stalled_ ? 16U : 0U) | (nameTicket_ != 0 ? 32U : 0U) | (catchUpTicket_ != 0 ? 64U : 0U) |
        (quorumAt_ >= 0 ? 128U : 0U) | (copyAskedAt_ >= 0 ? 256U : 0U));
  h.time(heartbeatAt_);
  h.add(newestRead_ == now ? 1 : 0);
  h.time(quorumAt_);
  h.time(copyAskedAt_);
  h.time(wokeAt_);
  h.add(membershipRevision_);
  h.add(catchUpTicket_ != 0 ? catchUpRevision_ : 0);
  h.add(caughtUp_);
  h.add(catchUpReplicas_);
  h.add(noDisk_);
  h.add(static_cast<std::uint64_t>(nameOwned_));
  h.add(owns_);
  for (transport::Digest const& d : had_) h.add(d);
  for (std::map<std::string, CommittedValue>::value_type const& c : committed_) {
    h.add(c.first);
    h.add(c.second.revision);
    h.add(c.second.value);
  }
  for (std::map<std::string, RegisterState>::value_type const& k : registers_) {
    RegisterState const& r = k.second;
    h.add(k.first);
    h.add(r.promised);
    h.add(r.acceptedBallot);
    h.add(r.revision);
    h.add(r.value);
    h.add(deferred_.count(r.ticket));
    h.add(static_cast<std::uint64_t>(r.role));
    h.add(r.mine);
    h.add(r.highest);
    h.add(r.owner);
    h.add(r.unowned ? 1 : 0);
    if (r.role != Role::idle) h.time(r.sentAt);
    if (r.role == Role::preparing) h.time(r.roleSince);
    h.time(r.ownerHeard);
    h.time(r.electionAt);
    h.time(r.fetchedAt);
    h.add(r.promises.size());
    for (std::map<std::string, transport::Promise>::value_type const& p : r.promises) {
      h.add(p.first);
      h.add(p.second.acceptedBallot);
      h.add(p.second.revision);
    }
    if (r.proposal) {
      h.add(r.proposal->token);
      h.add(r.proposal->revision);
      h.add(r.proposal->value);
      h.add(r.proposal->acceptedBy);
      h.time(r.proposal->sentAt);
    }
    for (Pending const& p : r.queue) h.add(p.call.token);
    for (Read const& read : r.reads) {
      h.add(read.token);
      h.add(read.seen);
      h.time(read.since);
    }
  }
  for (std::map<std::string, PeerState>::value_type const& o : peers_) {
    h.add(o.first);
    h.time(o.second.heard);
    h.time(o.second.echoTick);
    h.time(o.second.goodTick);
    h.add(o.second.echoRevisions);
    h.add(o.second.owned);
    h.add((o.second.voting ? 1U : 0U) | (o.second.saidOwned ? 2U : 0U));
    h.add(o.second.caughtUp);
    h.add(o.second.membership);
  }
  for (std::map<std::string, Tick>::value_type const& u : unconfirmedKeys_) {
    h.add(u.first);
    h.time(u.second);
  }
  for (std::map<std::string, Newcomer>::value_type const& n : newcomers_) {
    h.add(n.first);
    h.add(n.second.empty ? 1 : 0);
    h.time(n.second.heard);
  }
  for (std::map<std::uint64_t, std::vector<transport::Send>>::value_type const& d : deferred_)
    for (transport::Send const& s : d.second) h.add(transport::pack(transport::Envelope{s.to, s.message, 0}));
  h.add(writing_.size());
  return h.value();
}

}  // namespace corkward::consensus
