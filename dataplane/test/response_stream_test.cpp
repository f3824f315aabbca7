#include <catch2/catch.hpp>

#include <corkward/core/types.h>
#include <corkward/dataplane/response_stream.h>

namespace core = corkward::core;
namespace dataplane = corkward::dataplane;

namespace {

constexpr int events = 12;

std::string event(int id, std::string const& eol) {
  std::string out = id % 3 == 0 ? ": still here" + eol : "";
  if (id % 4 == 0) out += "note: 7" + eol;
  return out + "id: " + std::to_string(id * 5) + eol + "data: word " + std::to_string(id) + eol + eol;
}

std::string row(int after, std::string const& eol) {
  std::string out;
  for (int i = 1; i <= events; ++i)
    if (i * 5 > after) out += event(i, eol);
  return out;
}

dataplane::ResponseHead rowHead() {
  return {.status = 200, .fields = {{"content-type", "text/event-stream"}}, .events = true};
}

/// What a caller has after the steps.
struct Caller {
  std::string got;
  int begun = 0;
  std::int64_t length = 0;
  int finished = 0;
  std::optional<dataplane::UpstreamResult> end;

  void take(dataplane::StreamSteps const& s) {
    if (s.begin) {
      ++begun;
      length = s.begin->length;
    }
    got += s.chunk;
    if (s.finish) ++finished;
    if (s.ended) end = s.ended;
  }
};

void feed(dataplane::ResponseStream& s, Caller& c, std::string const& bytes, std::size_t step) {
  for (std::size_t at = 0; at < bytes.size(); at += step) c.take(s.piece(bytes.substr(at, step)));
}

}  // namespace

TEST_CASE("a row of events that is cut at any byte goes on at another replica without gap, repeat or join") {
  std::string const eol = GENERATE("\n", "\r\n", "\r");
  std::size_t const step = GENERATE(1, 2, 3, 7, 1000);
  std::string const all = row(0, eol);
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    dataplane::ResponseStream s;
    Caller c;
    s.asEvents("");
    s.connecting(false);
    c.take(s.head(rowHead()));
    feed(s, c, all.substr(0, cut), step);
    c.take(s.ended(false));
    REQUIRE(c.end == dataplane::UpstreamResult::connectionLost);
    REQUIRE(all.rfind(c.got, 0) == 0);
    bool const resume = s.begun();
    s.connecting(resume);
    REQUIRE(s.resume().resuming == resume);
    REQUIRE(s.resume().lastEvent == s.lastEvent());
    c.end.reset();
    c.take(s.head(rowHead()));
    feed(s, c, row(s.lastEvent().empty() ? 0 : std::stoi(s.lastEvent()), eol), step);
    c.take(s.ended(true));
    REQUIRE(c.end == dataplane::UpstreamResult::complete);
    REQUIRE(c.got == all);
    REQUIRE(c.begun == 1);
    REQUIRE(c.length == -1);
    REQUIRE(c.finished == 1);
  }
}

TEST_CASE("an event whose id is not above the last one passed on ends the answer before it") {
  dataplane::ResponseStream s;
  Caller c;
  s.asEvents("");
  s.connecting(false);
  s.head(rowHead());
  c.take(s.piece("id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\nda"));
  CHECK(s.lastEvent() == "10");
  s.ended(false);
  s.connecting(true);
  CHECK_FALSE(s.head(rowHead()).ended);
  SECTION("repeated") {
    c.take(s.piece("id: 10\ndata: b\n\n"));
  }
  SECTION("earlier") {
    c.take(s.piece("id: 9\ndata: a\n\n"));
  }
  SECTION("earlier with zeros before it") {
    c.take(s.piece("id: 009\ndata: a\n\n"));
  }
  SECTION("later and then repeated") {
    c.take(s.piece("id: 11\ndata: c\n\nid: 11\ndata: c\n\n"));
    CHECK(c.got == "id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\ndata: c\n\n");
  }
  SECTION("without an id") {
    c.take(s.piece("data: c\n\n"));
  }
  SECTION("with an id that has no order") {
    c.take(s.piece("id: x\ndata: c\n\n"));
  }
  SECTION("as the last one, not closed by a blank line") {
    c.take(s.piece("id: 10\ndata: b\n"));
    CHECK_FALSE(c.end);
    c.take(s.ended(true));
  }
  CHECK(c.end == dataplane::UpstreamResult::differentExecution);
  CHECK(c.finished == 0);
  CHECK(s.piece("id: 12\ndata: d\n\n").chunk.empty());
}

TEST_CASE("only a row of events goes on with a row of events") {
  dataplane::ResponseStream s;
  s.asEvents("");
  s.connecting(false);
  s.head(rowHead());
  s.piece("id: 1\ndata: a\n\n");
  s.ended(false);
  s.connecting(true);
  SECTION("another status") {
    CHECK(s.head({.status = 500, .events = true}).ended == dataplane::UpstreamResult::differentExecution);
  }
  SECTION("another type") {
    CHECK(s.head({.status = 200}).ended == dataplane::UpstreamResult::differentExecution);
  }
  SECTION("said not to have run") {
    CHECK(s.head({.status = 503, .notExecuted = true}).ended == dataplane::UpstreamResult::notExecuted);
  }
  SECTION("an answer to another request") {
    CHECK(s.head({.status = 200, .foreign = true, .events = true}).ended == dataplane::UpstreamResult::connectionLost);
  }
  SECTION("shorter than its length") {
    s.head({.status = 200, .length = 99, .events = true});
    s.piece("id: 2\ndata: b\n\n");
    CHECK(s.ended(true).ended == dataplane::UpstreamResult::connectionLost);
  }
  SECTION("empty and whole") {
    s.head({.status = 200, .length = 0, .events = true});
    CHECK(s.ended(true).finish);
  }
}

