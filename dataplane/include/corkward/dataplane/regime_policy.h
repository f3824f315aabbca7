#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <corkward/config/regimes.h>
#include <corkward/core/types.h>
#include <corkward/scaling/scaling.h>

namespace corkward::dataplane {

using core::Milliseconds;
using core::NameIndex;

/// The replicas that have a valid certificate for some regime.
struct CertifiedReplicas {
  std::map<std::string, std::set<NameIndex>> byRegime;
  /// Fraction of each certified replica's capacity that requests without a regime must leave free. The largest value
  /// counts if the replica is certified for several regimes.
  std::map<NameIndex, double> reservedFractions;

  void add(std::string const& regime, NameIndex replica, double reservedFraction);
  bool operator==(CertifiedReplicas const&) const = default;
};

/// Which regime each instance is bound to, and which replicas each regime may use. An empty regime name means that no
/// regime applies.
class RegimePolicy {
 public:
  void declare(config::Regimes regimes) { declared_ = std::move(regimes); }
  config::Regimes const& declared() const { return declared_; }

  /// Binds an instance to a regime; the latest call decides. An empty name unbinds the instance.
  void bind(NameIndex instance, std::string const& regime);
  void forget(NameIndex instance) { bindings_.erase(instance); }
  /// Some instance has been bound to a regime since the start of the process.
  bool anyBound() const { return anyBound_; }
  std::string const& regimeOf(NameIndex instance) const;

  /// Makes isStale() true. Call when regimes, replicas or the wall clock changed.
  void invalidate() { certifiedAt_ = -1; }
  /// The certified replicas must be determined again. True at regular intervals too, because certificates become valid
  /// and expire with time.
  bool isStale(Milliseconds now) const;
  /// Stores the replicas that are certified now. Returns true if they differ from the stored ones.
  bool update(Milliseconds now, CertifiedReplicas certified);

  /// Requests of the regime may use the replica. Without a regime, they may use replicas that are not completely
  /// reserved.
  bool mayUse(std::string const& regime, NameIndex replica) const;
  /// Fraction of the replica's capacity that requests without a regime must leave free. Returns std::nullopt if the
  /// replica has no certificate.
  std::optional<double> reservedFraction(NameIndex replica) const;
  /// The candidates that requests may use: by regime for each regime with certified replicas, and under the empty name
  /// for requests without a regime.
  std::map<std::string, scaling::Candidates> candidatesByRegime(std::vector<scaling::Candidate> const& all) const;

 private:
  scaling::Candidates candidatesOf(std::string const& regime, std::vector<scaling::Candidate> const& all) const;

  config::Regimes declared_;
  /// Never reset to false.
  bool anyBound_ = false;
  /// Regime of each instance; an empty name if none. Instances are recorded only once anyBound_ is true.
  std::map<NameIndex, std::string> bindings_;
  /// Certified replicas as of certifiedAt_.
  CertifiedReplicas certified_;
  /// Negative if the certified replicas must be determined again.
  Milliseconds certifiedAt_ = -1;
};

}  // namespace corkward::dataplane
