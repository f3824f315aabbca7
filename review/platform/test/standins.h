#pragma once

/// Stand-ins of the users' platform, operator, clients and replicas, and a small fleet of hosted processes.
/// Everything runs on loopback addresses of one network 127.A.B.0 that is chosen free at the start.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Exit codes of a case.
enum class Result { held = 0, broken = 1, couldNotRun = 2 };

/// A reason for which a case cannot run.
class SetupError : public std::exception {
 public:
  explicit SetupError(std::string text) : text_(std::move(text)) {}
  char const* what() const noexcept override { return text_.c_str(); }

 private:
  std::string text_;
};

/// Milliseconds of the steady clock since the start of the process.
std::int64_t now();
void sleepMs(std::int64_t milliseconds);

/// Writes lines with the time to the record of the case. Thread-safe.
class Record {
 public:
  explicit Record(std::string path);
  void line(std::string const& text);

 private:
  std::mutex mutex_;
  std::string path_;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request or a response.
struct Message {
  /// Request line or status line.
  std::string start;
  Headers headers;
  std::string body;
  /// Whether the whole head arrived.
  bool hasHead = false;
  /// Whether the body ended as its framing requires.
  bool complete = false;

  /// Value of a header field, the name in lower case. Empty if the field is absent.
  std::string header(std::string const& name) const;
  /// Status code of a response, or 0.
  int status() const;
  std::string method() const;
  std::string target() const;
};

/// A connection with buffered reading. Closes its descriptor.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  Connection(Connection&&) = delete;
  Connection& operator=(Connection&&) = delete;

  /// Connects within the time, or returns null.
  static std::unique_ptr<Connection> open(Address const& address, int timeoutMs);
  bool write(std::string const& bytes);
  Message readRequest();
  Message readResponse();

 private:
  bool fill();
  std::optional<std::string> takeLine();
  void readHead(Message& message);
  bool takeBytes(std::size_t count, std::string& out);
  void readBody(Message& message, bool isResponse);

  int descriptor_;
  std::string buffer_;
};

/// Returns a listening socket, or -1 if the address is not free.
int listenAt(Address const& address);

/// Accepts connections for ever, each served in its own thread. The handler returns false to close the connection.
using Handler = std::function<bool(Connection&, Message const&)>;
void serve(int listener, Handler const& handler);

/// Writes a complete response with a length.
bool respond(Connection& connection, int status, Headers const& headers, std::string const& body);

/// Sends one request on a new connection and returns the response; its hasHead is false if none came.
Message call(Address const& address, std::string const& method, std::string const& target, Headers const& headers,
             std::string const& body, int timeoutMs);

/// A replica as the platform's list shows it.
struct ListedReplica {
  std::string id;
  std::string service;
  Address address;
  std::string zone;
  std::int64_t coldLeftMs = 0;
};

/// A route of a configuration.
struct RouteSettings {
  std::string name;
  std::string host;
  std::string prefix;
  std::string type;
  std::string service;
  int deadlineMs = 3000;
  int targetMs = 800;
  int tries = 1;
  bool resumable = false;
};

std::string routeJson(RouteSettings const& route);
/// A whole configuration with the services "narrative-llm" and the given gateways.
std::string configurationJson(int version, std::vector<RouteSettings> const& routes,
                              std::vector<std::string> const& gateways);
/// An update that adds or replaces routes.
std::string updateJson(int version, std::vector<RouteSettings> const& routes);

/// Three machines in three zones, each with a disk, a router and a controller, beside the platform's list.
class Fleet {
 public:
  Fleet(std::string folder, Record& record);
  ~Fleet();
  Fleet(Fleet const&) = delete;
  Fleet& operator=(Fleet const&) = delete;
  Fleet(Fleet&&) = delete;
  Fleet& operator=(Fleet&&) = delete;

  static constexpr int machines = 3;
  std::string ip(int host) const { return network_ + "." + std::to_string(host); }
  std::string zone(int machine) const { return std::string("zone-") + static_cast<char>('a' + machine); }
  Address front(int machine) const { return {ip(firstHost + machine), frontPort}; }

  void setReplicas(std::vector<ListedReplica> replicas);
  /// Starts all processes and waits until the first configuration is taken and all machines are ready.
  void start(std::string const& configuration);
  /// Sends an order to one machine after the other until one acknowledges it. Returns the time of the acknowledgement.
  std::int64_t order(std::string const& target, std::string const& body, int basedOn);

 private:
  static constexpr int firstHost = 11;
  static constexpr int frontPort = 8161;
  static constexpr int readyPort = 8167;
  static constexpr int controlPort = 8166;
  static constexpr int listPort = 8169;

  void chooseNetwork();
  void writeSettings(int machine, std::string const& role) const;
  std::string settingsPath(int machine, std::string const& role) const;
  void startProcess(int machine, std::string const& role);
  bool isReady(int machine) const;
  std::string listJson();

  std::string folder_;
  Record& record_;
  std::string network_;
  std::mutex mutex_;
  std::vector<ListedReplica> replicas_;
  std::vector<pid_t> processes_;
};

/// Starts a program with its arguments. The child ends with this process.
pid_t startProgram(std::vector<std::string> const& command, std::vector<std::string> const& environment,
                   std::string const& outputPath);
void endProgram(pid_t process, int signalNumber);

}  // namespace review
