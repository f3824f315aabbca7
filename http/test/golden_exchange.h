#pragma once

#include <QHostAddress>
#include <QTcpSocket>
#include <functional>
#include <string>

#include <corkward/core/json.h>
#include <corkward/http/mapping.h>
#include <corkward/http/operator_mapping.h>
#include <corkward/http/server.h>

#include "event_loop.h"

/// Helpers for golden tests of HTTP interfaces. They send the bytes of requests to a real server. They record how a
/// mapping translates the requests, and the bytes of the responses that the caller receives.
namespace corkward::http::test {

/// Value of Request::readDuration in all records. The measured duration would differ from run to run.
constexpr core::Milliseconds recordedReadDuration = 7;

/// A server on the loopback interface that receives one request at a time.
class Exchange {
 public:
  /// Writes the response to a request.
  using Serve = std::function<void(Server&, Request const&)>;

  explicit Exchange(ServerLimits limits = {}) : server_("127.0.0.1:0", std::move(limits), events()) {}

  /// Opens a connection that stays open and sends no request.
  void openIdleConnection() {
    SocketAddress const at = parseSocketAddress(server_.address());
    idle_.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    waitUntil([this] { return server_.connectionCount() == 1; });
  }
  /// Sends the bytes on a new connection and returns all bytes of the response.
  std::string responseTo(std::string const& bytes, Serve serve) {
    serve_ = std::move(serve);
    SocketAddress const at = parseSocketAddress(server_.address());
    QTcpSocket socket;
    socket.connectToHost(QHostAddress(QString::fromStdString(at.host)), at.port);
    socket.write(QByteArray::fromStdString(bytes));
    bool const bodiless = bytes.rfind("HEAD ", 0) == 0;
    std::string response;
    bool const isComplete = waitUntil([&] {
      response += socket.readAll().toStdString();
      return complete(response, bodiless) || (socket.state() == QAbstractSocket::UnconnectedState && !response.empty());
    });
    return isComplete ? response : response + "(incomplete response)";
  }

 private:
  Server::Events events() {
    Server::Events e;
    e.request = [this](Request const& request) {
      Request recorded = request;
      recorded.readDuration = recordedReadDuration;
      serve_(server_, recorded);
    };
    return e;
  }
  /// Whether the received bytes are a complete response, which an interim 100 (Continue) response may precede.
  static bool complete(std::string const& received, bool bodiless) {
    bool const hasInterimResponse =
        received.rfind("HTTP/1.1 100 ", 0) == 0 && received.find("\r\n\r\n") != std::string::npos;
    std::string const response = hasInterimResponse ? received.substr(received.find("\r\n\r\n") + 4) : received;
    std::size_t const end = response.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    std::string const head = toLower(response.substr(0, end));
    std::size_t const status = std::stoul(head.substr(head.find(' ') + 1, 3));
    if (bodiless || status == 204 || status == 304) return true;
    if (head.find("transfer-encoding: chunked") != std::string::npos)
      return response.size() >= 5 && response.compare(response.size() - 5, 5, "0\r\n\r\n") == 0;
    std::string const name = "content-length: ";
    std::size_t const length = head.find(name);
    return length != std::string::npos && response.size() >= end + 4 + std::stoul(head.substr(length + name.size()));
  }

