#include "oracles.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "wire.h"

namespace corkward::fuzz {

namespace wire = platform::test::wire;

namespace {

constexpr core::Milliseconds disconnectGraceMs = 500;
/// Time after a request was read in which a replica has written framing without end, and the router has closed the
/// connection.
constexpr core::Milliseconds framingGraceMs = 700;
constexpr core::Milliseconds timeSlackMs = 100;
constexpr core::Milliseconds responseGraceMs = 250;
constexpr std::array<int, 4> notRunStatuses{408, 421, 429, 503};

constexpr std::size_t differenceBytes = 60;

bool repeatable(Route route) {
  return route == Route::safe || route == Route::resumableEvents;
}

bool isEventStream(Route route) {
  return route == Route::resumableEvents || route == Route::nonResumableEvents;
}

bool beginsWith(std::string const& text, std::string const& start) {
  return text.compare(0, start.size(), start) == 0;
}

/// Returns the fields that must reach the replica unchanged.
http::HeaderList forwardedFields(CallerObservation const& observation) {
  http::HeaderList out = wire::callerFields();
  out.emplace_back("host", wire::host);
  out.emplace_back(ownField, observation.attempt);
  out.emplace_back(wire::attempt, observation.attempt);
  return out;
}

std::string difference(std::string const& received, std::string const& want) {
  auto const at = static_cast<std::size_t>(
      std::mismatch(received.begin(),
                    received.begin() + static_cast<std::ptrdiff_t>(std::min(received.size(), want.size())),
                    want.begin())
          .first -
      received.begin());
  return std::to_string(received.size()) + " bytes of " + std::to_string(want.size()) + ", differing at " +
         std::to_string(at) + ": " + received.substr(at, differenceBytes);
}

/// Checks the record of one scenario.
class RecordChecker {
 public:
  RecordChecker(Record const& record, RouteLimits const& limits,
                std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag)
      : record_(record), limits_(limits), lag_(lag) {
    for (Dispatch const& d : record.dispatches) {
      byAttempt_[d.attempt].push_back(&d);
      bySeal_[d.seal] = &d;
    }
  }

  std::vector<Violation> run() {
    std::set<std::string> knownAttempts;
    for (CallerObservation const& observation : record_.callers) {
      knownAttempts.insert(observation.attempt);
      std::vector<Dispatch const*> const& all = byAttempt_[observation.attempt];
      checkResponse(observation, all);
      checkRuns(observation, all);
      for (Dispatch const* const d : all) checkDispatch(observation, *d);
      checkResponseTime(observation);
    }
    for (Dispatch const& d : record_.dispatches)
      if (knownAttempts.count(d.attempt) == 0) violation("as-sent", "no caller sent " + d.attempt);
    for (std::string const& bytes : record_.unsolicited) violation("own-answer", "bytes without a request: " + bytes);
    return std::move(out_);
  }

 private:
  void violation(char const* oracle, std::string what) { out_.push_back(Violation{oracle, std::move(what)}); }

  std::string describe(CallerObservation const& observation) const {
    return observation.attempt + " (" + name(observation.request.route) + ", " + name(observation.request.behaviour) +
           ")";
  }

  void checkResponse(CallerObservation const& observation, std::vector<Dispatch const*> const& all) {
    if (observation.status == 0) return;
    std::string const seal = http::headerValue(observation.fields, wire::seal);
    auto const found = bySeal_.find(seal);
    Dispatch const* const run = seal.empty() || found == bySeal_.end() ? nullptr : found->second;
    bool const success = observation.status >= 200 && observation.status < 300;
    if (success && (run == nullptr || run->attempt != observation.attempt)) {
      violation("own-answer", describe(observation) + " has the seal \"" + seal + "\"");
      return;
    }
    if (!success && !seal.empty() && run == nullptr)
      violation("own-answer", describe(observation) + " has an unknown seal");
    if (run == nullptr) return;
    if (run->status != observation.status)
      violation("status", describe(observation) + " has " + std::to_string(observation.status) + " for " +
                              std::to_string(run->status));
    if (success && isEventStream(observation.request.route))
      checkEvents(observation, all);
    else if (observation.complete && (!run->framedComplete || observation.received != run->framed))
      violation("own-answer", describe(observation) + " looks complete after " + name(run->fault) + ": " +
                                  difference(observation.received, run->framed));
    else if (!beginsWith(run->framed, observation.received))
      violation("own-answer", describe(observation) + " has other bytes after " + name(run->fault) + ": " +
                                  difference(observation.received, run->framed));
  }

  void checkEvents(CallerObservation const& observation, std::vector<Dispatch const*> const& all) {
    bool const own = beginsWith(observation.events, observation.received);
    bool const ends = std::any_of(all.begin(), all.end(), [&](Dispatch const* const d) {
      std::string const before = eventsOf(observation.attempt, 0, d->eventsBefore, observation.request.eventFormat);
      return d->framedComplete && observation.received == before + d->framed;
    });
    if (!own)
      violation("own-answer",
                describe(observation) + " has other events: " + difference(observation.received, observation.events));
    if (own && observation.complete && observation.received != observation.events && !ends)
      violation("own-answer",
                describe(observation) + " looks complete: " + difference(observation.received, observation.events));
  }

