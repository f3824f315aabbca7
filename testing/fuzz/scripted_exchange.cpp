#include "scripted_exchange.h"

#include <algorithm>
#include <array>

#include <corkward/core/types.h>

#include "record.h"
#include "wire.h"

namespace corkward::fuzz {

namespace wire = platform::test::wire;

namespace {

constexpr int slowWriteParts = 8;
constexpr int slowWriteMs = 10;
constexpr char const* crlf = "\r\n";

/// A response message: its head, and its body split into chunks or events.
struct Message {
  std::string head;
  /// Parts of the body, each with the framing of its chunk.
  std::vector<std::string> parts;
  std::string last;
  std::string bytes() const {
    std::string out = head;
    for (std::string const& p : parts) out += p;
    return out + last;
  }
};

std::string chunk(std::string const& bytes) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t left = bytes.size(); left > 0; left /= 16) size.insert(size.begin(), digits[left % 16]);
  return size + crlf + bytes + crlf;
}

/// Repeats a text far beyond what a response may take beside its body.
std::string repeated(std::string const& piece) {
  constexpr std::size_t length = 256U << 10;
  std::string out;
  while (out.size() < length) out += piece;
  return out;
}

std::vector<std::string> cut(std::string const& body, std::size_t parts) {
  std::vector<std::string> out;
  std::size_t const each = std::max<std::size_t>(1, (body.size() + parts - 1) / std::max<std::size_t>(parts, 1));
  for (std::size_t at = 0; at < body.size(); at += each) out.push_back(body.substr(at, each));
  return out;
}

/// Builds the scripted exchange of one response.
class Writer {
 public:
  Writer(ScriptedResponse const& response, ReceivedRequest const& request) : response_(response), request_(request) {
    contents();
  }

  ScriptedExchange run() {
    begin();
    applyFault();
    if (response_.framing == Framing::tillEnd && isEventResponse() && !endsBetweenEvents()) markIncomplete();
    return std::move(out_);
  }

 private:
  void contents() {
    if (request_.isEventStream) {
      for (std::size_t i = request_.after + 1; i <= request_.events; ++i)
        bodyParts_.push_back(eventOf(request_.attempt, i, request_.eventFormat));
    } else {
      bodyParts_ = cut(pattern(request_.attempt + "/" + request_.seal, response_.size), 1 + response_.variant % 5);
    }
    for (std::string const& p : bodyParts_) out_.framed += p;
  }

  bool isEventResponse() const { return request_.isEventStream && out_.status == 200; }

  /// Whether the body of an event stream ends with an event, so that the end of the connection may complete it. A
  /// request that names the last event of its caller may have no further one.
  bool endsBetweenEvents() const {
    std::size_t end = 0;
    for (std::size_t i = request_.after + 1; i <= request_.events && end < out_.framed.size(); ++i)
      end += eventOf(request_.attempt, i, request_.eventFormat).size();
    return end == out_.framed.size() && (end > 0 || request_.after > 0);
  }

  std::string fields(std::string const& attempt, std::string const& seal) const {
    std::string text = wire::attempt + (": " + attempt) + crlf;
    if (!seal.empty()) text += wire::seal + (": " + seal) + crlf;
    return text;
  }

  Message message(int status, std::string const& head, std::vector<std::string> const& bodyParts, Framing framing,
                  std::size_t contentLength) const {
    Message m;
    bool const events = request_.isEventStream && status == 200;
    m.head = "HTTP/1.1 " + std::to_string(status) + " Some Words\r\n" + head +
             "Content-Type: " + (events ? "text/event-stream" : "text/plain") + crlf;
    if (framing == Framing::length) m.head += "Content-Length: " + std::to_string(contentLength) + crlf;
    if (framing == Framing::chunks) m.head += "Transfer-Encoding: chunked\r\n";
    if (framing == Framing::tillEnd) m.head += "Connection: close\r\n";
    m.head += crlf;
    for (std::string const& p : bodyParts) m.parts.push_back(framing == Framing::chunks ? chunk(p) : p);
    if (framing == Framing::chunks) m.last = "0\r\n\r\n";
    return m;
  }

