#pragma once

/// The replicas of a pool that requests may go to.

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <vector>

#include <corkward/scaling/scaler_parameters.h>

namespace corkward::scaling {

/// A replica that a part may draw from.
struct Candidate {
  NameIndex replica = 0;
  bool warmingUp = false;
  /// Hash of its address, equal on every node.
  std::uint64_t hash = 0;
  bool operator==(Candidate const&) const = default;
};

/// The replicas that parts of one pool may draw from, in the order of their index. Copies share them.
class Candidates {
 public:
  Candidates() = default;
  Candidates(std::vector<Candidate> all);
  Candidates(std::initializer_list<Candidate> all) : Candidates(std::vector<Candidate>(all)) {}
  /// Null when it is none of them.
  Candidate const* find(NameIndex replica) const;
  std::vector<Candidate> const& all() const;
  std::size_t size() const { return all().size(); }
  bool operator==(Candidates const& other) const { return all_ == other.all_ || all() == other.all(); }

 private:
  std::shared_ptr<std::vector<Candidate> const> all_;
};

}  // namespace corkward::scaling
