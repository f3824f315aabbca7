#include "mutation.h"

namespace corkward::fuzz {

using platform::test::wire::MappingFault;

std::vector<Mutation> const& mutations() {
  static std::vector<Mutation> const all{
      {"takeForeign", "own-answer", Tampering::none, MappingFault::acceptForeignResponse},
      {"alterAnswer", "own-answer", Tampering::alterResponse},
      {"hideCut", "own-answer", Tampering::hideTruncation},
      {"alterRequest", "as-sent", Tampering::alterRequest},
      {"dropField", "as-sent", Tampering::none, MappingFault::dropHeaderField},
      {"sendAgain", "once", Tampering::none, MappingFault::assumeNotExecuted},
      {"promiseAfterRun", "promise", Tampering::reportNotRunAfterRun},
      {"ignoreLeaving", "gone", Tampering::ignoreDisconnects},
      {"moreTries", "tries", Tampering::extraAttempts},
      {"moreTime", "time-left", Tampering::none, MappingFault::extendRemainingTime},
      {"holdLonger", "held", Tampering::none, MappingFault::extendDeadline},
      {"keepFraming", "framing", Tampering::hideClosedConnections},
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