TEST_CASE("events without an id are passed on once, and nothing is asked for after them") {
  dataplane::ResponseStream s;
  s.asEvents("");
  s.connecting(false);
  s.head(rowHead());
  dataplane::StreamSteps const first = s.piece("data: a\n\n");
  CHECK(first.chunk == "data: a\n\n");
  CHECK(first.firstByte == false);
  s.ended(false);
  s.connecting(true);
  CHECK(s.head(rowHead()).ended == dataplane::UpstreamResult::differentExecution);
}

TEST_CASE("an answer that broke before anything was passed on starts over at another replica") {
  dataplane::ResponseStream s;
  Caller c;
  s.asEvents("4");
  s.connecting(false);
  CHECK(s.lastEvent() == "4");
  CHECK_FALSE(s.resume().resuming);
  s.head({.status = 200, .length = 30, .run = "r1", .events = true});
  c.take(s.piece("id: 5\ndata: lost"));
  c.take(s.ended(false));
  CHECK(c.begun == 0);
  s.connecting(GENERATE(false, true));
  CHECK_FALSE(s.resume().resuming);
  CHECK(s.lastEvent() == "4");
  SECTION("with a row") {
    c.take(s.head(rowHead()));
    c.take(s.piece("id: 5\ndata: a\n\n"));
    c.take(s.ended(true));
    CHECK(c.got == "id: 5\ndata: a\n\n");
  }
  SECTION("with an answer that is none") {
    c.take(s.head({.status = 404, .length = 4}));
    c.take(s.piece("none"));
    c.take(s.ended(true));
    CHECK(c.got == "none");
    CHECK(c.length == 4);
  }
  CHECK(c.begun == 1);
  CHECK(c.finished == 1);
}

TEST_CASE("a whole answer with an empty body goes out, and one to HEAD keeps its length") {
  dataplane::ResponseStream s;
  Caller c;
  bool const asEvents = GENERATE(false, true);
  if (asEvents) s.asEvents("");
  s.connecting(false);
  SECTION("empty") {
    c.take(s.head({.status = 200, .length = 0, .events = asEvents}));
  }
  SECTION("in chunks") {
    c.take(s.head({.status = 200, .events = asEvents}));
  }
  SECTION("no body") {
    c.take(s.head({.status = 200, .length = 7, .bodiless = true}));
  }
  c.take(s.ended(true));
  CHECK(c.begun == 1);
  CHECK(c.finished == 1);
  CHECK(c.end == dataplane::UpstreamResult::complete);
}

TEST_CASE("an event without an end is given up at its bound") {
  dataplane::ResponseStream s;
  Caller c;
  s.asEvents("");
  s.connecting(false);
  s.head(rowHead());
  std::string const part(64 << 10, 'x');
  for (int i = 0; i < 40 && !c.end; ++i) c.take(s.piece(part));
  CHECK(c.end == dataplane::UpstreamResult::connectionLost);
  CHECK(c.begun == 0);
}

TEST_CASE("a foreign answer breaks the call with nothing passed on") {
  dataplane::ResponseStream s;
  bool const asEvents = GENERATE(false, true);
  if (asEvents) s.asEvents("");
  s.connecting(false);
  dataplane::StreamSteps const out = s.head({.status = 200, .length = 2, .foreign = true, .events = asEvents});
  CHECK(out.ended == dataplane::UpstreamResult::connectionLost);
  CHECK(out.closeUpstream);
  CHECK(s.piece("ab").chunk.empty());
  CHECK_FALSE(s.ended(true).finish);
}

TEST_CASE("random rows pass on a prefix of what came, whatever the pieces") {
  core::RandomGenerator rng(5);
  constexpr char const* parts[] = {"id: 1",        "id:2",   "id",      ":",    "data: x",
                                   "\n",           "\r",     "\r\n",    "\n\n", "id: 18446744073709551616",
                                   "\xEF\xBB\xBF", "id: -1", "event: e"};
  for (int round = 0; round < 3000; ++round) {
    std::string bytes;
    for (std::uint64_t i = rng.below(40); i > 0; --i) bytes += parts[rng.below(std::size(parts))];
    dataplane::ResponseStream whole;
    dataplane::ResponseStream cut;
    Caller one;
    Caller many;
    for (dataplane::ResponseStream* const s : {&whole, &cut}) {
      s->asEvents("");
      s->connecting(false);
      s->head(rowHead());
    }
    feed(whole, one, bytes, std::max<std::size_t>(bytes.size(), 1));
    for (std::size_t at = 0; at < bytes.size();) {
      std::size_t const n = 1 + rng.below(5);
      many.take(cut.piece(bytes.substr(at, n)));
      at += n;
    }
    one.take(whole.ended(true));
    many.take(cut.ended(true));
    REQUIRE(bytes.rfind(one.got, 0) == 0);
    REQUIRE(bytes.rfind(many.got, 0) == 0);
    REQUIRE(one.end == many.end);
    REQUIRE(one.got == many.got);
    if (one.end == dataplane::UpstreamResult::complete) REQUIRE(one.got == bytes);
  }
}
