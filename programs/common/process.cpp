#include "process.h"

#include <QDateTime>
#include <algorithm>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace corkward::programs {

namespace {

constexpr core::Tick leastDrain = 1000;

}  // namespace

transport::Contact contactOf(Settings const& settings, char const* role) {
  transport::Contact c;
  c.link = settings.link;
  c.httpAddress = settings.http;
  c.role = role;
  c.zone = settings.zone;
  c.incarnation = static_cast<std::uint64_t>(QDateTime::currentMSecsSinceEpoch());
  return c;
}

void chooseEventLoop() {
  qputenv("QT_NO_GLIB", "1");
}

std::string pathOf(http::Request const& request) {
  return request.target.substr(0, request.target.find('?'));
}

bool plainPage(http::Server& server, http::Request const& request, std::function<bool()> const& ready,
               std::function<std::string()> const& metrics) {
  std::string const path = pathOf(request);
  if (path == "/healthz") {
    server.answer(request.id, 200, {{"content-type", "text/plain"}}, "ok\n");
  } else if (path == "/readyz") {
    bool const yes = ready();
    server.answer(request.id, yes ? 200 : 503, {{"content-type", "text/plain"}}, yes ? "ready\n" : "not ready\n");
  } else if (path == "/metrics") {
    server.answer(request.id, 200, {{"content-type", "text/plain; version=0.0.4"}},
                  metrics() + "# TYPE corkward_malformed_requests_total counter\ncorkward_malformed_requests_total " +
                      std::to_string(server.malformed()) + "\n");
  } else {
    return false;
  }
  return true;
}

FolderLock::FolderLock(char const* setting, std::string const& folder)
    : fd_(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {
  if (fd_ >= 0 && ::flock(fd_, LOCK_EX | LOCK_NB) == 0) return;
  if (fd_ >= 0) ::close(fd_);
  throw SettingsError(std::string(setting) + ": in use by another process: " + folder);
}

FolderLock::~FolderLock() {
  ::close(fd_);
}

bool Drain::begin() {
  if (until_ != 0) return false;
  until_ = now() + limitTicks_;
  least_ = now() + std::max(leastDrain, leastTicks_);
  return true;
}

void Drain::look(http::Server& http, std::size_t inHand) {
  if (until_ == 0) return;
  bool const over = now() >= until_;
  std::size_t const left = inHand + http.pendingCount();
  if (!over && (left > 0 || now() < least_)) return;
  http.close();
  if (!over && http.pendingCount() + http.expecting() > 0) return;
  core::writeLog(core::LogEvent{"stopped", {{"in-hand", std::to_string(left)}}});
  QCoreApplication::exit(0);
}

}  // namespace corkward::programs
