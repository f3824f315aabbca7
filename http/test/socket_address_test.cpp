#include <catch2/catch.hpp>

#include <corkward/http/http_error.h>
#include <corkward/http/socket_address.h>

namespace http = corkward::http;

TEST_CASE("an address is an ip and a port of 0 to 65535") {
  std::optional<http::SocketAddress> const lowest = http::socketAddressOf("10.0.0.1:0");
  REQUIRE(lowest);
  CHECK((lowest->host == "10.0.0.1" && lowest->port == 0));
  std::optional<http::SocketAddress> const highest = http::socketAddressOf("10.0.0.1:65535");
  REQUIRE(highest);
  CHECK(highest->port == 65535);
  CHECK(http::parseSocketAddress("10.0.0.1:80").port == 80);
}

TEST_CASE("a text without an ip or a port in range is no address") {
  for (char const* const text :
       {"", ":", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:x", "night.example:80"}) {
    INFO(text);
    CHECK_FALSE(http::socketAddressOf(text));
    CHECK_THROWS_AS(http::parseSocketAddress(text), http::HttpError);
  }
}

TEST_CASE("the ip of an address is what stands before its last colon") {
  CHECK(http::hostOfAddress("10.0.0.1:80") == "10.0.0.1");
  CHECK(http::hostOfAddress("10.0.0.1") == "10.0.0.1");
}
