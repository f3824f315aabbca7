#include <corkward/quota/lender.h>

#include <algorithm>
#include <utility>

namespace corkward::quota {

namespace {

/// Milliseconds between questions for terms, to take one and to keep it.
constexpr Tick askEvery = 200;
/// Milliseconds between questions for loans to routers that have not answered.
constexpr Tick claimEvery = 200;
/// Milliseconds after which a controller gives up seeking a part, and how long it leaves it to others then: by its
/// rank, so that two that share the members' grants don't go on to do so.
constexpr Tick seekFor = officeTerm;
constexpr Tick restLeast = officeTerm;
constexpr Tick restSpread = 1000;

}  // namespace

Lender::Lender(std::string link, std::uint64_t life, Slack const& slack)
    : link_(std::move(link)), life_(life), slack_(slack) {}

void Lender::configure(Tick now, std::map<std::string, Limit> limits) {
  limits_ = std::move(limits);
  for (auto& [part, office] : offices_) {
    std::erase_if(office.ledgers, [&](auto const& ledger) { return limits_.count(ledger.first) == 0; });
    for (auto& [tenant, ledger] : office.ledgers) ledger.setLimit(now, limits_.at(tenant), slack_);
  }
}

bool Lender::lends(Tick now, std::uint64_t part, Standing const& standing) const {
  return offices_.count(part) > 0 && now < terms_.heldUntil(part, standing.members);
}

std::size_t Lender::lent(Tick now, Standing const& standing) const {
  std::size_t count = 0;
  for (auto const& [part, office] : offices_) count += lends(now, part, standing) ? 1 : 0;
  return count;
}

std::string Lender::holderOf(Tick now, std::uint64_t part, Standing const& standing) const {
  if (lends(now, part, standing)) return link_;
  std::string granted = grants_.holder(now, part);
  if (!granted.empty() && granted != link_) return granted;
  auto const told = told_.find(part);
  return told == told_.end() || now >= told->second.second ? "" : told->second.first;
}

bool Lender::firstFor(std::uint64_t part, std::vector<std::string> const& alive) const {
  return std::none_of(alive.begin(), alive.end(), [&](std::string const& other) {
    return other != link_ && rankOf(part, other) < rankOf(part, link_);
  });
}

void Lender::considerSeeking(Tick now, Standing const& standing) {
  for (std::uint64_t part = 0; part < parts; ++part) {
    if (lends(now, part, standing)) continue;
    bool const sought = terms_.since(part) >= 0;
    bool const others = !holderOf(now, part, standing).empty();
    bool const resting = restUntil_.count(part) > 0 && now < restUntil_.at(part);
    bool const may = standing.mayGrant && !standing.leaving && !resting && !limits_.empty();
    if (!may || others || !firstFor(part, standing.alive)) {
      terms_.drop(part);
    } else if (sought && now - terms_.since(part) > seekFor) {
      terms_.drop(part);
      restUntil_[part] = now + restLeast + static_cast<Tick>(core::stableHash(link_) % restSpread);
    } else {
      terms_.seek(now, part, life_);
    }
  }
}

void Lender::keepOffices(Tick now, Standing const& standing) {
  std::erase_if(offices_, [&](auto const& office) {
    if (now < terms_.heldUntil(office.first, standing.members)) return false;
    terms_.drop(office.first);
    return true;
  });
  for (PartEpoch const& term : terms_.wanted()) {
    if (offices_.count(term.part) > 0 || now >= terms_.heldUntil(term.part, standing.members)) continue;
    Office office;
    office.epoch = term.epoch;
    office.since = now;
    office.unknownUntil = now + loanTerm;
    offices_.emplace(term.part, std::move(office));
  }
}

TermAsk Lender::termAsk(Tick now) const {
  TermAsk ask;
  ask.tick = now;
  ask.link = link_;
  ask.life = life_;
  ask.terms = terms_.wanted();
  return ask;
}

void Lender::askTerms(std::vector<Send>& out, Tick now, Standing const& standing) {
  TermAsk const ask = termAsk(now);
  if (ask.terms.empty()) return;
  for (std::string const& member : standing.members) {
    if (member == link_)
      terms_.answered(link_, grants_.ask(now, ask, standing.mayGrant, standing.mayRenew));
    else
      out.push_back({member, ask});
  }
}

void Lender::askClaims(std::vector<Send>& out, Tick now, Standing const& standing) {
  std::map<std::string, ClaimAsk> asks;
  for (auto& [part, office] : offices_) {
    if (now >= office.unknownUntil) office.unheard.clear();
    if (!office.asked && standing.contact > office.since) {
      office.asked = true;
      office.unheard = standing.routers;
      for (auto& [tenant, ledger] : office.ledgers) ledger.unheard(now, office.unheard.size());
    }
    for (std::string const& router : office.unheard) asks[router].terms.push_back({part, office.epoch});
  }
  for (auto& [router, ask] : asks) out.push_back({router, std::move(ask)});
}

void Lender::release(std::vector<Send>& out, Tick now, Standing const& standing) {
  TermAsk ask = termAsk(now);
  if (ask.terms.empty()) return;
  ask.release = true;
  for (PartEpoch const& term : ask.terms) terms_.drop(term.part);
  offices_.clear();
  grants_.ask(now, ask, false, false);
  for (std::string const& member : standing.members)
    if (member != link_) out.push_back({member, ask});
}

std::vector<Send> Lender::clockEvent(Tick now, Standing const& standing) {
  std::vector<Send> out;
  if (standing.leaving) {
    release(out, now, standing);
    return out;
  }
  if (now >= askAt_) {
    askAt_ = now + askEvery;
    considerSeeking(now, standing);
    askTerms(out, now, standing);
  }
  keepOffices(now, standing);
  if (now >= claimAt_) {
    claimAt_ = now + claimEvery;
    askClaims(out, now, standing);
  }
  return out;
}

Ledger& Lender::ledgerOf(Tick now, Office& office, std::string const& tenant) {
  auto const found = office.ledgers.find(tenant);
  if (found != office.ledgers.end()) return found->second;
  Ledger ledger(office.since, office.epoch, limits_.at(tenant), slack_, office.unknownUntil);
  if (office.asked) ledger.unheard(now, office.unheard.size());
  return office.ledgers.emplace(tenant, std::move(ledger)).first->second;
}

std::vector<Send> Lender::arrived(Tick now, std::string const& from, Report const& message, Standing const& standing) {
  if (message.link != from) return {};
  bool const listed = standing.routers.count(from) > 0;
  Loans answer;
  answer.report = message.number;
  std::set<std::uint64_t> elsewhere;
  for (Use const& use : message.uses) {
    std::uint64_t const part = partOf(use.tenant);
    if (limits_.count(use.tenant) == 0) {
      answer.loans.push_back({use.tenant, 0, 0, 0, use.wanted, whole});
    } else if (lends(now, part, standing)) {
      Ledger& ledger = ledgerOf(now, offices_.at(part), use.tenant);
      answer.loans.push_back(ledger.report(now, from, message.life, use, listed));
    } else if (elsewhere.insert(part).second) {
      answer.elsewhere.push_back({part, holderOf(now, part, standing)});
    }
  }
  return {Send{from, std::move(answer)}};
}

std::vector<Send> Lender::arrived(Tick now, std::string const& from, TermAsk const& message, Standing const& standing) {
  bool const member = std::find(standing.members.begin(), standing.members.end(), from) != standing.members.end();
  if (message.link != from || !member) return {};
  return {Send{from, grants_.ask(now, message, standing.mayGrant, standing.mayRenew)}};
}

std::vector<Send> Lender::arrived(Tick now, std::string const& from, TermGrant const& message,
                                  Standing const& standing) {
  terms_.answered(from, message);
  for (TermAnswer const& answer : message.answers)
    if (!answer.granted && !answer.holder.empty() && answer.holder != link_)
      told_[answer.part] = {answer.holder, now + officeTerm};
  keepOffices(now, standing);
  return {};
}

std::vector<Send> Lender::arrived(Tick now, std::string const& from, Claims const& message, Standing const&) {
  if (message.link != from) return {};
  for (PartEpoch const& term : message.terms) {
    auto const at = offices_.find(term.part);
    if (at == offices_.end() || at->second.epoch != term.epoch) continue;
    Office& office = at->second;
    if (!office.asked) continue;
    for (Use const& use : message.uses)
      if (partOf(use.tenant) == term.part && limits_.count(use.tenant) > 0)
        ledgerOf(now, office, use.tenant).claim(now, from, message.life, use);
    office.unheard.erase(from);
    for (auto& [tenant, ledger] : office.ledgers) ledger.unheard(now, office.unheard.size());
  }
  return {};
}

}  // namespace corkward::quota
