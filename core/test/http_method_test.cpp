#include <catch2/catch.hpp>

#include <corkward/core/http_method.h>

namespace core = corkward::core;
using core::HttpMethod;

TEST_CASE("the text of each method is parsed to the same method") {
  for (HttpMethod const method : {HttpMethod::get, HttpMethod::head, HttpMethod::post, HttpMethod::put,
                                  HttpMethod::patch, HttpMethod::del, HttpMethod::options})
    CHECK(core::httpMethodOf(core::name(method)) == method);
  CHECK(core::name(HttpMethod::del) == "DELETE");
}

TEST_CASE("an unknown method, or one in lower case, is parsed to no method") {
  for (char const* const text : {"", "get", "TRACE", "GETS", " GET"}) CHECK_FALSE(core::httpMethodOf(text));
}
