#include <catch2/catch.hpp>

#include <corkward/control/linearizable_reads.h>

namespace control = corkward::control;
namespace transport = corkward::transport;
using control::LinearizableReads;

namespace {

transport::OperatorCall callOf(std::uint64_t token) {
  transport::OperatorCall call;
  call.token = token;
  return call;
}

}  // namespace

TEST_CASE("a read is confirmed by a contact with a majority that began after it arrived") {
  LinearizableReads reads(800);
  reads.add(100, callOf(1));
  reads.add(200, callOf(2));
  CHECK(reads.takeCompleted(250, {}, false).empty());
  CHECK(reads.takeCompleted(250, 99, false).empty());
  std::vector<LinearizableReads::Completed> const first = reads.takeCompleted(250, 150, false);
  REQUIRE(first.size() == 1);
  CHECK(first[0].call.token == 1);
  CHECK(first[0].confirmed);
  CHECK(reads.size() == 1);
}

TEST_CASE("a read without confirmation fails after the timeout or when the controller drains") {
  LinearizableReads reads(800);
  reads.add(100, callOf(1));
  CHECK(reads.takeCompleted(900, {}, false).empty());
  std::vector<LinearizableReads::Completed> const late = reads.takeCompleted(901, {}, false);
  REQUIRE(late.size() == 1);
  CHECK_FALSE(late[0].confirmed);
  reads.add(1000, callOf(2));
  std::vector<LinearizableReads::Completed> const drained = reads.takeCompleted(1000, 1000, true);
  REQUIRE(drained.size() == 1);
  CHECK_FALSE(drained[0].confirmed);
}

TEST_CASE("the number of pending reads is bounded") {
  LinearizableReads reads(800);
  for (std::size_t read = 0; read < LinearizableReads::maxReads; ++read) reads.add(0, callOf(read));
  CHECK(reads.isFull());
}
