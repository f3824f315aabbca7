#include <catch2/catch.hpp>

#include <QCoreApplication>
#include <QEventLoop>
#include <QProcess>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <QTimer>
#include <deque>
#include <map>
#include <memory>
#include <regex>
#include <string>
#include <utility>
#include <vector>

#include <corkward/audit/audit_log.h>

#include "testing/golden/golden.h"

/// Checks the requests that `corkward` and `corkward-runbook` send to a fake controller for each of their commands.
/// Former commands must still send the same bytes, since controllers of any release may receive them. The golden files
/// may be recorded again only if the operator interface in docs/interface.md changes.

namespace audit = corkward::audit;
namespace golden = corkward::golden;
namespace storage = corkward::storage;

namespace {

constexpr int programTimeoutMs = 30000;

QCoreApplication& application() {
  static int argc = 0;
  static QCoreApplication app(argc, nullptr);
  return app;
}

struct Response {
  int status = 200;
  std::string body = R"({"spec":{},"stamp":7})";
};

/// Responds to every request with a predefined response, and records the requests.
class FakeController : public QObject {
 public:
  FakeController() {
    REQUIRE(server_.listen(QHostAddress::LocalHost, 0));
    QObject::connect(&server_, &QTcpServer::newConnection, this, [this] { accept(); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.serverPort()); }
  /// Sets the responses to requests of one `METHOD path`, used one after the other. The last one is used repeatedly.
  void respondWith(std::string const& request, std::deque<Response> responses) {
    responses_[request] = std::move(responses);
  }
  /// Sets the response to all requests for which respondWith was not called.
  void setDefaultResponse(Response const& response) { defaultResponse_ = response; }
  std::string takeRequests() { return std::exchange(requests_, ""); }

 private:
  void accept() {
    while (QTcpSocket* const socket = server_.nextPendingConnection()) {
      auto const bytes = std::make_shared<QByteArray>();
      QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
      QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket, bytes] {
        *bytes += socket->readAll();
        qsizetype const end = bytes->indexOf("\r\n\r\n");
        if (end < 0) return;
        std::string const head = bytes->left(end).toStdString();
        std::smatch length;
        std::regex const field("\r\ncontent-length: *([0-9]+)", std::regex::icase);
        qsizetype const wanted = std::regex_search(head, length, field) ? std::stoi(length[1].str()) : 0;
        if (bytes->size() - end - 4 < wanted) return;
        serve(socket, head, bytes->mid(end + 4).toStdString());
        bytes->clear();
      });
    }
  }

  void serve(QTcpSocket* socket, std::string const& head, std::string const& body) {
    std::vector<std::string> const fields = golden::lines(std::regex_replace(head, std::regex("\r\n"), "\n"));
    // These headers are added by the HTTP library, and depend on its release and the machine's language.
    std::regex const libraryHeader("(connection|accept-encoding|accept-language|user-agent): .*", std::regex::icase);
    for (std::string const& field : fields)
      if (!std::regex_match(field, libraryHeader))
        requests_ += "  | " + std::regex_replace(field, std::regex(address()), "ADDRESS") + "\n";
    for (std::string const& line : golden::lines(body)) requests_ += "  > " + line + "\n";
    std::string const request = fields.front().substr(0, fields.front().rfind(' '));
    Response const response = nextResponse(request.substr(0, request.find('?')));
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " x\r\nconnection: close\r\n";
    if (response.status < 300) bytes += "etag: \"7\"\r\n";
    bytes += "content-length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    socket->write(QByteArray::fromStdString(bytes));
    socket->disconnectFromHost();
  }

  Response nextResponse(std::string const& request) {
    auto const found = responses_.find(request);
    if (found == responses_.end()) return defaultResponse_;
    Response const response = found->second.front();
    if (found->second.size() > 1) found->second.pop_front();
    return response;
  }

  QTcpServer server_;
  std::map<std::string, std::deque<Response>> responses_;
  Response defaultResponse_;
  std::string requests_;
};

/// Runs command lines and records their exit codes, the requests that they sent and, if requested, their output.
class Session {
 public:
  FakeController& controller() { return controller_; }

