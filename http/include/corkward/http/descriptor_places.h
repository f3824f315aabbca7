#pragma once

#include <cstdint>

namespace corkward::http {

/// Returns how many connections of clients a process with that many file descriptors has places for: a third of those
/// that are not kept for its files, since each request in flight also needs a connection to a replica, and links, the
/// log and the other servers need descriptors too.
/// @param most result for a process with descriptors for more
int clientPlaces(std::uint64_t descriptors, int most);

}  // namespace corkward::http
