#include <catch2/catch.hpp>

#include <corkward/core/types.h>
#include <corkward/dataplane/response_stream.h>

namespace core = corkward::core;
namespace dataplane = corkward::dataplane;

namespace {

constexpr int eventCount = 12;

std::string event(int id, std::string const& eol) {
  std::string out = id % 3 == 0 ? ": still here" + eol : "";
  if (id % 4 == 0) out += "note: 7" + eol;
  return out + "id: " + std::to_string(id * 5) + eol + "data: word " + std::to_string(id) + eol + eol;
}

/// The events whose ids are greater than `after`.
std::string eventsAfter(int after, std::string const& eol) {
  std::string out;
  for (int i = 1; i <= eventCount; ++i)
    if (i * 5 > after) out += event(i, eol);
  return out;
}

dataplane::ResponseHead eventStreamHead() {
  return {.status = 200, .fields = {{"content-type", "text/event-stream"}}, .events = true};
}

/// What a caller has received.
struct Caller {
  std::string received;
  int heads = 0;
  std::int64_t length = 0;
  int finished = 0;
  std::optional<dataplane::UpstreamResult> end;

  void apply(dataplane::StreamSteps const& s) {
    if (s.begin) {
      ++heads;
      length = s.begin->length;
    }
    received += s.chunk;
    if (s.finish) ++finished;
    if (s.ended) end = s.ended;
  }
};

void feed(dataplane::ResponseStream& s, Caller& c, std::string const& bytes, std::size_t step) {
  for (std::size_t at = 0; at < bytes.size(); at += step) c.apply(s.onChunk(bytes.substr(at, step)));
}

}  // namespace

TEST_CASE(
    "an event stream that is cut at any byte continues from another replica without lost, repeated or merged events") {
  std::string const eol = GENERATE("\n", "\r\n", "\r");
  std::size_t const step = GENERATE(1, 2, 3, 7, 1000);
  std::string const all = eventsAfter(0, eol);
  for (std::size_t cut = 0; cut <= all.size(); ++cut) {
    dataplane::ResponseStream s;
    Caller c;
    s.expectEvents("");
    s.onConnecting(false);
    c.apply(s.onHead(eventStreamHead()));
    feed(s, c, all.substr(0, cut), step);
    c.apply(s.onEnd(core::BodyEnd::incomplete));
    REQUIRE(c.end == dataplane::UpstreamResult::connectionLost);
    REQUIRE(all.rfind(c.received, 0) == 0);
    bool const resume = s.begun();
    s.onConnecting(resume);
    REQUIRE(s.resume().resuming == resume);
    REQUIRE(s.resume().lastEvent == s.lastEvent());
    c.end.reset();
    c.apply(s.onHead(eventStreamHead()));
    feed(s, c, eventsAfter(s.lastEvent().empty() ? 0 : std::stoi(s.lastEvent()), eol), step);
    c.apply(s.onEnd(core::BodyEnd::framed));
    REQUIRE(c.end == dataplane::UpstreamResult::complete);
    REQUIRE(c.received == all);
    REQUIRE(c.heads == 1);
    REQUIRE(c.length == -1);
    REQUIRE(c.finished == 1);
  }
}

TEST_CASE("an event whose id is not greater than the last forwarded one ends the response before it") {
  dataplane::ResponseStream s;
  Caller c;
  s.expectEvents("");
  s.onConnecting(false);
  s.onHead(eventStreamHead());
  c.apply(s.onChunk("id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\nda"));
  CHECK(s.lastEvent() == "10");
  s.onEnd(core::BodyEnd::incomplete);
  s.onConnecting(true);
  CHECK_FALSE(s.onHead(eventStreamHead()).ended);
  SECTION("a repeated id") {
    c.apply(s.onChunk("id: 10\ndata: b\n\n"));
  }
  SECTION("a smaller id") {
    c.apply(s.onChunk("id: 9\ndata: a\n\n"));
  }
  SECTION("a smaller id with leading zeros") {
    c.apply(s.onChunk("id: 009\ndata: a\n\n"));
  }
  SECTION("a greater id and then the same one again") {
    c.apply(s.onChunk("id: 11\ndata: c\n\nid: 11\ndata: c\n\n"));
    CHECK(c.received == "id: 9\ndata: a\n\nid: 10\ndata: b\n\nid: 11\ndata: c\n\n");
  }
  SECTION("no id") {
    c.apply(s.onChunk("data: c\n\n"));
  }
  SECTION("an id that is not a number") {
    c.apply(s.onChunk("id: x\ndata: c\n\n"));
  }
  SECTION("a repeated id in the last event, which no blank line ends") {
    c.apply(s.onChunk("id: 10\ndata: b\n"));
    CHECK_FALSE(c.end);
    c.apply(s.onEnd(core::BodyEnd::framed));
  }
  CHECK(c.end == dataplane::UpstreamResult::differentExecution);
  CHECK(c.finished == 0);
  CHECK(s.onChunk("id: 12\ndata: d\n\n").chunk.empty());
}

