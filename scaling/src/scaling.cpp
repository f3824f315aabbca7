#include <corkward/scaling/scaling.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace corkward::scaling {

namespace {

/// Pools beyond which those that ask for nothing are forgotten.
constexpr std::size_t poolsKept = 32;

}  // namespace

Scaler::Scaler(std::uint64_t seed, Figures const& f) : seed_(seed), f_(f), limit_(f.firstLimit) {
  CORKWARD_INVARIANT(f.calmFor >= 5000 && f.width > 0);
}

std::uint64_t Scaler::order(Candidate const& c) const {
  return core::Rng(seed_ ^ c.hash).next();
}

bool Scaler::has(Index replica) const {
  return std::any_of(part_.begin(), part_.end(), [&](Candidate const& p) { return p.replica == replica; });
}

void Scaler::fill(std::size_t size) {
  if (part_.size() >= std::min(size, all_.size())) return;
  std::vector<std::pair<std::uint64_t, Candidate>> free;
  for (Candidate const& c : all_.all())
    if (!has(c.replica)) free.emplace_back(order(c), c);
  std::size_t const wanted = std::min(size - part_.size(), free.size());
  std::partial_sort(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(wanted), free.end(),
                    [](std::pair<std::uint64_t, Candidate> const& a, std::pair<std::uint64_t, Candidate> const& b) {
                      return std::pair(a.first, a.second.replica) < std::pair(b.first, b.second.replica);
                    });
  for (std::size_t i = 0; i < wanted; ++i) part_.push_back(free[i].second);
}

void Scaler::candidates(Candidates all) {
  all_ = std::move(all);
  std::size_t const want = std::max<std::size_t>(part_.size(), f_.firstPart);
  std::vector<Candidate> kept;
  for (Candidate const& p : part_)
    if (Candidate const* const c = all_.find(p.replica); c != nullptr) kept.push_back(*c);
  bool const lost = kept.size() < part_.size();
  part_ = std::move(kept);
  fill(want);
  if (lost) calmSince_ = -1;
}

bool Scaler::atRest() const {
  return inFlight_ == 0 && part_.size() <= 1 && calmSince_ < 0 && (f_.ease >= 1.0 || limit_ <= f_.minLimit);
}

double Scaler::cap() const {
  std::ptrdiff_t const warm = std::count_if(part_.begin(), part_.end(), [](Candidate const& c) { return !c.cold; });
  return static_cast<double>(warm) * limit_;
}

bool Scaler::room(bool bulk) const {
  double const c = cap();
  if (inFlight_ + 1 > c) return false;
  return !bulk || c < 2.0 || bulk_ + 1 <= std::max(1.0, c * f_.bulkShare);
}

bool Scaler::makeRoom(bool bulk) {
  if (room(bulk)) return true;
  std::ptrdiff_t const warm = std::count_if(part_.begin(), part_.end(), [](Candidate const& c) { return !c.cold; });
  if (warm == 0 || allSlow_ || strain_ >= f_.steady) return false;
  double const needed = std::max(inFlight_ + 1.0, bulk ? (bulk_ + 1.0) / f_.bulkShare : 0.0);
  double const raised = needed / static_cast<double>(warm) + 1e-9;
  if (raised > f_.maxLimit) return false;
  limit_ = std::max(limit_, raised);
  return room(bulk);
}

int Scaler::inFlightAt(Index replica) const {
  std::unordered_map<Index, int>::const_iterator const it = inFlightAt_.find(replica);
  return it == inFlightAt_.end() ? 0 : it->second;
}

bool Scaler::slow(Index replica) const {
  std::unordered_map<Index, Times>::const_iterator const it = times_.find(replica);
  return it != times_.end() && it->second.answers > 0 && it->second.mean > static_cast<double>(it->second.aim);
}

double Scaler::z(std::size_t held) const {
  return std::max(0.0, inFlight_ - f_.calmShare * cap()) + static_cast<double>(held);
}

void Scaler::begin(Index wanted) {
  Candidate const* const first = all_.find(wanted);
  if (first != nullptr && inFlight_ == 0 && part_.size() == 1) part_.front() = *first;
}

