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

/// The routers of the fleet by the newest roster, and whether this router has joined them.
class Roster {
 public:
  explicit Roster(std::string self) : self_(std::move(self)) {}

  /// Replaces the roster by a newer one. A router that had not joined and was not on the previous roster is joining:
  /// other routers may not know yet that it serves.
  /// @param onPrevious this router was on the preceding roster
  void load(Milliseconds now, std::uint64_t revision, std::vector<transport::Contact> const& contacts, bool onPrevious);
  /// Completes joining once the newest roster has been in effect here for `joinTimeout`.
  void onTimer(Milliseconds now, Milliseconds joinTimeout);
  /// Records that the roster of this revision is in effect on all routers, which completes joining. 0 if no roster is.
  void onRolloutComplete(std::uint64_t revision);

  /// 0 if there is no roster yet.
  std::uint64_t revision() const { return revision_; }
  std::size_t size() const { return size_; }
  std::string const& self() const { return self_; }
  /// This router is on the roster and has completed joining.
  bool hasJoined() const { return includesSelf_ && !joining_; }
  /// Link addresses of the other routers.
  std::vector<std::string> const& others() const { return others_; }
  /// Zones by link address, including this router's. The ages in a PeerHeartbeat are in the order of this map.
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
