#pragma once

#include <QHostAddress>
#include <QTcpSocket>
#include <functional>
#include <string>

#include <corkward/core/json.h>
#include <corkward/http/mapping.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/server.h>

#include "turn.h"

/// For golden tests of the HTTP edges: requests as bytes through a real server, what a mapping reads in them, and
/// answers as the bytes that the caller gets.
namespace corkward::http::test {

/// Milliseconds that a request took to be read, as the tests say it.
constexpr core::Milliseconds saidReadFor = 7;

/// A server on the loopback, and one caller at a time.
class Exchange {
 public:
  using Serve = std::function<void(Server&, Request const&)>;

  explicit Exchange(ServerLimits limits = {}) : server_("127.0.0.1:0", std::move(limits), events()) {}

  /// One more connection, which stays open and asks for nothing.
  void occupy() {
    SocketAddress const at = parseSocketAddress(server_.address());
    idle_.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    until([this] { return server_.connectionCount() == 1; });
  }
  /// Sends the bytes on a connection of their own and gives all bytes of the one answer.
  std::string answerTo(std::string const& bytes, Serve serve) {
    serve_ = std::move(serve);
    SocketAddress const at = parseSocketAddress(server_.address());
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    socket.write(QByteArray::fromStdString(bytes));
    bool const bodiless = bytes.rfind("HEAD ", 0) == 0;
    std::string got;
    bool const whole = until([&] {
      got += socket.readAll().toStdString();
      return complete(got, bodiless) || (socket.state() == QAbstractSocket::UnconnectedState && !got.empty());
    });
    return whole ? got : got + "(no whole answer)";
  }

 private:
  Server::Events events() {
    Server::Events e;
    e.request = [this](Request const& request) {
      Request said = request;
      said.readDuration = saidReadFor;
      serve_(server_, said);
    };
    return e;
  }
  static bool complete(std::string const& all, bool bodiless) {
    bool const goesOn = all.rfind("HTTP/1.1 100 ", 0) == 0 && all.find("\r\n\r\n") != std::string::npos;
    std::string const got = goesOn ? all.substr(all.find("\r\n\r\n") + 4) : all;
    std::size_t const end = got.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    std::string const head = toLower(got.substr(0, end));
    std::size_t const status = std::stoul(head.substr(head.find(' ') + 1, 3));
    if (bodiless || status == 204 || status == 304) return true;
    if (head.find("transfer-encoding: chunked") != std::string::npos)
      return got.size() >= 5 && got.compare(got.size() - 5, 5, "0\r\n\r\n") == 0;
    std::string const name = "content-length: ";
    std::size_t const length = head.find(name);
    return length != std::string::npos && got.size() >= end + 4 + std::stoul(head.substr(length + name.size()));
  }

  Serve serve_;
  QTcpSocket idle_;
  Server server_;
};

/// Longest line that is written out; a longer one is told by its beginning and its size.
constexpr std::size_t longestLine = 2000;

/// Bytes of a message with its line ends made visible.
inline std::string shown(std::string const& bytes) {
  std::string out;
  for (std::size_t from = 0; from < bytes.size();) {
    std::size_t const feed = bytes.find('\n', from);
    std::size_t const end = feed == std::string::npos ? bytes.size() : feed + 1;
    std::string line;
    for (char const c : bytes.substr(from, end - from))
      line += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    if (line.size() > longestLine) line = line.substr(0, 80) + " ... (" + std::to_string(line.size()) + " characters)";
    out += "  " + line + "\n";
    from = end;
  }
  return out;
}

inline std::string shown(HeaderList const& fields) {
  std::string out;
  for (auto const& [name, value] : fields) out += "  " + name + ": " + value + "\n";
  return out;
}

/// A caller's request as the data plane gets it, or its fault.
inline std::string shown(CallerRequest const& caller) {
  if (!caller.request) return "fault " + std::to_string(caller.status) + " \"" + caller.reason + "\"\n";
  dataplane::Request const& r = *caller.request;
  std::string out = "request\n";
  auto const line = [&out](std::string const& name, std::string const& value) {
    out += "  " + name + "=" + value + "\n";
  };
  line("instance", r.instance);
  line("path", r.path);
  line("host", r.host);
  line("target", r.target);
  for (dataplane::PromptSegment const& part : r.segments)
    line("part", std::to_string(part.hash) + " " + std::to_string(part.tokens));
  line("tokens-out", std::to_string(r.tokensOut));
  line("tokens", r.tokens ? std::to_string(*r.tokens) : "none");
  line("key", r.tenantKey);
  line("id", r.id);
  line("trace", r.attemptName);
  line("attempt", std::to_string(r.attempt));
  line("earlier-not-run", r.earlierNotExecuted ? "yes" : "no");
  line("earlier-reached", r.earlierReachedReplica ? "yes" : "no");
  line("age", std::to_string(r.ageMs));
  line("prefix", r.prefix);
  line("deadline", std::to_string(r.deadline));
  line("read-for", std::to_string(r.readDuration));
  line("events", caller.isEventStream ? "yes" : "no");
  line("last-event", caller.lastEventId);
  return out;
}

inline std::string shown(ReplicaRequest const& request) {
  return request.method + " " + request.target + "\n" + shown(request.headers);
}

inline std::string shown(dataplane::ResponseHead const& head) {
  std::string out =
      "head " + std::to_string(head.status) + " \"" + head.reason + "\" length=" + std::to_string(head.length);
  if (head.notExecuted) out += " not-run";
  if (head.failed) out += " failed";
  if (head.foreign) out += " foreign";
  if (head.events) out += " events";
  if (head.bodiless) out += " bodiless";
  if (!head.run.empty()) out += " run=" + head.run;
  if (!head.offset.empty()) out += " offset=" + head.offset;
  return out + "\n" + shown(head.fields);
}

/// An operator's request as the control plane gets it, or the answer that it gets at once.
inline std::string shown(OperatorRequest const& asked) {
  if (!asked.call) return "answered at once\n";
  transport::OperatorCall const& call = *asked.call;
  return "call\n  method=" + call.method + "\n  path=" + call.path + "\n  if-match=" + call.ifMatch +
         "\n  change-id=" + call.changeId + "\n  dry-run=" + (call.dryRun ? "yes" : "no") + "\n  body=" + call.body +
         "\n";
}

/// Requests, what they became and what was answered, one after the other.
class Transcript {
 public:
  explicit Transcript(ServerLimits limits = {}) : exchange_(std::move(limits)) {}

