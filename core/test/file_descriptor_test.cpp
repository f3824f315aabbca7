#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>
#include <utility>

#include <corkward/core/file_descriptor.h>

using corkward::core::FileDescriptor;

namespace {

bool isOpen(int descriptor) {
  return ::fcntl(descriptor, F_GETFD) >= 0;
}

}  // namespace

TEST_CASE("a file descriptor is closed exactly once, by the object that owns it last") {
  int const number = ::dup(STDERR_FILENO);
  REQUIRE(number >= 0);
  {
    FileDescriptor first(number);
    CHECK(first.get() == number);
    FileDescriptor second(std::move(first));
    CHECK(second.isOpen());
    first = std::move(second);
    CHECK(isOpen(number));
  }
  CHECK_FALSE(isOpen(number));
}

TEST_CASE("reset closes the previously owned descriptor") {
  int const before = ::dup(STDERR_FILENO);
  int const after = ::dup(STDERR_FILENO);
  FileDescriptor descriptor(before);
  descriptor.reset(after);
  CHECK_FALSE(isOpen(before));
  CHECK(descriptor.get() == after);
  descriptor.reset();
  CHECK_FALSE(isOpen(after));
  CHECK_FALSE(descriptor.isOpen());
  CHECK_FALSE(FileDescriptor().isOpen());
}