  Message ownResponse(int status = 200) const {
    return message(status, fields(request_.attempt, request_.seal), bodyParts_, response_.framing, out_.framed.size());
  }

  Message smallResponse(int status, std::string const& head) {
    std::string const body = pattern("says" + std::to_string(status) + "/" + request_.attempt, 40);
    out_.framed = body;
    out_.status = status;
    return message(status, head, {body}, Framing::length, body.size());
  }

  void write(std::string bytes) { out_.steps.push_back(Step{Step::Kind::write, std::move(bytes)}); }
  void pause(int ms) {
    if (ms > 0) out_.steps.push_back(Step{Step::Kind::pause, {}, ms});
  }
  void end() { out_.steps.push_back(Step{response_.reset ? Step::Kind::reset : Step::Kind::close}); }
  void hold() { out_.steps.push_back(Step{Step::Kind::hold}); }

  /// Writes a message part by part, and closes the connection if that marks the end of the body.
  void writeMessage(Message const& m) {
    std::string first = m.head;
    int const each = m.parts.empty() ? 0 : response_.pauseMs / static_cast<int>(m.parts.size() + 1);
    if (each == 0) {
      write(m.bytes());
    } else {
      write(m.head);
      for (std::string const& p : m.parts) {
        pause(each);
        write(p);
      }
      pause(each);
      write(m.last);
    }
    if (response_.framing == Framing::tillEnd) out_.steps.push_back(Step{Step::Kind::close});
  }

  void begin() {
    Fault const f = response_.fault;
    if (f == Fault::early || f == Fault::notRunEarly) return;
    if (f == Fault::closeWhileReading) {
      out_.steps.push_back(Step{Step::Kind::awaitBytes, {}, 0, request_.bodyLength * response_.at / 1000});
      return;
    }
    out_.steps.push_back(Step{Step::Kind::awaitBody});
    if (f != Fault::none) pause(response_.pauseMs);
  }

  /// Makes the response end before the connection does, so that further bytes can follow it.
  void ensureDelimited() {
    if (response_.framing == Framing::tillEnd) response_.framing = Framing::length;
  }

  void applyFault() {
    switch (response_.fault) {
      case Fault::none:
      case Fault::early:
        writeMessage(ownResponse());
        break;
      case Fault::interim:
        interim();
        break;
      case Fault::extraBytes:
      case Fault::delayedExtraBytes:
        extraBytes();
        break;
      case Fault::twoResponses:
        twoResponses();
        break;
      case Fault::otherRequestsResponse:
        otherRequestsResponse();
        break;
      case Fault::badChunk:
        badChunk();
        break;
      case Fault::truncatedEvent:
        truncated();
        break;
      case Fault::truncatedResponse:
        truncatedResponse();
        break;
      case Fault::closeWhileReading:
        markIncomplete();
        end();
        break;
      case Fault::noResponse:
        stopResponding();
        break;
      case Fault::slowWrite:
        slowWrite();
        break;
      case Fault::slowRead:
        out_.slowReading = true;
        writeMessage(ownResponse());
        break;
      case Fault::notRun:
      case Fault::notRunEarly:
        notRun();
        break;
      case Fault::unmarkedRejection:
        response_.framing = Framing::length;
        writeMessage(smallResponse(503, fields(request_.attempt, "")));
        out_.framedComplete = false;
        break;
      case Fault::errorStatus:
        response_.framing = Framing::length;
        writeMessage(smallResponse(response_.variant % 2 == 0 ? 500 : 504, fields(request_.attempt, request_.seal)));
        break;
      case Fault::missingSeal:
        writeMessage(message(200, fields(request_.attempt, ""), bodyParts_, response_.framing, out_.framed.size()));
        out_.framedComplete = false;
        break;
      case Fault::garbage:
        garbage();
        break;
      case Fault::encoded:
        writeMessage(message(200, fields(request_.attempt, request_.seal) + "Content-Encoding: gzip\r\n", bodyParts_,
                             response_.framing, out_.framed.size()));
        out_.framedComplete = false;
        break;
      case Fault::shortBody:
        shortBody();
        break;
      case Fault::invalidHead:
        invalidHead();
        break;
      case Fault::endlessFraming:
        endlessFraming();
        break;
    }
    out_.steps.push_back(Step{Step::Kind::done});
  }