TEST_CASE("an event stream is continued only by an event stream") {
  dataplane::ResponseStream s;
  s.expectEvents("");
  s.onConnecting(false);
  s.onHead(eventStreamHead());
  s.onChunk("id: 1\ndata: a\n\n");
  s.onEnd(core::BodyEnd::incomplete);
  s.onConnecting(true);
  SECTION("another status") {
    CHECK(s.onHead({.status = 500, .events = true}).ended == dataplane::UpstreamResult::differentExecution);
  }
  SECTION("another content type") {
    CHECK(s.onHead({.status = 200}).ended == dataplane::UpstreamResult::differentExecution);
  }
  SECTION("not executed") {
    CHECK(s.onHead({.status = 503, .notExecuted = true}).ended == dataplane::UpstreamResult::notExecuted);
  }
  SECTION("a response to another request") {
    CHECK(s.onHead({.status = 200, .foreign = true, .events = true}).ended ==
          dataplane::UpstreamResult::connectionLost);
  }
  SECTION("a body shorter than its length") {
    s.onHead({.status = 200, .length = 99, .events = true});
    s.onChunk("id: 2\ndata: b\n\n");
    CHECK(s.onEnd(core::BodyEnd::framed).ended == dataplane::UpstreamResult::connectionLost);
  }
  SECTION("a complete empty body") {
    s.onHead({.status = 200, .length = 0, .events = true});
    CHECK(s.onEnd(core::BodyEnd::framed).finish);
  }
}

TEST_CASE("events without an id are forwarded once, and the stream cannot be resumed after them") {
  dataplane::ResponseStream s;
  s.expectEvents("");
  s.onConnecting(false);
  s.onHead(eventStreamHead());
  dataplane::StreamSteps const first = s.onChunk("data: a\n\n");
  CHECK(first.chunk == "data: a\n\n");
  CHECK(first.firstByte == false);
  s.onEnd(core::BodyEnd::incomplete);
  s.onConnecting(true);
  CHECK(s.onHead(eventStreamHead()).ended == dataplane::UpstreamResult::differentExecution);
}

TEST_CASE("a response that breaks before a byte was forwarded starts over on another replica") {
  dataplane::ResponseStream s;
  Caller c;
  s.expectEvents("4");
  s.onConnecting(false);
  CHECK(s.lastEvent() == "4");
  CHECK_FALSE(s.resume().resuming);
  s.onHead({.status = 200, .length = 30, .run = "r1", .events = true});
  c.apply(s.onChunk("id: 5\ndata: lost"));
  c.apply(s.onEnd(core::BodyEnd::incomplete));
  CHECK(c.heads == 0);
  s.onConnecting(GENERATE(false, true));
  CHECK_FALSE(s.resume().resuming);
  CHECK(s.lastEvent() == "4");
  SECTION("with an event stream") {
    c.apply(s.onHead(eventStreamHead()));
    c.apply(s.onChunk("id: 5\ndata: a\n\n"));
    c.apply(s.onEnd(core::BodyEnd::framed));
    CHECK(c.received == "id: 5\ndata: a\n\n");
  }
  SECTION("with another kind of response") {
    c.apply(s.onHead({.status = 404, .length = 4}));
    c.apply(s.onChunk("none"));
    c.apply(s.onEnd(core::BodyEnd::framed));
    CHECK(c.received == "none");
    CHECK(c.length == 4);
  }
  CHECK(c.heads == 1);
  CHECK(c.finished == 1);
}

TEST_CASE("a complete response with an empty body is forwarded, and a response to HEAD keeps its length") {
  dataplane::ResponseStream s;
  Caller c;
  bool const asEvents = GENERATE(false, true);
  if (asEvents) s.expectEvents("");
  s.onConnecting(false);
  SECTION("zero length") {
    c.apply(s.onHead({.status = 200, .length = 0, .events = asEvents}));
  }
  SECTION("chunked") {
    c.apply(s.onHead({.status = 200, .events = asEvents}));
  }
  SECTION("no body") {
    c.apply(s.onHead({.status = 200, .length = 7, .bodiless = true}));
  }
  c.apply(s.onEnd(core::BodyEnd::framed));
  CHECK(c.heads == 1);
  CHECK(c.finished == 1);
  CHECK(c.end == dataplane::UpstreamResult::complete);
}

