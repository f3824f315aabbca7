// Replicas stream events in answers without a length, and one of six replicas crashes while it streams.
// An answer that the crash cuts within an event must not look complete to the client.

#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "standins.h"

namespace {

using namespace review;

constexpr int replicaCount = 6;
constexpr int replicaPort = 9000;
constexpr int firstReplicaHost = 51;
constexpr int eventsPerStream = 40;
constexpr int tokensPerEvent = 6;
constexpr int tokenMs = 8;
constexpr int clientCount = 12;
constexpr std::int64_t crashAfterMs = 5000;
constexpr std::int64_t crashDurationMs = 4500;
constexpr std::int64_t trafficMs = 14000;
constexpr char const* host = "turbines.example";

/// One replica as a process of its own, so that SIGKILL ends it as a crash does.
int runReplica(Address const& address, std::string const& id, std::string const& logPath) {
  int const listener = listenAt(address);
  if (listener < 0) return 1;
  std::mutex mutex;
  serve(listener, [&](Connection& connection, Message const& request) {
    auto const log = [&](std::string const& text) {
      std::lock_guard const lock(mutex);
      std::ofstream(logPath, std::ios::app) << text << " " << request.header("attempt-id") << std::endl;
    };
    std::string const expected = request.header("expect-replica");
    if (!expected.empty() && expected != id)
      return respond(connection, 421, {{"Attempt-Id", request.header("attempt-id")}, {"Not-Run", "1"}}, "");
    if (request.method() == "GET") return respond(connection, 200, {{"Replica-Id", id}}, "");
    log("begin");
    std::string const last = request.header("last-event-id");
    bool open =
        connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("attempt-id") + "\r\nReplica-Seal: " + id +
                         "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n");
    for (int event = (last.empty() ? 0 : std::stoi(last)) + 1; open && event <= eventsPerStream; ++event) {
      open = connection.write("id: " + std::to_string(event) + "\ndata:");
      for (int token = 0; open && token < tokensPerEvent; ++token) {
        sleepMs(tokenMs);
        open = connection.write(" token");
      }
      open = open && connection.write("\n\n");
    }
    log(open ? "end" : "left");
    return false;
  });
  return 0;
}

/// What a client received of one stream.
struct Received {
  std::string attempt;
  Message response;
};

/// Returns a text if the answer looks complete although it ends within an event, repeats one or lacks one.
std::string faultOf(Received const& received, int& cutBetweenEvents) {
  Message const& response = received.response;
  if (response.status() != 200 || !response.complete) return "";
  int next = 1;
  std::size_t at = 0;
  std::string const& body = response.body;
  for (std::size_t end = 0; (end = body.find("\n\n", at)) != std::string::npos; at = end + 2, ++next) {
    std::string const id = "id: " + std::to_string(next) + "\n";
    if (body.compare(at, id.size(), id) != 0) return "event " + std::to_string(next) + " is absent or out of order";
  }
  std::string const counted = std::to_string(next) + " of " + std::to_string(eventsPerStream);
  if (at < body.size()) return "the answer is marked complete and ends within event " + counted;
  if (next <= eventsPerStream) ++cutBetweenEvents;
  return "";
}

class UnframedStream {
 public:
  UnframedStream(std::string folder, std::string const& recordPath, bool trouble)
      : folder_(std::move(folder)), record_(recordPath), fleet_(folder_, record_), trouble_(trouble) {}

  Result run() {
    for (int replica = 0; replica < replicaCount; ++replica) startReplica(replica, "i-" + std::to_string(replica));
    publish();
    RouteSettings route{"narrative", host, "/narrative/", "streaming", "narrative-llm", 15000, 800, 2, true};
    fleet_.start(configurationJson(1, {route}, {"gateway"}));
    sleepMs(2000);
    std::vector<std::thread> clients;
    std::int64_t const end = now() + trafficMs;
    for (int client = 0; client < clientCount; ++client)
      clients.emplace_back([this, client, end] { runClient(client, end); });
    sleepMs(crashAfterMs);
    if (trouble_) crash();
    for (std::thread& client : clients) client.join();
    Result const result = judge();
    for (pid_t const replica : replicas_) endProgram(replica, SIGKILL);
    return result;
  }

 private:
  Address addressOf(int replica) const { return {fleet_.ip(firstReplicaHost + replica), replicaPort}; }
  std::string logOf(std::string const& id) const { return folder_ + "/runs-" + id; }

  void startReplica(int replica, std::string const& id) {
    pid_t const process =
        startProgram({"/proc/self/exe", "replica", addressOf(replica).ip, std::to_string(replicaPort), id, logOf(id)},
                     {}, folder_ + "/replicas.log");
    if (replica < static_cast<int>(replicas_.size()))
      replicas_[static_cast<std::size_t>(replica)] = process;
    else
      replicas_.push_back(process);
    ids_[replica] = id;
  }

