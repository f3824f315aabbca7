#include <corkward/scaling/scaler.h>

#include <algorithm>
#include <utility>

namespace corkward::scaling {

Scaler::Scaler(std::uint64_t seed, ScalerParameters const& parameters)
    : seed_(seed), parameters_(parameters), limit_(parameters.initialLimit) {
  CORKWARD_INVARIANT(parameters.cooldown >= 5000 && parameters.excessPerReplica > 0);
}

std::uint64_t Scaler::subsetOrder(Candidate const& c) const {
  return core::RandomGenerator(seed_ ^ c.hash).next();
}

bool Scaler::has(NameIndex replica) const {
  return std::any_of(subset_.begin(), subset_.end(), [&](Candidate const& p) { return p.replica == replica; });
}

void Scaler::growSubset(std::size_t size) {
  if (subset_.size() >= std::min(size, candidates_.size())) return;
  std::vector<std::pair<std::uint64_t, Candidate>> free;
  for (Candidate const& c : candidates_.all())
    if (!has(c.replica)) free.emplace_back(subsetOrder(c), c);
  std::size_t const added = std::min(size - subset_.size(), free.size());
  std::partial_sort(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(added), free.end(),
                    [](std::pair<std::uint64_t, Candidate> const& a, std::pair<std::uint64_t, Candidate> const& b) {
                      return std::pair(a.first, a.second.replica) < std::pair(b.first, b.second.replica);
                    });
  for (std::size_t i = 0; i < added; ++i) subset_.push_back(free[i].second);
}

void Scaler::setCandidates(Candidates all) {
  candidates_ = std::move(all);
  std::size_t const size = std::max<std::size_t>(subset_.size(), parameters_.initialSubset);
  std::vector<Candidate> remaining;
  for (Candidate const& p : subset_)
    if (Candidate const* const c = candidates_.find(p.replica); c != nullptr) remaining.push_back(*c);
  bool const lost = remaining.size() < subset_.size();
  subset_ = std::move(remaining);
  growSubset(size);
  if (lost) lowDemandSince_ = -1;
}

bool Scaler::isIdle() const {
  return inFlight_ == 0 && subset_.size() <= 1 && lowDemandSince_ < 0 &&
         (parameters_.limitDecay >= 1.0 || limit_ <= parameters_.minLimit);
}

std::ptrdiff_t Scaler::readyCount() const {
  return std::count_if(subset_.begin(), subset_.end(), [](Candidate const& c) { return !c.warmingUp; });
}

double Scaler::cap() const {
  return static_cast<double>(readyCount()) * limit_;
}

bool Scaler::hasCapacity(bool bulk) const {
  double const total = cap();
  if (inFlight_ + 1 > total) return false;
  return !bulk || total < 2.0 || bulkInFlight_ + 1 <= std::max(1.0, total * parameters_.bulkFraction);
}

bool Scaler::raiseLimitFor(bool bulk) {
  if (hasCapacity(bulk)) return true;
  std::ptrdiff_t const ready = readyCount();
  if (ready == 0 || allSlow_ || latencyRatio_ >= parameters_.limitRaiseLatencyRatio) return false;
  double const needed = std::max(inFlight_ + 1.0, bulk ? (bulkInFlight_ + 1.0) / parameters_.bulkFraction : 0.0);
  double const raised = needed / static_cast<double>(ready) + 1e-9;
  if (raised > parameters_.maxLimit) return false;
  limit_ = std::max(limit_, raised);
  return hasCapacity(bulk);
}

bool Scaler::isProbeDue(Milliseconds now) const {
  if (limit_ >= 1.0 || inFlight_ >= readyCount()) return false;
  bool const haveRecovered = inFlight_ == 0 && respondedInTime_;
  return haveRecovered || now - sentAt_ >= parameters_.probeInterval;
}

int Scaler::inFlightAt(NameIndex replica) const {
  auto const it = inFlightAt_.find(replica);
  return it == inFlightAt_.end() ? 0 : it->second;
}

bool Scaler::isSlow(NameIndex replica) const {
  auto const it = firstByteTimes_.find(replica);
  return it != firstByteTimes_.end() && it->second.responses > 0 &&
         it->second.meanFirstByte > static_cast<double>(it->second.latencyTarget);
}

double Scaler::excessDemand(std::size_t queued) const {
  return std::max(0.0, inFlight_ - parameters_.lowDemandFraction * cap()) + static_cast<double>(queued);
}

void Scaler::beginWith(NameIndex preferred) {
  Candidate const* const first = candidates_.find(preferred);
  if (first != nullptr && inFlight_ == 0 && subset_.size() == 1) subset_.front() = *first;
}

int Scaler::evaluate(Milliseconds now, std::size_t queued, std::int64_t preferred) {
  if (parameters_.limitDecay < 1.0 && inFlight_ < parameters_.decayBelowUtilization * cap())
    limit_ = std::max(parameters_.minLimit, limit_ * parameters_.limitDecay);
  double const excess = excessDemand(queued);
  std::size_t const size = subset_.size();
  if (excess >= parameters_.excessPerReplica * static_cast<double>(std::max<std::size_t>(size, 1)) &&
      size < candidates_.size() && !allSlow_) {
    lowDemandSince_ = -1;
    Candidate const* const next = preferred < 0 ? nullptr : candidates_.find(static_cast<NameIndex>(preferred));
    if (next != nullptr && !has(next->replica)) subset_.push_back(*next);
    growSubset(size + 1);
    if (parameters_.limitDecay < 1.0)
      limit_ = std::max(parameters_.minLimit, limit_ * static_cast<double>(size) / static_cast<double>(size + 1));
    meanFirstByteAtGrowth_ = meanFirstByte_;
    responsesSinceGrowth_ = 0;
    return 1;
  }
  if (size <= 1) {
    lowDemandSince_ = -1;
    return 0;
  }
  std::ptrdiff_t const ready = readyCount();
  bool const hasWarmingUp = ready < static_cast<std::ptrdiff_t>(size);
  double const capWithOneFewer = static_cast<double>(hasWarmingUp ? ready : ready - 1) * limit_;
  bool const lowDemand = queued == 0 && (inFlight_ == 0 || inFlight_ < parameters_.lowDemandFraction * capWithOneFewer);
  if (!lowDemand) {
    lowDemandSince_ = -1;
    return 0;
  }
  if (lowDemandSince_ < 0) lowDemandSince_ = now;
  if (now - lowDemandSince_ < parameters_.cooldown) return 0;
  auto const idle = std::min_element(subset_.begin(), subset_.end(), [&](Candidate const& a, Candidate const& b) {
    if (a.warmingUp != b.warmingUp) return a.warmingUp;
    if (inFlightAt(a.replica) != inFlightAt(b.replica)) return inFlightAt(a.replica) < inFlightAt(b.replica);
    return subsetOrder(a) > subsetOrder(b);
  });
  subset_.erase(idle);
  lowDemandSince_ = now;
  return -1;
}

void Scaler::onSent(Milliseconds now, NameIndex replica, bool bulk) {
  sentAt_ = now;
  respondedInTime_ = false;
  ++inFlight_;
  ++inFlightAt_[replica];
  if (bulk) ++bulkInFlight_;
}

void Scaler::onFirstByte(Milliseconds now, NameIndex replica, Milliseconds took, Milliseconds latencyTarget) {
  FirstByteTimes& times = firstByteTimes_[replica];
  times.meanFirstByte =
      times.responses == 0
          ? static_cast<double>(took)
          : times.meanFirstByte + parameters_.meanWeight * (static_cast<double>(took) - times.meanFirstByte);
  times.latencyTarget = latencyTarget;
  ++times.responses;
  meanFirstByte_ = meanFirstByte_ == 0
                       ? static_cast<double>(took)
                       : meanFirstByte_ + parameters_.meanWeight * (static_cast<double>(took) - meanFirstByte_);
  ++responsesSinceGrowth_;
  latencyRatio_ +=
      parameters_.meanWeight *
      (static_cast<double>(took) / static_cast<double>(std::max<Milliseconds>(latencyTarget, 1)) - latencyRatio_);
  respondedInTime_ = took <= latencyTarget;
  if (!respondedInTime_) {
    if (now - limitCutAt_ >= parameters_.limitCutInterval) {
      limit_ = std::max(parameters_.minLimit, limit_ * parameters_.limitCutFactor);
      limitCutAt_ = now;
    }
  } else if (inFlight_ >= parameters_.lowDemandFraction * cap()) {
    limit_ = std::min(parameters_.maxLimit, limit_ + 1.0 / std::max(1.0, cap()));
  }
  bool const isWholeSubsetSlow = !subset_.empty() && std::all_of(subset_.begin(), subset_.end(),
                                                                 [&](Candidate const& c) { return isSlow(c.replica); });
  if (!isWholeSubsetSlow)
    allSlow_ = false;
  else if (responsesSinceGrowth_ >= parameters_.minResponses &&
           (subset_.size() == candidates_.size() || (subset_.size() > 1 && meanFirstByte_ >= meanFirstByteAtGrowth_)))
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
