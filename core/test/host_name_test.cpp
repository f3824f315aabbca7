#include <catch2/catch.hpp>

#include <corkward/core/host_name.h>

using corkward::core::HostName;

TEST_CASE("spellings of one host name are equal, whatever their case, port and final dot") {
  for (char const* const spelling : {"night.example", "Night.example", "NIGHT.EXAMPLE", "night.example:8080",
                                     "Night.Example:", "night.example.", "NIGHT.example.:80"}) {
    INFO(spelling);
    CHECK(HostName(spelling) == HostName("night.example"));
    CHECK(HostName(spelling).text() == "night.example");
  }
}

TEST_CASE("names of different hosts differ") {
  for (char const* const other : {"", "night", "night.exampl", "night.example.org", "anight.example", "night..example",
                                  "night.example..", "night.example/", "n\xC4ight.example"}) {
    INFO(other);
    CHECK(HostName(other) != HostName("night.example"));
  }
}

TEST_CASE("only ASCII letters are lowered, so that a name keeps its other bytes") {
  CHECK(HostName("@[`{-_Z9").text() == "@[`{-_z9");
  CHECK(HostName("B\xC3\x9C.example").text() == "b\xC3\x9C.example");
}

TEST_CASE("the colons of an IP literal in brackets begin no port") {
  CHECK(HostName("[::1]").text() == "[::1]");
  CHECK(HostName("[FE80::A]:8161").text() == "[fe80::a]");
  CHECK(HostName("[::1]:80") != HostName("[::2]:80"));
  CHECK(HostName("[::1").text() == "[");
}

TEST_CASE("a spelling without a name is the empty name") {
  for (char const* const spelling : {"", ":", ":8080", ".", ".:80"}) {
    INFO(spelling);
    CHECK(HostName(spelling).empty());
  }
  CHECK(HostName().empty());
}

TEST_CASE("a normal form is one only of itself") {
  for (char const* const spelling : {"night.example", "[::1]", "x", ""}) CHECK(HostName::isNormalForm(spelling));
  for (char const* const spelling : {"Night.example", "night.example:80", "night.example.", ":80"}) {
    INFO(spelling);
    CHECK_FALSE(HostName::isNormalForm(spelling));
    CHECK(HostName::isNormalForm(HostName(spelling).text()));
  }
}
