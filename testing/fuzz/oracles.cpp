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
constexpr core::Milliseconds timeSlackMs = 100;
constexpr core::Milliseconds answerGraceMs = 250;
constexpr std::array<int, 4> notRunStatuses{408, 421, 429, 503};

constexpr std::size_t shownBytes = 60;

bool repeatable(Route route) {
  return route == Route::safe || route == Route::eventStream;
}

bool isEventStream(Route route) {
  return route == Route::eventStream || route == Route::tell;
}

bool beginsWith(std::string const& text, std::string const& start) {
  return text.compare(0, start.size(), start) == 0;
}

/// Fields that must reach the replica as the caller has sent them.
http::HeaderList carried(CallerObservation const& observation) {
  http::HeaderList out = wire::callerFields();
  out.emplace_back("host", wire::host);
  out.emplace_back(ownField, observation.attempt);
  out.emplace_back(wire::attempt, observation.attempt);
  return out;
}

std::string shown(std::string const& got, std::string const& want) {
  auto const at = static_cast<std::size_t>(
      std::mismatch(got.begin(), got.begin() + static_cast<std::ptrdiff_t>(std::min(got.size(), want.size())),
                    want.begin())
          .first -
      got.begin());
  return std::to_string(got.size()) + " bytes of " + std::to_string(want.size()) + ", differing at " +
         std::to_string(at) + ": " + got.substr(at, shownBytes);
}

