// The limit of open descriptors that is in force, and the descriptors that listeners leave to the rest of a process.
#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <corkward/core/descriptor_limit.h>

namespace core = corkward::core;

namespace {

/// Restores the soft limit when the test ends.
class SoftLimit {
 public:
  explicit SoftLimit(rlim_t soft) {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &previous_) == 0);
    rlimit const limit{soft, previous_.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~SoftLimit() { ::setrlimit(RLIMIT_NOFILE, &previous_); }
  SoftLimit(SoftLimit const&) = delete;
  SoftLimit& operator=(SoftLimit const&) = delete;
  SoftLimit(SoftLimit&&) = delete;
  SoftLimit& operator=(SoftLimit&&) = delete;

 private:
  rlimit previous_{};
};

constexpr rlim_t softLimit = 300;

}  // namespace

/// Guards against a process that has fewer descriptors than its settings state although the system allows them.
TEST_CASE("the limit in force becomes the stated one") {
  SoftLimit const soft(softLimit);
  REQUIRE(core::descriptorLimits().highest > 1000);
  CHECK(core::applyDescriptorLimit(1000).inForce == 1000);
  CHECK(core::descriptorLimits().inForce == 1000);
}

TEST_CASE("the limit in force is at most the hard one") {
  SoftLimit const soft(softLimit);
  std::uint64_t const highest = core::descriptorLimits().highest;
  CHECK(core::applyDescriptorLimit(highest + 1).inForce == highest);
}

TEST_CASE("without a stated limit the one in force is raised and never lowered") {
  SoftLimit const soft(softLimit);
  CHECK(core::applyDescriptorLimit(0).inForce > softLimit);
  std::uint64_t const raised = core::descriptorLimits().inForce;
  CHECK(core::applyDescriptorLimit(0).inForce == raised);
}

TEST_CASE("a stated limit that is too small to run with is not set") {
  SoftLimit const soft(softLimit);
  CHECK(core::applyDescriptorLimit(10).inForce >= 256);
}

/// Guards against an event loop that spins, since its descriptors are more than the limit.
TEST_CASE("a limit that was lowered below the open descriptors is raised above them") {
  std::uint64_t const former = core::descriptorLimits().inForce;
  std::uint64_t const open = core::openDescriptorsBelow(former);
  REQUIRE(open >= 3);
  SoftLimit const soft(open - 1);
  CHECK(core::raiseDescriptorLimitAboveUse(former).inForce == open + 32);
}

TEST_CASE("a limit that was lowered and is above the open descriptors stays") {
  SoftLimit const soft(softLimit);
  CHECK(core::raiseDescriptorLimitAboveUse(softLimit).inForce == softLimit);
}

TEST_CASE("the last descriptors of a process are its reserve") {
  SoftLimit const soft(1024);
  CHECK(core::descriptorReserve(1024) == 64);
  CHECK(core::descriptorReserve(256) == 32);
  CHECK_FALSE(core::isInDescriptorReserve(1024 - 65));
  CHECK(core::isInDescriptorReserve(1024 - 64));
  CHECK(core::isInDescriptorReserve(2000));
  CHECK_FALSE(core::isInDescriptorReserve(-1));
}
