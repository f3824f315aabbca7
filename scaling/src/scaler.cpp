#include <corkward/scaling/scaler.h>

#include <algorithm>
#include <utility>

namespace corkward::scaling {

Scaler::Scaler(std::uint64_t seed, ScalerParameters const& f) : seed_(seed), parameters_(f), limit_(f.initialLimit) {
  CORKWARD_INVARIANT(f.cooldown >= 5000 && f.width > 0);
}

std::uint64_t Scaler::subsetOrder(Candidate const& c) const {
  return core::RandomGenerator(seed_ ^ c.hash).next();
}

bool Scaler::has(NameIndex replica) const {
  return std::any_of(subset_.begin(), subset_.end(), [&](Candidate const& p) { return p.replica == replica; });
}

void Scaler::growSubset(std::size_t size) {
  if (subset_.size() >= std::min(size, all_.size())) return;
  std::vector<std::pair<std::uint64_t, Candidate>> free;
  for (Candidate const& c : all_.all())
    if (!has(c.replica)) free.emplace_back(subsetOrder(c), c);
  std::size_t const wanted = std::min(size - subset_.size(), free.size());
  std::partial_sort(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(wanted), free.end(),
                    [](std::pair<std::uint64_t, Candidate> const& a, std::pair<std::uint64_t, Candidate> const& b) {
                      return std::pair(a.first, a.second.replica) < std::pair(b.first, b.second.replica);
                    });
  for (std::size_t i = 0; i < wanted; ++i) subset_.push_back(free[i].second);
}

void Scaler::setCandidates(Candidates all) {
  all_ = std::move(all);
  std::size_t const want = std::max<std::size_t>(subset_.size(), parameters_.initialSubset);
  std::vector<Candidate> remaining;
  for (Candidate const& p : subset_)
    if (Candidate const* const c = all_.find(p.replica); c != nullptr) remaining.push_back(*c);
  bool const lost = remaining.size() < subset_.size();
  subset_ = std::move(remaining);
  growSubset(want);
  if (lost) calmSince_ = -1;
}

bool Scaler::isAtRest() const {
  return inFlight_ == 0 && subset_.size() <= 1 && calmSince_ < 0 &&
         (parameters_.limitDecay >= 1.0 || limit_ <= parameters_.minLimit);
}

double Scaler::cap() const {
  std::ptrdiff_t const warm =
      std::count_if(subset_.begin(), subset_.end(), [](Candidate const& c) { return !c.warmingUp; });
  return static_cast<double>(warm) * limit_;
}

bool Scaler::hasCapacity(bool bulk) const {
  double const c = cap();
  if (inFlight_ + 1 > c) return false;
  return !bulk || c < 2.0 || bulkInFlight_ + 1 <= std::max(1.0, c * parameters_.bulkFraction);
}

bool Scaler::raiseLimitFor(bool bulk) {
  if (hasCapacity(bulk)) return true;
  std::ptrdiff_t const warm =
      std::count_if(subset_.begin(), subset_.end(), [](Candidate const& c) { return !c.warmingUp; });
  if (warm == 0 || allSlow_ || strain_ >= parameters_.steady) return false;
  double const needed = std::max(inFlight_ + 1.0, bulk ? (bulkInFlight_ + 1.0) / parameters_.bulkFraction : 0.0);
  double const raised = needed / static_cast<double>(warm) + 1e-9;
  if (raised > parameters_.maxLimit) return false;
  limit_ = std::max(limit_, raised);
  return hasCapacity(bulk);
}

int Scaler::inFlightAt(NameIndex replica) const {
  auto const it = inFlightAt_.find(replica);
  return it == inFlightAt_.end() ? 0 : it->second;
}

bool Scaler::isSlow(NameIndex replica) const {
  auto const it = times_.find(replica);
  return it != times_.end() && it->second.answers > 0 &&
         it->second.meanFirstByte > static_cast<double>(it->second.latencyTarget);
}

double Scaler::excessDemand(std::size_t queued) const {
  return std::max(0.0, inFlight_ - parameters_.calmFraction * cap()) + static_cast<double>(queued);
}

void Scaler::beginWith(NameIndex wanted) {
  Candidate const* const first = all_.find(wanted);
  if (first != nullptr && inFlight_ == 0 && subset_.size() == 1) subset_.front() = *first;
}

int Scaler::evaluate(Milliseconds now, std::size_t queued, std::int64_t wanted) {
  if (parameters_.limitDecay < 1.0 && inFlight_ < parameters_.usedFraction * cap())
    limit_ = std::max(parameters_.minLimit, limit_ * parameters_.limitDecay);
  double const buffered = excessDemand(queued);
  std::size_t const x = subset_.size();
  if (buffered >= parameters_.width * static_cast<double>(std::max<std::size_t>(x, 1)) && x < all_.size() &&
      !allSlow_) {
    calmSince_ = -1;
    Candidate const* const next = wanted < 0 ? nullptr : all_.find(static_cast<NameIndex>(wanted));
    if (next != nullptr && !has(next->replica)) subset_.push_back(*next);
    growSubset(x + 1);
    if (parameters_.limitDecay < 1.0)
      limit_ = std::max(parameters_.minLimit, limit_ * static_cast<double>(x) / static_cast<double>(x + 1));
    meanAtWidening_ = meanFirstByte_;
    answersSinceWidening_ = 0;
    return 1;
  }
  if (x <= 1) {
    calmSince_ = -1;
    return 0;
  }
  std::ptrdiff_t const warm =
      std::count_if(subset_.begin(), subset_.end(), [](Candidate const& c) { return !c.warmingUp; });
  bool const coldThere = warm < static_cast<std::ptrdiff_t>(x);
  double const fewer = static_cast<double>(coldThere ? warm : warm - 1) * limit_;
  bool const calm = queued == 0 && (inFlight_ == 0 || inFlight_ < parameters_.calmFraction * fewer);
  if (!calm) {
    calmSince_ = -1;
    return 0;
  }
  if (calmSince_ < 0) calmSince_ = now;
  if (now - calmSince_ < parameters_.cooldown) return 0;
  auto const idle = std::min_element(subset_.begin(), subset_.end(), [&](Candidate const& a, Candidate const& b) {
    if (a.warmingUp != b.warmingUp) return a.warmingUp;
    if (inFlightAt(a.replica) != inFlightAt(b.replica)) return inFlightAt(a.replica) < inFlightAt(b.replica);
    return subsetOrder(a) > subsetOrder(b);
  });
  subset_.erase(idle);
  calmSince_ = now;
  return -1;
}

void Scaler::onSent(NameIndex replica, bool bulk) {
  ++inFlight_;
  ++inFlightAt_[replica];
  if (bulk) ++bulkInFlight_;
}

void Scaler::onFirstByte(Milliseconds now, NameIndex replica, Milliseconds took, Milliseconds latencyTarget) {
  Times& t = times_[replica];
  t.meanFirstByte = t.answers == 0
                        ? static_cast<double>(took)
                        : t.meanFirstByte + parameters_.meanWeight * (static_cast<double>(took) - t.meanFirstByte);
  t.latencyTarget = latencyTarget;
  ++t.answers;
  meanFirstByte_ = meanFirstByte_ == 0
                       ? static_cast<double>(took)
                       : meanFirstByte_ + parameters_.meanWeight * (static_cast<double>(took) - meanFirstByte_);
  ++answersSinceWidening_;
  strain_ += parameters_.meanWeight *
             (static_cast<double>(took) / static_cast<double>(std::max<Milliseconds>(latencyTarget, 1)) - strain_);
  if (took > latencyTarget) {
    if (now - limitCutAt_ >= parameters_.limitCutInterval) {
      limit_ = std::max(parameters_.minLimit, limit_ * parameters_.limitCutFactor);
      limitCutAt_ = now;
    }
  } else if (inFlight_ >= parameters_.calmFraction * cap()) {
    limit_ = std::min(parameters_.maxLimit, limit_ + 1.0 / std::max(1.0, cap()));
  }
  bool const all = !subset_.empty() &&
                   std::all_of(subset_.begin(), subset_.end(), [&](Candidate const& c) { return isSlow(c.replica); });
  if (!all)
    allSlow_ = false;
  else if (answersSinceWidening_ >= parameters_.minAnswers &&
           (subset_.size() == all_.size() || (subset_.size() > 1 && meanFirstByte_ >= meanAtWidening_)))
    allSlow_ = true;
}

void Scaler::onEnded(NameIndex replica, bool bulk) {
  auto const it = inFlightAt_.find(replica);
  CORKWARD_INVARIANT(it != inFlightAt_.end() && it->second > 0 && inFlight_ > 0);
  if (--it->second == 0) inFlightAt_.erase(it);
  --inFlight_;
  if (bulk) --bulkInFlight_;
  CORKWARD_INVARIANT(bulkInFlight_ >= 0);
}

}  // namespace corkward::scaling