TEST_CASE("an event that exceeds the maximum size ends the response as broken") {
  dataplane::ResponseStream s;
  Caller c;
  s.expectEvents("");
  s.onConnecting(false);
  s.onHead(eventStreamHead());
  std::string const chunk(64 << 10, 'x');
  for (int i = 0; i < 40 && !c.end; ++i) c.apply(s.onChunk(chunk));
  CHECK(c.end == dataplane::UpstreamResult::connectionLost);
  CHECK(c.heads == 0);
}

TEST_CASE("a stream holds the memory of an incomplete event only, and none once it is given up") {
  constexpr std::size_t shortBytes = 32U << 10;
  dataplane::ResponseStream s;
  Caller c;
  s.expectEvents("");
  s.onConnecting(false);
  s.onHead(eventStreamHead());
  std::string const text(500000, 'x');
  c.apply(s.onChunk("id: 1\ndata: " + text));
  CHECK(s.heldBytes() >= text.size());
  c.apply(s.onChunk("\n\n"));
  CHECK(s.heldBytes() < shortBytes);
  c.apply(s.onChunk("id: 2\ndata: " + text));
  CHECK(s.heldBytes() >= text.size());
  c.apply(s.giveUp());
  CHECK(c.end == dataplane::UpstreamResult::connectionLost);
  CHECK(s.heldBytes() < shortBytes);
  CHECK(s.onChunk("\n\n").chunk.empty());
  s.onConnecting(true);
  CHECK(s.resume().lastEvent == "1");
  s.onHead(eventStreamHead());
  c.apply(s.onChunk("id: 2\ndata: y\n\n"));
  c.apply(s.onEnd(core::BodyEnd::framed));
  CHECK(c.received == "id: 1\ndata: " + text + "\n\nid: 2\ndata: y\n\n");
  CHECK(c.finished == 1);
}

TEST_CASE("a response to another request breaks the call before a byte is forwarded") {
  dataplane::ResponseStream s;
  bool const asEvents = GENERATE(false, true);
  if (asEvents) s.expectEvents("");
  s.onConnecting(false);
  dataplane::StreamSteps const out = s.onHead({.status = 200, .length = 2, .foreign = true, .events = asEvents});
  CHECK(out.ended == dataplane::UpstreamResult::connectionLost);
  CHECK(out.closeUpstream);
  CHECK(s.onChunk("ab").chunk.empty());
  CHECK_FALSE(s.onEnd(core::BodyEnd::framed).finish);
}

TEST_CASE(
    "the forwarded bytes of a random event stream are a prefix of it and do not depend on how it is split into "
    "chunks") {
  core::RandomGenerator rng(5);
  constexpr char const* tokens[] = {"id: 1",        "id:2",   "id",      ":",    "data: x",
                                    "\n",           "\r",     "\r\n",    "\n\n", "id: 18446744073709551616",
                                    "\xEF\xBB\xBF", "id: -1", "event: e"};
  for (int round = 0; round < 3000; ++round) {
    std::string bytes;
    for (std::uint64_t i = rng.below(40); i > 0; --i) bytes += tokens[rng.below(std::size(tokens))];
    dataplane::ResponseStream atOnce;
    dataplane::ResponseStream inChunks;
    Caller one;
    Caller many;
    for (dataplane::ResponseStream* const s : {&atOnce, &inChunks}) {
      s->expectEvents("");
      s->onConnecting(false);
      s->onHead(eventStreamHead());
    }
    feed(atOnce, one, bytes, std::max<std::size_t>(bytes.size(), 1));
    for (std::size_t at = 0; at < bytes.size();) {
      std::size_t const n = 1 + rng.below(5);
      many.apply(inChunks.onChunk(bytes.substr(at, n)));
      at += n;
    }
    core::BodyEnd const end = round % 2 == 0 ? core::BodyEnd::framed : core::BodyEnd::connectionClosed;
    one.apply(atOnce.onEnd(end));
    many.apply(inChunks.onEnd(end));
    REQUIRE(bytes.rfind(one.received, 0) == 0);
    REQUIRE(bytes.rfind(many.received, 0) == 0);
    REQUIRE(one.end == many.end);
    REQUIRE(one.received == many.received);
    if (one.end == dataplane::UpstreamResult::complete) REQUIRE(one.received == bytes);
  }
}
