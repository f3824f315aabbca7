#include <corkward/quota/terms.h>

#include <algorithm>

namespace corkward::quota {

TermAnswer TermGrants::answer(Tick now, TermAsk const& ask, PartEpoch const& wanted, bool may, bool mayRenew) {
  Grant& grant = grants_[wanted.part];
  bool const mine = grant.holder == ask.link && grant.life == ask.life && grant.epoch == wanted.epoch;
  bool const running = now < grant.until;
  if (ask.release) {
    if (mine) grant.until = now;
    return {wanted.part, grant.epoch, false, ""};
  }
  bool const renews = mine && running && mayRenew;
  bool const takes = may && !running && wanted.epoch > grant.epoch;
  if (renews || takes) grant = Grant{ask.link, ask.life, wanted.epoch, now + officeTerm};
  return {wanted.part, grant.epoch, renews || takes, now < grant.until ? grant.holder : ""};
}

TermGrant TermGrants::ask(Tick now, TermAsk const& ask, bool may, bool mayRenew) {
  TermGrant out;
  out.tick = ask.tick;
  for (PartEpoch const& wanted : ask.terms) out.answers.push_back(answer(now, ask, wanted, may, mayRenew));
  return out;
}

std::string TermGrants::holder(Tick now, std::uint64_t part) const {
  auto const it = grants_.find(part);
  return it == grants_.end() || now >= it->second.until ? "" : it->second.holder;
}

std::uint64_t TermGrants::epoch(std::uint64_t part) const {
  auto const it = grants_.find(part);
  return it == grants_.end() ? 0 : it->second.epoch;
}

void Terms::seek(Tick now, std::uint64_t part, std::uint64_t least) {
  bool const begins = terms_.count(part) == 0;
  Term& term = terms_[part];
  if (begins) term.since = now;
  if (!begins && !term.outbid) return;
  term.epoch = std::max(highest_[part] + 1, least);
  term.outbid = false;
  term.granted.clear();
}

Tick Terms::since(std::uint64_t part) const {
  auto const it = terms_.find(part);
  return it == terms_.end() ? -1 : it->second.since;
}

void Terms::drop(std::uint64_t part) {
  terms_.erase(part);
}

void Terms::answered(std::string const& member, TermGrant const& grant) {
  for (TermAnswer const& answer : grant.answers) {
    std::uint64_t& highest = highest_[answer.part];
    highest = std::max(highest, answer.epoch);
    auto const it = terms_.find(answer.part);
    if (it == terms_.end()) continue;
    Term& term = it->second;
    if (answer.granted && answer.epoch == term.epoch) {
      Tick& at = term.granted[member];
      at = std::max(at, grant.tick);
    }
    if (!answer.granted && answer.epoch >= term.epoch) term.outbid = true;
  }
}

Tick Terms::heldUntil(std::uint64_t part, std::vector<std::string> const& members) const {
  auto const it = terms_.find(part);
  if (it == terms_.end() || members.empty()) return 0;
  std::vector<Tick> granted;
  for (std::string const& member : members) {
    auto const at = it->second.granted.find(member);
    granted.push_back(at == it->second.granted.end() ? -officeTerm : at->second);
  }
  std::sort(granted.rbegin(), granted.rend());
  return granted[members.size() / 2] + officeTerm;
}

std::vector<PartEpoch> Terms::wanted() const {
  std::vector<PartEpoch> out;
  for (auto const& [part, term] : terms_) out.push_back({part, term.epoch});
  return out;
}

std::uint64_t Terms::epoch(std::uint64_t part) const {
  auto const it = terms_.find(part);
  return it == terms_.end() ? 0 : it->second.epoch;
}

}  // namespace corkward::quota