  void run(std::string const& program, std::vector<std::string> const& commandLine, bool showOutput = false) {
    text_ += "$ " + program;
    QStringList flags;
    for (std::string argument : commandLine) {
      text_ += " " + argument;
      argument = std::regex_replace(argument, std::regex("^ADDRESS"), controller_.address());
      argument = std::regex_replace(argument, std::regex("^GOLDEN"), golden::path("programs/test/golden"));
      argument = std::regex_replace(argument, std::regex("SCRATCH"), scratch());
      flags << QString::fromStdString(argument);
    }
    QProcess process;
    QEventLoop loop;
    QObject::connect(&process, &QProcess::finished, &loop, &QEventLoop::quit);
    QTimer::singleShot(programTimeoutMs, &loop, &QEventLoop::quit);
    process.start(QString::fromStdString(std::string(CORKWARD_BIN) + "/programs/" + program), flags);
    process.closeWriteChannel();
    if (process.state() != QProcess::NotRunning) loop.exec();
    REQUIRE(process.state() == QProcess::NotRunning);
    text_ += "\n  exit code " + std::to_string(process.exitCode()) + "\n";
    text_ += withoutRandomIds(controller_.takeRequests());
    if (!showOutput) return;
    for (std::string const& line : golden::lines(process.readAllStandardOutput().toStdString()))
      text_ += "  < " + withoutRandomIds(line) + "\n";
  }
  void corkward(std::vector<std::string> commandLine, bool showOutput = false) {
    commandLine.insert(commandLine.begin(), {"--substation", "ADDRESS"});
    run("corkward", commandLine, showOutput);
  }
  std::string scratch() const { return scratch_.path().toStdString(); }
  std::string const& text() const { return text_; }

 private:
  /// Replaces the ids that the programs generate at random.
  static std::string withoutRandomIds(std::string const& text) {
    return std::regex_replace(text, std::regex("\\b[0-9a-f]{32}\\b"), "RANDOM");
  }

  /// Declared before the controller, whose sockets need an application object.
  QCoreApplication& application_ = application();
  QTemporaryDir scratch_;
  FakeController controller_;
  std::string text_;
};

}  // namespace

TEST_CASE("each command sends the request of the golden file", "[golden]") {
  Session session;
  std::string const file = "GOLDEN/spec.json";
  std::vector<std::string> const change{"--stamp", "6", "--change-id", "change-1"};
  auto const changes = [&](std::vector<std::string> commandLine) {
    commandLine.insert(commandLine.begin(), change.begin(), change.end());
    session.corkward(commandLine);
  };
  for (std::vector<std::string> const& commandLine :
       std::vector<std::vector<std::string>>{{"template-get", "desk"},
                                             {"templates"},
                                             {"instance-get", "desk", "nord"},
                                             {"blueprint-get"},
                                             {"certificates-get"},
                                             {"evacuation", "north west/1"},
                                             {"pool-get", "model a/b"},
                                             {"change", "change-1"},
                                             {"fleet"}})
    session.corkward(commandLine);
  for (std::vector<std::string> const& commandLine :
       std::vector<std::vector<std::string>>{{"template-put", "desk", file},
                                             {"template-patch", "desk", file},
                                             {"template-delete", "desk"},
                                             {"instance-put", "desk", "nord", file},
                                             {"instance-patch", "desk", "nord", file},
                                             {"instance-delete", "desk", "nord"},
                                             {"blueprint-put", file},
                                             {"blueprint-patch", file},
                                             {"certificates-put", file},
                                             {"certificates-patch", file},
                                             {"revoke", "c1"},
                                             {"evacuate", "north west/1"},
                                             {"lift", "north west/1"},
                                             {"pool-put", "model a/b", file},
                                             {"node-gone", "10.4.0.7:7721"}})
    changes(commandLine);
  golden::check("programs/test/golden/requests_commands.txt", session.text());
}

TEST_CASE("options change a command's request, exit code and output as in the golden file", "[golden]") {
  Session session;
  session.corkward({"--dry-run", "--stamp", "6", "--change-id", "c", "template-put", "desk", "GOLDEN/spec.json"});
  session.corkward({"--stamp", "6", "template-delete", "desk"});
  session.corkward({"evacuate", "z1"});
  session.run("corkward", {"--substation", "127.0.0.1:1", "--substation", "ADDRESS", "--limit", "5", "fleet"});
  session.corkward({"--json", "template-get", "desk"}, true);
  session.controller().respondWith("PUT /v1/evacuations/z2", {{503, "{}"}, {200, R"({"stamp":8})"}});
  session.corkward({"--json", "--wait", "20", "--change-id", "c", "evacuate", "z2"}, true);
  for (int const status : {200, 201, 400, 404, 405, 409, 412, 413, 422, 428, 431, 503, 504, 500}) {
    session.controller().respondWith("PUT /v1/evacuations/z3", {{status, R"({"reason":"r"})"}});
    session.corkward({"--json", "--change-id", "c", "evacuate", "z3"}, true);
  }
  session.controller().respondWith("PUT /v1/evacuations/z3", {{504, R"({"pending":true,"stamp":9})"}});
  session.corkward({"--json", "--change-id", "c", "evacuate", "z3"}, true);
  session.run("corkward", {"--substation", "127.0.0.1:1", "--limit", "5", "fleet"});
  session.corkward({"--prune", "fleet"});
  session.corkward({"--limit", "0", "fleet"});
  session.corkward({"--wait", "3601", "fleet"});
  session.corkward({"template-get"});
  golden::check("programs/test/golden/requests_options.txt", session.text());
}

