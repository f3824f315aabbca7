#include <catch2/catch.hpp>

#include "http/src/memory_cost.h"

namespace core = corkward::core;
namespace http = corkward::http;

namespace {

constexpr std::uint64_t megabyte = 1U << 20;

/// A request as ordinary clients send it.
http::Request ordinaryRequest() {
  http::Request request;
  request.target = "/look/card";
  request.headers = {{"host", "study.example"}, {"content-length", "800"}, {"x-attempt", "9c41d07be2a35f68"}};
  request.body = std::string(800, 'b');
  return request;
}

}  // namespace

TEST_CASE("fixed costs of all connections leave a third of the account for requests") {
  for (std::uint64_t const limit : {30, 48, 110, 512}) {
    std::uint64_t const bytes = limit * megabyte;
    CHECK(http::connectionsWithin(bytes) * http::connectionBytes <= bytes * 2 / 3);
    CHECK(http::placesWithin(bytes) * http::connectionBytes > bytes / 3);
    CHECK(http::connectionsWithin(bytes) > http::placesWithin(bytes));
  }
}

TEST_CASE("an account of 110 MB has room for the connections of 4,100 descriptors") {
  CHECK(http::placesWithin(110 * megabyte) >= 1300);
}

TEST_CASE("an ordinary request is tiny, so that all of the account is open to it") {
  http::Request const request = ordinaryRequest();
  std::uint64_t const bytes = http::pendingBytesWithoutBody(request) + request.body.capacity();
  CHECK(http::sizeOfRequest(bytes) == core::HoldingSize::tiny);
}

// Guards against header fields that are charged with the bytes of their text alone.
TEST_CASE("a request of thousands of short fields costs many times their text") {
  http::Request request = ordinaryRequest();
  std::uint64_t const before = http::pendingBytesWithoutBody(request);
  for (int i = 0; i < 2000; ++i) request.headers[std::to_string(i)] = "";
  CHECK(http::pendingBytesWithoutBody(request) - before >= std::uint64_t{2000} * 112);
  CHECK(http::sizeOfRequest(http::pendingBytesWithoutBody(request)) == core::HoldingSize::small);
}

TEST_CASE("bodies of up to 128 KiB are small") {
  CHECK(http::sizeOfBody(http::smallBodyBytes) == core::HoldingSize::small);
  CHECK(http::sizeOfBody(http::smallBodyBytes + 1) == core::HoldingSize::large);
}
