#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include <corkward/core/types.h>

#include "operator_client.h"

namespace corkward::programs {

/// A duty that one of several processes does at a time: a lease that a majority of the disks' members grants, under a
/// rising epoch. Counted from before it was asked for, so it is over here before any member takes it for over.
class SingletonRoleClient {
 public:
  SingletonRoleClient(std::vector<std::string> controllers, std::string name, std::string who);
  /// Asks for the lease, or for more of it. True while this process has it.
  bool renew();
  bool held() const;
  std::uint64_t term() const { return term_; }
  /// Gives it up to one of those that wait.
  void release();

 private:
  OperatorOutcome ask(std::string const& controller, char const* method, std::string const& successor) const;
  std::vector<std::string> controllers_;
  std::string name_;
  std::string who_;
  core::Tick until_ = 0;
  std::uint64_t term_ = 0;
  std::set<std::string> waiting_;
};

}  // namespace corkward::programs
