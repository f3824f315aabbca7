#include "mutation.h"

namespace corkward::fuzz {

using platform::test::wire::MappingFault;

std::vector<Mutation> const& mutations() {
  static std::vector<Mutation> const all{
      {"takeForeign", "own-answer", Tampering::none, MappingFault::acceptForeignResponse},
      {"alterAnswer", "own-answer", Tampering::alterAnswer},
      {"hideCut", "own-answer", Tampering::hideCut},
      {"alterRequest", "as-sent", Tampering::alterRequest},
      {"dropField", "as-sent", Tampering::none, MappingFault::dropHeaderField},
      {"sendAgain", "once", Tampering::none, MappingFault::assumeNotExecuted},
      {"promiseAfterRun", "promise", Tampering::promiseAfterRun},
      {"ignoreLeaving", "gone", Tampering::ignoreLeaving},
      {"moreTries", "tries", Tampering::extraAttempts},
      {"moreTime", "time-left", Tampering::none, MappingFault::extendRemainingTime},
      {"holdLonger", "held", Tampering::none, MappingFault::extendDeadline},
      {"otherStatus", "status", Tampering::none, MappingFault::changeStatus},
  };
  return all;
}

std::optional<Mutation> mutationOf(std::string const& name) {
  for (Mutation const& m : mutations())
    if (name == m.name) return m;
  return std::nullopt;
}

}  // namespace corkward::fuzz
