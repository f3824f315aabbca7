#include "fleet.h"

#include <QCoreApplication>
#include <QDir>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QFile>
#include <QHostAddress>
#include <QJsonArray>
#include <QNetworkReply>
#include <QTcpServer>
#include <QTimer>
#include <csignal>
#include <sys/resource.h>

#include <corkward/core/json.h>

#include "clock.h"

namespace corkward::testing {

Fleet::Fleet(Deployment const& deployment) : deployment_(deployment) {
  core::RandomGenerator rng(programs::randomSeed());
  net_ = "127." + std::to_string(10 + rng.below(200)) + "." + std::to_string(1 + rng.below(250)) + ".";
  int machine = 0;
  for (int i = 0; i < deployment.controllers; ++i) {
    Node n;
    std::string const ip = net_ + std::to_string(++machine);
    n.name = "control" + std::to_string(i + 1);
    n.link = freeAddress(ip);
    n.http = freeAddress(ip);
    n.zone = "z" + std::to_string(i % deployment.zones + 1);
    n.data = directory() + "/" + n.name;
    controllers_.push_back(std::move(n));
  }
  for (int i = 0; i < deployment.routers; ++i) {
    Node n;
    std::string const ip = net_ + std::to_string(++machine);
    n.name = "router" + std::to_string(i + 1);
    n.link = freeAddress(ip);
    n.http = freeAddress(ip);
    n.zone = "z" + std::to_string(i % deployment.zones + 1);
    routers_.push_back(std::move(n));
  }
  for (int i = 0; i < deployment.models + deployment.otherReplicas; ++i) {
    Node n;
    bool const model = i < deployment.models;
    n.name = model ? "model" + std::to_string(i + 1)
                   : std::string(deployment.otherPool) + std::to_string(i - deployment.models + 1);
    n.http = freeAddress(net_ + std::to_string(100 + i));
    n.zone = "z" + std::to_string(i % deployment.zones + 1);
    n.pool = model ? "model" : deployment.otherPool;
    n.record = directory() + "/" + n.name + ".record";
    n.program = CORKWARD_BIN "/testing/standin-replica";
    n.flags = {"--http", core::toQString(n.http), "--record", core::toQString(n.record)};
    if (!model) n.flags += {"--first-ms", "5", "--words", "1", "--slots", "32"};
    if (model) n.flags += {"--slots", "8"};
    replicas_.push_back(std::move(n));
  }
  writeSettings();
}

void Fleet::writeSettings() {
  for (std::vector<Node>* const group : {&controllers_, &routers_})
    for (Node& n : *group) {
      bool const disk = group == &controllers_;
      n.program = QString(CORKWARD_BIN "/programs/") + (disk ? "corkward-control" : "corkward-router");
      QFile settings(core::toQString(directory() + "/" + n.name + ".conf"));
      settings.open(QIODevice::WriteOnly);
      std::string text = "link = " + n.link + "\nhttp = " + n.http + "\nzone = " + n.zone + "\n";
      if (!n.listen.empty()) text += "listen = " + n.listen + "\n";
      for (std::size_t i = 0; i < 3; ++i) text += "seed = " + controllers_[i % controllers_.size()].link + "\n";
      if (!disk && regimes_) text += "audit = " + auditDirectory(n) + "\n";
      if (disk) text += "data = " + n.data + "\n";
      for (std::size_t i = 0; disk && i < std::min<std::size_t>(3, controllers_.size()); ++i)
        text += "founder = " + controllers_[i].link + "\n";
      text += "log-file = " + directory() + "/" + n.name + ".log\n";
      settings.write(QByteArray::fromStdString(text));
      n.flags = {"--settings", settings.fileName()};
    }
}

void Fleet::proxyLinks(std::function<std::string(std::string const& listen)> const& proxy) {
  for (std::vector<Node>* const group : {&controllers_, &routers_})
    for (Node& n : *group) {
      n.listen = n.link;
      n.link = proxy(n.listen);
    }
  writeSettings();
}

void Fleet::enableRegimes() {
  regimes_ = true;
  writeSettings();
}

Fleet::~Fleet() {
  closing_ = true;
  for (std::vector<Node>* const group : {&routers_, &controllers_, &replicas_})
    for (Node& n : *group)
      if (n.process) crash(n);
}

std::string Fleet::freeAddress(std::string const& ip) {
  QTcpServer probe;
  if (!probe.listen(QHostAddress(core::toQString(ip)), 0)) throw FleetError("no free port at " + ip);
  return ip + ":" + std::to_string(probe.serverPort());
}

void Fleet::start(Node& node, std::uint64_t fileLimit) {
  node.process = std::make_unique<QProcess>();
  node.process->setProcessChannelMode(QProcess::MergedChannels);
  node.process->setStandardOutputFile(core::toQString(directory() + "/" + node.name + ".out"), QIODevice::Append);
  if (fileLimit > 0)
    node.process->setChildProcessModifier([fileLimit] {
      rlimit const limit{fileLimit, fileLimit};
      ::setrlimit(RLIMIT_FSIZE, &limit);
    });
  QStringList flags = node.flags;
  if (regimes_ && !node.record.empty()) {
    node.incarnation = node.name + "-" + std::to_string(++incarnations_);
    flags += {"--life", core::toQString(node.incarnation)};
  }
  node.process->start(node.program, flags);
  if (!node.process->waitForStarted(10000)) throw FleetError("cannot start " + node.name);
}

void Fleet::startAll() {
  for (std::vector<Node>* const group : {&replicas_, &controllers_, &routers_})
    for (Node& n : *group) start(n);
}

void Fleet::crash(Node& node) {
  if (!node.process) return;
  ::kill(static_cast<pid_t>(node.process->processId()), SIGCONT);
  node.process->kill();
  node.process->waitForFinished(10000);
  node.process.reset();
}

void Fleet::freeze(Node& node) {
  ::kill(static_cast<pid_t>(node.process->processId()), SIGSTOP);
}
void Fleet::resume(Node& node) {
  ::kill(static_cast<pid_t>(node.process->processId()), SIGCONT);
}

int Fleet::stop(Node& node) {
  node.process->terminate();
  until(
      node.name + " to stop", [&] { return node.process->state() == QProcess::NotRunning; }, 90000);
  int const code = node.process->exitStatus() == QProcess::NormalExit ? node.process->exitCode() : -1;
  node.process.reset();
  return code;
}

void Fleet::wipe(Node& node) {
  QDir(core::toQString(node.data)).removeRecursively();
}

void Fleet::until(std::string const& what, std::function<bool()> const& condition, int limitMs) {
  QElapsedTimer clock;
  clock.start();
  while (!condition()) {
    if (clock.elapsed() > limitMs) throw FleetError("timed out waiting for " + what);
    runFor(20);
  }
}

void Fleet::runFor(int ms) {
  QEventLoop loop;
  QTimer::singleShot(ms, &loop, &QEventLoop::quit);
  loop.exec();
}

QNetworkRequest Fleet::requestOf(std::string const& http, std::string const& path, std::string const& ifMatch,
                                 std::string const& changeId, int limitMs) const {
  QNetworkRequest request(QUrl(core::toQString("http://" + http + path)));
  request.setTransferTimeout(limitMs);
  request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
  if (!ifMatch.empty()) request.setRawHeader("If-Match", QByteArray::fromStdString(ifMatch));
  if (!changeId.empty()) request.setRawHeader("Corkward-Change-Id", QByteArray::fromStdString(changeId));
  return request;
}

Reply Fleet::call(Node const& node, std::string const& method, std::string const& path, std::string const& body,
                  std::string const& ifMatch, std::string const& changeId) {
  Reply out;
  QEventLoop loop;
  bool done = false;
  callAsync(node.http, method, path, body, ifMatch, changeId, 15000, [&](Reply const& r) {
    out = r;
    done = true;
    loop.quit();
  });
  if (!done) loop.exec();
  return out;
}

Reply Fleet::change(std::string const& method, std::string const& path, std::string const& body,
                    std::string const& ifMatch, std::string const& changeId) {
  std::string const id = changeId.empty() ? "fleet-" + std::to_string(nextChange_++) : changeId;
  Reply out;
  until("a conclusive response to " + method + " " + path, [&] {
    out = call(firstController(), method, path, body, ifMatch, id);
    return out.status != 0 && out.status != 503 && out.status != 504;
  });
  return out;
}

void Fleet::callAsync(std::string const& http, std::string const& method, std::string const& path,
                      std::string const& body, std::string const& ifMatch, std::string const& changeId, int limitMs,
                      std::function<void(Reply)> const& done) {
  QNetworkReply* const reply =
      manager_.sendCustomRequest(requestOf(http, path, ifMatch, changeId, limitMs), QByteArray::fromStdString(method),
                                 QByteArray::fromStdString(body));
  QObject::connect(reply, &QNetworkReply::finished, this, [this, reply, done] {
    if (closing_) return;
    Reply out;
    out.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (out.status != 0) try {
        out.body = core::parseJson(reply->readAll().toStdString()).toObject();
      } catch (core::JsonError const&) {
        out.body = {};
      }
    reply->deleteLater();
    done(out);
  });
}

Fleet::ProgramResult Fleet::runProgram(std::string const& program, std::vector<std::string> const& arguments,
                                       std::string const& input) {
  QProcess process;
  QStringList flags;
  for (std::string const& w : arguments) flags += core::toQString(w);
  process.start(core::toQString(CORKWARD_BIN "/programs/" + program), flags);
  process.write(QByteArray::fromStdString(input));
  process.closeWriteChannel();
  until(
      program + " to end", [&] { return process.state() == QProcess::NotRunning; }, 60000);
  return ProgramResult{process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1,
                       process.readAllStandardOutput().toStdString(), process.readAllStandardError().toStdString()};
}

Reply Fleet::get(std::string const& address, std::string const& path) {
  Node n;
  n.http = address;
  return call(n, "GET", path);
}

void Fleet::getAsync(std::string const& address, std::string const& path, std::function<void(Reply)> const& done) {
  callAsync(address, "GET", path, "", "", "", 1000, done);
}

Node& Fleet::firstController() {
  Node* found = nullptr;
  until("a ready controller", [&] {
    for (Node& n : controllers_)
      if (found == nullptr && n.process && get(n.http, "/readyz").status == 200) found = &n;
    return found != nullptr;
  });
  return *found;
}

void Fleet::publishEndpointLists(std::map<std::string, std::string> const& states) {
  ++generation_;
  for (std::string const& pool : {std::string("model"), std::string(deployment_.otherPool)}) {
    QJsonArray list;
    for (Node const& r : replicas_) {
      if (r.pool != pool) continue;
      auto const it = states.find(r.name);
      if (it != states.end() && it->second == "gone") continue;
      QJsonObject listEntry{{"address", core::toQString(r.advertisedAddress.empty() ? r.http : r.advertisedAddress)},
                            {"zone", core::toQString(r.zone)},
                            {"state", core::toQString(it == states.end() ? "serving" : it->second)}};
      if (!r.incarnation.empty()) listEntry.insert("id", core::toQString(r.incarnation));
      list.append(listEntry);
    }
    std::string const body = core::jsonText(
        QJsonObject{{"generation", static_cast<qint64>(generation_)}, {"coldRate", 2}, {"replicas", list}});
    Reply const r = change("PUT", "/v1/platform/pools/" + pool, body);
    if (r.status != 200)
      throw FleetError("pool " + pool + ": status " + std::to_string(r.status) + " " + core::jsonText(r.body));
  }
}

std::vector<std::string> Fleet::instances() const {
  std::string const family = deployment_.family;
  return {family + ".nord", family + ".sued"};
}

void Fleet::loadConfigurations() {
  std::string const family = deployment_.family;
  QFile file(core::toQString(std::string(CORKWARD_SOURCE "/examples/") + family + ".json"));
  if (!file.open(QIODevice::ReadOnly)) throw FleetError("no example for " + family);
  Reply const t = change("PUT", "/v1/templates/" + family, file.readAll().toStdString(), "0");
  if (t.status != 201) throw FleetError("template: status " + std::to_string(t.status) + " " + core::jsonText(t.body));
  for (std::string const& name : {std::string("nord"), std::string("sued")}) {
    std::string body = R"({"parameters":{"site":")";
    body.append(name).append("\"}}");
    std::string path = "/v1/templates/";
    path.append(family).append("/instances/").append(name);
    Reply const i = change("PUT", path, body, "0");
    if (i.status != 201)
      throw FleetError("instance: status " + std::to_string(i.status) + " " + core::jsonText(i.body));
  }
}

void Fleet::untilReady(std::size_t routers) {
  until("ready routers", [&] {
    std::size_t n = 0;
    for (Node const& node : routers_)
      if (node.process && get(node.http, "/readyz").status == 200) ++n;
    return n >= routers;
  });
}

std::string Fleet::logTail(Node const& node) const {
  QFile file(core::toQString(directory() + "/" + node.name + ".log"));
  if (!file.open(QIODevice::ReadOnly)) return "";
  QByteArray const all = file.readAll();
  return all.right(2000).toStdString();
}

}  // namespace corkward::testing