  void checkRuns(CallerObservation const& observation, std::vector<Dispatch const*> const& all) {
    std::size_t const ran =
        static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](Dispatch const* const d) { return d->ran; }));
    std::string faultNames;
    for (Dispatch const* const d : all) faultNames += std::string(" ") + name(d->fault);
    if (!repeatable(observation.request.route) && ran > 1)
      violation("once", describe(observation) + " ran " + std::to_string(ran) + " times:" + faultNames);
    bool const promise =
        std::find(notRunStatuses.begin(), notRunStatuses.end(), observation.status) != notRunStatuses.end();
    if (!repeatable(observation.request.route) && ran > 0 && promise)
      violation("promise",
                describe(observation) + " got " + std::to_string(observation.status) + " and ran:" + faultNames);
    std::set<std::size_t> replicas;
    for (Dispatch const* const d : all)
      if (d->ran) replicas.insert(d->replica);
    if (replicas.size() > static_cast<std::size_t>(limits_.maxAttempts))
      violation("tries", describe(observation) + " ran at too many replicas");
  }

  void checkDispatch(CallerObservation const& observation, Dispatch const& d) {
    if (d.method != "POST" || d.target != observation.target)
      violation("as-sent", describe(observation) + " reached " + d.target);
    for (auto const& [name, value] : forwardedFields(observation))
      if (http::headerValue(d.fields, name) != value)
        violation("as-sent", describe(observation) + " has " + name + ": " + http::headerValue(d.fields, name));
    if (d.bodyComplete && d.body != observation.body)
      violation("as-sent", describe(observation) + " has another body: " + difference(d.body, observation.body));
    checkTimeLeft(observation, d);
    checkFraming(observation, d);
    if (observation.disconnectedAt == 0) return;
    core::Milliseconds const last = d.slow ? d.at : std::max(d.at, d.lastByteAt);
    if (last > observation.disconnectedAt + disconnectGraceMs + lag_(observation.disconnectedAt, last))
      violation("gone", describe(observation) + " reached a replica " +
                            std::to_string(last - observation.disconnectedAt) + " ms after its caller disconnected");
    if (d.slow || d.respondedAt != 0 || !d.bodyComplete) return;
    core::Milliseconds const closed = d.closedAt == 0 ? record_.endedAt : d.closedAt;
    if (closed > observation.disconnectedAt + disconnectGraceMs + lag_(observation.disconnectedAt, closed))
      violation("gone", describe(observation) + " was still processed after its caller disconnected: " + name(d.fault));
  }

  void checkFraming(CallerObservation const& observation, Dispatch const& d) {
    bool const slowCaller = observation.request.behaviour == CallerBehaviour::slowRead;
    if (d.fault != Fault::endlessFraming || !d.bodyComplete || slowCaller) return;
    core::Milliseconds const closed = d.closedAt == 0 ? record_.endedAt : d.closedAt;
    if (closed > d.lastByteAt + framingGraceMs + lag_(d.lastByteAt, closed))
      violation("framing", describe(observation) + " kept a connection " + std::to_string(closed - d.lastByteAt) +
                               " ms whose replica sends framing without end");
  }

  void checkTimeLeft(CallerObservation const& observation, Dispatch const& d) {
    if (observation.connectionFreeAt == 0) return;
    core::Milliseconds const since = std::max(observation.startedAt, observation.connectionFreeAt);
    core::Milliseconds const sentTimeLeft =
        std::strtoll(http::headerValue(d.fields, wire::timeLeft).c_str(), nullptr, 10);
    core::Milliseconds const bound =
        std::min<core::Milliseconds>(observation.request.callerTimeoutMs, limits_.deadlineMs) - (d.at - since);
    if (sentTimeLeft > std::max<core::Milliseconds>(bound, 1) + timeSlackMs + lag_(since, d.at))
      violation("time-left", describe(observation) + " was sent with " + std::to_string(sentTimeLeft) + " ms of " +
                                 std::to_string(bound));
  }

  void checkResponseTime(CallerObservation const& observation) {
    if (observation.sentAt == 0 || observation.request.behaviour == CallerBehaviour::slowRead ||
        observation.request.behaviour == CallerBehaviour::halfClose)
      return;
    core::Milliseconds const since = std::max(observation.sentAt, observation.connectionFreeAt);
    core::Milliseconds const bound =
        since + std::min<core::Milliseconds>(observation.request.callerTimeoutMs, limits_.deadlineMs) + responseGraceMs;
    core::Milliseconds const sentTimeLeft = observation.headAt != 0 ? observation.headAt : observation.endedAt;
    if (observation.connectionFreeAt != 0 && sentTimeLeft > bound + lag_(since, sentTimeLeft))
      violation("held", describe(observation) + " got its response " +
                            std::to_string(sentTimeLeft - bound + responseGraceMs) + " ms too late");
  }

  Record const& record_;
  RouteLimits const& limits_;
  std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag_;
  std::map<std::string, std::vector<Dispatch const*>> byAttempt_;
  std::map<std::string, Dispatch const*> bySeal_;
  std::vector<Violation> out_;
};

}  // namespace

std::vector<Violation> checkRecord(
    Record const& record, RouteLimits const& limits,
    std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag) {
  return RecordChecker(record, limits, lag).run();
}

}  // namespace corkward::fuzz
