#include <algorithm>
#include <iterator>

#include <corkward/dataplane/regime_policy.h>

namespace corkward::dataplane {

namespace {

std::string const noRegime;
/// Interval at which the certified replicas are determined again.
constexpr Milliseconds certificateRefreshInterval = 1000;

}  // namespace

void CertifiedReplicas::add(std::string const& regime, NameIndex replica, double reservedFraction) {
  byRegime[regime].insert(replica);
  double& fraction = reservedFractions.try_emplace(replica, 0.0).first->second;
  fraction = std::max(fraction, reservedFraction);
}

void RegimePolicy::bind(NameIndex instance, std::string const& regime) {
  anyBound_ = anyBound_ || !regime.empty();
  if (anyBound_) bindings_[instance] = regime;
}

std::string const& RegimePolicy::regimeOf(NameIndex instance) const {
  auto const binding = bindings_.find(instance);
  return binding == bindings_.end() ? noRegime : binding->second;
}

bool RegimePolicy::isStale(Milliseconds now) const {
  return certifiedAt_ < 0 || now - certifiedAt_ >= certificateRefreshInterval;
}

bool RegimePolicy::update(Milliseconds now, CertifiedReplicas certified) {
  certifiedAt_ = now;
  if (certified == certified_) return false;
  certified_ = std::move(certified);
  return true;
}

bool RegimePolicy::mayUse(std::string const& regime, NameIndex replica) const {
  if (regime.empty()) return reservedFraction(replica).value_or(0.0) < 1;
  auto const replicas = certified_.byRegime.find(regime);
  return replicas != certified_.byRegime.end() && replicas->second.count(replica) > 0;
}

std::optional<double> RegimePolicy::reservedFraction(NameIndex replica) const {
  auto const fraction = certified_.reservedFractions.find(replica);
  return fraction == certified_.reservedFractions.end() ? std::nullopt : std::optional(fraction->second);
}

scaling::Candidates RegimePolicy::candidatesOf(std::string const& regime,
                                               std::vector<scaling::Candidate> const& all) const {
  std::vector<scaling::Candidate> usable;
  std::copy_if(all.begin(), all.end(), std::back_inserter(usable),
               [&](scaling::Candidate const& candidate) { return mayUse(regime, candidate.replica); });
  return scaling::Candidates(std::move(usable));
}

std::map<std::string, scaling::Candidates> RegimePolicy::candidatesByRegime(
    std::vector<scaling::Candidate> const& all) const {
  std::map<std::string, scaling::Candidates> out;
  out[noRegime] = candidatesOf(noRegime, all);
  for (auto const& [regime, replicas] : certified_.byRegime) out[regime] = candidatesOf(regime, all);
  return out;
}

}  // namespace corkward::dataplane