  void publish() {
    std::vector<ListedReplica> listed;
    for (auto const& [replica, id] : ids_)
      listed.push_back({id, "narrative-llm", addressOf(replica), fleet_.zone(replica % Fleet::machines)});
    fleet_.setReplicas(std::move(listed));
  }

  /// Kills the replica with the most streams and starts it again, with a new id, after crashDurationMs.
  void crash() {
    int crashed = 0;
    for (int replica = 1; replica < replicaCount; ++replica)
      if (openStreams(ids_[replica]).size() > openStreams(ids_[crashed]).size()) crashed = replica;
    crashedId_ = ids_[crashed];
    record_.line("SIGKILL to replica " + crashedId_);
    endProgram(replicas_[static_cast<std::size_t>(crashed)], SIGKILL);
    cut_ = openStreams(crashedId_);
    for (std::string const& attempt : cut_) record_.line("stream " + attempt + " was running there");
    sleepMs(crashDurationMs / 2);
    ids_.erase(crashed);
    publish();
    sleepMs(crashDurationMs / 2);
    startReplica(crashed, crashedId_ + "-again");
    publish();
    record_.line("the replica is back as " + ids_[crashed]);
  }

  void runClient(int client, std::int64_t end) {
    for (int number = 1; now() < end; ++number) {
      std::string const attempt = "c" + std::to_string(client) + "-" + std::to_string(number);
      std::string const session = std::to_string(1000 + client);
      Headers const headers{{"Host", host},
                            {"Attempt-Id", attempt},
                            {"Time-Left-Ms", "15000"},
                            {"Model", "m"},
                            {"Token-Count", "900,240"},
                            {"Prompt-Prefix", "a1:512,b" + session + ":300,c" + session + ":88"}};
      Message response =
          call(fleet_.front(client % Fleet::machines), "POST", "/narrative/one", headers, "history", 16000);
      record_.line("request " + attempt + ": status " + std::to_string(response.status()) + ", " +
                   std::to_string(response.body.size()) + " bytes, " +
                   (response.complete ? "marked complete" : "not complete"));
      std::lock_guard const lock(mutex_);
      received_.push_back({attempt, std::move(response)});
    }
  }

  /// Returns the requests that a replica has begun and not ended.
  std::set<std::string> openStreams(std::string const& id) const {
    std::set<std::string> open;
    std::ifstream log(logOf(id));
    std::string what;
    std::string attempt;
    while (log >> what >> attempt)
      if (what == "begin")
        open.insert(attempt);
      else
        open.erase(attempt);
    return open;
  }

  Result judge() {
    int complete = 0;
    int broken = 0;
    int cutBetweenEvents = 0;
    for (Received const& received : received_) {
      complete += received.response.status() == 200 && received.response.complete ? 1 : 0;
      std::string const fault = faultOf(received, cutBetweenEvents);
      if (fault.empty()) continue;
      ++broken;
      record_.line("BROKEN: request " + received.attempt + ": " + fault + "; the last bytes are '" +
                   received.response.body.substr(received.response.body.size() - 24) + "'");
    }
    std::ostringstream summary;
    summary << received_.size() << " requests, " << complete << " answers marked complete, " << cut_.size()
            << " streams on the replica at its crash, " << broken
            << " answers that look complete and end within an event, " << cutBetweenEvents
            << " that end between two events (not counted)";
    record_.line(summary.str());
    std::cout << summary.str() << std::endl;
    if (complete == 0 || (trouble_ && cut_.empty())) return Result::couldNotRun;
    return broken > 0 ? Result::broken : Result::held;
  }

  std::string folder_;
  Record record_;
  Fleet fleet_;
  bool trouble_;
  std::vector<pid_t> replicas_;
  std::map<int, std::string> ids_;
  std::string crashedId_;
  /// Streams that ran on the crashed replica.
  std::set<std::string> cut_;
  std::mutex mutex_;
  std::vector<Received> received_;
};

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> const arguments(argv + 1, argv + argc);
  if (arguments.size() == 5 && arguments[0] == "replica")
    return runReplica({arguments[1], std::stoi(arguments[2])}, arguments[3], arguments[4]);
  if (arguments.size() != 3) return static_cast<int>(Result::couldNotRun);
  try {
    return static_cast<int>(UnframedStream(arguments[0], arguments[1], arguments[2] != "0").run());
  } catch (std::exception const& error) {
    std::cerr << "could not run: " << error.what() << std::endl;
    return static_cast<int>(Result::couldNotRun);
  }
}
