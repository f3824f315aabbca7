#pragma once

/// Handover of the owned keys while this member is draining.

#include <corkward/consensus/types.h>

namespace corkward::consensus {

class EventContext;
struct Replica;

/// Hands the owned keys that have no proposal in progress over to the other available members, round robin. Does
/// nothing if no other member is available.
void handOverOwnedKeys(EventContext& context);
/// Returns true if this member can end now without loss. See ReplicatedRegisters::handoverComplete.
bool isHandoverComplete(Replica const& replica, Milliseconds now);

}  // namespace corkward::consensus
