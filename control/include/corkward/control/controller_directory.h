#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/gossip/partial_view.h>
#include <corkward/transport/message.h>

namespace corkward::control {

using core::Milliseconds;

/// Role of a controller directory in its gossip contact. The text is part of the wire format.
inline constexpr char const* directoryRole = "guide";

/// Reducer of a machine without storage that serves operators. It is never a member. It tracks which controllers
/// respond, names them to starting processes, and replies to members without state that it does not vote on the
/// founding of the cluster. Its contact is not given to other processes.
class ControllerDirectory {
 public:
  ControllerDirectory(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed);

  std::vector<transport::Send> onMessage(Milliseconds now, std::string const& from, transport::Message const& message);
  std::vector<transport::Send> onTimer(Milliseconds now);
  /// Returns the links of the controllers with recent contact, or of all known controllers if there is none.
  std::vector<std::string> controllers(Milliseconds now) const;
  void setSeeds(std::vector<std::string> seeds) { partialView_.setSeeds(std::move(seeds)); }

 private:
  gossip::PartialView partialView_;
  /// All controllers that were ever known, with the time of the last message that came directly from each one; -1 if
  /// there was none yet.
  std::map<std::string, Milliseconds> lastContactAt_;
  Milliseconds nextQueryAt_ = 0;
};

}  // namespace corkward::control
