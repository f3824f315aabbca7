#include "standins.h"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

Clock::time_point const startedAt = Clock::now();
constexpr int readTimeoutMs = 20000;
constexpr int operatorTimeoutMs = 1000;
constexpr int readyTimeoutMs = 20000;

sockaddr_in socketAddress(Address const& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

std::string lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string headText(std::string const& start, Headers const& headers) {
  std::string out = start + "\r\n";
  for (auto const& [name, value] : headers) out.append(name).append(": ").append(value).append("\r\n");
  return out + "\r\n";
}

std::string wordOf(std::string const& line, int index) {
  std::istringstream stream(line);
  std::string word;
  for (int i = 0; i <= index; ++i) stream >> word;
  return word;
}

/// Returns the command of a role of the deploy file, split at spaces.
std::vector<std::string> commandOf(std::string const& role) {
  std::ifstream file("deploy/system.toml");
  std::string line;
  bool inRole = false;
  while (std::getline(file, line)) {
    if (line.rfind('[', 0) == 0) inRole = line == "[roles." + role + "]";
    std::size_t const open = line.find('"');
    if (!inRole || line.rfind("run", 0) != 0 || open == std::string::npos) continue;
    std::istringstream words(line.substr(open + 1, line.rfind('"') - open - 1));
    std::vector<std::string> command;
    std::string word;
    while (words >> word) command.push_back(word);
    return command;
  }
  throw SetupError("deploy file: no command of role " + role);
}

}  // namespace

std::int64_t now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

void sleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Record::Record(std::string path) : path_(std::move(path)) {
  std::ofstream(path_, std::ios::trunc).flush();
}

void Record::line(std::string const& text) {
  std::lock_guard const lock(mutex_);
  std::ofstream out(path_, std::ios::app);
  out << now() << " ms " << text << "\n";
}

std::string Message::header(std::string const& name) const {
  for (auto const& [headerName, value] : headers)
    if (headerName == name) return value;
  return "";
}

int Message::status() const {
  return std::atoi(wordOf(start, 1).c_str());
}

std::string Message::method() const {
  return wordOf(start, 0);
}

std::string Message::target() const {
  return wordOf(start, 1);
}

Connection::~Connection() {
  ::close(descriptor_);
}

std::unique_ptr<Connection> Connection::open(Address const& address, int timeoutMs) {
  int const descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(descriptor);
  sockaddr_in const to = socketAddress(address);
  int const result = ::connect(descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof to);
  if (result != 0 && errno != EINPROGRESS) return nullptr;
  pollfd waiting{descriptor, POLLOUT, 0};
  if (::poll(&waiting, 1, timeoutMs) != 1) return nullptr;
  int error = 0;
  socklen_t length = sizeof error;
  ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) return nullptr;
  ::fcntl(descriptor, F_SETFL, 0);
  timeval const limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  return connection;
}

