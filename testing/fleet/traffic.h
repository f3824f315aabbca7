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

/// What callers saw of one request.
struct CallerRecord {
  std::string id;
  std::string cls;
  std::string instance;
  std::string outcome;
  int attempts = 0;
  /// Says attempts and ages; the others send the same id again and say no more.
  bool numbered = true;
  std::vector<std::string> runs;
  core::Milliseconds firstByteAfter = -1;
  core::Milliseconds began = 0;
  bool rejectedAsNotRun = false;
};

/// Figures of one run, from the callers' and the replicas' own records.
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

/// Callers with the deployment's mix: each calls nodes that report ready, and retries when the answer says so.
class Traffic : public QObject {
 public:
  Traffic(Fleet& fleet, std::uint64_t seed, double scale);
  void startCalling();
  void stopCalling();
  std::size_t open() const { return open_.size(); }
  /// The requests that are open, for people.
  std::string openText() const;
  /// Requests whose final outcome is known, by outcome.
  std::map<std::string, std::size_t> outcomes() const;
  /// Joins the callers' records with the replicas'. Call when open() is 0.
  Report report() const;
  std::vector<CallerRecord> const& records() const { return done_; }
  void send(std::string const& cls);

 private:
  struct Open {
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
    std::string got;
  };
  void arrive();
  void attempt(std::string const& id);
  std::string shownOf(std::string const& http) const;
  void attemptLater(std::string const& id, int delayMs);
  bool mayAttemptAgain(Open const& open) const;
  void sendRequest(Open& open);
  void connectFailed(std::string const& id);
  void received(Open& open, std::string const& bytes);
  void responseEnded(std::string const& id, bool complete);
  void finishServed(std::string const& id, bool complete);
  /// The router has promised that the request was not run: waits and retries, or gives up.
  void rejected(std::string const& id);
  void finish(std::string const& id, std::string const& outcome);
  void pollReadiness();
  Fleet& fleet_;
  core::RandomGenerator rng_;
  double scale_;
  QTimer arrivals_;
  QTimer pollTimer_;
  double due_ = 0;
  core::Milliseconds last_ = 0;
  std::uint64_t next_ = 1;
  std::set<std::string> ready_;
  std::map<std::string, Open> open_;
  std::vector<CallerRecord> done_;
};

/// The report as lines for people.
std::string text(Report const& report);

}  // namespace corkward::testing
