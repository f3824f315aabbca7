#pragma once

/// The replicas of a pool that requests may go to.

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <vector>

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// A replica that may become a member of a router's subset of a pool.
struct Candidate {
  NameIndex replica = 0;
  bool warmingUp = false;
  /// Hash of the replica's address, equal on every router.
  std::uint64_t hash = 0;
  bool operator==(Candidate const&) const = default;
};

/// All candidates of one pool, sorted by the index of the replica. Copies share the underlying vector, which never
/// changes.
class Candidates {
 public:
  Candidates() = default;
  Candidates(std::vector<Candidate> all);
  Candidates(std::initializer_list<Candidate> all) : Candidates(std::vector<Candidate>(all)) {}
  /// Returns the candidate of this replica, or nullptr if there is none.
  Candidate const* find(NameIndex replica) const;
  std::vector<Candidate> const& all() const;
  std::size_t size() const { return all().size(); }
  bool operator==(Candidates const& other) const { return all_ == other.all_ || all() == other.all(); }

 private:
  std::shared_ptr<std::vector<Candidate> const> all_;
};

}  // namespace corkward::scaling
