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

/// What allows this router to serve: grants of controllers, and the other routers whose configuration it is known to
/// have. Both count only once this router has in force what they name.
class ServingLease {
 public:
  void start(Milliseconds now) { startedAt_ = now; }
  /// A controller sent the whole configuration.
  void onControllerSnapshot() { confirmedByController_ = true; }
  /// A controller's grant, which holds from the time at which its quorum was sure of it. It counts from the next
  /// refresh on.
  void onGrant(std::string const& controller, Milliseconds grantedAt, transport::Digest const& digest,
               transport::Revisions const& revisions);
  /// A router's reply to a heartbeat of this one.
  void onHeartbeatReply(std::string const& from, transport::PeerHeartbeat const& reply,
                        ConfigurationState const& configuration, Roster const& roster);
  /// The configuration in force or a grant changed: counts what is covered now.
  void refresh(ConfigurationState const& configuration, Roster const& roster);

  /// A grant that counts is not older than this, in milliseconds.
  bool isGrantedWithin(Milliseconds now, Milliseconds age) const;
  /// A majority of the roster was heard within this time, in milliseconds.
  bool hasRecentQuorumContact(Milliseconds now, Milliseconds age, Roster const& roster) const;
  /// How long ago each router of the roster was heard, in units of transport::ageUnit, one byte each.
  std::string encodeAges(Milliseconds now, Milliseconds maxAge, Roster const& roster) const;

  /// Forgets what is older than that time.
  void forgetBefore(Milliseconds oldest);
  std::size_t size() const { return grants_.size() + pendingReplies_.size() + heardAt_.size(); }

 private:
  struct Grant {
    /// Of the newest grant, with the configuration that it is for; below zero: none.
    Milliseconds grantedAt = -1;
    transport::Digest digest;
    transport::Revisions revisions;
    /// Of the newest grant whose configuration was in force here; below zero: none.
    Milliseconds usefulAt = -1;
  };

  void recordHeard(std::string const& link, Milliseconds at);
  void recordReply(std::string const& from, transport::PeerHeartbeat const& reply, Roster const& roster);

  Milliseconds startedAt_ = 0;
  /// A controller confirmed this incarnation's configuration. Until then this router is none of the majority that it
  /// has heard: its incarnation before may have been counted for a change that it lacks now.
  bool confirmedByController_ = false;
  /// By the controller's link.
  std::map<std::string, Grant> grants_;
  /// Newest reply of each router that names what is not in force here yet.
  std::map<std::string, transport::PeerHeartbeat> pendingReplies_;
  /// Newest time at which that router had nothing in force that this one lacks now.
  std::map<std::string, Milliseconds> heardAt_;
};

}  // namespace corkward::dataplane
