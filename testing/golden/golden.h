#pragma once

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

/// Golden files: data that an earlier release wrote, stored as text beside the tests. Formats on the wire, on disk and
/// of HTTP endpoints must not change by accident, so tests compare the current output with the recorded one.
///
/// CORKWARD_RECORD_GOLDEN=1 overwrites the files and still lets the test fail. Use it only for an intended change of
/// the format, and give the reason in the commit.
namespace corkward::golden {

/// Returns the path of a golden file. The name is relative to the root of the sources.
inline std::string path(std::string const& name) {
  return std::string(CORKWARD_SOURCE) + "/" + name;
}

/// Returns the content of a golden file. Fails the test if the file does not exist.
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
