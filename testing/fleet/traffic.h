#pragma once

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <corkward/http/upstream_connection.h>

#include "body.h"
#include "fleet.h"

namespace corkward::testing {

/// What a caller observed of one request.
struct CallerRecord {
  std::string id;
  std::string requestClass;
  std::string instance;
  std::string outcome;
  int attempts = 0;
  /// Whether the caller sends attempt numbers and ages. Other callers only repeat the request id.
  bool sendsAttemptNumbers = true;
  std::vector<std::string> runs;
  core::Milliseconds firstByteAfter = -1;
  core::Milliseconds startedAt = 0;
  bool rejectedAsNotRun = false;
};

/// Results of one run, from the records of the callers and replicas.
struct Report {
  std::map<std::string, std::size_t> outcomes;
  std::map<std::string, std::vector<core::Milliseconds>> firstByteTimes;
  std::size_t runTwice = 0;
  std::size_t badBodies = 0;
  std::size_t rejectedButRan = 0;
  std::size_t replicaRuns = 0;
  std::size_t prefixHits = 0;
  std::size_t prefixMisses = 0;
  std::size_t requests = 0;
};

/// Callers with the deployment's mix of requests. They call routers that report ready and retry if the response allows
/// it.
class Traffic : public QObject {
 public:
  Traffic(Fleet& fleet, std::uint64_t seed, double scale);
  void startCalling();
  void stopCalling();
  std::size_t open() const { return open_.size(); }
  /// Describes the open requests for error texts.
  std::string describeOpen() const;
  /// Requests whose final outcome is known, by outcome.
  std::map<std::string, std::size_t> outcomes() const;
  /// Joins the records of callers and replicas. Must be called when open() is 0.
  Report report() const;
  std::vector<CallerRecord> const& records() const { return finished_; }
  void send(std::string const& requestClass);

 private:
  struct OpenRequest {
    CallerRecord record;
    std::string instance;
    std::string path;
    std::string prefix;
    std::string body;
    bool earlierNotRun = true;
    bool earlierReached = false;
    core::Milliseconds deadline = 0;
    http::UpstreamConnection* forwarder = nullptr;
    http::ReplicaHead head;
    std::string receivedBytes;
  };
  void sendDueRequests();
  void attempt(std::string const& id);
  std::string advertisedAddressOf(std::string const& http) const;
  void attemptLater(std::string const& id, int delayMs);
  bool mayAttemptAgain(OpenRequest const& open) const;
  void sendRequest(OpenRequest& open);
  void connectFailed(std::string const& id);
  void onChunk(OpenRequest& open, std::string const& bytes);
  void responseEnded(std::string const& id, bool complete);
  void finishServed(std::string const& id, bool complete);
  /// Handles a rejection with the guarantee that the request was not executed: retries after a delay or gives up.
  void onRejected(std::string const& id);
  void finish(std::string const& id, std::string const& outcome);
  void pollReadiness();
  Fleet& fleet_;
  core::RandomGenerator rng_;
  double scale_;
  QTimer arrivals_;
  QTimer pollTimer_;
  double dueRequests_ = 0;
  core::Milliseconds lastArrivalAt_ = 0;
  std::uint64_t nextId_ = 1;
  std::set<std::string> ready_;
  std::map<std::string, OpenRequest> open_;
  std::vector<CallerRecord> finished_;
};

/// Formats the report as readable lines.
std::string text(Report const& report);

}  // namespace corkward::testing
