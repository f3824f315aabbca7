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

/// A message in the making: its head's fields, and its body cut into chunks or events.
struct Message {
  std::string head;
  /// Each with its chunk's framing.
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

std::vector<std::string> cut(std::string const& body, std::size_t parts) {
  std::vector<std::string> out;
  std::size_t const each = std::max<std::size_t>(1, (body.size() + parts - 1) / std::max<std::size_t>(parts, 1));
  for (std::size_t at = 0; at < body.size(); at += each) out.push_back(body.substr(at, each));
  return out;
}

/// Writes the scripted exchange of one answer.
class Writer {
 public:
  Writer(Answer const& answer, ReceivedRequest const& request) : answer_(answer), request_(request) { contents(); }

  ScriptedExchange run() {
    begin();
    applyFault();
    return std::move(out_);
  }

 private:
  void contents() {
    if (request_.isEventStream) {
      for (std::size_t i = request_.after + 1; i <= request_.events; ++i)
        bodyParts_.push_back(eventOf(request_.attempt, i));
    } else {
      bodyParts_ = cut(pattern(request_.attempt + "/" + request_.seal, answer_.size), 1 + answer_.variant % 5);
    }
    for (std::string const& p : bodyParts_) out_.framed += p;
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

  Message ownAnswer(int status = 200) const {
    return message(status, fields(request_.attempt, request_.seal), bodyParts_, answer_.framing, out_.framed.size());
  }

  Message smallAnswer(int status, std::string const& head) {
    std::string const body = pattern("says" + std::to_string(status) + "/" + request_.attempt, 40);
    out_.framed = body;
    out_.status = status;
    return message(status, head, {body}, Framing::length, body.size());
  }

  void write(std::string bytes) { out_.steps.push_back(Step{Step::What::write, std::move(bytes)}); }
  void pause(int ms) {
    if (ms > 0) out_.steps.push_back(Step{Step::What::pause, {}, ms});
  }
  void end() { out_.steps.push_back(Step{answer_.reset ? Step::What::reset : Step::What::close}); }
  void hold() { out_.steps.push_back(Step{Step::What::hold}); }

  /// Writes a message part by part; one that ends with its connection ends it in order.
  void writeMessage(Message const& m) {
    std::string first = m.head;
    int const each = m.parts.empty() ? 0 : answer_.pauseMs / static_cast<int>(m.parts.size() + 1);
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
    if (answer_.framing == Framing::tillEnd) out_.steps.push_back(Step{Step::What::close});
  }

  void begin() {
    Fault const f = answer_.fault;
    if (f == Fault::early || f == Fault::notRunEarly) return;
    if (f == Fault::cutReading) {
      out_.steps.push_back(Step{Step::What::awaitBytes, {}, 0, request_.bodyLength * answer_.at / 1000});
      return;
    }
    out_.steps.push_back(Step{Step::What::awaitBody});
    if (f != Fault::well) pause(answer_.pauseMs);
  }

  /// Only what a length or chunks end has an end that something can come after.
  void ensureDelimited() {
    if (answer_.framing == Framing::tillEnd) answer_.framing = Framing::length;
  }

  void applyFault() {
    switch (answer_.fault) {
      case Fault::well:
      case Fault::early:
        writeMessage(ownAnswer());
        break;
      case Fault::interim:
        interim();
        break;
      case Fault::surplus:
      case Fault::surplusLate:
        surplus();
        break;
      case Fault::twoAnswers:
        twoAnswers();
        break;
      case Fault::otherId:
        otherId();
        break;
      case Fault::badChunk:
        badChunk();
        break;
      case Fault::truncatedEvent:
        truncated();
        break;
      case Fault::cutAnswer:
        cutAnswer();
        break;
      case Fault::cutReading:
        broken();
        end();
        break;
      case Fault::silence:
        stopAnswering();
        break;
      case Fault::slowWrite:
        slowWrite();
        break;
      case Fault::slowRead:
        out_.slowReading = true;
        writeMessage(ownAnswer());
        break;
      case Fault::notRun:
      case Fault::notRunEarly:
        notRun();
        break;
      case Fault::falsePromise:
        answer_.framing = Framing::length;
        writeMessage(smallAnswer(503, fields(request_.attempt, "")));
        out_.framedComplete = false;
        break;
      case Fault::failure:
        answer_.framing = Framing::length;
        writeMessage(smallAnswer(answer_.variant % 2 == 0 ? 500 : 504, fields(request_.attempt, request_.seal)));
        break;
      case Fault::unsealed:
        writeMessage(message(200, fields(request_.attempt, ""), bodyParts_, answer_.framing, out_.framed.size()));
        out_.framedComplete = false;
        break;
      case Fault::garbage:
        garbage();
        break;
      case Fault::encoded:
        writeMessage(message(200, fields(request_.attempt, request_.seal) + "Content-Encoding: gzip\r\n", bodyParts_,
                             answer_.framing, out_.framed.size()));
        out_.framedComplete = false;
        break;
      case Fault::shortBody:
        shortBody();
        break;
      case Fault::oddHead:
        oddHead();
        break;
    }
    out_.steps.push_back(Step{Step::What::done});
  }

  void broken() { out_.framedComplete = false; }

  std::string atFault() const {
    std::string const all = ownAnswer().bytes();
    return all.substr(0, all.size() * answer_.at / 1000);
  }

  void interim() {
    static constexpr std::array<char const*, 4> heads{
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n",
        "HTTP/1.1 199 Some Words\r\nContent-Length: 5\r\n\r\n"};
    for (std::size_t i = 0; i <= answer_.variant % 3; ++i) {
      write(heads[(answer_.variant + i) % heads.size()]);
      pause(answer_.pauseMs / 4);
    }
    writeMessage(ownAnswer());
  }

  void surplus() {
    ensureDelimited();
    std::string const more =
        answer_.variant % 2 == 0 ? pattern("surplus/" + request_.other, 1 + answer_.at) : otherAnswer();
    if (answer_.fault == Fault::surplus) {
      write(ownAnswer().bytes() + more);
      return;
    }
    writeMessage(ownAnswer());
    pause(1 + answer_.pauseMs);
    write(more);
  }

  std::string otherAnswer() const {
    std::string const body = pattern(request_.other + "/stale", 100 + answer_.at);
    return message(200, fields(request_.other, "stale-" + request_.seal), {body}, Framing::length, body.size()).bytes();
  }

  void twoAnswers() {
    ensureDelimited();
    std::string const body = pattern(request_.attempt + "/second", answer_.size);
    std::string const second =
        message(200, fields(request_.attempt, "second-" + request_.seal), {body}, Framing::length, body.size()).bytes();
    write(ownAnswer().bytes() + (answer_.variant % 2 == 0 ? second : ""));
    if (answer_.variant % 2 == 0) return;
    pause(1 + answer_.pauseMs);
    write(second);
  }

  /// Another's answer in this one's place; this one's own follows, or does not.
  void otherId() {
    write(otherAnswer());
    if (answer_.variant % 2 == 0) return;
    pause(answer_.pauseMs);
    writeMessage(ownAnswer());
  }

  void badChunk() {
    static constexpr std::array<char const*, 6> bad{"zz\r\n",       "-5\r\nhello\r\n",  "ffffffffffffffffff\r\n",
                                                    "5\r\nhelloXX", "5 5\r\nhello\r\n", "\r\n\r\n"};
    answer_.framing = Framing::chunks;
    broken();
    Message m = ownAnswer();
    std::size_t const index = m.parts.empty() ? 0 : m.parts.size() * answer_.at / 1001;
    m.parts.resize(index);
    out_.framed.clear();
    for (std::size_t i = 0; i < index; ++i) out_.framed += bodyParts_[i];
    out_.framed += "hello";
    m.last = bad[answer_.variant % bad.size()];
    write(m.bytes());
    if (answer_.variant % 3 == 0)
      hold();
    else
      end();
  }

  /// The last event lacks its end, though the framing says that all is there.
  void truncated() {
    if (bodyParts_.empty()) {
      writeMessage(ownAnswer());
      return;
    }
    std::string& last = bodyParts_.back();
    last.resize(last.size() * answer_.at / 1001);
    if (last.empty()) bodyParts_.pop_back();
    out_.framed.clear();
    for (std::string const& p : bodyParts_) out_.framed += p;
    writeMessage(ownAnswer());
  }

  void stopAnswering() {
    write(atFault());
    if (answer_.at >= 1000 && answer_.framing != Framing::tillEnd) return;
    broken();
    hold();
  }

  void cutAnswer() {
    std::string const bytes = atFault();
    bool const all = answer_.at >= 1000;
    if (answer_.framing == Framing::tillEnd && !answer_.reset && !all) {
      std::size_t const head = ownAnswer().head.size();
      out_.framed.resize(bytes.size() > head ? bytes.size() - head : 0);
      out_.framedComplete = bytes.size() >= head;
    } else if (!all || (answer_.framing == Framing::tillEnd && answer_.reset)) {
      broken();
    }
    write(bytes);
    end();
  }

  void slowWrite() {
    for (std::string const& p : cut(ownAnswer().bytes(), slowWriteParts)) {
      write(p);
      pause(slowWriteMs);
    }
    if (answer_.framing == Framing::tillEnd) out_.steps.push_back(Step{Step::What::close});
  }

  void notRun() {
    static constexpr std::array<int, 3> statuses{503, 429, 421};
    out_.ran = false;
    answer_.framing = Framing::length;
    writeMessage(smallAnswer(statuses[answer_.variant % statuses.size()],
                             fields(request_.attempt, "") + wire::notRun + ": 1\r\n"));
  }

  void garbage() {
    broken();
    core::RandomGenerator rng(answer_.variant + answer_.size);
    std::string bytes;
    for (std::size_t i = 0; i < 20 + answer_.at; ++i) bytes += static_cast<char>(rng.below(256));
    write((answer_.variant % 2 == 0 ? "HTTP/1.1 200 OK\r\n" : "") + bytes);
    if (answer_.variant % 3 == 0)
      hold();
    else
      end();
  }

  /// Less comes than the length says.
  void shortBody() {
    broken();
    write(message(200, fields(request_.attempt, request_.seal), bodyParts_, Framing::length, out_.framed.size() + 7)
              .bytes());
    if (answer_.variant % 2 == 0)
      hold();
    else
      end();
  }

  /// Heads that contradict themselves, are too long or of another version.
  void oddHead() {
    std::string const mine = fields(request_.attempt, request_.seal);
    std::string const length = std::to_string(out_.framed.size());
    switch (answer_.variant % 6) {
      case 0:
        write(message(200, mine + "Content-Length: 3\r\n", bodyParts_, Framing::length, out_.framed.size()).bytes());
        broken();
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
        answer_.framing = Framing::tillEnd;
        std::string text = ownAnswer().bytes();
        text.replace(0, 8, "HTTP/1.0");
        write(text);
        out_.steps.push_back(Step{Step::What::close});
        break;
      }
      case 4:
        write(message(200, mine + "Content-Length: -1\r\n", bodyParts_, Framing::tillEnd, 0).bytes());
        out_.steps.push_back(Step{Step::What::close});
        broken();
        break;
      default:
        write(message(101, mine + "Upgrade: other\r\n", bodyParts_, Framing::tillEnd, 0).bytes());
        broken();
        break;
    }
  }

  Answer answer_;
  ReceivedRequest const& request_;
  std::vector<std::string> bodyParts_;
  ScriptedExchange out_;
};

}  // namespace

ScriptedExchange scriptedExchangeOf(Answer const& answer, ReceivedRequest const& request) {
  return Writer(answer, request).run();
}

}  // namespace corkward::fuzz
