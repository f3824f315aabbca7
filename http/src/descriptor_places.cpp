#include <corkward/http/descriptor_places.h>

#include <algorithm>

namespace corkward::http {

namespace {

/// File descriptors that are kept for files.
constexpr std::uint64_t fileDescriptors = 200;
/// Part of the others that clients' connections may take.
constexpr std::uint64_t clientParts = 3;
/// Places of a process with few descriptors.
constexpr std::uint64_t minPlaces = 16;

}  // namespace

int clientPlaces(std::uint64_t descriptors, int most) {
  std::uint64_t const places = (descriptors - std::min(descriptors, fileDescriptors)) / clientParts;
  std::uint64_t const bound = std::max(static_cast<std::uint64_t>(most), minPlaces);
  return static_cast<int>(std::clamp(places, minPlaces, bound));
}

}  // namespace corkward::http
