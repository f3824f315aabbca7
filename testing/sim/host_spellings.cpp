/// Fleet configurations and requests that spell one host in different ways, and the checks that every router finds the
/// route by each spelling and that no configuration gives one host and prefix to two paths.
#include <algorithm>
#include <array>
#include <variant>

#include <corkward/config/config.h>
#include <corkward/core/host_name.h>
#include <corkward/core/json.h>

#include "internal.h"

namespace corkward::testing {

namespace {

constexpr std::array<char const*, 5> spellings{"h", "H", "h:8080", "H.", "h."};
constexpr int notFound = 404;

QString spelling(std::uint64_t number) {
  return spellings[number % spellings.size()];
}

std::string routePrefix(std::uint64_t version) {
  return "/v" + std::to_string(version) + "/";
}

QJsonObject pathOf(char const* name, QString const& host, std::string const& prefix) {
  return QJsonObject{{"name", name},   {"host", host},       {"prefix", core::toQString(prefix)},
                     {"kind", "once"}, {"deadlineMs", 3000}, {"pool", "wide"}};
}

bool rejectsAsNotFound(dataplane::RouterCommands const& commands) {
  return std::any_of(commands.calls.begin(), commands.calls.end(), [](dataplane::CallCommand const& command) {
    dataplane::Reject const* const reject = std::get_if<dataplane::Reject>(&command);
    return reject != nullptr && reject->status == notFound;
  });
}

}  // namespace

QJsonArray SimulatedCluster::respelledPaths(std::uint64_t version) const {
  return {pathOf("p", spelling(version), "/a/"), pathOf("v", spelling(version + 1), routePrefix(version))};
}

QJsonObject SimulatedCluster::conflictingPath(std::uint64_t version) const {
  bool const isDefective = plan_.mutation == Mutation::distinctHosts;
  return pathOf("conflicting", isDefective ? QString("other") : spelling(version + 2), routePrefix(version));
}

void SimulatedCluster::probeHostSpellings(Node& n) {
  if (!n.alive || !n.data) return;
  auto const version = committedVersions_.find(n.data->revisionOf(config::fleetConfigurationKey));
  if (version == committedVersions_.end()) return;
  for (char const* const host : spellings) {
    dataplane::Request request;
    request.call = nextCall_++;
    request.host = core::HostName(plan_.mutation == Mutation::distinctHosts ? "other" : host);
    request.target = routePrefix(version->second) + "x";
    dataplane::RouterCommands commands = n.data->onRequest(local(n), request);
    ++result_.counts["host-spellings-probed"];
    if (rejectsAsNotFound(commands))
      violation("a router has no route for a spelling of the host: " + n.link + ", " + host + request.target);
    run(n, std::move(commands));
    run(n, n.data->onCallerDisconnected(local(n), request.call));
  }
}

}  // namespace corkward::testing
