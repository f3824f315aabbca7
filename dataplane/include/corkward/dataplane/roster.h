#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <corkward/core/types.h>
#include <corkward/transport/message.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// The routers of the fleet as the newest roster names them, and whether this one has joined them.
class Roster {
 public:
  explicit Roster(std::string self) : self_(std::move(self)) {}

  /// Takes a newer roster. A router that is neither on it for some time already nor on the one before it is joining:
  /// the others may not know yet that it serves.
  void load(Milliseconds now, std::uint64_t revision, std::vector<transport::Contact> const& contacts, bool onPrevious);
  /// Ends the joining after this time, in milliseconds.
  void onTimer(Milliseconds now, Milliseconds joinTimeout);
  /// All routers have the roster of that revision; 0: of none.
  void onEveryoneHas(std::uint64_t revision);

  /// 0: there is no roster yet.
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return size_; }
  std::string const& self() const { return self_; }
  /// This router is on the roster, and the others know.
  bool hasJoined() const { return includesSelf_ && !joining_; }
  /// Links of the other routers.
  std::vector<std::string> const& others() const { return others_; }
  /// Zones by link, this router's own among them; ages in heartbeats go in this order.
  std::map<std::string, std::string> const& zones() const { return zones_; }

 private:
  std::string self_;
  std::uint64_t revision_ = 0;
  std::size_t size_ = 0;
  std::vector<std::string> others_;
  std::map<std::string, std::string> zones_;
  bool includesSelf_ = false;
  bool joining_ = false;
  /// When the newest roster was loaded.
  Milliseconds loadedAt_ = 0;
};

}  // namespace corkward::dataplane
