#pragma once

#include <QJsonObject>
#include <QNetworkAccessManager>
#include <QNetworkRequest>
#include <QObject>
#include <QProcess>
#include <QTemporaryDir>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <corkward/core/error.h>
#include <corkward/core/types.h>

namespace corkward::testing {

/// Thrown if the fleet does not reach an expected state in time.
class FleetError : public core::Error {
 public:
  using core::Error::Error;
};

/// Sizes and traffic of one deployment. `streams` is the number of requests per second whose responses are streams, and
/// `quick` the number of urgent requests per second.
struct Deployment {
  char const* name;
  int zones;
  int controllers;
  int routers;
  int models;
  int otherReplicas;
  double streams;
  double quick;
  char const* otherPool;
  char const* family;
  char const* bulkPath;
  char const* shortPath;
  char const* quickPath;
};

inline constexpr Deployment deployments[] = {
    {"harmattan", 3, 3, 8, 9, 3, 100, 25, "gateway", "fault-desk", "narrate", "pitch", "ack"},
    {"lernkarten", 4, 4, 8, 9, 4, 110, 30, "study", "card-desk", "deck", "hint", "lookup"},
    {"small", 2, 3, 3, 3, 1, 20, 5, "gateway", "fault-desk", "narrate", "pitch", "ack"}};

/// One process of the fleet.
struct Node {
  std::string name;
  std::string link;
  std::string http;
  /// Address of the fault proxy under which other processes reach this process. Empty if they reach it at `http`.
  std::string advertisedAddress;
  /// The process's own link address if `link` is the address of a fault proxy.
  std::string listen;
  std::string zone;
  std::string pool;
  std::string record;
  std::string data;
  /// Incarnation of a replica, new at each start. Empty if it has none.
  std::string incarnation;
  QStringList flags;
  QString program;
  std::unique_ptr<QProcess> process;
};

/// Response to an HTTP call. Status 0 if there was none.
struct Reply {
  int status = 0;
  QJsonObject body;
};

/// A fleet of real processes on loopback addresses. Starts and stops all of them.
class Fleet : public QObject {
 public:
  explicit Fleet(Deployment const& deployment);
  Fleet(Fleet const&) = delete;
  Fleet& operator=(Fleet const&) = delete;
  Fleet(Fleet&&) = delete;
  Fleet& operator=(Fleet&&) = delete;
  ~Fleet() override;

  void startAll();
  /// Starts a process. If `fileLimit` is above 0, no file that it writes can grow beyond that many bytes.
  void start(Node& node, std::uint64_t fileLimit = 0);
  /// Puts a fault proxy in front of every link address. Must be called before any process is started.
  void proxyLinks(std::function<std::string(std::string const& listen)> const& proxy);
  /// Gives replicas incarnations, which the endpoint lists then contain, and lets routers write audit records of
  /// requests under a regime. Must be called before any process is started.
  void enableRegimes();
  /// Directory of a router's audit records.
  std::string auditDirectory(Node const& router) const { return directory() + "/" + router.name + ".audit"; }
  void crash(Node& node);
  void freeze(Node& node);
  void resume(Node& node);
  /// Sends SIGTERM and waits for the process to exit. Returns the exit code, or -1 if it crashed.
  int stop(Node& node);
  void wipe(Node& node);

  /// Runs the event loop until the condition holds. Throws FleetError after the limit.
  void until(std::string const& what, std::function<bool()> const& condition, int limitMs = 90000);
  /// Runs the event loop for the given time.
  void runFor(int ms);

  /// Sends an HTTP call to a process and waits for the response.
  Reply call(Node const& node, std::string const& method, std::string const& path, std::string const& body = "",
             std::string const& ifMatch = "", std::string const& changeId = "");
  /// Sends a change as an operator does: repeats it with the same id at any ready controller until the response is
  /// conclusive (neither missing nor 503 or 504).
  Reply change(std::string const& method, std::string const& path, std::string const& body = "",
               std::string const& ifMatch = "", std::string const& changeId = "");
  /// Sends an HTTP call without waiting. `done` gets status 0 if there is no response in time.
  void callAsync(std::string const& http, std::string const& method, std::string const& path, std::string const& body,
                 std::string const& ifMatch, std::string const& changeId, int limitMs,
                 std::function<void(Reply)> const& done);
  struct ProgramResult {
    int code = -1;
    std::string out;
    std::string err;
  };
  /// Runs one of the project's programs and waits for its exit.
  ProgramResult runProgram(std::string const& program, std::vector<std::string> const& arguments,
                           std::string const& input = "");

  /// Sends a GET request. Status 0 if there is no response.
  Reply get(std::string const& address, std::string const& path);
  void getAsync(std::string const& address, std::string const& path, std::function<void(Reply)> const& done);

  /// Publishes the endpoint lists of both pools. `states` gives states by replica name; the others are serving.
  void publishEndpointLists(std::map<std::string, std::string> const& states = {});
  void loadConfigurations();
  void untilReady(std::size_t routers);

  Deployment const& deployment() const { return deployment_; }
  std::vector<Node>& controllers() { return controllers_; }
  std::vector<Node>& routers() { return routers_; }
  std::vector<Node>& replicas() { return replicas_; }
  Node& firstController();
  std::string directory() const { return directory_.path().toStdString(); }
  /// Returns the names of all instances as callers use them.
  std::vector<std::string> instances() const;
  std::string logTail(Node const& node) const;

 private:
  void writeSettings();
  QNetworkRequest requestOf(std::string const& http, std::string const& path, std::string const& ifMatch,
                            std::string const& changeId, int limitMs) const;
  std::string freeAddress(std::string const& ip);
  Deployment deployment_;
  QTemporaryDir directory_;
  QNetworkAccessManager manager_;
  std::string net_;
  bool closing_ = false;
  bool regimes_ = false;
  int incarnations_ = 0;
  std::uint64_t generation_ = 0;
  std::uint64_t nextChange_ = 1;
  std::vector<Node> controllers_;
  std::vector<Node> routers_;
  std::vector<Node> replicas_;
};

}  // namespace corkward::testing