int Scaler::look(Tick now, std::size_t held, std::int64_t wanted) {
  if (f_.ease < 1.0 && inFlight_ < f_.used * cap()) limit_ = std::max(f_.minLimit, limit_ * f_.ease);
  double const buffered = z(held);
  std::size_t const x = part_.size();
  if (buffered >= f_.width * static_cast<double>(std::max<std::size_t>(x, 1)) && x < all_.size() && !allSlow_) {
    calmSince_ = -1;
    Candidate const* const next = wanted < 0 ? nullptr : all_.find(static_cast<Index>(wanted));
    if (next != nullptr && !has(next->replica)) part_.push_back(*next);
    fill(x + 1);
    if (f_.ease < 1.0) limit_ = std::max(f_.minLimit, limit_ * static_cast<double>(x) / static_cast<double>(x + 1));
    meanAtWidening_ = mean_;
    answersSinceWidening_ = 0;
    return 1;
  }
  if (x <= 1) {
    calmSince_ = -1;
    return 0;
  }
  std::ptrdiff_t const warm = std::count_if(part_.begin(), part_.end(), [](Candidate const& c) { return !c.cold; });
  bool const coldThere = warm < static_cast<std::ptrdiff_t>(x);
  double const fewer = static_cast<double>(coldThere ? warm : warm - 1) * limit_;
  bool const calm = held == 0 && (inFlight_ == 0 || inFlight_ < f_.calmShare * fewer);
  if (!calm) {
    calmSince_ = -1;
    return 0;
  }
  if (calmSince_ < 0) calmSince_ = now;
  if (now - calmSince_ < f_.calmFor) return 0;
  std::vector<Candidate>::iterator const idle =
      std::min_element(part_.begin(), part_.end(), [&](Candidate const& a, Candidate const& b) {
        if (a.cold != b.cold) return a.cold;
        if (inFlightAt(a.replica) != inFlightAt(b.replica)) return inFlightAt(a.replica) < inFlightAt(b.replica);
        return order(a) > order(b);
      });
  part_.erase(idle);
  calmSince_ = now;
  return -1;
}

void Scaler::sent(Index replica, bool bulk) {
  ++inFlight_;
  ++inFlightAt_[replica];
  if (bulk) ++bulk_;
}

void Scaler::firstWord(Tick now, Index replica, Tick took, Tick aim) {
  Times& t = times_[replica];
  t.mean = t.answers == 0 ? static_cast<double>(took) : t.mean + f_.mean * (static_cast<double>(took) - t.mean);
  t.aim = aim;
  ++t.answers;
  mean_ = mean_ == 0 ? static_cast<double>(took) : mean_ + f_.mean * (static_cast<double>(took) - mean_);
  ++answersSinceWidening_;
  strain_ += f_.mean * (static_cast<double>(took) / static_cast<double>(std::max<Tick>(aim, 1)) - strain_);
  if (took > aim) {
    if (now - cutAt_ >= f_.cutEvery) {
      limit_ = std::max(f_.minLimit, limit_ * f_.cut);
      cutAt_ = now;
    }
  } else if (inFlight_ >= f_.calmShare * cap()) {
    limit_ = std::min(f_.maxLimit, limit_ + 1.0 / std::max(1.0, cap()));
  }
  bool const all =
      !part_.empty() && std::all_of(part_.begin(), part_.end(), [&](Candidate const& c) { return slow(c.replica); });
  if (!all)
    allSlow_ = false;
  else if (answersSinceWidening_ >= f_.judgeAfter &&
           (part_.size() == all_.size() || (part_.size() > 1 && mean_ >= meanAtWidening_)))
    allSlow_ = true;
}

void Scaler::ended(Index replica, bool bulk) {
  std::unordered_map<Index, int>::iterator const it = inFlightAt_.find(replica);
  CORKWARD_INVARIANT(it != inFlightAt_.end() && it->second > 0 && inFlight_ > 0);
  if (--it->second == 0) inFlightAt_.erase(it);
  --inFlight_;
  if (bulk) --bulk_;
  CORKWARD_INVARIANT(bulk_ >= 0);
}

Candidates::Candidates(std::vector<Candidate> all) {
  std::sort(all.begin(), all.end(), [](Candidate const& a, Candidate const& b) { return a.replica < b.replica; });
  all_ = std::make_shared<std::vector<Candidate> const>(std::move(all));
}

std::vector<Candidate> const& Candidates::all() const {
  static std::vector<Candidate> const none;
  return all_ ? *all_ : none;
}

