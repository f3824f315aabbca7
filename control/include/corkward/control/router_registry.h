#pragma once

/// What this controller knows of each router: when it was heard, which committed revisions it is known to lack, and the
/// configuration updates that are in flight to it.

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
  /// A revision of a key that was sent and is not acknowledged.
  struct PushInFlight {
    std::uint64_t revision = 0;
    Milliseconds sentAt = 0;
  };
  struct Router {
    transport::Contact contact;
    /// Last sign of it, here or at another controller; -1: none.
    Milliseconds lastHeardAt = -1;
    /// Last ServingLeaseRequest here; -1: it has no session here.
    Milliseconds lastRequestAt = -1;
    /// missingRevisions names all that it lacks.
    bool revisionsKnown = false;
    /// Keys that it is not known to have as committed, with the newest revision that it is known to have of each.
    transport::Revisions missingRevisions;
    /// By key; only keys in missingRevisions, and those of a snapshot.
    std::map<std::string, PushInFlight> pushesInFlight;
    /// Number of the newest configuration update sent to it.
    std::uint64_t updateNumber = 0;
    /// When a probe found that nothing listens at its link; -1: no probe did since it was last heard.
    Milliseconds unreachableAt = -1;
    Milliseconds probedAt = -1;
    /// Since when it wants a snapshot; -1: it does not.
    Milliseconds snapshotRequestedAt = -1;

    bool hasSession() const { return lastRequestAt >= 0; }
    bool isUpToDate() const { return revisionsKnown && missingRevisions.empty(); }
    void markUpToDate();
    /// Drops what is known of its revisions and what is in flight to it.
    void forgetRevisions();
  };

  explicit RouterRegistry(ControllerTuning const& tuning) : tuning_(tuning) {}

  std::map<std::string, Router> const& all() const { return routers_; }
  /// The router, or null.
  Router const* find(std::string const& link) const;

  /// Stands for all committed keys and revisions.
  transport::Digest const& committedDigest() const { return committedDigest_; }
  /// A key was committed: routers with a session here lack it until they acknowledge it.
  void recordCommitted(std::string const& key, std::uint64_t previousRevision, std::uint64_t revision);

  /// First-hand sign of a router. Null when it comes from an incarnation older than the newest one known.
  Router* recordHeard(Milliseconds now, std::string const& link, std::uint64_t incarnation);
  /// A router's request for a serving lease.
  void recordRequest(Milliseconds now, transport::ServingLeaseRequest const& request);
  /// Another controller serves this router.
  void recordReported(Milliseconds now, transport::Contact const& contact);
  /// The roster's router is served by another controller.
  void recordHeardElsewhere(Milliseconds now, std::string const& link) { routers_[link].lastHeardAt = now; }
  /// What a router acknowledges of one key.
  static void recordAcknowledged(Router& router, std::string const& key, std::uint64_t revision,
                                 std::uint64_t committed);
  /// The router's full revisions.
  static void recordRevisions(Router& router, transport::Revisions const& revisions, CommittedValues const& values);
  /// True when the digest is that of the revisions which the router is known to have.
  bool matchesKnownRevisions(Router const& router, transport::Digest const& digest,
                             CommittedValues const& values) const;

  /// The next update for a router: a snapshot when it wants one and a majority has confirmed what is committed here
  /// since, else what it lacks and is not in flight. Nothing: there is none. Ends the session of a silent router.
  std::optional<transport::ConfigurationUpdate> nextUpdate(Milliseconds now, std::string const& link,
                                                           CommittedValues const& values,
                                                           QuorumContact const& quorumContact);

  /// True when a silent router is to be probed now; counts as probed then.
  bool startProbe(Milliseconds now, std::string const& link);
  void recordProbeResult(Milliseconds now, std::string const& link, bool refused);

  /// Drops routers that have been silent for long and are not on the roster.
  void forgetSilent(Milliseconds now, std::set<std::string> const& rosterNodes);

 private:
  bool isInFlight(Milliseconds now, Router const& router, std::string const& key, std::uint64_t committed) const;

  ControllerTuning tuning_;
  std::map<std::string, Router> routers_;
  transport::Digest committedDigest_;
};

}  // namespace corkward::control
