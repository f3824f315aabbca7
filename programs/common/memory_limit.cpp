#include "memory_limit.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

namespace corkward::programs {

namespace {

std::uint64_t softLimit(__rlimit_resource resource) {
  rlimit limit{};
  if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return unlimitedMemory;
  return limit.rlim_cur;
}

/// Returns the path of the process's control group, below the root of the hierarchy; empty if there is none.
std::string groupPath() {
  std::ifstream file("/proc/self/cgroup");
  std::string const unified = "0::/";
  std::string line;
  while (std::getline(file, line))
    if (line.rfind(unified, 0) == 0) return line.substr(unified.size());
  return "";
}

/// Returns the lowest limit of the group and of the groups around it.
std::uint64_t groupLimit() {
  std::filesystem::path const root = "/sys/fs/cgroup";
  std::uint64_t lowest = unlimitedMemory;
  std::filesystem::path group = groupPath();
  while (!group.empty()) {
    std::ifstream file(root / group / "memory.max");
    std::uint64_t limit = 0;
    if (file >> limit) lowest = std::min(lowest, limit);
    group = group.parent_path();
  }
  return lowest;
}

/// Returns how much may be resident until a limit of what is mapped is reached, if only resident memory is added.
std::uint64_t residentWithin(std::uint64_t limit, std::uint64_t mapped, std::uint64_t resident) {
  if (limit == unlimitedMemory) return unlimitedMemory;
  std::uint64_t const unused = mapped - std::min(mapped, resident);
  return limit - std::min(limit, unused);
}

}  // namespace

MemoryLimits memoryLimits() {
  return {softLimit(RLIMIT_AS), softLimit(RLIMIT_DATA), groupLimit()};
}

MemoryUse memoryUse() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t mapped = 0;
  std::uint64_t resident = 0;
  std::uint64_t shared = 0;
  std::uint64_t text = 0;
  std::uint64_t libraries = 0;
  std::uint64_t data = 0;
  file >> mapped >> resident >> shared >> text >> libraries >> data;
  auto const pageBytes = static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
  return {mapped * pageBytes, data * pageBytes, resident * pageBytes};
}

std::uint64_t memoryWithin(std::uint64_t stated, MemoryLimits const& limits, MemoryUse const& use) {
  std::uint64_t const withinSpace = residentWithin(limits.addressSpace, use.mapped, use.resident);
  std::uint64_t const withinData = residentWithin(limits.data, use.data, use.resident);
  return std::min({stated, limits.group, withinSpace, withinData});
}

}  // namespace corkward::programs