  Serve serve_;
  QTcpSocket idle_;
  Server server_;
};

/// Longest line that is recorded completely. Of a longer line only the first 80 characters and its length are recorded.
constexpr std::size_t maxRecordedLineLength = 2000;

/// Returns the bytes of a message, indented and with visible line ends.
inline std::string recordOf(std::string const& bytes) {
  std::string out;
  for (std::size_t from = 0; from < bytes.size();) {
    std::size_t const lineFeed = bytes.find('\n', from);
    std::size_t const end = lineFeed == std::string::npos ? bytes.size() : lineFeed + 1;
    std::string line;
    for (char const c : bytes.substr(from, end - from))
      line += c == '\r' ? "\\r" : c == '\n' ? "\\n" : std::string(1, c);
    if (line.size() > maxRecordedLineLength)
      line = line.substr(0, 80) + " ... (" + std::to_string(line.size()) + " characters)";
    out += "  " + line + "\n";
    from = end;
  }
  return out;
}

inline std::string recordOf(HeaderList const& fields) {
  std::string out;
  for (auto const& [name, value] : fields) out += "  " + name + ": " + value + "\n";
  return out;
}

/// Returns the record of a caller's request as the data plane receives it, or of its rejection.
inline std::string recordOf(CallerRequest const& caller) {
  if (!caller.request) return "fault " + std::to_string(caller.status) + " \"" + caller.reason + "\"\n";
  dataplane::Request const& r = *caller.request;
  std::string out = "request\n";
  auto const line = [&out](std::string const& name, std::string const& value) {
    out += "  " + name + "=" + value + "\n";
  };
  line("instance", r.instance);
  line("path", r.path);
  line("host", r.host.text());
  line("target", r.target);
  for (dataplane::PromptSegment const& segment : r.segments)
    line("part", std::to_string(segment.hash) + " " + std::to_string(segment.tokens));
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

inline std::string recordOf(ReplicaRequest const& request) {
  return request.method + " " + request.target + "\n" + recordOf(request.headers);
}

inline std::string recordOf(dataplane::ResponseHead const& head) {
  std::string out =
      "head " + std::to_string(head.status) + " \"" + head.reason + "\" length=" + std::to_string(head.length);
  if (head.notExecuted) out += " not-run";
  if (head.failed) out += " failed";
  if (head.foreign) out += " foreign";
  if (head.events) out += " events";
  if (head.bodiless) out += " bodiless";
  if (!head.run.empty()) out += " run=" + head.run;
  if (!head.offset.empty()) out += " offset=" + head.offset;
  return out + "\n" + recordOf(head.fields);
}

/// Returns the record of an operator's request as the control plane receives it, or a note that the mapping responded
/// to it.
inline std::string recordOf(OperatorRequest const& operatorRequest) {
  if (!operatorRequest.call) return "answered at once\n";
  transport::OperatorCall const& call = *operatorRequest.call;
  return "call\n  method=" + call.method + "\n  path=" + call.path + "\n  if-match=" + call.ifMatch +
         "\n  change-id=" + call.changeId + "\n  dry-run=" + (call.dryRun ? "yes" : "no") + "\n  body=" + call.body +
         "\n";
}

/// Records a sequence of requests, their translations and the responses.
class Transcript {
 public:
  explicit Transcript(ServerLimits limits = {}) : exchange_(std::move(limits)) {}

  void openIdleConnection() { exchange_.openIdleConnection(); }
  void title(std::string const& heading) { text_ += "\n# " + heading + "\n"; }
  void append(std::string const& records) { text_ += records; }
  std::string const& text() const { return text_; }

  /// Records a caller's request, and the response if the request is not dispatched to the data plane.
  void caller(Mapping const& mapping, std::string const& bytes) {
    text_ += ">\n" + recordOf(bytes);
    std::string translation = "not read\n";
    std::string const response = exchange_.responseTo(bytes, [&](Server& server, Request const& request) {
      CallerRequest const caller = mapping.callerRequest(request);
      translation = recordOf(caller);
      dataplane::Reject const reject{request.id, caller.request ? 503 : caller.status,
                                     caller.request ? "answered by the test" : caller.reason, true, 0};
      server.respond(request.id, reject.status, mapping.rejectionHeaders(reject), mapping.rejectionBody(reject));
    });
    text_ += translation;
    if (translation.rfind("request", 0) != 0) text_ += "<\n" + recordOf(response);
  }
  /// Records the response to bytes that the server itself rejects, or that the test serves with status 200.
  void serverResponse(std::string const& bytes) {
    text_ += ">\n" + recordOf(bytes) + "<\n" +
             recordOf(exchange_.responseTo(
                 bytes, [](Server& server, Request const& request) { server.respond(request.id, 200, {}, "served"); }));
  }
  /// Records the response to a request that the data plane rejects.
  void rejected(Mapping const& mapping, dataplane::Reject const& reject, std::string const& method = "POST") {
    text_ += "reject " + std::to_string(reject.status) + (reject.notExecuted ? " not-run" : "") +
             (reject.reachedReplica ? " reached" : "") + " retry-after=" + std::to_string(reject.retryAfter) + " " +
             method + "\n<\n" +
             recordOf(exchange_.responseTo(method + " /x HTTP/1.1\r\nHost: h\r\n\r\n",
                                           [&](Server& server, Request const& request) {
                                             server.respond(request.id, reject.status, mapping.rejectionHeaders(reject),
                                                            mapping.rejectionBody(reject));
                                           }));
  }
  /// Records the request that is sent to a replica for a caller's request.
  void dispatch(Mapping const& mapping, std::string const& bytes, dataplane::SendRequest const& command,
                dataplane::Resume const& resume) {
    text_ += ">\n" + recordOf(bytes);
    exchange_.responseTo(bytes, [&](Server& server, Request const& request) {
      CallerRequest const caller = mapping.callerRequest(request);
      std::string const path = caller.request ? caller.request->path : "";
      text_ += "to the replica\n";
      if (caller.request)
        text_ += recordOf(mapping.replicaRequest(Dispatch{request, *caller.request, path, command, resume}));
      server.respond(request.id, 200, {}, "");
    });
  }
  /// Records the response that a caller receives for a replica's response with the given body.
  /// @param requestHeaders header fields of the caller's request
  void replicaResponse(Mapping const& mapping, ReplicaHead const& replica, std::string const& body,
                       HeaderMap const& requestHeaders = {}) {
    text_ += "replica " + std::to_string(replica.status) + " length=" + std::to_string(replica.bodyLength) + "\n" +
             recordOf(replica.headers);
    Request request;
    request.method = "POST";
    request.headers = requestHeaders;
    dataplane::ResponseHead const head = mapping.responseHead(replica, request);
    text_ +=
        recordOf(head) + "<\n" +
        recordOf(exchange_.responseTo("POST /x HTTP/1.1\r\nHost: h\r\n\r\n", [&](Server& server, Request const& r) {
          server.beginResponse(r.id, head.status, head.fields, head.length, head.reason);
          server.writeChunk(r.id, body);
          server.finishResponse(r.id);
        }));
  }
  /// Records an operator's request, and the response if the mapping responds itself.
  void operatorCall(OperatorMapping const& mapping, std::string const& bytes) {
    text_ += ">\n" + recordOf(bytes);
    std::string translation = "not read\n";
    std::string const response = exchange_.responseTo(bytes, [&](Server& server, Request const& request) {
      OperatorRequest const operatorRequest = mapping.operatorCall(request, "fresh");
      translation = recordOf(operatorRequest);
      server.respond(request.id, operatorRequest.call ? 200 : operatorRequest.immediateResponse.status,
                     operatorRequest.call ? HeaderList{} : operatorRequest.immediateResponse.headers,
                     operatorRequest.call ? "" : operatorRequest.immediateResponse.body);
    });
    text_ += translation;
    if (translation.rfind("call", 0) != 0) text_ += "<\n" + recordOf(response);
  }
  /// Records the HTTP response into which the mapping translates the control plane's reply to an operator call.
  void operatorResponse(OperatorMapping const& mapping, transport::OperatorCall const& call, int status,
                        std::string const& body) {
    text_ += "answer to " + call.method + " " + call.path + ": " + std::to_string(status) + " " + body + "\n";
    complete(mapping.response(call, status, core::parseJson(body).toObject()));
  }
  /// Records the bytes of a complete response.
  void complete(Response const& response) {
    text_ += "<\n" + recordOf(exchange_.responseTo(
                         "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", [&](Server& server, Request const& request) {
                           server.respond(request.id, response.status, response.headers, response.body);
                         }));
  }

 private:
  std::string text_;
  Exchange exchange_;
};

}  // namespace corkward::http::test
