#pragma once

#include <string_view>

namespace corkward::core {

/// Lets writes to standard output and standard error fail, in place of waiting, while a pipe or a terminal has no room.
/// Other processes that share the stream are not affected. Without effect on a stream of another kind, or one that
/// cannot be opened anew.
void makeStandardStreamsNonBlocking();

/// Writes to a descriptor as much as there is room for, without waiting. Returns whether that was everything.
bool writeWithoutWaiting(int descriptor, std::string_view bytes);

}  // namespace corkward::core
