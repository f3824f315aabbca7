#include <corkward/core/descriptor_limit.h>

#include <algorithm>
#include <fcntl.h>
#include <sys/resource.h>

namespace corkward::core {

namespace {

/// Descriptors that are left to the rest of the process, and the part of a small limit that is.
constexpr std::uint64_t mostReserved = 64;
constexpr std::uint64_t reservedPart = 8;
/// The lowest limit that settings can ask for: descriptors of a process at rest in a fleet, and of some callers.
constexpr std::uint64_t lowestStatedLimit = 256;
/// Used where settings state no limit and the hard one is higher, since a process needs no more.
constexpr std::uint64_t highestLimit = 65536;
/// Descriptors that a process may still open where its limit was lowered below those that are open.
constexpr std::uint64_t spareDescriptors = 32;

/// Sets the limit in force, and leaves the hard limit.
void setLimitInForce(std::uint64_t inForce, std::uint64_t highest) {
  rlimit const limit{std::min(inForce, highest), highest};
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace

DescriptorLimits descriptorLimits() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return {};
  return {limit.rlim_cur, limit.rlim_max};
}

std::uint64_t descriptorReserve(std::uint64_t limit) {
  return std::min(mostReserved, limit / reservedPart);
}

bool isInDescriptorReserve(std::int64_t descriptor) {
  std::uint64_t const limit = descriptorLimits().inForce;
  return descriptor >= 0 && static_cast<std::uint64_t>(descriptor) + descriptorReserve(limit) >= limit;
}

DescriptorLimits applyDescriptorLimit(std::uint64_t stated) {
  DescriptorLimits const before = descriptorLimits();
  std::uint64_t const wanted =
      stated > 0 ? std::max(stated, lowestStatedLimit) : std::max(before.inForce, highestLimit);
  setLimitInForce(wanted, before.highest);
  return descriptorLimits();
}

std::uint64_t openDescriptorsBelow(std::uint64_t number) {
  std::uint64_t open = 0;
  for (std::uint64_t descriptor = 0; descriptor < number; ++descriptor)
    open += ::fcntl(static_cast<int>(descriptor), F_GETFD) != -1 ? 1 : 0;
  return open;
}

DescriptorLimits raiseDescriptorLimitAboveUse(std::uint64_t former) {
  DescriptorLimits const lowered = descriptorLimits();
  std::uint64_t const open = openDescriptorsBelow(former);
  if (lowered.inForce > open) return lowered;
  setLimitInForce(open + spareDescriptors, lowered.highest);
  return descriptorLimits();
}

}  // namespace corkward::core
