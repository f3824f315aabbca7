#pragma once

/// Handing owned keys over while this member drains.

#include <corkward/consensus/types.h>

namespace corkward::consensus {

class EventContext;
struct Replica;

/// Hands every owned key without a proposal over to the other available members in turn, if there are any.
void handOverOwnedKeys(EventContext& context);
/// Whether nothing is lost when this member ends now; see ReplicatedRegisters::handoverComplete.
bool isHandoverComplete(Replica const& replica, Milliseconds now);

}  // namespace corkward::consensus