bool Connection::write(std::string const& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    ssize_t const n = ::send(descriptor_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::fill() {
  char chunk[16384];
  ssize_t const n = ::recv(descriptor_, chunk, sizeof chunk, 0);
  if (n <= 0) return false;
  buffer_.append(chunk, static_cast<std::size_t>(n));
  return true;
}

std::optional<std::string> Connection::takeLine() {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos)
    if (!fill()) return std::nullopt;
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

void Connection::readHead(Message& message) {
  std::optional<std::string> line = takeLine();
  if (!line) return;
  message.start = *line;
  while ((line = takeLine()) && !line->empty()) {
    std::size_t const colon = line->find(':');
    if (colon == std::string::npos) return;
    std::size_t const value = line->find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(lower(line->substr(0, colon)), value == std::string::npos ? "" : line->substr(value));
  }
  message.hasHead = line.has_value();
}

bool Connection::takeBytes(std::size_t count, std::string& out) {
  while (buffer_.size() < count)
    if (!fill()) {
      out += buffer_;
      buffer_.clear();
      return false;
    }
  out.append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

void Connection::readBody(Message& message, bool isResponse) {
  std::string const length = message.header("content-length");
  if (!length.empty()) {
    message.complete = takeBytes(std::stoul(length), message.body);
  } else if (lower(message.header("transfer-encoding")) == "chunked") {
    for (;;) {
      std::optional<std::string> const size = takeLine();
      if (!size) return;
      std::size_t const bytes = std::stoul(*size, nullptr, 16);
      if (!takeBytes(bytes, message.body) || !takeLine()) return;
      if (bytes == 0) break;
    }
    message.complete = true;
  } else if (isResponse) {
    while (fill()) {
    }
    message.body = std::exchange(buffer_, {});
    message.complete = true;
  } else {
    message.complete = true;
  }
}

Message Connection::readRequest() {
  Message message;
  readHead(message);
  if (message.hasHead) readBody(message, false);
  return message;
}

Message Connection::readResponse() {
  Message message;
  readHead(message);
  if (message.hasHead) readBody(message, true);
  return message;
}

int listenAt(Address const& address) {
  int const listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in const at = socketAddress(address);
  if (::bind(listener, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0 && ::listen(listener, 128) == 0)
    return listener;
  ::close(listener);
  return -1;
}

void serve(int listener, Handler const& handler) {
  for (;;) {
    int const descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    int const on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([descriptor, handler] {
      Connection connection(descriptor);
      for (;;) {
        Message const request = connection.readRequest();
        if (!request.hasHead || !request.complete || !handler(connection, request)) return;
      }
    }).detach();
  }
}

bool respond(Connection& connection, int status, Headers const& headers, std::string const& body) {
  Headers all = headers;
  all.emplace_back("Content-Length", std::to_string(body.size()));
  return connection.write(headText("HTTP/1.1 " + std::to_string(status) + " Status", all) + body);
}

Message call(Address const& address, std::string const& method, std::string const& target, Headers const& headers,
             std::string const& body, int timeoutMs) {
  std::unique_ptr<Connection> const connection = Connection::open(address, timeoutMs);
  if (!connection) return {};
  Headers all = headers;
  all.emplace_back("Content-Length", std::to_string(body.size()));
  if (!connection->write(headText(method + " " + target + " HTTP/1.1", all) + body)) return {};
  return connection->readResponse();
}

std::string routeJson(RouteSettings const& route) {
  bool const streams = route.type == "streaming";
  return R"({"name":")" + route.name + R"(","host":")" + route.host + R"(","pathStart":")" + route.prefix +
         R"(","type":")" + route.type + R"(","deadlineMs":)" + std::to_string(route.deadlineMs) + R"(,"targetMs":)" +
         std::to_string(route.targetMs) + R"(,"urgency":1,"backend":")" + route.service + R"(","tries":)" +
         std::to_string(route.tries) + R"(,"pinReplica":)" + (streams ? "true" : "false") + R"(,"resumeStreams":)" +
         (route.resumable ? "true" : "false") + R"(,"gapTargetMs":400})";
}

namespace {

std::string routesJson(std::vector<RouteSettings> const& routes) {
  std::string out;
  for (RouteSettings const& route : routes) out.append(out.empty() ? "" : ",").append(routeJson(route));
  return "[" + out + "]";
}

}  // namespace

std::string configurationJson(int version, std::vector<RouteSettings> const& routes,
                              std::vector<std::string> const& gateways) {
  std::string services =
      R"({"name":"narrative-llm","healthPath":"/health","maxConns":640,"protocol":"h1","useTls":false,"warmupS":3.0,)"
      R"("coldPerS":20.0,"engine":{"slots":128,"cacheTokens":654078,"tokenBytes":18432.0,"networkMbps":370000.0,)"
      R"("stride":6,"models":[{"name":"m"}]}})";
  for (std::string const& gateway : gateways)
    services += R"(,{"name":")" + gateway +
                R"(","healthPath":"/health","maxConns":130,"protocol":"h1","useTls":false,"warmupS":0.0,)"
                R"("coldPerS":0.0})";
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routes":)" + routesJson(routes) + R"(,"backends":[)" +
         services +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleCutMs":15000}})";
}

