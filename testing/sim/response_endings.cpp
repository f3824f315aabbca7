/// The ways in which replicas end their responses. Some event streams have no framing, so that only the end of the
/// connection marks their end, and a replica that crashes breaks off within an event.
#include "internal.h"

namespace corkward::testing {

namespace {

/// One in this many event streams has no framing.
constexpr std::uint64_t unframedInterval = 3;

}  // namespace

std::string SimulatedCluster::eventText(Run const& run, int number, bool last) {
  return "id: " + std::to_string(number) + "\ndata: " + run.id + (last ? " end" : "") + "\n\n";
}

bool SimulatedCluster::endsWithConnection(Run const& run) {
  // Derived from the run's name in place of the common generator, whose sequence other faults use.
  return run.events && core::stableHash("framing " + run.run) % unframedInterval == 0;
}

void SimulatedCluster::sendEnd(Run const& run, core::BodyEnd end) {
  sendUpstreamEvent(run.node, run.incarnation, run.call, run.connectionId,
                    [end](dataplane::ResponseStream& stream) { return stream.onEnd(end); });
}

void SimulatedCluster::completeResponse(Run const& run) {
  sendEnd(run, endsWithConnection(run) ? core::BodyEnd::connectionClosed : core::BodyEnd::framed);
}

void SimulatedCluster::breakResponse(Run const& run) {
  if (!run.headSent || !endsWithConnection(run)) {
    sendEnd(run, core::BodyEnd::incomplete);
    return;
  }
  // A close between two events is not drawn: it looks like the end of the response.
  ++result_.counts["closed-within-event"];
  std::string const event = eventText(run, run.nextEvent, false);
  std::string const part = event.substr(0, 1 + core::stableHash("cut " + run.run) % (event.size() - 1));
  sendUpstreamEvent(run.node, run.incarnation, run.call, run.connectionId,
                    [part](dataplane::ResponseStream& stream) { return stream.onChunk(part); });
  sendEnd(run, core::BodyEnd::connectionClosed);
}

}  // namespace corkward::testing
