#include "memory_cost.h"

#include <algorithm>

namespace corkward::http {

namespace {

/// Part of the account that the fixed costs of connections with a place may take.
constexpr std::uint64_t placesParts = 2;
/// Connections that are about to be closed, as a part of the places.
constexpr std::uint64_t closingParts = 4;
/// An account without a meaningful limit still has this number of places.
constexpr std::uint64_t minPlaces = 8;
constexpr std::uint64_t maxPlaces = 1U << 20;

/// A field of a HeaderMap, beside texts that are too long to be stored within it.
constexpr std::uint64_t fieldBytes = 128;
/// Longest text that is stored within a std::string, and what a longer one takes beside its length.
constexpr std::size_t shortTextBytes = 15;
constexpr std::uint64_t textOverheadBytes = 32;
/// What the owner of a request derives from its head, in multiples of its length: texts that are copied, and lists that
/// are parsed from them, such as parts of a prompt.
constexpr std::uint64_t derivedFactor = 8;

std::uint64_t textBytes(std::string const& text) {
  return text.size() <= shortTextBytes ? 0 : text.size() + textOverheadBytes;
}

}  // namespace

std::uint64_t pendingHeadBytes(std::string const& target, HeaderMap const& headers) {
  std::uint64_t bytes = textBytes(target);
  std::uint64_t length = target.size();
  for (auto const& [name, value] : headers) {
    bytes += fieldBytes + textBytes(name) + textBytes(value);
    length += name.size() + value.size();
  }
  return bytes + derivedFactor * length;
}

std::uint64_t pendingBytesWithoutBody(Request const& request) {
  std::uint64_t const slice =
      request.body.size() <= unreservedBodyBytes ? 0 : std::min<std::uint64_t>(request.body.size(), bodySliceBytes);
  return pendingRequestBytes + pendingHeadBytes(request.target, request.headers) + slice;
}

core::HoldingSize sizeOfRequest(std::uint64_t bytes) {
  return bytes <= tinyRequestBytes ? core::HoldingSize::tiny : core::HoldingSize::small;
}

core::HoldingSize sizeOfBody(std::uint64_t bytes) {
  return bytes <= smallBodyBytes ? core::HoldingSize::small : core::HoldingSize::large;
}

std::size_t placesWithin(std::uint64_t accountLimit) {
  std::uint64_t const places = accountLimit / placesParts / connectionBytes;
  return static_cast<std::size_t>(std::clamp(places, minPlaces, maxPlaces));
}

std::size_t connectionsWithin(std::uint64_t accountLimit) {
  std::size_t const places = placesWithin(accountLimit);
  return places + places / closingParts;
}

}  // namespace corkward::http
