#include <catch2/catch.hpp>

#include "memory_limit.h"
#include "process_memory.h"

namespace programs = corkward::programs;

namespace {

constexpr std::uint64_t megabyte = 1U << 20;

}  // namespace

// Guards against an account that leaves a process with little memory too little for itself.
TEST_CASE("the account is half of a process's memory, or what 48 MB for the process itself leave") {
  CHECK(programs::accountLimit(0) == 512 * megabyte);
  CHECK(programs::accountLimit(220 * megabyte) == 110 * megabyte);
  CHECK(programs::accountLimit(96 * megabyte) == 48 * megabyte);
  CHECK(programs::accountLimit(78 * megabyte) == 30 * megabyte);
  CHECK(programs::accountLimit(40 * megabyte) == 5 * megabyte);
}

// Guards against a process that takes what its settings state although the operating system lets it have less.
TEST_CASE("the memory of a process is the least of what is stated and what the operating system enforces") {
  using programs::memoryWithin;
  using programs::unlimitedMemory;
  constexpr programs::MemoryUse use{61 * megabyte, 1 * megabyte, 17 * megabyte};
  CHECK(memoryWithin(220 * megabyte, {}, use) == 220 * megabyte);
  CHECK(memoryWithin(220 * megabyte, {.group = 100 * megabyte}, use) == 100 * megabyte);
  CHECK(memoryWithin(220 * megabyte, {.group = 500 * megabyte}, use) == 220 * megabyte);
  CHECK(memoryWithin(220 * megabyte, {.addressSpace = 220 * megabyte}, use) == 176 * megabyte);
  CHECK(memoryWithin(220 * megabyte, {.addressSpace = 40 * megabyte}, use) == 0);
  CHECK(memoryWithin(220 * megabyte, {.data = 110 * megabyte}, use) == 110 * megabyte);
  CHECK(memoryWithin(unlimitedMemory, {}, use) == unlimitedMemory);
}
