// The bytes of the link's framing, which processes of all releases share.
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "../src/frame.h"

namespace transport = corkward::transport;

using namespace std::string_literals;

namespace {

using Result = transport::FrameDecoder::Result;

/// Both headers and a frame as libnng 1.5.2 sends them.
std::string const goldenPushHeader = "\x00SP\x00\x00\x50\x00\x00"s;
std::string const goldenPullHeader = "\x00SP\x00\x00\x51\x00\x00"s;
std::string const goldenFrame = "\x00\x00\x00\x00\x00\x00\x00\x05hello"s;

struct Received {
  transport::FrameDecoder decoder;
  std::vector<std::string> messages;

  Result decode(std::string_view bytes) {
    return decoder.decode(bytes, [this](std::string_view message) { messages.emplace_back(message); });
  }
};

std::string text(transport::ProtocolHeader const& header) {
  return {header.begin(), header.end()};
}

}  // namespace

/// Guards against a release that does not understand the others: the golden bytes are those of earlier releases.
TEST_CASE("headers and frames are the golden bytes") {
  CHECK(text(transport::pushHeader) == goldenPushHeader);
  CHECK(text(transport::pullHeader) == goldenPullHeader);
  CHECK(transport::frameOf("hello") == goldenFrame);
  CHECK(transport::frameOf(std::string(0x0102, 'x')).substr(0, 8) == "\x00\x00\x00\x00\x00\x00\x01\x02"s);
}

TEST_CASE("messages are decoded wherever the bytes are cut") {
  std::string const bytes = goldenPushHeader + goldenFrame + transport::frameOf("") + goldenFrame;
  for (std::size_t first = 0; first <= bytes.size(); ++first) {
    for (std::size_t second = first; second <= bytes.size(); ++second) {
      Received received;
      CHECK(received.decode(bytes.substr(0, first)) == Result::ok);
      CHECK(received.decode(bytes.substr(first, second - first)) == Result::ok);
      CHECK(received.decode(bytes.substr(second)) == Result::ok);
      CHECK(received.messages == std::vector<std::string>{"hello", "", "hello"});
      CHECK_FALSE(received.decoder.isIncomplete());
    }
  }
}

TEST_CASE("a message is incomplete until its last byte") {
  Received received;
  CHECK(received.decoder.isIncomplete());
  received.decode(goldenPushHeader);
  CHECK_FALSE(received.decoder.isIncomplete());
  received.decode(goldenFrame.substr(0, goldenFrame.size() - 1));
  CHECK(received.decoder.isIncomplete());
  received.decode(goldenFrame.substr(goldenFrame.size() - 1));
  CHECK_FALSE(received.decoder.isIncomplete());
  CHECK(received.messages == std::vector<std::string>{"hello"});
}

TEST_CASE("another protocol's header and a message beyond the limit are invalid") {
  Received http;
  CHECK(http.decode("GET / HTTP/1.1\r\n") == Result::invalid);
  Received pull;
  CHECK(pull.decode(goldenPullHeader) == Result::invalid);
  Received longest;
  CHECK(longest.decode(goldenPushHeader + "\x00\x00\x00\x00\x01\x00\x00\x00"s) == Result::ok);
  Received tooLong;
  CHECK(tooLong.decode(goldenPushHeader + "\x00\x00\x00\x00\x01\x00\x00\x01"s) == Result::invalid);
  Received huge;
  CHECK(huge.decode(goldenPushHeader + std::string(8, '\xff')) == Result::invalid);
  CHECK(huge.messages.empty());
}