  void occupy() { exchange_.occupy(); }
  void title(std::string const& words) { text_ += "\n# " + words + "\n"; }
  void add(std::string const& more) { text_ += more; }
  std::string const& text() const { return text_; }

  void caller(Mapping const& mapping, std::string const& bytes) {
    text_ += ">\n" + shown(bytes);
    std::string event = "not read\n";
    std::string const got = exchange_.answerTo(bytes, [&](Server& server, Request const& request) {
      CallerRequest const caller = mapping.callerRequest(request);
      event = shown(caller);
      dataplane::Reject const reject{request.id, caller.request ? 503 : caller.status,
                                     caller.request ? "answered by the test" : caller.reason, true, 0};
      server.respond(request.id, reject.status, mapping.rejectionHeaders(reject), mapping.rejectionBody(reject));
    });
    text_ += event;
    if (event.rfind("request", 0) != 0) text_ += "<\n" + shown(got);
  }
  /// What the server itself answers to the bytes.
  void refused(std::string const& bytes) {
    text_ += ">\n" + shown(bytes) + "<\n" + shown(exchange_.answerTo(bytes, [](Server& server, Request const& request) {
               server.respond(request.id, 200, {}, "served");
             }));
  }
  void rejected(Mapping const& mapping, dataplane::Reject const& reject, std::string const& method = "POST") {
    text_ += "reject " + std::to_string(reject.status) + (reject.notExecuted ? " not-run" : "") +
             (reject.reachedReplica ? " reached" : "") + " retry-after=" + std::to_string(reject.retryAfter) + " " +
             method + "\n<\n" +
             shown(exchange_.answerTo(method + " /x HTTP/1.1\r\nHost: h\r\n\r\n",
                                      [&](Server& server, Request const& request) {
                                        server.respond(request.id, reject.status, mapping.rejectionHeaders(reject),
                                                       mapping.rejectionBody(reject));
                                      }));
  }
  /// What a replica is handed for the caller's bytes.
  void dispatch(Mapping const& mapping, std::string const& bytes, dataplane::SendRequest const& handOver,
                dataplane::Resume const& resume) {
    text_ += ">\n" + shown(bytes);
    exchange_.answerTo(bytes, [&](Server& server, Request const& request) {
      CallerRequest const caller = mapping.callerRequest(request);
      std::string const path = caller.request ? caller.request->path : "";
      text_ += "to the replica\n";
      if (caller.request)
        text_ += shown(mapping.replicaRequest(Dispatch{request, *caller.request, path, handOver, resume}));
      server.respond(request.id, 200, {}, "");
    });
  }
  /// The answer that a caller gets for a replica's, with that body.
  void replicaAnswer(Mapping const& mapping, ReplicaHead const& replica, std::string const& body,
                     HeaderMap const& asked = {}) {
    text_ += "replica " + std::to_string(replica.status) + " length=" + std::to_string(replica.bodyLength) + "\n" +
             shown(replica.headers);
    Request request;
    request.method = "POST";
    request.headers = asked;
    dataplane::ResponseHead const head = mapping.responseHead(replica, request);
    text_ += shown(head) + "<\n" +
             shown(exchange_.answerTo("POST /x HTTP/1.1\r\nHost: h\r\n\r\n", [&](Server& server, Request const& r) {
               server.beginResponse(r.id, head.status, head.fields, head.length, head.reason);
               server.writeChunk(r.id, body);
               server.finishResponse(r.id);
             }));
  }
  void operatorCall(OperatorMapping const& mapping, std::string const& bytes) {
    text_ += ">\n" + shown(bytes);
    std::string event = "not read\n";
    std::string const got = exchange_.answerTo(bytes, [&](Server& server, Request const& request) {
      OperatorRequest const asked = mapping.operatorCall(request, "fresh");
      event = shown(asked);
      server.respond(request.id, asked.call ? 200 : asked.immediateResponse.status,
                     asked.call ? HeaderList{} : asked.immediateResponse.headers,
                     asked.call ? "" : asked.immediateResponse.body);
    });
    text_ += event;
    if (event.rfind("call", 0) != 0) text_ += "<\n" + shown(got);
  }
  void operatorAnswer(OperatorMapping const& mapping, transport::OperatorCall const& call, int status,
                      std::string const& body) {
    text_ += "answer to " + call.method + " " + call.path + ": " + std::to_string(status) + " " + body + "\n";
    whole(mapping.response(call, status, core::parseJson(body).toObject()));
  }
  /// An answer as bytes.
  void whole(Response const& answer) {
    text_ += "<\n" + shown(exchange_.answerTo("GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
                                              [&](Server& server, Request const& request) {
                                                server.respond(request.id, answer.status, answer.headers, answer.body);
                                              }));
  }

 private:
  std::string text_;
  Exchange exchange_;
};

}  // namespace corkward::http::test