  void markIncomplete() { out_.framedComplete = false; }

  std::string atFault() const {
    std::string const all = ownResponse().bytes();
    return all.substr(0, all.size() * response_.at / 1000);
  }

  void interim() {
    static constexpr std::array<char const*, 4> heads{
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n",
        "HTTP/1.1 199 Some Words\r\nContent-Length: 5\r\n\r\n"};
    for (std::size_t i = 0; i <= response_.variant % 3; ++i) {
      write(heads[(response_.variant + i) % heads.size()]);
      pause(response_.pauseMs / 4);
    }
    writeMessage(ownResponse());
  }

  void extraBytes() {
    ensureDelimited();
    std::string const more =
        response_.variant % 2 == 0 ? pattern("surplus/" + request_.other, 1 + response_.at) : otherResponse();
    if (response_.fault == Fault::extraBytes) {
      write(ownResponse().bytes() + more);
      return;
    }
    writeMessage(ownResponse());
    pause(1 + response_.pauseMs);
    write(more);
  }

  std::string otherResponse() const {
    std::string const body = pattern(request_.other + "/stale", 100 + response_.at);
    return message(200, fields(request_.other, "stale-" + request_.seal), {body}, Framing::length, body.size()).bytes();
  }

  void twoResponses() {
    ensureDelimited();
    std::string const body = pattern(request_.attempt + "/second", response_.size);
    std::string const second =
        message(200, fields(request_.attempt, "second-" + request_.seal), {body}, Framing::length, body.size()).bytes();
    write(ownResponse().bytes() + (response_.variant % 2 == 0 ? second : ""));
    if (response_.variant % 2 == 0) return;
    pause(1 + response_.pauseMs);
    write(second);
  }

  /// Sends the response of another request. Every second variant sends the correct response after it.
  void otherRequestsResponse() {
    write(otherResponse());
    if (response_.variant % 2 == 0) return;
    pause(response_.pauseMs);
    writeMessage(ownResponse());
  }

  void badChunk() {
    static constexpr std::array<char const*, 6> bad{"zz\r\n",       "-5\r\nhello\r\n",  "ffffffffffffffffff\r\n",
                                                    "5\r\nhelloXX", "5 5\r\nhello\r\n", "\r\n\r\n"};
    response_.framing = Framing::chunks;
    markIncomplete();
    Message m = ownResponse();
    std::size_t const index = m.parts.empty() ? 0 : m.parts.size() * response_.at / 1001;
    m.parts.resize(index);
    out_.framed.clear();
    for (std::size_t i = 0; i < index; ++i) out_.framed += bodyParts_[i];
    out_.framed += "hello";
    m.last = bad[response_.variant % bad.size()];
    write(m.bytes());
    if (response_.variant % 3 == 0)
      hold();
    else
      end();
  }

  /// Truncates the last event. The body ends as its framing defines it.
  void truncated() {
    if (bodyParts_.empty()) {
      writeMessage(ownResponse());
      return;
    }
    std::string& last = bodyParts_.back();
    last.resize(last.size() * response_.at / 1001);
    if (last.empty()) bodyParts_.pop_back();
    out_.framed.clear();
    for (std::string const& p : bodyParts_) out_.framed += p;
    writeMessage(ownResponse());
  }

  void stopResponding() {
    write(atFault());
    if (response_.at >= 1000 && response_.framing != Framing::tillEnd) return;
    markIncomplete();
    hold();
  }

  void truncatedResponse() {
    std::string const bytes = atFault();
    bool const all = response_.at >= 1000;
    if (response_.framing == Framing::tillEnd && !response_.reset && !all) {
      std::size_t const head = ownResponse().head.size();
      out_.framed.resize(bytes.size() > head ? bytes.size() - head : 0);
      out_.framedComplete = bytes.size() >= head;
    } else if (!all || (response_.framing == Framing::tillEnd && response_.reset)) {
      markIncomplete();
    }
    write(bytes);
    end();
  }

