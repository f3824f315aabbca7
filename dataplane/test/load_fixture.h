#pragma once

/// A router under load, whose replicas respond as a function decides.

#include <QJsonArray>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <corkward/config/config.h>
#include <corkward/core/json.h>
#include <corkward/dataplane/request_router.h>

namespace corkward::dataplane::test {

/// How a request ends at its replica.
enum class Outcome { complete, connectionLost, errorResponse, connectRefused, slow, staleConnection };

inline std::string addressOf(int replica) {
  return "10.0.0." + std::to_string(replica) + ":80";
}

/// A router that sends requests to one pool, whose outcomes a function decides by the replica's address.
struct LoadFixture {
  dataplane::RequestRouter reducer;
  core::RandomGenerator rng;
  core::Milliseconds now = 100000;
  std::uint64_t next = 1;
  std::function<Outcome(std::string const&)> outcomeAt;
  /// Actions by the time at which they are run.
  std::multimap<core::Milliseconds, std::function<void()>> scheduled;
  /// Replica address of each call.
  std::map<std::uint64_t, std::string> addressOfCall;
  /// Dispatched requests by replica address.
  std::map<std::string, int> dispatched;
  /// Connection attempts by replica address.
  std::map<std::string, int> connects;
  std::vector<dataplane::Reject> rejected;
  /// Error responses that were forwarded to the caller.
  int forwardedErrors = 0;
  /// Log events "replica-distrusted".
  std::size_t distrusts = 0;
  char const* path = "/once/";

  static dataplane::RouterTuning tuning(int replicas) {
    dataplane::RouterTuning t;
    t.leaseRequired = false;
    t.startupGracePeriod = 0;
    t.scalerParameters.initialSubset = static_cast<std::size_t>(replicas);
    t.scalerParameters.cooldown = 100000000;
    t.scalerParameters.minLimit = 4;
    return t;
  }

  static transport::Contact self() {
    transport::Contact c;
    c.link = "n1";
    c.role = transport::routerRole;
    c.zone = "z1";
    c.incarnation = 1;
    return c;
  }

  LoadFixture(int replicas, std::uint64_t seed) : LoadFixture(replicas, seed, tuning(replicas)) {}
  LoadFixture(int replicas, std::uint64_t seed, dataplane::RouterTuning const& t)
      : reducer(self(), {"s1"}, seed, t), rng(seed) {
    reducer.started(0);
    QJsonArray list;
    for (int i = 1; i <= replicas; ++i)
      list.append(QJsonObject{{"address", core::toQString(addressOf(i))}, {"zone", "z1"}, {"state", "serving"}});
    QJsonObject const spec = core::parseJson(R"({"version":1,"pools":[{"name":"model"}],"paths":[
      {"name":"o","host":"h","prefix":"/once/","kind":"once","deadlineMs":3000,"aimMs":200,"pool":"model"},
      {"name":"r","host":"h","prefix":"/again/","kind":"repeatable","deadlineMs":3000,"aimMs":200,"tries":2,"pool":"model"}]})")
                                 .toObject();
    transport::ConfigurationUpdate update;
    update.number = 1;
    update.isSnapshot = true;
    update.entries = {{config::fleetConfigurationKey, 1, QJsonObject{{"spec", spec}}},
                      {"pool:model", 1, QJsonObject{{"generation", 1}, {"replicas", list}}}};
    run(reducer.onMessage(now, "s1", update));
  }

  void runAfter(core::Milliseconds delay, std::function<void()> action) {
    scheduled.emplace(now + delay, std::move(action));
  }

  std::uint64_t sendRequest() {
    dataplane::Request r;
    r.call = next++;
    r.host = core::HostName("h");
    r.target = std::string(path) + "x";
    run(reducer.onRequest(now, r));
    return r.call;
  }
  void run(dataplane::RouterCommands const& c) {
    for (core::LogEvent const& event : c.logEvents) distrusts += event.event == "replica-distrusted" ? 1 : 0;
    for (dataplane::CallCommand const& v : c.calls) std::visit([this](auto const& m) { this->apply(m); }, v);
  }
  void apply(dataplane::Connect const& m) {
    ++connects[m.address];
    addressOfCall[m.call] = m.address;
    bool const refuse = outcomeAt(m.address) == Outcome::connectRefused;
    runAfter(1, [this, call = m.call, refuse] {
      run(refuse ? reducer.onConnectFailure(now, call) : reducer.onConnected(now, call));
    });
  }
  void apply(dataplane::SendRequest const& m) {
    std::string const address = addressOfCall.at(m.call);
    ++dispatched[address];
    Outcome const outcome = outcomeAt(address);
    core::Milliseconds const duration = outcome == Outcome::slow ? 1500 : 20;
    runAfter(duration, [this, outcome, address, call = m.call] {
      if (outcome == Outcome::connectionLost || outcome == Outcome::staleConnection) {
        run(reducer.onUpstreamFinished(now, call,
                                       outcome == Outcome::connectionLost
                                           ? dataplane::UpstreamResult::connectionLost
                                           : dataplane::UpstreamResult::staleConnection));
        return;
      }
      if (outcome == Outcome::errorResponse) {
        dataplane::RouterCommands const c = reducer.onUpstreamError(now, call);
        run(c);
        for (dataplane::CallCommand const& v : c.calls)
          if (dataplane::Connect const* const again = std::get_if<dataplane::Connect>(&v);
              again != nullptr && again->call == call)
            return;
        ++forwardedErrors;
      }
      run(reducer.onFirstByte(now, call, false));
      run(reducer.onUpstreamFinished(now, call, dataplane::UpstreamResult::complete));
    });
  }
  void apply(dataplane::CloseUpstream const&) {}
  void apply(dataplane::Reject const& m) { rejected.push_back(m); }
  void apply(dataplane::ResetDownstream const&) {}
  void apply(dataplane::EndpointListResponse const&) {}
  void apply(dataplane::WriteAuditRecord const&) {}

  /// Advances the time by `duration` and sends a request every `interval` milliseconds, or none if it is 0.
  void advance(core::Milliseconds duration, core::Milliseconds interval) {
    core::Milliseconds const end = now + duration;
    for (; now < end; ++now) {
      while (!scheduled.empty() && scheduled.begin()->first <= now) {
        std::function<void()> const action = std::move(scheduled.begin()->second);
        scheduled.erase(scheduled.begin());
        action();
      }
      if (now % 20 == 0) run(reducer.onTimer(now));
      if (interval > 0 && now % interval == 0) sendRequest();
    }
  }
  int total() const {
    int out = 0;
    for (std::map<std::string, int>::value_type const& r : dispatched) out += r.second;
    return out;
  }
  /// Fraction of the dispatched requests that the replica got.
  double fractionAt(int replica) const {
    std::map<std::string, int>::const_iterator const it = dispatched.find(addressOf(replica));
    return it == dispatched.end() ? 0 : static_cast<double>(it->second) / static_cast<double>(total());
  }
};

}  // namespace corkward::dataplane::test