/// Checks the record of one scenario.
class RecordChecker {
 public:
  RecordChecker(Record const& record, Terms const& terms,
                std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag)
      : record_(record), terms_(terms), lag_(lag) {
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
      answer(observation, all);
      checkRuns(observation, all);
      for (Dispatch const* const d : all) checkDispatch(observation, *d);
      checkAnswerTime(observation);
    }
    for (Dispatch const& d : record_.dispatches)
      if (knownAttempts.count(d.attempt) == 0) broken("as-sent", "nobody asked for " + d.attempt);
    for (std::string const& bytes : record_.unsolicited) broken("own-answer", "bytes without a request: " + bytes);
    return std::move(out_);
  }

 private:
  void broken(char const* oracle, std::string what) { out_.push_back(Violation{oracle, std::move(what)}); }

  std::string about(CallerObservation const& observation) const {
    return observation.attempt + " (" + name(observation.request.route) + ", " + name(observation.request.manner) + ")";
  }

  void answer(CallerObservation const& observation, std::vector<Dispatch const*> const& all) {
    if (observation.status == 0) return;
    std::string const seal = http::headerValue(observation.fields, wire::seal);
    auto const found = bySeal_.find(seal);
    Dispatch const* const run = seal.empty() || found == bySeal_.end() ? nullptr : found->second;
    bool const success = observation.status >= 200 && observation.status < 300;
    if (success && (run == nullptr || run->attempt != observation.attempt)) {
      broken("own-answer", about(observation) + " has the seal \"" + seal + "\"");
      return;
    }
    if (!success && !seal.empty() && run == nullptr) broken("own-answer", about(observation) + " has an unknown seal");
    if (run == nullptr) return;
    if (run->status != observation.status)
      broken("status",
             about(observation) + " has " + std::to_string(observation.status) + " for " + std::to_string(run->status));
    if (success && isEventStream(observation.request.route))
      events(observation, all);
    else if (observation.complete && (!run->framedComplete || observation.got != run->framed))
      broken("own-answer", about(observation) + " looks whole after " + name(run->fault) + ": " +
                               shown(observation.got, run->framed));
    else if (!beginsWith(run->framed, observation.got))
      broken("own-answer", about(observation) + " has other bytes after " + name(run->fault) + ": " +
                               shown(observation.got, run->framed));
  }

  void events(CallerObservation const& observation, std::vector<Dispatch const*> const& all) {
    bool const own = beginsWith(observation.events, observation.got);
    bool const ends = std::any_of(all.begin(), all.end(), [&](Dispatch const* const d) {
      return d->framedComplete && observation.got.size() >= d->framed.size() &&
             observation.got.compare(observation.got.size() - d->framed.size(), std::string::npos, d->framed) == 0;
    });
    if (!own)
      broken("own-answer", about(observation) + " has other events: " + shown(observation.got, observation.events));
    if (own && observation.complete && observation.got != observation.events && !ends)
      broken("own-answer", about(observation) + " looks whole: " + shown(observation.got, observation.events));
  }

  void checkRuns(CallerObservation const& observation, std::vector<Dispatch const*> const& all) {
    std::size_t const ran =
        static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](Dispatch const* const d) { return d->ran; }));
    std::string faults;
    for (Dispatch const* const d : all) faults += std::string(" ") + name(d->fault);
    if (!repeatable(observation.request.route) && ran > 1)
      broken("once", about(observation) + " ran " + std::to_string(ran) + " times:" + faults);
    bool const promise =
        std::find(notRunStatuses.begin(), notRunStatuses.end(), observation.status) != notRunStatuses.end();
    if (!repeatable(observation.request.route) && ran > 0 && promise)
      broken("promise", about(observation) + " was told " + std::to_string(observation.status) + " and ran:" + faults);
    std::set<std::size_t> replicas;
    for (Dispatch const* const d : all)
      if (d->ran) replicas.insert(d->replica);
    if (replicas.size() > static_cast<std::size_t>(terms_.maxAttempts))
      broken("tries", about(observation) + " ran at too many");
  }

  void checkDispatch(CallerObservation const& observation, Dispatch const& d) {
    if (d.method != "POST" || d.target != observation.target)
      broken("as-sent", about(observation) + " reached " + d.target);
    for (auto const& [name, value] : carried(observation))
      if (http::headerValue(d.fields, name) != value)
        broken("as-sent", about(observation) + " has " + name + ": " + http::headerValue(d.fields, name));
    if (d.bodyComplete && d.body != observation.body)
      broken("as-sent", about(observation) + " has another body: " + shown(d.body, observation.body));
    checkTimeLeft(observation, d);
    if (observation.leftAt == 0) return;
    core::Milliseconds const last = d.slow ? d.at : std::max(d.at, d.lastByteAt);
    if (last > observation.leftAt + disconnectGraceMs + lag_(observation.leftAt, last))
      broken("gone", about(observation) + " reached a replica " + std::to_string(last - observation.leftAt) +
                         " ms after its caller left");
    if (d.slow || d.answeredAt != 0 || !d.bodyComplete) return;
    core::Milliseconds const closed = d.closedAt == 0 ? record_.endedAt : d.closedAt;
    if (closed > observation.leftAt + disconnectGraceMs + lag_(observation.leftAt, closed))
      broken("gone", about(observation) + " was worked on after its caller left: " + name(d.fault));
  }

  void checkTimeLeft(CallerObservation const& observation, Dispatch const& d) {
    if (observation.freeAt == 0) return;
    core::Milliseconds const since = std::max(observation.startedAt, observation.freeAt);
    core::Milliseconds const sentTimeLeft =
        std::strtoll(http::headerValue(d.fields, wire::timeLeft).c_str(), nullptr, 10);
    core::Milliseconds const bound =
        std::min<core::Milliseconds>(observation.request.callerTimeoutMs, terms_.deadlineMs) - (d.at - since);
    if (sentTimeLeft > std::max<core::Milliseconds>(bound, 1) + timeSlackMs + lag_(since, d.at))
      broken("time-left",
             about(observation) + " was sent with " + std::to_string(sentTimeLeft) + " ms of " + std::to_string(bound));
  }

  void checkAnswerTime(CallerObservation const& observation) {
    if (observation.sentAt == 0 || observation.request.manner == Manner::slowRead ||
        observation.request.manner == Manner::halfClose)
      return;
    core::Milliseconds const since = std::max(observation.sentAt, observation.freeAt);
    core::Milliseconds const bound =
        since + std::min<core::Milliseconds>(observation.request.callerTimeoutMs, terms_.deadlineMs) + answerGraceMs;
    core::Milliseconds const sentTimeLeft = observation.headAt != 0 ? observation.headAt : observation.endedAt;
    if (observation.freeAt != 0 && sentTimeLeft > bound + lag_(since, sentTimeLeft))
      broken("held", about(observation) + " was held " + std::to_string(sentTimeLeft - bound + answerGraceMs) +
                         " ms past its time");
  }

  Record const& record_;
  Terms const& terms_;
  std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag_;
  std::map<std::string, std::vector<Dispatch const*>> byAttempt_;
  std::map<std::string, Dispatch const*> bySeal_;
  std::vector<Violation> out_;
};

}  // namespace

std::vector<Violation> checkRecord(
    Record const& record, Terms const& terms,
    std::function<core::Milliseconds(core::Milliseconds, core::Milliseconds)> const& lag) {
  return RecordChecker(record, terms, lag).run();
}

}  // namespace corkward::fuzz
