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

/// Replicas that have a certificate for a regime.
struct CertifiedReplicas {
  std::map<std::string, std::set<NameIndex>> byRegime;
  /// Part of a replica's room that work of no regime leaves free: the largest of its regimes.
  std::map<NameIndex, double> reservedFractions;

  void add(std::string const& regime, NameIndex replica, double reservedFraction);
  bool operator==(CertifiedReplicas const&) const = default;
};

/// Which regime binds which instance, and which replicas each may use. The empty name stands for work of no regime.
class RegimePolicy {
 public:
  void declare(config::Regimes regimes) { declared_ = std::move(regimes); }
  config::Regimes const& declared() const { return declared_; }

  /// Binds an instance; its newest path decides. The empty name ends a binding.
  void bind(NameIndex instance, std::string const& regime);
  void forget(NameIndex instance) { bindings_.erase(instance); }
  /// Some path was bound to a regime since the start.
  bool anyBound() const { return anyBound_; }
  std::string const& regimeOf(NameIndex instance) const;

  /// The certified replicas must be looked up again, since regimes, replicas or the wall clock changed.
  void invalidate() { certifiedAt_ = -1; }
  /// The certified replicas were looked up too long ago: certificates begin and end with time alone.
  bool isStale(Milliseconds now) const;
  /// Takes the certified replicas as of now. True when they differ from those before.
  bool update(Milliseconds now, CertifiedReplicas certified);

  bool mayUse(std::string const& regime, NameIndex replica) const;
  /// Part of the replica's room that work of no regime leaves free; nothing: it has no certificate.
  std::optional<double> reservedFraction(NameIndex replica) const;
  /// What work of each regime that has certified replicas, and of none, may use of these.
  std::map<std::string, scaling::Candidates> candidatesByRegime(std::vector<scaling::Candidate> const& all) const;

 private:
  scaling::Candidates candidatesOf(std::string const& regime, std::vector<scaling::Candidate> const& all) const;

  config::Regimes declared_;
  /// Never falls back to false.
  bool anyBound_ = false;
  /// Empty until some path is bound.
  std::map<NameIndex, std::string> bindings_;
  /// As of certifiedAt_.
  CertifiedReplicas certified_;
  /// Below zero: they must be looked up again.
  Milliseconds certifiedAt_ = -1;
};

}  // namespace corkward::dataplane