TEST_CASE("diff and apply of a directory of declarations send the requests of the golden file", "[golden]") {
  Session session;
  session.controller().setDefaultResponse({404, "{}"});
  session.controller().respondWith("GET /v1/platform/pools/model", {{}});
  auto const all = [&] {
    session.corkward({"--json", "diff", "GOLDEN/declared"}, true);
    session.corkward({"--json", "--dry-run", "apply", "GOLDEN/declared"}, true);
    session.corkward({"--json", "--prune", "diff", "GOLDEN/declared"}, true);
  };
  all();
  for (char const* const path :
       {"PUT /v1/certificates", "PUT /v1/templates/desk", "PUT /v1/templates/desk/instances/nord"})
    session.controller().respondWith(path, {{201, R"({"stamp":1})"}});
  session.corkward({"--json", "--wait", "5", "apply", "GOLDEN/declared"}, true);
  // The fleet now has a different template, an undeclared instance and an undeclared template.
  session.controller().respondWith("GET /v1/certificates",
                                   {{200, R"({"spec":{"regimes":{},"certificates":{}},"stamp":3})"}});
  session.controller().respondWith("GET /v1/templates", {{200, R"({"templates":["desk","old"]})"}});
  session.controller().respondWith(
      "GET /v1/templates/desk",
      {{200,
        R"({"spec":{"paths":[{"path":"a","pool":"model","class":"short"}]},"stamp":4,"instances":["nord","sued"]})"}});
  session.controller().respondWith("GET /v1/templates/desk/instances/nord", {{200, R"({"spec":{},"stamp":5})"}});
  session.controller().respondWith("GET /v1/templates/desk/instances/sued", {{200, R"({"spec":{},"stamp":6})"}});
  session.controller().respondWith(
      "GET /v1/templates/old",
      {{200, R"({"spec":{"paths":[{"path":"a","pool":"model","class":"short"}]},"stamp":2,"instances":[]})"}});
  session.controller().respondWith("DELETE /v1/templates/desk/instances/sued", {{200, R"({"stamp":8})"}});
  session.controller().respondWith("DELETE /v1/templates/old", {{200, R"({"stamp":9})"}});
  all();
  session.corkward({"--json", "--prune", "apply", "GOLDEN/declared"}, true);
  session.controller().respondWith("PUT /v1/templates/desk", {{412, R"({"stamp":9,"reason":"stale"})"}});
  session.corkward({"--json", "apply", "GOLDEN/declared"}, true);
  golden::check("programs/test/golden/requests_declared.txt", session.text());
}

TEST_CASE("a report of regimes is printed as in the golden file", "[golden]") {
  Session session;
  {
    std::unique_ptr<storage::Directory> const disk = storage::openDirectory(session.scratch() + "/audit");
    audit::AuditLog log(*disk, "10.4.0.7:7721", 1780000000000);
    log.countOutcome(
        audit::RecordCategory{"handed-over", "health", "desk.nord", "model", "10.0.0.1:80", "r1", "z1", "c1", {}},
        1780000000000);
    log.countOutcome(audit::RecordCategory{"denied", "health", "desk.nord", "", "", "", "", "", "no certificate"},
                     1780000004000);
    log.close(1780000010000);
  }
  session.run("corkward", {"--json", "regime", "report", "SCRATCH/audit"}, true);
  session.run("corkward",
              {"--json", "--regime", "health", "--from", "2026-05-28T20:00:00Z", "--until", "2026-05-29T00:00:00Z",
               "--span", "10", "regime", "report", "SCRATCH/audit"},
              true);
  session.run("corkward",
              {"--json", "--head", "10.4.0.7:7721=9:" + std::string(64, 'a'), "regime", "report", "SCRATCH/audit"},
              true);
  session.run("corkward", {"regime", "report"});
  golden::check("programs/test/golden/report.txt", session.text());
}

TEST_CASE("the steps of a runbook send the requests of the golden file", "[golden]") {
  Session session;
  session.controller().respondWith("GET /v1/templates", {{200, R"({"templates":["desk"]})"}});
  std::vector<std::string> commandLine{
      "--substation",       "ADDRESS", "--set", "zone=north west", "--set", "file=SCRATCH/saved", "--yes",
      "GOLDEN/runbook.json"};
  session.controller().setDefaultResponse({404, R"({"stamp":7})"});
  for (char const* const path :
       {"PUT /v1/evacuations/north%20west", "GET /v1/evacuations/north%20west", "DELETE /v1/evacuations/north%20west",
        "GET /v1/templates/desk", "PUT /v1/templates/desk", "PATCH /v1/templates/desk",
        "GET /v1/templates/desk/instances/nord", "PUT /v1/templates/desk/instances/nord",
        "PATCH /v1/templates/desk/instances/nord"})
    session.controller().respondWith(path, {{}});
  session.run("corkward-runbook", commandLine);
  commandLine.insert(commandLine.begin(), "--dry-run");
  session.run("corkward-runbook", commandLine);
  commandLine.insert(commandLine.begin(), "--check");
  session.run("corkward-runbook", commandLine);
  golden::check("programs/test/golden/requests_runbook.txt", session.text());
}
