#pragma once

#include <map>
#include <string>
#include <vector>

#include <corkward/gossip/partial_view.h>
#include <corkward/transport/message.h>

namespace corkward::control {

using core::Milliseconds;

/// Role of a controller directory among the contacts; bytes on the wire.
inline constexpr char const* directoryRole = "guide";

/// Reducer of a machine that serves operators without storage: it stores nothing and is never a member. It knows which
/// controllers answer, names them to processes that start, and lets members without state know that it founds nothing.
/// No process is referred to it.
class ControllerDirectory {
 public:
  ControllerDirectory(transport::Contact self, std::vector<std::string> seeds, std::uint64_t seed);

  std::vector<transport::Send> arrived(Milliseconds now, std::string const& from, transport::Message const& message);
  std::vector<transport::Send> clockEvent(Milliseconds now);
  /// Links of the controllers that were heard lately; when none was, of all that are known.
  std::vector<std::string> controllers(Milliseconds now) const;
  void setSeeds(std::vector<std::string> seeds) { partialView_.setSeeds(std::move(seeds)); }

 private:
  gossip::PartialView partialView_;
  /// All controllers that were ever known, and when each was last heard first-hand; -1: not yet.
  std::map<std::string, Milliseconds> lastHeardAt_;
  Milliseconds nextQueryAt_ = 0;
};

}  // namespace corkward::control
