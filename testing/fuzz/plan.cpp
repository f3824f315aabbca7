#include "plan.h"

#include <QJsonArray>
#include <array>

#include <corkward/core/json.h>
#include <corkward/core/types.h>

namespace corkward::fuzz {

namespace {

constexpr std::array<char const*, faultCount> faultNames{
    "well",       "interim",   "early",           "surplus",       "surplus-late",  "two-answers",
    "other-id",   "bad-chunk", "truncated-event", "cut-answer",    "cut-reading",   "silence",
    "slow-write", "slow-read", "not-run",         "not-run-early", "false-promise", "failure",
    "unsealed",   "garbage",   "encoded",         "short-body",    "odd-head",      "endless-framing"};
constexpr std::array<char const*, callerBehaviourCount> behaviourNames{
    "stay", "leave", "leave-by-reset", "half-close", "pipeline", "again", "slow-send", "slow-read", "leave-sending"};
constexpr std::array<char const*, 4> routeNames{"safe", "once", "row", "tell"};
constexpr std::array<char const*, 3> framingNames{"length", "chunks", "till-end"};
constexpr std::array<char const*, 3> lineEndNames{"lf", "crlf", "cr"};

constexpr std::uint64_t maxRequests = 16;
constexpr std::uint64_t lanes = 6;
constexpr std::uint64_t maxStartMs = 700;
constexpr std::uint64_t largestBodyBytes = 700000;
constexpr std::uint64_t maxResponseBytes = 600000;

/// Faults that drawResponse() draws; the others are drawn apart, so that a seed keeps its other draws.
constexpr std::uint64_t drawnFaults = 23;
/// Share of the responses whose framing does not end.
constexpr double endlessShare = 0.04;

bool isEventStream(Route route) {
  return route == Route::resumableEvents || route == Route::nonResumableEvents;
}

std::uint32_t sizeOf(core::RandomGenerator& rng, std::uint64_t longest) {
  switch (rng.below(8)) {
    case 0:
      return 0;
    case 1:
      return static_cast<std::uint32_t>(rng.below(longest));
    case 2:
      return static_cast<std::uint32_t>(rng.below(70000));
    default:
      return static_cast<std::uint32_t>(rng.below(2000));
  }
}

ScriptedResponse drawResponse(core::RandomGenerator& rng, Route route) {
  ScriptedResponse out;
  out.fault = rng.chance(0.35) ? Fault::none : static_cast<Fault>(rng.below(drawnFaults));
  out.framing = static_cast<Framing>(rng.below(3));
  out.size = isEventStream(route) ? static_cast<std::uint32_t>(1 + rng.below(12)) : sizeOf(rng, maxResponseBytes);
  out.at = static_cast<std::uint32_t>(rng.below(4) == 0 ? rng.below(2) * 1000 : rng.below(1001));
  out.pauseMs = rng.chance(0.5) ? 0 : static_cast<int>(rng.below(120));
  out.reset = rng.chance(0.5);
  out.variant = static_cast<std::uint32_t>(rng.below(64));
  return out;
}

void drawEndlessFraming(Plan& plan) {
  core::RandomGenerator rng(core::stableHash("endless " + std::to_string(plan.seed)));
  for (CallerRequest& request : plan.requests)
    for (ScriptedResponse& response : request.responses)
      if (rng.chance(endlessShare)) response.fault = Fault::endlessFraming;
}

template <std::size_t size>
std::size_t indexOf(std::array<char const*, size> const& names, std::string const& text, char const* what) {
  for (std::size_t i = 0; i < size; ++i)
    if (text == names[i]) return i;
  throw PlanError(std::string("no such ") + what + ": " + text);
}

template <std::size_t size>
std::size_t read(std::array<char const*, size> const& names, QJsonObject const& from, char const* field) {
  QJsonValue const value = from.value(field);
  return value.isUndefined() ? 0 : indexOf(names, core::toStdString(value.toString()), field);
}

ScriptedResponse responseFromJson(QJsonObject const& from) {
  ScriptedResponse out;
  out.fault = static_cast<Fault>(read(faultNames, from, "fault"));
  out.framing = static_cast<Framing>(read(framingNames, from, "framing"));
  out.size = static_cast<std::uint32_t>(from.value("size").toInt(static_cast<int>(out.size)));
  out.at = static_cast<std::uint32_t>(from.value("at").toInt(static_cast<int>(out.at)));
  out.pauseMs = from.value("pauseMs").toInt();
  out.reset = from.value("reset").toBool();
  out.variant = static_cast<std::uint32_t>(from.value("variant").toInt());
  return out;
}

CallerRequest requestFromJson(QJsonObject const& from) {
  CallerRequest out;
  out.route = static_cast<Route>(read(routeNames, from, "route"));
  out.body = static_cast<std::uint32_t>(from.value("body").toInt());
  out.chunkedBody = from.value("chunkedBody").toBool();
  out.expectsContinue = from.value("expectsContinue").toBool();
  out.callerTimeoutMs = from.value("toldMs").toInt(out.callerTimeoutMs);
  out.lane = static_cast<std::size_t>(from.value("lane").toInt());
  out.startMs = from.value("startMs").toInt();
  out.behaviour = static_cast<CallerBehaviour>(read(behaviourNames, from, "manner"));
  out.leaveMs = from.value("leaveMs").toInt(out.leaveMs);
  out.eventFormat.lineEnd = static_cast<LineEnd>(read(lineEndNames, from, "lineEnd"));
  out.eventFormat.numbered = from.value("numbered").toBool(true);
  for (QJsonValue const a : from.value("answers").toArray()) out.responses.push_back(responseFromJson(a.toObject()));
  if (out.responses.empty()) out.responses.emplace_back();
  return out;
}

QJsonObject jsonOf(ScriptedResponse const& response) {
  return QJsonObject{{"fault", name(response.fault)},
                     {"framing", framingNames[static_cast<std::size_t>(response.framing)]},
                     {"size", static_cast<int>(response.size)},
                     {"at", static_cast<int>(response.at)},
                     {"pauseMs", response.pauseMs},
                     {"reset", response.reset},
                     {"variant", static_cast<int>(response.variant)}};
}

QJsonObject jsonOf(CallerRequest const& request) {
  QJsonArray responses;
  for (ScriptedResponse const& a : request.responses) responses.append(jsonOf(a));
  return QJsonObject{{"route", name(request.route)},
                     {"body", static_cast<int>(request.body)},
                     {"chunkedBody", request.chunkedBody},
                     {"expectsContinue", request.expectsContinue},
                     {"toldMs", request.callerTimeoutMs},
                     {"lane", static_cast<int>(request.lane)},
                     {"startMs", request.startMs},
                     {"manner", name(request.behaviour)},
                     {"leaveMs", request.leaveMs},
                     {"lineEnd", lineEndNames[static_cast<std::size_t>(request.eventFormat.lineEnd)]},
                     {"numbered", request.eventFormat.numbered},
                     {"answers", responses}};
}

}  // namespace

char const* name(Fault fault) {
  return faultNames[static_cast<std::size_t>(fault)];
}

char const* name(CallerBehaviour behaviour) {
  return behaviourNames[static_cast<std::size_t>(behaviour)];
}

char const* name(Route route) {
  return routeNames[static_cast<std::size_t>(route)];
}

Plan planOf(std::uint64_t seed) {
  // The seed is hashed because consecutive seeds of the generator give similar sequences.
  core::RandomGenerator rng(core::stableHash("plan " + std::to_string(seed)));
  Plan out;
  out.seed = seed;
  out.name = std::to_string(seed);
  out.refusedPerMille = rng.chance(0.2) ? 100 : 0;
  std::uint64_t const count = 4 + rng.below(maxRequests - 3);
  for (std::uint64_t i = 0; i < count; ++i) {
    CallerRequest request;
    request.route = static_cast<Route>(rng.below(4));
    request.body = sizeOf(rng, largestBodyBytes);
    request.chunkedBody = rng.chance(0.3);
    request.expectsContinue = rng.chance(0.1);
    request.callerTimeoutMs = 300 + static_cast<int>(rng.below(1000));
    request.lane = static_cast<std::size_t>(rng.below(lanes));
    request.startMs = static_cast<int>(rng.below(maxStartMs));
    request.behaviour =
        rng.chance(0.4) ? CallerBehaviour::stay : static_cast<CallerBehaviour>(rng.below(callerBehaviourCount));
    request.leaveMs = static_cast<int>(rng.below(rng.chance(0.5) ? 20 : 400));
    request.eventFormat = EventFormat{static_cast<LineEnd>(rng.below(lineEndNames.size())), rng.chance(0.8)};
    std::uint64_t const responses = 1 + rng.below(3);
    for (std::uint64_t a = 0; a < responses; ++a) request.responses.push_back(drawResponse(rng, request.route));
    out.requests.push_back(std::move(request));
  }
  drawEndlessFraming(out);
  return out;
}

Plan planOf(std::string const& name, QJsonObject const& file) {
  Plan out;
  out.name = name;
  out.seed = static_cast<std::uint64_t>(file.value("seed").toInt(1));
  out.refusedPerMille = static_cast<std::uint32_t>(file.value("refused").toInt());
  for (QJsonValue const a : file.value("asks").toArray()) out.requests.push_back(requestFromJson(a.toObject()));
  if (out.requests.empty()) throw PlanError(name + ": asks: missing");
  return out;
}

QJsonObject jsonOf(Plan const& plan) {
  QJsonArray requests;
  for (CallerRequest const& a : plan.requests) requests.append(jsonOf(a));
  return QJsonObject{{"seed", static_cast<qint64>(plan.seed)},
                     {"refused", static_cast<int>(plan.refusedPerMille)},
                     {"asks", requests}};
}

}  // namespace corkward::fuzz
