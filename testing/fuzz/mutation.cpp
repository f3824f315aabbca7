#include "mutation.h"

namespace corkward::fuzz {

using platform::test::wire::MappingFault;

std::vector<Mutation> const& mutations() {
  static std::vector<Mutation> const all{
      {"takeForeign", "own-answer", Tampering::none, MappingFault::takeForeign},
      {"alterAnswer", "own-answer", Tampering::alterResponse},
      {"hideCut", "own-answer", Tampering::hideTruncation},
      {"alterRequest", "as-sent", Tampering::alterRequest},
      {"dropField", "as-sent", Tampering::none, MappingFault::dropField},
      {"sendAgain", "once", Tampering::none, MappingFault::sendAgain},
      {"promiseAfterRun", "promise", Tampering::reportNotRunAfterRun},
      {"ignoreLeaving", "gone", Tampering::ignoreDisconnects},
      {"moreTries", "tries", Tampering::extraAttempts},
      {"moreTime", "time-left", Tampering::none, MappingFault::moreTime},
      {"holdLonger", "held", Tampering::none, MappingFault::holdLonger},
      {"otherStatus", "status", Tampering::none, MappingFault::otherStatus},
  };
  return all;
}

std::optional<Mutation> mutationOf(std::string const& name) {
  for (Mutation const& m : mutations())
    if (name == m.name) return m;
  return std::nullopt;
}

}  // namespace corkward::fuzz