  void slowWrite() {
    for (std::string const& p : cut(ownResponse().bytes(), slowWriteParts)) {
      write(p);
      pause(slowWriteMs);
    }
    if (response_.framing == Framing::tillEnd) out_.steps.push_back(Step{Step::Kind::close});
  }

  void notRun() {
    static constexpr std::array<int, 3> statuses{503, 429, 421};
    out_.ran = false;
    response_.framing = Framing::length;
    writeMessage(smallResponse(statuses[response_.variant % statuses.size()],
                               fields(request_.attempt, "") + wire::notRun + ": 1\r\n"));
  }

  void garbage() {
    markIncomplete();
    core::RandomGenerator rng(response_.variant + response_.size);
    std::string bytes;
    for (std::size_t i = 0; i < 20 + response_.at; ++i) bytes += static_cast<char>(rng.below(256));
    write((response_.variant % 2 == 0 ? "HTTP/1.1 200 OK\r\n" : "") + bytes);
    if (response_.variant % 3 == 0)
      hold();
    else
      end();
  }

  /// Sends fewer bytes than Content-Length states.
  void shortBody() {
    markIncomplete();
    write(message(200, fields(request_.attempt, request_.seal), bodyParts_, Framing::length, out_.framed.size() + 7)
              .bytes());
    if (response_.variant % 2 == 0)
      hold();
    else
      end();
  }

  /// Sends a contradictory or too long head, or one of another HTTP version.
  void invalidHead() {
    std::string const mine = fields(request_.attempt, request_.seal);
    std::string const length = std::to_string(out_.framed.size());
    switch (response_.variant % 6) {
      case 0:
        write(message(200, mine + "Content-Length: 3\r\n", bodyParts_, Framing::length, out_.framed.size()).bytes());
        markIncomplete();
        break;
      case 1:
        write(message(200, mine + "Content-Length: " + length + "\r\n", bodyParts_, Framing::chunks, 0).bytes());
        break;
      case 2:
        write(message(200, mine + "X-Long: " + std::string(40000, 'x') + crlf, bodyParts_, Framing::length,
                      out_.framed.size())
                  .bytes());
        break;
      case 3: {
        response_.framing = Framing::tillEnd;
        std::string text = ownResponse().bytes();
        text.replace(0, 8, "HTTP/1.0");
        write(text);
        out_.steps.push_back(Step{Step::Kind::close});
        break;
      }
      case 4:
        write(message(200, mine + "Content-Length: -1\r\n", bodyParts_, Framing::tillEnd, 0).bytes());
        out_.steps.push_back(Step{Step::Kind::close});
        markIncomplete();
        break;
      default:
        write(message(101, mine + "Upgrade: other\r\n", bodyParts_, Framing::tillEnd, 0).bytes());
        markIncomplete();
        break;
    }
  }

  /// Sends far more framing than any response needs, and never ends it: a head, interim responses, or after the body
  /// the size of a chunk, its extension, or trailers.
  void endlessFraming() {
    response_.framing = Framing::chunks;
    markIncomplete();
    Message m = ownResponse();
    switch (response_.variant % 6) {
      case 0:
        write("HTTP/1.1 200 OK\r\n" + fields(request_.attempt, request_.seal) + "X-Long: " + repeated("h"));
        break;
      case 1:
        write(repeated("HTTP/1.1 100 Continue\r\n\r\n"));
        break;
      case 2:
        m.last = repeated("z");
        write(m.bytes());
        break;
      case 3:
        m.last = "5;" + repeated("e");
        write(m.bytes());
        break;
      case 4:
        m.last = "0\r\nX-Long: " + repeated("t");
        write(m.bytes());
        break;
      default:
        m.last = "0\r\n" + repeated("X-Short: t\r\n");
        write(m.bytes());
        break;
    }
    hold();
  }

  ScriptedResponse response_;
  ReceivedRequest const& request_;
  std::vector<std::string> bodyParts_;
  ScriptedExchange out_;
};

}  // namespace

ScriptedExchange scriptedExchangeOf(ScriptedResponse const& response, ReceivedRequest const& request) {
  return Writer(response, request).run();
}

}  // namespace corkward::fuzz
