#include <catch2/catch.hpp>

#include <QJsonArray>
#include <functional>

#include <corkward/core/error.h>
#include <corkward/core/journal.h>
#include <corkward/core/json.h>
#include <corkward/core/guarantees.h>
#include <corkward/core/types.h>

namespace core = corkward::core;

TEST_CASE("merge patch follows RFC 7396") {
  struct MergeCase {
    char const* target;
    char const* patch;
    char const* expected;
  };
  constexpr MergeCase cases[] = {{R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
                                 {R"({"a":"b"})", R"({"a":null})", R"({})"},
                                 {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
                                 {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
                                 {R"({"e":null})", R"({"a":1})", R"({"a":1,"e":null})"},
                                 {R"([1,2])", R"({"a":"b","c":null})", R"({"a":"b"})"},
                                 {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"}};
  for (MergeCase const& c : cases)
    CHECK(core::jsonText(core::mergePatch(core::parseJson(c.target), core::parseJson(c.patch))) == c.expected);
}

TEST_CASE("text that is not valid JSON, duplicate keys, and too deep nesting are rejected") {
  for (char const* text : {"", "{", "{\"a\":1,\"a\":2}", "[1,]", "nul", "{\"a\":18446744073709551615}", "\"\xff\""})
    CHECK_THROWS_AS(core::parseJson(text), core::JsonError);
  std::string deep(40, '[');
  deep += std::string(40, ']');
  CHECK_THROWS_AS(core::parseJson(deep), core::JsonError);
}

TEST_CASE("valid JSON keeps its values when it is parsed and written, and invalid JSON is rejected") {
  struct ParseCase {
    char const* text;
    char const* expected;
  };
  constexpr ParseCase cases[] = {
      {"7", "7"},
      {" \"x\" ", "\"x\""},
      {"null", "null"},
      {"[9223372036854775807,-9223372036854775808]", "[9223372036854775807,-9223372036854775808]"},
      {R"({"b":[{},[],true,null,0.5],"a":"\u00e9\n"})", R"({"a":"é\n","b":[{},[],true,null,0.5]})"}};
  for (ParseCase const& c : cases) CHECK(core::jsonText(core::parseJson(c.text)) == c.expected);
  CHECK(core::parseJson("[3.0]").toArray().first().toInteger() == 3);
  CHECK(core::parseJson("[1e2]").toArray().first().toInteger() == 100);
  for (char const* text : {R"({"a":1,"\u0061":2})", R"([{"x":{"a":1,"b":2,"a":3}}])", "[18446744073709551615]", "1 2",
                           "{}]", "\xef\xbb\xbf{", "],["})
    CHECK_THROWS_AS(core::parseJson(text), core::JsonError);
  CHECK(core::parseJson(std::string(32, '[') + std::string(32, ']')).isArray());
  CHECK_THROWS_AS(core::parseJson(std::string(34, '[') + std::string(34, ']')), core::JsonError);
}

// Guards against large texts being rejected as too many values, because commas and colons within strings were counted.
TEST_CASE("separators within strings do not count as values") {
  std::string const separators(2000000, ',');
  CHECK(core::parseJson("[\"" + separators + "\"]").toArray().first().toString().size() == 2000000);
  std::string escapes;
  for (int i = 0; i < 1000000; ++i) escapes += "\\\",";
  CHECK(core::parseJson("[\"" + escapes + "\"]").toArray().first().toString().size() == 2000000);
  std::string const endsWithBackslash = "[1,\"a,b\\\\\",2]";
  std::string const threeNumbers = "[1,2,3]";
  CHECK(core::estimateJsonMemory(endsWithBackslash) - endsWithBackslash.size() ==
        core::estimateJsonMemory(threeNumbers) - threeNumbers.size());

  std::string values = "[1";
  for (int i = 0; i < 2000000; ++i) values += ",1";
  CHECK_THROWS_AS(core::parseJson(values + "]"), core::JsonError);
}

TEST_CASE("names get dense indices, and the journal keeps a bounded number of entries") {
  core::InternedNames names;
  CHECK(names.intern("a") == 0);
  CHECK(names.intern("b") == 1);
  CHECK(names.intern("a") == 0);
  CHECK_THROWS_AS(names.name(2), core::InvariantError);
  core::Journal j(8);
  for (int i = 0; i < 100; ++i) j.append(i, "x", "y");
  CHECK(j.size() == 8);
  CHECK(j.reduce(std::uint64_t{0}, [](std::uint64_t, core::JournalEntry const& e) { return e.number; }) == 100);
  CHECK(j.counts().at("x") == 100);
}

TEST_CASE("a violated guarantee is counted and reported once, and the process goes on") {
  core::GuaranteeCounts& counts = core::GuaranteeCounts::ofThread();
  std::uint64_t const before = counts.count(core::Guarantee::runsOnce);
  int detailsBuilt = 0;
  auto const detail = [&] {
    ++detailsBuilt;
    return "request r" + std::to_string(detailsBuilt);
  };
  CORKWARD_GUARANTEE(core::Guarantee::runsOnce, true, detail());
  CHECK(detailsBuilt == 0);
  CORKWARD_GUARANTEE(core::Guarantee::runsOnce, false, detail());
  CORKWARD_GUARANTEE(core::Guarantee::runsOnce, false, detail());
  CHECK(counts.count(core::Guarantee::runsOnce) == before + 2);
  CHECK(core::guaranteeMetrics().find("{promise=\"runs-once\"} " + std::to_string(before + 2)) != std::string::npos);
  CHECK(core::guaranteeMetrics().find("{promise=\"events-in-order\"}") != std::string::npos);
  std::vector<std::string> const violations = counts.takeNewViolations();
  REQUIRE(violations.size() == 1);
  CHECK(violations[0] == "guarantee runs-once violated 2 times, first: request r1");
  CHECK(counts.takeNewViolations().empty());
}
