#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

/// Golden files: data that an earlier release has written, kept as text beside the tests. What is on the wire, on disk
/// and on pages must not change by accident, so a test compares what the code writes now with what was recorded.
///
/// CORKWARD_RECORD_GOLDEN=1 writes the files anew and lets the test fail all the same. That is right only when the form
/// itself is meant to change, which needs its reason in the commit.
namespace corkward::golden {

/// Path of a golden file, given from the root of the sources.
inline std::string path(std::string const& name) {
  return std::string(CORKWARD_SOURCE) + "/" + name;
}

/// Content of a golden file; fails the test when there is none.
inline std::string read(std::string const& name) {
  std::ifstream file(path(name), std::ios::binary);
  INFO("golden file " << name);
  REQUIRE(file.good());
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

inline std::vector<std::string> lines(std::string const& text) {
  std::istringstream stream(text);
  std::vector<std::string> result;
  for (std::string line; std::getline(stream, line);) result.push_back(line);
  return result;
}

/// Compares a text with the golden file line by line, so that a failure shows the first line that differs.
inline void check(std::string const& name, std::string const& actual) {
  char const* const record = std::getenv("CORKWARD_RECORD_GOLDEN");
  if (record != nullptr && std::string(record) == "1") {
    std::ofstream(path(name), std::ios::binary) << actual;
    FAIL("recorded " << name << "; run again without CORKWARD_RECORD_GOLDEN");
  }
  std::vector<std::string> const expected = lines(read(name));
  std::vector<std::string> const found = lines(actual);
  for (std::size_t i = 0; i < std::min(expected.size(), found.size()); ++i) {
    INFO(name << " line " << i + 1);
    REQUIRE(found[i] == expected[i]);
  }
  INFO(name);
  CHECK(found.size() == expected.size());
}

}  // namespace corkward::golden
