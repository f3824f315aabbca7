// A configuration change adds one route; requests to that route then have to go where the change says.
// The variant "host" writes the new route's host with a capital letter, as the clients do. The variant "path" gives the
// new route a prefix under which the nodes' own readiness page lies.

#include <atomic>
#include <iostream>
#include <sstream>
#include <thread>

#include "standins.h"

namespace {

using namespace review;

constexpr int replicaPort = 9000;
constexpr int firstReplicaHost = 51;
constexpr std::int64_t configApplyMs = 2000;
constexpr std::int64_t trafficBeforeMs = 3000;
constexpr std::int64_t trafficAfterMs = 12000;
constexpr std::int64_t pauseMs = 100;

/// What a variant sends and changes.
struct Variant {
  std::string host;
  std::string target;
  /// Route that is in force from the start.
  RouteSettings first;
  /// Route that the change adds.
  RouteSettings added;
  /// Whether requests that need the added route are sent only after the change.
  bool needsChange = false;
};

/// One request with its answer and the service that ran it.
struct Sent {
  std::int64_t at = 0;
  std::string attempt;
  int machine = 0;
  Message response;
};

std::string const readinessPath = std::string("/-/") + "ready";

Variant variantOf(std::string const& name) {
  if (name == "host")
    return {"Night.example",
            "/ack/night/7",
            {"acks", "night.example", "/ack/", "unsafe", "day-gateway", 1500, 300, 1, false},
            {"night-acks", "Night.example", "/ack/night/", "unsafe", "night-gateway", 1500, 300, 1, false},
            false};
  return {"night.example",
          readinessPath,
          {"acks", "night.example", "/ack/", "safe", "day-gateway", 1500, 300, 2, false},
          {"status", "night.example", "/-/", "safe", "night-gateway", 1500, 300, 2, false},
          true};
}

class RouteChange {
 public:
  RouteChange(std::string folder, std::string const& recordPath, bool trouble, std::string const& variant)
      : record_(recordPath),
        fleet_(std::move(folder), record_),
        trouble_(trouble),
        judgesService_(variant == "host"),
        variant_(variantOf(variant)) {}

  Result run() {
    startReplicas();
    fleet_.start(configurationJson(1, {variant_.first}, {"day-gateway", "night-gateway"}));
    sleepMs(2000);
    send(trafficBeforeMs, variant_.needsChange ? "/ack/1" : variant_.target);
    if (trouble_) {
      record_.line("the change adds route " + variant_.added.name + " to " + variant_.added.service);
      acknowledgedAt_ = fleet_.order("/-/config/update", updateJson(2, {variant_.added}), 1);
      record_.line("the change is acknowledged");
    }
    send(trafficAfterMs, variant_.needsChange && !trouble_ ? "/ack/1" : variant_.target);
    return judge();
  }

 private:
  void startReplicas() {
    std::vector<ListedReplica> listed;
    for (int replica = 0; replica < 2 * Fleet::machines; ++replica) {
      std::string const service = replica < Fleet::machines ? "day-gateway" : "night-gateway";
      ListedReplica const entry{"i-" + std::to_string(replica),
                                service,
                                {fleet_.ip(firstReplicaHost + replica), replicaPort},
                                fleet_.zone(replica % Fleet::machines)};
      int const listener = listenAt(entry.address);
      if (listener < 0) throw SetupError("a replica's address is not free");
      std::thread([this, listener, entry] {
        serve(listener, [this, entry](Connection& connection, Message const& request) {
          return answer(entry, connection, request);
        });
      }).detach();
      listed.push_back(entry);
    }
    fleet_.setReplicas(std::move(listed));
  }

  bool answer(ListedReplica const& replica, Connection& connection, Message const& request) {
    std::string const attempt = request.header("attempt-id");
    std::string const expected = request.header("expect-replica");
    if (!expected.empty() && expected != replica.id)
      return respond(connection, 421, {{"Attempt-Id", attempt}, {"Not-Run", "1"}}, "");
    if (attempt.empty()) return respond(connection, 200, {{"Replica-Id", replica.id}}, "");
    {
      std::lock_guard const lock(mutex_);
      ranAt_[attempt] = replica.service;
    }
    return respond(connection, 200, {{"Attempt-Id", attempt}, {"Replica-Seal", "seal-" + replica.id}},
                   "body of " + replica.service);
  }

  void send(std::int64_t duration, std::string const& target) {
    std::int64_t const end = now() + duration;
    for (int turn = 0; now() < end; ++turn, sleepMs(pauseMs)) {
      Sent sent;
      sent.at = now();
      sent.machine = turn % Fleet::machines;
      sent.attempt = "a" + std::to_string(sent_.size());
      sent.response = call(fleet_.front(sent.machine), variant_.first.type == "safe" ? "GET" : "POST", target,
                           {{"Host", variant_.host}, {"Attempt-Id", sent.attempt}, {"Time-Left-Ms", "1500"}}, "", 2000);
      sent_.push_back(std::move(sent));
    }
  }

  /// Returns a text if the rule is broken for a request that was sent longer than the allowed time after the change.
  std::string faultOf(Sent const& sent, std::string const& service) const {
    bool const success = sent.response.status() >= 200 && sent.response.status() < 300;
    if (!judgesService_)
      return success && sent.response.header("replica-seal").empty() ? "a success without a replica's seal" : "";
    bool const newInForce = acknowledgedAt_ >= 0 && sent.at > acknowledgedAt_ + configApplyMs;
    if (!newInForce) return "";
    if (service == variant_.first.service) return "run by the old service " + service;
    return sent.response.status() == 404 ? "refused with 404 though the route is there" : "";
  }

  Result judge() {
    std::lock_guard const lock(mutex_);
    int served = 0;
    int broken = 0;
    for (Sent const& sent : sent_) {
      auto const ran = ranAt_.find(sent.attempt);
      std::string const service = ran == ranAt_.end() ? "" : ran->second;
      std::string const fault = faultOf(sent, service);
      served += sent.response.status() == 200 ? 1 : 0;
      broken += fault.empty() ? 0 : 1;
      record_.line("request " + sent.attempt + " sent at " + std::to_string(sent.at) + " to machine " +
                   std::to_string(sent.machine) + ": status " + std::to_string(sent.response.status()) + ", run by " +
                   (service.empty() ? "no replica" : service) + (fault.empty() ? "" : "; BROKEN: " + fault));
    }
    std::ostringstream summary;
    summary << sent_.size() << " requests, " << served << " served, " << broken << " that break the rule";
    record_.line(summary.str());
    std::cout << summary.str() << std::endl;
    if (served == 0) return Result::couldNotRun;
    return broken > 0 ? Result::broken : Result::held;
  }

  Record record_;
  Fleet fleet_;
  bool trouble_;
  bool judgesService_;
  Variant variant_;
  std::int64_t acknowledgedAt_ = -1;
  std::mutex mutex_;
  std::map<std::string, std::string> ranAt_;
  std::vector<Sent> sent_;
};

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> const arguments(argv + 1, argv + argc);
  if (arguments.size() != 4) return static_cast<int>(Result::couldNotRun);
  try {
    return static_cast<int>(RouteChange(arguments[0], arguments[1], arguments[2] != "0", arguments[3]).run());
  } catch (std::exception const& error) {
    std::cerr << "could not run: " << error.what() << std::endl;
    return static_cast<int>(Result::couldNotRun);
  }
}
