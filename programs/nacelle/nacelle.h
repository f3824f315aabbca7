#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <corkward/door/mapping.h>
#include <corkward/door/operator_mapping.h>
#include <corkward/door/relays.h>
#include <corkward/door/server.h>
#include <corkward/rotor/plane.h>
#include <corkward/rotor/stream.h>
#include <corkward/signal/link.h>

#include "process.h"
#include "records.h"
#include "settings.h"

namespace corkward::programs {

class Nacelle;

/// What another surface than the product's own puts in its place.
struct NacelleSurface {
  /// Where callers, operators and the platform are listened for, all served alike; empty: at Settings::http.
  std::vector<std::string> http = {};
  door::Limits limits = {};
  door::Kept kept = {};
  /// How often the plane is told the time, in milliseconds.
  int clockEveryMs = 20;
  /// Answers a request that is none of a caller's; false: it is one.
  std::function<bool(Nacelle&, door::Request const&)> pages = {};
  /// Whether the product's own pages (/healthz, /readyz, /metrics, /v1/state, platform lists) are served, after those.
  bool ownPages = true;
  /// Bounds of the callers' door under the whole blueprint's terms, taken over when these change; empty: as they are.
  std::function<door::Limits(blueprint::DoorTerms const&)> limitsUnder = {};
};

/// Puts the data plane's library together with its links, its door and its relays; body bytes pass here alone.
class Nacelle : public QObject {
 public:
  /// The mapping must outlive it.
  Nacelle(Settings const& settings, rotor::Tuning const& tuning, door::Mapping const& mapping, NacelleSurface surface = {});

  door::Server& server() { return server_; }
  door::Relays& relays() { return relays_; }
  rotor::Plane const& plane() const { return plane_; }
  /// Whether clients should be sent here.
  bool ready() const;
  /// Counters in Prometheus' text form.
  std::string metrics() const;
  /// The platform's list of a pool, as told to this node.
  void platformList(std::string const& pool, std::string const& body);
  /// Other figures and seeds from here on.
  void retune(rotor::Tuning const& tuning, std::vector<std::string> const& seeds);
  /// As SIGTERM.
  void drain();

 private:
  struct Call {
    door::Relay* relay = nullptr;
    door::Request request;
    rotor::Request caller;
    std::string path;
    rotor::Stream stream;
    /// Id of the last event that the caller says it has, for a path whose answer is a row of events.
    std::string lastEvent;
    bool connected = false;
    core::Tick movedAt = 0;
    core::Tick pausedSince = 0;
    /// What it is about to do could not be written down.
    bool unrecorded = false;
  };

  door::Server::Events events();
  void serve(door::Request request);
  bool ownPage(door::Request const& request);
  void run(rotor::Commands&& commands);
  void act(rotor::Connect const& m);
  void act(rotor::HandOver const& m);
  void act(rotor::Abandon const& m);
  void act(rotor::Record const& m);
  void act(rotor::Deny const& m);
  void act(rotor::Answer const& m);
  void act(rotor::Abort const& m);
  void abandon(std::uint64_t id, bool readRest = false);
  void replicaHead(std::uint64_t id, door::ReplicaHead const& head);
  void steps(std::uint64_t id, rotor::StreamSteps&& out);
  void replicaPiece(std::uint64_t id, std::string bytes);
  void replicaEnded(std::uint64_t id, bool whole);
  void watchPaused();
  void gone(std::uint64_t id);
  void clockEvent();

  Settings settings_;
  door::Mapping const& mapping_;
  door::OwnOperatorMapping ownOperators_;
  NacelleSurface surface_;
  Drain drain_;
  rotor::Plane plane_;
  Records records_;
  std::unordered_map<std::uint64_t, Call> calls_;
  signal::Link link_;
  door::Relays relays_;
  door::Server server_;
  QTimer clock_;
  blueprint::DoorTerms doorTerms_;
  core::Tick pausedLookAt_ = 0;
};

}  // namespace corkward::programs
