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

/// A fleet that does not do what was waited for.
class FleetError : public core::Error {
 public:
  using core::Error::Error;
};

/// Size and mix of one deployment.
struct Deployment {
  char const* name;
  int zones;
  int disks;
  int routers;
  int models;
  int others;
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
  /// Where others find it, when that is not its own address: at a fault proxy.
  std::string shown;
  /// Own address for links, when `link` is a fault proxy's.
  std::string listen;
  std::string zone;
  std::string pool;
  std::string record;
  std::string data;
  /// Incarnation of a replica, fresh at each start; empty: it has none.
  std::string incarnation;
  QStringList flags;
  QString program;
  std::unique_ptr<QProcess> process;
};

/// Answer to an operator's call.
struct Reply {
  int status = 0;
  QJsonObject body;
};

/// A fleet of real processes on loopback addresses; it alone starts processes.
class Fleet : public QObject {
 public:
  explicit Fleet(Deployment const& deployment);
  Fleet(Fleet const&) = delete;
  Fleet& operator=(Fleet const&) = delete;
  Fleet(Fleet&&) = delete;
  Fleet& operator=(Fleet&&) = delete;
  ~Fleet() override;

  void startAll();
  /// Starts it; with a limit above 0 no file that it writes can grow beyond so many bytes.
  void start(Node& node, std::uint64_t fileLimit = 0);
  /// Puts a fault proxy before every link address. Call it before anything is started.
  void proxyLinks(std::function<std::string(std::string const& listen)> const& proxy);
  /// Replicas have incarnations, which the platform's lists name, and routers keep records of regimes' work. Before
  /// anything is started.
  void withRegimes();
  /// Folder of a router's records.
  std::string auditFolder(Node const& router) const { return folder() + "/" + router.name + ".audit"; }
  void kill9(Node& node);
  void freeze(Node& node);
  void resume(Node& node);
  /// SIGTERM, then waits for the end; returns the exit code.
  int stop(Node& node);
  void wipe(Node& node);

  /// Runs the event loop until the condition holds; throws FleetError after the limit.
  void until(std::string const& what, std::function<bool()> const& condition, int limitMs = 90000);
  /// Runs the event loop for the time that the traffic takes.
  void runFor(int ms);

  /// One call to a controller, waited for.
  Reply call(Node const& node, std::string const& method, std::string const& path, std::string const& body = "",
             std::string const& ifMatch = "", std::string const& changeId = "");
  /// A change sent as an operator sends it: again under its one id, to any ready controller, until the answer is for
  /// good.
  Reply change(std::string const& method, std::string const& path, std::string const& body = "",
               std::string const& ifMatch = "", std::string const& changeId = "");
  /// The same as call, without waiting; status 0 when there was no answer in time.
  void callAsync(std::string const& http, std::string const& method, std::string const& path, std::string const& body,
                 std::string const& ifMatch, std::string const& changeId, int limitMs,
                 std::function<void(Reply)> const& done);
  struct Tool {
    int code = -1;
    std::string out;
    std::string err;
  };
  /// Runs one of the project's programs to its end.
  Tool tool(std::string const& program, std::vector<std::string> const& arguments, std::string const& input = "");

  /// A plain GET; status 0 when nobody answers.
  Reply get(std::string const& address, std::string const& path);
  void getAsync(std::string const& address, std::string const& path, std::function<void(Reply)> const& done);

  /// The platform gives both pools' lists; state by replica name, serving when not named.
  void publishEndpointLists(std::map<std::string, std::string> const& states = {});
  void loadConfigurations();
  void untilReady(std::size_t routers);

  Deployment const& deployment() const { return deployment_; }
  std::vector<Node>& controllers() { return controllers_; }
  std::vector<Node>& routers() { return routers_; }
  std::vector<Node>& replicas() { return replicas_; }
  Node& firstController();
  std::string folder() const { return folder_.path().toStdString(); }
  /// Every instance's name as callers use it.
  std::vector<std::string> instances() const;
  std::string logTail(Node const& node) const;

 private:
  void writeSettings();
  QNetworkRequest requestOf(std::string const& http, std::string const& path, std::string const& ifMatch,
                            std::string const& changeId, int limitMs) const;
  std::string freeAddress(std::string const& ip);
  Deployment deployment_;
  QTemporaryDir folder_;
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