std::string updateJson(int version, std::vector<RouteSettings> const& routes) {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"upsert":{"routes":)" + routesJson(routes) + "}}";
}

pid_t startProgram(std::vector<std::string> const& command, std::vector<std::string> const& environment,
                   std::string const& outputPath) {
  std::vector<char*> arguments;
  for (std::string const& word : command) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);
  std::vector<char*> variables;
  for (std::string const& variable : environment) variables.push_back(const_cast<char*>(variable.c_str()));
  variables.push_back(nullptr);
  pid_t const parent = ::getpid();
  pid_t const child = ::fork();
  if (child != 0) return child;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(1);
  int const output = ::open(outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  ::execve(arguments.front(), arguments.data(), variables.data());
  ::_exit(127);
}

void endProgram(pid_t process, int signalNumber) {
  ::kill(process, signalNumber);
  ::waitpid(process, nullptr, 0);
}

Fleet::Fleet(std::string folder, Record& record) : folder_(std::move(folder)), record_(record) {
  chooseNetwork();
}

Fleet::~Fleet() {
  for (pid_t const process : processes_) endProgram(process, SIGKILL);
}

void Fleet::chooseNetwork() {
  std::mt19937 random{std::random_device{}()};
  constexpr int attempts = 20;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    network_ = "127." + std::to_string(60 + random() % 120) + "." + std::to_string(1 + random() % 250);
    bool isFree = true;
    for (int machine = 0; machine < machines; ++machine)
      for (int const port : {frontPort, readyPort, controlPort, 7720, 7721, 9464, 9465}) {
        int const probe = listenAt({ip(firstHost + machine), port});
        isFree = isFree && probe >= 0;
        if (probe >= 0) ::close(probe);
      }
    int const listener = isFree ? listenAt({ip(2), listPort}) : -1;
    if (listener < 0) continue;
    std::thread([this, listener] {
      serve(listener, [this](Connection& connection, Message const&) {
        return respond(connection, 200, {{"Content-Type", "application/json"}}, listJson());
      });
    }).detach();
    return;
  }
  throw SetupError("no free loopback network");
}

std::string Fleet::listJson() {
  std::lock_guard const lock(mutex_);
  std::string out;
  for (ListedReplica const& replica : replicas_)
    out += std::string(out.empty() ? "" : ",") + R"({"backend":")" + replica.service + R"(","address":")" +
           replica.address.text() + R"(","zone":")" + replica.zone +
           R"(","configVersion":"v1","slots":128,"phase":"serving","coldLeftMs":)" +
           std::to_string(replica.coldLeftMs) + R"(,"id":")" + replica.id + R"("})";
  return R"({"replicas":[)" + out + R"(],"nextToken":null})";
}

void Fleet::setReplicas(std::vector<ListedReplica> replicas) {
  std::lock_guard const lock(mutex_);
  replicas_ = std::move(replicas);
}

std::string Fleet::settingsPath(int machine, std::string const& role) const {
  return folder_ + "/" + role + std::to_string(machine) + ".conf";
}