Candidate const* Candidates::find(Index replica) const {
  std::vector<Candidate>::const_iterator const it =
      std::lower_bound(all().begin(), all().end(), replica, [](Candidate const& c, Index r) { return c.replica < r; });
  return it == all().end() || it->replica != replica ? nullptr : &*it;
}

void Rate::look(Tick now) {
  if (now - from_ < window) return;
  double const rate = 1000.0 * ended_ / static_cast<double>(now - from_);
  perSecond_ = perSecond_ == 0 ? rate : 0.5 * perSecond_ + 0.5 * rate;
  ended_ = 0;
  from_ = now;
}

void Rate::catchUp(Tick now) {
  Tick const windows = (now - from_ - 1) / window;
  if (windows < 1) return;
  look(from_ + window);
  perSecond_ = std::ldexp(perSecond_, -static_cast<int>(std::min<Tick>(windows - 1, std::numeric_limits<int>::max())));
  from_ += (windows - 1) * window;
}

void Prefixes::served(std::uint64_t prefix, Index replica) {
  byPrefix_[prefix] = {replica, ++turn_};
  order_.emplace_back(prefix, turn_);
  while (byPrefix_.size() > bound_ || order_.size() > 4 * bound_) {
    std::unordered_map<std::uint64_t, std::pair<Index, std::uint64_t>>::const_iterator const it =
        byPrefix_.find(order_.front().first);
    if (it != byPrefix_.end() && it->second.second == order_.front().second) byPrefix_.erase(it);
    order_.pop_front();
  }
}

std::int64_t Prefixes::last(std::uint64_t prefix) const {
  std::unordered_map<std::uint64_t, std::pair<Index, std::uint64_t>>::const_iterator const it = byPrefix_.find(prefix);
  return it == byPrefix_.end() ? -1 : static_cast<std::int64_t>(it->second.first);
}

void Kept::dropOldest(Memory& m) {
  while (!m.order.empty()) {
    std::pair<std::uint64_t, std::uint64_t> const oldest = m.order.front();
    m.order.pop_front();
    std::unordered_map<std::uint64_t, std::pair<std::int64_t, std::uint64_t>>::const_iterator const it =
        m.parts.find(oldest.first);
    if (it == m.parts.end() || it->second.second != oldest.second) continue;
    m.tokens -= it->second.first;
    m.parts.erase(it);
    --count_;
    return;
  }
}

void Kept::sent(Index replica, std::uint64_t part, std::int64_t tokens, std::int64_t memory) {
  Memory& m = byReplica_[replica];
  std::pair<std::unordered_map<std::uint64_t, std::pair<std::int64_t, std::uint64_t>>::iterator, bool> const at =
      m.parts.try_emplace(part, tokens, 0);
  if (at.second) {
    m.tokens += tokens;
    ++count_;
  }
  at.first->second.second = ++turn_;
  m.order.emplace_back(part, turn_);
  while (m.parts.size() > 1 && ((memory > 0 && m.tokens > memory) || count_ > bound_)) dropOldest(m);
  while (m.order.size() > 4 * m.parts.size() + 16) {
    std::deque<std::pair<std::uint64_t, std::uint64_t>> kept;
    for (std::pair<std::uint64_t, std::uint64_t> const& o : m.order)
      if (m.parts.count(o.first) > 0 && m.parts.at(o.first).second == o.second) kept.push_back(o);
    m.order = std::move(kept);
  }
}

bool Kept::has(Index replica, std::uint64_t part) const {
  std::unordered_map<Index, Memory>::const_iterator const it = byReplica_.find(replica);
  return it != byReplica_.end() && it->second.parts.count(part) > 0;
}

void Kept::forget(Index replica) {
  std::unordered_map<Index, Memory>::const_iterator const it = byReplica_.find(replica);
  if (it == byReplica_.end()) return;
  count_ -= it->second.parts.size();
  byReplica_.erase(it);
}

