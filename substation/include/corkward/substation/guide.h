#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/lookout/lookout.h>
#include <corkward/signal/message.h>

namespace corkward::substation {

using core::Tick;

/// Role of a guide among the contacts.
inline constexpr char const* guideRole = "guide";

/// Reducer of a machine that serves operators without a disk: it holds nothing and is never a member. It knows which
/// substations answer, names them to processes that enter here, and tells disks that it founds nothing. It is named to nobody.
class Guide {
 public:
  Guide(signal::Contact self, std::vector<std::string> seeds, std::uint64_t seed);

  std::vector<signal::Send> arrived(Tick now, std::string const& from, signal::Message const& message);
  std::vector<signal::Send> clockEvent(Tick now);
  /// Links of substations that answered of late; when none did, of all that are known.
  std::vector<std::string> substations(Tick now) const;
  void setSeeds(std::vector<std::string> seeds) { lookout_.setSeeds(std::move(seeds)); }

 private:
  lookout::Lookout lookout_;
  /// Substations that were ever known, and when each was heard itself; -1: not yet.
  std::map<std::string, Tick> substations_;
  Tick askAt_ = 0;
};

}  // namespace corkward::substation