void Fleet::writeSettings(int machine, std::string const& role) const {
  std::string const address = ip(firstHost + machine);
  bool const isRouter = role == "router";
  std::string const data = folder_ + "/data" + std::to_string(machine);
  ::mkdir(data.c_str(), 0750);
  std::ofstream out(settingsPath(machine, role));
  out << "nodeName=edge-" << machine << "\nrole=" << role
      << "\nmachineClass=edge\nservesRoles=" << (isRouter ? "edge" : "control") << "\nipAddress=" << address
      << "\nzone=" << zone(machine) << "\nregion=region-1\n";
  for (int i = 0; i < machines; ++i) out << "zones." << zone(i) << "=region-1\n";
  if (isRouter)
    out << "bindAddrs.frontAddr=" << address << ":" << frontPort << "\nbindAddrs.readyCheck=" << address << ":"
        << readyPort << "\n";
  else
    out << "bindAddrs.controlAddr=" << address << ":" << controlPort << "\ndataPath=" << data << "\n";
  out << "internalPorts=7720,7735\nseedNodes=";
  for (int i = 0; i < machines; ++i) out << (i > 0 ? "," : "") << ip(firstHost + i) << ":" << controlPort;
  out << "\nfirstBoot=true\ncountsLoss=true\nlimits.cpuShare=0.45\nlimits.cpuCores=1\nlimits.memoryMb=220\n"
         "limits.fileLimit=4100\nlimits.networkMbps=1000.0\nlimits.diskMb=64\ndiscovery=cloud_api\n"
         "entryKind=shared_ip\nbeatEveryMs=1200\n"
         "rulesInForce=base,drain,config,cost,retry,recover,engine,stream,places\nsurvive.machines=1\n"
         "survive.zones=1\nsurvive.regions=0\n"
         "ruleBounds.seedLagS=3\nruleBounds.reuseAfterS=2\nruleBounds.inTouchMs=3000\nruleBounds.ackWithinMs=4000\n"
         "ruleBounds.catchUpS=4\nruleBounds.drainMs=3000\nruleBounds.graceS=8\nruleBounds.lossSlackMs=200\n"
         "ruleBounds.configApplyMs=2000\nruleBounds.rollbackSlackMs=250\nruleBounds.stretchMs=5000\n"
         "ruleBounds.retryRatio=0.2\nruleBounds.retryWindowS=10\nruleBounds.retrySlack=62\n"
         "ruleBounds.coldOverrun=1.5\nruleBounds.coldSlack=5\nruleBounds.evacuateMs=5000\nruleBounds.recoverS=12\n"
         "ruleBounds.passTimeMs=120\ncloudApi.address="
      << ip(2) << ":" << listPort << "\ncloudApi.ratePerS=44.0\ncloudApi.duties=\ncloudApi.maxLagMs=800\n";
}

void Fleet::startProcess(int machine, std::string const& role) {
  writeSettings(machine, role);
  char const* const path = std::getenv("PATH");
  std::vector<std::string> const environment{std::string("PATH=") + (path == nullptr ? "" : path),
                                             "CORKWARD_CONFIG=" + settingsPath(machine, role)};
  processes_.push_back(
      startProgram(commandOf(role), environment, folder_ + "/" + role + std::to_string(machine) + ".log"));
}

bool Fleet::isReady(int machine) const {
  return call({ip(firstHost + machine), readyPort}, "GET", "/-/ready", {{"Host", "ready"}}, "", operatorTimeoutMs)
             .status() == 200;
}

void Fleet::start(std::string const& configuration) {
  for (int machine = 0; machine < machines; ++machine)
    for (char const* const role : {"router", "control"}) startProcess(machine, role);
  record_.line("started " + std::to_string(machines) + " routers and " + std::to_string(machines) + " controllers");
  order("/-/config/replace", configuration, 0);
  std::int64_t const deadline = now() + readyTimeoutMs;
  for (int machine = 0; machine < machines; ++machine)
    while (!isReady(machine)) {
      if (now() > deadline) throw SetupError("a machine did not become ready");
      sleepMs(100);
    }
  record_.line("all machines are ready");
}

std::int64_t Fleet::order(std::string const& target, std::string const& body, int basedOn) {
  std::int64_t const deadline = now() + readyTimeoutMs;
  for (int turn = 0; now() < deadline; ++turn) {
    int const machine = turn % machines;
    Message const response =
        call({ip(firstHost + machine), controlPort}, "POST", target,
             {{"Host", "control"}, {"Based-On", std::to_string(basedOn)}}, body, operatorTimeoutMs);
    if (response.hasHead)
      record_.line("order on version " + std::to_string(basedOn) + " to machine " + std::to_string(machine) +
                   ": answered " + std::to_string(response.status()));
    if (response.status() == 200) return now();
    if (response.status() >= 400 && response.status() < 500) throw SetupError("an order was refused: " + response.body);
    sleepMs(200);
  }
  throw SetupError("an order was not acknowledged");
}

}  // namespace review
