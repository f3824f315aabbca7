#pragma once

/// What this controller knows about each router: its last contact, the committed revisions that it is known to lack,
/// and the configuration updates that are in flight to it.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <corkward/control/committed_values.h>
#include <corkward/control/controller_tuning.h>
#include <corkward/transport/message.h>

namespace corkward::control {

class RouterRegistry {
 public:
  /// A revision of a key that was sent and is not acknowledged yet.
  struct PushInFlight {
    std::uint64_t revision = 0;
    Milliseconds sentAt = 0;
  };
  struct Router {
    transport::Contact contact;
    /// Last contact with this or another controller, or -1 if there was none.
    Milliseconds lastContactAt = -1;
    /// Last ServingLeaseRequest to this controller, or -1 if the router has no session with this controller.
    Milliseconds lastRequestAt = -1;
    /// True if missingRevisions contains all keys that the router lacks.
    bool revisionsKnown = false;
    /// Keys whose newest committed revision the router is not known to have. The value is the newest revision of the
    /// key that the router is known to have.
    transport::Revisions missingRevisions;
    /// Pushes in flight by key. All keys are in missingRevisions or were sent in a snapshot.
    std::map<std::string, PushInFlight> pushesInFlight;
    /// Number of the newest configuration update that was sent to the router.
    std::uint64_t updateNumber = 0;
    /// When a probe found that nothing listens at the router's link, or -1 if no probe has found that since the last
    /// contact.
    Milliseconds unreachableAt = -1;
    Milliseconds probedAt = -1;
    /// When the router first requested the snapshot that it waits for, or -1 if it waits for none.
    Milliseconds snapshotRequestedAt = -1;

    bool hasSession() const { return lastRequestAt >= 0; }
    bool isUpToDate() const { return revisionsKnown && missingRevisions.empty(); }
    void markUpToDate();
    /// Clears what is known about the router's revisions and the pushes in flight to it.
    void forgetRevisions();
  };

  explicit RouterRegistry(ControllerTuning const& tuning) : tuning_(tuning) {}

  std::map<std::string, Router> const& all() const { return routers_; }
  /// Returns the router, or null if it is not known.
  Router const* find(std::string const& link) const;

  /// Returns the digest of all committed keys and revisions.
  transport::Digest const& committedDigest() const { return committedDigest_; }
  /// Records a committed revision. For each router with a session at this controller, the revision counts as missing
  /// until the router acknowledges it.
  void recordCommitted(std::string const& key, std::uint64_t previousRevision, std::uint64_t revision);

  /// Records a message that came directly from a router. Returns null if it comes from an incarnation that is older
  /// than the newest known one.
  Router* recordContact(Milliseconds now, std::string const& link, std::uint64_t incarnation);
  /// Records a router's request for a serving lease.
  void recordRequest(Milliseconds now, transport::ServingLeaseRequest const& request);
  /// Records that another controller reports serving this router, which is not on the roster.
  void recordUnlistedRouter(Milliseconds now, transport::Contact const& contact);
  /// Records that another controller reports recent contact with this router, which is on the roster.
  void recordReportedContact(Milliseconds now, std::string const& link) { routers_[link].lastContactAt = now; }
  /// Records that a router acknowledged a revision of a key.
  /// @param committed the key's newest committed revision
  static void recordAcknowledged(Router& router, std::string const& key, std::uint64_t revision,
                                 std::uint64_t committed);
  /// Records the router's revisions of all keys.
  static void recordRevisions(Router& router, transport::Revisions const& revisions, CommittedValues const& values);
  /// Returns true if the digest is that of the revisions which the router is known to have.
  bool matchesKnownRevisions(Router const& router, transport::Digest const& digest,
                             CommittedValues const& values) const;

  /// Returns the next update for a router, or std::nullopt if there is none. The update is a snapshot if the router has
  /// requested one and a contact with a majority has begun since the request. Otherwise it contains the values that the
  /// router lacks and that are not in flight. Ends the session of a router that no longer sends lease requests.
  std::optional<transport::ConfigurationUpdate> nextUpdate(Milliseconds now, std::string const& link,
                                                           CommittedValues const& values,
                                                           QuorumContact const& quorumContact);

  /// Returns true if an unresponsive router should be probed now, and then records the probe.
  bool startProbe(Milliseconds now, std::string const& link);
  void recordProbeResult(Milliseconds now, std::string const& link, bool refused);

  /// Removes the routers that are not on the roster and have had no contact for ControllerTuning::forgetRouterAfter.
  void forgetUnresponsive(Milliseconds now, std::set<std::string> const& rosterNodes);

 private:
  bool isInFlight(Milliseconds now, Router const& router, std::string const& key, std::uint64_t committed) const;

  ControllerTuning tuning_;
  std::map<std::string, Router> routers_;
  transport::Digest committedDigest_;
};

}  // namespace corkward::control
