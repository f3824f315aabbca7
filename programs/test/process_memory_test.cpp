#include <catch2/catch.hpp>

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
