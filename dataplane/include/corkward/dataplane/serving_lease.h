#pragma once

#include <cstddef>
#include <map>
#include <string>

#include <corkward/core/types.h>
#include <corkward/dataplane/configuration_state.h>
#include <corkward/dataplane/roster.h>
#include <corkward/transport/message.h>

namespace corkward::dataplane {

using core::Milliseconds;

/// The conditions under which this router may serve: lease grants of controllers, or contact with a quorum of the
/// roster's routers. A grant or contact counts only once the configuration that it names is in effect here.
class ServingLease {
 public:
  void start(Milliseconds now) { startedAt_ = now; }
  /// Records that a controller sent the complete configuration.
  void onControllerSnapshot() { confirmedByController_ = true; }
  /// Records a controller's grant. It counts from the next refresh() on.
  /// @param grantedAt when the controller last had quorum contact, on this router's clock. The lease duration counts
  ///   from here.
  void onGrant(std::string const& controller, Milliseconds grantedAt, transport::Digest const& digest,
               transport::Revisions const& revisions);
  /// Handles another router's reply to a heartbeat of this router.
  void onHeartbeatReply(std::string const& from, transport::PeerHeartbeat const& reply,
                        ConfigurationState const& configuration, Roster const& roster);
  /// Counts grants and replies whose configuration is in effect here by now. Call when the configuration or a grant
  /// changed.
  void refresh(ConfigurationState const& configuration, Roster const& roster);

  /// Some grant that counts is at most `age` milliseconds old.
  bool isGrantedWithin(Milliseconds now, Milliseconds age) const;
  /// This router had contact with a majority of the roster within the last `age` milliseconds. It counts itself once a
  /// controller has confirmed the configuration of this incarnation.
  bool hasRecentQuorumContact(Milliseconds now, Milliseconds age, Roster const& roster) const;
  /// Time since the last contact with each router of the roster, in units of transport::ageUnit and one byte each. See
  /// transport::PeerHeartbeat::ages.
  std::string encodeAges(Milliseconds now, Milliseconds maxAge, Roster const& roster) const;

  /// Removes grants, replies and contacts that are older than `oldest`.
  void forgetBefore(Milliseconds oldest);
  std::size_t size() const { return grants_.size() + pendingReplies_.size() + lastContactAt_.size(); }

 private:
  struct Grant {
    /// Time of the newest grant; `digest` and `revisions` are the configuration that it names. Negative if there is
    /// none.
    Milliseconds grantedAt = -1;
    transport::Digest digest;
    transport::Revisions revisions;
    /// Time of the newest grant whose configuration was in effect here. Negative if there is none.
    Milliseconds validAt = -1;
  };

  void recordContact(std::string const& link, Milliseconds at);
  void recordReply(std::string const& from, transport::PeerHeartbeat const& reply, Roster const& roster);

  Milliseconds startedAt_ = 0;
  /// A controller has confirmed the configuration of this incarnation. Until then this router does not count itself
  /// towards the majority: its previous incarnation may have been counted for a change that this one lacks.
  bool confirmedByController_ = false;
  /// Grants by the controller's link address.
  std::map<std::string, Grant> grants_;
  /// Newest reply of each router whose configuration is not in effect here yet.
  std::map<std::string, transport::PeerHeartbeat> pendingReplies_;
  /// For each router, the newest time at which it had no configuration in effect that this router lacks now.
  std::map<std::string, Milliseconds> lastContactAt_;
};

}  // namespace corkward::dataplane
