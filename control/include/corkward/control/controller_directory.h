#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/gossip/partial_view.h>
#include <corkward/transport/message.h>

namespace corkward::control {

using core::Tick;

/// Role of a guide among the contacts.
inline constexpr char const* directoryRole = "guide";

/// Reducer of a machine that serves operators without a disk: it holds nothing and is never a member. It knows which
/// controllers answer, names them to processes that enter here, and tells disks that it founds nothing. It is named to
/// nobody.
class ControllerDirectory {
 public:
  ControllerDirectory(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed);

  std::vector<transport::Send> arrived(Tick now, std::string const& from, transport::Message const& message);
  std::vector<transport::Send> clockEvent(Tick now);
  /// Links of controllers that answered of late; when none did, of all that are known.
  std::vector<std::string> controllers(Tick now) const;
  void setSeeds(std::vector<std::string> seeds) { partialView_.setSeeds(std::move(seeds)); }

 private:
  gossip::PartialView partialView_;
  /// Controllers that were ever known, and when each was heard itself; -1: not yet.
  std::map<std::string, Tick> controllers_;
  Tick askAt_ = 0;
};

}  // namespace corkward::control