std::int64_t pick(Scaler const& scaler, std::vector<Candidate> const& usable, std::uint64_t prefix, std::int64_t last) {
  int fewest = std::numeric_limits<int>::max();
  for (Candidate const& c : usable) fewest = std::min(fewest, scaler.inFlightAt(c.replica));
  std::int64_t best = -1;
  std::uint64_t bestOrder = 0;
  for (Candidate const& c : usable) {
    int const n = scaler.inFlightAt(c.replica);
    if (static_cast<std::int64_t>(c.replica) == last && !scaler.slow(c.replica) &&
        n <= fewest + scaler.figuresUsed().prefixSlack)
      return last;
    std::uint64_t const order = core::Rng(prefix ^ c.hash).next();
    if (n != fewest || (best >= 0 && order >= bestOrder)) continue;
    best = static_cast<std::int64_t>(c.replica);
    bestOrder = order;
  }
  return best;
}

void Prefixes::forget(Index replica) {
  std::erase_if(byPrefix_,
                [&](std::unordered_map<std::uint64_t, std::pair<Index, std::uint64_t>>::value_type const& p) {
                  return p.second.first == replica;
                });
}

double Reliability::rate(Tick now, Figures const& f) const {
  return rate_ * std::exp2(-static_cast<double>(now - at_) / static_cast<double>(f.errorHalf));
}

bool Reliability::outcome(Tick now, bool failed, Figures const& f) {
  double const aged = std::exp2(-static_cast<double>(now - at_) / static_cast<double>(f.errorHalf));
  rate_ = rate_ * aged + f.errorMean * ((failed ? 1.0 : 0.0) - rate_ * aged);
  failures_ = failures_ * aged + (failed ? 1.0 : 0.0);
  at_ = now;
  if (resting(now)) return false;
  successes_ = failed ? 0 : successes_ + 1;
  if (!failed) {
    if (successes_ % f.probes != 0) return false;
    trusted_ = true;
    if (successes_ > f.probes) rest_ /= 2;
    return false;
  }
  if (trusted_ && (rate_ < f.errorMost || failures_ < f.errorLeast)) return false;
  trusted_ = false;
  rest_ = std::clamp(2 * rest_, f.restFirst, f.restMost);
  restUntil_ = now + rest_;
  return true;
}

void RetryBudget::expire(Tick now) {
  while (!firsts_.empty() && firsts_.front() <= now - earnsFor) firsts_.pop_front();
  while (!allowed_.empty() && allowed_.front() <= now - window) allowed_.pop_front();
  earned_ = std::min(earned_, share * static_cast<double>(firsts_.size()));
}

void RetryBudget::first(Tick now) {
  firsts_.push_back(now);
  earned_ += share;
  expire(now);
}

bool RetryBudget::mayRetry(Tick now, std::size_t nodes, double ofAll) {
  expire(now);
  return earned_ >= 1.0 ||
         static_cast<double>(allowed_.size()) + 1.0 <= ofAll / static_cast<double>(std::max<std::size_t>(nodes, 1));
}

bool RetryBudget::retry(Tick now, std::size_t nodes, double ofAll) {
  if (!mayRetry(now, nodes, ofAll)) return false;
  if (earned_ >= 1.0)
    earned_ -= 1.0;
  else
    allowed_.push_back(now);
  return true;
}

bool RetryBudget::idle(Tick now) {
  expire(now);
  return firsts_.empty() && allowed_.empty();
}

RetryBudget& RetryBudgets::at(Tick now, Index pool) {
  if (pools_.size() > poolsKept && pools_.count(pool) == 0)
    for (std::map<Index, RetryBudget>::iterator it = pools_.begin(); it != pools_.end();)
      it = it->second.idle(now) ? pools_.erase(it) : std::next(it);
  return pools_[pool];
}

void RetryBudgets::first(Tick now, Index pool) {
  all_.first(now);
  at(now, pool).first(now);
}

bool RetryBudgets::retry(Tick now, Index pool, std::size_t nodes, double ofAll) {
  return at(now, pool).mayRetry(now, nodes, ofAll) && all_.retry(now, nodes, ofAll) &&
         pools_.at(pool).retry(now, nodes, ofAll);
}

bool ColdBucket::has(Tick now, double rate) const {
  return std::min(1.0, tokens_ + rate * static_cast<double>(now - at_) / 1000.0) >= 1.0;
}

bool ColdBucket::take(Tick now, double rate) {
  tokens_ = std::min(1.0, tokens_ + rate * static_cast<double>(now - at_) / 1000.0);
  at_ = now;
  if (tokens_ < 1.0) return false;
  tokens_ = 0;
  return true;
}

}  // namespace corkward::scaling
